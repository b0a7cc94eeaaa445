/**
 * The state of a leader during one term: uncommitted proposals, replication and voter changes.
 */
import type * as ids from '../ids.js';
import type * as types from './types.js';
import * as log from './log.js';
import type * as writeQueue from './write-queue.js';
import * as membership from './membership.js';
import * as replication from './replication.js';

export type LeadershipOptions<Command> = {
	readonly self: ids.PeerId;
	readonly term: number;
	readonly log: log.Log<Command>;
	readonly writes: writeQueue.WriteQueue<Command>;
	readonly send: replication.Send;
};

/** Appends entries, replicates them to the other peers and changes the voters. */
export class Leadership<Command> {
	readonly #options: LeadershipOptions<Command>;
	readonly #replication: replication.Replication<Command>;
	readonly #proposals = new Map<number, number>();
	/** Incarnations of peers without state that asked to be added again. */
	readonly #joinRequests = new Map<ids.PeerId, number>();
	readonly #firstIndexOfTerm: number;
	#lastChangeIndex: number;
	#targetVoters: readonly ids.PeerId[] | undefined;

	constructor(options: LeadershipOptions<Command>, now: number) {
		this.#options = options;
		// Created before the no-op is appended, so that the no-op is sent in the same step.
		this.#replication = new replication.Replication(options, now);
		// Entries of earlier terms are committed only together with an entry of the leader's own term.
		this.#firstIndexOfTerm = this.#appendEntry({type: 'noop'});
		// Any voter change of an earlier leader precedes this entry and is committed with it.
		this.#lastChangeIndex = this.#firstIndexOfTerm;
	}

	/** Tells whether the entries that are not committed or not synced here leave room for a command. */
	canAdd(command: Command, commitIndex: number, maxBytes: number): boolean {
		const {log: localLog, writes} = this.#options;
		const settledIndex = Math.min(commitIndex, writes.syncedIndex);
		const pendingBytes = localLog.estimateSizeAfter(settledIndex);
		return (
			pendingBytes === 0 ||
			pendingBytes + log.estimateCommandSize(command) <= maxBytes
		);
	}

	addProposal(proposal: number, command: Command): void {
		const index = this.#appendEntry({type: 'command', command});
		this.#proposals.set(index, proposal);
	}

	/** Removes and returns the proposal that became this entry. */
	takeProposal(index: number): number | undefined {
		const proposal = this.#proposals.get(index);
		this.#proposals.delete(index);
		return proposal;
	}

	/** Removes and returns all proposals without outcome. */
	takeProposals(): number[] {
		const proposals = [...this.#proposals.values()];
		this.#proposals.clear();
		return proposals;
	}

	/** Sets the wanted voters, which are reached by changes of one voter at a time. */
	setTargetVoters(voters: readonly ids.PeerId[]): void {
		this.#targetVoters = voters;
	}

	handleTick(now: number, commitIndex: number): void {
		this.#replication.handleTick(now, commitIndex);
	}

	handlePeerConnected(peer: ids.PeerId): void {
		this.#replication.handlePeerConnected(peer);
	}

	handleReply(
		from: ids.PeerId,
		reply: Extract<types.ConsensusMessage, {type: 'appendReply'}>,
	): void {
		this.#replication.handleReply(from, reply);
	}

	handleJoinRequest(from: ids.PeerId, incarnation: number): void {
		const {voters, learners} = this.#options.log.configuration;
		const isAlreadyAdded =
			learners.includes(from) ||
			(voters.includes(from) && this.#options.log.hasJoined(from, incarnation));
		if (!isAlreadyAdded) {
			this.#joinRequests.set(from, incarnation);
		} else if (
			this.#replication.getProgress(from)?.joiningIncarnation !== incarnation
		) {
			this.#replication.resetPeer(from, incarnation);
		}
	}

	/** Returns the highest index that a majority has synced; 0 when it is below this term's entries. */
	computeCommitIndex(): number {
		const index = this.#replication.computeCommitIndex(
			this.#options.writes.syncedIndex,
		);
		return index >= this.#firstIndexOfTerm ? index : 0;
	}

	/** Starts the next voter change once the previous one is committed, and sends new entries. */
	advance(now: number, commitIndex: number): void {
		if (commitIndex >= this.#lastChangeIndex) {
			this.#tryChangeVoters(commitIndex);
		}

		this.#replication.sendPending(now, commitIndex);
	}

	/** Tells whether this peer is no longer a voter and its removal is committed. */
	isRemoved(commitIndex: number): boolean {
		const {self, log: localLog} = this.#options;
		return (
			commitIndex >= this.#lastChangeIndex &&
			!localLog.configuration.voters.includes(self)
		);
	}

	hasRecentQuorum(now: number, ageMs: number): boolean {
		return this.#replication.hasRecentQuorum(now, ageMs);
	}

	hasOtherQuorumWithSpace(now: number, ageMs: number): boolean {
		return this.#replication.hasOtherQuorumWithSpace(now, ageMs);
	}

	/** Tells whether so many voters have a full disk that no entry can be committed. */
	isStorageExhausted(isOwnFull: boolean): boolean {
		const {voters} = this.#options.log.configuration;
		const fullCount = this.#replication.countFullVoters() + (isOwnFull ? 1 : 0);
		return (voters.length - fullCount) * 2 <= voters.length;
	}

	hasLostQuorum(now: number): boolean {
		return this.#replication.hasLostQuorum(now);
	}

	#tryChangeVoters(commitIndex: number): void {
		const {self, log: localLog} = this.#options;
		const change = membership.chooseNextChange({
			self,
			configuration: localLog.configuration,
			targetVoters: this.#targetVoters,
			lostVoters: [...this.#joinRequests.keys()],
			isCaughtUp: (peer) =>
				(this.#replication.getProgress(peer)?.matchIndex ?? 0) >= commitIndex,
			getIncarnation: (peer) =>
				this.#replication.getProgress(peer)?.joiningIncarnation,
		});
		if (!change) {
			return;
		}

		const previousLearners = localLog.configuration.learners;
		this.#lastChangeIndex = this.#appendEntry(change);
		this.#replication.updatePeers();
		for (const learner of change.learners ?? []) {
			if (!previousLearners.includes(learner)) {
				this.#replication.resetPeer(learner, this.#joinRequests.get(learner));
				this.#joinRequests.delete(learner);
			}
		}
	}

	#appendEntry(payload: types.LogPayload<Command>): number {
		const {log: localLog, term, writes} = this.#options;
		const entry = {index: localLog.lastIndex + 1, term, payload};
		localLog.appendEntry(entry);
		writes.addEntries([entry]);
		return entry.index;
	}
}
