/**
 * Decides when a commit may be acknowledged. A majority of the group's servers must hold it in the
 * term of the write lease, and the lease must be valid when the acknowledgement is sent.
 */
import type * as ids from '../ids.js';
import * as owned from './owned-server.js';

/** A commit that a majority has not confirmed this long after it finished is answered as unknown. */
const confirmationTimeoutMs = 2000;

export type AcknowledgementDecision =
	| {
			readonly type: 'acknowledge';
			readonly acknowledgement: owned.PendingAcknowledgement;
	  }
	| {
			readonly type: 'unknown';
			readonly acknowledgement: owned.PendingAcknowledgement;
			readonly message: string;
	  };

/**
 * Decides on the pending acknowledgements of a server after a status poll.
 *
 * @param sentAt - When the poll was sent. The poll does not cover commits that finished later.
 */
export function decideAcknowledgements(
	server: owned.OwnedServer,
	sentAt: number,
	servers: readonly ids.UpstreamId[],
	isLeaseValid: boolean,
): AcknowledgementDecision[] {
	const {status} = server;
	if (!status) {
		return [];
	}

	const majorityOffset = owned.computeMajorityOffset(status, servers);
	const decisions: AcknowledgementDecision[] = [];
	const remaining: owned.PendingAcknowledgement[] = [];
	for (const pending of server.pendingAcknowledgements) {
		if (status.role !== 'primary' || status.term !== pending.term) {
			decisions.push({
				type: 'unknown',
				acknowledgement: pending,
				message: 'the primary was replaced before the commit was confirmed',
			});
			continue;
		}

		if (
			pending.requiredPosition === undefined &&
			pending.finishedAt <= sentAt
		) {
			pending.requiredPosition = {term: status.term, offset: status.position};
		}

		const isConfirmed =
			pending.requiredPosition !== undefined &&
			pending.requiredPosition.offset <= majorityOffset;
		if (isConfirmed && isLeaseValid && server.writeTerm === pending.term) {
			decisions.push({type: 'acknowledge', acknowledgement: pending});
		} else {
			remaining.push(pending);
		}
	}

	server.pendingAcknowledgements.splice(0, Infinity, ...remaining);
	return decisions;
}

/** Answers commits as unknown that were not confirmed in time or whose write lease ended. */
export function expireAcknowledgements(
	server: owned.OwnedServer,
	now: number,
): AcknowledgementDecision[] {
	const decisions: AcknowledgementDecision[] = [];
	const remaining: owned.PendingAcknowledgement[] = [];
	for (const pending of server.pendingAcknowledgements) {
		const isTimedOut = now - pending.finishedAt > confirmationTimeoutMs;
		if (isTimedOut || server.writeTerm !== pending.term) {
			decisions.push({
				type: 'unknown',
				acknowledgement: pending,
				message: isTimedOut
					? 'the commit was not confirmed by a majority in time'
					: 'the write lease ended before the commit was confirmed',
			});
		} else {
			remaining.push(pending);
		}
	}

	server.pendingAcknowledgements.splice(0, Infinity, ...remaining);
	return decisions;
}
