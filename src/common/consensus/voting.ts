/**
 * Term, vote and candidacy of one peer: requests votes, answers vote requests and stores term and
 * vote before any message that depends on them is sent.
 */
import type * as ids from '../ids.js';
import type * as types from './types.js';
import type * as joining from './joining.js';
import type * as log from './log.js';
import type * as writeQueue from './write-queue.js';
import * as election from './election.js';

type VoteRequest = Extract<types.ConsensusMessage, {type: 'preVote' | 'vote'}>;

type VoteReply = Extract<
	types.ConsensusMessage,
	{type: 'preVoteReply' | 'voteReply'}
>;

export type VotingContext<Command> = {
	readonly self: ids.PeerId;
	readonly hardState: types.HardState;
	readonly log: log.Log<Command>;
	readonly writes: writeQueue.WriteQueue<Command>;
	readonly joinState: joining.JoinState;
	readonly isLeaderStickinessDisabled: boolean;
	/** True while a full disk refuses writes, so that no vote can be stored. */
	readonly isStorageFull: () => boolean;
	/** Sends after everything written up to the end of this step is synced. */
	readonly sendAfterWrites: (
		to: ids.PeerId,
		message: types.ConsensusMessage,
	) => void;
	/** Ends the leadership of this peer, if any, before it enters a higher term. */
	readonly stopLeading: () => void;
};

/** Votes and campaigns on behalf of one peer. */
export class Voting<Command> {
	readonly #context: VotingContext<Command>;
	readonly #election = new election.Election();
	#hardState: types.HardState;

	constructor(context: VotingContext<Command>) {
		this.#context = context;
		this.#hardState = context.hardState;
	}

	get term(): number {
		return this.#hardState.term;
	}

	get votedFor(): ids.PeerId | undefined {
		return this.#hardState.votedFor;
	}

	get isCandidate(): boolean {
		return this.#election.phase !== 'idle';
	}

	/**
	 * Counts the start as contact with a leader, because the peer may have answered one just before it
	 * restarted.
	 *
	 * @param startedAt - Monotonic time at which the process started, in ms.
	 */
	recordStart(startedAt: number): void {
		this.#election.recordStart(startedAt);
	}

	/** Sends a pre-vote request to a peer that may have been unreachable when the campaign began. */
	handlePeerConnected(peer: ids.PeerId): void {
		if (
			this.#election.phase === 'preVote' &&
			this.#context.log.configuration.voters.includes(peer)
		) {
			this.#sendRequest(peer, 'preVote', this.term + 1);
		}
	}

	recordLeaderContact(now: number): void {
		this.#election.recordLeaderContact(now);
	}

	/** Ends the candidacy, if any, and restarts the election timer. */
	stopCampaign(now: number): void {
		this.#election.stop();
		this.#election.resetTimer(now);
	}

	/**
	 * Tells whether it is time to become a candidate. A peer whose removal is not committed yet still
	 * campaigns, because it may be the only one that can commit the removal.
	 */
	isCampaignDue(now: number, random: number, commitIndex: number): boolean {
		const {isStorageFull, joinState, log: localLog, self} = this.#context;
		return (
			this.#election.hasTimedOut(now, random) &&
			!joinState.isPending &&
			!isStorageFull() &&
			(localLog.configuration.voters.includes(self) ||
				localLog.getConfiguration(commitIndex).voters.includes(self))
		);
	}

	/**
	 * Starts a pre-vote, which asks whether an election could be won without raising the term: a peer
	 * that was partitioned must not disrupt the others with a higher term.
	 *
	 * @returns True when the peer is elected.
	 */
	startCampaign(now: number): boolean {
		this.#election.start('preVote', now);
		this.#sendRequests('preVote', this.term + 1);
		return this.#addVote(this.#context.self, now);
	}

	/** Answers a request for a vote or pre-vote. */
	handleRequest(
		from: ids.PeerId,
		message: VoteRequest,
		now: number,
		isLeading: boolean,
	): void {
		const hasLiveLeader =
			isLeading || this.#election.hasRecentLeaderContact(now);
		if (
			this.#context.joinState.isPending ||
			this.#context.isStorageFull() ||
			(hasLiveLeader && !this.#context.isLeaderStickinessDisabled)
		) {
			return;
		}

		if (message.type === 'preVote') {
			const granted = this.#isUpToDate(message) && message.term > this.term;
			if (granted && !this.#yieldTo(from, now)) {
				return;
			}

			const term = granted ? message.term : this.term;
			this.#context.sendAfterWrites(from, {
				type: 'preVoteReply',
				term,
				granted,
			});
			return;
		}

		this.advanceTerm(message.term, now);
		const granted =
			this.#isUpToDate(message) &&
			message.term === this.term &&
			(this.votedFor === undefined || this.votedFor === from);
		if (granted) {
			this.storeVote(from);
			this.#election.resetTimer(now);
		}

		this.#context.sendAfterWrites(from, {
			type: 'voteReply',
			term: this.term,
			granted,
		});
	}

	/**
	 * Counts the answer to a request of this peer.
	 *
	 * @returns True when the peer is elected.
	 */
	handleReply(from: ids.PeerId, message: VoteReply, now: number): boolean {
		if (!message.granted) {
			this.advanceTerm(message.term, now);
			return false;
		}

		const isPreVote = message.type === 'preVoteReply';
		const isCurrent =
			this.#election.phase === (isPreVote ? 'preVote' : 'vote') &&
			message.term === (isPreVote ? this.term + 1 : this.term);
		return isCurrent && this.#addVote(from, now);
	}

	/**
	 * Counts the peer's vote for itself once it is synced.
	 *
	 * @returns True when the peer is elected.
	 */
	handleOwnVote(term: number, now: number): boolean {
		return (
			term === this.term &&
			this.#election.phase === 'vote' &&
			this.#addVote(this.#context.self, now)
		);
	}

	/** Enters a higher term; ignores lower and equal ones. */
	advanceTerm(term: number, now: number, votedFor?: ids.PeerId): void {
		if (term > this.term) {
			this.#context.stopLeading();
			this.stopCampaign(now);
			this.#storeHardState({term, votedFor});
		}
	}

	storeVote(votedFor: ids.PeerId | undefined): void {
		this.#storeHardState({term: this.term, votedFor});
	}

	/**
	 * Decides which of two peers with concurrent pre-votes continues, because otherwise each would vote
	 * for itself and neither would win. The lower id continues; the other peer ends its candidacy.
	 *
	 * @returns False when this peer continues, so that it must not grant the pre-vote of the other one.
	 * This lasts only until the pre-vote timeout, because a peer whose requests do not arrive must not
	 * block the others indefinitely.
	 */
	#yieldTo(candidate: ids.PeerId, now: number): boolean {
		if (this.#election.phase !== 'preVote') {
			return true;
		}

		if (this.#context.self < candidate) {
			return !this.#election.isPreVotePending(now);
		}

		this.stopCampaign(now);
		return true;
	}

	#isUpToDate(message: VoteRequest): boolean {
		return this.#context.log.isCoveredBy(message.lastIndex, message.lastTerm);
	}

	#addVote(voter: ids.PeerId, now: number): boolean {
		const {voters} = this.#context.log.configuration;
		if (!this.#election.addVote(voter, voters)) {
			return false;
		}

		if (this.#election.phase === 'preVote') {
			this.#startVote(now);
			return false;
		}

		this.#election.stop();
		return true;
	}

	#startVote(now: number): void {
		this.advanceTerm(this.term + 1, now, this.#context.self);
		this.#election.start('vote', now);
		this.#sendRequests('vote', this.term);
		this.#context.writes.addDeferredAction({type: 'ownVote', term: this.term});
	}

	#sendRequests(type: 'preVote' | 'vote', term: number): void {
		for (const peer of this.#context.log.configuration.voters) {
			if (peer !== this.#context.self) {
				this.#sendRequest(peer, type, term);
			}
		}
	}

	#sendRequest(peer: ids.PeerId, type: 'preVote' | 'vote', term: number): void {
		const {lastIndex, lastTerm} = this.#context.log;
		this.#context.sendAfterWrites(peer, {type, term, lastIndex, lastTerm});
	}

	/** A joining peer keeps its term in memory only: a stored term makes it a voter. */
	#storeHardState(hardState: types.HardState): void {
		this.#hardState = hardState;
		if (!this.#context.joinState.isPending) {
			this.#context.writes.addHardState(hardState);
		}
	}
}
