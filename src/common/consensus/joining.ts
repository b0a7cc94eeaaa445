/**
 * The start of a peer without state. It neither votes nor accepts the log until the leader adds
 * it anew, because it may have lost a vote or entries that it had confirmed. At the first start
 * of a group nobody has state: then every initial voter must say so before the peer votes.
 */
import type * as ids from '../ids.js';
import * as timing from './timing.js';

/** Term of a voter that has taken part in no election yet; a stored term marks a voter. */
export const bootstrapTerm = 1;

/** Keeps track of the answers to this process's join requests. */
export class JoinState {
	readonly #peer: ids.PeerId;
	readonly #initialVoters: readonly ids.PeerId[];
	readonly #incarnation: number;
	readonly #canFound: boolean;
	readonly #founders = new Set<ids.PeerId>();
	#isPending: boolean;
	#askedAt = Number.NEGATIVE_INFINITY;

	constructor(options: {
		readonly peer: ids.PeerId;
		readonly initialVoters: readonly ids.PeerId[];
		readonly incarnation: number;
		readonly isPending: boolean;
		readonly isBootstrapAllowed: boolean;
	}) {
		this.#peer = options.peer;
		this.#initialVoters = options.initialVoters;
		this.#incarnation = options.incarnation;
		this.#isPending = options.isPending;
		this.#canFound =
			options.isBootstrapAllowed &&
			options.initialVoters.includes(options.peer);
	}

	get isPending(): boolean {
		return this.#isPending;
	}

	/** True when every other initial voter has answered that it has no state. */
	get canBootstrap(): boolean {
		return (
			this.#isPending &&
			this.#canFound &&
			this.#initialVoters.every(
				(peer) => peer === this.#peer || this.#founders.has(peer),
			)
		);
	}

	/** Tells whether a leader's message with this mark may be processed. */
	isAccepted(mark: number | undefined): boolean {
		return !this.#isPending || mark === this.#incarnation;
	}

	/** Returns the peers to ask now: all known voters, when the last request is old enough. */
	takeDueRequests(
		now: number,
		voters: readonly ids.PeerId[],
	): readonly ids.PeerId[] {
		if (!this.#isPending || now - this.#askedAt < timing.joinRetryMs) {
			return [];
		}

		this.#askedAt = now;
		const known = new Set([...this.#initialVoters, ...voters]);
		known.delete(this.#peer);
		return [...known];
	}

	/** Answers to an earlier process of this peer do not count: the group may have begun since. */
	handleReply(from: ids.PeerId, incarnation: number): void {
		if (incarnation === this.#incarnation) {
			this.#founders.add(from);
		}
	}

	complete(): void {
		this.#isPending = false;
	}
}
