import {Buffer} from 'node:buffer';
import * as fs from 'node:fs/promises';
import * as path from 'node:path';
import * as fc from 'fast-check';
import tap from 'tap';
import type * as ids from '../../common/ids.js';
import type * as types from '../../common/consensus/types.js';
import * as logStorage from './log-storage.js';

const names = ['log', 'hard-state', 'snapshot', 'marker'] as const;
const peer = 'a' as ids.PeerId;

function makeEntries(
	from: number,
	count: number,
): Array<types.LogEntry<string>> {
	return Array.from({length: count}, (_, offset) => ({
		index: from + offset,
		term: 1,
		payload: {type: 'command', command: `command ${from + offset}`},
	}));
}

async function loadFolder(
	folder: string,
): Promise<types.StoredLog<string, string>> {
	const storage = await logStorage.openLogStorage<string, string>(folder, {
		skipsLock: true,
	});
	try {
		return await storage.load();
	} finally {
		await storage.close();
	}
}

/** Creates a folder with a snapshot and entries after it; returns the contents of its files. */
async function createFiles(folder: string): Promise<Map<string, Buffer>> {
	const storage = await logStorage.openLogStorage<string, string>(folder, {
		skipsLock: true,
	});
	await storage.load();
	await storage.write({
		hardState: {term: 1, votedFor: peer},
		append: makeEntries(1, 4),
	});
	await storage.write({
		snapshot: {index: 2, term: 1, voters: [peer], state: 's'},
	});
	await storage.write({append: makeEntries(5, 2)});
	await storage.close();
	const files = new Map<string, Buffer>();
	for (const name of names) {
		files.set(name, await fs.readFile(path.join(folder, name)));
	}

	return files;
}

// Guards against damaged files that end the process without naming the file, or give entries that nobody
// wrote.
tap.test('damaged files are refused or give a beginning', async (t) => {
	const folder = t.testdir();
	const files = await createFiles(folder);
	const {entries: written} = await loadFolder(folder);
	t.equal(written.length, 4);
	const damage = fc.oneof(
		fc.nat(400).map((size) => (content: Buffer) => content.subarray(0, size)),
		fc
			.constantFrom(...names)
			.map(
				(name) => (content: Buffer) =>
					Buffer.concat([content, files.get(name)!]),
			),
		fc.tuple(fc.nat(400), fc.uint8Array({maxLength: 30})).map(
			([offset, bytes]) =>
				(content: Buffer) =>
					Buffer.concat([
						content.subarray(0, offset),
						bytes,
						content.subarray(offset),
					]),
		),
		fc.constantFrom(...names).map((name) => () => files.get(name)!),
		fc.uint8Array({maxLength: 40}).map((bytes) => () => Buffer.from(bytes)),
	);
	await fc.assert(
		fc.asyncProperty(
			fc.constantFrom(...names),
			damage,
			async (name, damageContent) => {
				for (const [file, content] of files) {
					await fs.writeFile(
						path.join(folder, file),
						file === name ? damageContent(content) : content,
					);
				}

				try {
					const {entries} = await loadFolder(folder);
					const expected = written.slice(0, entries.length);
					return JSON.stringify(entries) === JSON.stringify(expected);
				} catch (error) {
					if ((error as Error).name !== 'StorageError') {
						throw error;
					}

					return true;
				}
			},
		),
		{seed: 20_261_206, numRuns: 150},
	);
});
