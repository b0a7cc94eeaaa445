/**
 * Emulated database servers: a limited number of statements at once, connections that take time to
 * open, and asynchronous replication with a lag.
 */
import type * as types from '../common/types.js';
import type {Deployment} from './deployment.js';
import type {BenchRequest} from './types.js';
import type {Simulation} from './simulation.js';

/** Commits that are kept per group to tell the state of a replica in the past. */
const maxCommits = 200_000;

/** What a statement saw. */
export type ExecutionResult = {
	readonly offset: number;
	readonly stalenessMs: number;
};

/** The commits of one group: the offset after each commit is its number. */
export class GroupLog {
	#times: number[] = [];
	/** Number of the first kept commit. */
	#first = 1;

	get offset(): number {
		return this.#first + this.#times.length - 1;
	}

	addCommit(now: number): number {
		this.#times.push(now);
		if (this.#times.length > 2 * maxCommits) {
			this.#times = this.#times.slice(maxCommits);
			this.#first += maxCommits;
		}

		return this.offset;
	}

	/** The offset that the log had reached at a time. */
	findOffset(at: number): number {
		let low = 0;
		let high = this.#times.length;
		while (low < high) {
			const middle = (low + high) >> 1;
			if (this.#times[middle] <= at) {
				low = middle + 1;
			} else {
				high = middle;
			}
		}

		return this.#first + low - 1;
	}

	/** How old data at `offset` are: the time since the next commit. */
	computeStaleness(offset: number, now: number): number {
		const next = this.#times[offset + 1 - this.#first];
		return next === undefined ? 0 : now - next;
	}
}

/** One server. Work beyond its slots waits inside it in arrival order. */
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

	/** Set while slot time is counted. */
	isMeasuring = false;
	readonly #simulation: Simulation;
	readonly #slots: number;
	readonly #lagMs: number;
	readonly #waiting: Array<() => void> = [];
	#busy = 0;

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
	run(request: BenchRequest, done: (result: ExecutionResult) => void): void {
		const start = () => {
			this.#busy++;
			this.#simulation.schedule(request.serviceMs, () => {
				this.#busy--;
				if (this.isMeasuring) {
					this.slotTimeMs[request.rank] += request.serviceMs;
				}

				done(this.#finish(request));
				if (this.#busy < this.#slots) {
					this.#waiting.shift()?.();
				}
			});
		};

		if (this.#busy < this.#slots) {
			start();
		} else {
			this.#waiting.push(start);
		}
	}

	/** A read sees the state at its end; its data were at least as old at its start. */
	#finish(request: BenchRequest): ExecutionResult {
		const {now} = this.#simulation;
		if (request.kind === 'write') {
			return {offset: this.log.addCommit(now), stalenessMs: 0};
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
