/**
 * The naive baseline: each entry keeps a fixed pool of connections to every primary and one queue
 * in arrival order; ranks, members and deadlines are ignored, all reads go to the primary.
 */
import {getLatency, type Deployment} from './deployment.js';
import type {EmulatedServer} from './database.js';
import type {Simulation} from './simulation.js';
import type {BenchOutcome, BenchRequest, BenchSystem} from './types.js';

type QueuedRequest = {
	readonly request: BenchRequest;
	readonly done: (outcome: BenchOutcome) => void;
};

/** Connections and queue of one entry for one primary. */
type Pool = {
	freeConnections: number;
	readonly queue: QueuedRequest[];
	/** Index in `queue` of the next request to run; the requests before it stay in the array. */
	headIndex: number;
};

/** Proxies without routing and admission policies. */
export class NaiveSystem implements BenchSystem {
	readonly #simulation: Simulation;
	readonly #deployment: Deployment;
	readonly #servers: readonly EmulatedServer[][];
	/** `pools[vm][group]`. */
	readonly #pools: Pool[][];
	readonly #removedVms = new Set<number>();

	constructor(
		simulation: Simulation,
		deployment: Deployment,
		servers: readonly EmulatedServer[][],
	) {
		this.#simulation = simulation;
		this.#deployment = deployment;
		this.#servers = servers;
		const size = Math.floor(deployment.connectionLimit / deployment.vms.length);
		this.#pools = deployment.vms.map(() =>
			deployment.groups.map(() => ({
				freeConnections: size,
				queue: [],
				headIndex: 0,
			})),
		);
	}

	submit(request: BenchRequest, done: (outcome: BenchOutcome) => void): void {
		const pool = this.#pools[request.session.vm][request.session.groupIndex];
		pool.queue.push({request, done});
		this.#runNext(request.session.vm, request.session.groupIndex);
	}

	removeVm(vm: number): void {
		this.#removedVms.add(vm);
	}

	#runNext(vm: number, groupIndex: number): void {
		const pool = this.#pools[vm][groupIndex];
		const next = pool.queue[pool.headIndex];
		if (pool.freeConnections === 0 || !next || this.#removedVms.has(vm)) {
			return;
		}

		pool.freeConnections--;
		pool.headIndex++;
		const server = this.#servers[groupIndex].find(
			({role}) => role === 'primary',
		)!;
		const latencyMs = getLatency(
			this.#deployment,
			this.#deployment.vms[vm],
			server.dataCentre,
		);
		this.#simulation.schedule(latencyMs, () => {
			server.execute(next.request, (result) => {
				this.#simulation.schedule(latencyMs, () => {
					pool.freeConnections++;
					if (!this.#removedVms.has(vm)) {
						next.done({type: 'completed', servedBy: 'primary', ...result});
					}

					this.#runNext(vm, groupIndex);
				});
			});
		});
	}
}
