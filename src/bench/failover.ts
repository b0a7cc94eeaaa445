/**
 * Measures the longest gap between write acknowledgements when the primary crashes, freezes, is cut
 * off from the network or departs. Each case runs over several seeds in virtual time, with the
 * production reducers and with the naive fleet. Prints one JSON line per case.
 *
 * Usage: node dist/bench/failover.js [runs]
 */
import process from 'node:process';
import * as fleets from '../scenario/fleet/fleet.js';
import type * as fleetTypes from '../scenario/fleet/fleet-types.js';
import * as interpreter from '../scenario/fleet/interpreter.js';
import * as naiveFleet from '../scenario/fleet/naive-fleet.js';
import * as parser from '../scenario/parser.js';
import * as runner from '../scenario/runner.js';

const defaultRuns = 20;
const maxGapTargetsMs = {
	crash: 3000,
	freeze: 3000,
	cut: 3000,
	depart: 250,
} as const;

type Fault = keyof typeof maxGapTargetsMs;

/** Injects the fault at a different time in each run, so that it meets every phase of the timers. */
function buildScenario(fault: Fault, run: number): string {
	const faultAtMs = 1000 + run * 37;
	const action = fault === 'cut' ? 'cut s1 *' : `${fault} s1`;
	return [
		`scenario ${fault}`,
		'session writer proxy=p5',
		'at 10ms every 5ms until 8s write writer key=a deadline=5s',
		`at ${faultAtMs - 1}ms mark`,
		`at ${faultAtMs}ms ${action}`,
		'at 7900ms expect write gap <= 0',
	].join('\n');
}

/** Returns the longest time between two acknowledgements after the fault, in ms. */
function measureGap(
	fault: Fault,
	run: number,
	fleet: fleetTypes.ScenarioFleet,
): number {
	const [scenario] = parser
		.parseScenarios(buildScenario(fault, run))
		._unsafeUnwrap();
	// The expectation `gap <= 0` fails on purpose: the failure message states the measured gap.
	const [failure] = runner.runScenario(scenario, [
		new interpreter.FleetInterpreter(fleet),
	]);
	return Number(failure?.message.split('measured ')[1] ?? 0);
}

function computeMedian(values: readonly number[]): number {
	const sorted = [...values].sort((left, right) => left - right);
	return sorted[Math.floor(sorted.length / 2)] ?? 0;
}

const runs = Number(process.argv[2] ?? defaultRuns);
for (const fault of Object.keys(maxGapTargetsMs) as Fault[]) {
	const gaps: number[] = [];
	const naiveGaps: number[] = [];
	for (let run = 0; run < runs; run++) {
		const size = {proxies: 7, controls: 3, seed: run + 1};
		gaps.push(measureGap(fault, run, new fleets.Fleet(size)));
		naiveGaps.push(measureGap(fault, run, new naiveFleet.NaiveFleet(size)));
	}

	console.log(
		JSON.stringify({
			case: `failover ${fault}`,
			runs,
			medianMs: Math.round(computeMedian(gaps)),
			maxMs: Math.round(Math.max(...gaps)),
			naiveMedianMs: Math.round(computeMedian(naiveGaps)),
			targetMaxMs: maxGapTargetsMs[fault],
			isMet: Math.max(...gaps) <= maxGapTargetsMs[fault],
		}),
	);
}
