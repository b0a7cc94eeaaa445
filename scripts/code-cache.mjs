/**
 * The bundle of the platform program and its code cache, the code that V8 compiled ahead for one
 * role. Compiling the bundle takes about a third of the CPU time of a start, and callers wait while
 * a process restarts.
 */
import * as fs from 'node:fs';
import {createRequire} from 'node:module';
import * as path from 'node:path';
import * as vm from 'node:vm';

export const bundleFile = path.resolve('target/hemlockarch.cjs');

export function getCacheFile(role) {
	return path.resolve(`target/${role}.cache`);
}

/**
 * Compiles the bundle. V8 rejects a cache that another version of Node.js or other flags wrote, and
 * then compiles without it.
 */
export function compileBundle(cachedData) {
	const source = fs.readFileSync(bundleFile, 'latin1');
	return new vm.Script(`(function (module, require) {${source}\n})`, {
		filename: bundleFile,
		cachedData,
	});
}

/** Runs the bundle and returns its exports. */
export function loadBundle(script) {
	const bundle = {exports: {}};
	script.runInThisContext()(bundle, createRequire(bundleFile));
	return bundle.exports;
}
