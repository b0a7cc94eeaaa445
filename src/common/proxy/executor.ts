/**
 * Runs requests on connections and handles how they end: answers, lost connections, held commits,
 * and the connections that sessions keep.
 */
import {assertNever} from '../assert-never.js';
import type * as ids from '../ids.js';
import type * as policy from '../policy/types.js';
import type * as types from '../types.js';
import type * as bindingTable from './binding-table.js';
import type * as context from './context.js';
import * as owned from './owned-server.js';
import type * as ownerPool from './owner-pool.js';
import type * as ownerReplies from './owner-replies.js';
import type * as servingRules from './serving-rules.js';
import type * as proxy from './types.js';

const part = 'owner';
/** Opening or resetting a connection takes longer than this only when the server is silent. */
const connectionLimitMs = 2000;

export class Executor {
	private readonly running = new Map<ids.ConnectionId, owned.OwnedServer>();

	constructor(
		private readonly context: context.ProxyContext,
		private readonly pool: ownerPool.ConnectionPool,
		private readonly bindings: bindingTable.BindingTable,
		private readonly replies: ownerReplies.OwnerReplies,
		private readonly rules: servingRules.ServingRules,
	) {}

	/** Asks the server to cancel an attempt that is running. */
	cancel(from: ids.PeerId, attempt: ids.AttemptId): void {
		for (const connection of this.listRunning(from)) {
			if (connection.item?.request.attempt === attempt) {
				const {kind, bound} = connection.item.request;
				// Nobody would end a transaction that this request opens.
				connection.mustClose ||=
					!bound && (kind === 'begin' || kind === 'beginReadOnly');
				this.context.emit({
					type: 'cancelExecution',
					connection: connection.id,
					attempt,
				});
			}
		}
	}

	/** Closes the connection of a running request of a session when it ends. */
	closeAfterExecution(from: ids.PeerId, session: ids.SessionId): void {
		for (const connection of this.listRunning(from)) {
			if (connection.item?.request.session === session) {
				connection.mustClose = true;
			}
		}
	}

	handleExecutionFinished(
		id: ids.ConnectionId,
		outcome: proxy.ExecutionOutcome,
	): void {
		const found = this.pool.findConnection(id);
		this.running.delete(id);
		if (!found?.connection.item) {
			return;
		}

		const {server, connection} = found;
		const {item, queuedRequest: queued, startedAt} = connection;
		connection.item = undefined;
		connection.queuedRequest = undefined;
		server.slotsInUse--;
		const {now} = this.context;
		const durationMs = now - startedAt;
		const statementMs =
			(outcome.type === 'answered' ? outcome.statementMs : undefined) ??
			durationMs;
		const slotMs = server.recordExecution(durationMs, statementMs, now);
		if (queued) {
			server.scheduler.complete(queued, slotMs, now);
		}

		if (item) {
			this.handleOutcome(server, connection, item, outcome, startedAt);
		}
	}

	execute(
		server: owned.OwnedServer,
		connection: owned.Connection,
		item: owned.OwnerRequest,
		queued: policy.QueuedRequest<owned.OwnerRequest> | undefined,
	): void {
		const {request, origin} = item;
		server.setState(connection, 'executing', this.context.now);
		connection.item = item;
		connection.queuedRequest = queued;
		connection.startedAt = this.context.now;
		server.slotsInUse++;
		this.running.set(connection.id, server);
		const isLocal = origin === this.context.config.peer;
		this.context.emit({
			type: 'execute',
			connection: connection.id,
			attempt: request.attempt,
			kind: request.kind,
			payload: request.payload,
			inTransaction: connection.binding?.inTransaction ?? false,
			...this.buildPositionCheck(server, connection, request.kind),
			sink: isLocal
				? {type: 'session', attempt: request.attempt}
				: {type: 'peer', peer: origin, attempt: request.attempt},
			...(request.key === undefined ? {} : {claimKey: request.key}),
		});
	}

	releaseBinding(binding: owned.ConnectionBinding): void {
		const {connection} = binding;
		this.bindings.remove(binding);
		const found = this.pool.findConnection(connection.id);
		if (!found) {
			return;
		}

		if (connection.item) {
			connection.mustClose = true;
			return;
		}

		// A transaction that is still open is rolled back, state of the session is discarded.
		this.finishConnection(found.server, connection, true);
	}

	/**
	 * Ends everything that could still commit on the server: this owner can never acknowledge it.
	 * Callers of running writes learn at once that the outcome is unknown, instead of waiting for a
	 * primary that may be silent.
	 */
	abortWrites(server: owned.OwnedServer): void {
		for (const connection of server.connections.values()) {
			const {binding, item} = connection;
			const isWriting =
				binding === undefined
					? item !== undefined && item.request.kind !== 'read'
					: !binding.readOnly;
			if (isWriting) {
				this.abortConnection(server, connection);
			}
		}
	}

	abortConnection(
		server: owned.OwnedServer,
		connection: owned.Connection,
	): void {
		const {binding, item, queuedRequest: queued} = connection;
		this.running.delete(connection.id);
		if (queued) {
			connection.queuedRequest = undefined;
			server.scheduler.complete(
				queued,
				this.context.now - connection.startedAt,
				this.context.now,
			);
		}

		if (item) {
			server.slotsInUse--;
			connection.item = undefined;
			this.replies.finishUnknown(item, 'the connection was closed', {
				relayed: false,
			});
		}

		if (binding) {
			this.bindings.removeAndNotify(server, binding);
		}

		this.closeConnection(server, connection);
	}

	/** Rolls back transactions that nobody has used for long; their entry may have forgotten them. */
	releaseIdleBindings(server: owned.OwnedServer): void {
		const {now, timing} = this.context;
		for (const connection of server.connections.values()) {
			const {binding} = connection;
			if (
				binding &&
				!binding.pinned &&
				connection.state === 'bound' &&
				now - connection.stateChangedAt > timing.boundIdleLimitMs
			) {
				this.context.log('warn', part, 'Rolled back an idle transaction', {
					server: server.server,
					origin: binding.origin,
					idleMs: Math.round(now - connection.stateChangedAt),
				});
				this.bindings.removeAndNotify(server, binding);
				this.releaseBinding(binding);
			}
		}
	}

	closeOverdueExecutions(server: owned.OwnedServer): void {
		const {now} = this.context;
		const {executionGraceMs} = this.context.timing;
		for (const connection of server.connections.values()) {
			const isOverdue =
				connection.item !== undefined &&
				now > connection.item.deadlineAt + executionGraceMs;
			const isStuck =
				(connection.state === 'resetting' || connection.state === 'opening') &&
				now - connection.stateChangedAt > connectionLimitMs;
			if (isOverdue || isStuck) {
				this.context.log(
					'warn',
					part,
					`Closes a silent connection to ${server.server}`,
				);
				this.context.count('connectionsLost');
				this.abortConnection(server, connection);
			}
		}
	}

	private handleOutcome(
		server: owned.OwnedServer,
		connection: owned.Connection,
		item: owned.OwnerRequest,
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
				this.replies.refuse(
					item,
					'keyUsed',
					'a committed request already used this key',
				);
				return;
			}

			case 'refused': {
				this.handleRefused(server, connection, item, outcome);
				return;
			}

			case 'lost': {
				this.pool.removeConnection(server, connection);
				this.context.count('connectionsLost');
				if (connection.binding) {
					this.bindings.removeAndNotify(server, connection.binding);
				}

				if (outcome.mayHaveRun) {
					this.replies.finishUnknown(
						item,
						'the connection to the server was lost',
						{
							relayed: outcome.relayed,
						},
					);
				} else {
					this.replies.refuse(item, 'noServer', 'the server cannot be reached');
				}

				return;
			}

			default: {
				assertNever(outcome);
			}
		}
	}

	/** The connection stays usable: the server refused before it executed anything. */
	private handleRefused(
		server: owned.OwnedServer,
		connection: owned.Connection,
		item: owned.OwnerRequest,
		outcome: Extract<proxy.ExecutionOutcome, {type: 'refused'}>,
	): void {
		if (outcome.reason === 'tooStale' || outcome.reason === 'readOnlyServer') {
			// Its log went back or it lost the lead, so what earlier answers said is void.
			server.invalidateStatus();
		} else {
			server.lastAnswerAt = this.context.now;
		}

		this.finishConnection(server, connection, false);
		this.replies.refuse(item, outcome.reason, outcome.message);
	}

	/** A server whose log went back must not serve what it held at its last answer. */
	private buildPositionCheck(
		server: owned.OwnedServer,
		connection: owned.Connection,
		kind: proxy.RequestKind,
	): {after?: types.Position} {
		const isStart =
			kind === 'read' || kind === 'begin' || kind === 'beginReadOnly';
		const applied = server.getAppliedPosition();
		return isStart &&
			server.hasSynchronousReplication &&
			!connection.binding &&
			applied
			? {after: applied}
			: {};
	}

	private handleAnswered(
		server: owned.OwnedServer,
		connection: owned.Connection,
		item: owned.OwnerRequest,
		outcome: Extract<proxy.ExecutionOutcome, {type: 'answered'}>,
		startedAt: number,
	): void {
		const {request} = item;
		if (outcome.position) {
			server.recordPosition(outcome.position, this.context.now);
		}

		const wasBound = connection.binding !== undefined;
		const wasReadOnly =
			connection.binding?.readOnly ??
			(request.kind === 'read' || request.kind === 'beginReadOnly');
		const refusedAsReplica =
			outcome.sqlState === '25006' && !wasBound && !outcome.relayed;
		const isBound = this.updateBinding(server, connection, item, outcome);
		if (!isBound && outcome.transactionStatus !== 'idle') {
			// Its session was released meanwhile, and the transaction ended with the connection.
			this.replies.finishUnknown(
				item,
				'the transaction was rolled back',
				outcome,
			);
			return;
		}

		if (refusedAsReplica && outcome.transactionStatus === 'idle') {
			this.replies.refuse(
				item,
				'readOnlyServer',
				'the server accepts only reads',
			);
			return;
		}

		const queueMs = startedAt - item.arrivedAt;
		const mayHaveCommitted =
			outcome.transactionStatus === 'idle' &&
			owned.canCommit(request.kind, wasReadOnly);
		if (mayHaveCommitted && server.hasSynchronousReplication) {
			this.finishCommit(server, item, outcome, queueMs, isBound);
			return;
		}

		if (mayHaveCommitted && server.writeTerm !== undefined) {
			server.pendingAcknowledgements.push({
				item,
				tail: outcome.tail,
				relayed: outcome.relayed,
				term: server.writeTerm,
				finishedAt: this.context.now,
				queueMs,
				bound: isBound,
				requiredPosition: undefined,
			});
			return;
		}

		if (mayHaveCommitted) {
			this.replies.finishUnknown(item, 'the write lease ended', outcome);
			return;
		}

		this.finishUncommitted(server, item, outcome, {queueMs, isBound, wasBound});
	}

	/** Passes on an answer that committed nothing; a read outside of transactions says how old it is. */
	private finishUncommitted(
		server: owned.OwnedServer,
		{origin, request}: owned.OwnerRequest,
		outcome: Extract<proxy.ExecutionOutcome, {type: 'answered'}>,
		details: {
			readonly queueMs: number;
			readonly isBound: boolean;
			readonly wasBound: boolean;
		},
	): void {
		const applied = server.getAppliedPosition();
		this.context.send(origin, {
			type: 'forwardDone',
			attempt: request.attempt,
			verdict: 'completed',
			tail: outcome.tail,
			relayed: outcome.relayed,
			transactionStatus: outcome.transactionStatus,
			bound: details.isBound,
			queueMs: details.queueMs,
			...(server.status ? {servedBy: server.status.role} : {}),
			...(applied && request.kind === 'read' && !details.wasBound
				? {position: applied, stalenessMs: this.rules.computeStaleness(server)}
				: {}),
		});
	}

	/** Passes on the acknowledgement of a server that needs no confirmation by its replicas. */
	private finishCommit(
		server: owned.OwnedServer,
		item: owned.OwnerRequest,
		outcome: Extract<proxy.ExecutionOutcome, {type: 'answered'}>,
		queueMs: number,
		isBound: boolean,
	): void {
		if (!this.rules.hasWriteLease(server)) {
			this.replies.finishUnknown(item, 'the write lease ended', outcome);
			return;
		}

		this.context.send(item.origin, {
			type: 'forwardDone',
			attempt: item.request.attempt,
			verdict: 'completed',
			tail: outcome.tail,
			relayed: outcome.relayed,
			transactionStatus: outcome.transactionStatus,
			bound: isBound,
			queueMs,
			servedBy: 'primary',
			...(outcome.position && outcome.sqlState === undefined
				? {position: outcome.position}
				: {}),
		});
	}

	/** Binds, keeps or frees the connection after an answer; returns whether the session is bound. */
	private updateBinding(
		server: owned.OwnedServer,
		connection: owned.Connection,
		item: owned.OwnerRequest,
		outcome: Extract<proxy.ExecutionOutcome, {type: 'answered'}>,
	): boolean {
		const {request} = item;
		const isOpen = outcome.transactionStatus !== 'idle';
		const setsState =
			request.kind === 'sessionState' && outcome.sqlState === undefined;
		if (connection.mustClose) {
			this.closeConnection(server, connection);
			return false;
		}

		const binding =
			connection.binding ??
			(isOpen || setsState ? this.bindings.add(item, connection) : undefined);
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

		this.bindings.remove(binding);
		this.finishConnection(server, connection, true);
		return false;
	}

	/** Frees a connection; one that carried a transaction is reset first. */
	private finishConnection(
		server: owned.OwnedServer,
		connection: owned.Connection,
		needsReset: boolean,
	): void {
		if (connection.mustClose) {
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

	private closeConnection(
		server: owned.OwnedServer,
		connection: owned.Connection,
	): void {
		if (connection.binding) {
			this.bindings.remove(connection.binding);
		}

		this.pool.removeConnection(server, connection);
		this.context.emit({type: 'closeConnection', connection: connection.id});
	}

	private *listRunning(origin: ids.PeerId): Iterable<owned.Connection> {
		for (const [id, server] of this.running) {
			const connection = server.connections.get(id);
			if (connection?.item?.origin === origin) {
				yield connection;
			}
		}
	}
}
