/**
 * A randomized search for violations of the safety properties: runs a group under faults that
 * are drawn from a seed, then lets it recover and checks that it does.
 */
import type * as ids from '../ids.js';
import type * as consensus from './consensus.js';
import * as safetyChecks from './safety-checks.js';
import * as simulation from './simulation.js';

export type SearchOptions = {
	readonly seed: number;
	readonly peerCount: number;
	/** Switches off a safety rule of the reducer. */
	readonly faults?: consensus.FaultInjection;
};

/** What one run exercised; a run that commits nothing shows nothing. */
export type RunReport = {
	readonly applied: number;
	readonly crashes: number;
	readonly lostDisks: number;
	readonly voterChanges: number;
	readonly snapshots: number;
};

/** Time under faults, in ms. */
const faultPhaseMs = 15_000;

/** Time without faults after which every peer must have caught up, in ms. */
const recoveryMs = 12_000;

/** Shortest and longest mean interval of each kind of fault, in ms; each run draws its own. */
const meanIntervals = {
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
 * Kinds that every run has. The others are left out of half of the runs each, because one kind
 * of fault often hides what another one would show.
 */
const constantKinds: ReadonlySet<string> = new Set([
	'heal',
	'propose',
	'changeLoad',
	'loseDisk',
	'changeVoters',
]);

const longestDownMs = 1500;
const longestFreezeMs = 2000;

/** Simulated time between two draws, in ms; equal to the step of the simulation. */
const drawMs = 2;

type Kind = keyof typeof meanIntervals;

/** One run of the search. */
class SearchRun {
	readonly #simulation: simulation.Simulation;
	readonly #peerIds: readonly ids.PeerId[];
	/** Disks are only lost while all peers are voters, so that a majority keeps its data. */
	readonly #losesDisks: boolean;
	/** Without proposals a peer that was cut off stays up to date and can be elected. */
	#isProposing = true;
	readonly #intervals = new Map<Kind, number>();
	readonly #counts = {crashes: 0, lostDisks: 0, voterChanges: 0, snapshots: 0};

	constructor(options: SearchOptions) {
		this.#peerIds = Array.from(
			{length: options.peerCount},
			(_, index) => `control-${index + 1}` as ids.PeerId,
		);
		this.#simulation = new simulation.Simulation({
			peers: this.#peerIds,
			seed: options.seed,
			faults: options.faults,
		});
		this.#losesDisks = this.#simulation.random() < 0.5;
		for (const [kind, [shortest, longest]] of Object.entries(meanIntervals)) {
			const ratio = longest / shortest;
			const interval = shortest * ratio ** this.#simulation.random();
			const isOn = this.#simulation.random() < 0.5 || constantKinds.has(kind);
			this.#intervals.set(kind as Kind, isOn ? interval : Infinity);
		}
	}

	run(): RunReport {
		// The first start needs all initial voters; faults begin after it.
		this.#simulation.run(1000);
		this.#changeDisks();
		this.#simulation.run(faultPhaseMs, () => {
			this.#tryFaults();
		});
		this.#stopFaults();
		this.#simulation.run(recoveryMs, () => {
			this.#tryKind('propose', () => {
				this.#propose();
			});
		});
		this.#checkRecovery();
		const {appliedCount} = this.#simulation.checks;
		return {applied: appliedCount, ...this.#counts};
	}

	#tryFaults(): void {
		const {now, network, peers} = this.#simulation;
		this.#tryKind('propose', () => {
			if (this.#isProposing) {
				this.#propose();
			}
		});
		this.#tryKind('changeLoad', () => {
			this.#isProposing = this.#simulation.random() < 0.6;
		});
		this.#tryKind('crash', () => {
			this.#crash(this.#choosePeer());
		});
		this.#tryKind('powerLoss', () => {
			for (const peer of peers) {
				this.#crash(peer);
			}
		});
		this.#tryKind('freeze', () => {
			this.#choosePeer().frozenUntil =
				now + this.#chooseNumber(longestFreezeMs);
		});
		this.#tryKind('partition', () => {
			this.#setPartition();
		});
		this.#tryKind('cutLink', () => {
			this.#setLinksCut(this.#choosePeer(), this.#choosePeer(), true);
		});
		this.#tryKind('heal', () => {
			network.setPartition([]);
			this.#setLinksCut(this.#choosePeer(), this.#choosePeer(), false);
		});
		this.#tryKind('changeNetwork', () => {
			this.#changeNetwork();
		});
		this.#tryKind('changeDisks', () => {
			this.#changeDisks();
		});
		this.#tryKind('snapshot', () => {
			this.#counts.snapshots++;
			this.#simulation.storeSnapshot(this.#choosePeer());
		});
		this.#tryVoterFaults();
	}

	#tryVoterFaults(): void {
		if (this.#losesDisks) {
			this.#tryKind('loseDisk', () => {
				this.#tryClearDisk(this.#choosePeer());
			});
		} else {
			this.#tryKind('changeVoters', () => {
				this.#changeVoters();
			});
		}
	}

	#tryKind(kind: Kind, action: () => void): void {
		if (this.#simulation.random() < drawMs / this.#intervals.get(kind)!) {
			action();
		}
	}

	#chooseNumber(limit: number): number {
		return this.#simulation.random() * limit;
	}

	#choosePeer(): simulation.SimulatedPeer {
		const {peers} = this.#simulation;
		// Faults of the leader test more than those of other peers.
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
			this.#simulation.crash(peer, this.#chooseNumber(longestDownMs));
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
			this.#simulation.crash(peer, this.#chooseNumber(longestDownMs));
			this.#simulation.clearDisk(peer);
		}
	}

	/** Cuts or heals one direction between two peers, or both. */
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
		const slowest = this.#simulation.random() < 0.5 ? 400 : 10;
		for (const {disk} of this.#simulation.peers) {
			disk.maxDelayMs = this.#chooseNumber(slowest);
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
			peer.frozenUntil = 0;
		}
	}

	/** A group that is safe because it stands still is of no use. */
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
				`no recovery: leader ${leader?.id}, behind or missing: ${names}`,
			);
		}
	}
}

/**
 * Runs one seed.
 *
 * @throws A `SafetyViolation` that names what was seen, or when the group does not recover.
 */
export function runSearch(options: SearchOptions): RunReport {
	return new SearchRun(options).run();
}
