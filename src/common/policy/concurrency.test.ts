import tap from 'tap';
import * as concurrency from './concurrency.js';
import * as roundTrip from './round-trip.js';

// Guards against an owner near the server that overloads it, and one far away that leaves it idle.
tap.test('concurrency covers the round trip', async (t) => {
	t.equal(concurrency.computeConcurrency(3, 0.4, 20), 3);
	t.equal(concurrency.computeConcurrency(3, 24, 18), 7);
	t.equal(concurrency.computeConcurrency(3, 40, 0.05), 12, 'bounded');
});

// Guards against an estimate that is distorted by a busy server or by an earlier network path.
tap.test('the shortest recent answer is the round trip', async (t) => {
	const estimate = new roundTrip.RoundTripEstimator();
	t.equal(estimate.roundTripMs, 0);
	for (const [index, answerMs] of [90, 25, 60].entries()) {
		estimate.observe(answerMs, index);
	}

	t.equal(estimate.roundTripMs, 25);
	estimate.observe(2, 6000);
	t.equal(estimate.roundTripMs, 2);
	for (let now = 7000; now < 20_000; now += 500) {
		estimate.observe(40, now);
	}

	t.equal(estimate.roundTripMs, 40, 'the shorter path expires');
});

/** Simulates three slots behind a round trip; returns the number of statements that end in 10 s. */
function runServer(
	limit: number,
	roundTripMs: number,
	serviceMs: number,
): number {
	const slots = 3;
	const freeAt = Array.from({length: slots}, () => 0);
	const inFlightEndsAt: number[] = [];
	let served = 0;
	for (let now = 0; now < 10_000; now++) {
		while (inFlightEndsAt.length > 0 && inFlightEndsAt[0] <= now) {
			inFlightEndsAt.shift();
			served++;
		}

		while (inFlightEndsAt.length < limit) {
			const slot = freeAt.indexOf(Math.min(...freeAt));
			const startsAt = Math.max(freeAt[slot], now + roundTripMs / 2);
			freeAt[slot] = startsAt + serviceMs;
			inFlightEndsAt.push(freeAt[slot] + roundTripMs / 2);
		}
	}

	return served;
}

// Guards against slots that are idle while their owner in another region waits for answers, as
// after the loss of the VMs near a server.
tap.test('a distant owner keeps all slots busy', async (t) => {
	const [roundTripMs, serviceMs] = [24, 18];
	const nearbyServed = runServer(3, 0, serviceMs);
	const limit = concurrency.computeConcurrency(3, roundTripMs, serviceMs);
	t.ok(
		runServer(3, roundTripMs, serviceMs) < nearbyServed / 2,
		'limited to the number of slots',
	);
	t.ok(runServer(limit, roundTripMs, serviceMs) >= 0.95 * nearbyServed);
});
