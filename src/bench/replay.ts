/**
 * Measures how long a control peer takes to load and apply a log of template changes that has no
 * snapshot. Run with `node dist/bench/replay.js`; the figures go to standard output.
 */
import * as fs from 'node:fs/promises';
import * as os from 'node:os';
import * as path from 'node:path';
import process from 'node:process';
import type * as ids from '../common/ids.js';
import type * as consensusTypes from '../common/consensus/types.js';
import * as consensus from '../common/consensus/consensus.js';
import * as logStorage from '../node/storage/log-storage.js';

/** Numbers of changes in the measured logs. */
const changeCounts = [500, 5000];

/** Size of the text in one change; about the size of a member's template. */
const changeBytes = 800;

/** Concurrent writes while the log is filled. */
const writesInFlight = 50;

const loadRuns = 5;

const voter = 'a' as ids.PeerId;

type Command = {readonly member: string; readonly text: string};

type Figures = {
	readonly changes: number;
	readonly logBytes: number;
	readonly writeMs: number;
	/** Median of the runs. */
	readonly loadMs: number;
	/** Time until the reducer has applied every entry, in the last run. */
	readonly applyMs: number;
};

async function storeChanges(folder: string, count: number): Promise<number> {
	const storage = await logStorage.openLogStorage<Command, undefined>(folder);
	await storage.load();
	await storage.write({hardState: {term: 1, votedFor: voter}});
	const startedAt = performance.now();
	for (let index = 1; index <= count; index += writesInFlight) {
		const writes = Array.from({length: writesInFlight}, async (_, offset) =>
			storage.write({append: [makeEntry(index + offset)]}),
		);
		await Promise.all(writes);
	}

	const writeMs = performance.now() - startedAt;
	await storage.close();
	return writeMs;
}

function makeEntry(index: number): consensusTypes.LogEntry<Command> {
	const text = `# change ${index}\n`.padEnd(changeBytes, 'x');
	const command = {member: `member-${index % 50}`, text};
	return {index, term: 1, payload: {type: 'command', command}};
}

async function measureLoad(
	folder: string,
): Promise<{ms: number; stored: consensusTypes.StoredLog<Command>}> {
	const storage = await logStorage.openLogStorage<Command, undefined>(folder);
	const startedAt = performance.now();
	const stored = await storage.load();
	const ms = performance.now() - startedAt;
	await storage.close();
	return {ms, stored};
}

/**
 * Steps a single voter until it has elected itself and applied the log. Returns the real time taken;
 * the time in its events is simulated and not counted.
 */
function measureApply(stored: consensusTypes.StoredLog<Command>): number {
	const startedAt = performance.now();
	const reducer = new consensus.Consensus<Command>({
		peer: voter,
		initialVoters: [voter],
		stored,
		incarnation: 1,
	});
	let now = 0;
	let applied = 0;
	while (applied < stored.entries.length) {
		now += 10;
		const effects = reducer.step({type: 'tick', now, random: 0});
		for (const effect of effects) {
			applied += effect.type === 'applied' ? 1 : 0;
			if (effect.type === 'write') {
				const {write} = effect;
				effects.push(...reducer.step({type: 'written', now, write}));
			}
		}
	}

	return performance.now() - startedAt;
}

async function measureReplay(changes: number): Promise<Figures> {
	const folder = await fs.mkdtemp(path.join(os.tmpdir(), 'replay-'));
	try {
		const writeMs = await storeChanges(folder, changes);
		const {size: logBytes} = await fs.stat(path.join(folder, 'log'));
		const times: number[] = [];
		let applyMs = 0;
		for (let run = 0; run < loadRuns; run++) {
			const {ms, stored} = await measureLoad(folder);
			times.push(ms);
			applyMs = measureApply(stored);
		}

		const loadMs = times.sort((left, right) => left - right)[
			Math.floor(loadRuns / 2)
		];
		return {changes, logBytes, writeMs, loadMs, applyMs};
	} finally {
		await fs.rm(folder, {recursive: true});
	}
}

for (const changes of changeCounts) {
	const figures = await measureReplay(changes);
	process.stdout.write(
		`${figures.changes} changes (${figures.logBytes} bytes): ` +
			`written in ${figures.writeMs.toFixed(0)} ms, ` +
			`loaded in ${figures.loadMs.toFixed(1)} ms, ` +
			`applied in ${figures.applyMs.toFixed(1)} ms\n`,
	);
}
