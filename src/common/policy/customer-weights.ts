/**
 * Weights of customers in the queues of servers. Load pattern: all customers of a database send more than
 * usual at the same time. With equal weights the largest ones would be refused while the others are served
 * without a wait; weighted by the rates that they agreed on, each one is served the same share.
 */
import type * as ids from '../ids.js';
import type * as types from '../types.js';

/** A customer with a small rate gets no less than this part of an average one's share. */
const minWeight = 0.05;

/**
 * Computes the weight of each customer, 1 on average; a request without a customer has the weight 1. A
 * customer without a limit counts as much as the largest one with a limit.
 */
export function computeCustomerWeights(
	customers: Iterable<types.Customer>,
): Map<ids.CustomerId, number> {
	const rates = [...customers].map(
		({customer, ratePerS}) => [customer, ratePerS] as const,
	);
	const limits = rates
		.map(([, rate]) => rate)
		.filter((rate) => Number.isFinite(rate));
	const unlimited = Math.max(0, ...limits);
	const capped = rates.map(
		([customer, rate]) => [customer, Math.min(rate, unlimited)] as const,
	);
	const mean =
		capped.reduce((sum, [, rate]) => sum + rate, 0) /
		Math.max(1, capped.length);
	return new Map(
		capped.map(([customer, rate]) => [
			customer,
			mean > 0 ? Math.max(minWeight, rate / mean) : 1,
		]),
	);
}
