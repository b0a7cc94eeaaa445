import * as fc from 'fast-check';
import tap from 'tap';
import type * as ids from '../ids.js';
import type * as types from '../types.js';
import * as simulations from './allowance-simulation.js';

const seed = 20_261_206;
const customer = 'c' as ids.CustomerId;
const proxyCount = 4;
const bound = {windowMs: 5000, overage: 0.1, slack: 20};

function createCustomer(ratePerS: number, burst = ratePerS): types.Customer {
	return {customer, keys: new Set(), ratePerS, burst};
}

function computeBound(ratePerS: number, burst = ratePerS): number {
	return (
		((ratePerS * bound.windowMs) / 1000 + burst) * (1 + bound.overage) +
		bound.slack
	);
}

const disruptions = fc.array(
	fc.record({
		at: fc.integer({min: 0, max: 14_000}),
		type: fc.constantFrom(
			'elect',
			'restart',
			'freeze',
			'cut',
			'lower',
			'move',
			'dump',
		),
		proxy: fc.nat({max: proxyCount - 1}),
		durationMs: fc.integer({min: 0, max: 3000}),
	}),
	{maxLength: 16},
);
const runs = fc.record({
	disruptions,
	seed: fc.nat({max: 1_000_000}),
	ratePerS: fc.constantFrom(2, 4, 20, 179),
	burstShare: fc.constantFrom(0, 0.5, 1, 3),
	loss: fc.constantFrom(0, 0, 0.1, 0.4),
	delayMs: fc.constantFrom(2, 25, 200),
});
type Run = typeof runs extends fc.Arbitrary<infer Value> ? Value : never;

function checkWindows(
	simulation: simulations.AllowanceSimulation,
	from: number,
	limit: number,
): void {
	const used = simulation.countMaxUses(customer, bound.windowMs, from);
	if (used > limit) {
		throw new Error(`${used} operations in a window, ${limit} allowed`);
	}
}

/** Plays a flood through disruptions; throws when a window exceeds the bound. */
function runFlood(
	run: Run,
	mistake?: simulations.SimulationOptions['mistake'],
): void {
	const {ratePerS, burstShare, loss, delayMs} = run;
	const burst = ratePerS * burstShare;
	const simulation = new simulations.AllowanceSimulation({
		proxies: proxyCount,
		customers: [createCustomer(ratePerS, burst)],
		bound,
		seed: run.seed,
		delayMs,
		loss,
		drift: 0.01,
		...(mistake ? {mistake} : {}),
	});
	let loweredAt: number | undefined;
	let focus: number | undefined;
	const pending = [...run.disruptions].sort(
		(left, right) => left.at - right.at,
	);
	simulation.run(20_000, (now) => {
		while (pending.length > 0 && pending[0].at <= now) {
			const {type, proxy, durationMs} = pending.shift()!;
			switch (type) {
				case 'elect': {
					simulation.elect(durationMs);
					break;
				}

				case 'restart': {
					simulation.proxies[proxy].restart();
					break;
				}

				case 'freeze': {
					simulation.proxies[proxy].frozenUntil = now + durationMs;
					break;
				}

				case 'cut': {
					simulation.proxies[proxy].cutUntil = now + durationMs;
					break;
				}

				case 'lower': {
					loweredAt ??= now;
					simulation.setCustomers([createCustomer(ratePerS / 2, burst / 2)]);
					break;
				}

				case 'dump': {
					// Uses all that the proxy holds.
					for (let index = 0; index < 300; index++) {
						simulation.submit(proxy, customer);
					}

					break;
				}

				case 'move': {
					focus = proxy;
					break;
				}
			}
		}

		// Pauses let the stocks and the bucket fill up.
		const isFlooding = now % 4000 > 1500;
		const count = isFlooding ? 3 + Math.ceil(ratePerS / 10) : 1;
		for (let index = 0; index < count; index++) {
			simulation.submit(
				focus ?? simulation.random.readInteger(0, proxyCount - 1),
				customer,
			);
		}
	});
	const limits = [[0, computeBound(ratePerS, burst)]];
	if (loweredAt !== undefined) {
		limits.push([loweredAt + 1100, computeBound(ratePerS / 2, burst / 2)]);
	}

	for (const [from, limit] of limits) {
		checkWindows(simulation, from, limit);
	}
}

// Guards against tokens that count twice or outlive their limit, whatever happens to their holders.
tap.test('no window exceeds the bound', async () => {
	fc.assert(
		fc.property(runs, (run) => {
			runFlood(run);
		}),
		{seed, numRuns: 150},
	);
});

/** Plays a proxy that is frozen with a full stock and uses it while another one is flooded. */
function runThaw(mistake?: simulations.SimulationOptions['mistake']): void {
	const ratePerS = 179;
	const simulation = new simulations.AllowanceSimulation({
		proxies: 2,
		customers: [createCustomer(ratePerS)],
		bound,
		seed,
		delayMs: 20,
		loss: 0,
		drift: 0.01,
		...(mistake ? {mistake} : {}),
	});
	const [holder] = simulation.proxies;
	simulation.run(8000, (now) => {
		simulation.submit(0, customer);
		if (now % 20 === 0) {
			simulation.submit(0, customer);
		}
	});
	holder.frozenUntil = 13_000;
	simulation.run(11_000, () => undefined);
	simulation.run(16_200, (now) => {
		for (let index = 0; index < 100; index++) {
			simulation.submit(now === 13_000 ? 0 : 1, customer);
		}
	});
	checkWindows(simulation, 0, computeBound(ratePerS));
}

// Guards against tokens that a thawed proxy uses after the leader has replaced them.
tap.test('a thawed proxy uses no expired tokens', async () => {
	runThaw();
});

// Guards against checks that would not notice mistakes: each of them has to exceed the bound.
tap.test('seeded mistakes are found', async (t) => {
	const result = fc.check(
		fc.property(runs, (run) => {
			runFlood(run, 'fullAfterElection');
		}),
		{seed, numRuns: 150, endOnFailure: true},
	);
	t.ok(result.failed, 'tokens counted twice after an election');
	t.throws(() => {
		runThaw('noExpiry');
	}, /allowed/v);
});

function createCalm(proxies: number, customers: readonly types.Customer[]) {
	return new simulations.AllowanceSimulation({
		proxies,
		customers,
		bound,
		seed,
		delayMs: 20,
		loss: 0,
		drift: 0.01,
	});
}

// Guards against refusals below the limit while requests arrive at all proxies.
tap.test('a customer below its limit is not refused', async (t) => {
	for (const ratePerS of [4, 20, 179]) {
		const simulation = createCalm(30, [createCustomer(ratePerS)]);
		let asked = 0;
		simulation.run(8000, () => undefined);
		simulation.run(30_000, () => {
			// Arrivals at random times, at a mean of the limit divided by 1.6.
			if (simulation.random.readFloat() < ratePerS / 160) {
				asked++;
				simulation.submit(simulation.random.readInteger(0, 29), customer);
			}
		});
		const {refused, uses, maxWaitMs} = simulation;
		t.equal(refused, 0, `rate ${ratePerS}`);
		t.ok(maxWaitMs <= 600, `rate ${ratePerS} waits ${maxWaitMs} ms`);
		t.ok(uses.length >= asked - 2);
	}
});

// Guards against refusals below the limit because the buckets of a new leader are empty.
tap.test('an election delays requests but refuses none', async (t) => {
	for (const ratePerS of [4, 179]) {
		const simulation = createCalm(30, [createCustomer(ratePerS)]);
		const submit = (): void => {
			if (simulation.random.readFloat() < ratePerS / 160) {
				simulation.submit(simulation.random.readInteger(0, 29), customer);
			}
		};

		simulation.run(10_000, submit);
		simulation.elect(1000);
		simulation.run(20_000, submit);
		t.equal(simulation.refused, 0, `rate ${ratePerS}`);
		t.comment(`rate ${ratePerS}: waits up to ${simulation.maxWaitMs} ms`);
	}
});

// Guards against a share that stays behind with proxies that no longer need it.
tap.test('one entry gets the whole limit when demand moves', async (t) => {
	for (const ratePerS of [4, 179]) {
		const simulation = createCalm(30, [createCustomer(ratePerS)]);
		simulation.run(10_000, (now) => {
			if (simulation.random.readFloat() < ratePerS / 160) {
				simulation.submit(now / 10, customer);
			}
		});
		const before = simulation.uses.length;
		simulation.run(25_000, () => {
			for (let index = 0; index < 1 + ratePerS / 30; index++) {
				simulation.submit(7, customer);
			}
		});
		const count = (from: number, until: number): number =>
			simulation.uses.filter(({at}) => at >= from && at < until).length;
		const first = count(10_000, 11_000) / ratePerS;
		const share = count(15_000, 25_000) / (10 * ratePerS);
		t.comment(
			`rate ${ratePerS}: ${before} before, share ${share.toFixed(3)}, first second ${first.toFixed(3)}`,
		);
		t.ok(share >= 0.95, `share ${share}`);
		t.ok(first >= 1, `first second ${first}`);
	}
});
