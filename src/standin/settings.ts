/**
 * Run-time settings of a session, as SHOW reads them.
 */
import * as types from './types.js';
import * as wire from './wire.js';

const defaultSettings: Readonly<Record<string, string>> = {
	server_version: '16.0 (stand-in)',
	client_encoding: wire.utf8Name,
	timezone: 'UTC',
	transaction_isolation: 'read committed',
	standard_conforming_strings: 'on',
	search_path: 'public',
};

/**
 * Reads a setting. An unset name with a dot, which PostgreSQL takes as a customized option, reads as
 * an empty string; any other unknown name throws 42704.
 */
export function readSetting(
	sessionSettings: ReadonlyMap<string, string>,
	name: string,
	isReadOnly: boolean,
): string {
	if (name === 'transaction_read_only') {
		return isReadOnly ? 'on' : 'off';
	}

	const defaultValue = Object.hasOwn(defaultSettings, name)
		? defaultSettings[name]
		: undefined;
	const value = sessionSettings.get(name) ?? defaultValue;
	if (value !== undefined) {
		return value;
	}

	if (name.includes('.')) {
		return '';
	}

	throw new types.SqlError(
		'42704',
		`unrecognized configuration parameter "${name}"`,
	);
}
