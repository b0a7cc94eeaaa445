/**
 * The control role as one reducer: `step(event)` returns effects. It connects the replicated log,
 * the state machine, the operators' changes and, on the leader, leases and failover.
 */
import type * as ids from '../ids.js';
import {assertNever} from '../assert-never.js';
import type * as types from '../types.js';
import type * as messages from '../messages.js';
import * as messageTypes from '../consensus/message-types.js';
import type * as consensus from '../consensus/types.js';
import type * as configurationHolders from './configuration-holders.js';
import * as configurationService from './configuration-service.js';
import * as controlHealth from './control-health.js';
import type * as control from './types.js';
import * as knownLeader from './known-leader.js';
import * as leaders from './leader.js';
import * as logDriver from './log-driver.js';
import * as machines from './machine.js';
import * as operatorChanges from './operator-changes.js';
import * as queries from './queries.js';
import * as storageLimits from './storage-limits.js';

export type ControlOptions = {
	readonly peer: ids.PeerId;
	readonly log: control.ReplicatedLog;
	readonly faults?: control.FaultInjection;
	/**
	 * Stores lease holders and announcements in the log, which shortens the outage after a restart of
	 * all peers at the cost of one log entry for each new proxy or server.
	 */
	readonly recordsLeaseHolders?: boolean;
	readonly rateLimits?: control.RateLimitOptions;
	readonly parseSynchronousReplicas?: control.SynchronousReplicasParser;
	readonly packing?: types.TextPacking;
	/** The control peers that membership knows; only this peer when it is not set. */
	readonly listControlPeers?: () => readonly configurationHolders.Holder[];
	/** Requests to the leader have higher numbers; differs between instances of the peer. */
	readonly messageNumberStart?: number;
	/** Shares of the disk; those of the smallest supported disk when it is not set. */
	readonly storageLimits?: storageLimits.StorageLimits;
};

/** One control peer. */
export class ControlReducer {
	readonly #peer: ids.PeerId;
	readonly #log: control.ReplicatedLog;
	readonly #knownLeader: knownLeader.KnownLeader;
	readonly #health: controlHealth.ControlHealth;
	readonly #logDriver: logDriver.LogDriver;
	readonly #options: ControlOptions;
	readonly #machine = new machines.ControlMachine();
	readonly #operatorChanges: operatorChanges.OperatorChanges;
	readonly #configurations: configurationService.ConfigurationService;
	readonly #listControlPeers: () => readonly configurationHolders.Holder[];
	/** Group of each proposal about a group whose outcome is pending. */
	readonly #groupProposals = new Map<number, ids.GroupId>();
	/** Announcements of servers that membership delivered; a new leader starts from them. */
	readonly #announcements = new Map<
		ids.UpstreamId,
		types.VersionedAnnouncement
	>();

	#leader: leaders.Leader | undefined;
	/** Term of the last applied entry; a leader acts once it has applied an entry of its own term. */
	#appliedTerm = 0;
	#pendingVoters: readonly ids.PeerId[] | undefined;
	#proposalCounter = 0;
	#callCounter = 0;
	#isDraining = false;
	#effects: control.ControlEffect[] = [];
	#now = 0;

	constructor(options: ControlOptions) {
		this.#peer = options.peer;
		this.#log = options.log;
		this.#knownLeader = new knownLeader.KnownLeader(options.peer, options.log);
		const limits = options.storageLimits ?? storageLimits.defaultLimits;
		this.#logDriver = new logDriver.LogDriver(
			options.log,
			this.#machine,
			limits,
			(effect) => {
				this.#handleLogEffect(effect);
			},
		);
		this.#options = options;
		const {messageNumberStart = 0} = options;
		const send = (to: ids.PeerId, message: messages.PeerMessage): void => {
			this.#send(to, message);
		};

		const emit = (effect: control.ControlEffect): void => {
			this.#effects.push(effect);
		};

		this.#health = new controlHealth.ControlHealth(emit);
		this.#listControlPeers = options.listControlPeers ?? (() => []);
		this.#configurations = new configurationService.ConfigurationService({
			peer: options.peer,
			messageNumberStart,
			packing: options.packing,
			isFollowing: () => this.#log.leader !== undefined,
			getLeader: () => this.#knownLeader.peer,
			isActiveLeader: () => this.#findActiveLeader() !== undefined,
			send,
			emit,
		});
		this.#operatorChanges = new operatorChanges.OperatorChanges({
			peer: options.peer,
			log: options.log,
			machine: this.#machine,
			messageNumberStart,
			findLeader: () => this.#knownLeader.peer,
			isActiveLeader: () => this.#findActiveLeader() !== undefined,
			maxStateBytes: limits.stateBytes,
			isStorageExhausted: () => this.#log.isStorageExhausted,
			createProposalNumber: () => ++this.#proposalCounter,
			propose: (proposal, command) => {
				this.#propose(proposal, command);
			},
			send,
			emit,
		});
	}

	get machine(): machines.ControlMachine {
		return this.#machine;
	}

	/** True while this peer leads in the consensus term and no other peer can have become leader. */
	isLeading(term: number, now: number): boolean {
		return this.#log.term === term && this.#log.isLeaderLeaseValid(now);
	}

	step(event: control.ControlEvent): control.ControlEffect[] {
		this.#effects = [];
		this.#now = event.now;
		this.#handleEvent(event);
		this.#updateLeader();
		this.#operatorChanges.step(event.now);
		if (this.#isDraining && this.#operatorChanges.size === 0) {
			this.#isDraining = false;
			this.#effects.push({type: 'drained'});
		}

		return this.#effects;
	}

	/** Requests a change of the voters; the next tick passes it to the log. */
	changeVoters(now: number, voters: readonly ids.PeerId[]): void {
		this.#now = now;
		this.#pendingVoters = voters;
	}

	/** Removes the announcement of a server that membership has not heard of for too long. */
	removeAnnouncement(server: ids.UpstreamId): void {
		this.#announcements.delete(server);
	}

	#handleEvent(event: control.ControlEvent): void {
		switch (event.type) {
			case 'tick': {
				if (this.#pendingVoters) {
					this.#logDriver.step({
						type: 'changeVoters',
						now: event.now,
						voters: this.#pendingVoters,
					});
					this.#pendingVoters = undefined;
				}

				this.#logDriver.step({
					type: 'tick',
					now: event.now,
					random: event.random,
				});
				this.#updateLeader();
				this.#findActiveLeader()?.step(event.now);
				this.#configurations.step(event.now);
				this.#updateHealth();
				return;
			}

			case 'peerMessage': {
				this.#handleMessage(event.from, event.message);
				return;
			}

			case 'announcementHeard': {
				this.#announcements.set(event.announcement.server, event.announcement);
				this.#leader?.table.addAnnouncement(event.now, event.announcement);
				return;
			}

			case 'peerConnected': {
				this.#logDriver.step({
					type: 'peerConnected',
					now: event.now,
					peer: event.peer,
				});
				if (this.#leader) {
					const {term} = this.#log;
					this.#send(event.peer, {type: 'leaderAnnounced', term});
				}

				return;
			}

			case 'written': {
				this.#logDriver.handleWritten(event);
				return;
			}

			case 'spaceChanged': {
				this.#handleSpaceChange(event);
				return;
			}

			case 'serverAnswered': {
				this.#findActiveLeader()?.handleAnswer(
					event.now,
					event.call,
					event.answer,
				);
				return;
			}

			case 'templateChangeRequested': {
				this.#operatorChanges.handleChange(
					event.now,
					{type: 'local', operation: event.operation},
					event.change,
				);
				return;
			}

			case 'configurationReadRequested': {
				this.#configurations.handleRead(event.operation);
				return;
			}

			case 'queryRequested': {
				this.#effects.push({
					type: 'answerQuery',
					operation: event.operation,
					result: queries.runQuery(event.query, {
						peer: this.#peer,
						log: this.#log,
						machine: this.#machine,
						table: this.#leader?.table,
					}),
				});
				return;
			}

			case 'drainRequested': {
				this.#isDraining = true;
				this.#updateHealth();
				return;
			}
		}

		assertNever(event);
	}

	#handleSpaceChange({
		now,
		space,
	}: Extract<control.ControlEvent, {type: 'spaceChanged'}>): void {
		this.#logDriver.step({type: 'spaceChanged', now, space});
		this.#health.setSpace(space);
		this.#logRecord(
			space === 'sufficient' ? 'info' : 'warn',
			controlHealth.describeSpace(space),
		);
		this.#updateHealth();
	}

	#handleMessage(from: ids.PeerId, message: messages.PeerMessage): void {
		if (messageTypes.isConsensusMessage(message)) {
			this.#logDriver.step({type: 'message', now: this.#now, from, message});
		}

		if (message.type === 'renewLease') {
			this.#handleRenewal(from, message);
		}

		if (message.type === 'leaderAnnounced') {
			this.#knownLeader.handleAnnouncement(from, message.term);
		}

		if (message.type === 'allowanceRequest') {
			this.#findActiveLeader()?.handleAllowance(this.#now, from, message);
		}

		if (message.type === 'leaseReleased') {
			this.#leader?.handleRelease(from, message);
			this.#findActiveLeader()?.stepFailover(this.#now);
		}

		if (message.type === 'templateFetch') {
			const template = this.#machine.getTemplate(message.member);
			if (template) {
				this.#send(from, {type: 'templatePush', template});
			}
		}

		if (message.type === 'proposeChange') {
			this.#operatorChanges.handleProposedChange(this.#now, from, message);
		}

		if (message.type === 'changeResult') {
			this.#operatorChanges.handleResult(message);
		}

		this.#configurations.handleMessage(this.#now, from, message);
	}

	#handleRenewal(
		from: ids.PeerId,
		message: Extract<messages.ControlMessage, {type: 'renewLease'}>,
	): void {
		if (this.#log.role !== 'leader') {
			this.#send(from, {
				type: 'notLeader',
				sequence: message.sequence,
				leader: this.#log.leader,
			});
			return;
		}

		this.#findActiveLeader()?.handleRenewal(this.#now, from, message);
	}

	/** Returns the `Leader` while the leader lease of this peer is valid. */
	#findActiveLeader(): leaders.Leader | undefined {
		return this.#log.isLeaderLeaseValid(this.#now) ? this.#leader : undefined;
	}

	/**
	 * Creates the `Leader` once an entry of its own term is applied, because only then are all earlier
	 * committed entries applied.
	 */
	#updateLeader(): void {
		const {role, term} = this.#log;
		if (role !== 'leader') {
			this.#leader = undefined;
			this.#groupProposals.clear();
			return;
		}

		if (this.#leader?.table.consensusTerm !== term) {
			this.#leader = undefined;
			this.#groupProposals.clear();
		}

		if (!this.#leader && this.#appliedTerm === term) {
			this.#leader = new leaders.Leader(
				this.#buildLeaderEnvironment(),
				this.#now,
			);
			for (const announcement of [
				...this.#machine.announcements.values(),
				...this.#announcements.values(),
			]) {
				this.#leader.table.addAnnouncement(this.#now, announcement);
			}

			this.#logRecord('info', `acting as leader in consensus term ${term}`);
			const listeners = this.#knownLeader.listListeners(
				this.#machine.leaseHolders,
				this.#listControlPeers(),
			);
			for (const peer of listeners) {
				this.#send(peer, {type: 'leaderAnnounced', term});
			}
		}
	}

	#buildLeaderEnvironment(): leaders.LeaderEnvironment {
		return {
			machine: this.#machine,
			term: this.#log.term,
			faults: this.#options.faults ?? {},
			self: this.#peer,
			listHolders: () => this.#knownLeader.listVoters(this.#listControlPeers()),
			send: (to, message) => {
				this.#send(to, message);
			},
			propose: (command) => {
				const proposal = ++this.#proposalCounter;
				this.#groupProposals.set(proposal, command.group);
				this.#propose(proposal, command);
			},
			recordsLeaseHolders: this.#options.recordsLeaseHolders ?? false,
			proposeRecord: (command) => {
				this.#propose(++this.#proposalCounter, command);
			},
			callServer: (server, address, request, group) =>
				this.#callServer(server, address, request, group),
			log: (message) => {
				this.#logRecord('info', message);
			},
			hasProposal: (group) =>
				[...this.#groupProposals.values()].includes(group),
			rateLimits: this.#options.rateLimits,
			parseSynchronousReplicas: this.#options.parseSynchronousReplicas,
		};
	}

	#callServer(
		server: ids.UpstreamId,
		address: string,
		request: control.ServerRequest,
		group: ids.GroupId,
	): number {
		const call = ++this.#callCounter;
		this.#effects.push({
			type: 'callServer',
			call,
			server,
			address,
			request,
			group,
			leaderTerm: this.#log.term,
		});
		return call;
	}

	#propose(proposal: number, command: control.ControlCommand): void {
		this.#logDriver.step({type: 'propose', now: this.#now, proposal, command});
	}

	#handleLogEffect(
		effect: consensus.ConsensusEffect<control.ControlCommand>,
	): void {
		switch (effect.type) {
			case 'send': {
				this.#send(effect.to, effect.message);
				return;
			}

			case 'write': {
				this.#effects.push(effect);
				return;
			}

			case 'applied': {
				this.#handleApplied(effect.entry, effect.proposal);
				return;
			}

			case 'restore': {
				this.#machine.restore(effect.snapshot.state as control.MachineState);
				this.#configurations.setConfiguration(this.#machine.configuration);
				this.#logDriver.recordSnapshot(effect.snapshot.index);
				return;
			}

			case 'proposalLost': {
				this.#groupProposals.delete(effect.proposal);
				this.#operatorChanges.handleProposalLost(
					effect.proposal,
					effect.mayHaveRun,
				);
				return;
			}

			case 'roleChanged': {
				this.#logRecord(
					'info',
					`role ${effect.role} in consensus term ${effect.term}, leader ${effect.leader ?? 'unknown'}`,
				);
				return;
			}
		}

		assertNever(effect);
	}

	#handleApplied(
		entry: consensus.LogEntry<control.ControlCommand>,
		proposal: number | undefined,
	): void {
		const {index, payload} = entry;
		this.#appliedTerm = entry.term;
		if (payload.type !== 'command') {
			this.#machine.applyEmptyEntry(index);
			return;
		}

		const {command} = payload;
		const result = this.#machine.apply(index, command);
		this.#configurations.setConfiguration(this.#machine.configuration);
		if (proposal !== undefined) {
			this.#groupProposals.delete(proposal);
		}

		this.#findActiveLeader()?.handleApplied(
			this.#now,
			command,
			proposal !== undefined,
		);
		if (result) {
			this.#operatorChanges.handleApplied(command, result);
		}
	}

	#updateHealth(): void {
		this.#health.update(
			this.#isDraining,
			this.#knownLeader.peer !== undefined,
			this.#log.joinWait,
		);
	}

	#send(to: ids.PeerId, message: messages.PeerMessage): void {
		this.#effects.push({type: 'sendPeer', to, message});
	}

	#logRecord(level: types.LogLevel, message: string): void {
		this.#effects.push({
			type: 'log',
			record: {level, part: 'control', message},
		});
	}
}
