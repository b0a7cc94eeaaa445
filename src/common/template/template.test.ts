import tap from 'tap';
import * as fastCheck from 'fast-check';
import type * as ids from '../ids.js';
import * as types from '../types.js';
import * as customers from './customers.js';
import * as defaults from './defaults.js';
import * as parse from './parse.js';
import * as render from './render.js';

const makeInteger = (limits: {min: number; max: number}) =>
	fastCheck.integer(limits);

/**
 * Creates records with the prototype of object literals, as parsed parameters have it: a strict
 * comparison also compares prototypes.
 */
const makeRecord = <Value extends object>(fields: {
	[Key in keyof Value]: fastCheck.Arbitrary<Value[Key]>;
}) => fastCheck.record<Value>(fields, {noNullPrototype: true});

const rankPolicy = makeRecord({
	deadlineMs: makeInteger(defaults.limits.deadlineMs),
	floorPercent: fastCheck.integer({min: 0, max: 33}),
	queueLimit: makeInteger(defaults.limits.queueLimit),
	weight: makeInteger(defaults.limits.weight),
});

const parameters = makeRecord({
	defaultRank: fastCheck.constantFrom(...types.ranks),
	stalenessMs: fastCheck.oneof(
		makeInteger(defaults.limits.stalenessMs),
		fastCheck.constant(Number.POSITIVE_INFINITY),
	),
	maxSessions: makeInteger(defaults.limits.maxSessions),
	maxInFlight: makeInteger(defaults.limits.maxInFlight),
	ranks: makeRecord({
		urgent: rankPolicy,
		normal: rankPolicy,
		background: rankPolicy,
	}),
});

// Guards against a rendered template that parses to other parameters.
tap.test('a rendered template parses to the same parameters', async (t) => {
	fastCheck.assert(
		fastCheck.property(parameters, (value) => {
			const parsed = parse.parseTemplate(render.renderTemplate(value));
			t.strictSame(parsed._unsafeUnwrap(), value);
		}),
		{seed: 11, numRuns: 50},
	);
});

// Guards against a missing key that gets another value than its default.
tap.test('missing keys get their defaults', async (t) => {
	t.strictSame(
		parse.parseTemplate('')._unsafeUnwrap(),
		defaults.defaultParameters,
	);
	const parsed = parse.parseTemplate(
		'[member]\nstaleness_ms = any\n[rank urgent]\nweight = 7\n',
	);
	t.strictSame(parsed._unsafeUnwrap(), {
		...defaults.defaultParameters,
		stalenessMs: Number.POSITIVE_INFINITY,
		ranks: {
			...defaults.defaultParameters.ranks,
			urgent: {...defaults.defaultParameters.ranks.urgent, weight: 7},
		},
	});
});

// Guards against reporting only the first problem, or omitting its location or the allowed values.
tap.test('all problems are reported with their location', async (t) => {
	const text = [
		'stray = 1',
		'[member]',
		'default_rank = high',
		'max_sessions = -3',
		'colour = red',
		'[rank low]',
		'weight = 1',
		'[rank normal]',
		'deadline_ms = 20001',
		'floor_percent = 1.5',
	].join('\n');
	const problems = parse.parseTemplate(text)._unsafeUnwrapErr();
	t.strictSame(
		problems.map(({section, key}) => [section, key]),
		[
			['', 'stray'],
			['member', 'default_rank'],
			['member', 'max_sessions'],
			['member', 'colour'],
			['rank low', undefined],
			['rank normal', 'deadline_ms'],
			['rank normal', 'floor_percent'],
		],
	);
	t.equal(
		parse.formatProblem(problems[5]),
		'[rank normal] deadline_ms: found 20001; allowed is a whole number from 1 to 20000',
	);
});

// Guards against floors that guarantee more than a whole server, against texts of unbounded length,
// and against accepting `__proto__` as a section or `constructor` as a key.
tap.test('texts outside the limits are rejected', async (t) => {
	const floors =
		'[rank urgent]\nfloor_percent=60\n[rank normal]\nfloor_percent=40';
	t.match(parse.parseTemplate(floors)._unsafeUnwrapErr(), [
		{key: 'floor_percent', found: 'a sum of 105, defaults included'},
	]);
	t.ok(parse.parseTemplate(';'.repeat(8193)).isErr());
	t.ok(parse.parseTemplate(';'.repeat(8192)).isOk());
	t.ok(
		parse
			.parseTemplate('[__proto__]\nweight=1\n[member]\nconstructor=1')
			.isErr(),
	);
});

const digests = ['A', 'B', 'C'].map(
	(letter) => `${letter.repeat(43)}=`,
) as ids.KeyDigest[];

// Guards against customers that get lost when a template is rendered, and against other limits.
tap.test('customers are rendered and parsed', async (t) => {
	const text = [
		'[customer gaub]',
		`key_digests = ${digests[0]}, ${digests[1]}`,
		'rate_per_s = 50',
		'[customer nossob]',
		'key_digests =',
	].join('\n');
	const parsed = parse.parseTemplate(text)._unsafeUnwrap();
	t.match(parsed.customers?.get('gaub' as ids.CustomerId), {
		keys: new Set(digests.slice(0, 2)),
		ratePerS: 50,
		burst: 50,
	});
	t.equal(parsed.customers?.size, 2);
	t.strictSame(
		parse.parseTemplate(render.renderTemplate(parsed))._unsafeUnwrap(),
		parsed,
	);
});

// Guards against a key that identifies two customers, and against a clear key in a template.
tap.test('shared keys and clear keys are rejected', async (t) => {
	const shared = `[customer a]\nkey_digests=${digests[0]}\n[customer b]\nkey_digests=${digests[0]}`;
	t.match(parse.parseTemplate(shared)._unsafeUnwrapErr(), [
		{section: 'customer b', found: 'a key of customer a'},
	]);
	const clear = '[customer a]\nkey_digests = secret-1';
	t.equal(parse.parseTemplate(clear)._unsafeUnwrapErr().length, 1);
});

// Guards against an edit of keys that changes other parts of a template.
tap.test('an edit of keys keeps the rest of the text', async (t) => {
	const text =
		'; retail\n[customer a]\nrate_per_s = 5\nkey_digests = old\n\n[member]\nmax_sessions = 3\n';
	const edited = customers.setDigests(text, 'a', digests.slice(0, 1));
	t.equal(
		edited,
		`; retail\n[customer a]\nkey_digests = ${digests[0]}\nrate_per_s = 5\n\n[member]\nmax_sessions = 3\n`,
	);
	const added = customers.setDigests(edited, 'b', digests.slice(1, 2));
	t.ok(added.startsWith(edited));
	t.equal(parse.parseTemplate(added)._unsafeUnwrap().customers?.size, 2);
	t.match(customers.setDigests('', 'b', []), /^\[customer b\]/v);
});

// Guards against a text that ends a control process instead of being refused, and against an edit of
// keys that changes other customers.
tap.test('any text is parsed or refused', async (t) => {
	const key = fastCheck.constantFrom(
		'member',
		'weight',
		'key_digests',
		'key_digests[]',
		'rate_per_s',
		'__proto__',
		'constructor',
		'"weight"',
		'[]',
		'a.b',
		'',
	);
	const value = fastCheck.oneof(
		fastCheck.constantFrom('null', 'true', '5', '"x', '{}', `${digests[0]},`),
		fastCheck.string({maxLength: 4}),
	);
	const line = fastCheck.oneof(
		fastCheck.constantFrom(
			'[member]',
			'[rank urgent]',
			'[customer a]',
			'[customer b]',
			'[customer a.b]',
			'[__proto__]',
			'[ customer a ]',
			'[',
			'; x',
			'',
		),
		fastCheck.tuple(key, value).map(([name, text]) => `${name} = ${text}`),
		key,
		fastCheck.string({maxLength: 6}),
	);
	const text = fastCheck
		.array(line, {maxLength: 10})
		.map((lines) => lines.join('\n'));
	fastCheck.assert(
		fastCheck.property(text, (found) => {
			const parsed = parse.parseTemplate(found);
			const problems = parsed.isErr() ? parsed.error : [];
			for (const problem of problems) {
				parse.formatProblem(problem);
			}

			customers.setDigests(found, 'a', digests.slice(0, 1));
			return parsed.isOk() || problems.length > 0;
		}),
		{seed: 20_261_206, numRuns: 2000},
	);
	t.pass('for all texts');
});
