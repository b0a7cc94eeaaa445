/**
 * Runs the safety searches of the replicated log and of promotions with more seeds than the tests do:
 * `npm run search -- --runs 1000 --seed 1`. Promotions are searched with servers that have fences and
 * with servers that acknowledge commits themselves. At the first violation it prints the seed or the
 * plan that reproduces it, and exits with code 1.
 */
import process from 'node:process';
import * as util from 'node:util';
import * as fastCheck from 'fast-check';
import * as safetyPlan from '../common/control/safety-plan.js';
import * as safetyChecks from '../common/consensus/safety-checks.js';
import * as safetySearch from '../common/consensus/safety-search.js';

const {values} = util.parseArgs({
	options: {
		runs: {type: 'string', default: '100'},
		seed: {type: 'string', default: '1'},
	},
});

const peerCounts = [3, 5];

function printLine(line: string): void {
	process.stdout.write(`${line}\n`);
}

function runSeed(seed: number, peerCount: number): safetySearch.RunReport {
	try {
		return safetySearch.runSearch({seed, peerCount});
	} catch (error) {
		if (error instanceof safetyChecks.SafetyViolation) {
			printLine(`seed ${seed}, ${peerCount} peers: ${error.message}`);
			process.exit(1);
		}

		throw error;
	}
}

/** Runs random plans of faults for the control group; exits at the first one that violates a guarantee. */
function runPlans(
	name: string,
	arbitrary: fastCheck.Arbitrary<safetyPlan.Plan>,
	seed: number,
	numRuns: number,
): void {
	const details = fastCheck.check(
		fastCheck.property(arbitrary, (plan) => {
			const problems = safetyPlan.runPlan(plan);
			if (problems.length > 0) {
				throw new Error(problems.join('; '));
			}
		}),
		{seed, numRuns, endOnFailure: true},
	);
	if (details.failed) {
		const [plan] = details.counterexample ?? [];
		printLine(
			`${name}, seed ${seed}: ${String(details.errorInstance)}\n${JSON.stringify(plan)}`,
		);
		process.exit(1);
	}

	printLine(`${numRuns} plans without violation: ${name}`);
}

const runs = Number(values.runs);
const firstSeed = Number(values.seed);
runPlans('servers with fences', safetyPlan.planArbitrary, firstSeed, runs);
runPlans(
	'servers that acknowledge commits themselves',
	safetyPlan.selfAcknowledgingPlanArbitrary,
	firstSeed,
	runs,
);
const totals = new Map<string, number>();
for (let seed = firstSeed; seed < firstSeed + runs; seed++) {
	const peerCount = peerCounts[seed % peerCounts.length];
	for (const [name, count] of Object.entries(runSeed(seed, peerCount))) {
		totals.set(name, (totals.get(name) ?? 0) + count);
	}
}

const summary = [...totals].map(([name, count]) => `${name} ${count}`);
printLine(`${runs} runs without violation: ${summary.join(', ')}`);
