/**
 * The leader as a control peer knows it. A voter hears from the leader through the log. A peer that is no
 * voter does not receive the log, so it only knows the leader that has announced itself.
 */
import type * as ids from '../ids.js';
import type * as configurationHolders from './configuration-holders.js';
import type * as control from './types.js';

export class KnownLeader {
	#announced: {readonly peer: ids.PeerId; readonly term: number} | undefined;

	constructor(
		private readonly self: ids.PeerId,
		private readonly log: Pick<control.ReplicatedLog, 'leader' | 'voters'>,
	) {}

	get peer(): ids.PeerId | undefined {
		const isVoter = this.log.voters?.includes(this.self) ?? true;
		return this.log.leader ?? (isVoter ? undefined : this.#announced?.peer);
	}

	handleAnnouncement(peer: ids.PeerId, term: number): void {
		if (term >= (this.#announced?.term ?? 0)) {
			this.#announced = {peer, term};
		}
	}

	/** Lists those control peers that receive the log as voters. */
	listVoters(
		controlPeers: readonly configurationHolders.Holder[],
	): configurationHolders.Holder[] {
		const {voters = []} = this.log;
		return controlPeers.filter(({peer}) => voters.includes(peer));
	}

	/** Lists the peers that have to know when this one becomes leader. */
	listListeners(
		leaseHolders: Iterable<ids.PeerId>,
		controlPeers: ReadonlyArray<{readonly peer: ids.PeerId}>,
	): ids.PeerId[] {
		const listeners = new Set(leaseHolders);
		for (const {peer} of controlPeers) {
			listeners.add(peer);
		}

		listeners.delete(this.self);
		return [...listeners];
	}
}
