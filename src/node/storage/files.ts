/**
 * File operations that are safe against a crash at any moment: a file is replaced as a whole, and a
 * rename is durable only after its folder is synced.
 */
import type {Buffer} from 'node:buffer';
import * as path from 'node:path';
import * as records from './records.js';
import type * as types from './types.js';

/** Replaces a file: writes and syncs a temporary file, renames it, and syncs the folder. */
export async function storeFile(
	fileSystem: types.FileSystem,
	file: string,
	content: Buffer,
): Promise<void> {
	const temporaryFile = `${file}.tmp`;
	const handle = await fileSystem.openFile(temporaryFile, 'replace');
	try {
		await handle.append(content);
		await handle.sync();
	} finally {
		await handle.close();
	}

	await fileSystem.renameFile(temporaryFile, file);
	await fileSystem.syncFolder(path.dirname(file));
}

/** Replaces the content of a file with one record. */
export async function storeRecord(
	fileSystem: types.FileSystem,
	file: string,
	value: unknown,
): Promise<void> {
	await storeFile(fileSystem, file, records.encodeRecord(value));
}

/**
 * Reads a file that holds one record; resolves with undefined when it does not exist.
 *
 * @throws A `StorageError` when the file does not hold exactly one complete record.
 */
export async function loadRecord(
	fileSystem: types.FileSystem,
	file: string,
): Promise<unknown> {
	const content = await fileSystem.readFile(file);
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
