/**
 * Parsing and validation of template texts. All problems of a text are collected, so that an
 * operator can correct them in one edit.
 */
import * as ini from 'ini';
import * as neverthrow from 'neverthrow';
import * as zod from 'zod';
import type * as ids from '../ids.js';
import * as types from '../types.js';
import * as customers from './customers.js';
import * as defaults from './defaults.js';
import type * as templateTypes from './types.js';

type KeyRule = {
	readonly schema: zod.ZodType<number | string>;
	readonly allowed: string;
};

type KeyRules = Readonly<Record<string, KeyRule>>;

function buildNumberRule(limits: templateTypes.NumberLimits): KeyRule {
	return {
		schema: zod
			.string()
			.regex(/^\d{1,9}$/v)
			.transform(Number)
			.pipe(zod.number().min(limits.min).max(limits.max)),
		allowed: `a whole number from ${limits.min} to ${limits.max}`,
	};
}

const stalenessRule = buildNumberRule(defaults.limits.stalenessMs);

const memberRules: KeyRules = {
	default_rank: {
		schema: zod.enum(types.ranks),
		allowed: `one of ${types.ranks.join(', ')}`,
	},
	staleness_ms: {
		schema: zod.union([zod.literal('any'), stalenessRule.schema]),
		allowed: `any, or ${stalenessRule.allowed}`,
	},
	max_sessions: buildNumberRule(defaults.limits.maxSessions),
	max_in_flight: buildNumberRule(defaults.limits.maxInFlight),
};

const rankRules: KeyRules = {
	deadline_ms: buildNumberRule(defaults.limits.deadlineMs),
	floor_percent: buildNumberRule(defaults.limits.floorPercent),
	queue_limit: buildNumberRule(defaults.limits.queueLimit),
	weight: buildNumberRule(defaults.limits.weight),
};

const customerRules: KeyRules = {
	key_digests: {
		schema: zod.string().refine((text) => customers.isDigestList(text)),
		allowed: 'SHA-256 digests in base64, separated by commas',
	},
	rate_per_s: buildNumberRule(defaults.limits.ratePerS),
	burst: buildNumberRule(defaults.limits.burst),
};

const sectionRules: ReadonlyMap<string, KeyRules> = new Map([
	['member', memberRules],
	...types.ranks.map((rank) => [`rank ${rank}`, rankRules] as const),
]);

type SectionValues = Map<string, number | string>;

function findRules(section: string): KeyRules | undefined {
	return (
		sectionRules.get(section) ??
		(customers.parseSectionName(section) === undefined
			? undefined
			: customerRules)
	);
}

/** Formats a value as written in the text; truncates long values. */
function formatFoundValue(value: unknown): string {
	const text = typeof value === 'string' ? value : JSON.stringify(value);
	return text.length > 60 ? `${text.slice(0, 60)}…` : text;
}

function listNames(names: Iterable<string>, format: (name: string) => string) {
	return [...names].map((name) => format(name)).join(', ');
}

function checkSection(
	section: string,
	content: Readonly<Record<string, unknown>>,
	rules: KeyRules,
	problems: templateTypes.TemplateProblem[],
): SectionValues {
	const values: SectionValues = new Map();
	for (const [key, value] of Object.entries(content)) {
		const rule = Object.hasOwn(rules, key) ? rules[key] : undefined;
		if (!rule) {
			problems.push({
				section,
				key,
				found: 'an unknown key',
				allowed: `the keys ${Object.keys(rules).join(', ')}`,
			});
			continue;
		}

		const result = rule.schema.safeParse(value);
		if (result.success) {
			values.set(key, result.data);
		} else {
			problems.push({
				section,
				key,
				found: formatFoundValue(value),
				allowed: rule.allowed,
			});
		}
	}

	return values;
}

function checkSections(
	parsed: Readonly<Record<string, unknown>>,
	problems: templateTypes.TemplateProblem[],
): Map<string, SectionValues> {
	const sections = new Map<string, SectionValues>();
	const allowed = `the sections ${listNames([...sectionRules.keys(), 'customer NAME'], (name) => `[${name}]`)}`;
	for (const [name, content] of Object.entries(parsed)) {
		const rules = findRules(name);
		if (
			typeof content !== 'object' ||
			content === null ||
			Array.isArray(content)
		) {
			problems.push({
				section: '',
				key: name,
				found: 'a key outside of a section',
				allowed,
			});
		} else if (rules) {
			sections.set(
				name,
				checkSection(name, content as Record<string, unknown>, rules, problems),
			);
		} else {
			problems.push({section: name, found: 'an unknown section', allowed});
		}
	}

	return sections;
}

function getNumber(
	values: SectionValues | undefined,
	key: string,
	defaultValue: number,
): number {
	const value = values?.get(key);
	return typeof value === 'number' ? value : defaultValue;
}

function buildRankPolicy(
	values: SectionValues | undefined,
	defaultPolicy: types.RankPolicy,
): types.RankPolicy {
	return {
		deadlineMs: getNumber(values, 'deadline_ms', defaultPolicy.deadlineMs),
		floorPercent: getNumber(
			values,
			'floor_percent',
			defaultPolicy.floorPercent,
		),
		queueLimit: getNumber(values, 'queue_limit', defaultPolicy.queueLimit),
		weight: getNumber(values, 'weight', defaultPolicy.weight),
	};
}

function buildParameters(
	sections: ReadonlyMap<string, SectionValues>,
): types.TemplateParameters {
	const member = sections.get('member');
	const defaultValues = defaults.defaultParameters;
	const buildRank = (rank: types.Rank) =>
		buildRankPolicy(sections.get(`rank ${rank}`), defaultValues.ranks[rank]);
	return {
		defaultRank:
			(member?.get('default_rank') as types.Rank | undefined) ??
			defaultValues.defaultRank,
		stalenessMs:
			member?.get('staleness_ms') === 'any'
				? Number.POSITIVE_INFINITY
				: getNumber(member, 'staleness_ms', defaultValues.stalenessMs),
		maxSessions: getNumber(member, 'max_sessions', defaultValues.maxSessions),
		maxInFlight: getNumber(member, 'max_in_flight', defaultValues.maxInFlight),
		ranks: {
			urgent: buildRank('urgent'),
			normal: buildRank('normal'),
			background: buildRank('background'),
		},
		...buildCustomers(sections),
	};
}

function buildCustomers(
	sections: ReadonlyMap<string, SectionValues>,
): Pick<types.TemplateParameters, 'customers'> {
	const found = new Map<ids.CustomerId, types.Customer>();
	for (const [name, values] of sections) {
		const customer = customers.parseSectionName(name);
		if (customer !== undefined) {
			const ratePerS = getNumber(values, 'rate_per_s', Infinity);
			found.set(customer, {
				customer,
				keys: customers.parseDigests(String(values.get('key_digests') ?? '')),
				ratePerS,
				burst: getNumber(values, 'burst', ratePerS),
			});
		}
	}

	return found.size === 0 ? {} : {customers: found};
}

/** A key identifies one customer, so no two customers may share one. */
function checkSharedKeys(
	parameters: types.TemplateParameters,
	problems: templateTypes.TemplateProblem[],
): void {
	const holders = new Map<ids.KeyDigest, ids.CustomerId>();
	for (const {customer, keys} of parameters.customers?.values() ?? []) {
		for (const key of keys) {
			const holder = holders.get(key);
			if (holder !== undefined) {
				problems.push({
					section: `customer ${customer}`,
					key: 'key_digests',
					found: `a key of customer ${holder}`,
					allowed: 'keys that no other customer has',
				});
			}

			holders.set(key, customer);
		}
	}
}

/** Rank floors are shares of one server, so their sum cannot exceed 100%. */
function checkFloorSum(
	parameters: types.TemplateParameters,
	problems: templateTypes.TemplateProblem[],
): void {
	let sum = 0;
	for (const rank of types.ranks) {
		sum += parameters.ranks[rank].floorPercent;
	}

	if (sum > 100) {
		problems.push({
			section: 'rank urgent, rank normal, rank background',
			key: 'floor_percent',
			found: `a sum of ${sum}, defaults included`,
			allowed: 'a sum of at most 100',
		});
	}
}

/**
 * Parses and validates a template text. Missing keys get their defaults.
 *
 * @returns The parameters, or all problems of the text.
 */
export function parseTemplate(
	text: string,
): neverthrow.Result<
	types.TemplateParameters,
	readonly templateTypes.TemplateProblem[]
> {
	if (text.length > defaults.maxTemplateLength) {
		return neverthrow.err([
			{
				section: '',
				found: `a text of ${text.length} characters`,
				allowed: `at most ${defaults.maxTemplateLength} characters`,
			},
		]);
	}

	const problems: templateTypes.TemplateProblem[] = [];
	const sections = checkSections(ini.parse(text), problems);
	const parameters = buildParameters(sections);
	checkFloorSum(parameters, problems);
	checkSharedKeys(parameters, problems);
	return problems.length > 0
		? neverthrow.err(problems)
		: neverthrow.ok(parameters);
}

/** Formats a problem as one sentence for the operator. */
export function formatProblem(problem: templateTypes.TemplateProblem): string {
	const location = [
		...(problem.section === '' ? [] : [`[${problem.section}]`]),
		...(problem.key === undefined ? [] : [problem.key]),
	].join(' ');
	const prefix = location === '' ? 'template' : location;
	return `${prefix}: found ${problem.found}; allowed is ${problem.allowed}`;
}
