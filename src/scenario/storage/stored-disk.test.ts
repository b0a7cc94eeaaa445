import * as timers from 'node:timers/promises';
import tap from 'tap';
import * as safetySearch from '../../common/consensus/safety-search.js';
import * as storedDisk from './stored-disk.js';

const seedCount = 8;

for (const peerCount of [3, 5]) {
	// Guards against acknowledged entries that the files lose, and files that cannot be read, when disks are
	// full or slow at any call and processes and VMs end in the midst of one.
	tap.test(`no violation on real files with ${peerCount} peers`, async (t) => {
		let applied = 0;
		let crashes = 0;
		let fullDisks = 0;
		for (let seed = 1; seed <= seedCount; seed++) {
			const report = await safetySearch.runSlowSearch(
				{
					seed,
					peerCount,
					fillsDisks: true,
					createDisk: (random) => new storedDisk.StoredDisk(random),
				},
				async () => timers.setImmediate(),
			);
			applied += report.applied;
			crashes += report.crashes;
			fullDisks += report.fullDisks;
		}

		t.ok(applied > 100 * seedCount, `${applied} commands are applied`);
		t.ok(crashes > seedCount, `${crashes} crashes`);
		t.ok(fullDisks > seedCount, `${fullDisks} full disks`);
	});
}
