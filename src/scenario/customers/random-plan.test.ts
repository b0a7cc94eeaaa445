import tap from 'tap';
import * as randomPlan from './random-plan.js';
import * as run from './run.js';
import type * as types from './types.js';

const seeds = [1, 2, 3, 4, 5, 6];

for (const seed of seeds) {
	// Guards against requests without an answer, keys that outlive their withdrawal, refusals that are not
	// true and limits that do not hold, under combinations of changes and faults that no other test has.
	tap.test(`callers with keys, seed ${seed}`, async (t) => {
		const result = run.runPlan(randomPlan.buildPlan(seed));
		t.same(run.listViolations(result), []);
		t.ok(
			result.withdrawals > 0,
			`callers with keys, seed ${seed}: withdrawals`,
		);
		t.ok(
			result.limitChanges > 0,
			`callers with keys, seed ${seed}: changes of a limit`,
		);
	});
}

const mistakes: ReadonlyArray<
	readonly [types.Mistake, keyof types.Result, number]
> = [
	['dropsLateRequests', 'cut', 3],
	['keepsKeysAfterRestart', 'lateRuns', 3],
	['ignoresLoweredLimits', 'exceededWindows', 2],
];

for (const [mistake, violation, seed] of mistakes) {
	// Guards against checks that hold for every implementation.
	tap.test(`the mistake ${mistake} is found`, async (t) => {
		const result = run.runPlan(randomPlan.buildPlan(seed), mistake);
		t.not(result[violation], 0);
	});
}
