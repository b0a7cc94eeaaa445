/**
 * Starts queued requests of owned servers when slots and connections become free.
 */
import type * as ids from '../ids.js';
import type * as policy from '../policy/types.js';
import type * as bindingTable from './binding-table.js';
import type * as context from './context.js';
import type * as executor from './executor.js';
import type * as leaseClient from './lease-client.js';
import type * as owned from './owned-server.js';
import * as ownerPool from './owner-pool.js';
import type * as ownerReplies from './owner-replies.js';
import * as servingRules from './serving-rules.js';

export class Dispatcher {
	/** Requests that have not started, by origin and attempt. */
	private readonly pendingRequests = new Map<string, owned.OwnerRequest>();

	constructor(
		private readonly context: context.ProxyContext,
		private readonly lease: leaseClient.LeaseClient,
		private readonly pool: ownerPool.ConnectionPool,
		private readonly bindings: bindingTable.BindingTable,
		private readonly executor: executor.Executor,
		private readonly replies: ownerReplies.OwnerReplies,
		private readonly rules: servingRules.ServingRules,
	) {}

	addPendingRequest(ownerRequest: owned.OwnerRequest): void {
		this.pendingRequests.set(makeAttemptKey(ownerRequest), ownerRequest);
	}

	removePendingRequest(ownerRequest: owned.OwnerRequest): void {
		this.pendingRequests.delete(makeAttemptKey(ownerRequest));
	}

	findPendingRequest(
		from: ids.PeerId,
		attempt: ids.AttemptId,
	): owned.OwnerRequest | undefined {
		return this.pendingRequests.get(`${from}/${attempt}`);
	}

	listPendingRequests(from: ids.PeerId): owned.OwnerRequest[] {
		return [...this.pendingRequests.values()].filter(
			({origin}) => origin === from,
		);
	}

	/**
	 * Lists the entries of the requests that arrived at `arrivedBefore` or earlier and have not started,
	 * each as often as it has requests.
	 */
	*listPendingOrigins(arrivedBefore: number): Iterable<ids.PeerId> {
		for (const {origin, arrivedAt} of this.pendingRequests.values()) {
			if (arrivedAt <= arrivedBefore) {
				yield origin;
			}
		}
	}

	/** Starts as many requests as slots and connections allow. */
	dispatchRequests(server: owned.OwnedServer): void {
		if (server.isUnreachable) {
			this.refuseConnectionQueue(server);
		}

		// Requests that were admitted earlier go first, also those whose customer has no connection yet.
		this.serveConnectionQueue(server);
		this.pool.openMissingConnections(server);
		const {concurrency} = server;
		while (server.runningCount + server.connectionQueue.length < concurrency) {
			const bound = server.boundQueue.shift();
			if (bound) {
				this.pendingRequests.delete(makeAttemptKey(bound));
				this.startBoundRequest(server, bound);
				continue;
			}

			const queued = server.scheduler.take(this.context.now);
			if (!queued) {
				break;
			}

			this.startQueuedRequest(server, queued);
		}

		this.pool.openMissingConnections(server);
		this.pool.ensureMinimumConnections(
			server,
			this.lease.isValid(this.context.now),
		);
	}

	expireConnectionQueue(server: owned.OwnedServer): void {
		const {now} = this.context;
		for (const queued of server.connectionQueue) {
			if (queued.deadlineAt <= now) {
				ownerPool.removeFromQueues(server, queued.item, now);
				this.pendingRequests.delete(makeAttemptKey(queued.item));
				this.replies.refuse(queued.item, 'deadline', 'the deadline has passed');
			}
		}
	}

	/** Refuses the requests that wait for a connection, or those of them that are selected. */
	refuseConnectionQueue(
		server: owned.OwnedServer,
		isRefused: (
			queued: policy.QueuedRequest<owned.OwnerRequest>,
		) => boolean = () => true,
	): void {
		for (const queued of server.connectionQueue.filter((candidate) =>
			isRefused(candidate),
		)) {
			ownerPool.removeFromQueues(server, queued.item, this.context.now);
			this.pendingRequests.delete(makeAttemptKey(queued.item));
			this.replies.refuse(
				queued.item,
				'noServer',
				'the server cannot be reached',
			);
		}
	}

	takePendingRequests(server: owned.OwnedServer): owned.OwnerRequest[] {
		const ownerRequests: owned.OwnerRequest[] = [];
		for (const [key, ownerRequest] of this.pendingRequests) {
			if (ownerRequest.request.server === server.server) {
				this.pendingRequests.delete(key);
				ownerRequests.push(ownerRequest);
			}
		}

		server.boundQueue.length = 0;
		server.connectionQueue.length = 0;
		return ownerRequests;
	}

	private startBoundRequest(
		server: owned.OwnedServer,
		ownerRequest: owned.OwnerRequest,
	): void {
		const binding = this.bindings.findBinding(ownerRequest);
		if (!binding) {
			this.replies.refuse(ownerRequest, 'noServer', 'the transaction is gone');
			return;
		}

		const mayWrite = binding.readOnly || this.rules.isWritable(server);
		if (ownerRequest.request.kind === 'commit' && !mayWrite) {
			// The commit was not sent, so closing the connection rolls the transaction back.
			this.replies.refuse(ownerRequest, 'noPrimary', 'the write lease ended');
			this.executor.abortConnection(server, binding.connection);
			return;
		}

		this.executor.execute(server, binding.connection, ownerRequest, undefined);
	}

	private startQueuedRequest(
		server: owned.OwnedServer,
		queued: policy.QueuedRequest<owned.OwnerRequest>,
	): void {
		const connection = this.pool.takeIdle(server, queued.item.request);
		if (connection) {
			this.startOnConnection(server, connection, queued);
		} else {
			server.connectionQueue.push(queued);
		}
	}

	/** Starts the waiting requests for whose customers there are idle connections. */
	private serveConnectionQueue(server: owned.OwnedServer): void {
		const waiting = [...server.connectionQueue];
		for (const queued of waiting) {
			const connection = this.pool.takeIdle(server, queued.item.request);
			if (connection) {
				server.connectionQueue.splice(
					server.connectionQueue.indexOf(queued),
					1,
				);
				this.startOnConnection(server, connection, queued);
			}
		}
	}

	private startOnConnection(
		server: owned.OwnedServer,
		connection: owned.Connection,
		queued: policy.QueuedRequest<owned.OwnerRequest>,
	): void {
		const {item: ownerRequest} = queued;
		const {now} = this.context;
		this.pendingRequests.delete(makeAttemptKey(ownerRequest));
		const refusalReason =
			ownerRequest.deadlineAt <= now
				? 'deadline'
				: this.rules.checkServable(server, ownerRequest);
		if (refusalReason !== undefined) {
			this.pool.addIdle(server, connection);
			server.scheduler.complete(queued, 0, now);
			this.replies.refuse(
				ownerRequest,
				refusalReason,
				servingRules.describeRefusal(refusalReason),
			);
			return;
		}

		this.executor.execute(server, connection, ownerRequest, queued);
	}
}

function makeAttemptKey(ownerRequest: owned.OwnerRequest): string {
	return `${ownerRequest.origin}/${ownerRequest.request.attempt}`;
}
