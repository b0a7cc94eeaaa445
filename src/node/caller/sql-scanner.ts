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

// The end of a long token is searched, because a pattern that matches all of it can exhaust the stack.
const spaceEnd = /[^ \t\n\r\f\v]/gv;
const lineEnd = /[\n\r]/gv;
const wordEnd = /[^\w$\u{80}-\u{10FFFF}]/gv;
const numberEnd = /[^\w.]/gv;
const parameterEnd = /\D/gv;
const escapeMark = /['\\]/gv;
const tagEnd = /[^\w\u{80}-\u{10FFFF}]/gv;
const wordStart = /[A-Za-z_\u0080-\uFFFF]/v;
const digit = /\d/v;

/** Tokens without a text of their own are shared, because a text may consist of them. */
const symbolTokens = new Map<string, Token>();

function getSymbolToken(symbol: string): Token {
	let token = symbolTokens.get(symbol);
	if (!token) {
		token = {type: 'symbol', text: symbol};
		symbolTokens.set(symbol, token);
	}

	return token;
}

/** Returns the offset of the next match; the length of the text when there is none. */
function findNext(text: string, pattern: RegExp, start: number): number {
	pattern.lastIndex = start;
	return pattern.exec(text)?.index ?? text.length;
}

/**
 * Returns the offset after the closing quote of a text that begins at `start`. An unterminated one ends
 * at the last doubled quote, because a server may take it for the end; -1 when there is none.
 */
function findQuoteEnd(
	text: string,
	start: number,
	quote: string,
	hasEscapes: boolean,
): number {
	let lastDoubled = -1;
	for (let offset = start; ;) {
		const mark = hasEscapes
			? findNext(text, escapeMark, offset)
			: text.indexOf(quote, offset);
		if (mark === -1 || mark >= text.length) {
			return lastDoubled === -1 ? -1 : lastDoubled + 1;
		}

		if (text[mark] === quote) {
			if (text[mark + 1] !== quote) {
				return mark + 1;
			}

			lastDoubled = mark;
		}

		offset = mark + 2;
	}
}

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
		for (let offset = 0; offset < this.#text.length;) {
			offset = this.#readToken(offset);
		}

		this.#finishStatement();
		return this;
	}

	/** Returns the offset of the next token. */
	#readToken(offset: number): number {
		const text = this.#text;
		const char = text[offset];
		const next = text[offset + 1];
		switch (char) {
			case ' ':
			case '\t':
			case '\n':
			case '\r':
			case '\f':
			case '\v': {
				return findNext(text, spaceEnd, offset + 1);
			}

			case "'":
			case '"': {
				return this.#readQuoted(char, offset, offset + 1);
			}

			case ';': {
				this.#finishStatement();
				return offset + 1;
			}

			case '-': {
				return next === '-'
					? this.#readLineComment(offset + 2)
					: this.#readSymbol(offset);
			}

			case '/': {
				return next === '*'
					? this.#readComment(offset)
					: this.#readSymbol(offset);
			}

			case '$': {
				return this.#readDollar(offset);
			}

			default: {
				return this.#readOther(offset, char, next);
			}
		}
	}

	/** Reads a word, a number, a string with a prefix or a symbol. */
	#readOther(offset: number, char: string, next: string | undefined): number {
		const text = this.#text;
		if (wordStart.test(char)) {
			if (next === "'" && /[bnx]/iv.test(char)) {
				return this.#readQuoted(next, offset, offset + 2);
			}

			if (next === "'" && /e/iv.test(char)) {
				return this.#readEscapeString(offset, offset + 2);
			}

			const mark = next === '&' && /u/iv.test(char) ? text[offset + 2] : '';
			return mark === "'" || mark === '"'
				? this.#readQuoted(mark, offset, offset + 3)
				: this.#readWord(offset);
		}

		return digit.test(char)
			? this.#readNumber(offset, findNext(text, numberEnd, offset))
			: this.#readSymbol(offset);
	}

	#readDollar(offset: number): number {
		const text = this.#text;
		const tagLimit = digit.test(text[offset + 1] ?? '')
			? offset
			: findNext(text, tagEnd, offset + 1);
		if (tagLimit > offset && text[tagLimit] === '$') {
			const tag = text.slice(offset, tagLimit + 1);
			return this.#readDollarString(tag, tagLimit + 1);
		}

		const end = findNext(text, parameterEnd, offset + 1);
		return end === offset + 1
			? this.#readSymbol(offset)
			: this.#readNumber(offset, end);
	}

	#readNumber(offset: number, end: number): number {
		this.#add('number', this.#text.slice(offset, end));
		return end;
	}

	#readLineComment(start: number): number {
		const end = findNext(this.#text, lineEnd, start);
		this.comments.push(this.#text.slice(start, end));
		return end;
	}

	#readWord(offset: number): number {
		const end = findNext(this.#text, wordEnd, offset + 1);
		this.#add('word', this.#text.slice(offset, end).toLowerCase());
		return end;
	}

	#readEscapeString(offset: number, start: number): number {
		const end = findQuoteEnd(this.#text, start, "'", true);
		if (end === -1) {
			return this.#readWord(offset);
		}

		this.#add('string', this.#text.slice(start, end - 1).replaceAll("''", "'"));
		return end;
	}

	/** Reads a string or a quoted name; the quote of an unterminated one counts as a symbol. */
	#readQuoted(quote: "'" | '"', offset: number, start: number): number {
		const end = findQuoteEnd(this.#text, start, quote, false);
		if (end === -1) {
			// A server may end the text elsewhere.
			this.isCertain = false;
			return start - offset > 1
				? this.#readWord(offset)
				: this.#readSymbol(offset);
		}

		// With standard_conforming_strings off the quote after a backslash would not end the string.
		this.isCertain &&=
			quote === '"' || !this.#text.slice(start, end).includes(String.raw`\'`);
		this.#add(
			quote === '"' ? 'quoted' : 'string',
			this.#text.slice(start, end - 1).replaceAll(quote + quote, quote),
		);
		return end;
	}

	#readSymbol(offset: number): number {
		this.#statement.push(getSymbolToken(this.#text[offset]));
		return offset + 1;
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
