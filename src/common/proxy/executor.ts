/**
 * Runs requests on connections, and ends those that run, wait idle in a transaction or are stuck.
 */
import type * as ids from '../ids.js';
import type * as policy from '../policy/types.js';
import type * as types from '../types.js';
import type * as bindingTable from './binding-table.js';
import type * as context from './context.js';
import * as executionOutcomes from './execution-outcomes.js';
import type * as owned from './owned-server.js';
import type * as ownerPool from './owner-pool.js';
import type * as ownerReplies from './owner-replies.js';
import type * as servingRules from './serving-rules.js';
import type * as proxy from './types.js';

const part = 'owner';
/** Opening or resetting a connection takes longer than this only at an unresponsive server. */
const connectionTimeoutMs = 2000;

export class Executor {
	/** The server of each connection that is running a request. */
	private readonly serverByRunningConnection = new Map<
		ids.ConnectionId,
		owned.OwnedServer
	>();

	private readonly outcomes: executionOutcomes.ExecutionOutcomes;

	constructor(
		private readonly context: context.ProxyContext,
		private readonly pool: ownerPool.ConnectionPool,
		private readonly bindings: bindingTable.BindingTable,
		private readonly replies: ownerReplies.OwnerReplies,
		rules: servingRules.ServingRules,
	) {
		this.outcomes = new executionOutcomes.ExecutionOutcomes(
			context,
			pool,
			bindings,
			replies,
			rules,
		);
	}

	/** Asks the server to cancel an attempt that is running. */
	cancel(from: ids.PeerId, attempt: ids.AttemptId): void {
		for (const connection of this.listRunningConnections(from)) {
			if (connection.ownerRequest?.request.attempt === attempt) {
				const {kind, binding} = connection.ownerRequest.request;
				// No caller would end a transaction that the cancelled request opens.
				connection.mustClose ||=
					binding === undefined &&
					(kind === 'begin' || kind === 'beginReadOnly');
				this.context.emit({
					type: 'cancelExecution',
					connection: connection.id,
					attempt,
				});
			}
		}
	}

	/** Abandons the running requests of sessions that have ended. */
	abandonExecutions(
		origin: ids.PeerId,
		isEnded: (session: ids.SessionId) => boolean,
	): void {
		for (const {ownerRequest} of this.listRunningConnections(origin)) {
			if (ownerRequest && isEnded(ownerRequest.request.session)) {
				ownerRequest.isAbandoned = true;
			}
		}
	}

	handleExecutionFinished(
		id: ids.ConnectionId,
		outcome: proxy.ExecutionOutcome,
	): void {
		const found = this.pool.findConnection(id);
		this.serverByRunningConnection.delete(id);
		if (!found?.connection.ownerRequest) {
			return;
		}

		const {server, connection} = found;
		const {ownerRequest, queuedRequest: queued, startedAt} = connection;
		connection.ownerRequest = undefined;
		connection.queuedRequest = undefined;
		server.runningCount--;
		const {now} = this.context;
		const durationMs = now - startedAt;
		const statementMs =
			(outcome.type === 'answered' ? outcome.statementMs : undefined) ??
			durationMs;
		const slotMs = server.recordExecution(durationMs, statementMs, now);
		if (queued) {
			server.scheduler.complete(queued, slotMs, now);
		}

		if (ownerRequest) {
			this.outcomes.handleOutcome(
				server,
				connection,
				ownerRequest,
				outcome,
				startedAt,
			);
		}
	}

	execute(
		server: owned.OwnedServer,
		connection: owned.Connection,
		ownerRequest: owned.OwnerRequest,
		queued: policy.QueuedRequest<owned.OwnerRequest> | undefined,
	): void {
		const {request, origin} = ownerRequest;
		server.setState(connection, 'executing', this.context.now);
		connection.ownerRequest = ownerRequest;
		connection.queuedRequest = queued;
		connection.startedAt = this.context.now;
		server.runningCount++;
		this.serverByRunningConnection.set(connection.id, server);
		this.pool.recordSetup(connection, request.payload);
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

		if (connection.ownerRequest) {
			connection.mustClose = true;
			return;
		}

		// The reset rolls back an open transaction and discards session state.
		this.outcomes.releaseConnection(found.server, connection, true);
	}

	/**
	 * Aborts everything that could still commit on the server, because this owner can no longer
	 * acknowledge it. Callers of running writes are told at once that the outcome is unknown, instead
	 * of waiting for a primary that may not respond.
	 */
	abortWrites(server: owned.OwnedServer): void {
		for (const connection of server.connections.values()) {
			const {binding, ownerRequest} = connection;
			const isWriting =
				binding === undefined
					? ownerRequest !== undefined && ownerRequest.request.kind !== 'read'
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
		const {binding, ownerRequest, queuedRequest: queued} = connection;
		this.serverByRunningConnection.delete(connection.id);
		if (queued) {
			connection.queuedRequest = undefined;
			server.scheduler.complete(
				queued,
				this.context.now - connection.startedAt,
				this.context.now,
			);
		}

		if (ownerRequest) {
			server.runningCount--;
			connection.ownerRequest = undefined;
			this.replies.finishUnknown(ownerRequest, 'the connection was closed', {
				relayed: false,
			});
		}

		if (binding) {
			this.bindings.removeAndNotify(server, binding);
		}

		this.outcomes.closeConnection(server, connection);
	}

	/** Rolls back transactions that were idle for too long; their entry may no longer know them. */
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

	closeOverdueConnections(server: owned.OwnedServer): void {
		const {now} = this.context;
		const {executionGraceMs} = this.context.timing;
		for (const connection of server.connections.values()) {
			const isOverdue =
				connection.ownerRequest !== undefined &&
				now > connection.ownerRequest.deadlineAt + executionGraceMs;
			const isStuck =
				(connection.state === 'resetting' || connection.state === 'opening') &&
				now - connection.stateChangedAt > connectionTimeoutMs;
			if (isOverdue || isStuck) {
				this.context.log(
					'warn',
					part,
					`Closing an unresponsive connection to ${server.server}`,
				);
				this.context.count('connectionsLost');
				this.abortConnection(server, connection);
			}
		}
	}

	/**
	 * Names the position that the server must still hold to run the request. A server that lost a part
	 * of its log since its last answer then refuses, instead of serving older data than it reported.
	 */
	private buildPositionCheck(
		server: owned.OwnedServer,
		connection: owned.Connection,
		kind: proxy.RequestKind,
	): {after?: types.Position} {
		const checksPosition =
			kind === 'read' || kind === 'begin' || kind === 'beginReadOnly';
		const applied = server.getAppliedPosition();
		return checksPosition &&
			server.hasSynchronousReplication &&
			!connection.binding &&
			applied
			? {after: applied}
			: {};
	}

	private *listRunningConnections(
		origin: ids.PeerId,
	): Iterable<owned.Connection> {
		for (const [id, server] of this.serverByRunningConnection) {
			const connection = server.connections.get(id);
			if (connection?.ownerRequest?.origin === origin) {
				yield connection;
			}
		}
	}
}
