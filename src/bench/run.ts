/** Runs a load against a system in virtual time. */
import type * as ids from '../common/ids.js';
import type * as types from '../common/types.js';
import {LoadGenerator, type Workload} from './callers.js';
import {buildServers, type EmulatedServer} from './database.js';
import type {Deployment} from './deployment.js';
import {NaiveSystem} from './naive-system.js';
import {RandomStream} from './random.js';
import {Recorder} from './recorder.js';
import {ReducerSystem} from './reducer-system.js';
import {Simulation} from './simulation.js';
import type {BenchSystem} from './types.js';

/** Approximate time that the first grants, server reports and connections take. */
const startupMs = 2000;

/** Template parameters of all runs; the targets refer to these floors. */
export const benchParameters: types.TemplateParameters = {
	defaultRank: 'normal',
	stalenessMs: 0,
	maxSessions: 1_000_000,
	maxInFlight: 1_000_000,
	ranks: {
		urgent: {deadlineMs: 300, floorPercent: 40, queueLimit: 1000, weight: 1},
		normal: {deadlineMs: 1000, floorPercent: 20, queueLimit: 1000, weight: 1},
		background: {
			deadlineMs: 5000,
			floorPercent: 10,
			queueLimit: 1000,
			weight: 1,
		},
	},
};

/** Mean service time of a statement, in ms. */
export const meanServiceMs = 10;

/** `policy` is the system of production reducers, `naive` the baseline. */
export type SystemName = 'policy' | 'naive';

/** A load and its faults. Times in ms after startup. */
export type Load = {
	readonly workloads: readonly Workload[];
	readonly lagMs: number;
	readonly measureFromMs: number;
	readonly measureUntilMs: number;
	/** Loss of two VMs; with `sameDataCentre` they are all VMs of one data centre. */
	readonly vmLoss?: {readonly atMs: number; readonly sameDataCentre: boolean};
};

export type RunResult = {
	readonly recorder: Recorder;
	/** Slot time that statements used in the measured window, by rank, in ms. */
	readonly slotTimeMs: Record<types.Rank, number>;
	/** Slot time available on all servers in the measured window, in ms. */
	readonly totalSlotTimeMs: number;
};

/** Statements per second that all servers of a deployment can execute. */
export function computeCapacity(deployment: Deployment): number {
	const servers = deployment.groups.length * deployment.dataCentres.length;
	return (servers * deployment.slots * 1000) / meanServiceMs;
}

/** Statements per second that the primaries can execute. */
export function computePrimaryCapacity(deployment: Deployment): number {
	return computeCapacity(deployment) / deployment.dataCentres.length;
}

/** Runs a load; equal arguments give equal results. */
export function runLoad(
	deployment: Deployment,
	systemName: SystemName,
	load: Load,
	seed: number,
): RunResult {
	const simulation = new Simulation();
	const servers = buildServers(simulation, deployment, load.lagMs);
	const system = createSystem(
		simulation,
		deployment,
		servers,
		systemName,
		seed,
	);
	const recorder = new Recorder(
		startupMs + load.measureFromMs,
		startupMs + load.measureUntilMs,
		() => simulation.now,
	);
	const callers = new LoadGenerator({simulation, deployment, system, recorder});
	for (const [index, workload] of load.workloads.entries()) {
		callers.start(
			{
				...workload,
				fromMs: startupMs + workload.fromMs,
				untilMs: startupMs + workload.untilMs,
			},
			new RandomStream(seed * 1000 + index),
		);
	}

	const {vmLoss} = load;
	if (vmLoss) {
		simulation.schedule(startupMs + vmLoss.atMs, () => {
			const random = new RandomStream(seed);
			for (const vm of chooseLostVms(deployment, vmLoss.sameDataCentre)) {
				system.removeVm(vm);
				callers.handleVmLoss(vm, random);
			}
		});
	}

	simulation.runUntil(startupMs + load.measureFromMs);
	setMeasuring(servers, true);
	simulation.runUntil(startupMs + load.measureUntilMs);
	setMeasuring(servers, false);
	const longestDeadlineMs = Math.max(
		...load.workloads.map(({deadlineMs}) => deadlineMs),
	);
	simulation.runUntil(
		startupMs + load.measureUntilMs + longestDeadlineMs + 500,
	);
	return {
		recorder,
		slotTimeMs: sumSlotTime(servers),
		totalSlotTimeMs:
			servers.flat().length *
			deployment.slots *
			(load.measureUntilMs - load.measureFromMs),
	};
}

/** Builds the workloads of one rank; the load is split evenly over the members. */
export function buildWorkloads(
	members: readonly ids.MemberId[],
	perSecond: number,
	baseWorkload: Omit<
		Workload,
		'member' | 'perSecond' | 'deadlineMs' | 'meanServiceMs'
	>,
): Workload[] {
	return members.map((member) => ({
		...baseWorkload,
		member,
		deadlineMs: benchParameters.ranks[baseWorkload.rank].deadlineMs,
		meanServiceMs,
		perSecond: perSecond / members.length,
	}));
}

/** The first VMs of the first and the last data centre each own a primary. */
function chooseLostVms(
	deployment: Deployment,
	sameDataCentre: boolean,
): number[] {
	const last = deployment.vms.at(-1)!;
	return sameDataCentre
		? [deployment.vms.indexOf(last), deployment.vms.lastIndexOf(last)]
		: [0, deployment.vms.indexOf(last)];
}

function createSystem(
	simulation: Simulation,
	deployment: Deployment,
	servers: readonly EmulatedServer[][],
	name: SystemName,
	seed: number,
): BenchSystem {
	return name === 'naive'
		? new NaiveSystem(simulation, deployment, servers)
		: new ReducerSystem({
				simulation,
				deployment,
				servers,
				parameters: benchParameters,
				seed,
			});
}

function setMeasuring(
	servers: readonly EmulatedServer[][],
	isMeasuring: boolean,
): void {
	for (const server of servers.flat()) {
		server.isMeasuring = isMeasuring;
	}
}

function sumSlotTime(
	servers: readonly EmulatedServer[][],
): Record<types.Rank, number> {
	const sum = {urgent: 0, normal: 0, background: 0};
	for (const {slotTimeMs} of servers.flat()) {
		sum.urgent += slotTimeMs.urgent;
		sum.normal += slotTimeMs.normal;
		sum.background += slotTimeMs.background;
	}

	return sum;
}
