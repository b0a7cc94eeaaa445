import * as timers from 'node:timers/promises';
import * as util from 'node:util';
import * as fc from 'fast-check';
import tap from 'tap';
import type * as ids from '../../common/ids.js';
import * as fakeNetwork from '../../common/consensus/fake-network.js';
import type * as types from '../../common/consensus/types.js';
import * as fakeDisk from './fake-disk.js';
import * as logStorage from './log-storage.js';
import * as spaceWatch from './space-watch.js';
import * as testing from './testing.js';

type Storage = types.LogStorage<string, string>;

const folder = '/data';
const [peerA] = ['a', 'b'] as ids.PeerId[];

async function openStorage(
	disk: fakeDisk.FakeDisk,
	options: logStorage.StorageOptions = {},
): Promise<Storage> {
	return logStorage.openLogStorage<string, string>(folder, {
		skipsLock: true,
		waitForRetry: async () => timers.setImmediate(),
		fileSystem: disk,
		...options,
	});
}

async function loadDisk(
	disk: fakeDisk.FakeDisk,
): Promise<types.StoredLog<string, string>> {
	const storage = await openStorage(disk);
	try {
		return await storage.load();
	} finally {
		await storage.close();
	}
}

/** Fills the rest of a disk; the function that is returned makes room again. */
function fillDisk(disk: fakeDisk.FakeDisk): () => void {
	disk.capacity = disk.usedBytes;
	return () => {
		disk.capacity = Number.POSITIVE_INFINITY;
	};
}

async function waitUntil(condition: () => boolean): Promise<void> {
	while (!condition()) {
		await timers.setImmediate();
	}
}

/** A call that is never answered. */
const never = new Promise<void>(() => {
	// Never settles.
});

/** Refuses or shortens calls at random; refuses no more than a few in a row. */
function refuseCalls(
	disk: fakeDisk.FakeDisk,
	random: () => number,
	rate: number,
): void {
	disk.decideCall = ({type, bytes}) => {
		if (type === 'sync' || type === 'syncFolder' || random() >= rate) {
			return {type: 'done'};
		}

		return random() < 0.5
			? {type: 'refused'}
			: {type: 'shortened', bytes: Math.floor(random() * bytes)};
	};
}

const choices = fc.array(
	fc.tuple(fc.nat({max: 4}), fc.integer({min: 1, max: 4})),
	{minLength: 1, maxLength: 12},
);

// Guards against a write that a full disk refused in part and that is then lost, repeated or followed by
// records that cannot be read.
tap.test('refused writes are stored once there is room', async (t) => {
	await fc.assert(
		fc.asyncProperty(choices, fc.nat(), async (chosen, seed) => {
			const disk = new fakeDisk.FakeDisk();
			refuseCalls(disk, fakeNetwork.makeRandom(seed), 0.4);
			const storage = await openStorage(disk);
			await storage.load();
			const writes = testing.makeWrites(chosen);
			await Promise.all(writes.map(async (write) => storage.write(write)));
			await storage.close();
			let model = fakeNetwork.makeEmptyStoredLog<string>();
			for (const write of writes) {
				model = fakeNetwork.applyWrite(model, write);
			}

			t.same(await loadDisk(disk), model);
		}),
		{seed: 50, numRuns: 150},
	);
});

// Guards against a loss of power after refused writes that loses acknowledged ones or leaves a file that
// cannot be read.
tap.test('a loss of power keeps what was stored on a full disk', async (t) => {
	await fc.assert(
		fc.asyncProperty(
			choices,
			fc.nat(),
			fc.nat({max: 40}),
			async (chosen, seed, crashAt) => {
				const random = fakeNetwork.makeRandom(seed);
				const disk = new fakeDisk.FakeDisk();
				const storage = await openStorage(disk);
				await storage.load();
				refuseCalls(disk, random, 0.3);
				const {decideCall} = disk;
				let callCount = 0;
				disk.decideCall = (call) => {
					callCount++;
					return callCount > crashAt
						? {type: 'delayed', until: never}
						: decideCall(call);
				};

				const writes = testing.makeWrites(chosen);
				const models = [fakeNetwork.makeEmptyStoredLog<string>()];
				for (const write of writes) {
					models.push(fakeNetwork.applyWrite(models.at(-1)!, write));
				}

				let storedCount = 0;
				const storeInTurn = async () => {
					await Promise.all(
						writes.map(async (write, index) => {
							await storage.write(write);
							storedCount = index + 1;
						}),
					);
				};

				void storeInTurn();

				await waitUntil(
					() => storedCount === writes.length || callCount > crashAt,
				);
				disk.crash(random);
				disk.decideCall = () => ({type: 'done'});
				const {hardState, snapshot, entries} = await loadDisk(disk);
				const candidates = models.slice(storedCount);
				t.ok(
					candidates.some((model) =>
						util.isDeepStrictEqual(model.hardState, hardState),
					),
					'the term and the vote are those of the last write or of a later one',
				);
				t.ok(
					candidates.some((model) =>
						util.isDeepStrictEqual(
							[model.snapshot, model.entries],
							[snapshot, entries],
						),
					),
					'the log is that of the last write or of a later one',
				);
			},
		),
		{seed: 51, numRuns: 200},
	);
});

// Guards against a peer that cannot start, and so never makes room, because a start writes.
tap.test('a start needs no free byte', async (t) => {
	const disk = new fakeDisk.FakeDisk();
	const storage = await openStorage(disk);
	await storage.load();
	await storage.write({
		hardState: {term: 1, votedFor: peerA},
		append: testing.makeEntries(1, 4),
	});
	let hasSnapshot = false;
	disk.decideCall = ({type, file}) => {
		hasSnapshot ||= type === 'rename' && file.includes('snapshot');
		return hasSnapshot && file.includes('log')
			? {type: 'delayed', until: never}
			: {type: 'done'};
	};

	const snapshot = {index: 2, term: 1, voters: [peerA], state: 's'};
	void storage.write({snapshot});
	await waitUntil(() => hasSnapshot);
	await disk.syncFolder(folder);
	disk.decideCall = () => ({type: 'done'});
	disk.storeFile(`${folder}/log.tmp`, new Uint8Array(500));
	const makeRoom = fillDisk(disk);
	disk.decideCall = ({type}) =>
		type === 'create' || type === 'rename' || type === 'append'
			? {type: 'refused'}
			: {type: 'done'};

	const restarted = await openStorage(disk);
	const loaded = await restarted.load();
	t.equal(loaded.snapshot?.index, 2);
	t.same(
		loaded.entries.map(({index}) => index),
		[3, 4],
	);
	const names = await disk.listFolder(folder);
	t.notOk(names.includes('log.tmp'));
	let isStored = false;
	const write = restarted
		.write({
			hardState: {term: 2, votedFor: peerA},
			append: testing.makeEntries(5, 1, 2),
		})
		.then(() => {
			isStored = true;
		});
	await waitUntil(() => restarted.readStatus!().refusals > 3);
	t.notOk(isStored);
	t.equal(restarted.readStatus!().space, 'exhausted');
	makeRoom();
	disk.decideCall = () => ({type: 'done'});
	await write;
	await waitUntil(() => restarted.readStatus!().space === 'sufficient');
	await restarted.close();
	const {hardState, entries} = await loadDisk(disk);
	t.equal(hardState.term, 2);
	t.equal(entries.length, 3);
});

// Guards against a process that goes on after a failed sync, when it is unknown what the disk holds.
tap.test('a failed sync of the log is not tried again', async (t) => {
	const disk = new fakeDisk.FakeDisk();
	const storage = await openStorage(disk);
	await storage.load();
	await storage.write({append: testing.makeEntries(1, 1)});
	disk.decideCall = ({type, file}) => ({
		type: type === 'sync' && file.endsWith('log') ? 'refused' : 'done',
	});
	await t.rejects(storage.write({append: testing.makeEntries(2, 1)}), {
		code: 'ENOSPC',
	});
	disk.decideCall = () => ({type: 'done'});
	await t.rejects(
		storage.write({append: testing.makeEntries(2, 1)}),
		/accepts no writes/v,
	);
	await storage.close();
});

// Guards against a refused replacement of a file that leaves its temporary copy on the full disk.
tap.test('a refused snapshot leaves no temporary file', async (t) => {
	const disk = new fakeDisk.FakeDisk();
	const storage = await openStorage(disk);
	await storage.load();
	await storage.write({append: testing.makeEntries(1, 1)});
	const {usedBytes} = disk;
	disk.capacity = usedBytes + 100;
	const state = 's'.repeat(1000);
	const write = storage.write({
		snapshot: {index: 1, term: 1, voters: [peerA], state},
	});
	await waitUntil(() => storage.readStatus!().refusals > 1);
	t.equal(disk.usedBytes, usedBytes);
	disk.capacity = Number.POSITIVE_INFINITY;
	await write;
	await storage.close();
	const {snapshot} = await loadDisk(disk);
	t.equal(snapshot?.state, state);
});

// Guards against a stop that waits for room on the disk.
tap.test('a storage with a refused write can be closed', async (t) => {
	const disk = new fakeDisk.FakeDisk();
	const storage = await openStorage(disk, {
		waitForRetry: async (signal) =>
			timers.setTimeout(60_000, undefined, {signal}),
	});
	await storage.load();
	fillDisk(disk);
	const write = storage.write({append: testing.makeEntries(1, 1)});
	await waitUntil(() => storage.readStatus!().refusals > 0);
	await Promise.all([t.rejects(write, {name: 'AbortError'}), storage.close()]);
});

// Guards against a process that cannot start because its lock file needs space.
tap.test('a lock file is taken over on a full disk', async (t) => {
	const disk = new fakeDisk.FakeDisk();
	disk.storeFile(`${folder}/claim.other-boot.1.5`, new Uint8Array(0));
	disk.decideCall = ({type}) => ({
		type: type === 'create' ? 'refused' : 'done',
	});
	const storage = await openStorage(disk, {skipsLock: false});
	const names = await disk.listFolder(folder);
	t.equal(names.length, 1);
	t.not(names[0], 'claim.other-boot.1.5');
	await storage.close();
	await t.rejects(openStorage(disk, {skipsLock: false}), {code: 'ENOSPC'});
});

// Guards against a disk that becomes full without a warning.
tap.test('low space is reported before a write is refused', async (t) => {
	const disk = new fakeDisk.FakeDisk();
	const reported: types.StorageSpace[] = [];
	const watch = new spaceWatch.SpaceWatch(disk, folder, 1000);
	watch.setListener((space) => {
		reported.push(space);
	});
	disk.capacity = 1000;
	await watch.check();
	disk.capacity = 999;
	await watch.check();
	watch.recordWrite(true);
	watch.recordWrite(true);
	watch.recordWrite(false);
	await watch.check();
	disk.capacity = 5000;
	await watch.check();
	t.same(reported, ['low', 'exhausted', 'low', 'sufficient']);
	t.equal(watch.refusals, 2);
});
