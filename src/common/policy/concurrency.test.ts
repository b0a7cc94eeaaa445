import tap from 'tap';
import * as concurrency from './concurrency.js';
import * as roundTrip from './round-trip.js';

// Guards against an owner near the server that floods it, and one far away that leaves it idle.
tap.test('concurrency fills the round trip', async (t) => {
	t.equal(concurrency.computeConcurrency(3, 0.4, 20), 3);
	t.equal(concurrency.computeConcurrency(3, 24, 18), 7);
	t.equal(concurrency.computeConcurrency(3, 40, 0.05), 12, 'bounded');
});

// Guards against an estimate that a busy server or an old path spoils.
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

	t.equal(estimate.roundTripMs, 40, 'the near path is forgotten');
});

/** Serves statements of `slotMs` on three slots behind a round trip; returns how many end in 10 s. */
function runServer(limit: number, roundTripMs: number, slotMs: number): number {
	const slots = 3;
	const freeAt = Array.from({length: slots}, () => 0);
	const underWay: number[] = [];
	let served = 0;
	for (let now = 0; now < 10_000; now++) {
		while (underWay.length > 0 && underWay[0] <= now) {
			underWay.shift();
			served++;
		}

		while (underWay.length < limit) {
			const slot = freeAt.indexOf(Math.min(...freeAt));
			const startsAt = Math.max(freeAt[slot], now + roundTripMs / 2);
			freeAt[slot] = startsAt + slotMs;
			underWay.push(freeAt[slot] + roundTripMs / 2);
		}
	}

	return served;
}

// Guards against slots that idle while their owner in another region waits for answers: the load
// of a server whose near VMs were lost.
tap.test('a far owner keeps all slots busy', async (t) => {
	const [roundTripMs, slotMs] = [24, 18];
	const near = runServer(3, 0, slotMs);
	const limit = concurrency.computeConcurrency(3, roundTripMs, slotMs);
	t.ok(runServer(3, roundTripMs, slotMs) < near / 2, 'slots alone');
	t.ok(runServer(limit, roundTripMs, slotMs) >= 0.95 * near);
});
