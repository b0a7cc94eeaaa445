/**
 * The owner side of a proxy: queues and runs requests on the servers that this proxy owns.
 */
import type * as ids from '../ids.js';
import type * as messages from '../messages.js';
import type * as policy from '../policy/types.js';
import * as waitLimit from '../policy/wait-limit.js';
import type * as types from '../types.js';
import * as acknowledgements from './acknowledgements.js';
import * as bindingTable from './binding-table.js';
import type * as context from './context.js';
import type * as directory from './directory.js';
import * as dispatcher from './dispatcher.js';
import * as executor from './executor.js';
import type * as leaseClient from './lease-client.js';
import * as owned from './owned-server.js';
import * as ownerPool from './owner-pool.js';
import * as ownerReplies from './owner-replies.js';
import * as servingRules from './serving-rules.js';
import type * as templateStore from './template-store.js';
import type * as proxy from './types.js';

const part = 'owner';

export type OwnerServices = {
	readonly createScheduler: (
		slots: number,
	) => policy.AdmissionScheduler<owned.OwnerRequest>;
};

export class Owner {
	readonly servers = new Map<ids.UpstreamId, owned.OwnedServer>();
	readonly rules: servingRules.ServingRules;
	readonly executor: executor.Executor;
	readonly dispatcher: dispatcher.Dispatcher;
	private readonly pool: ownerPool.ConnectionPool;
	private readonly bindings: bindingTable.BindingTable;
	private readonly replies: ownerReplies.OwnerReplies;

	constructor(
		private readonly context: context.ProxyContext,
		directory: directory.Directory,
		templates: templateStore.TemplateStore,
		private readonly lease: leaseClient.LeaseClient,
		private readonly services: OwnerServices,
	) {
		this.pool = new ownerPool.ConnectionPool(context, (group) =>
			templates.isOpenGroup(group),
		);
		this.bindings = new bindingTable.BindingTable(context);
		this.replies = new ownerReplies.OwnerReplies(context, this.bindings);
		this.rules = new servingRules.ServingRules(context, directory, lease);
		this.executor = new executor.Executor(
			context,
			this.pool,
			this.bindings,
			this.replies,
			this.rules,
		);
		this.dispatcher = new dispatcher.Dispatcher(
			context,
			lease,
			this.pool,
			this.bindings,
			this.executor,
			this.replies,
			this.rules,
		);
	}

	addServer(
		grant: messages.OwnershipGrant,
		announcement: types.Announcement,
	): void {
		const server = new owned.OwnedServer(
			grant.server,
			announcement.group,
			grant.epoch,
			announcement,
			this.services.createScheduler(announcement.slots),
		);
		server.writeTerm = grant.writeTerm;
		this.servers.set(grant.server, server);
		this.context.count('ownershipGained');
		this.context.log('info', part, `Now owns server ${grant.server}`);
	}

	/** Ends the ownership of a server: refuses its pending requests and closes its connections. */
	removeServer(server: owned.OwnedServer): void {
		this.servers.delete(server.server);
		this.context.count('ownershipLost');
		this.context.log('info', part, `No longer owns server ${server.server}`);
		for (const ownerRequest of this.dispatcher.takePendingRequests(server)) {
			this.replies.refuse(
				ownerRequest,
				'noServer',
				'the server has a new owner',
			);
		}

		for (const pending of server.pendingAcknowledgements.splice(0)) {
			this.replies.finishUnknown(
				pending.ownerRequest,
				'ownership of the server ended',
				pending,
			);
		}

		for (const connection of server.connections.values()) {
			this.executor.abortConnection(server, connection);
		}

		for (const floorRequest of server.pendingFloorRequests.splice(0)) {
			this.replies.answerFloorRequest(floorRequest, undefined);
		}

		this.context.emit({type: 'stopPolling', server: server.server});
	}

	/** Handles a request from an entry, which may be this proxy itself. */
	handleRequest(from: ids.PeerId, request: messages.ForwardRequest): void {
		const {now} = this.context;
		const ownerRequest: owned.OwnerRequest = {
			origin: from,
			request,
			arrivedAt: now,
			deadlineAt: now + request.deadlineMs,
			isAbandoned: false,
		};
		const server = this.servers.get(request.server);
		if (
			!server ||
			(server.ownershipReleaseStartedAt !== undefined &&
				request.binding === undefined)
		) {
			this.replies.refuse(
				ownerRequest,
				'noServer',
				'this proxy does not own the server',
			);
			return;
		}

		server.lastRequestAt = now;
		if (request.binding !== undefined) {
			this.handleBoundRequest(server, ownerRequest);
			return;
		}

		const refusalReason = this.rules.checkServable(server, ownerRequest);
		if (refusalReason !== undefined) {
			this.replies.refuse(
				ownerRequest,
				refusalReason,
				servingRules.describeRefusal(refusalReason),
			);
			return;
		}

		const expectedWaitMs = server.scheduler.estimateWait(request.rank, now);
		if (waitLimit.exceedsWaitLimit(expectedWaitMs, request.maxWaitMs)) {
			this.replies.sendBack(ownerRequest, expectedWaitMs);
			return;
		}

		const result = server.scheduler.offer(
			{
				member: request.member,
				...(request.customer === undefined ? {} : {customer: request.customer}),
				rank: request.rank,
				enqueuedAt: now,
				deadlineAt: ownerRequest.deadlineAt,
				item: ownerRequest,
			},
			now,
		);
		if (result.type === 'refused') {
			this.replies.refuse(
				ownerRequest,
				result.reason,
				'the server is at its limit',
			);
			return;
		}

		this.dispatcher.addPendingRequest(ownerRequest);
		this.dispatcher.dispatchRequests(server);
	}

	handleCancel(from: ids.PeerId, attempt: ids.AttemptId): void {
		const ownerRequest = this.dispatcher.findPendingRequest(from, attempt);
		if (!ownerRequest) {
			this.executor.cancel(from, attempt);
			return;
		}

		this.dispatcher.removePendingRequest(ownerRequest);
		const server = this.servers.get(ownerRequest.request.server);
		if (
			server &&
			ownerPool.removeFromQueues(server, ownerRequest, this.context.now)
		) {
			this.replies.refuse(
				ownerRequest,
				'cancelled',
				'the request was cancelled',
			);
		}
	}

	/** Ends a session. */
	handleRelease(from: ids.PeerId, session: ids.SessionId): void {
		this.endSessions(from, (candidate) => candidate === session);
	}

	/** Ends all sessions of an entry whose link was lost. */
	handleLinkDown(origin: ids.PeerId): void {
		this.endSessions(origin, () => true);
	}

	/**
	 * Lists the entries whose requests arrived here at `startedBefore` or earlier and have not ended, and
	 * those whose transactions are at this owner.
	 */
	*listActiveOrigins(startedBefore: number): Iterable<ids.PeerId> {
		yield* this.dispatcher.listPendingOrigins(startedBefore);
		for (const server of this.servers.values()) {
			for (const {ownerRequest, binding} of server.connections.values()) {
				if (ownerRequest && ownerRequest.arrivedAt <= startedBefore) {
					yield ownerRequest.origin;
				}

				if (binding) {
					yield binding.origin;
				}
			}
		}
	}

	handleFloorRequest(
		from: ids.PeerId,
		sequence: number,
		serverId: ids.UpstreamId,
	): void {
		const floorRequest = {from, sequence, arrivedAt: this.context.now};
		const server = this.servers.get(serverId);
		if (
			server?.hasSynchronousReplication &&
			this.rules.hasLatestPosition(server)
		) {
			this.replies.answerFloorRequest(
				floorRequest,
				server.getAppliedPosition(),
			);
			return;
		}

		if (!server || !this.rules.isWritable(server)) {
			this.replies.answerFloorRequest(floorRequest, undefined);
			return;
		}

		server.pendingFloorRequests.push(floorRequest);
	}

	findServerByConnection(id: ids.ConnectionId): owned.OwnedServer | undefined {
		return this.pool.findConnection(id)?.server;
	}

	handleConnectionOpened(id: ids.ConnectionId): void {
		const found = this.pool.findConnection(id);
		if (!found) {
			this.context.emit({type: 'closeConnection', connection: id});
			return;
		}

		const {server, connection} = found;
		server.openFailures = 0;
		this.pool.addIdle(server, connection);
		this.dispatcher.dispatchRequests(server);
	}

	handleConnectionReset(id: ids.ConnectionId): void {
		const found = this.pool.findConnection(id);
		if (!found) {
			return;
		}

		this.pool.addIdle(found.server, found.connection);
		this.dispatcher.dispatchRequests(found.server);
	}

	handleConnectionClosed(id: ids.ConnectionId, message: string): void {
		const found = this.pool.findConnection(id);
		if (!found) {
			return;
		}

		const {server, connection} = found;
		const wasOpening = connection.state === 'opening';
		this.pool.removeConnection(server, connection);
		if (connection.binding) {
			this.bindings.removeAndNotify(server, connection.binding);
		}

		if (wasOpening) {
			this.pool.recordOpenFailure(server, connection);
			this.context.log(
				'warn',
				part,
				`Cannot connect to ${server.server}: ${message}`,
			);
			this.dispatcher.refuseConnectionQueue(
				server,
				({item}) => item.request.customer === connection.customer,
			);
		} else if (connection.state !== 'closing') {
			this.context.count('connectionsLost');
		}

		this.dispatcher.dispatchRequests(server);
	}

	handleExecutionFinished(
		id: ids.ConnectionId,
		outcome: proxy.ExecutionOutcome,
	): void {
		const server = this.findServerByConnection(id);
		this.executor.handleExecutionFinished(id, outcome);
		if (server) {
			this.dispatcher.dispatchRequests(server);
		}
	}

	/** True while a request waits or runs at one of the owned servers. */
	hasRequests(): boolean {
		for (const server of this.servers.values()) {
			if (server.countRequests() > 0) {
				return true;
			}
		}

		return false;
	}

	handleTick(): void {
		const {now} = this.context;
		for (const server of this.servers.values()) {
			for (const queued of server.scheduler.expire(now)) {
				this.dispatcher.removePendingRequest(queued.item);
				this.replies.refuse(queued.item, 'deadline', 'the deadline has passed');
			}

			for (const decision of acknowledgements.expireAcknowledgements(
				server,
				now,
			)) {
				this.replies.applyDecision(decision);
			}

			this.dispatcher.expireConnectionQueue(server);
			this.executor.closeOverdueConnections(server);
			this.executor.releaseIdleBindings(server);
			this.dispatcher.dispatchRequests(server);
		}
	}

	/** Applies a status poll to the pending acknowledgements and floor requests of a server. */
	applyPollStatus(
		server: owned.OwnedServer,
		sentAt: number,
		view: types.GroupView | undefined,
	): void {
		const isLeaseValid = this.lease.isValid(this.context.now);
		for (const decision of acknowledgements.decideAcknowledgements(
			server,
			sentAt,
			view?.servers ?? [server.server],
			isLeaseValid,
		)) {
			this.replies.applyDecision(decision);
		}

		const remaining: owned.PendingFloorRequest[] = [];
		for (const floorRequest of server.pendingFloorRequests.splice(0)) {
			if (!this.rules.isWritable(server)) {
				this.replies.answerFloorRequest(floorRequest, undefined);
			} else if (floorRequest.arrivedAt <= sentAt && server.status) {
				this.replies.answerFloorRequest(floorRequest, {
					term: server.status.term,
					offset: server.status.position,
				});
			} else {
				remaining.push(floorRequest);
			}
		}

		server.pendingFloorRequests.push(...remaining);
	}

	/**
	 * Ends sessions of an entry: drops their queued requests, abandons the running ones and rolls back
	 * their transactions.
	 */
	private endSessions(
		origin: ids.PeerId,
		isEnded: (session: ids.SessionId) => boolean,
	): void {
		for (const ownerRequest of this.dispatcher.listPendingRequests(origin)) {
			if (isEnded(ownerRequest.request.session)) {
				this.dispatcher.removePendingRequest(ownerRequest);
				const server = this.servers.get(ownerRequest.request.server);
				if (server) {
					ownerPool.removeFromQueues(server, ownerRequest, this.context.now);
				}
			}
		}

		this.executor.abandonExecutions(origin, isEnded);
		for (const binding of this.bindings.listBindings(origin)) {
			if (isEnded(binding.session)) {
				this.executor.releaseBinding(binding);
			}
		}
	}

	private handleBoundRequest(
		server: owned.OwnedServer,
		ownerRequest: owned.OwnerRequest,
	): void {
		const binding = this.bindings.findBinding(ownerRequest);
		if (!binding) {
			this.replies.refuse(ownerRequest, 'noServer', 'the transaction is gone');
			return;
		}

		this.dispatcher.addPendingRequest(ownerRequest);
		server.boundQueue.push(ownerRequest);
		this.dispatcher.dispatchRequests(server);
	}
}
