/**
 * A small file that distinguishes a folder that never held a log from one that lost its log. A peer
 * whose log was lost must not vote under its old identity.
 */
import * as path from 'node:path';
import * as files from './files.js';
import type * as types from './types.js';

const fileName = 'marker';

export type Marker = {
	/** The folder holds a log. Set after the first write is synced and before that write resolves. */
	readonly isUsed: boolean;
	/** The log was lost at least once; ignored once a term is stored again. */
	readonly isDataLost: boolean;
};

/** Reads the marker; when the file is missing, the folder is new. */
export async function loadMarker(
	fileSystem: types.FileSystem,
	folder: string,
): Promise<Marker> {
	const value = await files.loadRecord(fileSystem, path.join(folder, fileName));
	return (value as Marker | undefined) ?? {isUsed: false, isDataLost: false};
}

export async function storeMarker(
	fileSystem: types.FileSystem,
	folder: string,
	marker: Marker,
): Promise<void> {
	await files.storeRecord(fileSystem, path.join(folder, fileName), marker);
}
