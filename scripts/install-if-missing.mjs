/**
 * Installs the locked dependencies when `node_modules` is missing or older than the lock file,
 * so that the README's commands work on a fresh clone.
 */
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import process from 'node:process';

const installedLock = 'node_modules/.package-lock.json';

function isInstalled() {
	if (!fs.existsSync(installedLock)) {
		return false;
	}

	return (
		fs.statSync(installedLock).mtimeMs >=
		fs.statSync('package-lock.json').mtimeMs
	);
}

if (!isInstalled()) {
	const result = childProcess.spawnSync(
		'npm',
		['ci', '--no-audit', '--no-fund'],
		{stdio: 'inherit'},
	);
	process.exit(result.status ?? 1);
}
