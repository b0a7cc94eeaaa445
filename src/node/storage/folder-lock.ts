/**
 * Keeps two processes from using one data folder. Each process first creates a claim file that
 * names it and then looks for claims of other live processes. Of two processes that start at once
 * at least one sees the other; both may give up, but never do both go on.
 *
 * A claim names the boot, the process id and its start time, so that the claim of a dead process
 * is not mistaken for that of a later process with the same id.
 */
import * as fs from 'node:fs/promises';
import * as path from 'node:path';
import process from 'node:process';
import * as records from './records.js';

const claimPrefix = 'claim';

/** Field 22 of /proc/<pid>/stat, counted after the command name, which is field 2. */
const startTimeField = 19;

type Identity = {
	readonly boot: string;
	readonly pid: number;
	readonly startTime: string;
};

/**
 * Claims a folder for this process.
 *
 * @returns A function that gives the folder back.
 * @throws A `StorageError` when another live process, or this one, uses the folder.
 */
export async function openFolderLock(
	folder: string,
): Promise<() => Promise<void>> {
	const own = formatClaim(await readIdentity(process.pid));
	const file = path.join(folder, own);
	try {
		await fs.writeFile(file, '', {flag: 'wx'});
	} catch (error) {
		if ((error as NodeJS.ErrnoException).code === 'EEXIST') {
			throw new records.StorageError(`${folder} is open in this process`);
		}

		throw error;
	}

	const others = await fs.readdir(folder);
	for (const name of others) {
		if (name !== own && name.startsWith(`${claimPrefix}.`)) {
			await checkClaim(folder, name, file);
		}
	}

	return async () => fs.rm(file, {force: true});
}

/** Removes the claim of a dead process; gives up the own claim for that of a live one. */
async function checkClaim(
	folder: string,
	name: string,
	ownFile: string,
): Promise<void> {
	const pid = Number(name.split('.')[2]);
	if (await isAlive(pid, name)) {
		await fs.rm(ownFile, {force: true});
		throw new records.StorageError(`${folder} is used by process ${pid}`);
	}

	await fs.rm(path.join(folder, name), {force: true});
}

async function isAlive(pid: number, claim: string): Promise<boolean> {
	try {
		process.kill(pid, 0);
	} catch (error) {
		if ((error as NodeJS.ErrnoException).code === 'ESRCH') {
			return false;
		}
	}

	return formatClaim(await readIdentity(pid)) === claim;
}

async function readIdentity(pid: number): Promise<Identity> {
	const boot = await tryRead('/proc/sys/kernel/random/boot_id');
	const stat = await tryRead(`/proc/${pid}/stat`);
	// The command name may contain spaces and parentheses.
	const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
	return {boot, pid, startTime: fields[startTimeField] ?? ''};
}

/** Returns '' on systems without /proc, where the process id alone must do. */
async function tryRead(file: string): Promise<string> {
	try {
		const text = await fs.readFile(file, 'utf8');
		return text.trim();
	} catch {
		return '';
	}
}

function formatClaim({boot, pid, startTime}: Identity): string {
	return [claimPrefix, boot, pid, startTime].join('.');
}
