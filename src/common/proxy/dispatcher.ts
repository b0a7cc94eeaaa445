/**
 * Moves queued requests of owned servers to free slots and connections.
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
	/** Requests that have not started; the key is made of origin and attempt. */
	private readonly waiting = new Map<string, owned.OwnerRequest>();

	constructor(
		private readonly context: context.ProxyContext,
		private readonly lease: leaseClient.LeaseClient,
		private readonly pool: ownerPool.ConnectionPool,
		private readonly bindings: bindingTable.BindingTable,
		private readonly executor: executor.Executor,
		private readonly replies: ownerReplies.OwnerReplies,
		private readonly rules: servingRules.ServingRules,
	) {}

	addPendingRequest(item: owned.OwnerRequest): void {
		this.waiting.set(makeAttemptKey(item), item);
	}

	removePendingRequest(item: owned.OwnerRequest): void {
		this.waiting.delete(makeAttemptKey(item));
	}

	findPendingRequest(
		from: ids.PeerId,
		attempt: ids.AttemptId,
	): owned.OwnerRequest | undefined {
		return this.waiting.get(`${from}/${attempt}`);
	}

	listPendingRequests(from: ids.PeerId): owned.OwnerRequest[] {
		return [...this.waiting.values()].filter(({origin}) => origin === from);
	}

	/** Starts as many requests as slots and connections allow. */
	dispatchRequests(server: owned.OwnedServer): void {
		if (server.isUnreachable) {
			this.refuseConnectionQueue(server);
		}

		const {concurrency} = server;
		while (server.slotsInUse + server.connectionQueue.length < concurrency) {
			const bound = server.boundQueue.shift();
			if (bound) {
				this.waiting.delete(makeAttemptKey(bound));
				this.startBound(server, bound);
				continue;
			}

			const queued = server.scheduler.take(this.context.now);
			if (!queued) {
				break;
			}

			this.startQueued(server, queued);
		}

		this.startAwaiting(server);
		this.pool.ensureMinimumConnections(
			server,
			this.lease.isValid(this.context.now),
		);
	}

	expireConnectionQueue(server: owned.OwnedServer): void {
		const {now} = this.context;
		for (const queued of server.connectionQueue) {
			if (queued.deadlineAt <= now) {
				ownerPool.removeFromQueues(server, queued.item);
				this.waiting.delete(makeAttemptKey(queued.item));
				server.scheduler.complete(queued, 0, now);
				this.replies.refuse(queued.item, 'deadline', 'the deadline has passed');
			}
		}
	}

	refuseConnectionQueue(server: owned.OwnedServer): void {
		for (const queued of server.connectionQueue.splice(0)) {
			this.waiting.delete(makeAttemptKey(queued.item));
			server.scheduler.complete(queued, 0, this.context.now);
			this.replies.refuse(
				queued.item,
				'noServer',
				'the server cannot be reached',
			);
		}
	}

	takePendingRequests(server: owned.OwnedServer): owned.OwnerRequest[] {
		const items: owned.OwnerRequest[] = [];
		for (const [key, item] of this.waiting) {
			if (item.request.server === server.server) {
				this.waiting.delete(key);
				items.push(item);
			}
		}

		server.boundQueue.length = 0;
		server.connectionQueue.length = 0;
		return items;
	}

	private startBound(
		server: owned.OwnedServer,
		item: owned.OwnerRequest,
	): void {
		const binding = this.bindings.findBinding(
			item.origin,
			item.request.session,
		);
		if (!binding) {
			this.replies.refuse(item, 'noServer', 'the transaction is gone');
			return;
		}

		const mayWrite = binding.readOnly || this.rules.isWritable(server);
		if (item.request.kind === 'commit' && !mayWrite) {
			// The commit was not sent, so closing the connection rolls the transaction back.
			this.replies.refuse(item, 'noPrimary', 'the write lease ended');
			this.executor.abortConnection(server, binding.connection);
			return;
		}

		this.executor.execute(server, binding.connection, item, undefined);
	}

	private startQueued(
		server: owned.OwnedServer,
		queued: policy.QueuedRequest<owned.OwnerRequest>,
	): void {
		const connection = this.pool.takeIdle(server);
		if (connection) {
			this.startOnConnection(server, connection, queued);
			return;
		}

		server.connectionQueue.push(queued);
		this.pool.openConnection(server);
	}

	private startAwaiting(server: owned.OwnedServer): void {
		while (server.connectionQueue.length > 0) {
			const connection = this.pool.takeIdle(server);
			if (!connection) {
				return;
			}

			const queued = server.connectionQueue.shift()!;
			this.startOnConnection(server, connection, queued);
		}
	}

	private startOnConnection(
		server: owned.OwnedServer,
		connection: owned.Connection,
		queued: policy.QueuedRequest<owned.OwnerRequest>,
	): void {
		const {item} = queued;
		const {now} = this.context;
		this.waiting.delete(makeAttemptKey(item));
		const problem =
			item.deadlineAt <= now
				? 'deadline'
				: this.rules.checkServable(server, item);
		if (problem !== undefined) {
			this.pool.addIdle(server, connection);
			server.scheduler.complete(queued, 0, now);
			this.replies.refuse(item, problem, servingRules.describeRefusal(problem));
			return;
		}

		this.executor.execute(server, connection, item, queued);
	}
}

function makeAttemptKey(item: owned.OwnerRequest): string {
	return `${item.origin}/${item.request.attempt}`;
}
