/**
 * Bundles all modules of the platform program into one file, and the script that starts it into
 * another, and writes the code cache of each role. A process then loads one precompiled file instead of
 * several hundred files.
 */
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as path from 'node:path';
import process from 'node:process';
import * as esbuild from 'esbuild';
import * as codeCache from './code-cache.mjs';

const commonOptions = {
	bundle: true,
	platform: 'node',
	target: 'node20',
	// Node.js starts CommonJS sooner: a module that imports `node:fs` loads all that `fs` can load.
	format: 'cjs',
	logLevel: 'warning',
};

await esbuild.build({
	...commonOptions,
	entryPoints: ['platform/main.ts'],
	// Pure ASCII, because code-cache.mjs reads the bundle as Latin-1.
	charset: 'ascii',
	// Names and line breaks stay, so that stack traces in the log show functions and lines.
	minifySyntax: true,
	// An optional native addon; the libraries work without it.
	external: ['cbor-extract'],
	alias: {'@dabh/diagnostics': path.resolve('scripts/no-diagnostics.cjs')},
	outfile: codeCache.bundleFile,
});
await esbuild.build({
	...commonOptions,
	entryPoints: ['scripts/start-platform.mjs'],
	outfile: 'target/start-platform.cjs',
});
await esbuild.build({
	...commonOptions,
	entryPoints: ['platform/rehearsal.ts'],
	outfile: 'target/rehearsal.cjs',
});

/** Lists the roles of the deploy file with their flags for Node.js. */
function listRoles() {
	const text = fs.readFileSync('deploy/system.toml', 'utf8');
	const lines = text.matchAll(
		/^run = "node (?<flags>.*)target\/start-platform\.cjs (?<role>\w+)"$/gmv,
	);
	return [...lines].map(({groups: {flags, role}}) => ({
		role,
		flags: flags.split(' ').filter(Boolean),
	}));
}

function writeCodeCache({role, flags}, ...options) {
	childProcess.execFileSync(
		process.execPath,
		[...flags, 'scripts/write-code-cache.mjs', role, ...options],
		// The roles write their logs to standard output.
		{stdio: ['ignore', 'ignore', 'inherit']},
	);
}

for (const role of listRoles()) {
	try {
		writeCodeCache(role);
	} catch {
		console.error(
			`The load for the cache of ${role.role} failed; the cache lacks the functions of requests.`,
		);
		writeCodeCache(role, 'without-load');
	}
}
