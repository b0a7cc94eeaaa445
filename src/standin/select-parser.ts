/**
 * The grammar of SELECT and of the parts that other statements share with it.
 */
import * as expressions from './expression-parser.js';
import type * as types from './types.js';

/** Reads the tokens up to the end of the statement as texts. */
export function readRest(cursor: expressions.Cursor): string[] {
	const texts: string[] = [];
	while (!cursor.isAtEnd && !cursor.isSymbol(';')) {
		const token = cursor.readNext();
		texts.push(token && token.type !== 'parameter' ? token.text : '');
	}

	return texts;
}

const reservedAfterItem = new Set([
	'from',
	'where',
	'order',
	'limit',
	'offset',
	'for',
]);

function parseItems(cursor: expressions.Cursor): types.SelectItem[] {
	const items: types.SelectItem[] = [];
	do {
		if (cursor.trySymbol('*')) {
			items.push({type: 'star'});
			continue;
		}

		const expression = expressions.parseExpression(cursor);
		const name = parseAlias(cursor) ?? findDefaultName(expression);
		items.push({type: 'expression', expression, name});
	} while (cursor.trySymbol(','));

	return items;
}

function parseAlias(cursor: expressions.Cursor): string | undefined {
	if (cursor.tryWord('as')) {
		return cursor.readName();
	}

	const next = cursor.findNext();
	return next?.type === 'word' && !reservedAfterItem.has(next.text)
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

export function parseSelect(cursor: expressions.Cursor): types.Statement {
	const items = parseItems(cursor);
	const source = cursor.tryWord('from') ? parseSource(cursor) : undefined;
	const where = parseWhere(cursor);
	const orderBy = cursor.tryWord('order', 'by') ? parseOrder(cursor) : [];
	const limit = cursor.tryWord('limit')
		? expressions.parseExpression(cursor)
		: undefined;
	const offset = cursor.tryWord('offset')
		? expressions.parseExpression(cursor)
		: undefined;
	if (cursor.tryWord('for')) {
		// Row locks are taken by writes only.
		readRest(cursor);
	}

	return {type: 'select', items, source, where, orderBy, limit, offset};
}

function parseSource(cursor: expressions.Cursor): types.SelectSource {
	const name = cursor.readName();
	if (!cursor.trySymbol('(')) {
		parseAlias(cursor);
		return {type: 'table', name};
	}

	const args = expressions.parseList(cursor);
	const call = {type: 'call', name, args} as const;
	const alias = parseAlias(cursor) ?? findDefaultName(call);
	return {type: 'function', call, alias};
}

function parseOrder(
	cursor: expressions.Cursor,
): Array<{expression: types.Expression; descending: boolean}> {
	const list: Array<{expression: types.Expression; descending: boolean}> = [];
	do {
		const expression = expressions.parseExpression(cursor);
		const descending = cursor.tryWord('desc');
		if (!descending) {
			cursor.tryWord('asc');
		}

		list.push({expression, descending});
	} while (cursor.trySymbol(','));

	return list;
}

export function parseWhere(
	cursor: expressions.Cursor,
): types.Expression | undefined {
	return cursor.tryWord('where')
		? expressions.parseExpression(cursor)
		: undefined;
}

export function parseReturning(
	cursor: expressions.Cursor,
): types.SelectItem[] | undefined {
	return cursor.tryWord('returning') ? parseItems(cursor) : undefined;
}
