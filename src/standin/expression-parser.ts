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

/** Binary operators by precedence, lowest first. */
const precedence: ReadonlyArray<readonly types.BinaryOperator[]> = [
	['or'],
	['and'],
	['=', '<>', '<', '<=', '>', '>='],
	['||'],
	['+', '-'],
	['*', '/'],
];
const comparisonLevel = 2;

export class TokenCursor {
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

	peek(ahead = 0): lexer.Token | undefined {
		return this.tokens[this.index + ahead];
	}

	/** Tells whether the next tokens are these words, unquoted. */
	isNextWord(...words: readonly string[]): boolean {
		return words.every((word, ahead) => {
			const token = this.peek(ahead);
			return token?.type === 'word' && !token.quoted && token.text === word;
		});
	}

	isNextSymbol(text: string): boolean {
		const token = this.peek();
		return token?.type === 'symbol' && token.text === text;
	}

	/** Reads the words if they come next; tells whether they did. */
	acceptWord(...words: readonly string[]): boolean {
		const found = this.isNextWord(...words);
		this.index += found ? words.length : 0;
		return found;
	}

	acceptSymbol(text: string): boolean {
		const found = this.isNextSymbol(text);
		this.index += found ? 1 : 0;
		return found;
	}

	expectWord(...words: readonly string[]): void {
		if (!this.acceptWord(...words)) {
			throw this.makeSyntaxError();
		}
	}

	expectSymbol(text: string): void {
		if (!this.acceptSymbol(text)) {
			throw this.makeSyntaxError();
		}
	}

	/** Reads a name with an optional schema: `a` or `a.b`. The schema `public` is dropped. */
	readName(): string {
		const token = this.readNext();
		if (token?.type !== 'word') {
			this.index--;
			throw this.makeSyntaxError();
		}

		if (!this.acceptSymbol('.')) {
			return token.text;
		}

		const rest = this.readNext();
		if (rest?.type !== 'word') {
			this.index--;
			throw this.makeSyntaxError();
		}

		return token.text === 'public' ? rest.text : `${token.text}.${rest.text}`;
	}

	makeSyntaxError(): types.SqlError {
		const token = this.peek();
		if (token === undefined) {
			return new types.SqlError('42601', 'syntax error at end of input');
		}

		const text =
			token.type === 'parameter' ? `$${token.index + 1}` : token.text;
		return new types.SqlError('42601', `syntax error at or near "${text}"`);
	}
}

/** Reads a type name with its modifiers. */
export function parseType(cursor: TokenCursor): types.ColumnType {
	const name = cursor.readName();
	const type = Object.hasOwn(typeNames, name) ? typeNames[name] : undefined;
	if (type === undefined) {
		throw new types.SqlError('42704', `type "${name}" does not exist`);
	}

	for (const word of ['precision', 'varying']) {
		cursor.acceptWord(word);
	}

	if (cursor.acceptSymbol('(')) {
		while (!cursor.acceptSymbol(')')) {
			if (cursor.readNext() === undefined) {
				throw cursor.makeSyntaxError();
			}
		}
	}

	if (!cursor.acceptWord('with', 'time', 'zone')) {
		cursor.acceptWord('without', 'time', 'zone');
	}

	return type;
}

export function parseExpression(
	cursor: TokenCursor,
	level = 0,
): types.Expression {
	if (level === precedence.length) {
		return parsePostfix(cursor);
	}

	if (level === comparisonLevel && cursor.acceptWord('not')) {
		return {type: 'not', operand: parseExpression(cursor, level)};
	}

	let left = parseExpression(cursor, level + 1);
	for (;;) {
		const operator = precedence[level].find(
			(name) => cursor.acceptWord(name) || cursor.acceptSymbol(name),
		);
		if (operator !== undefined) {
			const right = parseExpression(cursor, level + 1);
			left = {type: 'binary', operator, left, right};
			continue;
		}

		const predicate =
			level === comparisonLevel ? parsePredicate(cursor, left) : undefined;
		if (predicate === undefined) {
			return left;
		}

		left = predicate;
	}
}

/** Reads `IS [NOT] NULL` or `[NOT] IN (…)` after an operand. */
function parsePredicate(
	cursor: TokenCursor,
	operand: types.Expression,
): types.Expression | undefined {
	if (cursor.acceptWord('is')) {
		const negated = cursor.acceptWord('not');
		cursor.expectWord('null');
		return {type: 'isNull', operand, negated};
	}

	const negated = cursor.isNextWord('not', 'in');
	if (negated) {
		cursor.expectWord('not');
	}

	if (cursor.acceptWord('in')) {
		cursor.expectSymbol('(');
		const predicate = {
			type: 'in',
			operand,
			list: parseExpressionList(cursor),
		} as const;
		return negated ? {type: 'not', operand: predicate} : predicate;
	}

	return undefined;
}

/** Reads expressions up to the closing parenthesis. */
export function parseExpressionList(cursor: TokenCursor): types.Expression[] {
	const list: types.Expression[] = [];
	if (cursor.acceptSymbol(')')) {
		return list;
	}

	do {
		list.push(parseExpression(cursor));
	} while (cursor.acceptSymbol(','));

	cursor.expectSymbol(')');
	return list;
}

function parsePostfix(cursor: TokenCursor): types.Expression {
	let operand = parsePrimary(cursor);
	while (cursor.acceptSymbol('::')) {
		operand = {type: 'cast', operand, target: parseType(cursor)};
	}

	return operand;
}

function parsePrimary(cursor: TokenCursor): types.Expression {
	if (cursor.acceptSymbol('(')) {
		const inner = parseExpression(cursor);
		cursor.expectSymbol(')');
		return inner;
	}

	if (cursor.acceptSymbol('-')) {
		const zero = {type: 'literal', value: 0, valueType: 'int4'} as const;
		const right = parsePostfix(cursor);
		return {type: 'binary', operator: '-', left: zero, right};
	}

	const token = cursor.peek();
	switch (token?.type) {
		case 'string': {
			cursor.readNext();
			return {type: 'literal', value: token.text, valueType: 'text'};
		}

		case 'number': {
			cursor.readNext();
			return buildNumberLiteral(token.text);
		}

		case 'parameter': {
			cursor.readNext();
			return {type: 'parameter', index: token.index};
		}

		case 'word': {
			return parseKeywordOrName(cursor);
		}

		case 'symbol':
		case undefined: {
			throw cursor.makeSyntaxError();
		}
	}
}

function buildNumberLiteral(text: string): types.Expression {
	const value = Number(text);
	const isInt4 = Number.isInteger(value) && value < 2 ** 31;
	const integerType = isInt4 ? 'int4' : 'int8';
	const valueType = text.includes('.') ? 'numeric' : integerType;
	return {type: 'literal', value, valueType};
}

function parseKeywordOrName(cursor: TokenCursor): types.Expression {
	for (const [word, value] of [
		['true', true],
		['false', false],
	] as const) {
		if (cursor.acceptWord(word)) {
			return {type: 'literal', value, valueType: 'bool'};
		}
	}

	if (cursor.acceptWord('null')) {
		return {type: 'literal', value: null, valueType: 'text'};
	}

	if (cursor.acceptWord('current_timestamp')) {
		return {type: 'call', name: 'now', args: []};
	}

	const name = cursor.readName();
	if (!cursor.acceptSymbol('(')) {
		return {type: 'column', name: name.slice(name.lastIndexOf('.') + 1)};
	}

	if (cursor.acceptSymbol('*')) {
		cursor.expectSymbol(')');
		return {type: 'call', name, args: []};
	}

	return {type: 'call', name, args: parseExpressionList(cursor)};
}
