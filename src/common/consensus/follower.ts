/**
 * The follower's part of the replicated log: takes messages of the leader, answers them, and
 * notices when an entry makes this peer a voter.
 */
import type * as ids from '../ids.js';
import type * as types from './types.js';
import type * as joining from './joining.js';
import type * as log from './log.js';
import type * as voting from './voting.js';
import type * as writeQueue from './write-queue.js';
import * as replica from './replica.js';

type Send = (to: ids.PeerId, message: types.ConsensusMessage) => void;

export type FollowerContext<Command> = {
	readonly self: ids.PeerId;
	readonly incarnation: number;
	readonly log: log.Log<Command>;
	readonly writes: writeQueue.WriteQueue<Command>;
	readonly joinState: joining.JoinState;
	readonly voting: voting.Voting<Command>;
	readonly send: Send;
	/** Sends after everything written so far is synced. */
	readonly sendAfterWrites: Send;
};

/** Follows the leader of the present term. */
export class Follower<Command> {
	readonly #context: FollowerContext<Command>;

	constructor(context: FollowerContext<Command>) {
		this.#context = context;
	}

	/**
	 * Takes in an append or a snapshot.
	 *
	 * @returns The new commit index; undefined when the sender is not the leader of this peer.
	 */
	handleLeaderMessage(
		from: ids.PeerId,
		message: replica.LeaderMessage,
		now: number,
		commitIndex: number,
	): number | undefined {
		const {voting: votingPeer, log: target, writes} = this.#context;
		if (!this.#context.joinState.isAccepted(message.joining)) {
			return undefined;
		}

		if (message.term < votingPeer.term) {
			this.#sendRefusal(from, message.round);
			return undefined;
		}

		votingPeer.setTerm(message.term, now);
		votingPeer.stopCampaign(now);
		votingPeer.recordLeaderContact(now);
		const outcome = replica.applyLeaderMessage(
			target,
			writes,
			message as replica.LeaderMessage<Command>,
			commitIndex,
		);
		this.#tryCompleteJoin(outcome, from);
		this.#sendOutcome(from, outcome, message.round);
		return outcome.commitIndex;
	}

	/** Tells the leader of an earlier term that its term is over. */
	#sendRefusal(to: ids.PeerId, round: number): void {
		this.#context.sendAfterWrites(to, {
			type: 'appendReply',
			term: this.#context.voting.term,
			success: false,
			matchIndex: 0,
			round,
		});
	}

	#sendOutcome(
		to: ids.PeerId,
		outcome: replica.LeaderMessageResult,
		round: number,
	): void {
		const {writes, voting: votingPeer} = this.#context;
		const {success, matchIndex, hasWritten} = outcome;
		const {term} = votingPeer;
		const reply = {type: 'appendReply', term, success, round} as const;
		if (hasWritten || !writes.isHardStateSynced) {
			this.#context.sendAfterWrites(to, {...reply, matchIndex});
			return;
		}

		// A heartbeat is answered while entries are being synced, so that a slow disk does not
		// look like a lost peer.
		const synced = Math.min(matchIndex, writes.syncedIndex);
		this.#context.send(to, {...reply, matchIndex: synced});
	}

	/** The entry that makes this process a voter and its first term are stored together. */
	#tryCompleteJoin(
		{joined}: replica.LeaderMessageResult,
		leader: ids.PeerId,
	): void {
		const {self, incarnation, joinState: joiningPeer} = this.#context;
		const isOwn = joined?.peer === self && joined.incarnation === incarnation;
		if (joiningPeer.isPending && isOwn) {
			joiningPeer.complete();
			this.#context.voting.storeVote(leader);
		}
	}
}
