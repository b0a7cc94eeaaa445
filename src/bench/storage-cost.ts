/**
 * Measures what a series of changes of one configuration costs a control peer that is the only voter: bytes
 * on the disk and written, memory, the longest wait for an acknowledgement and the time of a restart. Sizes
 * of files are sampled every ms. Prints one line.
 *
 * Usage: node --expose-gc dist/bench/storage-cost.js BYTES [CHANGES]
 */
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import * as storedVoter from '../scenario/storage/stored-voter.js';

const diskBytes = 64 * 1024 * 1024;
const defaultChanges = 1700;

/** Returns the bytes of the files in a folder; one may be renamed in the meantime. */
function countBytes(folder: string): number {
	let bytes = 0;
	for (const name of fs.readdirSync(folder)) {
		const status = fs.statSync(path.join(folder, name), {
			throwIfNoEntry: false,
		});
		bytes += status?.size ?? 0;
	}

	return bytes;
}

function readWrittenBytes(): number {
	const text = fs.readFileSync('/proc/self/io', 'utf8');
	return Number(/^wchar: (\d+)$/mv.exec(text)?.[1]);
}

async function measure(
	folder: string,
	textBytes: number,
	changes: number,
): Promise<string> {
	const voter = await storedVoter.StoredVoter.start(folder, diskBytes);
	await voter.startUp();
	const writtenBefore = readWrittenBytes();
	let peakBytes = 0;
	let peakMemory = 0;
	let longestWaitMs = 0;
	const sample = () => {
		peakBytes = Math.max(peakBytes, countBytes(folder));
		peakMemory = Math.max(peakMemory, process.memoryUsage().rss);
	};

	const sampling = setInterval(sample, 1);
	for (let version = 1; version <= changes; version++) {
		const text = `${version} `.padEnd(textBytes, 'route ');
		const startedAt = performance.now();
		await voter.change(version, text);
		longestWaitMs = Math.max(longestWaitMs, performance.now() - startedAt);
		sample();
	}

	clearInterval(sampling);
	await voter.close();
	const written = readWrittenBytes() - writtenBefore;
	const startedAt = performance.now();
	const restarted = await storedVoter.StoredVoter.start(folder, diskBytes);
	const loadMs = performance.now() - startedAt;
	await restarted.startUp();
	const {version} = restarted;
	const restBytes = countBytes(folder);
	await restarted.close();
	if (version !== changes) {
		throw new Error(`version ${version} after the restart`);
	}

	const toMegabytes = (bytes: number) => (bytes / 1e6).toFixed(1);
	return (
		`${changes} changes of ${textBytes} bytes: ${toMegabytes(peakBytes)} MB on disk at the peak, ` +
		`${toMegabytes(restBytes)} MB at rest, ${toMegabytes(written)} MB written, ` +
		`${toMegabytes(peakMemory)} MB resident, longest wait ${longestWaitMs.toFixed(1)} ms, ` +
		`loaded in ${loadMs.toFixed(1)} ms`
	);
}

const [textBytes, changes = defaultChanges] = process.argv.slice(2).map(Number);
const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'storage-cost-'));
try {
	const line = await measure(folder, textBytes, changes);
	process.stdout.write(`${line}\n`);
} finally {
	fs.rmSync(folder, {recursive: true});
}
