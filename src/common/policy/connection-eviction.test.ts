import * as fc from 'fast-check';
import tap from 'tap';
import type * as ids from '../ids.js';
import * as connectionEviction from './connection-eviction.js';

const idle = (customer: string | undefined, idleSince: number) => ({
	customer: customer as ids.CustomerId | undefined,
	idleSince,
});

// Guards against a customer that loses its only connection while another one has several to spare.
tap.test('the customer with the most idle connections gives one', async (t) => {
	const connections = [idle('a', 1), idle('b', 9), idle('b', 8), idle('c', 2)];
	t.equal(connectionEviction.chooseEviction(connections), 2);
	t.equal(connectionEviction.chooseEviction([]), undefined);
});

// Guards against the loss of connections that are in use again soon: when each customer has one, the
// least recently used one goes.
tap.test('of equal customers the least recently used one gives', async (t) => {
	fc.assert(
		fc.property(
			fc.uniqueArray(fc.nat(1000), {minLength: 1, maxLength: 70}),
			(times) => {
				const connections = times.map((time, index) => idle(`${index}`, time));
				const index = connectionEviction.chooseEviction(connections)!;
				return times[index] === Math.min(...times);
			},
		),
		{seed: 71},
	);
	t.equal(
		connectionEviction.chooseEviction([idle(undefined, 5), idle('a', 4)]),
		1,
	);
});
