/**
 * Writes the code cache of one role, named by the argument. It runs with the flags of the role's
 * `run` line in the deploy file, because the cache holds for equal flags only.
 */
import * as fs from 'node:fs';
import process from 'node:process';
import * as codeCache from './code-cache.mjs';

const role = process.argv.at(2);
const script = codeCache.compileBundle();
await codeCache.loadBundle(script).loadRole(role);
// The cache now holds the functions that loading the role has called.
fs.writeFileSync(codeCache.getCacheFile(role), script.createCachedData());
process.exit();
