/**
 * Runs the safety search of the replicated log with more seeds than the tests do:
 * `npm run search -- --runs 1000 --seed 1`. At the first violation it prints the seed that
 * reproduces it, and exits with code 1.
 */
import process from 'node:process';
import * as util from 'node:util';
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

const runs = Number(values.runs);
const firstSeed = Number(values.seed);
const totals = new Map<string, number>();
for (let seed = firstSeed; seed < firstSeed + runs; seed++) {
	const peerCount = peerCounts[seed % peerCounts.length];
	for (const [name, count] of Object.entries(runSeed(seed, peerCount))) {
		totals.set(name, (totals.get(name) ?? 0) + count);
	}
}

const summary = [...totals].map(([name, count]) => `${name} ${count}`);
printLine(`${runs} runs without violation: ${summary.join(', ')}`);
