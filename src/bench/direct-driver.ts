/**
 * Connects the caller adapter to the upstream adapter without a reducer: one server, a fixed
 * number of connections, no queueing policy. Used by adapter tests and by the wire measurement.
 */
import {performance} from 'node:perf_hooks';
import type * as ids from '../common/ids.js';
import type * as proxy from '../common/proxy/types.js';
import type * as types from '../common/types.js';
import * as callerAdapter from '../node/caller/caller-adapter.js';
import type * as callerTypes from '../node/caller/types.js';
import type * as node from '../node/types.js';
import * as upstreamAdapter from '../node/upstream/upstream-adapter.js';
import type * as upstreamTypes from '../node/upstream/types.js';

type RequestArrived = Extract<proxy.ProxyEvent, {type: 'requestArrived'}>;
type ExecutionFinished = Extract<proxy.ProxyEvent, {type: 'executionFinished'}>;
type CallerEvent = Parameters<callerTypes.CallerOptions['dispatch']>[0];

type DriverConnection = {
	readonly id: ids.ConnectionId;
	running: RequestArrived | undefined;
	/** The session that holds the connection. */
	boundTo: ids.SessionId | undefined;
	/** The last attempt on the connection. */
	attempt: ids.AttemptId;
	isInTransaction: boolean;
	/** The session has set state on the connection, so the connection stays with the session. */
	isPinned: boolean;
	/** The session has closed; the connection is reset when the running request ends. */
	isSessionClosed: boolean;
};

export type DirectDriverOptions = {
	readonly address: string;
	readonly connections: number;
	/** The customer that the connections to the server name. */
	readonly customer?: ids.CustomerId;
	readonly needsKey?: callerTypes.CallerOptions['needsKey'];
	readonly callerLimits?: Partial<callerTypes.CallerLimits>;
	readonly upstreamLimits?: Partial<upstreamTypes.UpstreamLimits>;
	/** Called with every event before it is handled. */
	readonly observe?: (event: CallerEvent | upstreamTypes.UpstreamEvent) => void;
};

export const monotonicClock: node.Clock = {
	now: () => performance.now(),
	readWallClock: () => Date.now(),
};

const silentLogger: node.Logger = {
	write() {
		// Tests and measurements read events, not logs.
	},
};

const epoch: types.Epoch = {consensusTerm: 1, counter: 1};

export class DirectDriver {
	readonly callers: callerAdapter.CallerAdapter;
	readonly upstreams: upstreamAdapter.FlowControlledUpstreamAdapter;
	readonly #connections = new Map<ids.ConnectionId, DriverConnection>();
	readonly #bound = new Map<ids.SessionId, DriverConnection>();
	readonly #running = new Map<ids.SessionId, DriverConnection>();
	#freeConnections: DriverConnection[] = [];
	#waitQueue: RequestArrived[] = [];
	#lastConnection = 0;
	#lastAttempt = 0;
	#isDisposed = false;

	constructor(private readonly options: DirectDriverOptions) {
		const common = {clock: monotonicClock, logger: silentLogger};
		this.callers = callerAdapter.createCallerAdapter({
			...common,
			instanceId: 'test',
			needsKey: options.needsKey,
			limits: options.callerLimits,
			dispatch: (event) => {
				options.observe?.(event);
				this.#handleCallerEvent(event);
			},
			handleDrain: (attempt) => {
				this.upstreams.resumeAttempt(attempt);
			},
		});
		this.upstreams = upstreamAdapter.createUpstreamAdapter({
			...common,
			limits: options.upstreamLimits,
			user: 'hemlockarch',
			database: 'ledger',
			dispatch: (event) => {
				options.observe?.(event);
				this.#handleUpstreamEvent(event);
			},
			relayToSession: (attempt, data) => this.callers.relay(attempt, data),
			relayToPeer: () => true,
		});
	}

	/** Opens the connections and starts to listen; resolves with the port. */
	async start(): Promise<number> {
		for (let count = 0; count < this.options.connections; count++) {
			this.#openConnection();
		}

		return this.callers.listen('127.0.0.1', 0);
	}

	async dispose(): Promise<void> {
		this.#isDisposed = true;
		await this.callers.dispose();
		await this.upstreams.dispose();
	}

	#openConnection(): void {
		this.#lastConnection++;
		const id = this.#lastConnection as ids.ConnectionId;
		this.#connections.set(id, {
			id,
			running: undefined,
			boundTo: undefined,
			attempt: 0 as ids.AttemptId,
			isInTransaction: false,
			isPinned: false,
			isSessionClosed: false,
		});
		this.upstreams.handle({
			type: 'openConnection',
			connection: id,
			server: 's1' as ids.UpstreamId,
			address: this.options.address,
			epoch,
			customer: this.options.customer,
		});
	}

	#handleCallerEvent(event: CallerEvent): void {
		switch (event.type) {
			case 'requestArrived': {
				this.#startRequest(event);

				break;
			}

			case 'cancelRequested': {
				this.#cancel(this.#running.get(event.session));

				break;
			}

			case 'sessionClosed': {
				this.#closeSession(event.session);

				break;
			}

			case 'sessionOpened':
			case 'tokenSet': {
				break;
			}
		}
	}

	#startRequest(event: RequestArrived): void {
		const connection =
			this.#bound.get(event.session) ?? this.#freeConnections.shift();
		if (!connection) {
			this.#waitQueue.push(event);
			return;
		}

		this.#lastAttempt++;
		const attempt = this.#lastAttempt as ids.AttemptId;
		connection.running = event;
		connection.attempt = attempt;
		this.#running.set(event.session, connection);
		this.callers.handle({
			type: 'startAttempt',
			session: event.session,
			request: event.request,
			attempt,
		});
		this.upstreams.handle({
			type: 'execute',
			connection: connection.id,
			attempt,
			kind: event.kind,
			payload: event.payload,
			claimKey: event.attributes.key,
			inTransaction: connection.isInTransaction,
			sink: {type: 'session', attempt},
		});
	}

	#cancel(connection: DriverConnection | undefined): void {
		if (connection?.running) {
			this.upstreams.handle({
				type: 'cancelExecution',
				connection: connection.id,
				attempt: connection.attempt,
			});
		}
	}

	#closeSession(session: ids.SessionId): void {
		this.#waitQueue = this.#waitQueue.filter(
			(event) => event.session !== session,
		);
		const running = this.#running.get(session);
		const bound = this.#bound.get(session);
		this.#bound.delete(session);
		if (running) {
			running.isSessionClosed = true;
			this.#cancel(running);
		} else if (bound) {
			this.upstreams.handle({type: 'resetConnection', connection: bound.id});
		}
	}

	#handleUpstreamEvent(event: upstreamTypes.UpstreamEvent): void {
		if (this.#isDisposed || !('connection' in event)) {
			return;
		}

		const connection = this.#connections.get(event.connection);
		if (!connection) {
			return;
		}

		switch (event.type) {
			case 'connectionOpened':
			case 'connectionReset': {
				connection.isSessionClosed = false;
				connection.isPinned = false;
				connection.isInTransaction = false;
				connection.boundTo = undefined;
				this.#release(connection);
				return;
			}

			case 'connectionClosed': {
				this.#reopenConnection(connection);
				return;
			}

			case 'executionFinished': {
				this.#finish(connection, event);
				break;
			}
		}
	}

	#release(connection: DriverConnection): void {
		this.#freeConnections.push(connection);
		const next = this.#waitQueue.shift();
		if (next) {
			this.#startRequest(next);
		}
	}

	#reopenConnection(connection: DriverConnection): void {
		this.#connections.delete(connection.id);
		this.#freeConnections = this.#freeConnections.filter(
			(free) => free !== connection,
		);
		if (connection.boundTo !== undefined) {
			this.#bound.delete(connection.boundTo);
		}

		this.#openConnection();
	}

	#finish(connection: DriverConnection, event: ExecutionFinished): void {
		const {running} = connection;
		if (!running) {
			return;
		}

		const {session, request, kind} = running;
		const {outcome, attempt} = event;
		connection.running = undefined;
		this.#running.delete(session);
		if (outcome.type === 'answered') {
			const isCommitted =
				kind === 'write' &&
				outcome.transactionStatus === 'idle' &&
				outcome.sqlState === undefined;
			connection.isInTransaction = outcome.transactionStatus !== 'idle';
			connection.isPinned ||= kind === 'sessionState';
			this.#updateBinding(
				connection,
				session,
				connection.isPinned || outcome.transactionStatus !== 'idle',
			);
			this.callers.handle({
				type: 'finishRequest',
				session,
				request,
				attempt,
				tail: outcome.tail,
				token: isCommitted ? {term: 1, offset: 7} : undefined,
			});
			return;
		}

		const isKeyUsed = outcome.type === 'keyUsed';
		if (isKeyUsed) {
			this.#release(connection);
		} else {
			this.#reopenConnection(connection);
		}

		this.callers.handle({
			type: 'refuseRequest',
			session,
			request,
			sqlState: isKeyUsed
				? 'HK008'
				: outcome.type === 'lost' && outcome.mayHaveRun
					? '08007'
					: 'HK006',
			message: isKeyUsed ? 'key already used' : 'the connection was lost',
			transactionStatus: 'idle',
		});
	}

	/** Binds the connection to the session or releases it; resets it if the session has closed. */
	#updateBinding(
		connection: DriverConnection,
		session: ids.SessionId,
		isBound: boolean,
	): void {
		if (connection.isSessionClosed) {
			this.upstreams.handle({
				type: 'resetConnection',
				connection: connection.id,
			});
		} else if (isBound) {
			connection.boundTo = session;
			this.#bound.set(session, connection);
		} else {
			connection.boundTo = undefined;
			this.#bound.delete(session);
			this.#release(connection);
		}
	}
}
