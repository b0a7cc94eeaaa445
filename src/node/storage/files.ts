/**
 * File operations that are safe against a crash at any moment: a file is replaced as a whole, and a
 * rename is durable only after its folder is synced.
 */
import type {Buffer} from 'node:buffer';
import * as fs from 'node:fs/promises';
import * as path from 'node:path';
import * as records from './records.js';

/** Syncs a folder, which makes its created and renamed entries durable. */
export async function syncFolder(folder: string): Promise<void> {
	const handle = await fs.open(folder, 'r');
	try {
		await handle.sync();
	} finally {
		await handle.close();
	}
}

/** Replaces a file: writes and syncs a temporary file, renames it, and syncs the folder. */
export async function storeFile(file: string, content: Buffer): Promise<void> {
	const temporaryFile = `${file}.tmp`;
	const handle = await fs.open(temporaryFile, 'w');
	try {
		await handle.writeFile(content);
		await handle.sync();
	} finally {
		await handle.close();
	}

	await fs.rename(temporaryFile, file);
	await syncFolder(path.dirname(file));
}

/** Reads a file; resolves with undefined when it does not exist. */
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

/** Replaces the content of a file with one record. */
export async function storeRecord(file: string, value: unknown): Promise<void> {
	await storeFile(file, records.encodeRecord(value));
}

/**
 * Reads a file that holds one record; resolves with undefined when it does not exist.
 *
 * @throws A `StorageError` when the file does not hold exactly one complete record.
 */
export async function loadRecord(file: string): Promise<unknown> {
	const content = await loadFile(file);
	if (content === undefined) {
		return undefined;
	}

	// Such a file is never appended to, so a torn record is corruption as well.
	const decoded = records.decodeRecords(file, content);
	if (decoded.records.length !== 1 || decoded.end !== content.length) {
		throw records.makeCorruptionError(file, decoded.end, 'incomplete record');
	}

	return decoded.records[0].value;
}
