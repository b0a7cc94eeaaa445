/**
 * File operations that are safe against a crash at any moment: a file is replaced as a whole, and a
 * rename is durable only after its folder is synced.
 */
import type {Buffer} from 'node:buffer';
import * as path from 'node:path';
import * as records from './records.js';
import type * as types from './types.js';

const temporarySuffix = '.tmp';

/** The disk took no more bytes; the files are as they were before the write. */
export class DiskFullError extends Error {
	override readonly name = 'DiskFullError';
}

/** Tells whether a call failed because the disk, or the quota of the user, is full. */
export function isDiskFull(error: unknown): boolean {
	const {code} = error as NodeJS.ErrnoException;
	return code === 'ENOSPC' || code === 'EDQUOT';
}

/**
 * Replaces a file: writes and syncs a temporary file, renames it, and syncs the folder.
 *
 * @throws A `DiskFullError` when there is no room; the file is then unchanged.
 */
export async function storeFile(
	fileSystem: types.FileSystem,
	file: string,
	content: Buffer,
): Promise<void> {
	const temporaryFile = `${file}${temporarySuffix}`;
	try {
		await writeFile(fileSystem, temporaryFile, content);
		await fileSystem.renameFile(temporaryFile, file);
	} catch (error) {
		// The space is needed most when there is none left.
		await fileSystem.removeFile(temporaryFile);
		throw isDiskFull(error)
			? new DiskFullError(`no room for ${file}`, {cause: error})
			: error;
	}

	await fileSystem.syncFolder(path.dirname(file));
}

/** Removes the temporary files of a process that ended while it wrote them. */
export async function removeTemporaryFiles(
	fileSystem: types.FileSystem,
	folder: string,
): Promise<void> {
	for (const name of await fileSystem.listFolder(folder)) {
		if (name.endsWith(temporarySuffix)) {
			await fileSystem.removeFile(path.join(folder, name));
		}
	}
}

async function writeFile(
	fileSystem: types.FileSystem,
	file: string,
	content: Buffer,
): Promise<void> {
	const handle = await fileSystem.openFile(file, 'replace');
	try {
		await handle.append(content);
		await handle.sync();
	} finally {
		await handle.close();
	}
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
