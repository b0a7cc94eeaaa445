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
import type * as ids from '../common/ids.js';
import * as consensus from '../common/consensus/consensus.js';
import type * as consensusTypes from '../common/consensus/types.js';
import * as controlReducer from '../common/control/reducer.js';
import * as storageLimits from '../common/control/storage-limits.js';
import type * as control from '../common/control/types.js';
import * as logStorage from '../node/storage/log-storage.js';

const peer = 'c1' as ids.PeerId;
const diskBytes = 64 * 1024 * 1024;
const defaultChanges = 1700;
const tickMs = 25;

type Storage = consensusTypes.LogStorage<control.ControlCommand>;

/** A single voter whose writes go to a folder. */
class StoredVoter {
	static async start(folder: string): Promise<StoredVoter> {
		const storage = await logStorage.openLogStorage<
			control.ControlCommand,
			unknown
		>(folder);
		return new StoredVoter(storage, await storage.load());
	}

	private now = 0;
	private answered = 0;
	private readonly reducer: controlReducer.ControlReducer;
	private readonly writes = new Set<Promise<void>>();

	constructor(
		private readonly storage: Storage,
		stored: consensusTypes.StoredLog<control.ControlCommand>,
	) {
		this.reducer = new controlReducer.ControlReducer({
			peer,
			storageLimits: storageLimits.computeStorageLimits(diskBytes),
			log: new consensus.Consensus<control.ControlCommand>({
				peer,
				initialVoters: [peer],
				stored,
				incarnation: 1,
			}),
		});
	}

	get version(): number {
		return this.reducer.machine.configuration?.version ?? 0;
	}

	/** Steps until the peer leads and has applied its log. */
	async startUp(): Promise<void> {
		for (let tick = 0; tick < 60; tick++) {
			this.now += tickMs;
			this.step({type: 'tick', now: this.now, random: 0});
			await this.settle();
		}
	}

	/** Resolves when the change is answered. */
	async change(version: number, text: string): Promise<void> {
		this.step({
			type: 'templateChangeRequested',
			now: this.now,
			operation: version,
			change: {type: 'configuration', configuration: {version, text}},
		});
		while (this.answered < version) {
			await Promise.race(this.writes);
		}
	}

	async close(): Promise<void> {
		await this.settle();
		await this.storage.close();
	}

	private async settle(): Promise<void> {
		while (this.writes.size > 0) {
			await Promise.all(this.writes);
		}
	}

	private step(event: control.ControlEvent): void {
		for (const effect of this.reducer.step(event)) {
			if (effect.type === 'answerTemplateChange') {
				this.answered = effect.operation;
			} else if (effect.type === 'write') {
				const write = this.write(effect.write, effect.data);
				this.writes.add(write);
				void write.finally(() => {
					this.writes.delete(write);
				});
			}
		}
	}

	private async write(
		write: number,
		data: consensusTypes.StorageWrite<control.ControlCommand>,
	): Promise<void> {
		await this.storage.write(data);
		const status = this.storage.readStatus?.();
		this.step({type: 'written', now: this.now, write, ...status});
	}
}

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
	const voter = await StoredVoter.start(folder);
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
	const restarted = await StoredVoter.start(folder);
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
