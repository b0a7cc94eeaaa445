/**
 * The statement grammar of the stand-in's SQL subset.
 */
import * as expressions from './expression-parser.js';
import * as lexer from './lexer.js';
import * as types from './types.js';

/** Texts kept in the parse cache; measurements repeat a few statements very often. */
const maxCachedTexts = 2000;

const cache = new Map<string, readonly types.Statement[]>();

/** Parses a text of any number of statements; throws a syntax error (42601). */
export function parseStatements(sql: string): readonly types.Statement[] {
	const cached = cache.get(sql);
	if (cached) {
		return cached;
	}

	const cursor = new expressions.Cursor(lexer.parseTokens(sql));
	const statements: types.Statement[] = [];
	while (!cursor.isAtEnd) {
		if (cursor.trySymbol(';')) {
			continue;
		}

		statements.push(parseStatement(cursor));
		if (!cursor.isAtEnd) {
			cursor.assertSymbol(';');
		}
	}

	if (cache.size >= maxCachedTexts) {
		cache.clear();
	}

	cache.set(sql, statements);
	return statements;
}

function parseStatement(cursor: expressions.Cursor): types.Statement {
	const token = cursor.readNext();
	const word = token?.type === 'word' ? token.text : '';
	switch (word) {
		case 'select': {
			return parseSelect(cursor);
		}

		case 'insert': {
			return parseInsert(cursor);
		}

		case 'update': {
			return parseUpdate(cursor);
		}

		case 'delete': {
			cursor.assertWord('from');
			const table = cursor.readName();
			const where = parseWhere(cursor);
			return {
				type: 'delete',
				table,
				where,
				returning: parseReturning(cursor),
			};
		}

		case 'create': {
			return parseCreate(cursor);
		}

		case 'drop': {
			cursor.assertWord('table');
			const ifExists = cursor.tryWord('if', 'exists');
			return {type: 'dropTable', table: cursor.readName(), ifExists};
		}

		default: {
			return parseSessionStatement(cursor, word);
		}
	}
}

function parseSessionStatement(
	cursor: expressions.Cursor,
	word: string,
): types.Statement {
	switch (word) {
		case 'begin':
		case 'start': {
			const words = readRest(cursor).map((text) => text.toLowerCase());
			const readOnly = words.join(' ').includes('read only');
			const tag = word === 'begin' ? 'BEGIN' : 'START TRANSACTION';
			return {type: 'begin', readOnly, tag};
		}

		case 'commit':
		case 'end': {
			readRest(cursor);
			return {type: 'commit'};
		}

		case 'rollback':
		case 'abort': {
			readRest(cursor);
			return {type: 'rollback'};
		}

		case 'set': {
			return parseSet(cursor);
		}

		case 'show': {
			return {type: 'show', name: cursor.readName()};
		}

		case 'reset': {
			return {type: 'reset', name: cursor.readName()};
		}

		case 'discard': {
			cursor.assertWord('all');
			return {type: 'discard'};
		}

		case 'listen':
		case 'unlisten': {
			readRest(cursor);
			return {type: 'listen', tag: word.toUpperCase()};
		}

		default: {
			throw new types.SqlError('42601', `syntax error at or near "${word}"`);
		}
	}
}

/** Reads the tokens up to the end of the statement as texts. */
function readRest(cursor: expressions.Cursor): string[] {
	const texts: string[] = [];
	while (!cursor.isAtEnd && !cursor.isSymbol(';')) {
		const token = cursor.readNext();
		texts.push(token && token.type !== 'parameter' ? token.text : '');
	}

	return texts;
}

function parseSet(cursor: expressions.Cursor): types.Statement {
	if (!cursor.tryWord('session')) {
		cursor.tryWord('local');
	}

	const name = cursor.readName();
	if (!cursor.trySymbol('=') && !cursor.tryWord('to')) {
		throw cursor.makeError();
	}

	const value = readRest(cursor).join('');
	return value === 'default'
		? {type: 'reset', name}
		: {type: 'set', name, value};
}

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

const reservedAfterItem = new Set([
	'from',
	'where',
	'order',
	'limit',
	'offset',
	'for',
]);

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

function parseSelect(cursor: expressions.Cursor): types.Statement {
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

function parseWhere(cursor: expressions.Cursor): types.Expression | undefined {
	return cursor.tryWord('where')
		? expressions.parseExpression(cursor)
		: undefined;
}

function parseReturning(
	cursor: expressions.Cursor,
): types.SelectItem[] | undefined {
	return cursor.tryWord('returning') ? parseItems(cursor) : undefined;
}

function parseNames(cursor: expressions.Cursor): string[] {
	const names: string[] = [];
	cursor.assertSymbol('(');
	do {
		names.push(cursor.readName());
	} while (cursor.trySymbol(','));

	cursor.assertSymbol(')');
	return names;
}

function parseInsert(cursor: expressions.Cursor): types.Statement {
	cursor.assertWord('into');
	const table = cursor.readName();
	const columns = cursor.isSymbol('(') ? parseNames(cursor) : undefined;
	const rows: Array<Array<types.Expression | undefined>> = [];
	if (cursor.tryWord('default', 'values')) {
		rows.push([]);
	} else {
		cursor.assertWord('values');
		do {
			rows.push(parseInsertRow(cursor));
		} while (cursor.trySymbol(','));
	}

	const ignoreConflicts = cursor.tryWord('on', 'conflict');
	if (ignoreConflicts) {
		if (cursor.isSymbol('(')) {
			parseNames(cursor);
		}

		cursor.assertWord('do', 'nothing');
	}

	const returning = parseReturning(cursor);
	return {type: 'insert', table, columns, rows, ignoreConflicts, returning};
}

function parseInsertRow(
	cursor: expressions.Cursor,
): Array<types.Expression | undefined> {
	const row: Array<types.Expression | undefined> = [];
	cursor.assertSymbol('(');
	do {
		row.push(
			cursor.tryWord('default')
				? undefined
				: expressions.parseExpression(cursor),
		);
	} while (cursor.trySymbol(','));

	cursor.assertSymbol(')');
	return row;
}

function parseUpdate(cursor: expressions.Cursor): types.Statement {
	const table = cursor.readName();
	cursor.assertWord('set');
	const assignments: Array<readonly [string, types.Expression]> = [];
	do {
		const name = cursor.readName();
		cursor.assertSymbol('=');
		assignments.push([name, expressions.parseExpression(cursor)]);
	} while (cursor.trySymbol(','));

	const where = parseWhere(cursor);
	const returning = parseReturning(cursor);
	return {type: 'update', table, assignments, where, returning};
}

function parseCreate(cursor: expressions.Cursor): types.Statement {
	cursor.assertWord('table');
	const ifNotExists = cursor.tryWord('if', 'not', 'exists');
	const name = cursor.readName();
	const columns: types.Column[] = [];
	const primaryKey: string[][] = [];
	const unique: string[][] = [];
	cursor.assertSymbol('(');
	do {
		if (cursor.tryWord('primary', 'key')) {
			primaryKey.push(parseNames(cursor));
		} else if (cursor.tryWord('unique')) {
			unique.push(parseNames(cursor));
		} else {
			columns.push(parseColumn(cursor, primaryKey, unique));
		}
	} while (cursor.trySymbol(','));

	cursor.assertSymbol(')');
	const uniqueIndexes = [...primaryKey, ...unique].map((names) =>
		names.map((column) => findColumn(columns, column)),
	);
	return {
		type: 'createTable',
		definition: {name, columns, uniqueIndexes},
		ifNotExists,
	};
}

function parseColumn(
	cursor: expressions.Cursor,
	primaryKey: string[][],
	unique: string[][],
): types.Column {
	const name = cursor.readName();
	let serial = cursor.isWord('serial') || cursor.isWord('bigserial');
	const type = expressions.parseType(cursor);
	let notNull = serial;
	let defaultValue: types.Expression | undefined;
	for (;;) {
		if (cursor.tryWord('primary', 'key')) {
			primaryKey.push([name]);
			notNull = true;
		} else if (cursor.tryWord('unique')) {
			unique.push([name]);
		} else if (cursor.tryWord('not', 'null')) {
			notNull = true;
		} else if (cursor.tryWord('default')) {
			defaultValue = expressions.parseExpression(cursor, 3);
		} else if (
			cursor.tryWord('generated', 'always', 'as', 'identity') ||
			cursor.tryWord('generated', 'by', 'default', 'as', 'identity')
		) {
			serial = true;
			notNull = true;
		} else if (!cursor.tryWord('null')) {
			return {name, type, notNull, serial, defaultValue};
		}
	}
}

/** Finds the number of a column; throws 42703 when there is none. */
export function findColumn(
	columns: readonly types.Column[],
	name: string,
): number {
	const index = columns.findIndex((column) => column.name === name);
	if (index === -1) {
		throw new types.SqlError('42703', `column "${name}" does not exist`);
	}

	return index;
}
