/**
 * Writes the code cache of the role that the argument names. It must run with the flags of the role's
 * `run` line in the deploy file, because V8 accepts a cache only with the same flags.
 */
import * as fs from 'node:fs';
import process from 'node:process';
import * as codeCache from './code-cache.mjs';

const role = process.argv.at(2);
const script = codeCache.compileBundle();
await codeCache.loadBundle(script).loadRole(role);
// The cache includes the functions that were called while the role was loaded.
fs.writeFileSync(codeCache.getCacheFile(role), script.createCachedData());
process.exit();
