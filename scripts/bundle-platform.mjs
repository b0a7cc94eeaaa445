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
	format: 'cjs',
	minify: true,
	keepNames: false,
	// Optional native parts; the libraries work without them.
	external: ['cbor-extract'],
	outfile: 'target/hemlockarch.cjs',
	logLevel: 'warning',
});
