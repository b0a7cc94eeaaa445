/**
 * The measured cases with the targets of the design page. Targets are not adjusted to results.
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

/** Factor of the floods of the design page. */
const floodFactor = 10;

/** Accepted distance of a rank from its floor, as a share. */
const floorTolerance = 0.05;

/** One measured value with its target. */
export type Measure = {
	readonly name: string;
	/** The target as text. */
	readonly target: string;
	readonly value: number;
	readonly isMet: boolean;
};

/** Measures of one system and the run that a report shows. */
export type CaseResult = {
	readonly measures: readonly Measure[];
	readonly run: RunResult;
};

export type BenchCase = {
	readonly name: string;
	readonly description: string;
	run(deployment: Deployment, system: SystemName, seed: number): CaseResult;
};

type Base = Omit<
	Workload,
	'member' | 'perSecond' | 'deadlineMs' | 'meanServiceMs' | 'rank'
>;

/** Callers that think; one write in five, reads accept 1 s. */
function buildBase(untilMs: number): Base {
	return {
		writeShare: 0.2,
		stalenessMs: 1000,
		thinkMs: 500,
		fromMs: 0,
		untilMs,
	};
}

function buildOpen(base: Base): Base {
	const {thinkMs: _, ...open} = base;
	return open;
}

const replicaShareCase: BenchCase = {
	name: 'replica-share',
	description: 'reads that accept 1 s, lag 200 ms, one write in five',
	run(deployment, system, seed) {
		const untilMs = 12_000;
		const run = runLoad(
			deployment,
			system,
			{
				workloads: buildWorkloads(
					deployment.members,
					0.3 * computeCapacity(deployment),
					{...buildBase(untilMs), rank: 'normal', thinkMs: 2000},
				),
				lagMs: 200,
				measureFromMs: 2000,
				measureUntilMs: untilMs,
			},
			seed,
		);
		return {run, measures: listReadMeasures(run.recorder, 0.95)};
	},
};

const readAfterWriteCase: BenchCase = {
	name: 'read-after-write',
	description:
		'sessions that write, read at once and read three times more, lag 200 ms',
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
						...buildBase(untilMs),
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
		return {run, measures: listReadMeasures(run.recorder, 0.7)};
	},
};

const backgroundFloodCase: BenchCase = {
	name: 'background-flood',
	description: 'background work of 10 times the capacity',
	run(deployment, system, seed) {
		const capacity = computeCapacity(deployment);
		const untilMs = 8000;
		const base = buildBase(untilMs);
		const usual = [
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
			...buildOpen(base),
			rank: 'background',
			fromMs: 1000,
		});
		const window = {lagMs: 200, measureFromMs: 2000, measureUntilMs: untilMs};
		const before = runLoad(
			deployment,
			system,
			{...window, workloads: usual},
			seed,
		);
		const run = runLoad(
			deployment,
			system,
			{...window, workloads: [...usual, ...flood]},
			seed,
		);
		const retained =
			run.recorder.ranks.normal.onTime /
			Math.max(1, before.recorder.ranks.normal.onTime);
		return {
			run,
			measures: [
				buildMinimum(
					'urgent on time',
					computeOnTimeShare(run.recorder.ranks.urgent),
					0.999,
				),
				buildMinimum('normal retained', retained, 0.95),
			],
		};
	},
};

const urgentFloodCase: BenchCase = {
	name: 'urgent-flood',
	description: 'urgent work of 10 times the capacity',
	run(deployment, system, seed) {
		const capacity = computeCapacity(deployment);
		const untilMs = 8000;
		const base = buildOpen(buildBase(untilMs));
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
		const {
			slotTimeMs: slotTime,
			totalSlotTimeMs: totalSlotTime,
			recorder,
		} = run;
		const left = totalSlotTime - slotTime.normal - slotTime.background;
		return {
			run,
			measures: [
				buildFloorMeasure('normal', run),
				buildFloorMeasure('background', run),
				buildMinimum(
					'urgent of the rest',
					computeUsefulTime('urgent', slotTime, recorder) / left,
					0.9,
				),
			],
		};
	},
};

const memberFloodCase: BenchCase = {
	name: 'member-flood',
	description: 'one member floods urgent orders 10 times',
	run(deployment, system, seed) {
		const capacity = computePrimaryCapacity(deployment);
		const untilMs = 8000;
		const base = buildBase(untilMs);
		const [flooding, ...others] = deployment.members;
		const run = runLoad(
			deployment,
			system,
			{
				workloads: [
					...buildWorkloads([flooding], floodFactor * capacity, {
						...buildOpen(base),
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
				buildMinimum(
					'others on time',
					computeMembersOnTime(run.recorder, others),
					0.99,
				),
			],
		};
	},
};

/** Two VMs that own primaries are lost; `sameDataCentre` leaves a data centre without a proxy. */
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
			const vmLossMs = 3000;
			const untilMs = vmLossMs + 10_000;
			const base = buildBase(untilMs);
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
				vmLoss: {atMs: vmLossMs, sameDataCentre},
				measureFromMs: vmLossMs + 3000,
				measureUntilMs: untilMs,
			};
			const run = runLoad(deployment, system, load, seed);
			return {
				run,
				measures: [
					buildMinimum(
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
		'loss of 2 of 7 VMs at 70% load, measured from 3 s after it',
	),
	buildVmLossCase(
		'vm-loss-one-place',
		true,
		'the same, and both VMs are all that their data centre has',
	),
];

function buildMinimum(name: string, value: number, minimum: number): Measure {
	return {
		name,
		target: `>= ${(minimum * 100).toFixed(1)}%`,
		value,
		isMet: value >= minimum,
	};
}

function buildFloorMeasure(rank: types.Rank, run: RunResult): Measure {
	const floor = benchParameters.ranks[rank].floorPercent / 100;
	return buildMinimum(
		`${rank} share`,
		computeUsefulTime(rank, run.slotTimeMs, run.recorder) / run.totalSlotTimeMs,
		floor - floorTolerance,
	);
}

/** Slot time of answers that came in time; late answers are of no use. */
function computeUsefulTime(
	rank: types.Rank,
	slotTime: Record<types.Rank, number>,
	recorder: Recorder,
): number {
	const {onTime, completed} = recorder.ranks[rank];
	return slotTime[rank] * (onTime / Math.max(1, completed));
}

function listReadMeasures(recorder: Recorder, minimum: number): Measure[] {
	const reads = recorder.replicaReads + recorder.primaryReads;
	return [
		buildMinimum(
			'replica share',
			recorder.replicaReads / Math.max(1, reads),
			minimum,
		),
		buildNone('too old reads', recorder.staleReads),
		buildNone('missed own writes', recorder.readYourWritesViolations),
	];
}

function buildNone(name: string, value: number): Measure {
	return {name, target: '0', value, isMet: value === 0};
}

function computeMembersOnTime(
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
