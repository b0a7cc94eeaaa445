/**
 * Handles the outcomes of executions: answers, refusals, lost connections, commits that wait for their
 * acknowledgement, and connections that stay bound to a session.
 */
import {assertNever} from '../assert-never.js';
import type * as types from '../types.js';
import type * as bindingTable from './binding-table.js';
import type * as context from './context.js';
import * as owned from './owned-server.js';
import type * as ownerPool from './owner-pool.js';
import type * as ownerReplies from './owner-replies.js';
import type * as servingRules from './serving-rules.js';
import type * as proxy from './types.js';

type Answer = Extract<proxy.ExecutionOutcome, {type: 'answered'}>;

export class ExecutionOutcomes {
	constructor(
		private readonly context: context.ProxyContext,
		private readonly pool: ownerPool.ConnectionPool,
		private readonly bindings: bindingTable.BindingTable,
		private readonly replies: ownerReplies.OwnerReplies,
		private readonly rules: servingRules.ServingRules,
	) {}

	handleOutcome(
		server: owned.OwnedServer,
		connection: owned.Connection,
		ownerRequest: owned.OwnerRequest,
		outcome: proxy.ExecutionOutcome,
		startedAt: number,
	): void {
		switch (outcome.type) {
			case 'answered': {
				this.handleAnswered(
					server,
					connection,
					ownerRequest,
					outcome,
					startedAt,
				);
				return;
			}

			case 'keyUsed': {
				this.releaseConnection(server, connection, false);
				this.replies.refuse(
					ownerRequest,
					'keyUsed',
					'a committed request already used this key',
				);
				return;
			}

			case 'refused': {
				this.handleRefused(server, connection, ownerRequest, outcome);
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
						ownerRequest,
						'the connection to the server was lost',
						{
							relayed: outcome.relayed,
						},
					);
				} else {
					this.replies.refuse(
						ownerRequest,
						'noServer',
						'the server cannot be reached',
					);
				}

				return;
			}

			default: {
				assertNever(outcome);
			}
		}
	}

	/**
	 * Releases a connection after an execution: closes it, resets it when it carried a transaction,
	 * keeps it for the session that it is bound to, or returns it to the pool.
	 */
	releaseConnection(
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

	closeConnection(
		server: owned.OwnedServer,
		connection: owned.Connection,
	): void {
		if (connection.binding) {
			this.bindings.remove(connection.binding);
		}

		this.pool.removeConnection(server, connection);
		this.context.emit({type: 'closeConnection', connection: connection.id});
	}

	/** Keeps the connection open, because the server refused before it executed anything. */
	private handleRefused(
		server: owned.OwnedServer,
		connection: owned.Connection,
		ownerRequest: owned.OwnerRequest,
		outcome: Extract<proxy.ExecutionOutcome, {type: 'refused'}>,
	): void {
		if (outcome.reason === 'tooStale' || outcome.reason === 'readOnlyServer') {
			// The server lost a part of its log or is no longer the primary, so its status is outdated.
			server.invalidateStatus();
		} else {
			server.lastAnswerAt = this.context.now;
		}

		this.releaseConnection(server, connection, false);
		this.replies.refuse(ownerRequest, outcome.reason, outcome.message);
	}

	private handleAnswered(
		server: owned.OwnedServer,
		connection: owned.Connection,
		ownerRequest: owned.OwnerRequest,
		outcome: Answer,
		startedAt: number,
	): void {
		const {request} = ownerRequest;
		if (outcome.position) {
			server.recordPosition(outcome.position, this.context.now);
		}

		const wasBound = connection.binding !== undefined;
		const wasReadOnly =
			connection.binding?.readOnly ??
			(request.kind === 'read' || request.kind === 'beginReadOnly');
		// 25006 is read_only_sql_transaction: a replica refused a write.
		const isReplicaRefusal =
			outcome.sqlState === '25006' && !wasBound && !outcome.relayed;
		const isBound = this.updateBinding(
			server,
			connection,
			ownerRequest,
			outcome,
		);
		if (!isBound && needsBinding(request.kind, outcome)) {
			// The session ended during the execution; closing its connection ended the transaction.
			this.replies.finishUnknown(
				ownerRequest,
				'the transaction was rolled back',
				outcome,
			);
			return;
		}

		if (isReplicaRefusal && outcome.transactionStatus === 'idle') {
			this.replies.refuse(
				ownerRequest,
				'readOnlyServer',
				'the server accepts only reads',
			);
			return;
		}

		const queueMs = startedAt - ownerRequest.arrivedAt;
		const mayHaveCommitted =
			outcome.transactionStatus === 'idle' &&
			owned.canCommit(request.kind, wasReadOnly);
		if (mayHaveCommitted && server.hasSynchronousReplication) {
			this.finishCommit(server, ownerRequest, outcome, queueMs, isBound);
			return;
		}

		if (mayHaveCommitted && server.writeTerm !== undefined) {
			server.pendingAcknowledgements.push({
				ownerRequest,
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
			this.replies.finishUnknown(
				ownerRequest,
				'the write lease ended',
				outcome,
			);
			return;
		}

		this.finishUncommitted(server, ownerRequest, outcome, {
			queueMs,
			isBound,
			wasBound,
		});
	}

	/**
	 * Sends an answer that committed nothing. The answer of a read outside of transactions carries its
	 * position and staleness.
	 */
	private finishUncommitted(
		server: owned.OwnedServer,
		{origin, request}: owned.OwnerRequest,
		outcome: Answer,
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
			expectedWaitMs: this.estimateWait(server, request.rank),
			...(applied && request.kind === 'read' && !details.wasBound
				? {position: applied, stalenessMs: this.rules.computeStaleness(server)}
				: {}),
		});
	}

	/** Sends a commit's answer from a server whose own acknowledgement is final. */
	private finishCommit(
		server: owned.OwnedServer,
		ownerRequest: owned.OwnerRequest,
		outcome: Answer,
		queueMs: number,
		isBound: boolean,
	): void {
		if (!this.rules.hasWriteLease(server)) {
			this.replies.finishUnknown(
				ownerRequest,
				'the write lease ended',
				outcome,
			);
			return;
		}

		this.context.send(ownerRequest.origin, {
			type: 'forwardDone',
			attempt: ownerRequest.request.attempt,
			verdict: 'completed',
			tail: outcome.tail,
			relayed: outcome.relayed,
			transactionStatus: outcome.transactionStatus,
			bound: isBound,
			queueMs,
			servedBy: 'primary',
			expectedWaitMs: this.estimateWait(server, ownerRequest.request.rank),
			...(outcome.position && outcome.sqlState === undefined
				? {position: outcome.position}
				: {}),
		});
	}

	private estimateWait(server: owned.OwnedServer, rank: types.Rank): number {
		return Math.round(server.scheduler.estimateWait(rank, this.context.now));
	}

	/** Binds, keeps or releases a connection after an answer. Returns whether the session is bound. */
	private updateBinding(
		server: owned.OwnedServer,
		connection: owned.Connection,
		ownerRequest: owned.OwnerRequest,
		outcome: Answer,
	): boolean {
		const {request, isAbandoned} = ownerRequest;
		const isBindingNeeded = needsBinding(request.kind, outcome);
		if (connection.mustClose || (isAbandoned && isBindingNeeded)) {
			this.closeConnection(server, connection);
			return false;
		}

		const binding =
			connection.binding ??
			(isBindingNeeded
				? this.bindings.add(ownerRequest, connection)
				: undefined);
		if (!binding) {
			this.pool.addIdle(server, connection);
			return false;
		}

		binding.inTransaction = outcome.transactionStatus !== 'idle';
		binding.pinned ||= setsSessionState(request.kind, outcome);
		if (binding.inTransaction || binding.pinned) {
			server.setState(connection, 'bound', this.context.now);
			return true;
		}

		this.bindings.remove(binding);
		this.releaseConnection(server, connection, true);
		return false;
	}
}

function setsSessionState(
	kind: proxy.RequestKind,
	{sqlState}: Answer,
): boolean {
	return kind === 'sessionState' && sqlState === undefined;
}

/** True when later requests of the session need the connection, for its transaction or its state. */
function needsBinding(kind: proxy.RequestKind, answer: Answer): boolean {
	return answer.transactionStatus !== 'idle' || setsSessionState(kind, answer);
}
