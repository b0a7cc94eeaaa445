/**
 * Bundles all modules of the platform program into one file and writes the code cache of each role. A
 * process then loads one precompiled file instead of several hundred files.
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
	// Pure ASCII, because code-cache.mjs reads the bundle as Latin-1.
	charset: 'ascii',
	// Names and line breaks stay, so that stack traces in the log show functions and lines.
	minifySyntax: true,
	// An optional native addon; the libraries work without it.
	external: ['cbor-extract'],
	outfile: codeCache.bundleFile,
	logLevel: 'warning',
});

/** Lists the roles of the deploy file with their flags for Node.js. */
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
