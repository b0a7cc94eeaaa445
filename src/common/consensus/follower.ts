/**
 * The follower's part of the replicated log: applies and answers the messages of the leader, and
 * detects the entry that makes this peer a voter.
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
	/** True while a full disk refuses writes. */
	readonly isStorageFull: () => boolean;
	readonly send: Send;
	/** Sends after everything written up to the end of this step is synced. */
	readonly sendAfterWrites: Send;
};

/** Follows the leader of the current term. */
export class Follower<Command> {
	readonly #context: FollowerContext<Command>;

	constructor(context: FollowerContext<Command>) {
		this.#context = context;
	}

	/**
	 * Handles an append or a snapshot.
	 *
	 * @returns The new commit index; undefined when this peer does not accept the sender as its leader.
	 */
	handleLeaderMessage(
		from: ids.PeerId,
		message: replica.LeaderMessage,
		now: number,
		commitIndex: number,
	): number | undefined {
		const {voting: votingState, log: localLog, writes} = this.#context;
		const {joinState, incarnation} = this.#context;
		if (!joinState.isAccepted(message.joining)) {
			// The leader does not know yet that this peer has no state, and may be no initial voter.
			this.#context.send(from, {type: 'joinRequest', incarnation});
			return undefined;
		}

		if (message.term < votingState.term) {
			this.#sendRejection(from, message.round);
			return undefined;
		}

		votingState.advanceTerm(message.term, now);
		votingState.stopCampaign(now);
		votingState.recordLeaderContact(now);
		const received = message as replica.LeaderMessage<Command>;
		const outcome = this.#context.isStorageFull()
			? replica.compareLeaderMessage(localLog, received, commitIndex)
			: replica.applyLeaderMessage(localLog, writes, received, commitIndex);
		this.#tryCompleteJoin(outcome, from);
		this.#sendReply(from, outcome, message.round);
		return outcome.commitIndex;
	}

	/** Replies to the leader of an earlier term with the current term, so that it steps down. */
	#sendRejection(to: ids.PeerId, round: number): void {
		this.#context.sendAfterWrites(to, {
			type: 'appendReply',
			term: this.#context.voting.term,
			success: false,
			matchIndex: 0,
			round,
		});
	}

	#sendReply(
		to: ids.PeerId,
		outcome: replica.LeaderMessageResult,
		round: number,
	): void {
		const {writes, voting: votingState} = this.#context;
		const {success, matchIndex, needsSync} = outcome;
		const {term} = votingState;
		const reply = {
			type: 'appendReply',
			term,
			success,
			round,
			...(this.#context.isStorageFull() ? {isStorageFull: true} : {}),
		} as const;
		if (needsSync || !writes.isHardStateSynced) {
			this.#context.sendAfterWrites(to, {...reply, matchIndex});
			return;
		}

		// A heartbeat is answered while entries are being synced, so that a slow disk does not
		// look like a failed peer.
		const synced = Math.min(matchIndex, writes.syncedIndex);
		this.#context.send(to, {...reply, matchIndex: synced});
	}

	/** Stores the first term of this instance together with the entry that makes it a voter. */
	#tryCompleteJoin(
		{joined}: replica.LeaderMessageResult,
		leader: ids.PeerId,
	): void {
		const {self, incarnation, joinState} = this.#context;
		const isForSelf =
			joined?.peer === self && joined.incarnation === incarnation;
		if (joinState.isPending && isForSelf) {
			joinState.complete();
			this.#context.voting.storeVote(leader);
		}
	}
}
