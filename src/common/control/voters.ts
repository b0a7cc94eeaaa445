/**
 * Chooses the voters of the replicated log from the control peers that membership knows. A voter
 * that is gone is replaced only when another control peer can take its place: a voter that is cut
 * off for a while returns with its log, so removing it alone would only cost redundancy.
 */
import type * as ids from '../ids.js';
import type * as membership from '../membership/types.js';

/** A voter must have been gone this long before another peer takes its place, in ms. */
const replaceAfterMs = 2000;

/** What the choice depends on. */
export type VoterSelectionInput = {
	readonly now: number;
	readonly voters: readonly ids.PeerId[];
	/** Control peers other than this one, as membership sees them. */
	readonly otherPeers: readonly membership.PeerState[];
	readonly self: ids.PeerId;
	/** Number of voters that the installation wants. */
	readonly targetCount: number;
};

/** Follows which voters are gone, and proposes the next set of voters. */
export class VoterPlanner {
	readonly #goneSince = new Map<ids.PeerId, number>();

	/** Returns the voters to ask for; undefined when the present ones shall stay. */
	chooseVoters(situation: VoterSelectionInput): ids.PeerId[] | undefined {
		const {voters, otherPeers: others, self, targetCount: wanted} = situation;
		const alive = new Set([
			self,
			...others
				.filter(({condition}) => condition === 'alive')
				.map(({peer}) => peer),
		]);
		const gone = this.#findGone(situation, alive);
		const spare = [...alive].filter((peer) => !voters.includes(peer)).sort();
		if (spare.length === 0) {
			return undefined;
		}

		const kept =
			gone === undefined ? voters : voters.filter((peer) => peer !== gone);
		const missing = Math.max(0, wanted - kept.length);
		return missing === 0 ? undefined : [...kept, ...spare.slice(0, missing)];
	}

	/** The voter that has been gone for longest, if it was gone for long enough. */
	#findGone(
		{now, voters, otherPeers: others}: VoterSelectionInput,
		alive: ReadonlySet<ids.PeerId>,
	): ids.PeerId | undefined {
		for (const peer of this.#goneSince.keys()) {
			if (alive.has(peer) || !voters.includes(peer)) {
				this.#goneSince.delete(peer);
			}
		}

		let longest: ids.PeerId | undefined;
		for (const peer of voters.filter((voter) => !alive.has(voter))) {
			const hasLeft = others.some(
				(state) => state.peer === peer && state.condition === 'left',
			);
			const since = this.#goneSince.get(peer) ?? now;
			this.#goneSince.set(peer, since);
			const isLonger =
				longest === undefined || since < this.#goneSince.get(longest)!;
			if ((hasLeft || now - since >= replaceAfterMs) && isLonger) {
				longest = peer;
			}
		}

		return longest;
	}
}
