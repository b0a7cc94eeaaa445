/**
 * The grammar of SELECT and of the clauses that other statements share with it.
 */
import * as expressions from './expression-parser.js';
import type * as types from './types.js';

/** Reads the tokens up to the end of the statement as texts. */
export function readRestOfStatement(cursor: expressions.TokenCursor): string[] {
	const texts: string[] = [];
	while (!cursor.isAtEnd && !cursor.isNextSymbol(';')) {
		const token = cursor.readNext();
		texts.push(token && token.type !== 'parameter' ? token.text : '');
	}

	return texts;
}

/** Words that begin the next clause; an alias without AS cannot be one of them. */
const clauseKeywords = new Set([
	'from',
	'where',
	'order',
	'limit',
	'offset',
	'for',
]);

function parseSelectItems(cursor: expressions.TokenCursor): types.SelectItem[] {
	const items: types.SelectItem[] = [];
	do {
		if (cursor.acceptSymbol('*')) {
			items.push({type: 'star'});
			continue;
		}

		const expression = expressions.parseExpression(cursor);
		const name = parseAlias(cursor) ?? findDefaultName(expression);
		items.push({type: 'expression', expression, name});
	} while (cursor.acceptSymbol(','));

	return items;
}

function parseAlias(cursor: expressions.TokenCursor): string | undefined {
	if (cursor.acceptWord('as')) {
		return cursor.readName();
	}

	const next = cursor.peek();
	return next?.type === 'word' && !clauseKeywords.has(next.text)
		? cursor.readName()
		: undefined;
}

function findDefaultName(expression: types.Expression): string {
	if (expression.type === 'column') {
		return expression.name;
	}

	if (expression.type === 'cast') {
		return findDefaultName(expression.operand);
	}

	return expression.type === 'call'
		? expression.name.slice(expression.name.lastIndexOf('.') + 1)
		: '?column?';
}

export function parseSelect(cursor: expressions.TokenCursor): types.Statement {
	const items = parseSelectItems(cursor);
	const source = cursor.acceptWord('from') ? parseSource(cursor) : undefined;
	const where = parseWhere(cursor);
	const orderBy = cursor.acceptWord('order', 'by') ? parseOrderBy(cursor) : [];
	const limit = cursor.acceptWord('limit')
		? expressions.parseExpression(cursor)
		: undefined;
	const offset = cursor.acceptWord('offset')
		? expressions.parseExpression(cursor)
		: undefined;
	if (cursor.acceptWord('for')) {
		// A locking clause such as FOR UPDATE is ignored: only writes acquire row locks.
		readRestOfStatement(cursor);
	}

	return {type: 'select', items, source, where, orderBy, limit, offset};
}

function parseSource(cursor: expressions.TokenCursor): types.SelectSource {
	const name = cursor.readName();
	if (!cursor.acceptSymbol('(')) {
		parseAlias(cursor);
		return {type: 'table', name};
	}

	const args = expressions.parseExpressionList(cursor);
	const call = {type: 'call', name, args} as const;
	const alias = parseAlias(cursor) ?? findDefaultName(call);
	return {type: 'function', call, alias};
}

function parseOrderBy(
	cursor: expressions.TokenCursor,
): Array<{expression: types.Expression; descending: boolean}> {
	const list: Array<{expression: types.Expression; descending: boolean}> = [];
	do {
		const expression = expressions.parseExpression(cursor);
		const descending = cursor.acceptWord('desc');
		if (!descending) {
			cursor.acceptWord('asc');
		}

		list.push({expression, descending});
	} while (cursor.acceptSymbol(','));

	return list;
}

export function parseWhere(
	cursor: expressions.TokenCursor,
): types.Expression | undefined {
	return cursor.acceptWord('where')
		? expressions.parseExpression(cursor)
		: undefined;
}

export function parseReturning(
	cursor: expressions.TokenCursor,
): types.SelectItem[] | undefined {
	return cursor.acceptWord('returning') ? parseSelectItems(cursor) : undefined;
}
