/**
 * The promotions that control peers have requested, as the servers' platform sees them.
 */
import type * as ids from '../../common/ids.js';
import type * as controlProcess from './control-process.js';

export type SentPromotion = controlProcess.PromotionRequest & {
	readonly peer: ids.PeerId;
};

/** Lists the requests of all control peers, in the order of their times. */
export function listPromotionRequests(
	controls: Iterable<controlProcess.ControlProcess>,
): SentPromotion[] {
	return [...controls]
		.flatMap(({peer, promotionRequests}) =>
			promotionRequests.map((request) => ({...request, peer})),
		)
		.sort((left, right) => left.at - right.at);
}

/** Finds the requests of a term below one that was sent before. */
export function findLateRequests(
	requests: readonly SentPromotion[],
): SentPromotion[] {
	return requests.filter((request, index) =>
		requests
			.slice(0, index)
			.some(({leaderTerm}) => leaderTerm > request.leaderTerm),
	);
}
