/**
 * Splits SQL text into tokens. Comments are dropped.
 */
import * as types from './types.js';

export type Token =
	| {
			/** A word or a quoted identifier; words are in lower case. */
			readonly type: 'word';
			readonly text: string;
			readonly quoted: boolean;
	  }
	| {readonly type: 'string'; readonly text: string}
	| {readonly type: 'number'; readonly text: string}
	| {readonly type: 'parameter'; readonly index: number}
	| {readonly type: 'symbol'; readonly text: string};

const patterns =
	/(?<space>\s+|--[^\n]*)|(?<comment>\/\*[\s\S]*?\*\/)|(?<string>'(?:[^']|'')*')|(?<quoted>"(?:[^"]|"")*")|(?<parameter>\$\d+)|(?<number>\d+(?:\.\d+)?)|(?<word>[A-Za-z_]\w*)|(?<symbol>::|\|\||<=|>=|<>|!=|[\-+*\/=<>\(\),;.])/vy;

/** Splits `sql`; throws a syntax error (42601) at a character that starts no token. */
export function parseTokens(sql: string): Token[] {
	const tokens: Token[] = [];
	patterns.lastIndex = 0;
	while (patterns.lastIndex < sql.length) {
		const at = patterns.lastIndex;
		const match = patterns.exec(sql);
		if (!match?.groups) {
			throw new types.SqlError(
				'42601',
				`syntax error at or near "${sql.slice(at, at + 10)}"`,
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
