/**
 * Token cursor and the expression grammar of the stand-in's SQL subset.
 */
import type * as lexer from './lexer.js';
import * as types from './types.js';

const typeNames: Readonly<Record<string, types.ColumnType>> = {
	int: 'int4',
	integer: 'int4',
	int4: 'int4',
	smallint: 'int4',
	serial: 'int4',
	bigint: 'int8',
	int8: 'int8',
	bigserial: 'int8',
	real: 'float8',
	float8: 'float8',
	double: 'float8',
	numeric: 'numeric',
	decimal: 'numeric',
	text: 'text',
	varchar: 'text',
	character: 'text',
	char: 'text',
	uuid: 'text',
	bytea: 'text',
	bool: 'bool',
	boolean: 'bool',
	timestamptz: 'timestamptz',
	timestamp: 'timestamptz',
	date: 'timestamptz',
	json: 'json',
	jsonb: 'json',
};

/** Binary operators by binding strength, weakest first. */
const precedence: ReadonlyArray<readonly types.BinaryOperator[]> = [
	['or'],
	['and'],
	['=', '<>', '<', '<=', '>', '>='],
	['||'],
	['+', '-'],
	['*', '/'],
];
const comparisonLevel = 2;

/** Reads tokens one after the other. */
export class Cursor {
	private index = 0;

	private readonly tokens: readonly lexer.Token[];

	constructor(tokens: readonly lexer.Token[]) {
		this.tokens = tokens;
	}

	get isAtEnd(): boolean {
		return this.index >= this.tokens.length;
	}

	readNext(): lexer.Token | undefined {
		return this.tokens[this.index++];
	}

	findNext(ahead = 0): lexer.Token | undefined {
		return this.tokens[this.index + ahead];
	}

	/** Tells whether the next tokens are these unquoted words. */
	isWord(...words: readonly string[]): boolean {
		return words.every((word, ahead) => {
			const token = this.findNext(ahead);
			return token?.type === 'word' && !token.quoted && token.text === word;
		});
	}

	isSymbol(text: string): boolean {
		const token = this.findNext();
		return token?.type === 'symbol' && token.text === text;
	}

	/** Skips the words when they come next. */
	tryWord(...words: readonly string[]): boolean {
		const found = this.isWord(...words);
		this.index += found ? words.length : 0;
		return found;
	}

	trySymbol(text: string): boolean {
		const found = this.isSymbol(text);
		this.index += found ? 1 : 0;
		return found;
	}

	assertWord(...words: readonly string[]): void {
		if (!this.tryWord(...words)) {
			throw this.makeError();
		}
	}

	assertSymbol(text: string): void {
		if (!this.trySymbol(text)) {
			throw this.makeError();
		}
	}

	/** Reads a name with an optional schema: `a` or `a.b`. The schema `public` is dropped. */
	readName(): string {
		const token = this.readNext();
		if (token?.type !== 'word') {
			this.index--;
			throw this.makeError();
		}

		if (!this.trySymbol('.')) {
			return token.text;
		}

		const rest = this.readNext();
		if (rest?.type !== 'word') {
			this.index--;
			throw this.makeError();
		}

		return token.text === 'public' ? rest.text : `${token.text}.${rest.text}`;
	}

	makeError(): types.SqlError {
		const token = this.findNext();
		if (token === undefined) {
			return new types.SqlError('42601', 'syntax error at end of input');
		}

		const text =
			token.type === 'parameter' ? `$${token.index + 1}` : token.text;
		return new types.SqlError('42601', `syntax error at or near "${text}"`);
	}
}

/** Reads a type name with its modifiers. */
export function parseType(cursor: Cursor): types.ColumnType {
	const name = cursor.readName();
	const type = Object.hasOwn(typeNames, name) ? typeNames[name] : undefined;
	if (type === undefined) {
		throw new types.SqlError('42704', `type "${name}" does not exist`);
	}

	for (const word of ['precision', 'varying']) {
		cursor.tryWord(word);
	}

	if (cursor.trySymbol('(')) {
		while (!cursor.trySymbol(')')) {
			if (cursor.readNext() === undefined) {
				throw cursor.makeError();
			}
		}
	}

	if (!cursor.tryWord('with', 'time', 'zone')) {
		cursor.tryWord('without', 'time', 'zone');
	}

	return type;
}

export function parseExpression(cursor: Cursor, level = 0): types.Expression {
	if (level === precedence.length) {
		return parsePostfix(cursor);
	}

	if (level === comparisonLevel && cursor.tryWord('not')) {
		return {type: 'not', operand: parseExpression(cursor, level)};
	}

	let left = parseExpression(cursor, level + 1);
	for (;;) {
		const operator = precedence[level].find(
			(name) => cursor.tryWord(name) || cursor.trySymbol(name),
		);
		if (operator !== undefined) {
			const right = parseExpression(cursor, level + 1);
			left = {type: 'binary', operator, left, right};
			continue;
		}

		const suffix =
			level === comparisonLevel ? parseTest(cursor, left) : undefined;
		if (suffix === undefined) {
			return left;
		}

		left = suffix;
	}
}

/** Reads `IS [NOT] NULL` or `[NOT] IN (…)` after an operand. */
function parseTest(
	cursor: Cursor,
	operand: types.Expression,
): types.Expression | undefined {
	if (cursor.tryWord('is')) {
		const negated = cursor.tryWord('not');
		cursor.assertWord('null');
		return {type: 'isNull', operand, negated};
	}

	const negated = cursor.isWord('not', 'in');
	if (negated) {
		cursor.assertWord('not');
	}

	if (cursor.tryWord('in')) {
		cursor.assertSymbol('(');
		const test = {type: 'in', operand, list: parseList(cursor)} as const;
		return negated ? {type: 'not', operand: test} : test;
	}

	return undefined;
}

/** Reads expressions up to the closing parenthesis. */
export function parseList(cursor: Cursor): types.Expression[] {
	const list: types.Expression[] = [];
	if (cursor.trySymbol(')')) {
		return list;
	}

	do {
		list.push(parseExpression(cursor));
	} while (cursor.trySymbol(','));

	cursor.assertSymbol(')');
	return list;
}

function parsePostfix(cursor: Cursor): types.Expression {
	let operand = parsePrimary(cursor);
	while (cursor.trySymbol('::')) {
		operand = {type: 'cast', operand, target: parseType(cursor)};
	}

	return operand;
}

function parsePrimary(cursor: Cursor): types.Expression {
	if (cursor.trySymbol('(')) {
		const inner = parseExpression(cursor);
		cursor.assertSymbol(')');
		return inner;
	}

	if (cursor.trySymbol('-')) {
		const zero = {type: 'literal', value: 0, valueType: 'int4'} as const;
		const right = parsePostfix(cursor);
		return {type: 'binary', operator: '-', left: zero, right};
	}

	const token = cursor.findNext();
	switch (token?.type) {
		case 'string': {
			cursor.readNext();
			return {type: 'literal', value: token.text, valueType: 'text'};
		}

		case 'number': {
			cursor.readNext();
			return buildNumber(token.text);
		}

		case 'parameter': {
			cursor.readNext();
			return {type: 'parameter', index: token.index};
		}

		case 'word': {
			return parseWord(cursor);
		}

		case 'symbol':
		case undefined: {
			throw cursor.makeError();
		}
	}
}

function buildNumber(text: string): types.Expression {
	const value = Number(text);
	const isSmall = Number.isInteger(value) && value < 2 ** 31;
	const wholeType = isSmall ? 'int4' : 'int8';
	const valueType = text.includes('.') ? 'numeric' : wholeType;
	return {type: 'literal', value, valueType};
}

function parseWord(cursor: Cursor): types.Expression {
	for (const [word, value] of [
		['true', true],
		['false', false],
	] as const) {
		if (cursor.tryWord(word)) {
			return {type: 'literal', value, valueType: 'bool'};
		}
	}

	if (cursor.tryWord('null')) {
		return {type: 'literal', value: null, valueType: 'text'};
	}

	if (cursor.tryWord('current_timestamp')) {
		return {type: 'call', name: 'now', args: []};
	}

	const name = cursor.readName();
	if (!cursor.trySymbol('(')) {
		return {type: 'column', name: name.slice(name.lastIndexOf('.') + 1)};
	}

	if (cursor.trySymbol('*')) {
		cursor.assertSymbol(')');
		return {type: 'call', name, args: []};
	}

	return {type: 'call', name, args: parseList(cursor)};
}
