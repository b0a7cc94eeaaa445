/**
 * Splits statement text into tokens (PostgreSQL manual, "Lexical Structure"): enough to find the
 * statements of a string, their words and function calls, and the comments.
 */

export type Token = {
	readonly type: 'word' | 'quoted' | 'string' | 'number' | 'symbol';
	/** Lower case for words; the value without quotes for quoted names and strings. */
	readonly text: string;
};

export type ScannedText = {
	/** Tokens of each statement that is not empty. */
	readonly statements: readonly Token[][];
	readonly comments: readonly string[];
	/** False when the text ends inside a token, or its tokens depend on a setting of the server. */
	readonly isCertain: boolean;
};

const tokenPattern =
	/(?<space>\s+)|(?<line>--[^\n\r]*)|(?<block>\/\*)|(?<escape>[eE]'(?:[^'\\]|\\[\s\S]|'')*')|(?<string>(?:[bBnNxX]|[uU]&)?'(?:[^']|'')*')|(?<dollar>\$(?:[A-Za-z_\u0080-\uFFFF][\w\u0080-\uFFFF]*)?\$)|(?<quoted>(?:[uU]&)?"(?:[^"]|"")*")|(?<word>[A-Za-z_\u0080-\uFFFF][\w$\u0080-\uFFFF]*)|(?<number>\d[\w.]*|\$\d+)|(?<symbol>[\s\S])/vy;

/** Returns the offset after a block comment, which may be nested; -1 when it is unterminated. */
function findCommentEnd(text: string, start: number): number {
	const marks = /\/\*|\*\//gv;
	marks.lastIndex = start;
	let depth = 0;
	for (let mark = marks.exec(text); mark; mark = marks.exec(text)) {
		depth += mark[0] === '/*' ? 1 : -1;
		if (depth === 0) {
			return marks.lastIndex;
		}
	}

	return -1;
}

class Scanner {
	readonly statements: Token[][] = [];
	readonly comments: string[] = [];
	isCertain = true;
	readonly #text: string;
	#statement: Token[] = [];

	constructor(text: string) {
		this.#text = text;
	}

	parse(): ScannedText {
		let offset = 0;
		while (offset < this.#text.length) {
			tokenPattern.lastIndex = offset;
			const match = tokenPattern.exec(this.#text);
			if (!match?.groups) {
				this.isCertain = false;
				break;
			}

			offset = this.#handleMatch(match.groups, match[0], offset);
		}

		this.#finishStatement();
		return this;
	}

	/** Returns the offset of the next token. */
	#handleMatch(
		groups: Record<string, string | undefined>,
		matched: string,
		offset: number,
	): number {
		const end = offset + matched.length;
		if (groups.word !== undefined) {
			this.#add('word', matched.toLowerCase());
		} else if (groups.number !== undefined) {
			this.#add('number', matched);
		} else if (groups.string !== undefined) {
			// With standard_conforming_strings off the quote after a backslash would not end the string.
			this.isCertain &&= !matched.includes(String.raw`\'`);
			this.#add(
				'string',
				matched.slice(matched.indexOf("'") + 1, -1).replaceAll("''", "'"),
			);
		} else if (groups.escape !== undefined) {
			this.#add('string', matched.slice(2, -1).replaceAll("''", "'"));
		} else if (groups.quoted !== undefined) {
			this.#add(
				'quoted',
				matched.slice(matched.indexOf('"') + 1, -1).replaceAll('""', '"'),
			);
		} else if (groups.line !== undefined) {
			this.comments.push(matched.slice(2));
		} else if (groups.block !== undefined) {
			return this.#readComment(offset);
		} else if (groups.dollar !== undefined) {
			return this.#readDollarString(matched, end);
		} else if (groups.symbol !== undefined) {
			this.#handleSymbol(matched);
		}

		return end;
	}

	#handleSymbol(symbol: string): void {
		if (symbol === ';') {
			this.#finishStatement();
			return;
		}

		// A quote that no string pattern matched is unterminated.
		this.isCertain &&= symbol !== "'" && symbol !== '"';
		this.#add('symbol', symbol);
	}

	#readComment(start: number): number {
		const end = findCommentEnd(this.#text, start);
		if (end === -1) {
			this.isCertain = false;
			return this.#text.length;
		}

		this.comments.push(this.#text.slice(start + 2, end - 2));
		return end;
	}

	#readDollarString(tag: string, start: number): number {
		const end = this.#text.indexOf(tag, start);
		if (end === -1) {
			this.isCertain = false;
			return this.#text.length;
		}

		this.#add('string', this.#text.slice(start, end));
		return end + tag.length;
	}

	#add(type: Token['type'], text: string): void {
		this.#statement.push({type, text});
	}

	#finishStatement(): void {
		if (this.#statement.length > 0) {
			this.statements.push(this.#statement);
			this.#statement = [];
		}
	}
}

/** Splits a text into the tokens of its statements. */
export function parseTokens(text: string): ScannedText {
	return new Scanner(text).parse();
}
