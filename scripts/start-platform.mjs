/**
 * Starts the platform program in the role that the argument names, with the code cache of the role.
 */
import * as fs from 'node:fs';
import process from 'node:process';
import * as codeCache from './code-cache.mjs';

const cacheFile = codeCache.getCacheFile(process.argv.at(2));
const script = codeCache.compileBundle(
	fs.existsSync(cacheFile) ? fs.readFileSync(cacheFile) : undefined,
);
codeCache.loadBundle(script).runProgram();
