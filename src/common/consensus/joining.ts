/**
 * The start of a peer without state. It neither votes nor accepts the log until the leader adds
 * it again, because it may have lost a vote or entries that it had acknowledged. At the bootstrap
 * of a group no peer has state: then every other initial voter must report this before the peer
 * votes. Where it is certain that the group starts for the first time, a majority is enough after a while,
 * so that a peer that ends during its start does not keep the others from starting.
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
	readonly #isFirstStart: boolean;
	readonly #peersWithoutState = new Set<ids.PeerId>();
	#isPending: boolean;
	#startedAt = Number.POSITIVE_INFINITY;
	#requestedAt = Number.NEGATIVE_INFINITY;

	constructor(options: {
		readonly peer: ids.PeerId;
		readonly initialVoters: readonly ids.PeerId[];
		readonly incarnation: number;
		readonly isPending: boolean;
		readonly isBootstrapAllowed: boolean;
		/** See `ConsensusOptions`. */
		readonly isFirstStart: boolean;
	}) {
		this.#peer = options.peer;
		this.#initialVoters = options.initialVoters;
		this.#incarnation = options.incarnation;
		this.#isPending = options.isPending;
		this.#isBootstrapAllowed =
			options.isBootstrapAllowed &&
			options.initialVoters.includes(options.peer);
		this.#isFirstStart = options.isFirstStart;
	}

	get isPending(): boolean {
		return this.#isPending;
	}

	/**
	 * The initial voters that have not reported yet that they have no state; undefined when this peer may
	 * not bootstrap the group, so that a leader has to add it.
	 */
	get missingVoters(): readonly ids.PeerId[] | undefined {
		return this.#isBootstrapAllowed
			? this.#initialVoters.filter(
					(peer) => peer !== this.#peer && !this.#peersWithoutState.has(peer),
				)
			: undefined;
	}

	recordStart(now: number): void {
		this.#startedAt = now;
	}

	/** True when enough other initial voters have replied that they have no state. */
	canBootstrap(now: number): boolean {
		const {missingVoters} = this;
		if (!this.#isPending || !missingVoters) {
			return false;
		}

		const isMajorityEnough =
			this.#isFirstStart && now - this.#startedAt >= timing.firstStartGraceMs;
		return isMajorityEnough
			? missingVoters.length * 2 < this.#initialVoters.length
			: missingVoters.length === 0;
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
