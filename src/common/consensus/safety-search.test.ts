import tap from 'tap';
import type * as consensus from './consensus.js';
import * as safetySearch from './safety-search.js';

const searchRuns = 40;

/** Seeds that are tried until a violation is found; both faults show within the first ten. */
const faultyRuns = 40;

/** Returns the first violation that the search finds with a safety rule switched off. */
function findViolation(
	faults: consensus.FaultInjection,
	pattern: RegExp,
): string | undefined {
	for (let seed = 1; seed <= faultyRuns; seed++) {
		try {
			safetySearch.runSearch({seed, peerCount: 3, faults});
		} catch (error) {
			const {message} = error as Error;
			if (pattern.test(message)) {
				return message;
			}
		}
	}

	return undefined;
}

for (const peerCount of [3, 5]) {
	// Guards against any loss, change or double grant under crashes, lost messages and lost disks.
	tap.test(`search with ${peerCount} peers`, async (t) => {
		const total = {crashes: 0, lostDisks: 0, voterChanges: 0, snapshots: 0};
		let applied = 0;
		for (let seed = 1; seed <= searchRuns; seed++) {
			const report = safetySearch.runSearch({seed, peerCount});
			applied += report.applied;
			total.crashes += report.crashes;
			total.lostDisks += report.lostDisks;
			total.voterChanges += report.voterChanges;
			total.snapshots += report.snapshots;
		}

		t.ok(applied > 100 * searchRuns, 'commands are applied');
		for (const [kind, count] of Object.entries(total)) {
			t.ok(count > searchRuns, `${kind} happen`);
		}
	});
}

// Guards against a search that cannot see two leaders that act at once.
tap.test('search finds missing stickiness', async (t) => {
	t.ok(findViolation({isStickinessOff: true}, /both hold a valid lease/v));
});

// Guards against a search that cannot see acknowledgements of unsynced writes.
tap.test('search finds missing write order', async (t) => {
	const pattern = /committed entries|another entry|both lead/v;
	t.ok(findViolation({isWriteOrderOff: true}, pattern));
});
