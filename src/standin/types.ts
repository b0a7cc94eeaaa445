/**
 * Data types of the stand-in server: SQL values, log records, options and faults. All durations
 * are in ms unless a name says otherwise.
 */
import type * as shared from '../common/types.js';

/** A value of a column; dates are kept as text. */
export type SqlValue = string | number | boolean | null;

/** Values in the order of the table's columns. */
export type Row = readonly SqlValue[];

export type ColumnType =
	| 'int4'
	| 'int8'
	| 'float8'
	| 'numeric'
	| 'text'
	| 'bool'
	| 'timestamptz'
	| 'json'
	| 'void';

export type Column = {
	readonly name: string;
	readonly type: ColumnType;
	readonly notNull: boolean;
	/** Filled from a counter when no value is given. */
	readonly serial: boolean;
	readonly defaultValue?: Expression;
};

export type TableDefinition = {
	readonly name: string;
	readonly columns: readonly Column[];
	/** Column numbers of each unique index; the primary key comes first. */
	readonly uniqueIndexes: ReadonlyArray<readonly number[]>;
};

/** A change of the stored data, as recorded in the log. */
export type LogOperation =
	| {readonly type: 'createTable'; readonly definition: TableDefinition}
	| {readonly type: 'dropTable'; readonly table: string}
	| {
			/** Inserts, replaces (`row` is set) or deletes (`row` is null) one row. */
			readonly type: 'putRow';
			readonly table: string;
			readonly id: number;
			readonly row: Row | null;
	  };

/** One commit. A record without operations marks the start of a new term. */
export type LogRecord = {
	readonly term: number;
	/** Offset before the record. */
	readonly start: number;
	/** Offset after the record; the position of the commit. */
	readonly end: number;
	readonly operations: readonly LogOperation[];
};

/** The first offset of a term. */
export type TermStart = {readonly term: number; readonly start: number};

/** The content of a table, for a replica that needs records no longer retained in the log. */
export type TableSnapshot = {
	readonly definition: TableDefinition;
	readonly rows: ReadonlyArray<readonly [number, Row]>;
};

export type BinaryOperator =
	| '='
	| '<>'
	| '<'
	| '<='
	| '>'
	| '>='
	| '+'
	| '-'
	| '*'
	| '/'
	| '||'
	| 'and'
	| 'or';

export type Expression =
	| {
			readonly type: 'literal';
			readonly value: SqlValue;
			readonly valueType: ColumnType;
	  }
	| {readonly type: 'parameter'; readonly index: number}
	| {readonly type: 'column'; readonly name: string}
	| {
			readonly type: 'call';
			readonly name: string;
			readonly args: readonly Expression[];
	  }
	| {
			readonly type: 'binary';
			readonly operator: BinaryOperator;
			readonly left: Expression;
			readonly right: Expression;
	  }
	| {readonly type: 'not'; readonly operand: Expression}
	| {
			readonly type: 'isNull';
			readonly operand: Expression;
			readonly negated: boolean;
	  }
	| {
			readonly type: 'in';
			readonly operand: Expression;
			readonly list: readonly Expression[];
	  }
	| {
			readonly type: 'cast';
			readonly operand: Expression;
			readonly target: ColumnType;
	  };

/** An item of a select list; `star` stands for all columns. */
export type SelectItem =
	| {readonly type: 'star'}
	| {
			readonly type: 'expression';
			readonly expression: Expression;
			readonly name: string;
	  };

export type SelectSource =
	| {readonly type: 'table'; readonly name: string}
	| {
			readonly type: 'function';
			readonly call: Extract<Expression, {type: 'call'}>;
			readonly alias: string;
	  };

export type Statement =
	| {readonly type: 'empty'}
	| {readonly type: 'begin'; readonly readOnly: boolean; readonly tag: string}
	| {readonly type: 'commit'}
	| {readonly type: 'rollback'}
	| {
			readonly type: 'createTable';
			readonly definition: TableDefinition;
			readonly ifNotExists: boolean;
	  }
	| {
			readonly type: 'dropTable';
			readonly table: string;
			readonly ifExists: boolean;
	  }
	| {
			readonly type: 'insert';
			readonly table: string;
			readonly columns: readonly string[] | undefined;
			/** Undefined stands for DEFAULT. */
			readonly rows: ReadonlyArray<ReadonlyArray<Expression | undefined>>;
			readonly ignoreConflicts: boolean;
			readonly returning: readonly SelectItem[] | undefined;
	  }
	| {
			readonly type: 'update';
			readonly table: string;
			readonly assignments: ReadonlyArray<readonly [string, Expression]>;
			readonly where: Expression | undefined;
			readonly returning: readonly SelectItem[] | undefined;
	  }
	| {
			readonly type: 'delete';
			readonly table: string;
			readonly where: Expression | undefined;
			readonly returning: readonly SelectItem[] | undefined;
	  }
	| {
			readonly type: 'select';
			readonly items: readonly SelectItem[];
			readonly source: SelectSource | undefined;
			readonly where: Expression | undefined;
			readonly orderBy: ReadonlyArray<{
				readonly expression: Expression;
				readonly descending: boolean;
			}>;
			readonly limit: Expression | undefined;
			readonly offset: Expression | undefined;
	  }
	| {readonly type: 'set'; readonly name: string; readonly value: string}
	| {readonly type: 'show'; readonly name: string}
	| {readonly type: 'reset'; readonly name: string}
	| {readonly type: 'discard'}
	| {readonly type: 'listen'; readonly tag: string};

export type ResultField = {readonly name: string; readonly type: ColumnType};

/** The result of a statement. `rows` may be produced while it is sent. */
export type StatementResult = {
	readonly fields: readonly ResultField[] | undefined;
	readonly rows: Iterable<Row>;
	/** Command tag; a `select` has its row count added when it is sent. */
	readonly tag: string;
	/** Time that the statement sleeps while it holds its slot, in ms. */
	readonly sleepMs: number;
};

/** Faults and delays that can be set at run time. */
export type Faults = {
	/** Delay between the arrival of a log record at a replica and its append to the replica's log. */
	receiveLagMs: number;
	/** Delay between the append of a log record on a replica and its visibility to reads. */
	applyLagMs: number;
	/** Accepts bytes, but executes and answers nothing; resumes when cleared. */
	freeze: boolean;
	/** No byte arrives or leaves; open connections stay open. */
	cut: boolean;
	/** Closes every socket and the listener; clearing it starts the server again. */
	crash: boolean;
	/** Announces that the server is about to leave. */
	departing: boolean;
	/** Time that each data statement holds its slot. */
	serviceTimeMs: number;
	/** Time between the startup message and its answer. */
	connectTimeMs: number;
};

export type StandInOptions = {
	readonly group: string;
	readonly server: string;
	readonly dataCentre: string;
	/** IP address of the listeners. */
	readonly host?: string;
	/** 0 selects a free port. */
	readonly port?: number;
	readonly controlPort?: number;
	readonly role?: shared.UpstreamRole;
	/** Initial term; every server of a group starts with the same one. */
	readonly term?: number;
	/** Name and address of the primary that a replica follows. */
	readonly primary?: {readonly server: string; readonly address: string};
	readonly slots?: number;
	readonly connectionLimit?: number;
	readonly faults?: Partial<Faults>;
	/** `ip:port` of the HTTP listeners of proxies. */
	readonly announceTo?: readonly string[];
	readonly announceIntervalMs?: number;
	/** `ip:port` that announcements name in place of the listener, such as that of a relay. */
	readonly announcedAddress?: string;
};

/** An error that is sent to the client as ErrorResponse. */
export class SqlError extends Error {
	/**
	 * @param sqlState - The five characters of the SQLSTATE.
	 * @param message - The message text of the ErrorResponse.
	 */
	constructor(
		readonly sqlState: string,
		message: string,
	) {
		super(message);
		this.name = 'SqlError';
	}
}
