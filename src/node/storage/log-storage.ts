/**
 * Durable storage of one control peer in the files `hard-state`, `snapshot`, `log` and `marker` of a
 * data folder. Every write is synced before it resolves. Writes that arrive during a sync share the
 * next one, as long as they change nothing but log entries.
 */
import * as path from 'node:path';
import type * as consensus from '../../common/consensus/types.js';
import * as files from './files.js';
import * as folderLock from './folder-lock.js';
import * as marker from './marker.js';
import * as records from './records.js';
import * as segment from './segment.js';
import * as systemFiles from './system-files.js';
import type * as types from './types.js';

const emptyHardState: consensus.HardState = {term: 0, votedFor: undefined};

type QueuedWrite = {
	readonly write: consensus.StorageWrite;
	readonly resolve: () => void;
	readonly reject: (error: unknown) => void;
};

export type StorageOptions = {
	/** Acquires no lock; only for a folder that no other process can reach. */
	readonly skipsLock?: boolean;
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
	return new FileLogStorage(
		fileSystem,
		folder,
		release,
	) as consensus.LogStorage<Command, State>;
}

class FileLogStorage implements consensus.LogStorage {
	readonly #fileSystem: types.FileSystem;
	readonly #folder: string;
	readonly #release: () => Promise<void>;
	#segment: segment.Segment | undefined;
	#snapshot: consensus.Snapshot | undefined;
	#marker: marker.Marker = {isUsed: false, isDataLost: false};
	readonly #queue: QueuedWrite[] = [];
	#queueRun: Promise<void> | undefined;
	/**
	 * The first write error. After a failed sync the content of the disk is unknown, so that all later
	 * writes are rejected.
	 */
	#failure: unknown;

	constructor(
		fileSystem: types.FileSystem,
		folder: string,
		release: () => Promise<void>,
	) {
		this.#fileSystem = fileSystem;
		this.#folder = folder;
		this.#release = release;
	}

	async load(): Promise<consensus.StoredLog> {
		this.#marker = await marker.loadMarker(this.#fileSystem, this.#folder);
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
		await this.#recordDataLoss(hardState);
		if ((this.#snapshot?.index ?? 0) > (this.#segment?.baseIndex ?? 0)) {
			// The process crashed after it wrote the snapshot and before it rewrote or created the log.
			await this.#rewriteSegment();
		}

		const isDataLost = this.#marker.isDataLost && (hardState?.term ?? 0) === 0;
		return {
			hardState: hardState ?? emptyHardState,
			snapshot: this.#snapshot,
			entries: [...(this.#segment?.entries ?? [])],
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
		return {logBytes: this.#segment?.size ?? 0};
	}

	async close(): Promise<void> {
		await this.#queueRun;
		await this.#segment?.close();
		await this.#release();
	}

	#getPath(name: string): string {
		return path.join(this.#folder, name);
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

	async #recordDataLoss(
		hardState: consensus.HardState | undefined,
	): Promise<void> {
		const hasLog = Boolean(hardState && this.#segment);
		const isLost = this.#marker.isUsed && !hasLog;
		if (isLost && !this.#marker.isDataLost) {
			await this.#storeMarker({isUsed: true, isDataLost: true});
		}
	}

	async #storeMarker(value: marker.Marker): Promise<void> {
		await marker.storeMarker(this.#fileSystem, this.#folder, value);
		this.#marker = value;
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

		const [{hardState, snapshot}] = writes as [consensus.StorageWrite];
		if (hardState) {
			await files.storeRecord(
				this.#fileSystem,
				this.#getPath('hard-state'),
				hardState,
			);
		}

		if (snapshot) {
			await files.storeRecord(
				this.#fileSystem,
				this.#getPath('snapshot'),
				snapshot,
			);
			this.#snapshot = snapshot;
		}

		await this.#writeEntries(writes, Boolean(snapshot));
		if (!this.#marker.isUsed) {
			await this.#storeMarker({isUsed: true, isDataLost: false});
		}
	}

	async #writeEntries(
		writes: readonly consensus.StorageWrite[],
		hasSnapshot: boolean,
	): Promise<void> {
		if (!this.#segment) {
			await this.#createFiles();
		}

		const entryWrites = writes.filter(
			({truncateFrom, append = []}) =>
				truncateFrom !== undefined || append.length > 0,
		);
		if (hasSnapshot) {
			await this.#rewriteSegment();
		}

		if (entryWrites.length > 0) {
			await this.#segment!.writeEntries(entryWrites);
		}
	}

	/** Creates the files that a used folder must have. */
	async #createFiles(): Promise<void> {
		const hardState = this.#getPath('hard-state');
		if ((await this.#fileSystem.readFile(hardState)) === undefined) {
			await files.storeRecord(this.#fileSystem, hardState, emptyHardState);
		}

		this.#segment = await segment.Segment.store(
			this.#fileSystem,
			this.#getPath('log'),
			0,
			[],
		);
	}

	/** Rewrites the log file without the entries that the snapshot covers. */
	async #rewriteSegment(): Promise<void> {
		const entries = this.#getEntries();
		const file = this.#getPath('log');
		const previousSegment = this.#segment;
		const baseIndex = this.#snapshot!.index;
		this.#segment = await segment.Segment.store(
			this.#fileSystem,
			file,
			baseIndex,
			entries,
		);
		await previousSegment?.close();
	}
}
