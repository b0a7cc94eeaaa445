/**
 * Listens for callers and finds the session for each effect, attempt and cancel request.
 */
import {Buffer} from 'node:buffer';
import * as crypto from 'node:crypto';
import * as net from 'node:net';
import * as timers from 'node:timers/promises';
import {assertNever} from '../../common/assert-never.js';
import type * as ids from '../../common/ids.js';
import * as position from '../../common/position.js';
import * as refusals from '../../common/proxy/refusals.js';
import type * as commonTypes from '../../common/types.js';
import * as connectionLimiter from '../limits/connection-limiter.js';
import * as resourceGuard from '../limits/resource-guard.js';
import type * as node from '../types.js';
import * as messages from '../wire/messages.js';
import * as items from './items.js';
import * as password from './password.js';
import * as requestLog from './request-log.js';
import * as sessions from './session.js';
import * as settings from './settings.js';
import * as startup from './startup.js';
import * as startupParameters from './startup-parameters.js';
import * as types from './types.js';

// Drivers compare the encoding name with PostgreSQL's spelling.
// eslint-disable-next-line unicorn/text-encoding-identifier-case
const utf8 = 'UTF8';

/**
 * Length of the hashed instance id in statement names. It is short because PostgreSQL compares only
 * the first 63 bytes of a statement name.
 */
const instanceTagLength = 16;

/** Interval of the check for messages and answers that take too long. */
const timeCheckIntervalMs = 1000;

/** Time in which callers are told of the end of the process and close their connections. */
const disposeLimitMs = 700;
const shutdownMessage = 'the proxy is shutting down; connect again';

/** Reported when the daemon specifies no parameters. */
const defaultServerParameters: Readonly<Record<string, string>> = {
	server_version: '16.0',
	server_encoding: utf8,
	client_encoding: utf8,
	DateStyle: 'ISO, MDY',
	IntervalStyle: 'postgres',
	TimeZone: 'UTC',
	integer_datetimes: 'on',
	standard_conforming_strings: 'on',
};

const authenticationOk = messages.buildMessage(
	messages.messageTypes.authentication,
	[new Uint8Array(4)],
);

type CallerEffect = Parameters<node.CallerAdapter['handle']>[0];

/** A caller adapter whose `relay` reports backpressure. */
export type CallerAdapter = Omit<node.CallerAdapter, 'relay'> & {
	/** Returns false when the producer should wait for `handleDrain` of the attempt. */
	relay(attempt: ids.AttemptId, data: Uint8Array): boolean;
};

/** Creates the adapter; nothing is opened before `listen`. */
export function createCallerAdapter(
	options: types.CallerOptions,
): CallerAdapter {
	return new TcpCallerAdapter(options);
}

class TcpCallerAdapter implements CallerAdapter {
	readonly #limits: types.CallerLimits;
	readonly #parameters: Readonly<Record<string, string>>;
	readonly #instanceTag: string;
	readonly #server: net.Server;
	readonly #sockets = new Set<net.Socket>();
	readonly #sessions = new Map<ids.SessionId, sessions.Session>();
	readonly #cancelKeys = new Map<ids.SessionId, number>();
	readonly #attempts = new Map<ids.AttemptId, sessions.Session>();
	readonly #attemptsBySession = new Map<sessions.Session, ids.AttemptId[]>();
	readonly #guard: resourceGuard.ResourceGuard;
	readonly #limiter: connectionLimiter.ConnectionLimiter;
	readonly #log: requestLog.RequestLog;
	#timeCheck: NodeJS.Timeout | undefined;
	#lastSessionId = 0;
	#lastRequestId = 0;
	#isDisposed = false;

	constructor(private readonly options: types.CallerOptions) {
		this.#limits = {...types.defaultLimits, ...options.limits};
		this.#instanceTag = crypto
			.createHash('sha256')
			.update(options.instanceId)
			.digest('hex')
			.slice(0, instanceTagLength);
		this.#parameters = options.serverParameters ?? defaultServerParameters;
		this.#guard =
			options.guard ??
			resourceGuard.createDefaultGuard(options.clock, options.logger);
		this.#limiter = new connectionLimiter.ConnectionLimiter(
			'callers',
			options.maxConnections ?? Number.POSITIVE_INFINITY,
			this.#guard.report,
		);
		this.#log = new requestLog.RequestLog({
			logger: options.logger,
			countEvent: options.countEvent ?? (() => undefined),
		});
		this.#server = net.createServer((socket) => {
			this.#accept(socket);
		});
	}

	async listen(address: string, port: number): Promise<number> {
		this.#timeCheck = setInterval(() => {
			for (const session of this.#sessions.values()) {
				session.checkTimes();
			}
		}, timeCheckIntervalMs);
		this.#timeCheck.unref();
		return new Promise((resolve, reject) => {
			this.#server.once('error', reject);
			this.#server.listen(port, address, () => {
				this.#server.off('error', reject);
				this.#server.on('error', (error) => {
					this.options.logger.write({
						level: 'error',
						part: 'caller',
						message: `The listener for callers failed: ${error.message}.`,
					});
				});
				resolve((this.#server.address() as net.AddressInfo).port);
			});
		});
	}

	handle(effect: CallerEffect): void {
		const session = this.#sessions.get(effect.session);
		if (!session) {
			return;
		}

		switch (effect.type) {
			case 'transactionLost': {
				// A PostgreSQL session is closed when its transaction is lost, see `closeSession`.
				return;
			}

			case 'startAttempt': {
				if (session.runner.isRunning(effect.request)) {
					session.runner.recordAttempt();
					this.#attempts.set(effect.attempt, session);
					this.#attemptsBySession.get(session)?.push(effect.attempt);
				}

				return;
			}

			case 'finishRequest': {
				if (session.runner.isRunning(effect.request)) {
					this.#clearAttempts(session);
					session.runner.finishRequest(
						effect.attempt,
						effect.tail,
						effect.token,
					);
				}

				return;
			}

			case 'refuseRequest': {
				if (session.runner.isRunning(effect.request)) {
					this.#clearAttempts(session);
					session.runner.refuseRequest(
						effect.sqlState,
						effect.message,
						effect.transactionStatus,
					);
				}

				return;
			}

			case 'closeSession': {
				session.close(effect.sqlState, effect.message);
				return;
			}
		}

		assertNever(effect);
	}

	relay(attempt: ids.AttemptId, data: Uint8Array): boolean {
		return this.#attempts.get(attempt)?.relay(attempt, data) ?? true;
	}

	async stopAccepting(): Promise<void> {
		// Not awaited: `close` completes only after the last session has ended, and the drain does not
		// wait for that here.
		this.#server.close();
	}

	/** Resolves when the callers have left, or after a time in which they could have. */
	async dispose(): Promise<void> {
		clearInterval(this.#timeCheck);
		this.#isDisposed = true;
		this.#server.close();
		for (const session of this.#sessions.values()) {
			session.close(refusals.adminShutdownSqlState, shutdownMessage);
		}

		for (const socket of this.#sockets) {
			if (!socket.writableEnded) {
				// A startup is incomplete.
				refuseStartup(socket, {
					sqlState: refusals.adminShutdownSqlState,
					message: shutdownMessage,
				});
			}
		}

		const abort = new AbortController();
		const {signal} = abort;
		const closed = Promise.all(
			[...this.#sockets].map(
				async (socket) =>
					new Promise((resolve) => {
						socket.once('close', resolve);
					}),
			),
		);
		await Promise.race([
			timers.setTimeout(disposeLimitMs, undefined, {signal}),
			closed,
		]);
		abort.abort();
		for (const socket of this.#sockets) {
			socket.destroy();
		}

		await closed;
	}

	#accept(socket: net.Socket): void {
		if (this.#isDisposed) {
			socket.destroy();
			return;
		}

		if (!this.#limiter.add(socket)) {
			return;
		}

		this.#sockets.add(socket);
		socket.setNoDelay(true);
		socket.setKeepAlive(true, this.#limits.keepAliveDelayMs);
		// A close event follows every error.
		socket.on('error', () => undefined);
		socket.once('close', () => {
			this.#sockets.delete(socket);
		});
		startup.readStartup(
			socket,
			{
				handleCancel: (processId, key) => {
					this.#handleCancel(processId as ids.SessionId, key);
				},
				handleStartup: (parameters, remainder) => {
					this.#limiter.markOpen(socket);
					this.#openSession(socket, parameters, remainder);
				},
			},
			this.#limits.startupTimeoutMs,
		);
	}

	#handleCancel(session: ids.SessionId, key: number): void {
		if (this.#cancelKeys.get(session) === key) {
			this.options.dispatch({
				type: 'cancelRequested',
				now: this.options.clock.now(),
				session,
			});
		}
	}

	#openSession(
		socket: net.Socket,
		parameters: Readonly<Record<string, string>>,
		remainder: Buffer,
	): void {
		if (this.#isDisposed) {
			return;
		}

		const parsed = startupParameters.parseStartup(parameters, this.#parameters);
		if (parsed.isErr()) {
			refuseStartup(socket, parsed.error);
			return;
		}

		const member = parsed.value.member as ids.MemberId;
		if (!this.options.needsKey?.(member)) {
			this.#startSession(socket, parsed.value, undefined, remainder);
			return;
		}

		password.requestPassword(
			socket,
			remainder,
			this.#limits.startupTimeoutMs,
			(key, rest) => {
				this.#startSession(socket, parsed.value, key, rest);
			},
		);
	}

	#startSession(
		socket: net.Socket,
		parameters: types.StartupParameters,
		key: ids.KeyDigest | undefined,
		remainder: Buffer,
	): void {
		if (this.#isDisposed) {
			return;
		}

		this.#lastSessionId++;
		const id = this.#lastSessionId as ids.SessionId;
		const {
			member,
			group,
			settings: initialSettings,
			parametersToSet,
		} = parameters;
		const sessionSettings = new settings.SessionSettings(
			member,
			initialSettings.get('session') ?? `${this.options.instanceId}.${id}`,
		);
		for (const [name, value] of initialSettings) {
			const problem =
				name === 'member' || name === 'session'
					? undefined
					: sessionSettings.set(name, value, false);
			if (problem) {
				refuseStartup(socket, problem);
				return;
			}
		}

		sessionSettings.recordStartupValues();
		const token = position.parsePosition(initialSettings.get('token') ?? '');
		const session = this.#createSession(socket, id, sessionSettings);
		this.options.dispatch({
			type: 'sessionOpened',
			now: this.options.clock.now(),
			session: id,
			attributes: {
				member: member as ids.MemberId,
				group: group as ids.GroupId,
				...(key === undefined ? {} : {key}),
				...(token.isOk() && {token: token.value}),
			},
		});
		if (session.isClosed) {
			return;
		}

		this.#writeStartupResponse(socket, id);
		session.start(remainder, items.createStartupSetRequest(parametersToSet));
	}

	#createSession(
		socket: net.Socket,
		id: ids.SessionId,
		sessionSettings: settings.SessionSettings,
	): sessions.Session {
		const {dispatch, clock} = this.options;
		const session: sessions.Session = new sessions.Session(
			socket,
			id,
			sessionSettings,
			this.#limits,
			{
				handleRequest: (kind, attributes, payload) => {
					this.#lastRequestId++;
					const request = this.#lastRequestId as ids.RequestId;
					session.runner.setRequestId(request);
					dispatch({
						type: 'requestArrived',
						now: clock.now(),
						session: id,
						request,
						kind,
						attributes,
						payload,
					});
				},
				handleToken(tokenValue: commonTypes.Position) {
					dispatch({
						type: 'tokenSet',
						now: clock.now(),
						session: id,
						token: tokenValue,
					});
				},
				handleDrain: () => {
					const attempt = session.runner.relayedAttempt;
					if (attempt !== undefined) {
						this.options.handleDrain?.(attempt);
					}
				},
				handleUnanswered: this.#createReporter(id, sessionSettings.member),
				handleClosed: () => {
					this.#removeSession(session);
					dispatch({type: 'sessionClosed', now: clock.now(), session: id});
				},
			},
			`h${this.#instanceTag}_${id}`,
			this.#guard,
			clock,
		);
		this.#sessions.set(id, session);
		this.#cancelKeys.set(id, crypto.randomInt(2 ** 32));
		this.#attemptsBySession.set(session, []);
		// By id, so that a closed session is not kept in memory until its caller has left.
		socket.once('close', () => {
			this.#sessions.get(id)?.dispose();
		});
		return session;
	}

	#createReporter(
		id: ids.SessionId,
		member: string,
	): sessions.SessionHandler['handleUnanswered'] {
		return (requests, cause) => {
			this.#log.reportUnanswered(id, member, requests, cause);
		};
	}

	#writeStartupResponse(socket: net.Socket, id: ids.SessionId): void {
		socket.write(
			Buffer.concat([
				authenticationOk,
				...Object.entries(this.#parameters).map(([name, value]) =>
					messages.buildParameterStatus(name, value),
				),
				messages.buildBackendKeyData(id, this.#cancelKeys.get(id) ?? 0),
				messages.getReadyForQuery('idle'),
			]),
		);
	}

	#removeSession(session: sessions.Session): void {
		// The server connection of a disconnected caller must not stay paused.
		const attempt = session.runner.relayedAttempt;
		this.#clearAttempts(session);
		this.#sessions.delete(session.id);
		this.#cancelKeys.delete(session.id);
		this.#attemptsBySession.delete(session);
		if (attempt !== undefined) {
			this.options.handleDrain?.(attempt);
		}
	}

	#clearAttempts(session: sessions.Session): void {
		const attempts = this.#attemptsBySession.get(session);
		if (attempts && attempts.length > 0) {
			for (const attempt of attempts) {
				this.#attempts.delete(attempt);
			}

			attempts.length = 0;
		}
	}
}

function refuseStartup(
	socket: net.Socket,
	problem: settings.SettingProblem,
): void {
	socket.end(
		messages.buildErrorResponse('FATAL', problem.sqlState, problem.message),
	);
}
