/**
 * Chooses the next change of the configuration. Each change adds or removes at most one voter, so
 * that the majorities before and after it always have a peer in common.
 */
import type * as ids from '../ids.js';
import type * as types from './types.js';
import type * as log from './log.js';

export type VotersPayload = Extract<
	types.LogPayload<unknown>,
	{type: 'voters'}
>;

export type MembershipState = {
	readonly self: ids.PeerId;
	readonly configuration: log.Configuration;
	/** The requested voters; undefined when no change was requested. */
	readonly targetVoters: readonly ids.PeerId[] | undefined;
	/** Voters whose disk was lost. */
	readonly lostVoters: readonly ids.PeerId[];
	/** Tells whether a learner has every committed entry. */
	readonly isCaughtUp: (peer: ids.PeerId) => boolean;
	/** The incarnation of a learner that started without state. */
	readonly getIncarnation: (peer: ids.PeerId) => number | undefined;
};

/** Returns the next change, or undefined when there is none to make now. */
export function chooseNextChange(
	state: MembershipState,
): VotersPayload | undefined {
	return (
		removeLostVoter(state) ??
		addCaughtUpLearner(state) ??
		removeUnwantedLearner(state) ??
		addWantedLearner(state) ??
		removeUnwantedVoter(state)
	);
}

function removeLostVoter({
	self,
	configuration: {voters, learners},
	lostVoters,
}: MembershipState): VotersPayload | undefined {
	const lost = lostVoters.find(
		(peer) => peer !== self && voters.includes(peer),
	);
	return lost === undefined
		? undefined
		: {
				type: 'voters',
				voters: voters.filter((peer) => peer !== lost),
				learners: [...learners, lost],
			};
}

function addCaughtUpLearner(state: MembershipState): VotersPayload | undefined {
	const {voters, learners} = state.configuration;
	const ready = learners.find(
		(peer) => isWanted(state, peer) && state.isCaughtUp(peer),
	);
	return ready === undefined
		? undefined
		: {
				type: 'voters',
				voters: [...voters, ready],
				learners: learners.filter((peer) => peer !== ready),
				joined: {peer: ready, incarnation: state.getIncarnation(ready)},
			};
}

function removeUnwantedLearner(
	state: MembershipState,
): VotersPayload | undefined {
	const {voters, learners} = state.configuration;
	return learners.every((peer) => isWanted(state, peer))
		? undefined
		: {
				type: 'voters',
				voters,
				learners: learners.filter((peer) => isWanted(state, peer)),
			};
}

function addWantedLearner({
	configuration: {voters, learners},
	targetVoters: target = [],
}: MembershipState): VotersPayload | undefined {
	const missing = target.find(
		(peer) => !voters.includes(peer) && !learners.includes(peer),
	);
	return missing === undefined
		? undefined
		: {type: 'voters', voters, learners: [...learners, missing]};
}

/** Removes the leader itself last, because it leads the other changes. */
function removeUnwantedVoter(
	state: MembershipState,
): VotersPayload | undefined {
	const {voters, learners} = state.configuration;
	const unwanted = voters.filter((peer) => !isWanted(state, peer));
	const chosen = unwanted.find((peer) => peer !== state.self) ?? unwanted[0];
	const hasAllWanted = state.targetVoters?.every((peer) =>
		voters.includes(peer),
	);
	if (chosen === undefined || !hasAllWanted) {
		return undefined;
	}

	return {
		type: 'voters',
		voters: voters.filter((peer) => peer !== chosen),
		learners,
	};
}

function isWanted(
	{targetVoters: target}: MembershipState,
	peer: ids.PeerId,
): boolean {
	return target?.includes(peer) ?? true;
}
