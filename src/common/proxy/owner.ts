/**
 * The owner part of a proxy: queues and executes the requests of every server that this proxy owns.
 */
import {assertNever} from '../assert-never.js';
import type * as ids from '../ids.js';
import type * as messages from '../messages.js';
import * as positions from '../position.js';
import type * as policy from '../policy/types.js';
import type * as types from '../types.js';
import * as acknowledgements from './acknowledgements.js';
import type * as context from './context.js';
import type * as directory from './directory.js';
import type * as leaseClient from './lease-client.js';
import * as owned from './owned-server.js';
import * as ownerPool from './owner-pool.js';
import type * as proxy from './types.js';

const part = 'owner';
/** Time that an execution may run past its deadline before its connection is closed. */
const executionGraceMs = 1000;

export type OwnerServices = {
	readonly createScheduler: (
		slots: number,
	) => policy.AdmissionScheduler<owned.OwnerItem>;
};

export class Owner {
	readonly servers = new Map<ids.UpstreamId, owned.OwnedServer>();
	private readonly pool: ownerPool.OwnerPool;
	private readonly bindings = new Map<string, owned.Binding>();
	private readonly running = new Map<ids.ConnectionId, owned.OwnedServer>();
	/** Attempts that were cancelled while they wait; key is origin and attempt. */
	private readonly waiting = new Map<string, owned.OwnerItem>();

	constructor(
		private readonly context: context.ProxyContext,
		private readonly directory: directory.Directory,
		private readonly lease: leaseClient.LeaseClient,
		private readonly services: OwnerServices,
	) {
		this.pool = new ownerPool.OwnerPool(context);
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

	/** Gives up a server: refuses what waits and closes its connections. */
	removeServer(server: owned.OwnedServer): void {
		this.servers.delete(server.server);
		this.context.count('ownershipLost');
		this.context.log('info', part, `No longer owns server ${server.server}`);
		for (const item of this.takeWaiting(server)) {
			this.refuseItem(item, 'noServer', 'the server has a new owner');
		}

		for (const held of server.acknowledgements.splice(0)) {
			this.finishUnknown(held.item, 'ownership of the server ended', held);
		}

		for (const connection of server.connections.values()) {
			this.abandonConnection(server, connection);
		}

		for (const waiter of server.floorWaiters.splice(0)) {
			this.answerFloor(waiter, undefined);
		}

		this.context.emit({type: 'stopPolling', server: server.server});
	}

	/** Handles a request of an entry, which may be this proxy itself. */
	handleRequest(from: ids.PeerId, request: messages.ForwardRequest): void {
		const {now} = this.context;
		const item: owned.OwnerItem = {
			origin: from,
			request,
			arrivedAt: now,
			deadlineAt: now + request.deadlineMs,
		};
		const server = this.servers.get(request.server);
		if (!server || (server.releasingSince !== undefined && !request.bound)) {
			this.refuseItem(item, 'noServer', 'this proxy does not own the server');
			return;
		}

		server.subscribers.set(from, now + 10_000);
		if (request.bound) {
			this.handleBoundRequest(server, item);
			return;
		}

		const problem = this.checkServable(server, item);
		if (problem !== undefined) {
			this.refuseItem(item, problem, describeProblem(problem));
			return;
		}

		const result = server.scheduler.offer(
			{
				member: request.member,
				rank: request.rank,
				enqueuedAt: now,
				deadlineAt: item.deadlineAt,
				item,
			},
			now,
		);
		if (result.type === 'refused') {
			this.refuseItem(item, result.reason, 'the server is at its limit');
			return;
		}

		this.waiting.set(makeAttemptKey(item), item);
		this.dispatchNext(server);
	}

	handleCancel(from: ids.PeerId, attempt: ids.AttemptId): void {
		const key = `${from}/${attempt}`;
		const item = this.waiting.get(key);
		if (item) {
			this.waiting.delete(key);
			const server = this.servers.get(item.request.server);
			if (server && ownerPool.removeWaiting(server, item)) {
				this.refuseItem(item, 'cancelled', 'the request was cancelled');
			}

			return;
		}

		for (const [id, server] of this.running) {
			const connection = server.connections.get(id);
			if (
				connection?.item?.origin === from &&
				connection.item.request.attempt === attempt
			) {
				this.context.emit({
					type: 'cancelExecution',
					connection: id,
					attempt,
				});
			}
		}
	}

	/** Ends a session: its queued requests are dropped and its transaction rolled back. */
	handleRelease(from: ids.PeerId, session: ids.SessionId): void {
		for (const [key, item] of this.waiting) {
			if (item.origin === from && item.request.session === session) {
				this.waiting.delete(key);
				const server = this.servers.get(item.request.server);
				if (server) {
					ownerPool.removeWaiting(server, item);
				}
			}
		}

		const binding = this.bindings.get(makeSessionKey(from, session));
		if (binding) {
			this.releaseBinding(binding);
		}

		for (const [id, server] of this.running) {
			const connection = server.connections.get(id);
			if (
				connection?.item?.origin === from &&
				connection.item.request.session === session
			) {
				connection.abandoned = true;
			}
		}
	}

	/** Ends all sessions of an entry whose link is gone. */
	handleOriginLost(origin: ids.PeerId): void {
		const sessions = new Set<ids.SessionId>();
		for (const binding of this.bindings.values()) {
			if (binding.origin === origin) {
				sessions.add(binding.session);
			}
		}

		for (const item of this.waiting.values()) {
			if (item.origin === origin) {
				sessions.add(item.request.session);
			}
		}

		for (const session of sessions) {
			this.handleRelease(origin, session);
		}
	}

	handleFloorRequest(
		from: ids.PeerId,
		sequence: number,
		serverId: ids.UpstreamId,
	): void {
		const waiter = {from, sequence, arrivedAt: this.context.now};
		const server = this.servers.get(serverId);
		if (!server || !this.isWritable(server)) {
			this.answerFloor(waiter, undefined);
			return;
		}

		server.floorWaiters.push(waiter);
	}

	/** Returns the server that a connection belongs to. */
	findServer(id: ids.ConnectionId): owned.OwnedServer | undefined {
		return this.pool.findConnection(id)?.server;
	}

	handleConnectionOpened(id: ids.ConnectionId): void {
		const found = this.findConnection(id);
		if (!found) {
			this.context.emit({type: 'closeConnection', connection: id});
			return;
		}

		const {server, connection} = found;
		server.openFailures = 0;
		this.pool.addIdle(server, connection);
		this.dispatchNext(server);
	}

	handleConnectionReset(id: ids.ConnectionId): void {
		const found = this.findConnection(id);
		if (!found) {
			return;
		}

		this.pool.addIdle(found.server, found.connection);
		this.dispatchNext(found.server);
	}

	handleConnectionClosed(id: ids.ConnectionId, message: string): void {
		const found = this.findConnection(id);
		if (!found) {
			return;
		}

		const {server, connection} = found;
		const wasOpening = connection.state === 'opening';
		this.pool.removeConnection(server, connection);
		if (connection.binding) {
			this.loseBinding(server, connection.binding);
		}

		if (wasOpening) {
			this.pool.recordOpenFailure(server);
			this.context.log(
				'warn',
				part,
				`Cannot connect to ${server.server}: ${message}`,
			);
			this.refuseAwaiting(server);
		} else if (connection.state !== 'closing') {
			this.context.count('connectionsLost');
		}

		this.dispatchNext(server);
	}

	handleExecutionFinished(
		id: ids.ConnectionId,
		outcome: proxy.ExecutionOutcome,
	): void {
		const found = this.findConnection(id);
		this.running.delete(id);
		if (!found?.connection.item) {
			return;
		}

		const {server, connection} = found;
		const {item, queued, startedAt} = connection;
		connection.item = undefined;
		connection.queued = undefined;
		server.busy--;
		if (queued) {
			server.scheduler.complete(
				queued,
				this.context.now - startedAt,
				this.context.now,
			);
		}

		if (item) {
			this.handleOutcome(server, connection, item, outcome, startedAt);
		}

		this.dispatchNext(server);
	}

	/** Starts as many requests as slots and connections allow. */
	dispatchNext(server: owned.OwnedServer): void {
		const {slots} = server.announcement;
		while (server.busy + server.awaitingConnection.length < slots) {
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
		this.pool.keepWarm(server, this.lease.isValid(this.context.now));
	}

	handleTick(): void {
		const {now} = this.context;
		for (const server of this.servers.values()) {
			for (const queued of server.scheduler.expire(now)) {
				this.waiting.delete(makeAttemptKey(queued.item));
				this.refuseItem(queued.item, 'deadline', 'the deadline has passed');
			}

			for (const decision of acknowledgements.expireAcknowledgements(
				server,
				now,
			)) {
				this.applyDecision(decision);
			}

			this.expireAwaiting(server);
			this.closeOverdueExecutions(server);
			this.dispatchNext(server);
		}
	}

	/** Applies a status poll to the held commits and floor requests of a server. */
	handlePolled(
		server: owned.OwnedServer,
		sentAt: number,
		view: types.GroupView | undefined,
	): void {
		const isLeaseValid = this.lease.isValid(this.context.now);
		for (const decision of acknowledgements.choosePolledAcknowledgements(
			server,
			sentAt,
			view?.servers ?? [server.server],
			isLeaseValid,
		)) {
			this.applyDecision(decision);
		}

		const kept: owned.FloorWaiter[] = [];
		for (const waiter of server.floorWaiters.splice(0)) {
			if (!this.isWritable(server)) {
				this.answerFloor(waiter, undefined);
			} else if (waiter.arrivedAt <= sentAt && server.status) {
				this.answerFloor(waiter, {
					term: server.status.term,
					offset: server.status.position,
				});
			} else {
				kept.push(waiter);
			}
		}

		server.floorWaiters.push(...kept);
	}

	/** True while this proxy may send writes to the server and acknowledge them. */
	isWritable(server: owned.OwnedServer): boolean {
		return (
			server.writeTerm !== undefined &&
			server.releasingWriteSince === undefined &&
			this.lease.isValid(this.context.now) &&
			server.status?.role === 'primary' &&
			server.status.term === server.writeTerm
		);
	}

	/** Upper bound of the staleness of reads on the server now, in ms. */
	computeStaleness(server: owned.OwnedServer): number {
		const {now} = this.context;
		if (
			server.writeTerm !== undefined &&
			server.status?.role === 'primary' &&
			server.status.term === server.writeTerm
		) {
			return Math.max(0, now - this.lease.validUntil);
		}

		return server.evidence.computeStaleness(now);
	}

	/** Number of requests that are running or wait on the server. */
	countWork(server: owned.OwnedServer): number {
		return (
			server.busy +
			server.scheduler.size +
			server.boundQueue.length +
			server.awaitingConnection.length +
			server.acknowledgements.length
		);
	}

	/** Writes that are running or wait for their acknowledgement, open write transactions included. */
	countWrites(server: owned.OwnedServer): number {
		let count = server.acknowledgements.length;
		for (const connection of server.connections.values()) {
			if (connection.item && connection.item.request.kind !== 'read') {
				count++;
			}
		}

		return count;
	}

	/** Closes the connections of read-write transactions; their sessions are told. */
	abandonWriteTransactions(server: owned.OwnedServer): void {
		for (const connection of server.connections.values()) {
			if (connection.binding && !connection.binding.readOnly) {
				this.abandonConnection(server, connection);
			}
		}
	}

	private handleBoundRequest(
		server: owned.OwnedServer,
		item: owned.OwnerItem,
	): void {
		const binding = this.bindings.get(
			makeSessionKey(item.origin, item.request.session),
		);
		if (!binding) {
			this.refuseItem(item, 'noServer', 'the transaction is gone');
			return;
		}

		this.waiting.set(makeAttemptKey(item), item);
		server.boundQueue.push(item);
		this.dispatchNext(server);
	}

	private startBound(server: owned.OwnedServer, item: owned.OwnerItem): void {
		const binding = this.bindings.get(
			makeSessionKey(item.origin, item.request.session),
		);
		if (!binding) {
			this.refuseItem(item, 'noServer', 'the transaction is gone');
			return;
		}

		const mayWrite = binding.readOnly || this.isWritable(server);
		if (item.request.kind === 'commit' && !mayWrite) {
			// The commit was not sent, so closing the connection rolls the transaction back.
			this.refuseItem(item, 'noPrimary', 'the write lease ended');
			this.abandonConnection(server, binding.connection);
			return;
		}

		this.execute(server, binding.connection, item, undefined);
	}

	private startQueued(
		server: owned.OwnedServer,
		queued: policy.QueuedRequest<owned.OwnerItem>,
	): void {
		const connection = this.pool.takeIdle(server);
		if (connection) {
			this.startOnConnection(server, connection, queued);
			return;
		}

		server.awaitingConnection.push(queued);
		this.pool.openConnection(server);
	}

	private startAwaiting(server: owned.OwnedServer): void {
		while (server.awaitingConnection.length > 0) {
			const connection = this.pool.takeIdle(server);
			if (!connection) {
				return;
			}

			const queued = server.awaitingConnection.shift()!;
			this.startOnConnection(server, connection, queued);
		}
	}

	private startOnConnection(
		server: owned.OwnedServer,
		connection: owned.Connection,
		queued: policy.QueuedRequest<owned.OwnerItem>,
	): void {
		const {item} = queued;
		const {now} = this.context;
		this.waiting.delete(makeAttemptKey(item));
		const problem =
			item.deadlineAt <= now ? 'deadline' : this.checkServable(server, item);
		if (problem !== undefined) {
			this.pool.addIdle(server, connection);
			server.scheduler.complete(queued, 0, now);
			this.refuseItem(item, problem, describeProblem(problem));
			return;
		}

		this.execute(server, connection, item, queued);
	}

	private execute(
		server: owned.OwnedServer,
		connection: owned.Connection,
		item: owned.OwnerItem,
		queued: policy.QueuedRequest<owned.OwnerItem> | undefined,
	): void {
		const {request, origin} = item;
		server.setState(connection, 'executing', this.context.now);
		connection.item = item;
		connection.queued = queued;
		connection.startedAt = this.context.now;
		server.busy++;
		this.running.set(connection.id, server);
		const isLocal = origin === this.context.config.peer;
		this.context.emit({
			type: 'execute',
			connection: connection.id,
			attempt: request.attempt,
			kind: request.kind,
			payload: request.payload,
			inTransaction: connection.binding?.inTransaction ?? false,
			sink: isLocal
				? {type: 'session', attempt: request.attempt}
				: {type: 'peer', peer: origin, attempt: request.attempt},
			...(request.key === undefined ? {} : {claimKey: request.key}),
		});
	}

	/** Returns why the server cannot run the request now. */
	private checkServable(
		server: owned.OwnedServer,
		item: owned.OwnerItem,
	): types.RefusalReason | undefined {
		const {request} = item;
		if (request.kind !== 'read' && request.kind !== 'beginReadOnly') {
			if (!this.isWritable(server)) {
				return 'noPrimary';
			}

			const needsBinding =
				request.kind === 'begin' || request.kind === 'sessionState';
			return needsBinding && server.countBound() >= server.boundLimit
				? 'queueFull'
				: undefined;
		}

		const applied = server.getApplied();
		if (!applied) {
			return 'tooStale';
		}

		const termStart =
			this.directory.groups.get(server.group)?.termStart ?? Infinity;
		if (
			request.floor &&
			!positions.isFloorReached(request.floor, applied, termStart)
		) {
			return 'tooStale';
		}

		if (this.computeStaleness(server) > request.stalenessMs) {
			return 'tooStale';
		}

		return request.kind === 'beginReadOnly' &&
			server.countBound() >= server.boundLimit
			? 'queueFull'
			: undefined;
	}

	private handleOutcome(
		server: owned.OwnedServer,
		connection: owned.Connection,
		item: owned.OwnerItem,
		outcome: proxy.ExecutionOutcome,
		startedAt: number,
	): void {
		switch (outcome.type) {
			case 'answered': {
				this.handleAnswered(server, connection, item, outcome, startedAt);
				return;
			}

			case 'keyUsed': {
				this.finishConnection(server, connection, false);
				this.refuseItem(
					item,
					'keyUsed',
					'a committed request already used this key',
				);
				return;
			}

			case 'lost': {
				this.pool.removeConnection(server, connection);
				this.context.count('connectionsLost');
				if (connection.binding) {
					this.loseBinding(server, connection.binding);
				}

				if (outcome.mayHaveRun) {
					this.finishUnknown(item, 'the connection to the server was lost', {
						relayed: outcome.relayed,
					});
				} else {
					this.refuseItem(item, 'noServer', 'the server cannot be reached');
				}

				return;
			}

			default: {
				assertNever(outcome);
			}
		}
	}

	private handleAnswered(
		server: owned.OwnedServer,
		connection: owned.Connection,
		item: owned.OwnerItem,
		outcome: Extract<proxy.ExecutionOutcome, {type: 'answered'}>,
		startedAt: number,
	): void {
		const {request} = item;
		const wasBound = connection.binding !== undefined;
		const wasReadOnly =
			connection.binding?.readOnly ??
			(request.kind === 'read' || request.kind === 'beginReadOnly');
		const refusedAsReplica =
			outcome.sqlState === '25006' && !wasBound && !outcome.relayed;
		const isBound = this.updateBinding(server, connection, item, outcome);
		if (refusedAsReplica && outcome.transactionStatus === 'idle') {
			this.refuseItem(item, 'readOnlyServer', 'the server accepts only reads');
			return;
		}

		const queueMs = startedAt - item.arrivedAt;
		const mayHaveCommitted =
			outcome.transactionStatus === 'idle' &&
			owned.canCommit(request.kind, wasReadOnly);
		if (mayHaveCommitted && server.writeTerm !== undefined) {
			server.acknowledgements.push({
				item,
				tail: outcome.tail,
				relayed: outcome.relayed,
				term: server.writeTerm,
				finishedAt: this.context.now,
				queueMs,
				bound: isBound,
				target: undefined,
			});
			return;
		}

		if (mayHaveCommitted) {
			this.finishUnknown(item, 'the write lease ended', outcome);
			return;
		}

		const applied = server.getApplied();
		this.context.send(item.origin, {
			type: 'forwardDone',
			attempt: request.attempt,
			verdict: 'completed',
			tail: outcome.tail,
			relayed: outcome.relayed,
			transactionStatus: outcome.transactionStatus,
			bound: isBound,
			queueMs,
			...(server.status ? {servedBy: server.status.role} : {}),
			...(applied && request.kind === 'read' && !wasBound
				? {position: applied, stalenessMs: this.computeStaleness(server)}
				: {}),
		});
	}

	/** Binds, keeps or frees the connection after an answer; returns whether the session is bound. */
	private updateBinding(
		server: owned.OwnedServer,
		connection: owned.Connection,
		item: owned.OwnerItem,
		outcome: Extract<proxy.ExecutionOutcome, {type: 'answered'}>,
	): boolean {
		const {request, origin} = item;
		const isOpen = outcome.transactionStatus !== 'idle';
		const setsState =
			request.kind === 'sessionState' && outcome.sqlState === undefined;
		let {binding} = connection;
		if (connection.abandoned) {
			if (binding) {
				this.bindings.delete(binding.key);
			}

			connection.binding = undefined;
			this.closeConnection(server, connection);
			return false;
		}

		if (!binding && (isOpen || setsState)) {
			binding = {
				key: makeSessionKey(origin, request.session),
				origin,
				session: request.session,
				connection,
				pinned: false,
				inTransaction: false,
				readOnly: request.kind === 'beginReadOnly',
			};
			connection.binding = binding;
			this.bindings.set(binding.key, binding);
		}

		if (!binding) {
			this.pool.addIdle(server, connection);
			return false;
		}

		binding.inTransaction = isOpen;
		binding.pinned ||= setsState;
		if (isOpen || binding.pinned) {
			server.setState(connection, 'bound', this.context.now);
			return true;
		}

		this.bindings.delete(binding.key);
		connection.binding = undefined;
		this.finishConnection(server, connection, true);
		return false;
	}

	/** Frees a connection; one that carried a transaction is reset first. */
	private finishConnection(
		server: owned.OwnedServer,
		connection: owned.Connection,
		needsReset: boolean,
	): void {
		if (connection.abandoned) {
			this.closeConnection(server, connection);
		} else if (needsReset) {
			server.setState(connection, 'resetting', this.context.now);
			this.context.emit({type: 'resetConnection', connection: connection.id});
		} else if (connection.binding) {
			server.setState(connection, 'bound', this.context.now);
		} else {
			this.pool.addIdle(server, connection);
		}
	}

	private releaseBinding(binding: owned.Binding): void {
		this.bindings.delete(binding.key);
		const {connection} = binding;
		const found = this.findConnection(connection.id);
		connection.binding = undefined;
		if (!found) {
			return;
		}

		if (connection.item) {
			connection.abandoned = true;
			return;
		}

		// A transaction that is still open is rolled back, state of the session is discarded.
		this.finishConnection(found.server, connection, true);
	}

	/** The connection of a bound session is gone; its entry must know that nothing of it remains. */
	private loseBinding(server: owned.OwnedServer, binding: owned.Binding): void {
		this.bindings.delete(binding.key);
		binding.connection.binding = undefined;
		this.context.send(binding.origin, {
			type: 'forwardUnbound',
			session: binding.session,
			server: server.server,
		});
	}

	private abandonConnection(
		server: owned.OwnedServer,
		connection: owned.Connection,
	): void {
		const {binding, item} = connection;
		this.running.delete(connection.id);
		if (item) {
			server.busy--;
			connection.item = undefined;
			this.finishUnknown(item, 'the connection was closed', {relayed: false});
		}

		if (binding) {
			this.loseBinding(server, binding);
		}

		this.closeConnection(server, connection);
	}

	private closeConnection(
		server: owned.OwnedServer,
		connection: owned.Connection,
	): void {
		this.pool.removeConnection(server, connection);
		this.context.emit({type: 'closeConnection', connection: connection.id});
	}

	private closeOverdueExecutions(server: owned.OwnedServer): void {
		const {now} = this.context;
		for (const connection of server.connections.values()) {
			const isOverdue =
				connection.item !== undefined &&
				now > connection.item.deadlineAt + executionGraceMs;
			const isStuck =
				(connection.state === 'resetting' || connection.state === 'opening') &&
				now - connection.stateSince > 2 * executionGraceMs;
			if (isOverdue || isStuck) {
				this.context.log(
					'warn',
					part,
					`Closes a silent connection to ${server.server}`,
				);
				this.context.count('connectionsLost');
				this.abandonConnection(server, connection);
			}
		}
	}

	private expireAwaiting(server: owned.OwnedServer): void {
		const {now} = this.context;
		for (const queued of server.awaitingConnection) {
			if (queued.deadlineAt <= now) {
				ownerPool.removeWaiting(server, queued.item);
				this.waiting.delete(makeAttemptKey(queued.item));
				server.scheduler.complete(queued, 0, now);
				this.refuseItem(queued.item, 'deadline', 'the deadline has passed');
			}
		}
	}

	private refuseAwaiting(server: owned.OwnedServer): void {
		for (const queued of server.awaitingConnection.splice(0)) {
			this.waiting.delete(makeAttemptKey(queued.item));
			server.scheduler.complete(queued, 0, this.context.now);
			this.refuseItem(queued.item, 'noServer', 'the server cannot be reached');
		}
	}

	private takeWaiting(server: owned.OwnedServer): owned.OwnerItem[] {
		const items: owned.OwnerItem[] = [];
		for (const [key, item] of this.waiting) {
			if (item.request.server === server.server) {
				this.waiting.delete(key);
				items.push(item);
			}
		}

		server.boundQueue.length = 0;
		server.awaitingConnection.length = 0;
		return items;
	}

	private applyDecision(
		decision: acknowledgements.AcknowledgementDecision,
	): void {
		const {held} = decision;
		switch (decision.type) {
			case 'acknowledge': {
				this.context.send(held.item.origin, {
					type: 'forwardDone',
					attempt: held.item.request.attempt,
					verdict: 'completed',
					tail: held.tail,
					relayed: held.relayed,
					transactionStatus: 'idle',
					bound: held.bound,
					queueMs: held.queueMs,
					servedBy: 'primary',
					...(held.target ? {position: held.target} : {}),
				});
				return;
			}

			case 'unknown': {
				this.finishUnknown(held.item, decision.message, held);
				return;
			}

			default: {
				assertNever(decision);
			}
		}
	}

	private refuseItem(
		item: owned.OwnerItem,
		reason: types.RefusalReason,
		message: string,
	): void {
		this.context.send(item.origin, {
			type: 'forwardDone',
			attempt: item.request.attempt,
			verdict: 'notRun',
			reason,
			message,
			relayed: false,
			transactionStatus: 'idle',
			bound: this.bindings.has(
				makeSessionKey(item.origin, item.request.session),
			),
			queueMs: this.context.now - item.arrivedAt,
		});
	}

	private finishUnknown(
		item: owned.OwnerItem,
		message: string,
		details: {readonly relayed: boolean},
	): void {
		this.context.send(item.origin, {
			type: 'forwardDone',
			attempt: item.request.attempt,
			verdict: 'unknown',
			message,
			relayed: details.relayed,
			transactionStatus: 'idle',
			bound: this.bindings.has(
				makeSessionKey(item.origin, item.request.session),
			),
			queueMs: this.context.now - item.arrivedAt,
		});
	}

	private answerFloor(
		waiter: owned.FloorWaiter,
		position: types.Position | undefined,
	): void {
		this.context.send(waiter.from, {
			type: 'floorAnswer',
			sequence: waiter.sequence,
			...(position ? {position} : {}),
		});
	}

	private findConnection(
		id: ids.ConnectionId,
	): {server: owned.OwnedServer; connection: owned.Connection} | undefined {
		return this.pool.findConnection(id);
	}
}

function makeSessionKey(origin: ids.PeerId, session: ids.SessionId): string {
	return `${origin}/${session}`;
}

function makeAttemptKey(item: owned.OwnerItem): string {
	return `${item.origin}/${item.request.attempt}`;
}

function describeProblem(reason: types.RefusalReason): string {
	switch (reason) {
		case 'noPrimary': {
			return 'no primary accepts writes at present';
		}

		case 'tooStale': {
			return 'the data of the server is too old for the request';
		}

		case 'deadline': {
			return 'the deadline has passed';
		}

		case 'queueFull': {
			return 'too many sessions hold connections of the server';
		}

		case 'draining':
		case 'noServer':
		case 'memberLimit':
		case 'keyUsed':
		case 'noTemplate':
		case 'readOnlyServer':
		case 'cancelled': {
			return 'the request cannot be served';
		}

		default: {
			return assertNever(reason);
		}
	}
}
