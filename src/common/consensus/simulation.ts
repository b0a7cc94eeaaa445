/**
 * A group of consensus reducers on the fake network and disks. Each peer has its own clock; the
 * simulation delivers events and checks the safety properties after every step.
 */
import type * as ids from '../ids.js';
import {assertNever} from '../assert-never.js';
import type * as types from './types.js';
import * as consensus from './consensus.js';
import * as fakeNetwork from './fake-network.js';
import * as safetyChecks from './safety-checks.js';

/** Commands are numbers, each proposed once. */
export type Command = number;

/** Interval at which the simulation delivers messages and writes, in ms. */
const stepIntervalMs = 2;

/** Interval between the ticks of one peer, in ms. */
const tickIntervalMs = 10;

/** One control peer and its disk. */
export type SimulatedPeer = {
	readonly id: ids.PeerId;
	readonly disk: fakeNetwork.SimulatedDisk<Command>;
	/** Undefined while the process is down. */
	process: consensus.Consensus<Command> | undefined;
	/** State of the replicated state machine. */
	machine: safetyChecks.MachineState;
	/** Rate of the clock relative to simulated time. */
	readonly clockRate: number;
	readonly clockOffsetMs: number;
	/** Simulated time until which the process handles no events, in ms. */
	frozenUntil: number;
	restartAt: number;
	nextTickAt: number;
};

export type SimulationOptions = {
	readonly peers: readonly ids.PeerId[];
	/** Defaults to all peers. */
	readonly initialVoters?: readonly ids.PeerId[];
	readonly seed: number;
	/** See `ConsensusOptions`; holds for the first instance of each peer only. */
	readonly isFirstStart?: boolean;
	readonly faults?: consensus.FaultInjection;
	/** Creates the disk of each peer; a `FakeDisk` by default. */
	readonly createDisk?: (
		random: fakeNetwork.Random,
	) => fakeNetwork.SimulatedDisk<Command>;
};

/** Runs peers in simulated time. */
export class Simulation {
	readonly random: fakeNetwork.Random;
	readonly network: fakeNetwork.FakeNetwork<types.ConsensusMessage>;
	readonly peers: readonly SimulatedPeer[];
	readonly checks = new safetyChecks.SafetyChecks();
	now = 0;
	readonly #options: SimulationOptions;
	readonly #receivedMessages = new Map<
		ids.PeerId,
		Array<{from: ids.PeerId; message: types.ConsensusMessage}>
	>();

	/** Last incarnation before the loss of a disk, for each peer whose return is not committed. */
	readonly #incarnationsAtLoss = new Map<ids.PeerId, number>();
	#lastIncarnation = 0;
	#lastProposal = 0;

	constructor(options: SimulationOptions) {
		this.#options = options;
		this.random = fakeNetwork.makeRandom(options.seed);
		this.network = new fakeNetwork.FakeNetwork(this.random);
		this.peers = options.peers.map((id) => this.#makePeer(id));
		for (const peer of this.peers) {
			this.start(peer);
		}
	}

	/** The peer that leads in the highest term; undefined when there is no leader. */
	get leader(): SimulatedPeer | undefined {
		return this.peers
			.filter((peer) => peer.process?.role === 'leader')
			.sort((left, right) => right.process!.term - left.process!.term)[0];
	}

	readClock(peer: SimulatedPeer): number {
		return peer.clockOffsetMs + this.now * peer.clockRate;
	}

	/** Advances simulated time. */
	run(durationMs: number, beforeStep?: () => void): void {
		for (const _ of this.runSteps(durationMs, beforeStep)) {
			// The disks need no time between the steps.
		}
	}

	/** Advances simulated time; yields after each step, for disks that work in between. */
	*runSteps(durationMs: number, beforeStep?: () => void): Generator<void> {
		const end = this.now + durationMs;
		while (this.now < end) {
			this.now += stepIntervalMs;
			beforeStep?.();
			this.#runStep();
			yield;
		}
	}

	/** Passes an event to a running peer and applies the effects. */
	step(peer: SimulatedPeer, event: types.ConsensusEvent<Command>): void {
		const effects = peer.process?.step(event) ?? [];
		for (const effect of effects) {
			this.#applyEffect(peer, effect);
		}
	}

	/** Proposes a new command to a peer and returns it. */
	propose(peer: SimulatedPeer): Command {
		this.#lastProposal++;
		const command = this.#lastProposal;
		const now = this.readClock(peer);
		this.step(peer, {type: 'propose', now, proposal: command, command});
		return command;
	}

	changeVoters(peer: SimulatedPeer, voters: readonly ids.PeerId[]): void {
		this.step(peer, {
			type: 'changeVoters',
			now: this.readClock(peer),
			voters,
		});
	}

	/** Replaces the log of a peer up to its last applied entry with a snapshot. */
	storeSnapshot(peer: SimulatedPeer): void {
		const {index} = peer.machine;
		const now = this.readClock(peer);
		this.step(peer, {type: 'compact', now, index, state: peer.machine});
	}

	/** Ends the process of a peer; it starts again after `downMs`. */
	crash(peer: SimulatedPeer, downMs: number): void {
		peer.process = undefined;
		peer.disk.crash();
		peer.restartAt = this.now + downMs;
		this.#receivedMessages.delete(peer.id);
	}

	/** Loses the disk of a stopped peer. */
	clearDisk(peer: SimulatedPeer): void {
		peer.disk.clear();
		this.#incarnationsAtLoss.set(peer.id, this.#lastIncarnation);
	}

	/** Tells whether a peer has everything again that it may have lost with its disk. */
	isRepaired(peer: SimulatedPeer): boolean {
		const isVoter = peer.disk.load().hardState.term > 0;
		return isVoter && !this.#incarnationsAtLoss.has(peer.id);
	}

	start(peer: SimulatedPeer): void {
		this.#lastIncarnation++;
		peer.machine = safetyChecks.initialMachineState;
		const isFirstInstance = this.#lastIncarnation <= this.peers.length;
		const {isFirstStart = false} = this.#options;
		const stored = peer.disk.load();
		peer.process = new consensus.Consensus<Command>({
			peer: peer.id,
			initialVoters: this.#options.initialVoters ?? this.#options.peers,
			stored:
				isFirstStart && !isFirstInstance && stored.hardState.term === 0
					? {...stored, isDataLost: true}
					: stored,
			incarnation: this.#lastIncarnation,
			isFirstStart: isFirstStart && isFirstInstance,
			faults: this.#options.faults,
		});
	}

	#getPeer(id: ids.PeerId): SimulatedPeer | undefined {
		return this.peers.find((peer) => peer.id === id);
	}

	#makePeer(id: ids.PeerId): SimulatedPeer {
		return {
			id,
			disk:
				this.#options.createDisk?.(this.random) ??
				new fakeNetwork.FakeDisk(this.random),
			process: undefined,
			machine: safetyChecks.initialMachineState,
			// The rates of two clocks differ by less than the drift bound of 1%.
			clockRate: 0.996 + this.random() * 0.008,
			clockOffsetMs: this.random() * 1000,
			frozenUntil: 0,
			restartAt: 0,
			nextTickAt: this.random() * tickIntervalMs,
		};
	}

	#runStep(): void {
		for (const {from, to, message} of this.network.takeDueDeliveries(
			this.now,
		)) {
			if (this.#getPeer(to)?.process) {
				const queue = this.#receivedMessages.get(to) ?? [];
				queue.push({from, message});
				this.#receivedMessages.set(to, queue);
			}
		}

		for (const peer of this.peers) {
			if (!peer.process && peer.restartAt <= this.now && peer.disk.isReady) {
				this.start(peer);
			}

			if (peer.process && peer.frozenUntil <= this.now) {
				this.#runPeer(peer);
			}
		}

		this.checks.checkLeases(
			this.peers.filter((peer) =>
				peer.process?.isLeaderLeaseValid(this.readClock(peer)),
			),
			this.now,
		);
	}

	#runPeer(peer: SimulatedPeer): void {
		const now = this.readClock(peer);
		const space = peer.disk.takeSpaceChange();
		if (space !== undefined) {
			this.step(peer, {type: 'spaceChanged', now, space});
		}

		for (const write of peer.disk.takeSynced(this.now)) {
			this.step(peer, {type: 'written', now, write});
		}

		const messages = this.#receivedMessages.get(peer.id) ?? [];
		this.#receivedMessages.delete(peer.id);
		for (const {from, message} of messages) {
			this.step(peer, {type: 'message', now, from, message});
		}

		if (peer.nextTickAt <= this.now) {
			peer.nextTickAt = this.now + tickIntervalMs;
			this.step(peer, {type: 'tick', now, random: this.random()});
		}
	}

	/** Marks a peer as repaired once its return as a voter is committed. */
	#recordRepair({payload}: types.LogEntry<Command>): void {
		const joined = payload.type === 'voters' ? payload.joined : undefined;
		const incarnationAtLoss =
			joined && this.#incarnationsAtLoss.get(joined.peer);
		if (
			incarnationAtLoss !== undefined &&
			(joined?.incarnation ?? 0) > incarnationAtLoss
		) {
			this.#incarnationsAtLoss.delete(joined!.peer);
		}
	}

	#applyEffect(
		peer: SimulatedPeer,
		effect: types.ConsensusEffect<Command>,
	): void {
		switch (effect.type) {
			case 'send': {
				this.network.send(this.now, peer.id, effect.to, effect.message);
				return;
			}

			case 'write': {
				peer.disk.write(this.now, effect.write, effect.data);
				return;
			}

			case 'applied': {
				peer.machine = this.checks.checkApplied(peer, effect, this.now);
				this.#recordRepair(effect.entry);
				return;
			}

			case 'restore': {
				peer.machine = this.checks.checkRestored(effect.snapshot, this.now);
				return;
			}

			case 'proposalLost': {
				this.checks.checkProposalLost(effect, this.now);
				return;
			}

			case 'roleChanged': {
				this.checks.checkRoleChange(peer, effect, this.now);
				return;
			}
		}

		assertNever(effect);
	}
}
