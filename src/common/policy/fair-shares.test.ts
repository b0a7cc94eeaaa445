import tap from 'tap';
import * as replay from '../../bench/admission-replay.js';
import {buildParameters} from './testing.js';

const seed = 20_261_206;
const slots = 4;
const customerCount = 40;
const largest = 'customer-0';

function readSize(customer: string): number {
	return (Number(customer.slice('customer-'.length)) + 1) ** -1.2;
}

const options = {
	slots,
	getCustomerWeight: (customer: string) =>
		customer.startsWith('customer-') ? readSize(customer) : 1,
	usableDeadlineShare: 0.85,
	getParameters: () =>
		buildParameters({
			urgent: {queueLimit: 400},
			normal: {queueLimit: 400},
			background: {queueLimit: 400},
		}),
};

const kind = {
	member: 'public-tally',
	rank: 'normal',
	meanServiceMs: 22,
	timeoutMs: 1500,
	targetMs: 800,
	retries: 2,
	fromMs: 0,
	untilMs: 8000,
} as const;

/** Builds customers of unequal size that together use a share of the slots. */
function buildCustomers(usedShare: number): replay.ReplayStream[] {
	const sizes = Array.from({length: customerCount}, (_, index) =>
		readSize(`customer-${index}`),
	);
	const sum = sizes.reduce((total, size) => total + size, 0);
	const perSecond = (usedShare * slots * 1000) / kind.meanServiceMs;
	return sizes.map((size, index) => ({
		...kind,
		customer: `customer-${index}`,
		perSecond: (perSecond * size) / sum,
	}));
}

// Guards against a flood of one customer that its neighbours on the same route pay for.
tap.test('the flood of a customer costs its neighbours nothing', async (t) => {
	const streams = buildCustomers(0.7);
	const [flooding] = streams;
	const tallies = replay.runAdmissionReplay(
		options,
		[
			...streams,
			{
				...flooding,
				perSecond: 6.5 * flooding.perSecond,
				fromMs: 2000,
				untilMs: 6000,
			},
		],
		seed,
	);
	const others = replay.sumTallies(
		tallies,
		({customer}) => customer !== largest,
	);
	t.equal(others.served, others.callers);
	t.ok(others.onTime >= 0.999 * others.callers, `${others.onTime}`);
	const flood = replay.sumTallies(
		tallies,
		({customer}) => customer === largest,
	);
	const capacity = (slots * kind.untilMs) / kind.meanServiceMs;
	t.ok(flood.served + others.served > 0.9 * capacity, `${flood.served}`);
});

// Guards against shares that set the largest customer back when all of them send more.
tap.test('a burst of all customers is served to the last', async (t) => {
	const streams = buildCustomers(0.7);
	const tallies = replay.runAdmissionReplay(
		options,
		[
			...streams,
			...streams.map((stream) => ({
				...stream,
				perSecond: 0.7 * stream.perSecond,
				fromMs: 2000,
				untilMs: 6000,
			})),
		],
		seed,
	);
	const {served, callers} = replay.sumTallies(tallies, () => true);
	t.ok(served >= 0.995 * callers, `${served} of ${callers}`);
});

// Guards against a rare request that waits for a round of all backlogged customers.
tap.test('a small customer overtakes backlogged ones', async (t) => {
	const customers = buildCustomers(1.6).map((stream, index) => ({
		...stream,
		customer: `equal-${index}`,
		perSecond: (1.6 * slots * 1000) / kind.meanServiceMs / customerCount,
	}));
	const small = {...kind, customer: 'small', perSecond: 2};
	const tallies = replay.runAdmissionReplay(
		options,
		[...customers, small],
		seed,
	);
	const {waitsMs, served, callers} = tallies.get(small)!;
	t.equal(served, callers);
	const waits = waitsMs.sort((left, right) => left - right);
	t.ok(waits[Math.floor(0.8 * waits.length)] < 25, waits.join(' '));
});
