/**
 * The connections of owned servers. Enough connections for all slots stay open, so that urgent work
 * does not wait for a new one, which takes about 12 ms.
 */
import type * as ids from '../ids.js';
import type * as context from './context.js';
import type * as owned from './owned-server.js';

/** Delay before the next try after a failed connection, doubled with each failure up to the limit. */
const reopenDelayMs = 50;
const maxReopenDelayMs = 1000;
/** A pool at its limit is logged at most this often. */
const logIntervalMs = 1000;
/** Connections beyond the slots that stay open for transactions. */
const spareConnections = 1;

export class ConnectionPool {
	private nextConnection = 1;
	private readonly serverOf = new Map<ids.ConnectionId, owned.OwnedServer>();

	constructor(private readonly context: context.ProxyContext) {}

	findConnection(
		id: ids.ConnectionId,
	): {server: owned.OwnedServer; connection: owned.Connection} | undefined {
		const server = this.serverOf.get(id);
		const connection = server?.connections.get(id);
		return server && connection ? {server, connection} : undefined;
	}

	takeIdle(server: owned.OwnedServer): owned.Connection | undefined {
		return server.idleConnections.pop();
	}

	addIdle(server: owned.OwnedServer, connection: owned.Connection): void {
		server.setState(connection, 'idle', this.context.now);
		connection.item = undefined;
		server.idleConnections.push(connection);
	}

	removeConnection(
		server: owned.OwnedServer,
		connection: owned.Connection,
	): void {
		server.connections.delete(connection.id);
		this.serverOf.delete(connection.id);
		const index = server.idleConnections.indexOf(connection);
		if (index !== -1) {
			server.idleConnections.splice(index, 1);
		}
	}

	/** Opens a connection unless the pool is at its limit or waits after a failure. */
	openConnection(server: owned.OwnedServer): boolean {
		const {now} = this.context;
		if (
			server.connections.size >= server.poolLimit ||
			now < server.retryOpenAt
		) {
			if (
				server.connectionQueue.length > 0 &&
				now - server.poolLoggedAt >= logIntervalMs
			) {
				server.poolLoggedAt = now;
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
			item: undefined,
			queuedRequest: undefined,
			startedAt: now,
			stateChangedAt: now,
			binding: undefined,
			mustClose: false,
		};
		server.connections.set(id, connection);
		this.serverOf.set(id, server);
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
				reopenDelayMs * 2 ** Math.min(server.openFailures, 10),
			);
	}

	/** Opens what is missing to have a free connection for each slot and a spare one. */
	ensureMinimumConnections(
		server: owned.OwnedServer,
		isLeaseValid: boolean,
	): void {
		if (!isLeaseValid || server.lastAnswerAt === undefined) {
			return;
		}

		const wanted = Math.min(
			server.poolLimit,
			server.concurrency + spareConnections + server.countBoundConnections(),
		);
		while (server.connections.size < wanted) {
			if (!this.openConnection(server)) {
				return;
			}
		}
	}
}

/** Removes a request that has not started; returns false when it is not waiting. */
export function removeFromQueues(
	server: owned.OwnedServer,
	item: owned.OwnerRequest,
): boolean {
	const boundIndex = server.boundQueue.indexOf(item);
	if (boundIndex !== -1) {
		server.boundQueue.splice(boundIndex, 1);
		return true;
	}

	const awaitingIndex = server.connectionQueue.findIndex(
		(queued) => queued.item === item,
	);
	if (awaitingIndex !== -1) {
		server.connectionQueue.splice(awaitingIndex, 1);
		return true;
	}

	return server.scheduler.remove(item);
}
