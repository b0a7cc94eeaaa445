import * as fc from 'fast-check';
import tap from 'tap';
import {HedgeDelayEstimator} from './hedge-delay.js';
import {SuccessRetryBudget} from './retry-budget.js';

const seed = 20_261_204;

// Guards against retries that multiply the load of servers in trouble.
tap.test('retries stay within 10% of successes and the minimum', async (t) => {
	fc.assert(
		fc.property(
			fc.array(
				fc.record({
					isSuccess: fc.boolean(),
					afterMs: fc.integer({min: 0, max: 300}),
				}),
				{maxLength: 400, size: 'max'},
			),
			(steps) => {
				const budget = new SuccessRetryBudget();
				let now = 0;
				let successes = 0;
				let retries = 0;
				for (const {isSuccess, afterMs} of steps) {
					now += afterMs;
					if (isSuccess) {
						successes++;
						budget.recordSuccess(now);
					} else if (budget.trySpend(now)) {
						retries++;
					}
				}

				if (retries > 1 + now / 1000 + successes / 10 + 1e-6) {
					throw new Error(`${retries} retries exceed the budget`);
				}
			},
		),
		{seed, numRuns: 300},
	);
	const budget = new SuccessRetryBudget();
	for (let index = 0; index < 1000; index++) {
		budget.recordSuccess(0);
	}

	let granted = 0;
	while (budget.trySpend(0)) {
		granted++;
	}

	t.equal(granted, 100);
	t.ok(budget.trySpend(1100), 'the minimum rate still applies');
	t.notOk(budget.trySpend(1100));
});

// Guards against retries that are sent simultaneously or too soon.
tap.test('delays grow exponentially with jitter', async (t) => {
	const budget = new SuccessRetryBudget();
	t.equal(budget.computeDelay(0, 0), 5);
	t.equal(budget.computeDelay(0, 1), 10);
	t.equal(budget.computeDelay(3, 0), 40);
	t.equal(budget.computeDelay(30, 1), 500);
});

// Guards against a hedge delay that differs from the intended percentile.
tap.test('the hedge delay matches the percentile within 10%', async (t) => {
	fc.assert(
		fc.property(
			fc.array(fc.double({min: 2, max: 5000, noNaN: true}), {
				minLength: 20,
				maxLength: 300,
			}),
			(latencies) => {
				const estimator = new HedgeDelayEstimator();
				for (const latency of latencies) {
					estimator.observe(latency, 0);
				}

				const sorted = [...latencies].sort((left, right) => left - right);
				const exact = sorted[Math.ceil(sorted.length * 0.95) - 1];
				const ratio = estimator.computeDelay(0) / exact;
				if (ratio < 0.999 || ratio > 1.1) {
					throw new Error(`the delay is ${ratio} times the percentile`);
				}
			},
		),
		{seed, numRuns: 200},
	);
	const estimator = new HedgeDelayEstimator();
	t.equal(estimator.computeDelay(0), 100, 'no samples');
	for (let index = 0; index < 30; index++) {
		estimator.observe(5, 0);
	}

	t.ok(estimator.computeDelay(0) < 6);
	t.equal(estimator.computeDelay(20_000), 100, 'old samples expire');
});
