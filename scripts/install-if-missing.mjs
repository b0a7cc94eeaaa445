/**
 * Installs the locked dependencies when `node_modules` is missing or belongs to another lock file,
 * so that the README's commands work on a fresh clone.
 */
import * as childProcess from 'node:child_process';
import * as crypto from 'node:crypto';
import * as fs from 'node:fs';
import process from 'node:process';

const markerFile = 'node_modules/.installed-lock';

function hashLockFile() {
	return crypto
		.createHash('sha256')
		.update(fs.readFileSync('package-lock.json'))
		.digest('hex');
}

function isInstalled() {
	return (
		fs.existsSync(markerFile) &&
		fs.readFileSync(markerFile, 'utf8') === hashLockFile()
	);
}

if (!isInstalled()) {
	// Installs the locked versions without changing the lock file, and keeps installed packages.
	const result = childProcess.spawnSync(
		'npm',
		['install', '--no-save', '--no-audit', '--no-fund'],
		{stdio: 'inherit'},
	);
	if (result.status !== 0) {
		process.exit(result.status ?? 1);
	}

	fs.writeFileSync(markerFile, hashLockFile());
}
