/**
 * Checks startup packets and separates settings of the proxy from parameters for the server.
 */
import type {Buffer} from 'node:buffer';
import * as neverthrow from 'neverthrow';
import type * as settings from './settings.js';
import type * as types from './types.js';

const settingPrefix = 'hemlockarch.';

/** Parameters that are not set on the server because they do not affect results. */
const ignoredParameters = new Set([
	'user',
	'database',
	'options',
	'replication',
	'application_name',
	'fallback_application_name',
	'extra_float_digits',
]);

/**
 * Checks that the parameters are pairs of terminated strings. `pg-gateway` reads beyond the end of
 * a packet that lacks a terminator and would not return.
 */
export function hasValidStrings(packet: Buffer): boolean {
	let offset = 8;
	while (offset < packet.length && packet[offset] !== 0) {
		const nameEnd = packet.indexOf(0, offset);
		const valueEnd = nameEnd === -1 ? -1 : packet.indexOf(0, nameEnd + 1);
		if (valueEnd === -1) {
			return false;
		}

		offset = valueEnd + 1;
	}

	return offset === packet.length - 1;
}

/** Splits the `options` parameter: words separated by spaces, a backslash escapes one character. */
function splitOptions(text: string): string[] {
	return [...text.matchAll(/(?:\\[\s\S]|[^\s\\])+/gv)].map((match) =>
		match[0].replaceAll(/\\(?<mark>[\s\S])/gv, '$<mark>'),
	);
}

function parseOptions(
	text: string,
): neverthrow.Result<Array<[string, string]>, string> {
	const pairs: Array<[string, string]> = [];
	const words = splitOptions(text);
	for (let index = 0; index < words.length; index++) {
		let word = words[index];
		if (word === '-c') {
			index++;
			word = `--${words[index] ?? ''}`;
		} else if (word.startsWith('-c')) {
			word = `--${word.slice(2)}`;
		}

		const match = /^--(?<name>[^=]+)=(?<value>[\s\S]*)$/v.exec(word);
		if (!match?.groups) {
			return neverthrow.err(`unsupported startup option "${word}"`);
		}

		pairs.push([match.groups.name.replaceAll('-', '_'), match.groups.value]);
	}

	return neverthrow.ok(pairs);
}

function isIgnoredOrDefault(
	name: string,
	value: string,
	defaults: Readonly<Record<string, string>>,
): boolean {
	const lower = name.toLowerCase();
	if (ignoredParameters.has(lower) || lower.startsWith('_pq_.')) {
		return true;
	}

	if (lower === 'client_encoding') {
		return /^'?(?:utf-?8|unicode)'?$/iv.test(value);
	}

	if (lower === 'datestyle') {
		return /^iso(?:,\s*mdy)?$/iv.test(value);
	}

	return Object.entries(defaults).some(
		([known, text]) =>
			known.toLowerCase() === lower &&
			text.toLowerCase() === value.toLowerCase(),
	);
}

/** Separates the settings of the proxy in a startup packet from the parameters for the server. */
export function parseStartup(
	parameters: Readonly<Record<string, string>>,
	defaults: Readonly<Record<string, string>>,
): neverthrow.Result<types.StartupParameters, settings.SettingProblem> {
	const {replication} = parameters;
	if (
		replication !== undefined &&
		!['false', 'off', 'no', '0'].includes(replication.toLowerCase())
	) {
		return neverthrow.err({
			sqlState: '0A000',
			message: 'the replication protocol is not supported by hemlockarch',
		});
	}

	const options = parseOptions(parameters.options ?? '');
	if (options.isErr()) {
		return neverthrow.err({sqlState: '22023', message: options.error});
	}

	const values = new Map<string, string>();
	const parametersToSet = new Map<string, string>();
	for (const [name, value] of [
		...options.value,
		...Object.entries(parameters),
	]) {
		if (name.toLowerCase().startsWith(settingPrefix)) {
			values.set(name.slice(settingPrefix.length).toLowerCase(), value);
		} else if (!isIgnoredOrDefault(name, value, defaults)) {
			parametersToSet.set(name, value);
		}
	}

	const user = parameters.user ?? '';
	return neverthrow.ok({
		member: values.get('member') ?? user,
		group: parameters.database ?? user,
		settings: values,
		parametersToSet,
	});
}

/** Builds the statements that set parameters on a server. */
export function formatSetStatements(
	parametersToSet: ReadonlyMap<string, string>,
): string {
	return [...parametersToSet]
		.map(
			([name, value]) =>
				`SET ${name
					.split('.')
					.map((part) => `"${part.replaceAll('"', '""')}"`)
					.join('.')} TO '${value.replaceAll("'", "''")}'`,
		)
		.join('; ');
}
