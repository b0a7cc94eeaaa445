import tap from 'tap';
import type * as ids from '../ids.js';
import * as customerWeights from './customer-weights.js';

function computeWeights(...rates: readonly number[]): number[] {
	const customers = rates.map((ratePerS, index) => ({
		customer: `${index}` as ids.CustomerId,
		keys: new Set<ids.KeyDigest>(),
		ratePerS,
		burst: ratePerS,
	}));
	return [...customerWeights.computeCustomerWeights(customers).values()];
}

// Guards against shares that differ from the agreed rates, and weights of zero or infinity.
tap.test('weights follow the agreed rates', async (t) => {
	t.same(computeWeights(10, 30), [0.5, 1.5]);
	t.same(computeWeights(Infinity, Infinity), [1, 1]);
	t.same(computeWeights(30, Infinity), [1, 1]);
	t.same(computeWeights(0, 30), [0.05, 2]);
	t.same(computeWeights(0), [1]);
});
