/**
 * Bundles the platform program into one file. A process then loads one file instead of several
 * hundred, which costs most of the processor time of a start.
 */
import * as esbuild from 'esbuild';

await esbuild.build({
	entryPoints: ['platform/main.ts'],
	bundle: true,
	platform: 'node',
	target: 'node20',
	format: 'esm',
	// Stack traces in the log have to name lines and functions.
	minifySyntax: true,
	// Bundled CommonJS libraries load modules of Node.js with `require`.
	banner: {
		js: "import {createRequire as createBundleRequire} from 'node:module'; const require = createBundleRequire(import.meta.url);",
	},
	// Optional native parts; the libraries work without them.
	external: ['cbor-extract'],
	outfile: 'target/hemlockarch.mjs',
	logLevel: 'warning',
});
