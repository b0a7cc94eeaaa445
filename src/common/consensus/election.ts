/**
 * Election state of one peer: the phase of its own candidacy, the votes for it, its election
 * timer and the time during which it refuses to vote.
 */
import type * as ids from '../ids.js';
import * as timing from './timing.js';

export type ElectionPhase = 'idle' | 'preVote' | 'vote';

/** Timer and votes; it sends and stores nothing. */
export class Election {
	#phase: ElectionPhase = 'idle';
	readonly #votes = new Set<ids.PeerId>();
	#heardAt = Number.NEGATIVE_INFINITY;
	#timerStartedAt = Number.NEGATIVE_INFINITY;
	#jitterMs: number | undefined;

	get phase(): ElectionPhase {
		return this.#phase;
	}

	recordLeaderContact(now: number): void {
		this.#heardAt = now;
		this.resetTimer(now);
	}

	/**
	 * Begins the first timer, without a random part: peers that start together settle by their ids
	 * which of them leads.
	 */
	recordStart(startedAt: number): void {
		this.recordLeaderContact(startedAt);
		this.#jitterMs = 0;
	}

	/** Tells whether the peer must not help to replace the leader that it last heard. */
	isSticky(now: number): boolean {
		return now - this.#heardAt < timing.minElectionTimeoutMs;
	}

	resetTimer(now: number): void {
		this.#timerStartedAt = now;
		this.#jitterMs = undefined;
	}

	/** Tells whether the election timer has run out; draws its random part when it is new. */
	hasTimedOut(now: number, random: number): boolean {
		this.#jitterMs ??= random * timing.electionJitterMs;
		return (
			now - this.#timerStartedAt >= timing.minElectionTimeoutMs + this.#jitterMs
		);
	}

	start(phase: 'preVote' | 'vote', now: number): void {
		this.#phase = phase;
		this.#votes.clear();
		this.resetTimer(now);
	}

	/** Tells whether the answers to a pre-vote that this peer asked for may still be on their way. */
	isPreVotePending(now: number): boolean {
		return (
			this.#phase === 'preVote' &&
			now - this.#timerStartedAt < timing.preVoteTimeoutMs
		);
	}

	stop(): void {
		this.#phase = 'idle';
		this.#votes.clear();
	}

	/** Counts a vote; returns true when a majority of the voters has voted for this peer. */
	addVote(voter: ids.PeerId, voters: readonly ids.PeerId[]): boolean {
		this.#votes.add(voter);
		const granted = voters.filter((peer) => this.#votes.has(peer)).length;
		return granted * 2 > voters.length;
	}
}
