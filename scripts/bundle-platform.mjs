/**
 * Builds the platform program: one file with all modules, and the code cache of each role. A process
 * then loads one file that is compiled already instead of several hundred.
 */
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import process from 'node:process';
import * as esbuild from 'esbuild';
import * as codeCache from './code-cache.mjs';

await esbuild.build({
	entryPoints: ['platform/main.ts'],
	bundle: true,
	platform: 'node',
	target: 'node20',
	format: 'cjs',
	// The starter reads the bundle as single-byte characters.
	charset: 'ascii',
	// Stack traces in the log have to name lines and functions.
	minifySyntax: true,
	// Optional native parts; the libraries work without them.
	external: ['cbor-extract'],
	outfile: codeCache.bundleFile,
	logLevel: 'warning',
});

/** Lists each role of the deploy file with the flags that Node.js gets. */
function listRoles() {
	const text = fs.readFileSync('deploy/system.toml', 'utf8');
	const lines = text.matchAll(
		/^run = "node (?<flags>.*)scripts\/start-platform\.mjs (?<role>\w+)"$/gmv,
	);
	return [...lines].map(({groups: {flags, role}}) => ({
		role,
		flags: flags.split(' ').filter(Boolean),
	}));
}

for (const {role, flags} of listRoles()) {
	childProcess.execFileSync(
		process.execPath,
		[...flags, 'scripts/write-code-cache.mjs', role],
		{stdio: 'inherit'},
	);
}
