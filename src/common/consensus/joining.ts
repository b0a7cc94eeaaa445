/**
 * The start of a peer without state. It neither votes nor accepts the log until the leader adds
 * it again, because it may have lost a vote or entries that it had acknowledged. At the bootstrap
 * of a group no peer has state: then every other initial voter must report this before the peer
 * votes.
 */
import type * as ids from '../ids.js';
import * as timing from './timing.js';

/** Term of a voter before its first election; a stored term marks a peer as a voter. */
export const bootstrapTerm = 1;

/** Tracks the replies to the join requests of this instance. */
export class JoinState {
	readonly #peer: ids.PeerId;
	readonly #initialVoters: readonly ids.PeerId[];
	readonly #incarnation: number;
	readonly #isBootstrapAllowed: boolean;
	readonly #peersWithoutState = new Set<ids.PeerId>();
	#isPending: boolean;
	#requestedAt = Number.NEGATIVE_INFINITY;

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
		this.#isBootstrapAllowed =
			options.isBootstrapAllowed &&
			options.initialVoters.includes(options.peer);
	}

	get isPending(): boolean {
		return this.#isPending;
	}

	/** True when every other initial voter has replied that it has no state. */
	get canBootstrap(): boolean {
		return (
			this.#isPending &&
			this.#isBootstrapAllowed &&
			this.#initialVoters.every(
				(peer) => peer === this.#peer || this.#peersWithoutState.has(peer),
			)
		);
	}

	/**
	 * Tells whether a leader's message may be processed; while the peer joins, only one that names its
	 * incarnation.
	 */
	isAccepted(joiningIncarnation: number | undefined): boolean {
		return !this.#isPending || joiningIncarnation === this.#incarnation;
	}

	/** Returns the peers to send join requests to: all known voters once the retry interval has passed. */
	takeDueRequests(
		now: number,
		voters: readonly ids.PeerId[],
	): readonly ids.PeerId[] {
		if (
			!this.#isPending ||
			now - this.#requestedAt < timing.joinRetryIntervalMs
		) {
			return [];
		}

		this.#requestedAt = now;
		const known = new Set([...this.#initialVoters, ...voters]);
		known.delete(this.#peer);
		return [...known];
	}

	/** Ignores replies to an earlier instance of this peer: the group may have been bootstrapped since. */
	handleReply(from: ids.PeerId, incarnation: number): void {
		if (incarnation === this.#incarnation) {
			this.#peersWithoutState.add(from);
		}
	}

	complete(): void {
		this.#isPending = false;
	}
}
