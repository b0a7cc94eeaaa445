/**
 * Handles the end of an attempt: answers the request, tries it again, or fails it with the matching
 * verdict.
 */
import {assertNever} from '../assert-never.js';
import type * as messages from '../messages.js';
import * as positions from '../position.js';
import type * as types from '../types.js';
import type * as context from './context.js';
import type * as entryReplies from './entry-replies.js';
import * as entryState from './entry-state.js';
import type * as requestRouter from './request-router.js';
import type * as requestTable from './request-table.js';
import type * as entry from './entry.js';

/**
 * Number of attempts of a read, whatever their outcome, from which a refusal because of a server's
 * queue is passed on to the caller.
 */
const maxRefusedAttempts = 4;

export class AttemptOutcomeHandler {
	constructor(
		private readonly context: context.ProxyContext,
		private readonly table: requestTable.RequestTable,
		private readonly router: requestRouter.RequestRouter,
		private readonly replies: entryReplies.EntryReplies,
		private readonly services: entry.EntryServices,
	) {}

	handleCompleted(
		request: entryState.EntryRequest,
		attempt: entryState.Attempt,
		done: messages.ForwardDone,
		latencyMs: number,
	): void {
		const {session} = request;
		if (request.spansFreeze && entryState.needsPrimary(request.kind)) {
			this.finishFrozen(request, attempt, done);
			return;
		}

		if (request.kind === 'read') {
			this.services.hedging.observe(latencyMs, this.context.now);
			this.router.recordRead(attempt, latencyMs - done.queueMs);
		}

		this.services.retryBudget.recordSuccess(this.context.now);
		this.table.cancelOtherAttempts(request, done.attempt);
		this.updateBinding(session, attempt, done);
		const isCommit = request.kind !== 'read' && done.position !== undefined;
		if (done.position && (isCommit || session.hasMonotonicReads)) {
			session.floor = session.floor
				? positions.maxPosition(session.floor, done.position)
				: done.position;
		}

		if (done.position && isCommit) {
			this.services.routing.observeFloor(
				session.group,
				done.position,
				this.context.now,
			);
		}

		this.context.emit({
			type: 'finishRequest',
			session: session.id,
			request: request.id,
			attempt: done.attempt,
			tail: done.tail ?? new Uint8Array(),
			...(isCommit && session.floor ? {token: session.floor} : {}),
		});
		this.replies.recordRequest(request, 'completed', undefined, done);
		this.table.removeRequest(request);
	}

	handleNotRun(
		request: entryState.EntryRequest,
		attempt: entryState.Attempt,
		done: messages.ForwardDone,
	): void {
		const reason = done.reason ?? 'noServer';
		const message = done.message ?? 'the request was refused';
		request.lastReason = reason;
		if (request.isBound) {
			this.handleBoundRefusal(request, done, reason, message);
			return;
		}

		if (request.attempts.size > 0) {
			return;
		}

		if (done.isReturned) {
			this.router.routeReturnedRequest(request);
			return;
		}

		switch (reason) {
			case 'keyUsed':
			case 'cancelled':
			case 'memberLimit':
			case 'noTemplate':
			case 'unknownKey':
			case 'rateLimit':
			case 'draining': {
				this.replies.refuse(request, reason, message);
				return;
			}

			case 'deadline':
			case 'queueFull': {
				this.retryOnOtherServer(request, attempt, reason, message);
				return;
			}

			case 'noServer': {
				if (entryState.needsPrimary(request.kind)) {
					this.router.waitForServer(request);
				} else {
					request.excludedServers.add(attempt.server);
					this.router.routeRequest(request);
				}

				return;
			}

			case 'noPrimary': {
				this.router.waitForRetry(request);
				return;
			}

			case 'readOnlyServer':
			case 'tooStale': {
				request.excludedServers.add(attempt.server);
				this.router.routeRequest(request);
				return;
			}

			default: {
				assertNever(reason);
			}
		}
	}

	handleUnknown(
		request: entryState.EntryRequest,
		attempt: entryState.Attempt,
		message: string,
	): void {
		const {session} = request;
		const wasBound = request.isBound;
		if (request.attempts.size > 0 && request.relayedAttempt === undefined) {
			return;
		}

		const mayRetry =
			request.repeatable &&
			!wasBound &&
			request.relayedAttempt === undefined &&
			request.kind !== 'begin' &&
			request.kind !== 'beginReadOnly' &&
			this.context.now < request.deadlineAt &&
			this.services.retryBudget.trySpend(this.context.now);
		if (mayRetry) {
			this.context.count('retries');
			request.excludedServers.add(attempt.server);
			// The first attempt may have run, so the next one counts as another operation.
			request.isCounted = false;
			request.waitState = {
				type: 'until',
				retryAt:
					this.context.now +
					this.services.retryBudget.computeDelay(
						request.retries,
						this.context.random.readFloat(),
					),
			};
			request.retries++;
			return;
		}

		session.binding = undefined;
		this.replies.finishWithUnknownOutcome(request, message);
		if (wasBound) {
			this.replies.endLostSession(session);
		}
	}

	/**
	 * Ends a request that spans a freeze. Its caller is told that no transaction is open, so an open one is
	 * rolled back.
	 */
	private finishFrozen(
		request: entryState.EntryRequest,
		attempt: entryState.Attempt,
		done: messages.ForwardDone,
	): void {
		const {session, isBound} = request;
		if (done.bound) {
			this.context.send(attempt.owner, {
				type: 'forwardRelease',
				session: session.id,
			});
		}

		session.binding = undefined;
		this.replies.finishWithUnknownOutcome(
			request,
			'this proxy was frozen meanwhile',
		);
		if (isBound) {
			this.replies.endLostSession(session);
		}
	}

	private updateBinding(
		session: entryState.Session,
		attempt: entryState.Attempt,
		done: messages.ForwardDone,
	): void {
		const {server, owner} = attempt;
		session.binding = done.bound
			? {
					id: session.binding?.id ?? attempt.id,
					server,
					owner,
					inTransaction: done.transactionStatus !== 'idle',
				}
			: undefined;
	}

	/**
	 * Sends a read that a server refused because of a full or long queue to another server, or lets it
	 * wait for a replica. When many requests arrive at the same time, as after an outage, the reports of
	 * the servers are too old to spread them.
	 *
	 * `maxRefusedAttempts` bounds the attempts of a read. The refusing server is excluded, but a read
	 * that later finds no server starts again with all of them. The retry budget is not used: the
	 * refusing server has done no work, and the budget is left for requests that may have run.
	 */
	private retryOnOtherServer(
		request: entryState.EntryRequest,
		attempt: entryState.Attempt,
		reason: 'deadline' | 'queueFull',
		message: string,
	): void {
		request.excludedServers.add(attempt.server);
		if (
			entryState.needsPrimary(request.kind) ||
			request.attemptCount >= maxRefusedAttempts
		) {
			this.replies.refuse(request, reason, message);
			return;
		}

		this.context.count('retries');
		const decision = this.router.chooseServer(request);
		const owner =
			decision.type === 'server'
				? this.router.getOwner(decision.server)
				: undefined;
		if (decision.type === 'server' && owner !== undefined) {
			this.router.sendAttempt(request, decision.server, owner);
		} else if (decision.type === 'wait') {
			// A replica is expected to be fresh enough soon. If it is not, the primary may serve the read.
			request.waitState = {
				type: 'until',
				retryAt: this.context.now + decision.delayMs,
			};
		} else {
			this.replies.refuse(request, reason, message);
		}
	}

	private handleBoundRefusal(
		request: entryState.EntryRequest,
		done: messages.ForwardDone,
		reason: types.RefusalReason,
		message: string,
	): void {
		const {session} = request;
		if (done.bound) {
			this.replies.refuse(request, reason, message);
			return;
		}

		session.binding = undefined;
		this.replies.refuse(
			request,
			reason,
			`${message}; the transaction was rolled back`,
		);
		this.replies.endLostSession(session);
	}
}
