import * as fs from 'node:fs/promises';
import * as path from 'node:path';
import process from 'node:process';
import tap from 'tap';
import * as fc from 'fast-check';
import type * as ids from '../../common/ids.js';
import type * as types from '../../common/consensus/types.js';
import * as fakeNetwork from '../../common/consensus/fake-network.js';
import * as logStorage from './log-storage.js';
import * as testing from './testing.js';

type Storage = types.LogStorage<string, string>;

const [peerA, peerB] = ['a', 'b'] as ids.PeerId[];

async function loadFolder(
	folder: string,
): Promise<types.StoredLog<string, string>> {
	const storage = await logStorage.openLogStorage<string, string>(folder);
	try {
		return await storage.load();
	} finally {
		await storage.close();
	}
}

async function hasLostData(folder: string): Promise<boolean> {
	const {isDataLost} = await loadFolder(folder);
	return isDataLost ?? false;
}

async function storeWrites(
	folder: string,
	writes: ReadonlyArray<types.StorageWrite<string, string>>,
): Promise<void> {
	const storage: Storage = await logStorage.openLogStorage(folder);
	await storage.load();
	await Promise.all(writes.map(async (write) => storage.write(write)));
	await storage.close();
}

// Guards against a folder that loads something else than was written, for any order of writes.
tap.test('reopened folder holds what the model holds', async (t) => {
	const folder = t.testdir();
	let runCount = 0;
	const choice = fc.tuple(fc.nat({max: 4}), fc.integer({min: 1, max: 4}));
	await fc.assert(
		fc.asyncProperty(
			fc.array(choice, {maxLength: 12}),
			fc.nat({max: 12}),
			async (choices, reopenAt) => {
				runCount++;
				const target = path.join(folder, String(runCount));
				const writes = testing.makeWrites(choices);
				await storeWrites(target, writes.slice(0, reopenAt));
				await storeWrites(target, writes.slice(reopenAt));
				let model = fakeNetwork.makeEmptyStoredLog<string>();
				for (const write of writes) {
					model = fakeNetwork.applyWrite(model, write);
				}

				t.same(await loadFolder(target), model);
			},
		),
		{seed: 5, numRuns: 60},
	);
});

// Guards against a crash during an append that prevents the process from starting or loses entries
// of earlier writes.
tap.test('a torn last record is removed on load', async (t) => {
	const folder = t.testdir();
	const log = path.join(folder, 'log');
	await storeWrites(folder, [{append: testing.makeEntries(1, 3)}]);
	const intact = await fs.readFile(log);
	await storeWrites(folder, [{append: testing.makeEntries(4, 2)}]);
	const extended = await fs.readFile(log);
	for (let size = intact.length; size < extended.length; size++) {
		await fs.writeFile(log, extended.subarray(0, size));
		const {entries} = await loadFolder(folder);
		t.equal(entries.length, 3, `cut at byte ${size}`);
	}

	t.same(await fs.readFile(log), intact, 'the torn record is removed');
	await storeWrites(folder, [{append: testing.makeEntries(4, 1, 2)}]);
	const {entries} = await loadFolder(folder);
	t.equal(entries.length, 4);
});

// Guards against corruption that silently drops synced entries.
tap.test('loading a corrupted file is an error', async (t) => {
	const folder = t.testdir();
	await storeWrites(folder, [
		{hardState: {term: 3, votedFor: peerA}},
		{append: testing.makeEntries(1, 2)},
		{append: testing.makeEntries(3, 2)},
	]);
	for (const name of ['log', 'hard-state', 'marker']) {
		const file = path.join(folder, name);
		const content = await fs.readFile(file);
		for (let offset = 0; offset < content.length; offset++) {
			const corrupted = Uint8Array.from(content);
			corrupted[offset] ^= 0x10;
			await fs.writeFile(file, corrupted);
			await t.rejects(loadFolder(folder), {
				name: 'StorageError',
				message: new RegExp(String.raw`${name}, offset \d+: `, 'v'),
			});
		}

		await fs.writeFile(file, content);
	}

	await fs.rm(path.join(folder, 'log'));
	await t.rejects(loadFolder(folder), /log, offset 0: file is missing/v);
});

// Guards against a peer that votes again in a term because it lost the record of its vote.
tap.test('lost data is distinguished from a new folder', async (t) => {
	const folder = t.testdir();
	t.notOk(await hasLostData(folder), 'new folder');
	await storeWrites(folder, [{hardState: {term: 3, votedFor: peerA}}]);
	for (const name of ['log', 'hard-state']) {
		await fs.rm(path.join(folder, name));
	}

	t.ok(await hasLostData(folder));
	await storeWrites(folder, [{append: testing.makeEntries(1, 1)}]);
	t.ok(await hasLostData(folder), 'data counts as lost until a term is stored');
	await storeWrites(folder, [{hardState: {term: 4, votedFor: peerB}}]);
	t.notOk(await hasLostData(folder));
});

// Guards against two processes that write to the same log.
tap.test('folder is locked by one live process', async (t) => {
	const folder = t.testdir({
		'claim.other-boot.1.5': '',
		[`claim..${2 ** 22 + 1}.5`]: '',
	});
	const storage = await logStorage.openLogStorage(folder);
	await t.rejects(logStorage.openLogStorage(folder), /open in this process/v);
	await storage.close();
	t.same(
		await fs.readdir(folder),
		[],
		'lock files of dead processes are removed',
	);
	const stat = await fs.readFile(`/proc/${process.ppid}/stat`, 'utf8');
	const startTime = stat.replace(/^.*\) /v, '').split(' ')[19];
	const boot = await fs.readFile('/proc/sys/kernel/random/boot_id', 'utf8');
	const lockName = `claim.${boot.trim()}.${process.ppid}.${startTime}`;
	await fs.writeFile(path.join(folder, lockName), '');
	await t.rejects(logStorage.openLogStorage(folder), /used by process/v);
	t.same(await fs.readdir(folder), [lockName]);
});
