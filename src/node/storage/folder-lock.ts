/**
 * Prevents two processes from using the same data folder. Each process first creates its own lock
 * file and then looks for lock files of other live processes. Of two processes that start at the
 * same time, at least one sees the other; both may fail, but they never both succeed.
 *
 * The name of a lock file holds the boot id, the process id and the start time of the process, so
 * that the lock of a dead process is not mistaken for that of a later process with the same id.
 */
import * as fs from 'node:fs/promises';
import * as path from 'node:path';
import process from 'node:process';
import * as files from './files.js';
import * as records from './records.js';
import type * as types from './types.js';

const lockPrefix = 'claim';

/** Index of field 22 of /proc/<pid>/stat, counted after the command name, which is field 2. */
const startTimeIndex = 19;

type ProcessIdentity = {
	readonly bootId: string;
	readonly pid: number;
	readonly startTime: string;
};

/**
 * Acquires the lock of a folder for this process.
 *
 * @returns A function that releases the lock.
 * @throws A `StorageError` when another live process, or this one, uses the folder.
 */
export async function acquireFolderLock(
	fileSystem: types.FileSystem,
	folder: string,
): Promise<() => Promise<void>> {
	const ownName = formatLockName(await readIdentity(process.pid));
	const ownFile = path.join(folder, ownName);
	try {
		await fileSystem.createFile(ownFile);
	} catch (error) {
		if ((error as NodeJS.ErrnoException).code === 'EEXIST') {
			throw new records.StorageError(`${folder} is open in this process`);
		}

		const isAcquired =
			files.isDiskFull(error) &&
			(await tryRenameDeadLock(fileSystem, folder, ownFile));
		if (!isAcquired) {
			throw error;
		}
	}

	const names = await fileSystem.listFolder(folder);
	for (const name of names) {
		if (name !== ownName && name.startsWith(`${lockPrefix}.`)) {
			await checkOtherLock(fileSystem, folder, name, ownFile);
		}
	}

	return async () => fileSystem.removeFile(ownFile);
}

/** Makes the lock file of a dead process that of this one, which needs no space on a full disk. */
async function tryRenameDeadLock(
	fileSystem: types.FileSystem,
	folder: string,
	ownFile: string,
): Promise<boolean> {
	for (const name of await fileSystem.listFolder(folder)) {
		if (
			name.startsWith(`${lockPrefix}.`) &&
			!(await isHolderAlive(readHolder(name), name))
		) {
			await fileSystem.renameFile(path.join(folder, name), ownFile);
			return true;
		}
	}

	return false;
}

/** Removes the lock file of a dead process. When that process is alive, removes `ownFile` and throws. */
async function checkOtherLock(
	fileSystem: types.FileSystem,
	folder: string,
	name: string,
	ownFile: string,
): Promise<void> {
	const pid = readHolder(name);
	if (await isHolderAlive(pid, name)) {
		await fileSystem.removeFile(ownFile);
		throw new records.StorageError(`${folder} is used by process ${pid}`);
	}

	await fileSystem.removeFile(path.join(folder, name));
}

/** Returns the process id in the name of a lock file. */
function readHolder(lockName: string): number {
	return Number(lockName.split('.')[2]);
}

async function isHolderAlive(pid: number, lockName: string): Promise<boolean> {
	try {
		process.kill(pid, 0);
	} catch (error) {
		if ((error as NodeJS.ErrnoException).code === 'ESRCH') {
			return false;
		}
	}

	return formatLockName(await readIdentity(pid)) === lockName;
}

async function readIdentity(pid: number): Promise<ProcessIdentity> {
	const bootId = await readTextOrEmpty('/proc/sys/kernel/random/boot_id');
	const stat = await readTextOrEmpty(`/proc/${pid}/stat`);
	// The command name may contain spaces and parentheses.
	const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
	return {bootId, pid, startTime: fields[startTimeIndex] ?? ''};
}

/** Returns '' on systems without /proc, where a lock identifies its process by the id alone. */
async function readTextOrEmpty(file: string): Promise<string> {
	try {
		const text = await fs.readFile(file, 'utf8');
		return text.trim();
	} catch {
		return '';
	}
}

function formatLockName({bootId, pid, startTime}: ProcessIdentity): string {
	return [lockPrefix, bootId, pid, startTime].join('.');
}
