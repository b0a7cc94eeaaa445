/**
 * Decides when a commit may be acknowledged: a majority of the group's servers holds it, in the
 * term of the write lease, and the lease is valid at the moment the answer leaves.
 */
import type * as ids from '../ids.js';
import * as owned from './owned-server.js';

/** A commit that is not confirmed within this time after it finished is answered as unknown. */
const confirmationLimitMs = 2000;

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
 * Goes through the held commits of a server after a status poll.
 *
 * @param sentAt - When the poll was sent; commits that finished later are not covered by it.
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
	const kept: owned.PendingAcknowledgement[] = [];
	for (const held of server.pendingAcknowledgements) {
		if (status.role !== 'primary' || status.term !== held.term) {
			decisions.push({
				type: 'unknown',
				acknowledgement: held,
				message: 'the primary was replaced before the commit was confirmed',
			});
			continue;
		}

		if (held.requiredPosition === undefined && held.finishedAt <= sentAt) {
			held.requiredPosition = {term: status.term, offset: status.position};
		}

		const isConfirmed =
			held.requiredPosition !== undefined &&
			held.requiredPosition.offset <= majorityOffset;
		if (isConfirmed && isLeaseValid && server.writeTerm === held.term) {
			decisions.push({type: 'acknowledge', acknowledgement: held});
		} else {
			kept.push(held);
		}
	}

	server.pendingAcknowledgements.splice(0, Infinity, ...kept);
	return decisions;
}

/** Gives up on commits that cannot be confirmed any more. */
export function expireAcknowledgements(
	server: owned.OwnedServer,
	now: number,
): AcknowledgementDecision[] {
	const decisions: AcknowledgementDecision[] = [];
	const kept: owned.PendingAcknowledgement[] = [];
	for (const held of server.pendingAcknowledgements) {
		const isLate = now - held.finishedAt > confirmationLimitMs;
		if (isLate || server.writeTerm !== held.term) {
			decisions.push({
				type: 'unknown',
				acknowledgement: held,
				message: isLate
					? 'the commit was not confirmed by a majority in time'
					: 'the write lease ended before the commit was confirmed',
			});
		} else {
			kept.push(held);
		}
	}

	server.pendingAcknowledgements.splice(0, Infinity, ...kept);
	return decisions;
}
