/**
 * Pools the connections to owned servers. Enough connections for all slots stay open, so that urgent
 * requests do not wait for a new one, which takes about 12 ms.
 */
import type * as ids from '../ids.js';
import * as connectionChoice from '../policy/connection-choice.js';
import * as connectionState from '../session/connection-state.js';
import type * as context from './context.js';
import type * as owned from './owned-server.js';
import type * as proxy from './types.js';

/**
 * After a failure to open a connection, the next one is opened after this delay, doubled for each
 * failure in a row, the first included, up to the maximum.
 */
const baseReopenDelayMs = 50;
const maxReopenDelayMs = 1000;
/** A request that gets no connection is logged at most once per server in this time. */
const noConnectionLogIntervalMs = 1000;
/** Connections that stay open for transactions, beyond those for the slots. */
const spareConnections = 1;

export class ConnectionPool {
	private nextConnection = 1;
	private readonly serverByConnection = new Map<
		ids.ConnectionId,
		owned.OwnedServer
	>();

	constructor(private readonly context: context.ProxyContext) {}

	findConnection(
		id: ids.ConnectionId,
	): {server: owned.OwnedServer; connection: owned.Connection} | undefined {
		const server = this.serverByConnection.get(id);
		const connection = server?.connections.get(id);
		return server && connection ? {server, connection} : undefined;
	}

	/** Takes the idle connection that needs the least setup for a request. */
	takeIdle(
		server: owned.OwnedServer,
		payload: proxy.RequestPayload,
	): owned.Connection | undefined {
		const index = connectionChoice.chooseConnection(
			server.idleConnections.map(({setup}) => setup),
			getRequirements(payload),
		);
		return index === undefined
			? undefined
			: server.idleConnections.splice(index, 1)[0];
	}

	/** Records that a request sets up the connection on which it starts. */
	recordSetup(
		connection: owned.Connection,
		payload: proxy.RequestPayload,
	): void {
		const {setup} = connection;
		for (const step of setup.listSetupSteps(getRequirements(payload))) {
			setup.apply(step);
		}
	}

	addIdle(server: owned.OwnedServer, connection: owned.Connection): void {
		server.setState(connection, 'idle', this.context.now);
		connection.ownerRequest = undefined;
		server.idleConnections.push(connection);
	}

	removeConnection(
		server: owned.OwnedServer,
		connection: owned.Connection,
	): void {
		server.connections.delete(connection.id);
		this.serverByConnection.delete(connection.id);
		const index = server.idleConnections.indexOf(connection);
		if (index !== -1) {
			server.idleConnections.splice(index, 1);
		}
	}

	/** Opens a connection, unless the pool is at its limit or the delay after a failure has not passed. */
	openConnection(server: owned.OwnedServer): boolean {
		const {now} = this.context;
		if (
			server.connections.size >= server.poolLimit ||
			now < server.retryOpenAt
		) {
			if (
				server.connectionQueue.length > 0 &&
				now - server.noConnectionLoggedAt >= noConnectionLogIntervalMs
			) {
				server.noConnectionLoggedAt = now;
				this.context.log('info', 'pool', 'No connection for a request', {
					server: server.server,
					connections: server.connections.size,
					bound: server.countBoundConnections(),
					limit: server.poolLimit,
					waiting: server.connectionQueue.length,
					retryInMs: Math.max(0, Math.round(server.retryOpenAt - now)),
				});
			}

			return false;
		}

		const id = this.nextConnection++ as ids.ConnectionId;
		const connection: owned.Connection = {
			id,
			state: 'opening',
			ownerRequest: undefined,
			queuedRequest: undefined,
			startedAt: now,
			stateChangedAt: now,
			binding: undefined,
			setup: new connectionState.ConnectionState(),
			mustClose: false,
		};
		server.connections.set(id, connection);
		this.serverByConnection.set(id, server);
		this.context.count('connectionsOpened');
		this.context.emit({
			type: 'openConnection',
			connection: id,
			server: server.server,
			address: server.announcement.address,
			epoch: server.epoch,
		});
		return true;
	}

	recordOpenFailure(server: owned.OwnedServer): void {
		server.openFailures++;
		server.retryOpenAt =
			this.context.now +
			Math.min(
				maxReopenDelayMs,
				baseReopenDelayMs * 2 ** Math.min(server.openFailures, 10),
			);
	}

	/**
	 * Opens connections until there is one for each statement that may be in flight, one for each bound
	 * session, and a spare one.
	 */
	ensureMinimumConnections(
		server: owned.OwnedServer,
		isLeaseValid: boolean,
	): void {
		if (!isLeaseValid || server.lastAnswerAt === undefined) {
			return;
		}

		const minimum = Math.min(
			server.poolLimit,
			server.concurrency + spareConnections + server.countBoundConnections(),
		);
		while (server.connections.size < minimum) {
			if (!this.openConnection(server)) {
				return;
			}
		}
	}
}

function getRequirements(
	payload: proxy.RequestPayload,
): connectionState.ConnectionRequirements {
	return {values: payload.values ?? [], prepared: payload.prepared?.[0]?.name};
}

/**
 * Removes a request that has not started, and gives back the slot with which it waits for a connection.
 * Returns false when it is in no queue.
 */
export function removeFromQueues(
	server: owned.OwnedServer,
	ownerRequest: owned.OwnerRequest,
	now: number,
): boolean {
	const boundIndex = server.boundQueue.indexOf(ownerRequest);
	if (boundIndex !== -1) {
		server.boundQueue.splice(boundIndex, 1);
		return true;
	}

	const connectionQueueIndex = server.connectionQueue.findIndex(
		(queued) => queued.item === ownerRequest,
	);
	if (connectionQueueIndex !== -1) {
		const [queued] = server.connectionQueue.splice(connectionQueueIndex, 1);
		server.scheduler.complete(queued, 0, now);
		return true;
	}

	return server.scheduler.remove(ownerRequest);
}
