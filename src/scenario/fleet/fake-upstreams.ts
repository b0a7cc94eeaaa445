/**
 * Runs the upstream effects of one proxy reducer on fake servers. Requests and answers arrive after
 * a delay. A cut drops them without an error; a crash closes the connections.
 */
import {assertNever} from '../../common/assert-never.js';
import type * as ids from '../../common/ids.js';
import * as positions from '../../common/position.js';
import type * as types from '../../common/types.js';
import type * as proxy from '../../common/proxy/types.js';
import type * as fakeServer from './fake-server.js';
import type * as timeline from './timeline.js';

const networkDelayMs = 1;
const connectDelayMs = 12;
const pollTimeoutMs = 500;

type FakeConnection = {
	readonly id: ids.ConnectionId;
	readonly server: fakeServer.FakeServer;
	readonly session: fakeServer.ServerSession;
	attempt: ids.AttemptId | undefined;
};

type UpstreamEffect = Extract<
	proxy.ProxyEffect,
	{
		type:
			| 'openConnection'
			| 'closeConnection'
			| 'resetConnection'
			| 'execute'
			| 'cancelExecution'
			| 'poll'
			| 'stopPolling';
	}
>;

export class FakeUpstreams {
	private readonly connections = new Map<ids.ConnectionId, FakeConnection>();

	/**
	 * @param peer - Name of the proxy; decides which cuts apply.
	 * @param report - Delivers an event to the reducer. Events wait while the proxy is frozen, and are
	 * lost when it is dead.
	 */
	constructor(
		private readonly peer: string,
		private readonly timeline: timeline.Timeline,
		private readonly servers: ReadonlyMap<string, fakeServer.FakeServer>,
		private readonly report: (event: proxy.ProxyEvent) => void,
	) {
		timeline.scheduleEvery(5, () => {
			this.closeCrashedConnections();
		});
	}

	handleEffect(effect: UpstreamEffect): void {
		switch (effect.type) {
			case 'openConnection': {
				this.openConnection(effect);
				return;
			}

			case 'closeConnection': {
				this.closeConnection(effect.connection);
				return;
			}

			case 'resetConnection': {
				this.resetConnection(effect.connection);
				return;
			}

			case 'execute': {
				this.execute(effect);
				return;
			}

			case 'poll': {
				this.poll(effect);
				return;
			}

			case 'cancelExecution':
			case 'stopPolling': {
				return;
			}

			default: {
				assertNever(effect);
			}
		}
	}

	/** Closes every connection, as the operating system does when the process dies. */
	closeAll(): void {
		for (const id of this.connections.keys()) {
			this.closeConnection(id);
		}
	}

	private openConnection(
		effect: Extract<UpstreamEffect, {type: 'openConnection'}>,
	): void {
		const server = this.servers.get(effect.server)!;
		this.timeline.schedule(connectDelayMs, () => {
			const now = () => this.timeline.now;
			if (server.isDown) {
				this.report({
					type: 'connectionClosed',
					now: now(),
					connection: effect.connection,
					message: 'connection refused',
				});
				return;
			}

			if (!this.canReach(server)) {
				this.timeline.schedule(1000, () => {
					this.report({
						type: 'connectionClosed',
						now: now(),
						connection: effect.connection,
						message: 'connect timeout',
					});
				});
				return;
			}

			const session = {
				pendingWrites: undefined,
				isOpen: true,
				customer: effect.customer,
			};
			server.sessions.add(session);
			this.connections.set(effect.connection, {
				id: effect.connection,
				server,
				session,
				attempt: undefined,
			});
			this.report({
				type: 'connectionOpened',
				now: now(),
				connection: effect.connection,
			});
		});
	}

	private closeConnection(id: ids.ConnectionId): void {
		const connection = this.connections.get(id);
		if (connection) {
			this.connections.delete(id);
			connection.session.isOpen = false;
			connection.session.pendingWrites = undefined;
			connection.server.sessions.delete(connection.session);
		}
	}

	private resetConnection(id: ids.ConnectionId): void {
		const connection = this.connections.get(id);
		if (!connection) {
			return;
		}

		this.sendRequest(connection, () => {
			connection.session.pendingWrites = undefined;
			return () => {
				this.report({
					type: 'connectionReset',
					now: this.timeline.now,
					connection: id,
				});
			};
		});
	}

	private execute(effect: Extract<UpstreamEffect, {type: 'execute'}>): void {
		const connection = this.connections.get(effect.connection);
		if (!connection) {
			this.reportLost(effect.connection, effect.attempt, false);
			return;
		}

		connection.attempt = effect.attempt;
		this.sendRequest(connection, () => {
			const {server, session} = connection;
			const statement = decodeStatement(effect.payload.frames);
			if (lacksPosition(server, session, statement, effect.after)) {
				return () => {
					this.reportFinished(connection, effect.attempt, {
						type: 'refused',
						reason: 'tooStale',
						message: 'the log of the server lacks the position',
					});
				};
			}

			const answer = server.execute(session, statement, effect.claimKey);
			if (answer === 'keyUsed') {
				return () => {
					this.reportFinished(connection, effect.attempt, {type: 'keyUsed'});
				};
			}

			const position =
				server.synchronousReplicas === undefined
					? undefined
					: server.appliedPosition;
			return () => {
				this.reportFinished(connection, effect.attempt, {
					type: 'answered',
					...(position ? {position} : {}),
					tail: encodeAnswer(answer),
					relayed: false,
					transactionStatus: answer.inTransaction ? 'inTransaction' : 'idle',
					...(answer.type === 'error' ? {sqlState: answer.sqlState} : {}),
				});
			};
		});
	}

	/**
	 * Calls `handleRequest` when the request reaches the server, and the callback that it returns when
	 * the answer reaches the proxy. The request waits while the server is frozen.
	 */
	private sendRequest(
		connection: FakeConnection,
		handleRequest: () => () => void,
	): void {
		const {server, session} = connection;
		const deliverRequest = () => {
			if (!session.isOpen || !this.canReach(server)) {
				return;
			}

			if (server.isFrozen) {
				this.timeline.schedule(10, deliverRequest);
				return;
			}

			const offset = server.position;
			const deliverAnswer = handleRequest();
			this.deliverAcknowledged(
				connection,
				server.position > offset ? server.position : undefined,
				deliverAnswer,
			);
		};

		this.timeline.schedule(networkDelayMs + server.serviceMs, deliverRequest);
	}

	/** Delivers an answer once its commit, if any, is acknowledged by the server. */
	private deliverAcknowledged(
		connection: FakeConnection,
		commitOffset: number | undefined,
		deliverAnswer: () => void,
	): void {
		const {server, session} = connection;
		if (!session.isOpen) {
			return;
		}

		const isAcknowledged =
			commitOffset === undefined || server.isAcknowledged(commitOffset);
		this.timeline.schedule(networkDelayMs, () => {
			if (!isAcknowledged) {
				this.deliverAcknowledged(connection, commitOffset, deliverAnswer);
			} else if (session.isOpen && this.canReach(server)) {
				deliverAnswer();
			}
		});
	}

	private poll(effect: Extract<UpstreamEffect, {type: 'poll'}>): void {
		const server = this.servers.get(effect.server)!;
		this.timeline.schedule(effect.delayMs, () => {
			const sentAt = this.timeline.now;
			let isAnswered = false;
			this.timeline.schedule(networkDelayMs, () => {
				if (!server.isRunning || !this.canReach(server)) {
					return;
				}

				const status = server.readStatus();
				this.timeline.schedule(networkDelayMs, () => {
					if (!this.canReach(server)) {
						return;
					}

					isAnswered = true;
					this.report({
						type: 'pollAnswered',
						now: this.timeline.now,
						server: server.id,
						sentAt,
						status,
					});
				});
			});
			this.timeline.schedule(pollTimeoutMs, () => {
				if (!isAnswered) {
					this.report({
						type: 'pollFailed',
						now: this.timeline.now,
						server: server.id,
						sentAt,
						message: 'timeout',
					});
				}
			});
		});
	}

	private reportFinished(
		connection: FakeConnection,
		attempt: ids.AttemptId,
		outcome: proxy.ExecutionOutcome,
	): void {
		connection.attempt = undefined;
		this.report({
			type: 'executionFinished',
			now: this.timeline.now,
			connection: connection.id,
			attempt,
			outcome,
		});
	}

	private reportLost(
		connection: ids.ConnectionId,
		attempt: ids.AttemptId,
		mayHaveRun: boolean,
	): void {
		this.report({
			type: 'executionFinished',
			now: this.timeline.now,
			connection,
			attempt,
			outcome: {type: 'lost', mayHaveRun, relayed: false},
		});
	}

	private closeCrashedConnections(): void {
		for (const connection of this.connections.values()) {
			if (connection.server.isDown && this.canReach(connection.server)) {
				this.connections.delete(connection.id);
				if (connection.attempt === undefined) {
					this.report({
						type: 'connectionClosed',
						now: this.timeline.now,
						connection: connection.id,
						message: 'closed by the server',
					});
				} else {
					this.reportLost(connection.id, connection.attempt, true);
				}
			}
		}
	}

	private canReach(server: fakeServer.FakeServer): boolean {
		return server.isReachableFrom(this.peer);
	}
}

/** True when a server that acknowledges commits itself must refuse a statement for its position. */
function lacksPosition(
	server: fakeServer.FakeServer,
	session: fakeServer.ServerSession,
	statement: fakeServer.FakeStatement,
	after: types.Position | undefined,
): boolean {
	return (
		after !== undefined &&
		server.synchronousReplicas !== undefined &&
		(statement.type === 'begin' ||
			(statement.type === 'get' && session.pendingWrites === undefined)) &&
		positions.comparePositions(server.appliedPosition, after) < 0
	);
}

/** Encodes a statement as the frames of a request. */
export function encodeStatement(
	statement: fakeServer.FakeStatement,
): Uint8Array {
	return new TextEncoder().encode(JSON.stringify(statement));
}

function decodeStatement(frames: Uint8Array): fakeServer.FakeStatement {
	return JSON.parse(
		new TextDecoder().decode(frames),
	) as fakeServer.FakeStatement;
}

/** Encodes an answer as the tail of a response. */
export function encodeAnswer(answer: fakeServer.FakeAnswer): Uint8Array {
	return new TextEncoder().encode(JSON.stringify(answer));
}

/** Decodes the tail of a response. */
export function decodeAnswer(tail: Uint8Array): fakeServer.FakeAnswer {
	return JSON.parse(new TextDecoder().decode(tail)) as fakeServer.FakeAnswer;
}
