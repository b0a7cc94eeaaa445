/**
 * Prepared statements and portals of a session (PostgreSQL documentation, "Extended Query").
 */
import * as parser from './parser.js';
import type * as statements from './statement-runner.js';
import * as types from './types.js';
import type * as wire from './wire.js';

/** OID of the type `text`, used for parameters whose type the client does not specify. */
const textOid = 25;

type PreparedStatement = {
	readonly statement: types.Statement;
	readonly parameterOids: readonly number[];
};

export type Portal = {
	readonly statement: types.Statement;
	readonly parameters: readonly types.SqlValue[];
	/** Rows that remain after an Execute message reached its row limit. */
	suspendedResult?: {
		readonly rows: Iterator<types.Row>;
		readonly result: types.StatementResult;
	};
};

export class ExtendedProtocol {
	private readonly prepared = new Map<string, PreparedStatement>();
	private readonly portals = new Map<string, Portal>();

	private readonly writer: wire.MessageWriter;
	private readonly runner: statements.StatementRunner;

	constructor(writer: wire.MessageWriter, runner: statements.StatementRunner) {
		this.writer = writer;
		this.runner = runner;
	}

	/** Removes all prepared statements and portals. */
	clear(): void {
		this.prepared.clear();
		this.portals.clear();
	}

	/** Removes all portals, as a portal ends with its transaction. */
	clearPortals(): void {
		this.portals.clear();
	}

	handleClose(body: wire.BodyReader): void {
		const kind = body.readByte();
		(kind === 'S' ? this.prepared : this.portals).delete(body.readText());
		this.writer.writeEmpty('3');
	}

	handleParse(body: wire.BodyReader): void {
		const name = body.readText();
		const parsedStatements = parser.parseStatements(body.readText());
		if (parsedStatements.length > 1) {
			throw new types.SqlError(
				'42601',
				'cannot insert multiple commands into a prepared statement',
			);
		}

		if (name !== '' && this.prepared.has(name)) {
			throw new types.SqlError(
				'42P05',
				`prepared statement "${name}" already exists`,
			);
		}

		const statement = parsedStatements.at(0) ?? {type: 'empty'};
		const givenOids = Array.from({length: body.readInt16()}, () =>
			body.readInt32(),
		);
		const parameterCount = Math.max(
			givenOids.length,
			countParameters(statement),
		);
		const parameterOids = Array.from(
			{length: parameterCount},
			(_, index) => givenOids[index] || textOid,
		);
		this.prepared.set(name, {statement, parameterOids});
		this.writer.writeEmpty('1');
	}

	handleBind(body: wire.BodyReader): void {
		const name = body.readText();
		const prepared = this.findPrepared(body.readText());
		const formats = Array.from({length: body.readInt16()}, () =>
			body.readInt16(),
		);
		const parameters = Array.from(
			{length: body.readInt16()},
			(_, index): types.SqlValue => {
				const length = body.readInt32();
				if (length === -1) {
					return null;
				}

				const bytes = body.readBytes(length);
				// A single format applies to all parameters; format 1 is binary, kept as hex text.
				const format = formats.length > 1 ? formats[index] : formats[0];
				return format === 1
					? String.raw`\x${bytes.toString('hex')}`
					: bytes.toString('utf8');
			},
		);
		const resultFormats = Array.from({length: body.readInt16()}, () =>
			body.readInt16(),
		);
		if (resultFormats.includes(1)) {
			throw new types.SqlError('0A000', 'binary results are not supported');
		}

		if (parameters.length !== prepared.parameterOids.length) {
			throw new types.SqlError(
				'08P01',
				`bind message supplies ${parameters.length} parameters, but prepared statement requires ${prepared.parameterOids.length}`,
			);
		}

		this.portals.set(name, {statement: prepared.statement, parameters});
		this.writer.writeEmpty('2');
	}

	handleDescribe(body: wire.BodyReader): void {
		const kind = body.readByte();
		const name = body.readText();
		const target =
			kind === 'S' ? this.findPrepared(name) : this.findPortal(name);
		if ('parameterOids' in target) {
			this.writer.writeParameterDescription(target.parameterOids);
		}

		const fields = this.runner.findFields(target.statement);
		if (fields) {
			this.writer.writeRowDescription(fields);
		} else {
			this.writer.writeEmpty('n');
		}
	}

	findPortal(name: string): Portal {
		const portal = this.portals.get(name);
		if (!portal) {
			throw new types.SqlError('34000', `portal "${name}" does not exist`);
		}

		return portal;
	}

	private findPrepared(name: string): PreparedStatement {
		const prepared = this.prepared.get(name);
		if (!prepared) {
			throw new types.SqlError(
				'26000',
				`prepared statement "${name}" does not exist`,
			);
		}

		return prepared;
	}
}

/** Returns the number of parameters of a statement, which is the highest `$n` in it. */
function countParameters(statement: types.Statement): number {
	let count = 0;
	JSON.stringify(statement, (_, value: unknown) => {
		if (
			typeof value === 'object' &&
			value !== null &&
			'type' in value &&
			value.type === 'parameter' &&
			'index' in value
		) {
			count = Math.max(count, Number(value.index) + 1);
		}

		return value;
	});
	return count;
}
