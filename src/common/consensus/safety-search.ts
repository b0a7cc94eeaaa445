/**
 * A randomized search for violations of the safety properties: runs a group under faults that
 * are drawn from a seed, then stops the faults and checks that the group recovers.
 */
import type * as ids from '../ids.js';
import type * as consensus from './consensus.js';
import * as fakeNetwork from './fake-network.js';
import * as safetyChecks from './safety-checks.js';
import * as simulation from './simulation.js';

export type SearchOptions = {
	readonly seed: number;
	readonly peerCount: number;
	/** Safety rules of the reducer to disable. */
	readonly faults?: consensus.FaultInjection;
	/** Disks refuse writes for some time, several at once as well. */
	readonly fillsDisks?: boolean;
	/** See `SimulationOptions`. */
	readonly createDisk?: simulation.SimulationOptions['createDisk'];
};

/** Coverage of one run; a run that commits nothing proves nothing. */
export type RunReport = {
	readonly applied: number;
	readonly crashes: number;
	readonly lostDisks: number;
	readonly voterChanges: number;
	readonly snapshots: number;
	readonly fullDisks: number;
};

/** Duration of the phase with faults, in ms. */
const faultPhaseMs = 15_000;

/** Duration of the phase without faults, in ms; every peer must have caught up at its end. */
const recoveryPhaseMs = 12_000;

/** Shortest and longest mean interval of each kind of action, in ms; each run draws its own. */
const meanIntervalRangesMs = {
	crash: [500, 5000],
	powerLoss: [1000, 6000],
	freeze: [500, 5000],
	partition: [500, 5000],
	cutLink: [100, 3000],
	heal: [200, 1000],
	loseDisk: [500, 5000],
	changeVoters: [200, 3000],
	snapshot: [300, 3000],
	propose: [3, 1000],
	changeLoad: [300, 2000],
	changeNetwork: [500, 5000],
	changeDisks: [500, 5000],
} as const;

/**
 * Kinds that are not left out at random; of `loseDisk` and `changeVoters`, each run has only one. Each
 * other kind is left out of half of the runs, because one kind of fault often masks the violations
 * that another one would reveal.
 */
const alwaysEnabledKinds: ReadonlySet<string> = new Set([
	'heal',
	'propose',
	'changeLoad',
	'loseDisk',
	'changeVoters',
]);

/** Mean interval between two disks that become full, in ms. */
const fillIntervalMs = 700;

const maxFullMs = 3000;
const maxDownMs = 1500;
const maxFreezeMs = 2000;

/** Simulated time between two draws, in ms; equal to the step interval of the simulation. */
const drawIntervalMs = 2;

type ActionKind = keyof typeof meanIntervalRangesMs;

class SearchRun {
	readonly #simulation: simulation.Simulation;
	readonly #peerIds: readonly ids.PeerId[];
	/** Disks are lost only in runs where all peers stay voters, so that a majority keeps its data. */
	readonly #losesDisks: boolean;
	/** False at times: without proposals, a partitioned peer stays up to date and can be elected. */
	#isProposing = true;
	readonly #meanIntervalsMs = new Map<ActionKind, number>();
	readonly #counts = {
		crashes: 0,
		lostDisks: 0,
		voterChanges: 0,
		snapshots: 0,
		fullDisks: 0,
	};

	/** Separate, so that seeds give the same other faults with and without full disks. */
	readonly #diskRandom: fakeNetwork.Random | undefined;
	/** When each full disk has space again. */
	readonly #fullUntil = new Map<ids.PeerId, number>();

	constructor(options: SearchOptions) {
		this.#peerIds = Array.from(
			{length: options.peerCount},
			(_, index) => `control-${index + 1}` as ids.PeerId,
		);
		this.#simulation = new simulation.Simulation({
			peers: this.#peerIds,
			seed: options.seed,
			faults: options.faults,
			...(options.createDisk ? {createDisk: options.createDisk} : {}),
		});
		if (options.fillsDisks) {
			this.#diskRandom = fakeNetwork.makeRandom(-options.seed);
		}

		this.#losesDisks = this.#simulation.random() < 0.5;
		for (const [kind, [shortest, longest]] of Object.entries(
			meanIntervalRangesMs,
		)) {
			const ratio = longest / shortest;
			const interval = shortest * ratio ** this.#simulation.random();
			const isEnabled =
				this.#simulation.random() < 0.5 || alwaysEnabledKinds.has(kind);
			this.#meanIntervalsMs.set(
				kind as ActionKind,
				isEnabled ? interval : Infinity,
			);
		}
	}

	/** Runs the seed; yields after each step, for disks that work in between. */
	*runSteps(): Generator<void, RunReport> {
		// The bootstrap needs all initial voters, so faults begin after it.
		yield* this.#simulation.runSteps(1000);
		this.#changeDisks();
		yield* this.#simulation.runSteps(faultPhaseMs, () => {
			this.#tryFaults();
			this.#tryFillDisk();
		});
		this.#stopFaults();
		yield* this.#simulation.runSteps(recoveryPhaseMs, () => {
			this.#runAtRandom('propose', () => {
				this.#propose();
			});
		});
		this.#checkRecovery();
		const {appliedCount} = this.#simulation.checks;
		return {applied: appliedCount, ...this.#counts};
	}

	#tryFaults(): void {
		const {now, network, peers} = this.#simulation;
		this.#runAtRandom('propose', () => {
			if (this.#isProposing) {
				this.#propose();
			}
		});
		this.#runAtRandom('changeLoad', () => {
			this.#isProposing = this.#simulation.random() < 0.6;
		});
		this.#runAtRandom('crash', () => {
			this.#crash(this.#choosePeer());
		});
		this.#runAtRandom('powerLoss', () => {
			for (const peer of peers) {
				this.#crash(peer);
			}
		});
		this.#runAtRandom('freeze', () => {
			this.#choosePeer().frozenUntil = now + this.#chooseNumber(maxFreezeMs);
		});
		this.#runAtRandom('partition', () => {
			this.#setPartition();
		});
		this.#runAtRandom('cutLink', () => {
			this.#setLinksCut(this.#choosePeer(), this.#choosePeer(), true);
		});
		this.#runAtRandom('heal', () => {
			network.setPartition([]);
			this.#setLinksCut(this.#choosePeer(), this.#choosePeer(), false);
		});
		this.#runAtRandom('changeNetwork', () => {
			this.#changeNetwork();
		});
		this.#runAtRandom('changeDisks', () => {
			this.#changeDisks();
		});
		this.#runAtRandom('snapshot', () => {
			this.#counts.snapshots++;
			this.#simulation.storeSnapshot(this.#choosePeer());
		});
		this.#tryVoterFaults();
	}

	#tryFillDisk(): void {
		const random = this.#diskRandom;
		if (!random) {
			return;
		}

		const {now, peers} = this.#simulation;
		for (const {id, disk} of peers) {
			disk.isFull = now < (this.#fullUntil.get(id) ?? 0);
		}

		if (random() < drawIntervalMs / fillIntervalMs) {
			const {id} = peers[Math.floor(random() * peers.length)];
			this.#fullUntil.set(id, now + random() * maxFullMs);
			this.#counts.fullDisks++;
		}
	}

	#tryVoterFaults(): void {
		if (this.#losesDisks) {
			this.#runAtRandom('loseDisk', () => {
				this.#tryClearDisk(this.#choosePeer());
			});
		} else {
			this.#runAtRandom('changeVoters', () => {
				this.#changeVoters();
			});
		}
	}

	#runAtRandom(kind: ActionKind, action: () => void): void {
		if (
			this.#simulation.random() <
			drawIntervalMs / this.#meanIntervalsMs.get(kind)!
		) {
			action();
		}
	}

	#chooseNumber(limit: number): number {
		return this.#simulation.random() * limit;
	}

	#choosePeer(): simulation.SimulatedPeer {
		const {peers} = this.#simulation;
		// Faults of the leader reveal more than those of other peers, so it is chosen more often.
		const {leader} = this.#simulation;
		return leader && this.#simulation.random() < 0.3
			? leader
			: peers[Math.floor(this.#chooseNumber(peers.length))];
	}

	#propose(): void {
		const {leader} = this.#simulation;
		const peer =
			leader && this.#simulation.random() < 0.8 ? leader : this.#choosePeer();
		if (peer.process && peer.frozenUntil <= this.#simulation.now) {
			this.#simulation.propose(peer);
		}
	}

	#crash(peer: simulation.SimulatedPeer): void {
		if (peer.process) {
			this.#counts.crashes++;
			this.#simulation.crash(peer, this.#chooseNumber(maxDownMs));
		}
	}

	#tryClearDisk(peer: simulation.SimulatedPeer): void {
		const tolerated = Math.floor((this.#peerIds.length - 1) / 2);
		const unrepaired = this.#simulation.peers.filter(
			(other) => !this.#simulation.isRepaired(other),
		);
		const isTolerated =
			unrepaired.length < tolerated ||
			(unrepaired.length === tolerated && unrepaired.includes(peer));
		if (isTolerated) {
			this.#counts.lostDisks++;
			this.#simulation.crash(peer, this.#chooseNumber(maxDownMs));
			this.#simulation.clearDisk(peer);
		}
	}

	/** Cuts one direction between two peers, or both; heals both directions. */
	#setLinksCut(
		from: simulation.SimulatedPeer,
		to: simulation.SimulatedPeer,
		isCut: boolean,
	): void {
		const {network, random} = this.#simulation;
		network.setLinkCut(from.id, to.id, isCut);
		if (!isCut || random() < 0.7) {
			network.setLinkCut(to.id, from.id, isCut);
		}
	}

	#setPartition(): void {
		const side = this.#peerIds.filter(() => this.#simulation.random() < 0.5);
		this.#simulation.network.setPartition([side]);
	}

	#changeNetwork(): void {
		this.#simulation.network.faults = {
			lossRate: this.#chooseNumber(0.3),
			duplicateRate: this.#chooseNumber(0.3),
			minDelayMs: this.#chooseNumber(5),
			maxDelayMs:
				5 + this.#chooseNumber(this.#simulation.random() < 0.2 ? 800 : 60),
		};
	}

	#changeDisks(): void {
		const delayLimitMs = this.#simulation.random() < 0.5 ? 400 : 10;
		for (const {disk} of this.#simulation.peers) {
			disk.maxDelayMs = this.#chooseNumber(delayLimitMs);
		}
	}

	#changeVoters(): void {
		const {leader} = this.#simulation;
		const voters = this.#peerIds.filter(() => this.#simulation.random() < 0.7);
		if (leader && voters.length > 0) {
			this.#counts.voterChanges++;
			this.#simulation.changeVoters(leader, voters);
		}
	}

	#stopFaults(): void {
		const {network, peers} = this.#simulation;
		network.setPartition([]);
		network.faults = {
			lossRate: 0,
			duplicateRate: 0,
			minDelayMs: 1,
			maxDelayMs: 10,
		};
		for (const peer of peers) {
			for (const other of peers) {
				network.setLinkCut(peer.id, other.id, false);
			}

			peer.disk.maxDelayMs = 2;
			peer.disk.isFull = false;
			peer.frozenUntil = 0;
		}
	}

	/** Checks that the group makes progress: a stuck group would pass all safety checks. */
	#checkRecovery(): void {
		const {leader, checks, peers} = this.#simulation;
		const voters = leader?.process?.voters ?? [];
		const behind = peers.filter(
			({id, machine}) =>
				voters.includes(id) && machine.index + 100 < checks.highestIndex,
		);
		const missing = this.#losesDisks
			? this.#peerIds.filter((id) => !voters.includes(id))
			: [];
		if (!leader || behind.length > 0 || missing.length > 0) {
			const names = [...behind.map(({id}) => id), ...missing].join(', ');
			throw new safetyChecks.SafetyViolation(
				`the group did not recover: leader ${leader?.id}; lagging or missing voters: ${names}`,
			);
		}
	}
}

/**
 * Runs one seed.
 *
 * @throws A `SafetyViolation` that describes the violation, also when the group does not recover.
 */
export function runSearch(options: SearchOptions): RunReport {
	const steps = new SearchRun(options).runSteps();
	for (;;) {
		const step = steps.next();
		if (step.done) {
			return step.value;
		}
	}
}

/**
 * Runs one seed with disks that need real time.
 *
 * @param settleDisks - Resolves when the disks have done what they can.
 * @throws A `SafetyViolation` that describes the violation, also when the group does not recover.
 */
export async function runSlowSearch(
	options: SearchOptions,
	settleDisks: () => Promise<void>,
): Promise<RunReport> {
	const steps = new SearchRun(options).runSteps();
	for (;;) {
		const step = steps.next();
		if (step.done) {
			return step.value;
		}

		await settleDisks();
	}
}
