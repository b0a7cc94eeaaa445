/**
 * Term, vote and candidacy of one peer: asks for votes, answers requests for them and stores
 * both term and vote before anything that depends on them leaves.
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
	readonly isStickinessOff: boolean;
	/** Sends after everything written so far is synced. */
	readonly sendAfterWrites: (
		to: ids.PeerId,
		message: types.ConsensusMessage,
	) => void;
	/** Ends a leadership of the term that is about to end. */
	readonly stopLeading: () => void;
};

/** The peer's part in elections. */
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
	 * A restarted peer may have answered a leader just before it stopped, so it waits like one.
	 *
	 * @param startedAt - Monotonic time of the start of the process, in ms.
	 */
	recordStart(startedAt: number): void {
		this.#election.recordStart(startedAt);
	}

	/** Asks a peer that was not reachable when the campaign began. */
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

	/** Ends a candidacy and starts the election timer anew. */
	stopCampaign(now: number): void {
		this.#election.stop();
		this.#election.resetTimer(now);
	}

	/**
	 * Tells whether it is time to become a candidate. A peer whose removal is not committed yet
	 * goes on taking part, because it may be the only one that can still commit it.
	 */
	isCampaignDue(now: number, random: number, commitIndex: number): boolean {
		const {joinState: joiningPeer, log: target, self} = this.#context;
		return (
			this.#election.hasTimedOut(now, random) &&
			!joiningPeer.isPending &&
			(target.configuration.voters.includes(self) ||
				target.getConfiguration(commitIndex).voters.includes(self))
		);
	}

	/**
	 * Asks whether an election could be won, without a new term: a peer that was cut off must not
	 * disturb the others with a higher term.
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
		const isSticky = isLeading || this.#election.isSticky(now);
		if (
			this.#context.joinState.isPending ||
			(isSticky && !this.#context.isStickinessOff)
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

		this.setTerm(message.term, now);
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
			this.setTerm(message.term, now);
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

	/** Enters a higher term; lower and equal ones are ignored. */
	setTerm(term: number, now: number, votedFor?: ids.PeerId): void {
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
	 * Settles which of two peers that ask for pre-votes at the same time goes on, because each would
	 * vote for itself and neither win. The lower id goes on; the other one gives up its own candidacy.
	 *
	 * @returns False when this peer goes on, so that the other one must not be helped. That ends with
	 * the time for answers: a peer whose requests do not arrive must not block the others for good.
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
		this.setTerm(this.term + 1, now, this.#context.self);
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
