/**
 * Reads details of statements beyond their kind: `hemlockarch.*` settings, comments, and statements
 * that remove state of the session.
 */
import type * as proxy from '../../common/proxy/types.js';
import type * as sqlScanner from './sql-scanner.js';
import type * as types from './types.js';

type Tokens = readonly sqlScanner.Token[];

/** Tells whether a statement only removes session state. */
function isClearing(tokens: Tokens): boolean {
	const text = tokens.map((token) => token.text).join(' ');
	return (
		tokens[0].text === 'reset' ||
		tokens[0].text === 'unlisten' ||
		text === 'select pg_advisory_unlock_all ( )'
	);
}

export function findClearing(
	statements: readonly Tokens[],
	kinds: readonly proxy.RequestKind[],
): types.StatementClass['clearing'] {
	if (statements.length === 1 && kinds[0] === 'sessionState') {
		const [first, second, third] = statements[0].map((token) => token.text);
		const object = second === 'prepare' ? third : second;
		if (object === 'all' && (first === 'discard' || first === 'deallocate')) {
			return 'statements';
		}
	}

	const changing = statements.filter(
		(_, index) => kinds[index] === 'sessionState',
	);
	return changing.length > 0 && changing.every((tokens) => isClearing(tokens))
		? 'session'
		: 'none';
}

export function findDeallocated(tokens: Tokens): string | undefined {
	if (tokens[0].text !== 'deallocate') {
		return undefined;
	}

	return tokens[1]?.text === 'prepare' ? tokens[2]?.text : tokens[1]?.text;
}

/**
 * Tells whether a statement calls set_config for a `hemlockarch.*` setting, which a server would
 * ignore.
 */
export function callsSetConfig(tokens: Tokens): boolean {
	return (
		tokens.some((token) => token.text === 'set_config') &&
		tokens.some(
			(token) => token.type === 'string' && /^hemlockarch\./iv.test(token.text),
		)
	);
}

/**
 * Returns the index of the setting's first token after SET, SET SESSION, SET LOCAL, SHOW or RESET; -1
 * for other statements.
 */
function findSettingNameIndex(tokens: Tokens): number {
	const first = tokens[0].text;
	if (first !== 'set' && first !== 'show' && first !== 'reset') {
		return -1;
	}

	const scope = tokens[1]?.text;
	return first === 'set' && (scope === 'session' || scope === 'local') ? 2 : 1;
}

export function isHemlockarchSetting(tokens: Tokens): boolean {
	const name = findSettingNameIndex(tokens);
	return (
		name > 0 &&
		tokens[name]?.text.toLowerCase() === 'hemlockarch' &&
		tokens[name + 1]?.text === '.'
	);
}

export function parseSetting(tokens: Tokens): types.SettingStatement {
	const start = findSettingNameIndex(tokens);
	const name = (tokens[start + 2]?.text ?? '').toLowerCase();
	const first = tokens[0].text;
	if (first === 'show' || first === 'reset') {
		return tokens.length === start + 3
			? {type: first, name}
			: {type: 'malformed'};
	}

	const operator = tokens[start + 3]?.text;
	const sign = tokens[start + 4]?.text === '-' ? '-' : '';
	const value = tokens[start + 4 + sign.length];
	if (
		(operator !== '=' && operator !== 'to') ||
		value === undefined ||
		value.type === 'symbol' ||
		value.text.startsWith('$') ||
		tokens.length !== start + 5 + sign.length
	) {
		return {type: 'malformed'};
	}

	if (value.type === 'word' && value.text === 'default') {
		return {type: 'reset', name};
	}

	return {
		type: 'set',
		name,
		value: sign + value.text,
		isLocal: tokens[1].text === 'local',
	};
}

const attributeBeginning = /(?<![\w.])hemlockarch_(?<name>\w+)\s*=\s*'/gv;
const valueMark = /['\\]/gv;

/** Returns the offset of the quote that ends a value; -1 when it is unterminated. */
function findValueEnd(comment: string, start: number): number {
	valueMark.lastIndex = start;
	for (
		let mark = valueMark.exec(comment);
		mark;
		mark = valueMark.exec(comment)
	) {
		if (mark[0] === "'") {
			return mark.index;
		}

		valueMark.lastIndex = mark.index + 2;
	}

	return -1;
}

/** Parses `hemlockarch_<name>='<value>'` in sqlcommenter comments; values are URL-encoded. */
export function parseComments(
	comments: readonly string[],
): ReadonlyArray<readonly [string, string]> {
	const found: Array<readonly [string, string]> = [];
	for (const comment of comments) {
		let offset = 0;
		while (offset !== -1) {
			attributeBeginning.lastIndex = offset;
			const beginning = attributeBeginning.exec(comment);
			if (!beginning?.groups) {
				break;
			}

			const start = beginning.index + beginning[0].length;
			offset = findValueEnd(comment, start);
			if (offset !== -1) {
				const value = comment
					.slice(start, offset)
					.replaceAll(/\\(?<mark>.)/gv, '$<mark>');
				found.push([beginning.groups.name, decodeValue(value)]);
			}
		}
	}

	return found;
}

function decodeValue(text: string): string {
	try {
		return decodeURIComponent(text);
	} catch {
		return text;
	}
}
