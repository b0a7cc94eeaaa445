/**
 * One leadership: proposals that wait for their commit, replication, and changes of the voters.
 */
import type * as ids from '../ids.js';
import type * as types from './types.js';
import type * as log from './log.js';
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

/** Appends to the log, and brings the other peers and the configuration up to date. */
export class Leadership<Command> {
	readonly #options: LeadershipOptions<Command>;
	readonly #replication: replication.Replication<Command>;
	readonly #proposals = new Map<number, number>();
	/** Incarnations of peers without state that asked to be added anew. */
	readonly #lost = new Map<ids.PeerId, number>();
	readonly #firstIndex: number;
	#changeIndex: number;
	#target: readonly ids.PeerId[] | undefined;

	constructor(options: LeadershipOptions<Command>, now: number) {
		this.#options = options;
		// Replication begins with the entry below, so that it is sent in the same step.
		this.#replication = new replication.Replication(options, now);
		// Earlier entries count as committed only together with one of the leader's own term.
		this.#firstIndex = this.#addEntry({type: 'noop'});
		// Any change of an earlier leader comes before this entry and is committed with it.
		this.#changeIndex = this.#firstIndex;
	}

	addProposal(proposal: number, command: Command): void {
		const index = this.#addEntry({type: 'command', command});
		this.#proposals.set(index, proposal);
	}

	/** Returns the proposal that became this entry and forgets it. */
	takeProposal(index: number): number | undefined {
		const proposal = this.#proposals.get(index);
		this.#proposals.delete(index);
		return proposal;
	}

	/** Returns all proposals without outcome and forgets them. */
	takeProposals(): number[] {
		const proposals = [...this.#proposals.values()];
		this.#proposals.clear();
		return proposals;
	}

	/** Asks for other voters; the changes follow one by one. */
	setTargetVoters(voters: readonly ids.PeerId[]): void {
		this.#target = voters;
	}

	handleTick(now: number, commitIndex: number): void {
		this.#replication.handleTick(now, commitIndex);
	}

	handleReply(
		from: ids.PeerId,
		reply: Extract<types.ConsensusMessage, {type: 'appendReply'}>,
	): void {
		this.#replication.handleReply(from, reply);
	}

	handleJoinRequest(from: ids.PeerId, incarnation: number): void {
		const {voters, learners} = this.#options.log.configuration;
		const isKnown =
			learners.includes(from) ||
			(voters.includes(from) && this.#options.log.hasJoined(from, incarnation));
		if (!isKnown) {
			this.#lost.set(from, incarnation);
		} else if (
			this.#replication.getProgress(from)?.joiningIncarnation !== incarnation
		) {
			this.#replication.resetPeer(from, incarnation);
		}
	}

	/** Returns the index up to which the entries of this term are held by a majority. */
	computeCommitIndex(): number {
		const index = this.#replication.computeCommitIndex(
			this.#options.writes.syncedIndex,
		);
		return index >= this.#firstIndex ? index : 0;
	}

	/** Makes the next change of the voters when the last one is committed, and sends new entries. */
	sendChanges(now: number, commitIndex: number): void {
		if (commitIndex >= this.#changeIndex) {
			this.#tryChange(commitIndex);
		}

		this.#replication.sendPending(now, commitIndex);
	}

	/** Tells whether this peer removed itself and the removal is committed. */
	isRemoved(commitIndex: number): boolean {
		const {self, log: target} = this.#options;
		return (
			commitIndex >= this.#changeIndex &&
			!target.configuration.voters.includes(self)
		);
	}

	hasRecentQuorum(now: number, ageMs: number): boolean {
		return this.#replication.hasRecentQuorum(now, ageMs);
	}

	hasLostQuorum(now: number): boolean {
		return this.#replication.hasLostQuorum(now);
	}

	#tryChange(commitIndex: number): void {
		const {self, log: target} = this.#options;
		const change = membership.chooseNextChange({
			self,
			configuration: target.configuration,
			targetVoters: this.#target,
			lostVoters: [...this.#lost.keys()],
			isCaughtUp: (peer) =>
				(this.#replication.getProgress(peer)?.matchIndex ?? 0) >= commitIndex,
			getIncarnation: (peer) =>
				this.#replication.getProgress(peer)?.joiningIncarnation,
		});
		if (!change) {
			return;
		}

		const before = target.configuration.learners;
		this.#changeIndex = this.#addEntry(change);
		this.#replication.updatePeers();
		for (const learner of change.learners ?? []) {
			if (!before.includes(learner)) {
				this.#replication.resetPeer(learner, this.#lost.get(learner));
				this.#lost.delete(learner);
			}
		}
	}

	#addEntry(payload: types.LogPayload<Command>): number {
		const {log: target, term, writes} = this.#options;
		const entry = {index: target.lastIndex + 1, term, payload};
		target.addEntry(entry);
		writes.addEntries([entry]);
		return entry.index;
	}
}
