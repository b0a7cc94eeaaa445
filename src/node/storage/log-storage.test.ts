import * as fs from 'node:fs/promises';
import * as path from 'node:path';
import process from 'node:process';
import tap from 'tap';
import * as fc from 'fast-check';
import type * as ids from '../../common/ids.js';
import type * as types from '../../common/consensus/types.js';
import * as fakeNetwork from '../../common/consensus/fake-network.js';
import * as logStorage from './log-storage.js';

type Storage = types.LogStorage<string, string>;

const [a, b] = ['a', 'b'] as ids.PeerId[];

function makeEntries(
	from: number,
	count: number,
	term = 1,
): Array<types.LogEntry<string>> {
	return Array.from({length: count}, (_, offset) => ({
		index: from + offset,
		term,
		payload: {type: 'command', command: `command ${from + offset}`},
	}));
}

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

/** Chooses writes as a reducer makes them: contiguous entries, snapshots of what is there. */
function makeWrites(
	choices: ReadonlyArray<readonly [number, number]>,
): Array<types.StorageWrite<string, string>> {
	let stored = fakeNetwork.makeEmptyStoredLog<string>();
	return choices.map(([kind, size], term) => {
		const base = stored.snapshot?.index ?? 0;
		const last = base + stored.entries.length;
		const cut = Math.max(base + 1, last + 1 - size);
		const at = stored.entries[Math.min(size, stored.entries.length) - 1];
		const snapshot = at
			? {index: at.index, term: at.term, voters: [a, b], state: `s${term}`}
			: {index: last + size, term, voters: [a], state: `s${term}`};
		const variants: Array<types.StorageWrite<string, string>> = [
			{append: makeEntries(last + 1, size, term)},
			{hardState: {term, votedFor: size === 1 ? a : undefined}},
			{truncateFrom: cut, append: makeEntries(cut, 2, term)},
			{snapshot},
			{
				hardState: {term, votedFor: b},
				append: makeEntries(last + 1, 1, term),
			},
		];
		const write = variants[kind];
		stored = fakeNetwork.applyWrite(stored, write);
		return write;
	});
}

// Guards against files that give back something else than was written, in any order of writes.
tap.test('reopened folder equals the model', async (t) => {
	const folder = t.testdir();
	let run = 0;
	const choice = fc.tuple(fc.nat({max: 4}), fc.integer({min: 1, max: 4}));
	await fc.assert(
		fc.asyncProperty(
			fc.array(choice, {maxLength: 12}),
			fc.nat({max: 12}),
			async (choices, split) => {
				run++;
				const target = path.join(folder, String(run));
				const writes = makeWrites(choices);
				await storeWrites(target, writes.slice(0, split));
				await storeWrites(target, writes.slice(split));
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

// Guards against a crash during an append that keeps the process from starting or loses more.
tap.test('torn last record is cut', async (t) => {
	const folder = t.testdir();
	const log = path.join(folder, 'log');
	await storeWrites(folder, [{append: makeEntries(1, 3)}]);
	const whole = await fs.readFile(log);
	await storeWrites(folder, [{append: makeEntries(4, 2)}]);
	const longer = await fs.readFile(log);
	for (let size = whole.length; size < longer.length; size++) {
		await fs.writeFile(log, longer.subarray(0, size));
		const {entries} = await loadFolder(folder);
		t.equal(entries.length, 3, `cut at byte ${size}`);
	}

	t.same(await fs.readFile(log), whole, 'the rest is removed');
	await storeWrites(folder, [{append: makeEntries(4, 1, 2)}]);
	const {entries} = await loadFolder(folder);
	t.equal(entries.length, 4);
});

// Guards against damage that silently drops synced entries.
tap.test('damage is an error', async (t) => {
	const folder = t.testdir();
	await storeWrites(folder, [
		{hardState: {term: 3, votedFor: a}},
		{append: makeEntries(1, 2)},
		{append: makeEntries(3, 2)},
	]);
	for (const name of ['log', 'hard-state', 'marker']) {
		const file = path.join(folder, name);
		const content = await fs.readFile(file);
		for (let offset = 0; offset < content.length; offset++) {
			const damaged = Uint8Array.from(content);
			damaged[offset] ^= 0x10;
			await fs.writeFile(file, damaged);
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

// Guards against a peer that votes again after it lost its vote.
tap.test('lost data differs from a new folder', async (t) => {
	const folder = t.testdir();
	t.notOk(await hasLostData(folder), 'new folder');
	await storeWrites(folder, [{hardState: {term: 3, votedFor: a}}]);
	for (const name of ['log', 'hard-state']) {
		await fs.rm(path.join(folder, name));
	}

	t.ok(await hasLostData(folder));
	await storeWrites(folder, [{append: makeEntries(1, 1)}]);
	t.ok(await hasLostData(folder), 'until it has a term');
	await storeWrites(folder, [{hardState: {term: 4, votedFor: b}}]);
	t.notOk(await hasLostData(folder));
});

// Guards against two processes that write one log.
tap.test('folder has one user', async (t) => {
	const folder = t.testdir({
		'claim.other-boot.1.5': '',
		[`claim..${2 ** 22 + 1}.5`]: '',
	});
	const storage = await logStorage.openLogStorage(folder);
	await t.rejects(logStorage.openLogStorage(folder), /open in this process/v);
	await storage.close();
	t.same(await fs.readdir(folder), [], 'claims of dead processes are removed');
	const stat = await fs.readFile(`/proc/${process.ppid}/stat`, 'utf8');
	const startTime = stat.replace(/^.*\) /v, '').split(' ')[19];
	const boot = await fs.readFile('/proc/sys/kernel/random/boot_id', 'utf8');
	const claim = `claim.${boot.trim()}.${process.ppid}.${startTime}`;
	await fs.writeFile(path.join(folder, claim), '');
	await t.rejects(logStorage.openLogStorage(folder), /used by process/v);
	t.same(await fs.readdir(folder), [claim]);
});
