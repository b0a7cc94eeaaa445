/**
 * Durable storage of one control peer in the files `hard-state`, `snapshot`, `log` and `marker` of a
 * data folder. Every write is synced before it resolves. Writes that arrive during a sync share the
 * next one, as long as they change nothing but log entries.
 *
 * A write that a full disk refuses leaves the files unchanged and is tried again until there is room, so
 * that it is a slow write to the callers. Loading needs no free space: what a start has to write waits for
 * the first write.
 */
import * as path from 'node:path';
import * as timers from 'node:timers/promises';
import type * as consensus from '../../common/consensus/types.js';
import * as files from './files.js';
import * as folderLock from './folder-lock.js';
import * as marker from './marker.js';
import * as records from './records.js';
import * as segment from './segment.js';
import * as spaceWatch from './space-watch.js';
import * as systemFiles from './system-files.js';
import type * as types from './types.js';

/** Interval at which a write that a full disk has refused is tried again. */
const retryIntervalMs = 100;

/** Default for `reserveBytes`. */
const defaultReserveBytes = 16 * 1024 * 1024;

const emptyHardState: consensus.HardState = {term: 0, votedFor: undefined};

type QueuedWrite = {
	readonly write: consensus.StorageWrite;
	readonly resolve: () => void;
	readonly reject: (error: unknown) => void;
};

export type StorageOptions = {
	/** Acquires no lock; only for a folder that no other process can reach. */
	readonly skipsLock?: boolean;
	/** The space counts as low when less than this is free, in bytes. */
	readonly reserveBytes?: number;
	/** Waits before a write that a full disk has refused is tried again; 100 ms by default. */
	readonly waitForRetry?: (signal: AbortSignal) => Promise<void>;
	/** The file system of the machine by default. */
	readonly fileSystem?: types.FileSystem;
};

/**
 * Opens a data folder; creates it when it does not exist.
 *
 * @throws A `StorageError` when another process uses the folder.
 */
export async function openLogStorage<Command, State>(
	folder: string,
	options: StorageOptions = {},
): Promise<consensus.LogStorage<Command, State>> {
	const {fileSystem = systemFiles.systemFiles} = options;
	await fileSystem.createFolder(folder);
	await fileSystem.syncFolder(path.dirname(path.resolve(folder)));
	const release =
		options.skipsLock === true
			? async () => undefined
			: await folderLock.acquireFolderLock(fileSystem, folder);
	const space = new spaceWatch.SpaceWatch(
		fileSystem,
		folder,
		options.reserveBytes ?? defaultReserveBytes,
	);
	space.start();
	return new FileLogStorage({
		fileSystem,
		folder,
		space,
		waitForRetry: options.waitForRetry ?? waitForRetry,
		release,
	}) as consensus.LogStorage<Command, State>;
}

type StorageEnvironment = {
	readonly fileSystem: types.FileSystem;
	readonly folder: string;
	readonly space: spaceWatch.SpaceWatch;
	readonly waitForRetry: (signal: AbortSignal) => Promise<void>;
	/** Releases the lock of the folder. */
	release(): Promise<void>;
};

async function waitForRetry(signal: AbortSignal): Promise<void> {
	await timers.setTimeout(retryIntervalMs, undefined, {signal});
}

class FileLogStorage implements consensus.LogStorage {
	readonly #environment: StorageEnvironment;
	readonly #fileSystem: types.FileSystem;
	readonly #space: spaceWatch.SpaceWatch;
	readonly #closing = new AbortController();
	#segment: segment.Segment | undefined;
	#snapshot: consensus.Snapshot | undefined;
	#marker: marker.Marker = {isUsed: false, isDataLost: false};
	/** A loss of the log that the stored marker does not record yet. */
	#isLossUnstored = false;
	/** The log file holds entries that the snapshot covers, or none of those after it. */
	#isRewriteDue = false;
	readonly #queue: QueuedWrite[] = [];
	#queueRun: Promise<void> | undefined;
	/**
	 * The first error that leaves it unknown what the disk holds, for example that of a sync; all later
	 * writes are rejected.
	 */
	#failure: unknown;

	constructor(environment: StorageEnvironment) {
		this.#environment = environment;
		this.#fileSystem = environment.fileSystem;
		this.#space = environment.space;
	}

	async load(): Promise<consensus.StoredLog> {
		await files.removeTemporaryFiles(
			this.#fileSystem,
			this.#environment.folder,
		);
		this.#marker = await marker.loadMarker(
			this.#fileSystem,
			this.#environment.folder,
		);
		const hardState = (await files.loadRecord(
			this.#fileSystem,
			this.#getPath('hard-state'),
		)) as consensus.HardState | undefined;
		this.#snapshot = (await files.loadRecord(
			this.#fileSystem,
			this.#getPath('snapshot'),
		)) as consensus.Snapshot | undefined;
		this.#segment = await segment.Segment.load(
			this.#fileSystem,
			this.#getPath('log'),
		);
		this.#checkFiles(hardState);
		this.#recordDataLoss(hardState);
		// Otherwise the process crashed after it wrote the snapshot and before it rewrote or created the log.
		this.#isRewriteDue =
			(this.#snapshot?.index ?? 0) > (this.#segment?.baseIndex ?? 0);
		const isDataLost = this.#marker.isDataLost && (hardState?.term ?? 0) === 0;
		return {
			hardState: hardState ?? emptyHardState,
			snapshot: this.#snapshot,
			entries: [...this.#getEntries()],
			...(isDataLost ? {isDataLost} : {}),
		};
	}

	async write(write: consensus.StorageWrite): Promise<void> {
		return new Promise((resolve, reject) => {
			this.#queue.push({write, resolve, reject});
			this.#queueRun ??= this.#runQueue();
		});
	}

	readStatus(): consensus.StorageStatus {
		const {refusals, space} = this.#space;
		return {logBytes: this.#segment?.size ?? 0, refusals, space};
	}

	watchSpace(listener: (space: consensus.StorageSpace) => void): void {
		this.#space.setListener(listener);
	}

	async close(): Promise<void> {
		this.#closing.abort();
		this.#space.stop();
		await this.#queueRun;
		await this.#segment?.close();
		await this.#environment.release();
	}

	#getPath(name: string): string {
		return path.join(this.#environment.folder, name);
	}

	/** Throws when a used folder lost some of its files; one that lost all of them starts empty. */
	#checkFiles(hardState: consensus.HardState | undefined): void {
		const hasNone = !hardState && !this.#segment && !this.#snapshot;
		if (!this.#marker.isUsed || hasNone) {
			return;
		}

		if (!hardState) {
			throw this.#makeMissingFileError('hard-state');
		}

		if (!this.#segment) {
			throw this.#makeMissingFileError('log');
		}

		if (this.#segment.baseIndex > (this.#snapshot?.index ?? 0)) {
			throw this.#makeMissingFileError('snapshot');
		}
	}

	#makeMissingFileError(name: string): records.StorageError {
		return records.makeCorruptionError(
			this.#getPath(name),
			0,
			'file is missing',
		);
	}

	#recordDataLoss(hardState: consensus.HardState | undefined): void {
		const hasLog = Boolean(hardState && this.#segment);
		const isLost = this.#marker.isUsed && !hasLog;
		if (isLost && !this.#marker.isDataLost) {
			this.#marker = {isUsed: true, isDataLost: true};
			this.#isLossUnstored = true;
		}
	}

	async #storeMarker(value: marker.Marker): Promise<void> {
		await this.#tryUntilStored(async () =>
			marker.storeMarker(this.#fileSystem, this.#environment.folder, value),
		);
		this.#marker = value;
	}

	async #storeRecord(name: string, value: unknown): Promise<void> {
		await this.#tryUntilStored(async () =>
			files.storeRecord(this.#fileSystem, this.#getPath(name), value),
		);
	}

	/** Repeats a step that a full disk refuses until it is done or the storage is closed. */
	async #tryUntilStored(step: () => Promise<void>): Promise<void> {
		for (;;) {
			try {
				await step();
				this.#space.recordWrite(false);
				return;
			} catch (error) {
				if (!(error instanceof files.DiskFullError)) {
					throw error;
				}

				this.#space.recordWrite(true);
			}

			await this.#environment.waitForRetry(this.#closing.signal);
		}
	}

	/** Returns the entries after the snapshot; none when the log diverges from the snapshot. */
	#getEntries(): readonly consensus.LogEntry[] {
		const snapshot = this.#snapshot;
		const {entries = [], baseIndex = 0} = this.#segment ?? {};
		if (!snapshot || snapshot.index <= baseIndex) {
			return entries;
		}

		const last = entries[snapshot.index - baseIndex - 1];
		return last?.term === snapshot.term
			? entries.slice(snapshot.index - baseIndex)
			: [];
	}

	async #runQueue(): Promise<void> {
		while (this.#queue.length > 0) {
			const batch = this.#takeBatch();
			try {
				await this.#writeBatch(batch.map(({write}) => write));
				for (const {resolve} of batch) {
					resolve();
				}
			} catch (error) {
				this.#failure ??= error;
				for (const {reject} of batch) {
					reject(error);
				}
			}
		}

		this.#queueRun = undefined;
	}

	/** Takes the next write and those directly after it that change nothing but log entries. */
	#takeBatch(): QueuedWrite[] {
		const changesOnlyEntries = ({write}: QueuedWrite) =>
			!write.hardState && !write.snapshot;
		const end = this.#queue.findIndex(
			(item, index) => index > 0 && !changesOnlyEntries(item),
		);
		return this.#queue.splice(0, end === -1 ? this.#queue.length : end);
	}

	/** Only the first write of a batch may have a hard state or a snapshot. */
	async #writeBatch(writes: readonly consensus.StorageWrite[]): Promise<void> {
		if (this.#failure !== undefined) {
			throw new Error(
				'the log storage accepts no writes after an earlier failure',
				{cause: this.#failure},
			);
		}

		if (this.#isLossUnstored) {
			await this.#storeMarker(this.#marker);
			this.#isLossUnstored = false;
		}

		const [{hardState, snapshot}] = writes as [consensus.StorageWrite];
		if (hardState) {
			await this.#storeRecord('hard-state', hardState);
		}

		if (snapshot) {
			await this.#storeRecord('snapshot', snapshot);
			this.#snapshot = snapshot;
			this.#isRewriteDue = true;
		}

		await this.#writeEntries(writes);
		if (!this.#marker.isUsed) {
			await this.#storeMarker({isUsed: true, isDataLost: false});
		}
	}

	async #writeEntries(
		writes: readonly consensus.StorageWrite[],
	): Promise<void> {
		await this.#createFiles();
		const entryWrites = writes.filter(
			({truncateFrom, append = []}) =>
				truncateFrom !== undefined || append.length > 0,
		);
		const hasSnapshot = writes.some(({snapshot}) => snapshot);
		if (this.#isRewriteDue && (hasSnapshot || entryWrites.length > 0)) {
			await this.#tryUntilStored(async () => this.#rewriteSegment());
			this.#isRewriteDue = false;
		}

		if (entryWrites.length > 0) {
			await this.#tryUntilStored(async () =>
				this.#segment!.writeEntries(entryWrites),
			);
		}
	}

	/** Creates the files that a used folder must have. */
	async #createFiles(): Promise<void> {
		if (this.#segment) {
			return;
		}

		const hardState = this.#getPath('hard-state');
		if ((await this.#fileSystem.readFile(hardState)) === undefined) {
			await this.#storeRecord('hard-state', emptyHardState);
		}

		await this.#tryUntilStored(async () => this.#storeSegment(0, []));
	}

	/** Rewrites the log file without the entries that the snapshot covers. */
	async #rewriteSegment(): Promise<void> {
		const previousSegment = this.#segment;
		await this.#storeSegment(this.#snapshot!.index, this.#getEntries());
		await previousSegment?.close();
	}

	async #storeSegment(
		baseIndex: number,
		entries: readonly consensus.LogEntry[],
	): Promise<void> {
		this.#segment = await segment.Segment.store(
			this.#fileSystem,
			this.#getPath('log'),
			baseIndex,
			entries,
		);
	}
}
