/**
 * Steps the requests of an entry that run or wait: deadlines, hedged reads, and requests that are routed
 * again.
 */
import type * as ids from '../ids.js';
import type * as types from '../types.js';
import type * as context from './context.js';
import type * as entryReplies from './entry-replies.js';
import type * as entryState from './entry-state.js';
import type * as requestRouter from './request-router.js';
import type * as requestTable from './request-table.js';

export type PendingRequestServices = {
	/** Returns the age of an attempt in ms from which a second copy of a repeatable read is sent. */
	computeHedgeDelay(now: number): number;
	/** Releases the connection that a session holds at an owner. */
	releaseBinding(session: entryState.Session): void;
};

export class PendingRequests {
	constructor(
		private readonly context: context.ProxyContext,
		private readonly table: requestTable.RequestTable,
		private readonly router: requestRouter.RequestRouter,
		private readonly replies: entryReplies.EntryReplies,
		private readonly services: PendingRequestServices,
	) {}

	/** Marks the requests in flight after the process was frozen for a while. */
	handleFreeze(): void {
		for (const request of this.table.listRequests()) {
			request.spansFreeze = true;
		}
	}

	handleTick(): void {
		const {now} = this.context;
		const hedgeDelayMs = this.services.computeHedgeDelay(now);
		for (const request of this.table.listRequests()) {
			if (request.attempts.size > 0) {
				this.checkRunningRequest(request, hedgeDelayMs);
			} else if (now >= request.deadlineAt) {
				this.replies.refuse(
					request,
					getDeadlineReason(request.lastReason),
					'the deadline has passed',
				);
			} else if (
				request.waitState.type === 'until' &&
				now >= request.waitState.retryAt
			) {
				this.router.routeRequest(request);
			}
		}
	}

	/** True while a request has no running attempt and waits to be routed again. */
	hasWaitingRequests(): boolean {
		for (const {attempts} of this.table.listRequests()) {
			if (attempts.size === 0) {
				return true;
			}
		}

		return false;
	}

	/** Routes the waiting requests of a group again. */
	handleGroupChanged(group: ids.GroupId): void {
		for (const request of this.table.listRequests()) {
			if (
				request.session.group === group &&
				request.waitState.type === 'until' &&
				request.attempts.size === 0
			) {
				this.router.routeRequest(request);
			}
		}
	}

	/** Refuses the waiting requests that no server can currently run. */
	refuseUnroutableRequests(message: string): void {
		for (const request of this.table.listRequests()) {
			const {lastReason} = request;
			if (
				request.attempts.size === 0 &&
				(lastReason === 'noServer' ||
					lastReason === 'noPrimary' ||
					lastReason === 'tooStale')
			) {
				this.replies.refuse(request, lastReason, message);
			}
		}
	}

	private checkRunningRequest(
		request: entryState.EntryRequest,
		hedgeDelayMs: number,
	): void {
		const {now} = this.context;
		if (now > request.deadlineAt + this.context.timing.answerGraceMs) {
			for (const attempt of request.attempts.values()) {
				this.table.removeAttempt(request, attempt.id);
				this.context.send(attempt.owner, {
					type: 'forwardCancel',
					attempt: attempt.id,
				});
				// The attempt may have ended and left an open transaction, which its session does not know.
				this.context.send(attempt.owner, {
					type: 'forwardRelease',
					session: request.session.id,
				});
			}

			const wasBound = request.isBound;
			this.services.releaseBinding(request.session);
			this.replies.finishWithUnknownOutcome(
				request,
				'no answer before the deadline',
			);
			if (wasBound) {
				this.replies.endLostSession(request.session);
			}

			return;
		}

		const [attempt] = request.attempts.values();
		if (
			attempt &&
			!request.isHedged &&
			request.kind === 'read' &&
			request.repeatable &&
			!request.isBound &&
			request.relayedAttempt === undefined &&
			now - attempt.sentAt > hedgeDelayMs
		) {
			this.router.startHedge(request, attempt);
		}
	}
}

/**
 * Returns the reason for a request that missed its deadline: the last refusal when no suitable
 * server was available, otherwise the deadline itself.
 */
function getDeadlineReason(
	lastReason: types.RefusalReason | undefined,
): types.RefusalReason {
	return lastReason === 'noPrimary' ||
		lastReason === 'tooStale' ||
		lastReason === 'noServer'
		? lastReason
		: 'deadline';
}
