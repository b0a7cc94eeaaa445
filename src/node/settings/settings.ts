/**
 * Reads and validates settings files. A file is validated as a whole and all its problems are
 * collected, before the process opens anything.
 */
import * as fs from 'node:fs';
import * as ini from 'ini';
import * as neverthrow from 'neverthrow';
import type * as ids from '../../common/ids.js';
import type * as commonTypes from '../../common/types.js';
import * as rules from './rules.js';
import type * as types from './types.js';

/** Longer values are truncated to this number of characters in a problem. */
const maxQuotedLength = 80;

const mebibyte = 1024 * 1024;

type Values = ReadonlyMap<string, unknown>;

type Result = neverthrow.Result<
	types.Settings,
	readonly types.SettingsProblem[]
>;

/** Reads and validates a settings file. */
export function loadSettings(file: string): Result {
	let text: string;
	try {
		text = fs.readFileSync(file, 'utf8');
	} catch (error) {
		const found = error instanceof Error ? error.message : String(error);
		const allowed = 'a readable file';
		return neverthrow.err([{file, section: '', key: '', found, allowed}]);
	}

	return parseSettings(text, file);
}

/**
 * Validates the text of a settings file.
 *
 * @param text - The INI text.
 * @param file - File name to state in problems.
 */
export function parseSettings(text: string, file: string): Result {
	const problems: types.SettingsProblem[] = [];
	const report: ReportProblem = (section, key, found, allowed) => {
		problems.push({file, section, key, found: formatFound(found), allowed});
	};

	checkLines(text, report);
	const values = checkSections(ini.parse(text), report);
	checkDependentKeys(values, report);
	return problems.length > 0
		? neverthrow.err(problems)
		: neverthrow.ok(buildSettings(values));
}

/** Formats a problem as one line. */
export function formatProblem(problem: types.SettingsProblem): string {
	const {file, section, key, found, allowed} = problem;
	const location = [file, section && `[${section}]`, key].filter(Boolean);
	return `${location.join(' ')}: found ${found}; allowed is ${allowed}`;
}

type ReportProblem = (
	section: string,
	key: string,
	found: unknown,
	allowed: string,
) => void;

function formatFound(value: unknown): string {
	const text = typeof value === 'string' ? value : JSON.stringify(value);
	return text.length > maxQuotedLength
		? `${text.slice(0, maxQuotedLength)}…`
		: text;
}

/** Reports what the INI parser accepts silently: duplicate keys and malformed lines. */
function checkLines(text: string, report: ReportProblem): void {
	const seenKeys = new Set<string>();
	let section = '';
	for (const [index, raw] of text.split(/\r?\n/v).entries()) {
		const line = raw.trim();
		if (line === '' || line.startsWith(';') || line.startsWith('#')) {
			continue;
		}

		const header = /^\[(?<name>[^\]]*)\]$/v.exec(line);
		if (header?.groups) {
			section = header.groups.name.trim();
			continue;
		}

		const key = line.split('=', 1)[0].trim();
		if (key === '' || !line.includes('=') || line.startsWith('[')) {
			report(
				section,
				'',
				`line ${index + 1}: ${line}`,
				'[section] or key = value',
			);
			continue;
		}

		const qualifiedKey = `${section}\n${key}`;
		if (seenKeys.has(qualifiedKey)) {
			report(section, key, 'the key a second time', 'one value');
		}

		seenKeys.add(qualifiedKey);
	}
}

function checkSections(
	parsed: Readonly<Record<string, unknown>>,
	report: ReportProblem,
): Map<string, Values> {
	const allowed = `the sections ${[...rules.sectionRules.keys()]
		.map((name) => `[${name}]`)
		.join(', ')}`;
	for (const [name, content] of Object.entries(parsed)) {
		if (
			typeof content !== 'object' ||
			content === null ||
			Array.isArray(content)
		) {
			report('', name, 'a key outside of a section', allowed);
		} else if (!rules.sectionRules.has(name)) {
			report(name, '', 'an unknown section', allowed);
		}
	}

	const sections = new Map<string, Values>();
	for (const [section, keys] of rules.sectionRules) {
		const content = parsed[section];
		const given =
			typeof content === 'object' && content !== null
				? (content as Readonly<Record<string, unknown>>)
				: {};
		sections.set(section, checkSection(section, keys, given, report));
	}

	return sections;
}

function checkSection(
	section: string,
	keys: Readonly<Record<string, rules.KeyRule>>,
	given: Readonly<Record<string, unknown>>,
	report: ReportProblem,
): Values {
	for (const key of Object.keys(given)) {
		if (!Object.hasOwn(keys, key)) {
			const allowed = `the keys ${Object.keys(keys).join(', ')}`;
			report(section, key, 'an unknown key', allowed);
		}
	}

	const values = new Map<string, unknown>();
	for (const [key, rule] of Object.entries(keys)) {
		const value = Object.hasOwn(given, key) ? given[key] : rule.defaultValue;
		if (value === undefined) {
			if (!rule.optional) {
				report(section, key, 'nothing', rule.allowed);
			}

			continue;
		}

		const checked = rule.schema.safeParse(value);
		if (checked.success) {
			values.set(key, checked.data);
		} else {
			report(section, key, value, rule.allowed);
		}
	}

	return values;
}

/** Checks the keys whose allowed values depend on other keys. */
function checkDependentKeys(
	sections: ReadonlyMap<string, Values>,
	report: ReportProblem,
): void {
	const processValues = sections.get('process')!;
	const listen = sections.get('listen')!;
	const role = processValues.get('role');
	if (role === 'control') {
		if (!processValues.has('data_folder')) {
			report('process', 'data_folder', 'nothing', 'a path for role control');
		}

		if (listen.has('callers_port')) {
			const found = listen.get('callers_port');
			report('listen', 'callers_port', found, 'no value for role control');
		}

		checkOwnPeer(sections, report);
	} else if (role === 'proxy') {
		if (processValues.has('data_folder')) {
			const found = processValues.get('data_folder');
			report('process', 'data_folder', found, 'no value for role proxy');
		}

		if (!listen.has('callers_port')) {
			report('listen', 'callers_port', 'nothing', 'a port for role proxy');
		}
	}

	const ports = new Set<unknown>();
	for (const key of ['callers_port', 'peers_port', 'http_port']) {
		const port = listen.get(key);
		if (port !== undefined && port !== 0 && ports.has(port)) {
			report('listen', key, port, 'a port that no other listener uses');
		}

		ports.add(port);
	}
}

/** Checks that a control peer is in its own list of peers, with the address that it listens on. */
function checkOwnPeer(
	sections: ReadonlyMap<string, Values>,
	report: ReportProblem,
): void {
	const listen = sections.get('listen')!;
	const id = sections.get('process')!.get('id') as string | undefined;
	const address = listen.get('address') as string | undefined;
	const port = listen.get('peers_port') as number | undefined;
	const peers = sections.get('control')!.get('peers') as
		readonly types.ControlPeer[] | undefined;
	if (
		id === undefined ||
		address === undefined ||
		port === undefined ||
		peers === undefined
	) {
		return;
	}

	const expected = `${address}:${port}`;
	const found = peers.find((peer) => peer.id === id);
	if (found?.address !== expected) {
		const allowed = `a list with ${id}@${expected} for role control`;
		report('control', 'peers', found?.address ?? 'a list without it', allowed);
	}
}

function buildSettings(sections: ReadonlyMap<string, Values>): types.Settings {
	const processValues = sections.get('process')!;
	const listen = sections.get('listen')!;
	const limits = sections.get('limits')!;
	const log = sections.get('log')!;
	return {
		process: {
			id: processValues.get('id') as ids.PeerId,
			role: processValues.get('role') as types.ProcessRole,
			vm: processValues.get('vm') as ids.VmId,
			dataCentre: processValues.get('data_centre') as ids.DataCentre,
			region: processValues.get('region') as string,
			dataFolder: processValues.get('data_folder') as string | undefined,
		},
		listen: {
			address: listen.get('address') as string,
			callersPort: listen.get('callers_port') as number | undefined,
			peersPort: listen.get('peers_port') as number,
			httpPort: listen.get('http_port') as number,
		},
		control: {
			peers: sections
				.get('control')!
				.get('peers') as readonly types.ControlPeer[],
		},
		limits: {
			drainDeadlineMs: (limits.get('drain_deadline_s') as number) * 1000,
			maxConnections: limits.get('max_connections') as number,
			...(limits.has('memory_mb')
				? {memoryBytes: (limits.get('memory_mb') as number) * mebibyte}
				: {}),
			...(limits.has('disk_mb')
				? {diskBytes: (limits.get('disk_mb') as number) * mebibyte}
				: {}),
		},
		log: {
			level: log.get('level') as commonTypes.LogLevel,
			format: log.get('format') as types.LogFormat,
		},
	};
}
