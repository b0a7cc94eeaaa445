/**
 * Callers of a run: sessions with think times (closed loop) and floods (open loop). They give up on
 * a request shortly after its deadline and reconnect when their entry is lost.
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

/** Time after which a caller notices that its entry is silent and connects to another one. */
const reconnectDelayMs = 1000;

/** How long after the deadline a caller still waits for the answer. */
const deadlineGraceMs = 200;

/** Requests of one member and rank that callers offer. */
export type Workload = {
	readonly rank: types.Rank;
	readonly member: ids.MemberId;
	readonly writeShare: number;
	/** Tolerated staleness of the reads, in ms. */
	readonly stalenessMs: number;
	readonly deadlineMs: number;
	readonly meanServiceMs: number;
	/** Offered load in requests per second over all groups. */
	readonly perSecond: number;
	/**
	 * Mean think time between the requests of a closed loop. Without it the workload is an open loop,
	 * which does not wait for answers.
	 */
	readonly thinkMs?: number;
	/**
	 * Makes each session of a closed loop repeat one write, one immediate read, and this many reads
	 * after think times.
	 */
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

	start(workload: Workload, random: RandomStream): void {
		const {simulation} = this.#options;
		simulation.schedule(workload.fromMs, () => {
			if (workload.thinkMs === undefined) {
				this.#startOpenLoop(workload, random);
				return;
			}

			const count = Math.round((workload.perSecond * workload.thinkMs) / 1000);
			for (let index = 0; index < count; index++) {
				const session = this.#openSession(
					workload,
					index % this.#options.deployment.groups.length,
					random,
				);
				simulation.schedule(random.drawUniform() * workload.thinkMs, () => {
					this.#runClosedLoop({workload, random, session}, 0);
				});
			}
		});
	}

	/** Moves the callers of a lost VM to other entries once they have noticed the loss. */
	handleVmLoss(vm: number, random: RandomStream): void {
		this.#removedVms.add(vm);
		this.#options.simulation.schedule(reconnectDelayMs, () => {
			for (const session of this.#sessions) {
				if (session.vm === vm) {
					session.vm = this.#chooseVm(random);
					session.reconnects++;
				}
			}
		});
	}

	/** Each arrival uses an idle session of a random group, or opens one. */
	#startOpenLoop(workload: Workload, random: RandomStream): void {
		const {simulation, deployment} = this.#options;
		const idleSessions: BenchSession[][] = deployment.groups.map(() => []);
		const sendNext = () => {
			if (simulation.now >= workload.untilMs) {
				return;
			}

			const groupIndex = random.drawIndex(idleSessions.length);
			const kind =
				random.drawUniform() < workload.writeShare ? 'write' : 'read';
			const session =
				idleSessions[groupIndex].pop() ??
				this.#openSession(workload, groupIndex, random);
			this.#send({workload, random, session}, kind, () => {
				idleSessions[groupIndex].push(session);
			});
			simulation.schedule(
				random.drawExponential(1000 / workload.perSecond),
				sendNext,
			);
		};

		sendNext();
	}

	#runClosedLoop(caller: Caller, requestIndex: number): void {
		const {simulation} = this.#options;
		const {workload, random} = caller;
		if (simulation.now >= workload.untilMs) {
			return;
		}

		const readCount = workload.readsAfterWrite;
		const isWrite =
			readCount === undefined
				? random.drawUniform() < workload.writeShare
				: requestIndex % (readCount + 2) === 0;
		this.#send(caller, isWrite ? 'write' : 'read', () => {
			const thinkMs =
				isWrite && readCount !== undefined
					? 0
					: random.drawExponential(workload.thinkMs!);
			simulation.schedule(thinkMs, () => {
				this.#runClosedLoop(caller, requestIndex + 1);
			});
		});
	}

	#send(
		caller: Caller,
		kind: 'read' | 'write',
		handleFinished: () => void,
	): void {
		const {simulation, system, recorder, deployment} = this.#options;
		const {workload, session, random} = caller;
		const request: BenchRequest = {
			session,
			rank: workload.rank,
			kind,
			stalenessMs: workload.stalenessMs,
			issuedAt: simulation.now,
			deadlineAt: simulation.now + workload.deadlineMs,
			serviceMs: random.drawServiceTime(workload.meanServiceMs),
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
			handleFinished();
		};

		recorder.recordRequest(request);
		const {vm} = session;
		simulation.schedule(deployment.callerLatencyMs, () => {
			if (this.#removedVms.has(vm)) {
				return;
			}

			system.submit(request, (outcome) => {
				simulation.schedule(deployment.callerLatencyMs, () => {
					finish(outcome);
				});
			});
		});
		// The session is unusable until the entry has answered, so the caller reconnects.
		simulation.schedule(workload.deadlineMs + deadlineGraceMs, () => {
			if (!isSettled) {
				session.reconnects++;
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
			reconnects: 0,
		};
		this.#sessions.push(session);
		return session;
	}

	#chooseVm(random: RandomStream): number {
		const vms = this.#options.deployment.vms
			.map((_, vm) => vm)
			.filter((vm) => !this.#removedVms.has(vm));
		return vms[random.drawIndex(vms.length)];
	}
}

type Caller = {
	readonly workload: Workload;
	readonly random: RandomStream;
	readonly session: BenchSession;
};
