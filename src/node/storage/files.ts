/**
 * Files that survive a crash at any moment: a file is replaced as a whole, and a rename counts
 * only after its folder is synced.
 */
import type {Buffer} from 'node:buffer';
import * as fs from 'node:fs/promises';
import * as path from 'node:path';
import * as records from './records.js';

/** Syncs the entries of a folder. */
export async function syncFolder(folder: string): Promise<void> {
	const handle = await fs.open(folder, 'r');
	try {
		await handle.sync();
	} finally {
		await handle.close();
	}
}

/** Replaces a file: write to a temporary file, sync, rename, sync the folder. */
export async function storeFile(file: string, content: Buffer): Promise<void> {
	const temporary = `${file}.tmp`;
	const handle = await fs.open(temporary, 'w');
	try {
		await handle.writeFile(content);
		await handle.sync();
	} finally {
		await handle.close();
	}

	await fs.rename(temporary, file);
	await syncFolder(path.dirname(file));
}

/** Reads a file; undefined when there is none. */
export async function loadFile(file: string): Promise<Buffer | undefined> {
	try {
		return await fs.readFile(file);
	} catch (error) {
		if ((error as NodeJS.ErrnoException).code === 'ENOENT') {
			return undefined;
		}

		throw error;
	}
}

/** Replaces a file by one record. */
export async function storeRecord(file: string, value: unknown): Promise<void> {
	await storeFile(file, records.encodeRecord(value));
}

/**
 * Reads a file of one record; undefined when there is none.
 *
 * @throws A `StorageError` when the file does not hold exactly one whole record.
 */
export async function loadRecord(file: string): Promise<unknown> {
	const content = await loadFile(file);
	if (content === undefined) {
		return undefined;
	}

	// Such a file is never appended to, so a torn record is damage too.
	const decoded = records.decodeRecords(file, content);
	if (decoded.records.length !== 1 || decoded.end !== content.length) {
		throw records.makeDamageError(file, decoded.end, 'incomplete record');
	}

	return decoded.records[0].value;
}
