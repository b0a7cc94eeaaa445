/**
 * Writes the code cache of the role that the first argument names, after a short load unless the second
 * one is `without-load`. It must run with the flags of the role's
 * `run` line in the deploy file, because V8 accepts a cache only with the same flags.
 */
import * as fs from 'node:fs';
import {createRequire} from 'node:module';
import * as path from 'node:path';
import process from 'node:process';
import {Worker} from 'node:worker_threads';
import * as codeCache from './code-cache.mjs';

const role = process.argv.at(2);
const script = codeCache.compileBundle();
const program = codeCache.loadBundle(script);
await program.loadRole(role);
if (process.argv.at(3) !== 'without-load') {
	const require = createRequire(import.meta.url);
	const rehearsal = require(path.resolve('target/rehearsal.cjs'));
	await rehearsal.runRehearsal({
		role,
		startRole() {
			program.runProgram();
		},
		startOtherRole(otherRole, environment) {
			const worker = new Worker(path.resolve('target/start-platform.cjs'), {
				argv: [otherRole],
				env: {...process.env, ...environment},
				stdout: true,
			});
			worker.on('error', (error) => {
				console.error(`The other role failed: ${error.message}`);
			});
		},
	});
}

fs.writeFileSync(codeCache.getCacheFile(role), script.createCachedData());
process.exit();
