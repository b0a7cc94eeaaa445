/**
 * Emulated database servers with a limited number of concurrent statements and asynchronous
 * replication with a lag. `EmulatedUpstream` emulates the time that a connection takes to open.
 */
import type * as types from '../common/types.js';
import type {Deployment} from './deployment.js';
import type {BenchRequest} from './types.js';
import type {Simulation} from './simulation.js';

/** Minimum number of commits kept per group; the past state of a replica is computed from them. */
const minKeptCommits = 200_000;

/** Offset and staleness of the state that a read saw or a write produced. */
export type ExecutionResult = {
	readonly offset: number;
	readonly stalenessMs: number;
};

/** The commits of one group, numbered from 1; the number is the offset after the commit. */
export class GroupLog {
	#commitTimes: number[] = [];
	/** Offset of the first kept commit. */
	#firstOffset = 1;

	get offset(): number {
		return this.#firstOffset + this.#commitTimes.length - 1;
	}

	appendCommit(now: number): number {
		this.#commitTimes.push(now);
		if (this.#commitTimes.length > 2 * minKeptCommits) {
			this.#commitTimes = this.#commitTimes.slice(minKeptCommits);
			this.#firstOffset += minKeptCommits;
		}

		return this.offset;
	}

	/** Returns the offset that the log had reached at a time. */
	findOffset(at: number): number {
		let low = 0;
		let high = this.#commitTimes.length;
		while (low < high) {
			const middle = (low + high) >> 1;
			if (this.#commitTimes[middle] <= at) {
				low = middle + 1;
			} else {
				high = middle;
			}
		}

		return this.#firstOffset + low - 1;
	}

	/** Returns the staleness of data at `offset`: the time since the next commit, or 0 without one. */
	computeStaleness(offset: number, now: number): number {
		const next = this.#commitTimes[offset + 1 - this.#firstOffset];
		return next === undefined ? 0 : now - next;
	}
}

/** One server. Statements beyond its slots wait in arrival order. */
export class EmulatedServer {
	readonly role: types.UpstreamRole;
	readonly dataCentre: number;
	readonly log: GroupLog;
	/** Slot time in ms by rank, counted when a statement ends. */
	readonly slotTimeMs: Record<types.Rank, number> = {
		urgent: 0,
		normal: 0,
		background: 0,
	};

	/** True while slot time is counted. */
	isMeasuring = false;
	readonly #simulation: Simulation;
	readonly #slots: number;
	readonly #lagMs: number;
	readonly #waitQueue: Array<() => void> = [];
	#busySlots = 0;

	constructor(options: {
		readonly simulation: Simulation;
		readonly deployment: Deployment;
		readonly role: types.UpstreamRole;
		readonly dataCentre: number;
		readonly log: GroupLog;
		readonly lagMs: number;
	}) {
		this.#simulation = options.simulation;
		this.#slots = options.deployment.slots;
		this.#lagMs = options.lagMs;
		this.role = options.role;
		this.dataCentre = options.dataCentre;
		this.log = options.log;
	}

	/** The offset that reads see now. */
	getAppliedOffset(): number {
		return this.role === 'primary'
			? this.log.offset
			: this.log.findOffset(this.#simulation.now - this.#lagMs);
	}

	/** Executes a statement on an open connection. */
	execute(
		request: BenchRequest,
		done: (result: ExecutionResult) => void,
	): void {
		const start = () => {
			this.#busySlots++;
			this.#simulation.schedule(request.serviceMs, () => {
				this.#busySlots--;
				if (this.isMeasuring) {
					this.slotTimeMs[request.rank] += request.serviceMs;
				}

				done(this.#finish(request));
				if (this.#busySlots < this.#slots) {
					this.#waitQueue.shift()?.();
				}
			});
		};

		if (this.#busySlots < this.#slots) {
			start();
		} else {
			this.#waitQueue.push(start);
		}
	}

	/** A read returns the state at its end; the state at its start was at least as old. */
	#finish(request: BenchRequest): ExecutionResult {
		const {now} = this.#simulation;
		if (request.kind === 'write') {
			return {offset: this.log.appendCommit(now), stalenessMs: 0};
		}

		const offset = this.getAppliedOffset();
		return {offset, stalenessMs: this.log.computeStaleness(offset, now)};
	}
}

/** Builds the servers of all groups: `servers[group][data centre]`. */
export function buildServers(
	simulation: Simulation,
	deployment: Deployment,
	lagMs: number,
): EmulatedServer[][] {
	return deployment.groups.map((_, groupIndex) => {
		const log = new GroupLog();
		return deployment.dataCentres.map(
			(_name, dataCentre) =>
				new EmulatedServer({
					simulation,
					deployment,
					role:
						dataCentre === groupIndex % deployment.dataCentres.length
							? 'primary'
							: 'replica',
					dataCentre,
					log,
					lagMs,
				}),
		);
	});
}
