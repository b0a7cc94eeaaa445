/**
 * The control role as one reducer: `step(event)` returns effects. It connects the replicated log,
 * the state machine, the operators' changes and, on the leader, leases and failover.
 */
import type * as ids from '../ids.js';
import {assertNever} from '../assert-never.js';
import type * as types from '../types.js';
import type * as messages from '../messages.js';
import type * as consensus from '../consensus/types.js';
import * as changes from './changes.js';
import * as configurationReads from './configuration-reads.js';
import type * as control from './types.js';
import * as leaders from './leader.js';
import * as machines from './machine.js';
import * as operations from './operations.js';
import * as queries from './queries.js';
import * as timing from './timing.js';

export type ControlOptions = {
	readonly peer: ids.PeerId;
	readonly log: control.ReplicatedLog;
	readonly faults?: control.FaultInjection;
	/**
	 * Stores lease holders and announcements in the log, which shortens the outage after a restart of
	 * all peers at the cost of one log entry for each new proxy or server.
	 */
	readonly recordsLeaseHolders?: boolean;
};

const consensusMessageTypes: ReadonlySet<string> = new Set<
	consensus.ConsensusMessage['type']
>([
	'preVote',
	'vote',
	'preVoteReply',
	'voteReply',
	'append',
	'appendReply',
	'installSnapshot',
	'joinRequest',
	'joinReply',
]);

function isConsensusMessage(
	message: messages.PeerMessage,
): message is consensus.ConsensusMessage {
	return consensusMessageTypes.has(message.type);
}

/** One control peer. */
export class ControlReducer {
	readonly #peer: ids.PeerId;
	readonly #log: control.ReplicatedLog;
	readonly #faults: control.FaultInjection;
	readonly #recordsLeaseHolders: boolean;
	readonly #machine = new machines.ControlMachine();
	readonly #operations: operations.Operations;
	readonly #configurationReads: configurationReads.ConfigurationReads;
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
	#snapshotIndex = 0;
	#proposalCounter = 0;
	#callCounter = 0;
	#isDraining = false;
	#healthReason = '';
	readonly #queuedLogEvents: Array<
		consensus.ConsensusEvent<control.ControlCommand>
	> = [];

	#effects: control.ControlEffect[] = [];
	#now = 0;

	constructor(options: ControlOptions) {
		this.#peer = options.peer;
		this.#log = options.log;
		this.#faults = options.faults ?? {};
		this.#recordsLeaseHolders = options.recordsLeaseHolders ?? false;
		this.#configurationReads = new configurationReads.ConfigurationReads({
			peer: options.peer,
			getLeader: () => this.#log.leader,
			isActiveLeader: () => this.#findActiveLeader() !== undefined,
			getConfiguration: () => this.#machine.configuration,
			send: (to, message) => {
				this.#send(to, message);
			},
			emit: (effect) => {
				this.#effects.push(effect);
			},
		});
		this.#operations = new operations.Operations({
			createProposalNumber: () => ++this.#proposalCounter,
			findAnswer: (change) => this.#findAnswer(change),
		});
	}

	get machine(): machines.ControlMachine {
		return this.#machine;
	}

	step(event: control.ControlEvent): control.ControlEffect[] {
		this.#effects = [];
		this.#now = event.now;
		this.#handleEvent(event);
		this.#updateLeader();
		this.#stepOperations();
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
					this.#stepLog({
						type: 'changeVoters',
						now: event.now,
						voters: this.#pendingVoters,
					});
					this.#pendingVoters = undefined;
				}

				this.#stepLog({type: 'tick', now: event.now, random: event.random});
				this.#updateLeader();
				this.#findActiveLeader()?.step(event.now);
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
				this.#stepLog({
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
				this.#stepLog({type: 'written', now: event.now, write: event.write});
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
				this.#handleChange(
					{type: 'local', operation: event.operation},
					event.change,
				);
				return;
			}

			case 'configurationReadRequested': {
				this.#configurationReads.handleRead({
					type: 'local',
					operation: event.operation,
				});
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

	#handleMessage(from: ids.PeerId, message: messages.PeerMessage): void {
		if (isConsensusMessage(message)) {
			this.#stepLog({type: 'message', now: this.#now, from, message});
		}

		if (message.type === 'renewLease') {
			this.#handleRenewal(from, message);
		}

		if (message.type === 'leaseReleased') {
			this.#leader?.handleRelease(from, message);
			this.#findActiveLeader()?.stepFailover(this.#now);
		}

		if (message.type === 'templateFetch') {
			this.#sendTemplate(from, message.member);
		}

		if (message.type === 'proposeChange') {
			this.#handleProposedChange(from, message);
		}

		if (message.type === 'changeResult') {
			this.#runActions(this.#operations.handleResult(message));
		}

		if (message.type === 'readConfiguration') {
			const {operation} = message;
			this.#configurationReads.handleRead({
				type: 'peer',
				peer: from,
				operation,
			});
		}

		if (message.type === 'configurationRead') {
			this.#configurationReads.handleResult(message);
		}
	}

	#sendTemplate(to: ids.PeerId, member: ids.MemberId): void {
		const template = this.#machine.getTemplate(member);
		if (template) {
			this.#send(to, {type: 'templatePush', template});
		}
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

	/** A forwarded change is not forwarded again, so peers that disagree on the leader form no loop. */
	#handleProposedChange(
		from: ids.PeerId,
		message: Extract<messages.OperatorMessage, {type: 'proposeChange'}>,
	): void {
		const {operation, change} = message;
		const origin = {type: 'peer', peer: from, operation} as const;
		if (this.#log.role === 'leader') {
			this.#handleChange(origin, change);
		} else {
			this.#answer(origin, {type: 'unavailable', mayHaveRun: false});
		}
	}

	#findAnswer(
		change: types.OperatorChange,
	): types.TemplateChangeResult | undefined {
		return 'type' in change
			? this.#machine.findConfigurationAnswer(change.configuration)
			: this.#machine.findAnswer(change.member, change.changeId);
	}

	#handleChange(origin: operations.Origin, change: types.OperatorChange): void {
		const answer =
			this.#findAnswer(change) ??
			('type' in change ? undefined : changes.validateChange(change));
		if (answer) {
			this.#answer(origin, answer);
		} else {
			this.#operations.add(this.#now, origin, change);
		}
	}

	#stepOperations(): void {
		const isLeader = this.#findActiveLeader() !== undefined;
		const remoteLeader =
			this.#log.leader === this.#peer ? undefined : this.#log.leader;
		this.#runActions(this.#operations.step(this.#now, isLeader, remoteLeader));
		if (this.#isDraining && this.#operations.size === 0) {
			this.#isDraining = false;
			this.#effects.push({type: 'drained'});
		}
	}

	#runActions(actions: readonly operations.OperationAction[]): void {
		for (const action of actions) {
			switch (action.type) {
				case 'propose': {
					this.#propose(action.proposal, buildCommand(action.change));
					break;
				}

				case 'send': {
					this.#send(action.to, action.message);
					break;
				}

				case 'answer': {
					this.#answer(action.origin, action.result);
					break;
				}
			}
		}
	}

	#answer(origin: operations.Origin, result: types.TemplateChangeResult): void {
		const {operation} = origin;
		if (origin.type === 'local') {
			this.#effects.push({type: 'answerTemplateChange', operation, result});
			return;
		}

		const {leader, role} = this.#log;
		this.#send(origin.peer, {
			type: 'changeResult',
			operation,
			result,
			...(role === 'leader' || leader === undefined ? {} : {leader}),
		});
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
			for (const peer of this.#machine.leaseHolders) {
				this.#send(peer, {type: 'leaderAnnounced', term});
			}
		}
	}

	#buildLeaderEnvironment(): leaders.LeaderEnvironment {
		return {
			machine: this.#machine,
			term: this.#log.term,
			faults: this.#faults,
			send: (to, message) => {
				this.#send(to, message);
			},
			propose: (command) => {
				const proposal = ++this.#proposalCounter;
				this.#groupProposals.set(proposal, command.group);
				this.#propose(proposal, command);
			},
			recordsLeaseHolders: this.#recordsLeaseHolders,
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
		this.#stepLog({type: 'propose', now: this.#now, proposal, command});
	}

	/**
	 * Steps the log. An event that arises while the effects of another one are handled is queued, so
	 * that entries are applied in order.
	 */
	#stepLog(event: consensus.ConsensusEvent<control.ControlCommand>): void {
		this.#queuedLogEvents.push(event);
		if (this.#queuedLogEvents.length > 1) {
			return;
		}

		while (this.#queuedLogEvents[0]) {
			for (const effect of this.#log.step(this.#queuedLogEvents[0])) {
				this.#handleLogEffect(effect);
			}

			this.#compactIfDue();
			this.#queuedLogEvents.shift();
		}
	}

	#compactIfDue(): void {
		const {appliedIndex} = this.#machine;
		if (appliedIndex - this.#snapshotIndex >= timing.snapshotIntervalEntries) {
			this.#snapshotIndex = appliedIndex;
			this.#queuedLogEvents.push({
				type: 'compact',
				now: this.#now,
				index: appliedIndex,
				state: this.#machine.buildState(),
			});
		}
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
				this.#snapshotIndex = effect.snapshot.index;
				return;
			}

			case 'proposalLost': {
				this.#groupProposals.delete(effect.proposal);
				this.#runActions(
					this.#operations.handleProposalLost(
						effect.proposal,
						effect.mayHaveRun,
					),
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
		if (proposal !== undefined) {
			this.#groupProposals.delete(proposal);
		}

		this.#findActiveLeader()?.handleApplied(
			this.#now,
			command,
			proposal !== undefined,
		);
		const change = findChange(command);
		if (change && result) {
			this.#runActions(this.#operations.handleApplied(change, result));
		}
	}

	#updateHealth(): void {
		const isReady = !this.#isDraining && this.#log.leader !== undefined;
		const reason = this.#isDraining
			? 'draining'
			: isReady
				? 'ready'
				: 'no control leader known';
		if (reason !== this.#healthReason) {
			this.#healthReason = reason;
			this.#effects.push({type: 'setHealth', ready: isReady, reason});
		}
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

function buildCommand(change: types.OperatorChange): control.ControlCommand {
	return 'type' in change
		? {type: 'setConfiguration', configuration: change.configuration}
		: {type: 'changeTemplate', change};
}

/** Returns the operator's change that a command contains, if any. */
function findChange(
	command: control.ControlCommand,
): types.OperatorChange | undefined {
	if (command.type === 'setConfiguration') {
		return {type: 'configuration', configuration: command.configuration};
	}

	return command.type === 'changeTemplate' ? command.change : undefined;
}
