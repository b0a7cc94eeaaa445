/**
 * Load cases with the targets of the design page. Targets are not adjusted to results.
 */
import type * as ids from '../common/ids.js';
import type * as types from '../common/types.js';
import type {Deployment} from './deployment.js';
import {computeOnTimeShare, type Recorder, type Tally} from './recorder.js';
import {
	buildWorkloads,
	computeCapacity,
	computePrimaryCapacity,
	benchParameters,
	runLoad,
	type Load,
	type RunResult,
	type SystemName,
} from './run.js';
import type {Workload} from './callers.js';

/** Load of a flood as a multiple of the capacity, from the design page. */
const floodFactor = 10;

/** How far a rank may stay below its floor, as a share of all slot time. */
const floorTolerance = 0.05;

/** One measured value with its target. */
export type Measure = {
	readonly name: string;
	/** The target as text. */
	readonly target: string;
	readonly value: number;
	readonly isMet: boolean;
};

/** Measures of one system, with the run that the report page shows. */
export type CaseResult = {
	readonly measures: readonly Measure[];
	readonly run: RunResult;
};

export type BenchCase = {
	readonly name: string;
	readonly description: string;
	run(deployment: Deployment, system: SystemName, seed: number): CaseResult;
};

type BaseWorkload = Omit<
	Workload,
	'member' | 'perSecond' | 'deadlineMs' | 'meanServiceMs' | 'rank'
>;

/** Closed-loop callers; one request in five is a write, reads tolerate 1 s of staleness. */
function buildBaseWorkload(untilMs: number): BaseWorkload {
	return {
		writeShare: 0.2,
		stalenessMs: 1000,
		thinkMs: 500,
		fromMs: 0,
		untilMs,
	};
}

function buildOpenLoop(base: BaseWorkload): BaseWorkload {
	const {thinkMs: _, ...openLoop} = base;
	return openLoop;
}

const replicaShareCase: BenchCase = {
	name: 'replica-share',
	description:
		'reads that tolerate 1 s of staleness, replication lag 200 ms, one write in five requests',
	run(deployment, system, seed) {
		const untilMs = 12_000;
		const run = runLoad(
			deployment,
			system,
			{
				workloads: buildWorkloads(
					deployment.members,
					0.3 * computeCapacity(deployment),
					{...buildBaseWorkload(untilMs), rank: 'normal', thinkMs: 2000},
				),
				lagMs: 200,
				measureFromMs: 2000,
				measureUntilMs: untilMs,
			},
			seed,
		);
		return {run, measures: buildReadMeasures(run.recorder, 0.95)};
	},
};

const readAfterWriteCase: BenchCase = {
	name: 'read-after-write',
	description:
		'sessions that write, read at once and then read three more times, replication lag 200 ms',
	run(deployment, system, seed) {
		const untilMs = 12_000;
		const run = runLoad(
			deployment,
			system,
			{
				workloads: buildWorkloads(
					deployment.members,
					0.2 * computeCapacity(deployment),
					{
						...buildBaseWorkload(untilMs),
						rank: 'normal',
						readsAfterWrite: 3,
					},
				),
				lagMs: 200,
				measureFromMs: 2000,
				measureUntilMs: untilMs,
			},
			seed,
		);
		return {run, measures: buildReadMeasures(run.recorder, 0.7)};
	},
};

const backgroundFloodCase: BenchCase = {
	name: 'background-flood',
	description: 'background load of 10 times the capacity',
	run(deployment, system, seed) {
		const capacity = computeCapacity(deployment);
		const untilMs = 8000;
		const base = buildBaseWorkload(untilMs);
		const regularWorkloads = [
			...buildWorkloads(deployment.members, 0.2 * capacity, {
				...base,
				rank: 'urgent',
			}),
			...buildWorkloads(deployment.members, 0.3 * capacity, {
				...base,
				rank: 'normal',
			}),
		];
		const flood = buildWorkloads(deployment.members, floodFactor * capacity, {
			...buildOpenLoop(base),
			rank: 'background',
			fromMs: 1000,
		});
		const window = {lagMs: 200, measureFromMs: 2000, measureUntilMs: untilMs};
		const regularRun = runLoad(
			deployment,
			system,
			{...window, workloads: regularWorkloads},
			seed,
		);
		const run = runLoad(
			deployment,
			system,
			{...window, workloads: [...regularWorkloads, ...flood]},
			seed,
		);
		const retained =
			run.recorder.ranks.normal.onTime /
			Math.max(1, regularRun.recorder.ranks.normal.onTime);
		return {
			run,
			measures: [
				buildMinimumMeasure(
					'urgent on time',
					computeOnTimeShare(run.recorder.ranks.urgent),
					0.999,
				),
				buildMinimumMeasure('normal retained', retained, 0.95),
			],
		};
	},
};

const urgentFloodCase: BenchCase = {
	name: 'urgent-flood',
	description: 'urgent load of 10 times the capacity',
	run(deployment, system, seed) {
		const capacity = computeCapacity(deployment);
		const untilMs = 8000;
		const base = buildOpenLoop(buildBaseWorkload(untilMs));
		const run = runLoad(
			deployment,
			system,
			{
				workloads: [
					...buildWorkloads(deployment.members, floodFactor * capacity, {
						...base,
						rank: 'urgent',
						fromMs: 1000,
					}),
					...buildWorkloads(deployment.members, 0.4 * capacity, {
						...base,
						rank: 'normal',
					}),
					...buildWorkloads(deployment.members, 0.3 * capacity, {
						...base,
						rank: 'background',
					}),
				],
				lagMs: 200,
				measureFromMs: 2000,
				measureUntilMs: untilMs,
			},
			seed,
		);
		const {slotTimeMs, totalSlotTimeMs, recorder} = run;
		const remainingSlotTimeMs =
			totalSlotTimeMs - slotTimeMs.normal - slotTimeMs.background;
		return {
			run,
			measures: [
				buildFloorMeasure('normal', run),
				buildFloorMeasure('background', run),
				buildMinimumMeasure(
					'urgent of the rest',
					computeOnTimeSlotTime('urgent', slotTimeMs, recorder) /
						remainingSlotTimeMs,
					0.9,
				),
			],
		};
	},
};

const memberFloodCase: BenchCase = {
	name: 'member-flood',
	description:
		'urgent writes of one member at 10 times the capacity of the primaries',
	run(deployment, system, seed) {
		const capacity = computePrimaryCapacity(deployment);
		const untilMs = 8000;
		const base = buildBaseWorkload(untilMs);
		const [flooding, ...others] = deployment.members;
		const run = runLoad(
			deployment,
			system,
			{
				workloads: [
					...buildWorkloads([flooding], floodFactor * capacity, {
						...buildOpenLoop(base),
						rank: 'urgent',
						writeShare: 1,
						fromMs: 1000,
					}),
					...buildWorkloads(others, 0.1 * others.length * capacity, {
						...base,
						rank: 'urgent',
						writeShare: 1,
					}),
				],
				lagMs: 200,
				measureFromMs: 2000,
				measureUntilMs: untilMs,
			},
			seed,
		);
		return {
			run,
			measures: [
				buildMinimumMeasure(
					'others on time',
					computeMembersOnTimeShare(run.recorder, others),
					0.99,
				),
			],
		};
	},
};

/**
 * Builds a case in which two VMs are lost. Each owns a primary, unless `sameDataCentre` is set: then
 * they are all VMs of one data centre, which is left without a proxy, and one of them owns a primary.
 */
function buildVmLossCase(
	name: string,
	sameDataCentre: boolean,
	description: string,
): BenchCase {
	return {
		name,
		description,
		run(deployment, system, seed) {
			const capacity = computeCapacity(deployment);
			const vmLossAtMs = 3000;
			const untilMs = vmLossAtMs + 10_000;
			const base = buildBaseWorkload(untilMs);
			const load: Load = {
				workloads: (
					[
						['urgent', 0.2],
						['normal', 0.3],
						['background', 0.2],
					] as const
				).flatMap(([rank, share]) =>
					buildWorkloads(deployment.members, share * capacity, {...base, rank}),
				),
				lagMs: 200,
				vmLoss: {atMs: vmLossAtMs, sameDataCentre},
				measureFromMs: vmLossAtMs + 3000,
				measureUntilMs: untilMs,
			};
			const run = runLoad(deployment, system, load, seed);
			return {
				run,
				measures: [
					buildMinimumMeasure(
						'urgent on time',
						computeOnTimeShare(run.recorder.ranks.urgent),
						0.999,
					),
				],
			};
		},
	};
}

export const benchCases: readonly BenchCase[] = [
	replicaShareCase,
	readAfterWriteCase,
	backgroundFloodCase,
	urgentFloodCase,
	memberFloodCase,
	buildVmLossCase(
		'vm-loss',
		false,
		'loss of 2 of 7 VMs at 70% load, measured from 3 s after the loss',
	),
	buildVmLossCase(
		'vm-loss-one-place',
		true,
		'the same loss, but the 2 VMs are all VMs of their data centre',
	),
];

function buildMinimumMeasure(
	name: string,
	value: number,
	minimum: number,
): Measure {
	return {
		name,
		target: `>= ${(minimum * 100).toFixed(1)}%`,
		value,
		isMet: value >= minimum,
	};
}

function buildFloorMeasure(rank: types.Rank, run: RunResult): Measure {
	const floor = benchParameters.ranks[rank].floorPercent / 100;
	return buildMinimumMeasure(
		`${rank} share`,
		computeOnTimeSlotTime(rank, run.slotTimeMs, run.recorder) /
			run.totalSlotTimeMs,
		floor - floorTolerance,
	);
}

/** Slot time of answers that met their deadline; a late answer is of no use to its caller. */
function computeOnTimeSlotTime(
	rank: types.Rank,
	slotTimeMs: Record<types.Rank, number>,
	recorder: Recorder,
): number {
	const {onTime, completed} = recorder.ranks[rank];
	return slotTimeMs[rank] * (onTime / Math.max(1, completed));
}

function buildReadMeasures(recorder: Recorder, minimum: number): Measure[] {
	const reads = recorder.replicaReads + recorder.primaryReads;
	return [
		buildMinimumMeasure(
			'replica share',
			recorder.replicaReads / Math.max(1, reads),
			minimum,
		),
		buildZeroMeasure('too old reads', recorder.staleReads),
		buildZeroMeasure('missed own writes', recorder.readYourWritesViolations),
	];
}

function buildZeroMeasure(name: string, value: number): Measure {
	return {name, target: '0', value, isMet: value === 0};
}

function computeMembersOnTimeShare(
	recorder: Recorder,
	members: readonly ids.MemberId[],
): number {
	const sum: Tally = {
		offered: 0,
		completed: 0,
		onTime: 0,
		refused: 0,
		lost: 0,
	};
	for (const member of members) {
		const tally = recorder.members.get(`${member} urgent`);
		sum.offered += tally?.offered ?? 0;
		sum.onTime += tally?.onTime ?? 0;
	}

	return computeOnTimeShare(sum);
}
