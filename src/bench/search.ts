/**
 * Runs the safety searches of the replicated log and of promotions with more seeds than the tests do:
 * `npm run search -- --runs 1000 --seed 1`. Promotions are searched with servers that have fences and
 * with servers that acknowledge commits themselves. The log is searched three times: with disks that have
 * space, with disks that refuse writes for some time, and with those over the storage of the product. At the first violation it prints the seed or the
 * plan that reproduces it, and exits with code 1.
 */
import process from 'node:process';
import * as timers from 'node:timers/promises';
import * as util from 'node:util';
import * as fastCheck from 'fast-check';
import * as safetyPlan from '../common/control/safety-plan.js';
import * as safetyChecks from '../common/consensus/safety-checks.js';
import * as safetySearch from '../common/consensus/safety-search.js';
import * as storedDisk from '../scenario/storage/stored-disk.js';

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

/** A way to search the log with one seed. */
type LogSearch = {
	readonly name: string;
	run(seed: number, peerCount: number): Promise<safetySearch.RunReport>;
};

const logSearches: readonly LogSearch[] = [
	{
		name: 'log',
		run: async (seed, peerCount) => safetySearch.runSearch({seed, peerCount}),
	},
	{
		name: 'log, full disks',
		run: async (seed, peerCount) =>
			safetySearch.runSearch({seed, peerCount, fillsDisks: true}),
	},
	{
		name: 'log, full disks, storage of the product',
		run: async (seed, peerCount) =>
			safetySearch.runSlowSearch(
				{
					seed,
					peerCount,
					fillsDisks: true,
					createDisk: (random) => new storedDisk.StoredDisk(random),
				},
				async () => timers.setImmediate(),
			),
	},
];

/** Runs one search with several seeds; exits at the first one that violates a guarantee. */
async function runSeeds(
	search: LogSearch,
	firstSeed: number,
	runs: number,
): Promise<void> {
	const totals = new Map<string, number>();
	for (let seed = firstSeed; seed < firstSeed + runs; seed++) {
		const peerCount = peerCounts[seed % peerCounts.length];
		try {
			const report = await search.run(seed, peerCount);
			for (const [name, count] of Object.entries(report)) {
				totals.set(name, (totals.get(name) ?? 0) + count);
			}
		} catch (error) {
			if (error instanceof safetyChecks.SafetyViolation) {
				printLine(
					`${search.name}: seed ${seed}, ${peerCount} peers: ${error.message}`,
				);
				process.exit(1);
			}

			throw error;
		}
	}

	const summary = [...totals].map(([name, count]) => `${name} ${count}`);
	printLine(
		`${runs} runs without violation: ${search.name}: ${summary.join(', ')}`,
	);
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
for (const search of logSearches) {
	await runSeeds(search, firstSeed, runs);
}
