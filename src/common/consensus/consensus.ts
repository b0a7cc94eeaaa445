/**
 * One peer of the replicated log as a reducer: leader election with pre-vote, log replication,
 * one-at-a-time voter changes and snapshots. It has no clock, socket or file; events bring the
 * time and effects ask for sends and writes.
 *
 * A peer without state does not vote. It asks all initial voters to let it in: when every one of
 * them is without state too they found the group, otherwise the leader adds it anew.
 */
import type * as ids from '../ids.js';
import {assertNever} from '../assert-never.js';
import type * as types from './types.js';
import * as election from './election.js';
import * as joining from './joining.js';
import * as leadership from './leadership.js';
import * as log from './log.js';
import * as replica from './replica.js';
import * as timing from './timing.js';
import * as writeQueue from './write-queue.js';

/** Switches off a safety rule; only for tests that show that the safety search finds faults. */
export type FaultInjection = {
	/** Voters answer (pre-)votes although they just heard a leader. */
	readonly isStickinessOff?: boolean;
	/** Messages leave before the write that they depend on is synced. */
	readonly isWriteOrderOff?: boolean;
};

export type ConsensusOptions<Command> = {
	readonly peer: ids.PeerId;
	/** The voters of a group whose log is still empty. */
	readonly initialVoters: readonly ids.PeerId[];
	readonly stored: types.StoredLog<Command>;
	/** Differs at each start of the process, for example the start time in ms since the epoch. */
	readonly incarnation: number;
	readonly faults?: FaultInjection;
};

/** The replicated log of one peer. */
export class Consensus<Command> {
	readonly #options: ConsensusOptions<Command>;
	readonly #log: log.Log<Command>;
	readonly #writes: writeQueue.WriteQueue<Command>;
	readonly #election: election.Election;
	readonly #joining: joining.Joining;
	#leadership: leadership.Leadership<Command> | undefined;
	#effects: Array<types.ConsensusEffect<Command>> = [];
	#now = Number.NEGATIVE_INFINITY;
	#hardState: types.HardState;
	#leader: ids.PeerId | undefined;
	#commitIndex: number;
	#appliedIndex: number;
	#reported = '';
	#isStarted = false;

	constructor(options: ConsensusOptions<Command>) {
		const {stored} = options;
		this.#options = options;
		this.#hardState = stored.hardState;
		this.#log = new log.Log(stored, options.initialVoters);
		this.#writes = new writeQueue.WriteQueue(this.#log.lastIndex);
		this.#commitIndex = this.#log.baseIndex;
		this.#appliedIndex = this.#log.baseIndex;
		this.#election = new election.Election();
		this.#joining = new joining.Joining({
			peer: options.peer,
			initialVoters: options.initialVoters,
			incarnation: options.incarnation,
			isPending: stored.hardState.term === 0,
			canFound: this.#log.lastIndex === 0 && !stored.isDataLost,
		});
	}

	get role(): types.ConsensusRole {
		if (this.#leadership) {
			return 'leader';
		}

		return this.#election.phase === 'idle' ? 'follower' : 'candidate';
	}

	get term(): number {
		return this.#hardState.term;
	}

	/** The leader of the present term as far as this peer has heard of it. */
	get leader(): ids.PeerId | undefined {
		return this.#leader;
	}

	/** The voters of the latest configuration in the log, committed or not. */
	get voters(): readonly ids.PeerId[] {
		return this.#log.configuration.voters;
	}

	get commitIndex(): number {
		return this.#commitIndex;
	}

	get lastIndex(): number {
		return this.#log.lastIndex;
	}

	/** True while the peer has no state of its own and therefore does not vote. */
	get isJoining(): boolean {
		return this.#joining.isPending;
	}

	/**
	 * Tells whether this peer may act as leader: a majority has answered an append that was sent
	 * so recently that no voter can have helped to elect another leader since.
	 *
	 * @param now - Monotonic time in ms.
	 */
	isLeaderLeaseValid(now: number): boolean {
		const leaseMs = timing.minElectionTimeoutMs * (1 - timing.clockDriftBound);
		return this.#leadership?.hasQuorumSince(now, leaseMs) ?? false;
	}

	/** Handles one event. The first call also returns `restore` when a snapshot is stored. */
	step(
		event: types.ConsensusEvent<Command>,
	): Array<types.ConsensusEffect<Command>> {
		this.#effects = [];
		this.#now = event.now;
		this.#start();
		this.#handleEvent(event);
		this.#finishStep();
		return this.#effects;
	}

	#start(): void {
		if (this.#isStarted) {
			return;
		}

		this.#isStarted = true;
		this.#election.recordStart(this.#now);
		if (this.#log.snapshot) {
			this.#effects.push({type: 'restore', snapshot: this.#log.snapshot});
		}
	}

	#handleEvent(event: types.ConsensusEvent<Command>): void {
		switch (event.type) {
			case 'tick': {
				this.#handleTick(event.random);
				return;
			}

			case 'message': {
				this.#handleMessage(event.from, event.message);
				return;
			}

			case 'propose': {
				this.#handleProposal(event.proposal, event.command);
				return;
			}

			case 'changeVoters': {
				this.#leadership?.setTarget(event.voters);
				return;
			}

			case 'written': {
				this.#runDependents(this.#writes.complete(event.write));
				return;
			}

			case 'compact': {
				this.#handleCompact(event.index, event.state);
				return;
			}
		}

		assertNever(event);
	}

	#handleTick(random: number): void {
		this.#joining.handleTick(
			this.#now,
			this.#log.configuration.voters,
			(to) => {
				this.#send(to, {
					type: 'joinRequest',
					incarnation: this.#options.incarnation,
				});
			},
		);
		this.#tryFound();
		if (this.#leadership) {
			this.#leadership.handleTick(this.#now, this.#commitIndex);
			if (this.#leadership.hasLostQuorum(this.#now)) {
				this.#becomeFollower(undefined);
			}
		} else if (this.#election.isDue(this.#now, random) && this.#canCampaign()) {
			this.#startPreVote();
		}
	}

	#canCampaign(): boolean {
		return !this.#joining.isPending && this.voters.includes(this.#options.peer);
	}

	#handleMessage(from: ids.PeerId, message: types.ConsensusMessage): void {
		switch (message.type) {
			case 'preVote':
			case 'vote': {
				this.#handleVoteRequest(from, message);
				return;
			}

			case 'preVoteReply':
			case 'voteReply': {
				this.#handleVoteReply(from, message);
				return;
			}

			case 'append':
			case 'installSnapshot': {
				this.#handleLeaderMessage(from, message);
				return;
			}

			case 'appendReply': {
				if (message.term > this.term) {
					this.#updateTerm(message.term);
				} else if (message.term === this.term) {
					this.#leadership?.handleReply(from, message);
				}

				return;
			}

			case 'joinRequest': {
				this.#handleJoinRequest(from, message.incarnation);
				return;
			}

			case 'joinReply': {
				this.#joining.handleReply(from, message.incarnation);
				this.#tryFound();
				return;
			}
		}

		assertNever(message);
	}

	#startPreVote(): void {
		this.#leader = undefined;
		this.#election.start('preVote', this.#now);
		this.#sendVoteRequests('preVote', this.term + 1);
		this.#addVote(this.#options.peer);
	}

	#startVote(): void {
		this.#updateTerm(this.term + 1, this.#options.peer);
		this.#election.start('vote', this.#now);
		this.#sendVoteRequests('vote', this.term);
		this.#writes.addDependent({type: 'ownVote', term: this.term});
	}

	#sendVoteRequests(type: 'preVote' | 'vote', term: number): void {
		for (const peer of this.voters) {
			if (peer !== this.#options.peer) {
				this.#sendAfterWrites(peer, {
					type,
					term,
					lastIndex: this.#log.lastIndex,
					lastTerm: this.#log.lastTerm,
				});
			}
		}
	}

	#handleVoteRequest(
		from: ids.PeerId,
		message: Extract<types.ConsensusMessage, {type: 'preVote' | 'vote'}>,
	): void {
		const isSticky =
			this.#options.faults?.isStickinessOff !== true &&
			(this.#leadership !== undefined || this.#election.isSticky(this.#now));
		if (this.#joining.isPending || isSticky) {
			return;
		}

		if (message.type === 'vote' && message.term > this.term) {
			this.#updateTerm(message.term);
		}

		const isUpToDate = this.#log.isCoveredBy(
			message.lastIndex,
			message.lastTerm,
		);
		if (message.type === 'preVote') {
			const granted = isUpToDate && message.term > this.term;
			const term = granted ? message.term : this.term;
			this.#sendAfterWrites(from, {type: 'preVoteReply', term, granted});
			return;
		}

		const {votedFor} = this.#hardState;
		const granted =
			isUpToDate &&
			message.term === this.term &&
			(votedFor === undefined || votedFor === from);
		if (granted) {
			this.#setHardState({term: this.term, votedFor: from});
			this.#election.resetTimer(this.#now);
		}

		this.#sendAfterWrites(from, {type: 'voteReply', term: this.term, granted});
	}

	#handleVoteReply(
		from: ids.PeerId,
		message: Extract<
			types.ConsensusMessage,
			{type: 'preVoteReply' | 'voteReply'}
		>,
	): void {
		if (!message.granted) {
			this.#updateTerm(message.term);
			return;
		}

		const isPreVote = message.type === 'preVoteReply';
		const isCurrent =
			this.#election.phase === (isPreVote ? 'preVote' : 'vote') &&
			message.term === (isPreVote ? this.term + 1 : this.term);
		if (isCurrent) {
			this.#addVote(from);
		}
	}

	#addVote(voter: ids.PeerId): void {
		if (!this.#election.addVote(voter, this.voters)) {
			return;
		}

		if (this.#election.phase === 'preVote') {
			this.#startVote();
		} else {
			this.#becomeLeader();
		}
	}

	#becomeLeader(): void {
		this.#election.stop();
		this.#leader = this.#options.peer;
		this.#leadership = new leadership.Leadership(
			{
				self: this.#options.peer,
				term: this.term,
				log: this.#log,
				writes: this.#writes,
				send: (to, message) => {
					this.#send(to, message);
				},
			},
			this.#now,
		);
	}

	/** Gives up leadership or candidacy in the present term. */
	#becomeFollower(leader: ids.PeerId | undefined): void {
		for (const proposal of this.#leadership?.takeProposals() ?? []) {
			this.#effects.push({type: 'proposalLost', proposal, mayHaveRun: true});
		}

		this.#leadership = undefined;
		this.#election.stop();
		this.#election.resetTimer(this.#now);
		this.#leader = leader;
	}

	#updateTerm(term: number, votedFor?: ids.PeerId): void {
		if (term <= this.term) {
			return;
		}

		this.#becomeFollower(undefined);
		this.#setHardState({term, votedFor});
	}

	/** A joining peer keeps its term in memory only: a stored term makes it a voter. */
	#setHardState(hardState: types.HardState): void {
		this.#hardState = hardState;
		if (!this.#joining.isPending) {
			this.#writes.addHardState(hardState);
		}
	}

	#handleLeaderMessage(from: ids.PeerId, message: replica.LeaderMessage): void {
		if (!this.#joining.isAccepted(message.joining)) {
			return;
		}

		if (message.term < this.term) {
			this.#sendAfterWrites(from, {
				type: 'appendReply',
				term: this.term,
				success: false,
				matchIndex: 0,
				round: message.round,
			});
			return;
		}

		this.#updateTerm(message.term);
		if (this.#election.phase !== 'idle') {
			this.#becomeFollower(from);
		}

		this.#leader = from;
		this.#election.recordLeader(this.#now);
		const outcome = replica.applyLeaderMessage(
			this.#log,
			this.#writes,
			message as replica.LeaderMessage<Command>,
			this.#commitIndex,
		);
		if (outcome.joined?.incarnation === this.#options.incarnation) {
			this.#tryCompleteJoin(outcome.joined.peer, from);
		}

		this.#replyToLeader(from, message, outcome);
		this.#commit(outcome.commitIndex);
	}

	#replyToLeader(
		to: ids.PeerId,
		message: replica.LeaderMessage,
		outcome: replica.Outcome,
	): void {
		const reply = {
			type: 'appendReply',
			term: this.term,
			success: outcome.success,
			matchIndex: outcome.matchIndex,
			round: message.round,
		} as const;
		if (outcome.hasWritten || !this.#writes.isHardStateSynced) {
			this.#sendAfterWrites(to, reply);
			return;
		}

		// A heartbeat is answered while entries are being synced, so that a slow disk does not
		// look like a lost peer.
		const {syncedIndex} = this.#writes;
		this.#send(to, {
			...reply,
			matchIndex: Math.min(reply.matchIndex, syncedIndex),
		});
	}

	#tryCompleteJoin(peer: ids.PeerId, leader: ids.PeerId): void {
		if (this.#joining.isPending && peer === this.#options.peer) {
			this.#joining.complete();
			this.#setHardState({term: this.term, votedFor: leader});
		}
	}

	#tryFound(): void {
		if (this.#joining.canFoundNow && this.#log.lastIndex === 0) {
			this.#joining.complete();
			this.#setHardState({term: joining.foundingTerm, votedFor: undefined});
		}
	}

	#handleJoinRequest(from: ids.PeerId, incarnation: number): void {
		this.#leadership?.handleJoinRequest(from, incarnation);
		const isWithoutState =
			this.#log.lastIndex === 0 &&
			this.term <= joining.foundingTerm &&
			this.#hardState.votedFor === undefined &&
			!this.#options.stored.isDataLost;
		if (isWithoutState) {
			this.#send(from, {type: 'joinReply', incarnation});
		}
	}

	#handleProposal(proposal: number, command: Command): void {
		if (this.#leadership) {
			this.#leadership.addProposal(proposal, command);
		} else {
			this.#effects.push({type: 'proposalLost', proposal, mayHaveRun: false});
		}
	}

	#handleCompact(index: number, state: unknown): void {
		if (index > this.#log.baseIndex && index <= this.#appliedIndex) {
			const snapshot = this.#log.makeSnapshot(index, state);
			this.#log.restore(snapshot);
			this.#writes.addSnapshot(snapshot);
		}
	}

	#runDependents(dependents: readonly writeQueue.Dependent[]): void {
		for (const dependent of dependents) {
			if (dependent.type === 'send') {
				this.#effects.push(dependent);
			} else if (
				dependent.term === this.term &&
				this.#election.phase === 'vote'
			) {
				this.#addVote(this.#options.peer);
			}
		}
	}

	#commit(index: number): void {
		if (index <= this.#commitIndex) {
			return;
		}

		this.#commitIndex = index;
		const {snapshot} = this.#log;
		if (snapshot && snapshot.index > this.#appliedIndex) {
			this.#appliedIndex = snapshot.index;
			this.#effects.push({type: 'restore', snapshot});
		}

		while (this.#appliedIndex < this.#commitIndex) {
			this.#appliedIndex++;
			const entry = this.#log.getEntry(this.#appliedIndex)!;
			const proposal = this.#leadership?.takeProposal(this.#appliedIndex);
			this.#effects.push(
				proposal === undefined
					? {type: 'applied', entry}
					: {type: 'applied', entry, proposal},
			);
		}
	}

	#finishStep(): void {
		if (this.#leadership) {
			this.#commit(this.#leadership.computeCommitIndex());
			if (this.#leadership.isRemoved(this.#commitIndex)) {
				this.#becomeFollower(undefined);
			}
		}

		this.#leadership?.advance(this.#now, this.#commitIndex);
		const {write, ready} = this.#writes.takeBatch(this.#log.lastIndex);
		if (write) {
			this.#effects.push({
				type: 'write',
				write: write.number,
				data: write.data,
			});
		}

		this.#runDependents(ready);
		this.#reportRole();
	}

	#reportRole(): void {
		const {role, term, leader} = this;
		const report = `${role} ${term} ${leader}`;
		if (report !== this.#reported) {
			this.#reported = report;
			this.#effects.push({type: 'roleChanged', role, term, leader});
		}
	}

	#send(to: ids.PeerId, message: types.ConsensusMessage): void {
		this.#effects.push({type: 'send', to, message});
	}

	#sendAfterWrites(to: ids.PeerId, message: types.ConsensusMessage): void {
		if (this.#options.faults?.isWriteOrderOff) {
			this.#send(to, message);
		} else {
			this.#writes.addDependent({type: 'send', to, message});
		}
	}
}
