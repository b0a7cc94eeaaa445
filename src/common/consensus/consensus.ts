/**
 * One peer of the replicated log as a reducer: leader election with pre-vote, log replication,
 * voter changes one at a time, and snapshots. It uses no clock, socket or file: events carry the
 * time, and effects request sends and writes.
 *
 * A peer without state does not vote. It sends join requests to all initial voters: if all of them
 * are without state too, they bootstrap the group; otherwise the leader adds the peer again. At a certain
 * first start a majority of them is enough.
 */
import type * as ids from '../ids.js';
import {assertNever} from '../assert-never.js';
import type * as types from './types.js';
import * as commits from './commits.js';
import * as follower from './follower.js';
import * as joining from './joining.js';
import * as leadership from './leadership.js';
import * as log from './log.js';
import type * as replica from './replica.js';
import * as timing from './timing.js';
import * as voting from './voting.js';
import * as writeQueue from './write-queue.js';

/** Disables safety rules; only for tests that check that the safety search finds the violations. */
export type FaultInjection = {
	/** Voters answer vote and pre-vote requests even if they have just heard from a leader. */
	readonly isLeaderStickinessDisabled?: boolean;
	/** Messages are sent before the write that they depend on is synced. */
	readonly isWriteOrderDisabled?: boolean;
};

export type ConsensusOptions<Command> = {
	readonly peer: ids.PeerId;
	/** The voters of a group whose log is still empty. */
	readonly initialVoters: readonly ids.PeerId[];
	readonly stored: types.StoredLog<Command>;
	/** Differs at each start of the process, for example the start time in ms since the epoch. */
	readonly incarnation: number;
	/** Monotonic time at which the process started, in ms; defaults to the time of the first event. */
	readonly startedAt?: number;
	/**
	 * A proposal is rejected when the entries that are not committed, or not synced by this peer, would take
	 * more than this, in bytes; a single one may be larger. Without limit by default.
	 */
	readonly maxPendingBytes?: number;
	/**
	 * True when it is certain that the group starts for the first time: no peer whose storage is empty has
	 * ever stored anything.
	 */
	readonly isFirstStart?: boolean;
	readonly faults?: FaultInjection;
};

/** The replicated log of one peer. */
export class Consensus<Command> {
	readonly #options: ConsensusOptions<Command>;
	readonly #log: log.Log<Command>;
	readonly #writes: writeQueue.WriteQueue<Command>;
	readonly #commits: commits.CommitTracker<Command>;
	readonly #joining: joining.JoinState;
	readonly #voting: voting.Voting<Command>;
	readonly #follower: follower.Follower<Command>;
	#leadership: leadership.Leadership<Command> | undefined;
	#effects: Array<types.ConsensusEffect<Command>> = [];
	#now = Number.NEGATIVE_INFINITY;
	#leader: ids.PeerId | undefined;
	#lastRoleReport = '';
	#isStorageFull = false;
	#isStarted = false;

	constructor(options: ConsensusOptions<Command>) {
		const {stored, faults} = options;
		this.#options = options;
		this.#log = new log.Log(stored, options.initialVoters);
		this.#writes = new writeQueue.WriteQueue(
			this.#log.lastIndex,
			faults?.isWriteOrderDisabled ?? false,
		);
		this.#commits = new commits.CommitTracker(this.#log);
		this.#joining = new joining.JoinState({
			peer: options.peer,
			initialVoters: options.initialVoters,
			incarnation: options.incarnation,
			isPending: stored.hardState.term === 0,
			isBootstrapAllowed: this.#log.lastIndex === 0 && !stored.isDataLost,
			isFirstStart: options.isFirstStart ?? false,
		});
		const context = {
			self: options.peer,
			log: this.#log,
			writes: this.#writes,
			joinState: this.#joining,
			sendAfterWrites: (to: ids.PeerId, message: types.ConsensusMessage) => {
				this.#writes.addDeferredAction({type: 'send', to, message});
			},
		};
		this.#voting = new voting.Voting({
			...context,
			hardState: stored.hardState,
			isLeaderStickinessDisabled: faults?.isLeaderStickinessDisabled ?? false,
			isStorageFull: () => this.#isStorageFull,
			stopLeading: () => {
				this.#stopLeading();
			},
		});
		this.#follower = new follower.Follower({
			...context,
			incarnation: options.incarnation,
			voting: this.#voting,
			isStorageFull: () => this.#isStorageFull,
			send: (to, message) => {
				this.#send(to, message);
			},
		});
	}

	get role(): types.ConsensusRole {
		if (this.#leadership) {
			return 'leader';
		}

		return this.#voting.isCandidate ? 'candidate' : 'follower';
	}

	get term(): number {
		return this.#voting.term;
	}

	/** The leader of the current term; undefined while this peer does not know it. */
	get leader(): ids.PeerId | undefined {
		return this.#leader;
	}

	/** The voters of the latest configuration in the log, committed or not. */
	get voters(): readonly ids.PeerId[] {
		return this.#log.configuration.voters;
	}

	get commitIndex(): number {
		return this.#commits.commitIndex;
	}

	get lastIndex(): number {
		return this.#log.lastIndex;
	}

	/** True while the peer has no state of its own and therefore does not vote. */
	get isJoining(): boolean {
		return this.#joining.isPending;
	}

	/** What this peer without state waits for; undefined once it votes. */
	get joinWait(): types.JoinWait | undefined {
		if (!this.isJoining) {
			return undefined;
		}

		const {missingVoters} = this.#joining;
		return missingVoters
			? {type: 'firstStart', missingVoters}
			: {type: 'leader'};
	}

	/**
	 * Tells whether this peer may act as leader: a majority has answered an append that was sent
	 * so recently that none of these voters can have voted for another leader since.
	 *
	 * @param now - Monotonic time in ms.
	 */
	isLeaderLeaseValid(now: number): boolean {
		const leaseMs =
			timing.minElectionTimeoutMs * (1 - timing.maxRelativeClockDrift);
		return this.#leadership?.hasRecentQuorum(now, leaseMs) ?? false;
	}

	/** True while this peer leads and the disks of so many voters are full that no entry is committed. */
	get isStorageExhausted(): boolean {
		return this.#leadership?.isStorageExhausted(this.#isStorageFull) ?? false;
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
		this.#voting.recordStart(this.#options.startedAt ?? this.#now);
		this.#joining.recordStart(this.#now);
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
				this.#leadership?.setTargetVoters(event.voters);
				return;
			}

			case 'peerConnected': {
				this.#voting.handlePeerConnected(event.peer);
				this.#leadership?.handlePeerConnected(event.peer);
				return;
			}

			case 'written': {
				this.#runDeferredActions(this.#writes.complete(event.write));
				return;
			}

			case 'spaceChanged': {
				this.#isStorageFull = event.space === 'exhausted';
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
		this.#requestJoin();
		this.#tryBootstrap();
		if (this.#leadership) {
			this.#leadership.handleTick(this.#now, this.commitIndex);
			if (this.#leadership.hasLostQuorum(this.#now) || this.#canHandOver()) {
				this.#stopLeading();
			}
		} else if (
			this.#voting.isCampaignDue(this.#now, random, this.commitIndex)
		) {
			this.#leader = undefined;
			this.#becomeLeaderIfElected(this.#voting.startCampaign(this.#now));
		}
	}

	/**
	 * Tells whether the disk of this leader is full and the other voters can elect one that has space. They
	 * show it by a commit of entries that this peer could not store.
	 */
	#canHandOver(): boolean {
		return (
			this.#isStorageFull &&
			this.commitIndex > this.#writes.syncedIndex &&
			(this.#leadership?.hasOtherQuorumWithSpace(
				this.#now,
				timing.quorumLossTimeoutMs,
			) ??
				false)
		);
	}

	#handleMessage(from: ids.PeerId, message: types.ConsensusMessage): void {
		switch (message.type) {
			case 'preVote':
			case 'vote': {
				const isLeading = this.#leadership !== undefined;
				this.#voting.handleRequest(from, message, this.#now, isLeading);
				return;
			}

			case 'preVoteReply':
			case 'voteReply': {
				this.#becomeLeaderIfElected(
					this.#voting.handleReply(from, message, this.#now),
				);
				return;
			}

			case 'append':
			case 'installSnapshot': {
				this.#handleLeaderMessage(from, message);
				return;
			}

			case 'appendReply': {
				this.#voting.advanceTerm(message.term, this.#now);
				if (message.term === this.term) {
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
				this.#tryBootstrap();
				return;
			}
		}

		assertNever(message);
	}

	#becomeLeaderIfElected(isElected: boolean): void {
		if (!isElected) {
			return;
		}

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

	/** Steps down if this peer leads. Its proposals may still be committed by a later leader. */
	#stopLeading(): void {
		for (const proposal of this.#leadership?.takeProposals() ?? []) {
			this.#effects.push({type: 'proposalLost', proposal, mayHaveRun: true});
		}

		this.#leadership = undefined;
		this.#leader = undefined;
		this.#voting.stopCampaign(this.#now);
	}

	#handleLeaderMessage(from: ids.PeerId, message: replica.LeaderMessage): void {
		const commitIndex = this.#follower.handleLeaderMessage(
			from,
			message,
			this.#now,
			this.commitIndex,
		);
		if (commitIndex !== undefined) {
			this.#leader = from;
			this.#advanceCommitIndex(commitIndex);
		}
	}

	#requestJoin(): void {
		const message = {
			type: 'joinRequest',
			incarnation: this.#options.incarnation,
		} as const;
		for (const peer of this.#joining.takeDueRequests(this.#now, this.voters)) {
			this.#send(peer, message);
		}
	}

	#tryBootstrap(): void {
		if (this.#joining.canBootstrap(this.#now) && this.#log.lastIndex === 0) {
			this.#joining.complete();
			this.#voting.advanceTerm(joining.bootstrapTerm, this.#now);
		}
	}

	#handleJoinRequest(from: ids.PeerId, incarnation: number): void {
		this.#leadership?.handleJoinRequest(from, incarnation);
		const isWithoutState =
			this.#log.lastIndex === 0 &&
			this.term <= joining.bootstrapTerm &&
			this.#voting.votedFor === undefined &&
			!this.#options.stored.isDataLost;
		if (isWithoutState) {
			this.#send(from, {type: 'joinReply', incarnation});
		}
	}

	#handleProposal(proposal: number, command: Command): void {
		const {maxPendingBytes = Number.POSITIVE_INFINITY} = this.#options;
		if (this.#leadership?.canAdd(command, this.commitIndex, maxPendingBytes)) {
			this.#leadership.addProposal(proposal, command);
		} else {
			this.#effects.push({type: 'proposalLost', proposal, mayHaveRun: false});
		}
	}

	#handleCompact(index: number, state: unknown): void {
		if (index > this.#log.baseIndex && index <= this.#commits.appliedIndex) {
			const snapshot = this.#log.makeSnapshot(index, state);
			this.#log.restore(snapshot);
			this.#writes.addSnapshot(snapshot);
		}
	}

	#runDeferredActions(actions: readonly writeQueue.DeferredAction[]): void {
		for (const action of actions) {
			if (action.type === 'send') {
				this.#effects.push(action);
			} else {
				this.#becomeLeaderIfElected(
					this.#voting.handleOwnVote(action.term, this.#now),
				);
			}
		}
	}

	#advanceCommitIndex(index: number): void {
		this.#effects.push(
			...this.#commits.advanceCommitIndex(index, (applied) =>
				this.#leadership?.takeProposal(applied),
			),
		);
	}

	#finishStep(): void {
		if (this.#leadership) {
			this.#advanceCommitIndex(this.#leadership.computeCommitIndex());
			if (this.#leadership.isRemoved(this.commitIndex)) {
				this.#stopLeading();
			}
		}

		this.#leadership?.advance(this.#now, this.commitIndex);
		const {write, ready} = this.#writes.takeBatch(this.#log.lastIndex);
		if (write) {
			const {number, data} = write;
			this.#effects.push({type: 'write', write: number, data});
		}

		this.#runDeferredActions(ready);
		this.#emitRoleChange();
	}

	#emitRoleChange(): void {
		const {role, term, leader} = this;
		const report = `${role} ${term} ${leader}`;
		if (report !== this.#lastRoleReport) {
			this.#lastRoleReport = report;
			this.#effects.push({type: 'roleChanged', role, term, leader});
		}
	}

	#send(to: ids.PeerId, message: types.ConsensusMessage): void {
		this.#effects.push({type: 'send', to, message});
	}
}
