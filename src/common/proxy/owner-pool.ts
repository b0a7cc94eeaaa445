/**
 * Pools the connections to owned servers. Enough connections for all slots stay open, so that urgent
 * requests do not wait for a new one, which takes about 12 ms. A connection carries the name of one
 * customer, so those of customers are opened on demand and stay open until another customer needs the
 * room.
 */
import type * as ids from '../ids.js';
import type * as messages from '../messages.js';
import * as connectionChoice from '../policy/connection-choice.js';
import * as connectionEviction from '../policy/connection-eviction.js';
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

	/** @param isOpenGroup - Tells whether requests without a customer may reach a group. */
	constructor(
		private readonly context: context.ProxyContext,
		private readonly isOpenGroup: (group: ids.GroupId) => boolean,
	) {}

	findConnection(
		id: ids.ConnectionId,
	): {server: owned.OwnedServer; connection: owned.Connection} | undefined {
		const server = this.serverByConnection.get(id);
		const connection = server?.connections.get(id);
		return server && connection ? {server, connection} : undefined;
	}

	/** Takes the idle connection of the request's customer that needs the least setup for it. */
	takeIdle(
		server: owned.OwnedServer,
		request: Pick<messages.ForwardRequest, 'customer' | 'payload'>,
	): owned.Connection | undefined {
		const idle = server.idleConnections.filter(
			({customer}) => customer === request.customer,
		);
		const index = connectionChoice.chooseConnection(
			idle.map(({setup}) => setup),
			getRequirements(request.payload),
		);
		if (index === undefined) {
			return undefined;
		}

		const connection = idle[index];
		removeIdle(server, connection);
		return connection;
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
		removeIdle(server, connection);
	}

	/**
	 * Opens a connection for each waiting request, less those of its customer that are about to become
	 * idle. In a full pool, an idle connection of another customer gives its place.
	 */
	openMissingConnections(server: owned.OwnedServer): void {
		for (const [customer, missing] of countMissingConnections(server)) {
			for (let index = 0; index < missing; index++) {
				if (
					this.context.now >= server.retryOpenAt &&
					server.connections.size >= server.poolLimit
				) {
					this.evictIdle(server);
				}

				if (!this.openConnection(server, customer)) {
					return;
				}
			}
		}
	}

	/** Opens a connection, unless the pool is at its limit or the delay after a failure has not passed. */
	openConnection(
		server: owned.OwnedServer,
		customer: ids.CustomerId | undefined,
	): boolean {
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
			customer,
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
			...(customer === undefined ? {} : {customer}),
		});
		return true;
	}

	recordOpenFailure(
		server: owned.OwnedServer,
		{customer}: owned.Connection,
	): void {
		server.openFailures++;
		server.failedCustomer = customer;
		server.retryOpenAt =
			this.context.now +
			Math.min(
				maxReopenDelayMs,
				baseReopenDelayMs * 2 ** Math.min(server.openFailures, 10),
			);
	}

	/**
	 * Opens connections until there is one for each statement that may be in flight, one for each bound
	 * session, and a spare one. Where all requests have a customer, it only tries an unreachable server
	 * again.
	 */
	ensureMinimumConnections(
		server: owned.OwnedServer,
		isLeaseValid: boolean,
	): void {
		if (!isLeaseValid || server.lastAnswerAt === undefined) {
			return;
		}

		if (!this.isOpenGroup(server.group)) {
			if (server.isUnreachable && server.connections.size === 0) {
				this.openConnection(server, server.failedCustomer);
			}

			return;
		}

		const minimum = Math.min(
			server.poolLimit,
			server.concurrency + spareConnections + server.countBoundConnections(),
		);
		while (server.connections.size < minimum) {
			if (!this.openConnection(server, undefined)) {
				return;
			}
		}
	}

	private evictIdle(server: owned.OwnedServer): void {
		const index = connectionEviction.chooseEviction(
			server.idleConnections.map(({customer, stateChangedAt}) => ({
				customer,
				idleSince: stateChangedAt,
			})),
		);
		if (index !== undefined) {
			const connection = server.idleConnections[index];
			this.removeConnection(server, connection);
			this.context.count('connectionsEvicted');
			this.context.emit({type: 'closeConnection', connection: connection.id});
		}
	}
}

/**
 * Counts by customer the waiting requests, less the connections that will be idle without a further
 * statement.
 */
function countMissingConnections(
	server: owned.OwnedServer,
): Map<ids.CustomerId | undefined, number> {
	const missing = new Map<ids.CustomerId | undefined, number>();
	for (const {item} of server.connectionQueue) {
		const {customer} = item.request;
		missing.set(customer, (missing.get(customer) ?? 0) + 1);
	}

	if (missing.size > 0) {
		for (const {customer, state} of server.connections.values()) {
			if (state === 'opening' || state === 'resetting') {
				missing.set(customer, (missing.get(customer) ?? 0) - 1);
			}
		}
	}

	return missing;
}

function removeIdle(
	server: owned.OwnedServer,
	connection: owned.Connection,
): void {
	const index = server.idleConnections.indexOf(connection);
	if (index !== -1) {
		server.idleConnections.splice(index, 1);
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
