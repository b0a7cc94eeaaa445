/**
 * One client connection: reads messages, runs statements and writes responses. Messages that were
 * received before the client closed its side are still executed, as PostgreSQL does.
 */
import type {Buffer} from 'node:buffer';
import * as extended from './extended-protocol.js';
import type * as gates from './gate.js';
import * as statements from './statement-runner.js';
import type * as sessionHost from './session-host.js';
import * as results from './result-writer.js';
import * as parser from './parser.js';
import * as types from './types.js';
import * as wire from './wire.js';

export class Session {
	readonly processId: number;
	readonly secretKey = Math.trunc(Math.random() * 2 ** 31);
	readonly settings = new Map<string, string>();
	/** True once the startup message has been answered. */
	isReady = false;
	private readonly reader = new wire.MessageReader();
	private readonly writer = new wire.MessageWriter();
	private readonly extended: extended.ExtendedProtocol;
	private readonly results: results.ResultWriter;
	private readonly runner: statements.StatementRunner;
	private isProcessing = false;
	private isSocketClosed = false;
	private isSkippingToSync = false;
	private isDisposed = false;

	constructor(
		private readonly host: sessionHost.SessionHost,
		private readonly connection: gates.GatedSocket,
		processId: number,
		private readonly isControl: boolean,
	) {
		this.processId = processId;
		this.results = new results.ResultWriter(this.writer, connection);
		this.runner = new statements.StatementRunner(host, this, isControl);
		this.extended = new extended.ExtendedProtocol(this.writer, this.runner);
		const {socket} = connection;
		socket.on('data', (data) => {
			this.reader.add(data);
			void this.processMessages();
		});
		socket.on('error', () => {
			socket.destroy();
		});
		socket.on('close', () => {
			this.isSocketClosed = true;
			void this.processMessages();
		});
	}

	private get executionGate(): gates.Gate {
		return this.isControl ? this.host.controlGate : this.host.executionGate;
	}

	get applicationName(): string {
		return this.settings.get('application_name') ?? '';
	}

	/** Cancels a statement that waits for a slot, a lock or a delay; it fails with 57014. */
	cancel(): void {
		this.runner.cancelWait(
			new types.SqlError('57014', 'canceling statement due to user request'),
		);
	}

	/** Ends the session immediately with a FATAL error. */
	stop(sqlState: string, message: string): void {
		this.writer.writeError(sqlState, message, 'FATAL');
		this.results.flush();
		this.connection.close();
		this.dispose();
	}

	/** Ends the session without a message; an open transaction is rolled back. */
	dispose(): void {
		if (this.isDisposed) {
			return;
		}

		this.isDisposed = true;
		this.runner.cancelWait(new types.SqlError('57P01', 'connection closed'));
		this.runner.endTransaction();
		this.host.removeSession(this);
	}

	/** Removes prepared statements, portals and settings, for DISCARD ALL. */
	reset(): void {
		this.extended.clear();
		this.settings.clear();
	}

	/** Stores a setting, and reports the change to the client where PostgreSQL does. */
	setSetting(name: string, value: string): void {
		this.settings.set(name, value);
		if (name === 'application_name') {
			this.writer.writeParameterStatus(name, value);
		}
	}

	/** Handles complete messages in order; a call while another one is running returns at once. */
	private async processMessages(): Promise<void> {
		if (this.isProcessing) {
			return;
		}

		this.isProcessing = true;
		try {
			for (;;) {
				if (!this.executionGate.isOpen) {
					await this.executionGate.waitUntilOpen();
				}

				const message = this.isDisposed ? undefined : this.reader.take();
				if (!message) {
					break;
				}

				const pending = this.handleMessage(message);
				if (pending) {
					this.results.flush();
					await pending;
				}

				if (this.writer.size > results.flushThresholdBytes) {
					this.results.flush();
				}
			}
		} catch (error) {
			this.stop('08P01', `protocol violation: ${String(error)}`);
		}

		this.results.flush();
		this.isProcessing = false;
		if (this.isSocketClosed) {
			this.dispose();
		}
	}

	private handleMessage(message: wire.FrontendMessage): Promise<void> | void {
		if (message.typeByte === 0) {
			return this.handleStartup(message.body);
		}

		const code = String.fromCodePoint(message.typeByte);
		if (this.isSkippingToSync && code !== 'S' && code !== 'X') {
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
				this.extended.handleParse(body);
				return;
			}

			case 'B': {
				this.extended.handleBind(body);
				return;
			}

			case 'D': {
				this.extended.handleDescribe(body);
				return;
			}

			case 'E': {
				return this.handleExecute(body);
			}

			case 'C': {
				this.extended.handleClose(body);
				return;
			}

			case 'H': {
				this.results.flush();
				return;
			}

			case 'S': {
				this.isSkippingToSync = false;
				this.runner.commitImplicit();
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
		if (this.isDisposed) {
			return;
		}

		if (!(error instanceof types.SqlError)) {
			this.stop('XX000', `internal error: ${String(error)}`);
			return;
		}

		this.runner.failTransaction();
		this.writer.writeError(error.sqlState, error.message);
		if (code === 'Q' || code === 'S') {
			this.writeReady();
		} else {
			this.isSkippingToSync = true;
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

		this.reader.endStartupPhase();
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
				await this.host.executionGate.waitUntilOpen();
			}

			const connectionError = this.host.checkConnectionLimit(this);
			if (connectionError) {
				this.stop(connectionError.sqlState, connectionError.message);
				return;
			}
		}

		if (this.isDisposed) {
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

		this.writer.writeBackendKey(this.processId, this.secretKey);
		this.writeReady();
		this.results.flush();
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
					? result.then(async (value) => this.results.writeResult(value, true))
					: this.results.writeResult(result, true);
			if (sent) {
				return sent.then(async () => this.runQuery(list, next + 1));
			}
		}

		this.runner.commitImplicit();
		this.writeReady();
	}

	private handleExecute(body: wire.BodyReader): Promise<void> | void {
		const portal = this.extended.findPortal(body.readText());
		const maxRows = body.readInt32();
		if (portal.statement.type === 'empty') {
			this.writer.writeEmpty('I');
			return;
		}

		if (portal.suspendedResult) {
			const {rows, result} = portal.suspendedResult;
			return this.results.writeRows(result, rows, {
				rowCount: 0,
				maxRows,
				portal,
			});
		}

		const result = this.runner.run(portal.statement, portal.parameters);
		return result instanceof Promise
			? result.then(async (value) =>
					this.results.writeResult(value, false, portal, maxRows),
				)
			: this.results.writeResult(result, false, portal, maxRows);
	}

	private writeReady(): void {
		if (!this.runner.isInTransaction) {
			this.extended.clearPortals();
		}

		this.writer.writeReadyForQuery(this.runner.status);
	}
}
