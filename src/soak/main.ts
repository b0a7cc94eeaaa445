/**
 * Runs soaks with consecutive seeds and prints one JSON line each. Exits with code 1 when a promise
 * was not kept; the logs of that run are kept.
 *
 * Usage: npm run soak -- [--seed S] [--minutes M] [--runs N] [--proxies P] [--callers C]
 * [--senders D] [--keyed K]
 */
import process from 'node:process';
import * as util from 'node:util';
import * as run from './run.js';

const {values} = util.parseArgs({
	options: {
		seed: {type: 'string', default: '1'},
		minutes: {type: 'string', default: '1'},
		runs: {type: 'string', default: '1'},
		proxies: {type: 'string', default: '5'},
		callers: {type: 'string', default: '20'},
		senders: {type: 'string', default: '6'},
		keyed: {type: 'string', default: '4'},
	},
});

function readNumber(name: keyof typeof values, min: number): number {
	const number = Number(values[name]);
	if (!Number.isFinite(number) || number < min) {
		console.error(
			`soak: --${name} is ${values[name]}; allowed is a number from ${min}`,
		);
		process.exit(2);
	}

	return number;
}

// The processes of a run end with this one, but not when a signal ends it.
for (const signal of ['SIGINT', 'SIGTERM'] as const) {
	process.once(signal, () => {
		process.exit(1);
	});
}

const firstSeed = readNumber('seed', 0);
const runs = readNumber('runs', 1);
let failed = 0;
for (let seed = firstSeed; seed < firstSeed + runs; seed++) {
	const report = await run.runSoak({
		seed,
		durationMs: readNumber('minutes', 0) * 60_000,
		proxies: readNumber('proxies', 2),
		callers: readNumber('callers', 1),
		senders: readNumber('senders', 0),
		keyedCallers: readNumber('keyed', 0),
	});
	failed += report.violations.length > 0 ? 1 : 0;
	console.log(JSON.stringify(report));
}

console.log(JSON.stringify({runs, failed}));
process.exit(failed === 0 ? 0 : 1);
