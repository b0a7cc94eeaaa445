/**
 * Chooses the voters of the replicated log from the control peers that membership knows. An absent
 * voter is replaced only when another control peer can take its place: a voter that is cut off for a
 * while returns with its log, so removing it without a replacement would only reduce redundancy.
 */
import type * as ids from '../ids.js';
import type * as membership from '../membership/types.js';

/** How long a voter must have been absent before another peer takes its place. */
const replacementDelayMs = 2000;

/** What the choice depends on. */
export type VoterSelectionInput = {
	readonly now: number;
	readonly voters: readonly ids.PeerId[];
	/** Control peers other than this one, as membership sees them. */
	readonly otherPeers: readonly membership.PeerState[];
	readonly self: ids.PeerId;
	/** Intended number of voters. */
	readonly targetCount: number;
};

/** Tracks which voters are absent, and chooses the next set of voters. */
export class VoterPlanner {
	readonly #absentSince = new Map<ids.PeerId, number>();

	/** Returns the next set of voters; undefined when the current one stays. */
	chooseVoters(input: VoterSelectionInput): ids.PeerId[] | undefined {
		const {voters, otherPeers, self, targetCount} = input;
		const alive = new Set([
			self,
			...otherPeers
				.filter(({condition}) => condition === 'alive')
				.map(({peer}) => peer),
		]);
		const replaced = this.#findReplaceableVoter(input, alive);
		const spare = [...alive].filter((peer) => !voters.includes(peer)).sort();
		const kept =
			replaced === undefined
				? voters
				: voters.filter((peer) => peer !== replaced);
		const missing = Math.max(0, targetCount - kept.length);
		const added = spare.slice(0, missing);
		// A voter that lost its disk is added again, so there can be more voters than intended.
		const isSurplus = replaced !== undefined && missing === 0;
		return added.length > 0 || isSurplus ? [...kept, ...added] : undefined;
	}

	/** Finds the voter that has been absent longest, of those that left or were absent long enough. */
	#findReplaceableVoter(
		{now, voters, otherPeers}: VoterSelectionInput,
		alive: ReadonlySet<ids.PeerId>,
	): ids.PeerId | undefined {
		for (const peer of this.#absentSince.keys()) {
			if (alive.has(peer) || !voters.includes(peer)) {
				this.#absentSince.delete(peer);
			}
		}

		let longest: ids.PeerId | undefined;
		for (const peer of voters.filter((voter) => !alive.has(voter))) {
			const hasLeft = otherPeers.some(
				(state) => state.peer === peer && state.condition === 'left',
			);
			const since = this.#absentSince.get(peer) ?? now;
			this.#absentSince.set(peer, since);
			const isLonger =
				longest === undefined || since < this.#absentSince.get(longest)!;
			if ((hasLeft || now - since >= replacementDelayMs) && isLonger) {
				longest = peer;
			}
		}

		return longest;
	}
}
