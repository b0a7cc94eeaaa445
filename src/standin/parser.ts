/**
 * The statement grammar of the stand-in's SQL subset.
 */
import * as expressions from './expression-parser.js';
import * as lexer from './lexer.js';
import * as select from './select-parser.js';
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
			return select.parseSelect(cursor);
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
			const where = select.parseWhere(cursor);
			return {
				type: 'delete',
				table,
				where,
				returning: select.parseReturning(cursor),
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
			const words = select.readRest(cursor).map((text) => text.toLowerCase());
			const readOnly = words.join(' ').includes('read only');
			const tag = word === 'begin' ? 'BEGIN' : 'START TRANSACTION';
			return {type: 'begin', readOnly, tag};
		}

		case 'commit':
		case 'end': {
			select.readRest(cursor);
			return {type: 'commit'};
		}

		case 'rollback':
		case 'abort': {
			select.readRest(cursor);
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
			select.readRest(cursor);
			return {type: 'listen', tag: word.toUpperCase()};
		}

		default: {
			throw new types.SqlError('42601', `syntax error at or near "${word}"`);
		}
	}
}

function parseSet(cursor: expressions.Cursor): types.Statement {
	if (!cursor.tryWord('session')) {
		cursor.tryWord('local');
	}

	const name = cursor.readName();
	if (!cursor.trySymbol('=') && !cursor.tryWord('to')) {
		throw cursor.makeError();
	}

	const value = select.readRest(cursor).join('');
	return value === 'default'
		? {type: 'reset', name}
		: {type: 'set', name, value};
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

	const returning = select.parseReturning(cursor);
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

	const where = select.parseWhere(cursor);
	const returning = select.parseReturning(cursor);
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
