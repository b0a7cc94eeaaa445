/**
 * The statement grammar of the stand-in's SQL subset.
 */
import * as expressions from './expression-parser.js';
import * as lexer from './lexer.js';
import * as select from './select-parser.js';
import * as types from './types.js';

/** Size limit of the parse cache; benchmarks repeat a few statements very often. */
const maxCachedTexts = 2000;

const parseCache = new Map<string, readonly types.Statement[]>();

/** Parses a text of any number of statements; throws a syntax error (42601). */
export function parseStatements(sql: string): readonly types.Statement[] {
	const cached = parseCache.get(sql);
	if (cached) {
		return cached;
	}

	const cursor = new expressions.TokenCursor(lexer.parseTokens(sql));
	const statements: types.Statement[] = [];
	while (!cursor.isAtEnd) {
		if (cursor.acceptSymbol(';')) {
			continue;
		}

		statements.push(parseStatement(cursor));
		if (!cursor.isAtEnd) {
			cursor.expectSymbol(';');
		}
	}

	if (parseCache.size >= maxCachedTexts) {
		parseCache.clear();
	}

	parseCache.set(sql, statements);
	return statements;
}

function parseStatement(cursor: expressions.TokenCursor): types.Statement {
	const token = cursor.readNext();
	const keyword = token?.type === 'word' ? token.text : '';
	switch (keyword) {
		case 'select': {
			return select.parseSelect(cursor);
		}

		case 'insert': {
			return parseInsert(cursor);
		}

		case 'update': {
			return parseUpdate(cursor);
		}

		case 'delete': {
			cursor.expectWord('from');
			const table = cursor.readName();
			const where = select.parseWhere(cursor);
			return {
				type: 'delete',
				table,
				where,
				returning: select.parseReturning(cursor),
			};
		}

		case 'create': {
			return parseCreateTable(cursor);
		}

		case 'drop': {
			cursor.expectWord('table');
			const ifExists = cursor.acceptWord('if', 'exists');
			return {type: 'dropTable', table: cursor.readName(), ifExists};
		}

		default: {
			return parseSessionStatement(cursor, keyword);
		}
	}
}

function parseSessionStatement(
	cursor: expressions.TokenCursor,
	keyword: string,
): types.Statement {
	switch (keyword) {
		case 'begin':
		case 'start': {
			const words = select
				.readRestOfStatement(cursor)
				.map((text) => text.toLowerCase());
			const readOnly = words.join(' ').includes('read only');
			const tag = keyword === 'begin' ? 'BEGIN' : 'START TRANSACTION';
			return {type: 'begin', readOnly, tag};
		}

		case 'commit':
		case 'end': {
			select.readRestOfStatement(cursor);
			return {type: 'commit'};
		}

		case 'rollback':
		case 'abort': {
			select.readRestOfStatement(cursor);
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
			cursor.expectWord('all');
			return {type: 'discard'};
		}

		case 'listen':
		case 'unlisten': {
			select.readRestOfStatement(cursor);
			return {type: 'listen', tag: keyword.toUpperCase()};
		}

		default: {
			throw new types.SqlError('42601', `syntax error at or near "${keyword}"`);
		}
	}
}

function parseSet(cursor: expressions.TokenCursor): types.Statement {
	if (!cursor.acceptWord('session')) {
		cursor.acceptWord('local');
	}

	const name = cursor.readName();
	if (!cursor.acceptSymbol('=') && !cursor.acceptWord('to')) {
		throw cursor.makeSyntaxError();
	}

	const value = select.readRestOfStatement(cursor).join('');
	return value === 'default'
		? {type: 'reset', name}
		: {type: 'set', name, value};
}

function parseNameList(cursor: expressions.TokenCursor): string[] {
	const names: string[] = [];
	cursor.expectSymbol('(');
	do {
		names.push(cursor.readName());
	} while (cursor.acceptSymbol(','));

	cursor.expectSymbol(')');
	return names;
}

function parseInsert(cursor: expressions.TokenCursor): types.Statement {
	cursor.expectWord('into');
	const table = cursor.readName();
	const columns = cursor.isNextSymbol('(') ? parseNameList(cursor) : undefined;
	const rows: Array<Array<types.Expression | undefined>> = [];
	if (cursor.acceptWord('default', 'values')) {
		rows.push([]);
	} else {
		cursor.expectWord('values');
		do {
			rows.push(parseInsertRow(cursor));
		} while (cursor.acceptSymbol(','));
	}

	const ignoreConflicts = cursor.acceptWord('on', 'conflict');
	if (ignoreConflicts) {
		if (cursor.isNextSymbol('(')) {
			parseNameList(cursor);
		}

		cursor.expectWord('do', 'nothing');
	}

	const returning = select.parseReturning(cursor);
	return {type: 'insert', table, columns, rows, ignoreConflicts, returning};
}

function parseInsertRow(
	cursor: expressions.TokenCursor,
): Array<types.Expression | undefined> {
	const row: Array<types.Expression | undefined> = [];
	cursor.expectSymbol('(');
	do {
		row.push(
			cursor.acceptWord('default')
				? undefined
				: expressions.parseExpression(cursor),
		);
	} while (cursor.acceptSymbol(','));

	cursor.expectSymbol(')');
	return row;
}

function parseUpdate(cursor: expressions.TokenCursor): types.Statement {
	const table = cursor.readName();
	cursor.expectWord('set');
	const assignments: Array<readonly [string, types.Expression]> = [];
	do {
		const name = cursor.readName();
		cursor.expectSymbol('=');
		assignments.push([name, expressions.parseExpression(cursor)]);
	} while (cursor.acceptSymbol(','));

	const where = select.parseWhere(cursor);
	const returning = select.parseReturning(cursor);
	return {type: 'update', table, assignments, where, returning};
}

function parseCreateTable(cursor: expressions.TokenCursor): types.Statement {
	cursor.expectWord('table');
	const ifNotExists = cursor.acceptWord('if', 'not', 'exists');
	const name = cursor.readName();
	const columns: types.Column[] = [];
	const primaryKeys: string[][] = [];
	const uniqueKeys: string[][] = [];
	cursor.expectSymbol('(');
	do {
		if (cursor.acceptWord('primary', 'key')) {
			primaryKeys.push(parseNameList(cursor));
		} else if (cursor.acceptWord('unique')) {
			uniqueKeys.push(parseNameList(cursor));
		} else {
			columns.push(parseColumn(cursor, primaryKeys, uniqueKeys));
		}
	} while (cursor.acceptSymbol(','));

	cursor.expectSymbol(')');
	const uniqueIndexes = [...primaryKeys, ...uniqueKeys].map((names) =>
		names.map((column) => findColumnIndex(columns, column)),
	);
	return {
		type: 'createTable',
		definition: {name, columns, uniqueIndexes},
		ifNotExists,
	};
}

function parseColumn(
	cursor: expressions.TokenCursor,
	primaryKeys: string[][],
	uniqueKeys: string[][],
): types.Column {
	const name = cursor.readName();
	let serial = cursor.isNextWord('serial') || cursor.isNextWord('bigserial');
	const type = expressions.parseType(cursor);
	let notNull = serial;
	let defaultValue: types.Expression | undefined;
	for (;;) {
		if (cursor.acceptWord('primary', 'key')) {
			primaryKeys.push([name]);
			notNull = true;
		} else if (cursor.acceptWord('unique')) {
			uniqueKeys.push([name]);
		} else if (cursor.acceptWord('not', 'null')) {
			notNull = true;
		} else if (cursor.acceptWord('default')) {
			// Level 3 excludes AND, OR, NOT, IN, IS NULL and the comparisons.
			defaultValue = expressions.parseExpression(cursor, 3);
		} else if (
			cursor.acceptWord('generated', 'always', 'as', 'identity') ||
			cursor.acceptWord('generated', 'by', 'default', 'as', 'identity')
		) {
			serial = true;
			notNull = true;
		} else if (!cursor.acceptWord('null')) {
			return {name, type, notNull, serial, defaultValue};
		}
	}
}

/** Finds the index of a column; throws 42703 when there is none. */
export function findColumnIndex(
	columns: readonly types.Column[],
	name: string,
): number {
	const index = columns.findIndex((column) => column.name === name);
	if (index === -1) {
		throw new types.SqlError('42703', `column "${name}" does not exist`);
	}

	return index;
}
