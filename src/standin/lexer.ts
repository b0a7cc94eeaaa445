/**
 * Splits SQL text into tokens. Comments are dropped.
 */
import * as types from './types.js';

export type Token =
	| {
			/** An unquoted word, in lower case, or a quoted identifier in its original case. */
			readonly type: 'word';
			readonly text: string;
			readonly quoted: boolean;
	  }
	| {readonly type: 'string'; readonly text: string}
	| {readonly type: 'number'; readonly text: string}
	| {readonly type: 'parameter'; readonly index: number}
	| {readonly type: 'symbol'; readonly text: string};

const tokenPattern =
	/(?<space>\s+|--[^\n]*)|(?<comment>\/\*[\s\S]*?\*\/)|(?<string>'(?:[^']|'')*')|(?<quoted>"(?:[^"]|"")*")|(?<parameter>\$\d+)|(?<number>\d+(?:\.\d+)?)|(?<word>[A-Za-z_]\w*)|(?<symbol>::|\|\||<=|>=|<>|!=|[\-+*\/=<>\(\),;.])/vy;

/** Splits `sql`; throws a syntax error (42601) at a character that starts no token. */
export function parseTokens(sql: string): Token[] {
	const tokens: Token[] = [];
	tokenPattern.lastIndex = 0;
	while (tokenPattern.lastIndex < sql.length) {
		const start = tokenPattern.lastIndex;
		const match = tokenPattern.exec(sql);
		if (!match?.groups) {
			throw new types.SqlError(
				'42601',
				`syntax error at or near "${sql.slice(start, start + 10)}"`,
			);
		}

		const token = buildToken(match.groups);
		if (token) {
			tokens.push(token);
		}
	}

	return tokens;
}

function buildToken(
	groups: Record<string, string | undefined>,
): Token | undefined {
	if (groups.word !== undefined) {
		return {type: 'word', text: groups.word.toLowerCase(), quoted: false};
	}

	if (groups.symbol !== undefined) {
		const text = groups.symbol === '!=' ? '<>' : groups.symbol;
		return {type: 'symbol', text};
	}

	if (groups.string !== undefined) {
		const text = groups.string.slice(1, -1).replaceAll("''", "'");
		return {type: 'string', text};
	}

	if (groups.number !== undefined) {
		return {type: 'number', text: groups.number};
	}

	if (groups.parameter !== undefined) {
		return {type: 'parameter', index: Number(groups.parameter.slice(1)) - 1};
	}

	if (groups.quoted !== undefined) {
		const text = groups.quoted.slice(1, -1).replaceAll('""', '"');
		return {type: 'word', text, quoted: true};
	}

	return undefined;
}
