/**
 * Callers of a run: sessions with think times (closed loop) and floods (open loop). They give up
 * on a request at its deadline and reconnect when their entry is lost.
 */
import type * as ids from '../common/ids.js';
import type * as types from '../common/types.js';
import type {Deployment} from './deployment.js';
import type {RandomStream} from './random.js';
import type {Recorder} from './recorder.js';
import type {Simulation} from './simulation.js';
import type {
	BenchOutcome,
	BenchRequest,
	BenchSession,
	BenchSystem,
} from './types.js';

/** A caller notices a silent entry after this long and connects to another one. */
const reconnectMs = 1000;

/** An answer this long after the deadline is not waited for any more. */
const giveUpMs = 200;

/** One kind of work that callers offer. */
export type Workload = {
	readonly rank: types.Rank;
	readonly member: ids.MemberId;
	readonly writeShare: number;
	/** Tolerated staleness of the reads, ms. */
	readonly stalenessMs: number;
	readonly deadlineMs: number;
	readonly meanServiceMs: number;
	/** Offered load in requests per second over all groups. */
	readonly perSecond: number;
	/** Open loops do not wait for answers. Closed ones think for `thinkMs` on average between requests. */
	readonly thinkMs?: number;
	/** A closed session repeats: one write, one read at once, then this many reads after think times. */
	readonly readsAfterWrite?: number;
	readonly fromMs: number;
	readonly untilMs: number;
};

/** Callers of one run. */
export class LoadGenerator {
	readonly #options: {
		readonly simulation: Simulation;
		readonly deployment: Deployment;
		readonly system: BenchSystem;
		readonly recorder: Recorder;
	};

	readonly #removedVms = new Set<number>();
	readonly #sessions: BenchSession[] = [];

	constructor(options: {
		readonly simulation: Simulation;
		readonly deployment: Deployment;
		readonly system: BenchSystem;
		readonly recorder: Recorder;
	}) {
		this.#options = options;
	}

	/** Starts the callers of one kind of work. */
	start(workload: Workload, random: RandomStream): void {
		const {simulation} = this.#options;
		simulation.schedule(workload.fromMs, () => {
			if (workload.thinkMs === undefined) {
				this.#startOpen(workload, random);
				return;
			}

			const count = Math.round((workload.perSecond * workload.thinkMs) / 1000);
			for (let index = 0; index < count; index++) {
				const session = this.#openSession(
					workload,
					index % this.#options.deployment.groups.length,
					random,
				);
				simulation.schedule(random.getUniform() * workload.thinkMs, () => {
					this.#runClosed({workload, random, session}, 0);
				});
			}
		});
	}

	/** The VM is lost: its callers connect elsewhere after a while. */
	handleVmLoss(vm: number, random: RandomStream): void {
		this.#removedVms.add(vm);
		this.#options.simulation.schedule(reconnectMs, () => {
			for (const session of this.#sessions) {
				if (session.vm === vm) {
					session.vm = this.#chooseVm(random);
					session.connection++;
				}
			}
		});
	}

	/** Each arrival uses a free session of a random group, or a new one. */
	#startOpen(workload: Workload, random: RandomStream): void {
		const {simulation, deployment} = this.#options;
		const free: BenchSession[][] = deployment.groups.map(() => []);
		const next = () => {
			if (simulation.now >= workload.untilMs) {
				return;
			}

			const groupIndex = random.getIndex(free.length);
			const kind = random.getUniform() < workload.writeShare ? 'write' : 'read';
			const session =
				free[groupIndex].pop() ??
				this.#openSession(workload, groupIndex, random);
			this.#send({workload, random, session}, kind, () => {
				free[groupIndex].push(session);
			});
			simulation.schedule(
				random.getExponential(1000 / workload.perSecond),
				next,
			);
		};

		next();
	}

	#runClosed(caller: Caller, turn: number): void {
		const {simulation} = this.#options;
		const {workload, random} = caller;
		if (simulation.now >= workload.untilMs) {
			return;
		}

		const cycle = workload.readsAfterWrite;
		const isWrite =
			cycle === undefined
				? random.getUniform() < workload.writeShare
				: turn % (cycle + 2) === 0;
		this.#send(caller, isWrite ? 'write' : 'read', () => {
			const thinkMs =
				isWrite && cycle !== undefined
					? 0
					: random.getExponential(workload.thinkMs!);
			simulation.schedule(thinkMs, () => {
				this.#runClosed(caller, turn + 1);
			});
		});
	}

	#send(caller: Caller, kind: 'read' | 'write', next: () => void): void {
		const {simulation, system, recorder, deployment} = this.#options;
		const {workload, session, random} = caller;
		const request: BenchRequest = {
			session,
			rank: workload.rank,
			kind,
			stalenessMs: workload.stalenessMs,
			issuedAt: simulation.now,
			deadlineAt: simulation.now + workload.deadlineMs,
			serviceMs: random.getServiceTime(workload.meanServiceMs),
			floor: session.floor,
		};
		let isSettled = false;
		const finish = (outcome: BenchOutcome) => {
			if (isSettled) {
				return;
			}

			isSettled = true;
			if (outcome.type === 'completed' && kind === 'write') {
				session.floor = Math.max(session.floor, outcome.offset);
			}

			recorder.recordOutcome(request, outcome);
			next();
		};

		recorder.recordRequest(request);
		const {vm} = session;
		simulation.schedule(deployment.clientLatencyMs, () => {
			if (this.#removedVms.has(vm)) {
				return;
			}

			system.submit(request, (outcome) => {
				simulation.schedule(deployment.clientLatencyMs, () => {
					finish(outcome);
				});
			});
		});
		// The session cannot be used again before the entry has answered, so the caller reconnects.
		simulation.schedule(workload.deadlineMs + giveUpMs, () => {
			if (!isSettled) {
				session.connection++;
				finish({type: 'lost'});
			}
		});
	}

	#openSession(
		workload: Workload,
		groupIndex: number,
		random: RandomStream,
	): BenchSession {
		const session: BenchSession = {
			member: workload.member,
			groupIndex,
			vm: this.#chooseVm(random),
			floor: 0,
			connection: 0,
		};
		this.#sessions.push(session);
		return session;
	}

	#chooseVm(random: RandomStream): number {
		const vms = this.#options.deployment.vms
			.map((_, vm) => vm)
			.filter((vm) => !this.#removedVms.has(vm));
		return vms[random.getIndex(vms.length)];
	}
}

type Caller = {
	readonly workload: Workload;
	readonly random: RandomStream;
	readonly session: BenchSession;
};
