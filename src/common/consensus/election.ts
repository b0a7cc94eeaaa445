/**
 * Election state of one peer: the phase of its own candidacy, the votes for it, its election
 * timer and the time during which it ignores vote requests.
 */
import type * as ids from '../ids.js';
import * as timing from './timing.js';

export type ElectionPhase = 'idle' | 'preVote' | 'vote';

/** Election timer and votes; it sends and stores nothing. */
export class Election {
	#phase: ElectionPhase = 'idle';
	readonly #votes = new Set<ids.PeerId>();
	#leaderContactAt = Number.NEGATIVE_INFINITY;
	#timerStartedAt = Number.NEGATIVE_INFINITY;
	#jitterMs: number | undefined;

	get phase(): ElectionPhase {
		return this.#phase;
	}

	recordLeaderContact(now: number): void {
		this.#leaderContactAt = now;
		this.resetTimer(now);
	}

	/**
	 * Starts the first timer, without a random part: among peers that start together, the order of
	 * their ids decides which one continues its campaign.
	 */
	recordStart(startedAt: number): void {
		this.recordLeaderContact(startedAt);
		this.#jitterMs = 0;
	}

	/** Tells whether the peer heard from a leader so recently that it must not help to replace it. */
	hasRecentLeaderContact(now: number): boolean {
		return now - this.#leaderContactAt < timing.minElectionTimeoutMs;
	}

	resetTimer(now: number): void {
		this.#timerStartedAt = now;
		this.#jitterMs = undefined;
	}

	/** Tells whether the election timer has expired; draws its random part on first use after a reset. */
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

	/** Tells whether replies to this peer's own pre-vote requests may still arrive. */
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
