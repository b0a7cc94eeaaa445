/**
 * A small file that tells a folder that never held a log from one that lost it. A peer whose log
 * was lost must not vote with its old identity.
 */
import * as path from 'node:path';
import * as files from './files.js';

const fileName = 'marker';

export type Marker = {
	/** The folder holds a log. Set once the first write is synced and before it is confirmed. */
	readonly isUsed: boolean;
	/** The log was lost at least once, and no vote or term was stored since. */
	readonly isDataLost: boolean;
};

/** Reads the marker; a missing one means that the folder is new. */
export async function loadMarker(folder: string): Promise<Marker> {
	const value = await files.loadRecord(path.join(folder, fileName));
	return (value as Marker | undefined) ?? {isUsed: false, isDataLost: false};
}

export async function storeMarker(
	folder: string,
	marker: Marker,
): Promise<void> {
	await files.storeRecord(path.join(folder, fileName), marker);
}
