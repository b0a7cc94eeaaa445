/**
 * Searches the schedules of a history: those of one interference, in an order that the seed decides, and
 * random ones of at most two. A failing one of the second kind is reduced to a shorter one that still fails.
 */
import * as fastCheck from 'fast-check';
import type * as ids from '../../common/ids.js';
import * as histories from './histories.js';
import type * as order from './types.js';

export type Finding = {
	readonly schedule: order.Schedule;
	readonly problems: readonly string[];
};

/** The schedules that were played, those of the reduction included, and the first one that fails. */
export type SearchReport = {
	readonly count: number;
	readonly finding: Finding | undefined;
};

export type SearchOptions = {
	readonly history: histories.History;
	readonly missingFix?: histories.MissingFix | undefined;
	/** Steps of one name at one process that are tried. */
	readonly maxOccurrence: number;
	/** Stop after this many schedules. */
	readonly maxSchedules: number;
	/** Selects the schedules when there are more. */
	readonly seed: number;
};

/** Longer than the lease of a leader, the leases of proxies and an election together. */
const longMs = 3600;
/** Longer than the lease of a leader and an election, shorter than the leases of proxies. */
const mediumMs = 900;
const restartMs = 1000;

/** Plays schedules of one interference, each at most once, in an order that the seed decides. */
export function searchSingles(options: SearchOptions): SearchReport {
	const candidates = listInterferences(options);
	const sample = fastCheck.sample(
		fastCheck.shuffledSubarray(candidates, {
			minLength: Math.min(candidates.length, options.maxSchedules),
			maxLength: Math.min(candidates.length, options.maxSchedules),
		}),
		{numRuns: 1, seed: options.seed},
	)[0];
	for (const [index, interference] of sample.entries()) {
		const problems = listProblems(options, [interference]);
		if (problems.length > 0) {
			return {count: index + 1, finding: {schedule: [interference], problems}};
		}
	}

	return {count: sample.length, finding: undefined};
}

/** Plays random schedules of at most two interferences; the same one twice is among them. */
export function searchPairs(options: SearchOptions): SearchReport {
	const candidates = listInterferences(options);
	let count = 0;
	const property = fastCheck.property(
		fastCheck.array(fastCheck.constantFrom(...candidates), {
			minLength: 1,
			maxLength: 2,
		}),
		(schedule) => {
			fastCheck.pre(histories.isTolerated(options.history, schedule));
			count++;
			return listProblems(options, schedule).length === 0;
		},
	);
	const {failed, counterexample} = fastCheck.check(property, {
		seed: options.seed,
		numRuns: options.maxSchedules,
	});
	if (!failed || !counterexample) {
		return {count, finding: undefined};
	}

	const [schedule] = counterexample;
	return {
		count,
		finding: {schedule, problems: listProblems(options, schedule)},
	};
}

function listProblems(
	{history, missingFix}: SearchOptions,
	schedule: order.Schedule,
): readonly string[] {
	return histories.runHistory(history, schedule, missingFix).problems;
}

/** Lists what can be done at the steps that the history shows without any interference. */
function listInterferences({
	history,
	missingFix,
	maxOccurrence,
}: SearchOptions): order.Interference[] {
	const {seen} = histories.runHistory(history, [], missingFix);
	const points = seen
		.map(({point}) => point)
		.filter(({occurrence}) => occurrence <= maxOccurrence);
	return points.flatMap((point) =>
		listActs(point, history.replicas).map((act) => ({act, point})),
	);
}

/** Only control peers have disks. */
function listActs(
	{process, step}: order.StepPoint,
	replicas: readonly ids.UpstreamId[],
): order.Act[] {
	const isControl = process.startsWith('c');
	return [
		{type: 'freeze', forMs: mediumMs},
		{type: 'freeze', forMs: longMs},
		{type: 'hold', forMs: mediumMs},
		{type: 'hold', forMs: longMs},
		{type: 'kill', forMs: restartMs, losesDisk: false},
		...(isControl
			? [{type: 'kill', forMs: restartMs, losesDisk: true} as const]
			: []),
		...(isControl && step === 'write'
			? [
					{type: 'fill', forMs: mediumMs} as const,
					{type: 'fill', forMs: longMs} as const,
					{type: 'slow', forMs: longMs} as const,
				]
			: []),
		...replicas.map(
			(server) => ({type: 'deafen', server, forMs: longMs}) as const,
		),
	];
}
