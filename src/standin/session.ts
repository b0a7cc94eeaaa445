/**
 * One connection of a caller: reads messages, runs statements and writes answers. Messages that
 * were received before the caller closed its side are still executed, as PostgreSQL does.
 */
import type {Buffer} from 'node:buffer';
import type * as gates from './gate.js';
import * as statements from './statement-runner.js';
import type * as server from './session-host.js';
import * as parser from './parser.js';
import * as types from './types.js';
import * as wire from './wire.js';

/** Rows are sent in pieces of about this size. */
const flushBytes = 64 * 1024;
/** The type OID `text`, used for parameters whose type the caller leaves open. */
const textOid = 25;

type PreparedStatement = {
	readonly statement: types.Statement;
	readonly parameterOids: readonly number[];
};

type Portal = {
	readonly statement: types.Statement;
	readonly parameters: readonly types.SqlValue[];
	/** Rest of a result that was fetched in part. */
	pending?: {
		readonly rows: Iterator<types.Row>;
		readonly result: types.StatementResult;
	};
};

export class Session {
	readonly processId: number;
	readonly secret = Math.trunc(Math.random() * 2 ** 31);
	readonly settings = new Map<string, string>();
	/** The startup message has been answered. */
	isReady = false;
	private readonly reader = new wire.MessageReader();
	private readonly writer = new wire.MessageWriter();
	private readonly prepared = new Map<string, PreparedStatement>();
	private readonly portals = new Map<string, Portal>();
	private readonly runner: statements.StatementRunner;
	private isBusy = false;
	private isEnded = false;
	private isSkipping = false;
	private isClosed = false;

	constructor(
		private readonly host: server.SessionHost,
		private readonly connection: gates.GatedSocket,
		processId: number,
		private readonly isControl: boolean,
	) {
		this.processId = processId;
		this.runner = new statements.StatementRunner(host, this, isControl);
		const {socket} = connection;
		socket.on('data', (data) => {
			this.reader.add(data);
			void this.runMessages();
		});
		socket.on('error', () => {
			socket.destroy();
		});
		socket.on('close', () => {
			this.isEnded = true;
			void this.runMessages();
		});
	}

	private get executionGate(): gates.Gate {
		return this.isControl ? this.host.controlGate : this.host.executionGate;
	}

	get applicationName(): string {
		return this.settings.get('application_name') ?? '';
	}

	/** Cancels the statement that is running or waiting, with 57014. */
	cancel(): void {
		this.runner.cancel(
			new types.SqlError('57014', 'canceling statement due to user request'),
		);
	}

	/** Ends the session at once with a FATAL error. */
	stop(sqlState: string, message: string): void {
		this.writer.writeError(sqlState, message, 'FATAL');
		this.flush();
		this.connection.close();
		this.dispose();
	}

	/** Ends the session without an answer; an open transaction is rolled back. */
	dispose(): void {
		if (this.isClosed) {
			return;
		}

		this.isClosed = true;
		this.runner.cancel(new types.SqlError('57P01', 'connection closed'));
		this.runner.rollback();
		this.host.removeSession(this);
	}

	/** Forgets prepared statements, portals and settings, for DISCARD ALL. */
	reset(): void {
		this.prepared.clear();
		this.portals.clear();
		this.settings.clear();
	}

	/** Reports a changed setting to the caller where PostgreSQL does. */
	setSetting(name: string, value: string): void {
		this.settings.set(name, value);
		if (name === 'application_name') {
			this.writer.writeParameterStatus(name, value);
		}
	}

	/** Runs complete messages in order; only one call works at a time. */
	private async runMessages(): Promise<void> {
		if (this.isBusy) {
			return;
		}

		this.isBusy = true;
		try {
			for (;;) {
				if (!this.executionGate.isOpen) {
					await this.executionGate.wait();
				}

				const message = this.isClosed ? undefined : this.reader.take();
				if (!message) {
					break;
				}

				const pending = this.handleMessage(message);
				if (pending) {
					this.flush();
					await pending;
				}

				if (this.writer.size > flushBytes) {
					this.flush();
				}
			}
		} catch (error) {
			this.stop('08P01', `protocol violation: ${String(error)}`);
		}

		this.flush();
		this.isBusy = false;
		if (this.isEnded) {
			this.dispose();
		}
	}

	private handleMessage(message: wire.FrontendMessage): Promise<void> | void {
		if (message.code === 0) {
			return this.handleStartup(message.body);
		}

		const code = String.fromCodePoint(message.code);
		if (this.isSkipping && code !== 'S' && code !== 'X') {
			return;
		}

		const body = new wire.BodyReader(message.body);
		try {
			const pending = this.handleCommand(code, body);
			return pending?.catch((error: unknown) => {
				this.handleError(error, code);
			});
		} catch (error) {
			this.handleError(error, code);
		}
	}

	private handleCommand(
		code: string,
		body: wire.BodyReader,
	): Promise<void> | void {
		switch (code) {
			case 'Q': {
				return this.runQuery(parser.parseStatements(body.readText()), 0);
			}

			case 'P': {
				this.handleParse(body);
				return;
			}

			case 'B': {
				this.handleBind(body);
				return;
			}

			case 'D': {
				this.handleDescribe(body);
				return;
			}

			case 'E': {
				return this.handleExecute(body);
			}

			case 'C': {
				const kind = body.readByte();
				(kind === 'S' ? this.prepared : this.portals).delete(body.readText());
				this.writer.writeEmpty('3');
				return;
			}

			case 'H': {
				this.flush();
				return;
			}

			case 'S': {
				this.isSkipping = false;
				this.runner.finishImplicit();
				this.writeReady();
				return;
			}

			case 'X': {
				this.connection.close();
				this.dispose();
				return;
			}

			case 'd': {
				this.host.handleReplicaMessage(this, body.readRest());
				return;
			}

			default: {
				throw new RangeError(`unknown message type ${code}`);
			}
		}
	}

	private handleError(error: unknown, code: string): void {
		if (this.isClosed) {
			return;
		}

		if (!(error instanceof types.SqlError)) {
			this.stop('XX000', `internal error: ${String(error)}`);
			return;
		}

		this.runner.setFailed();
		this.writer.writeError(error.sqlState, error.message);
		if (code === 'Q' || code === 'S') {
			this.writeReady();
		} else {
			this.isSkipping = true;
		}
	}

	private handleStartup(body: Buffer): Promise<void> | void {
		const reader = new wire.BodyReader(body);
		const code = reader.readInt32();
		if (code === wire.sslRequestCode || code === wire.gssRequestCode) {
			this.writer.writeByte('N');
			return;
		}

		if (code === wire.cancelRequestCode) {
			this.host.cancelStatement(reader.readInt32(), reader.readInt32());
			this.connection.close();
			this.dispose();
			return;
		}

		if (code !== wire.protocolVersion) {
			this.stop('0A000', 'unsupported frontend protocol');
			return;
		}

		this.reader.start();
		for (;;) {
			const name = reader.readText();
			if (name === '') {
				break;
			}

			this.settings.set(name, reader.readText());
		}

		if (this.settings.get('replication') === 'true') {
			this.writer.writeAuthenticationOk();
			this.host.addReplica(this, this.connection);
			return;
		}

		return this.finishStartup();
	}

	private async finishStartup(): Promise<void> {
		if (!this.isControl) {
			const delayMs = this.host.faults.connectTimeMs;
			if (delayMs > 0) {
				await new Promise((resolve) => {
					setTimeout(resolve, delayMs);
				});
				await this.host.executionGate.wait();
			}

			const refusal = this.host.checkConnection(this);
			if (refusal) {
				this.stop(refusal.sqlState, refusal.message);
				return;
			}
		}

		if (this.isClosed) {
			return;
		}

		this.isReady = true;
		this.writer.writeAuthenticationOk();
		for (const [name, value] of Object.entries({
			server_version: '16.0 (stand-in)',
			server_encoding: wire.utf8Name,
			client_encoding: wire.utf8Name,
			DateStyle: 'ISO, MDY',
			integer_datetimes: 'on',
			standard_conforming_strings: 'on',
			TimeZone: 'UTC',
			application_name: this.applicationName,
		})) {
			this.writer.writeParameterStatus(name, value);
		}

		this.writer.writeBackendKey(this.processId, this.secret);
		this.writeReady();
		this.flush();
	}

	/** Runs the statements of a Query message from `index` on. */
	private runQuery(
		list: readonly types.Statement[],
		index: number,
	): Promise<void> | void {
		if (list.length === 0) {
			this.writer.writeEmpty('I');
		}

		for (let next = index; next < list.length; next++) {
			const result = this.runner.run(list[next], []);
			const sent =
				result instanceof Promise
					? result.then(async (value) => this.writeResult(value, true))
					: this.writeResult(result, true);
			if (sent) {
				return sent.then(async () => this.runQuery(list, next + 1));
			}
		}

		this.runner.finishImplicit();
		this.writeReady();
	}

	private handleParse(body: wire.BodyReader): void {
		const name = body.readText();
		const list = parser.parseStatements(body.readText());
		if (list.length > 1) {
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

		const statement = list.at(0) ?? {type: 'empty'};
		const given = Array.from({length: body.readInt16()}, () =>
			body.readInt32(),
		);
		const count = Math.max(given.length, countParameters(statement));
		const parameterOids = Array.from(
			{length: count},
			(_, index) => given[index] || textOid,
		);
		this.prepared.set(name, {statement, parameterOids});
		this.writer.writeEmpty('1');
	}

	private handleBind(body: wire.BodyReader): void {
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

	private handleDescribe(body: wire.BodyReader): void {
		const kind = body.readByte();
		const name = body.readText();
		const source =
			kind === 'S' ? this.findPrepared(name) : this.findPortal(name);
		if ('parameterOids' in source) {
			this.writer.writeParameterDescription(source.parameterOids);
		}

		const fields = this.runner.findFields(source.statement);
		if (fields) {
			this.writer.writeRowDescription(fields);
		} else {
			this.writer.writeEmpty('n');
		}
	}

	private handleExecute(body: wire.BodyReader): Promise<void> | void {
		const portal = this.findPortal(body.readText());
		const maxRows = body.readInt32();
		if (portal.statement.type === 'empty') {
			this.writer.writeEmpty('I');
			return;
		}

		if (portal.pending) {
			const {rows, result} = portal.pending;
			return this.writeRows(result, rows, {count: 0, maxRows, portal});
		}

		const result = this.runner.run(portal.statement, portal.parameters);
		return result instanceof Promise
			? result.then(async (value) =>
					this.writeResult(value, false, portal, maxRows),
				)
			: this.writeResult(result, false, portal, maxRows);
	}

	private writeResult(
		result: types.StatementResult,
		isDescribed: boolean,
		portal?: Portal,
		maxRows = 0,
	): Promise<void> | void {
		if (result.fields && isDescribed) {
			this.writer.writeRowDescription(result.fields);
		}

		return this.writeRows(result, result.rows[Symbol.iterator](), {
			count: 0,
			maxRows,
			portal,
		});
	}

	/** Writes rows until the end, the limit of the Execute message, or a slow receiver. */
	private writeRows(
		result: types.StatementResult,
		rows: Iterator<types.Row>,
		progress: {count: number; maxRows: number; portal?: Portal},
	): Promise<void> | void {
		for (;;) {
			if (progress.maxRows > 0 && progress.count === progress.maxRows) {
				progress.portal!.pending = {rows, result};
				this.writer.writeEmpty('s');
				return;
			}

			const next = rows.next();
			if (next.done) {
				break;
			}

			this.writer.writeDataRow(next.value);
			progress.count++;
			if (this.writer.size > flushBytes && !this.flush()) {
				return this.connection
					.waitDrain()
					.then(async () => this.writeRows(result, rows, progress));
			}
		}

		const tag =
			result.tag === 'SELECT' ? `SELECT ${progress.count}` : result.tag;
		this.writer.writeCommandComplete(tag);
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

	private findPortal(name: string): Portal {
		const portal = this.portals.get(name);
		if (!portal) {
			throw new types.SqlError('34000', `portal "${name}" does not exist`);
		}

		return portal;
	}

	private writeReady(): void {
		if (!this.runner.isInTransaction) {
			this.portals.clear();
		}

		this.writer.writeReadyForQuery(this.runner.status);
	}

	private flush(): boolean {
		return this.writer.size === 0 || this.connection.write(this.writer.take());
	}
}

/** Counts the parameters that a statement uses. */
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
