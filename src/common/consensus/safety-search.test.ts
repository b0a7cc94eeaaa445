import tap from 'tap';
import type * as consensus from './consensus.js';
import * as safetySearch from './safety-search.js';

/** Seeds of each search without injected faults. */
const seedCount = 40;

/** Seeds tried until a violation is found; each injected fault shows within the first ten. */
const maxSeedsPerFault = 40;

/** Returns the first violation that the search finds with a safety rule disabled. */
function findViolation(
	faults: consensus.FaultInjection,
	pattern: RegExp,
): string | undefined {
	for (let seed = 1; seed <= maxSeedsPerFault; seed++) {
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
	// Guards against lost or changed entries and two valid leases under crashes, lost messages and
	// lost disks.
	tap.test(`no violation is found with ${peerCount} peers`, async (t) => {
		const total = {crashes: 0, lostDisks: 0, voterChanges: 0, snapshots: 0};
		let applied = 0;
		for (let seed = 1; seed <= seedCount; seed++) {
			const report = safetySearch.runSearch({seed, peerCount});
			applied += report.applied;
			total.crashes += report.crashes;
			total.lostDisks += report.lostDisks;
			total.voterChanges += report.voterChanges;
			total.snapshots += report.snapshots;
		}

		t.ok(applied > 100 * seedCount, 'commands are applied');
		for (const [kind, count] of Object.entries(total)) {
			t.ok(count > seedCount, `${kind} occur`);
		}
	});
}

for (const peerCount of [3, 5]) {
	// Guards against lost entries, and a group that does not recover, when disks refuse writes for a time.
	tap.test(`no violation with full disks and ${peerCount} peers`, async (t) => {
		let applied = 0;
		let fullDisks = 0;
		for (let seed = 1; seed <= seedCount; seed++) {
			const report = safetySearch.runSearch({
				seed,
				peerCount,
				fillsDisks: true,
			});
			applied += report.applied;
			fullDisks += report.fullDisks;
		}

		t.ok(applied > 100 * seedCount, 'commands are applied');
		t.ok(fullDisks > seedCount, 'disks become full');
	});
}

// Guards against a search that cannot detect two leaders that act at the same time.
tap.test('the search finds missing leader stickiness', async (t) => {
	t.ok(
		findViolation(
			{isLeaderStickinessDisabled: true},
			/both hold a valid lease/v,
		),
	);
});

// Guards against a search that cannot detect acknowledgements of unsynced writes.
tap.test('the search finds a missing write order', async (t) => {
	const pattern = /committed entries|another entry|both lead/v;
	t.ok(findViolation({isWriteOrderDisabled: true}, pattern));
});

// Guards against the removal of a healthy voter by a join request that arrives after a compaction, after
// which two lost disks left no majority.
tap.test('the group recovers from the losses of seed 183', async (t) => {
	const report = safetySearch.runSearch({seed: 183, peerCount: 5});
	t.ok(report.lostDisks > 0);
});
