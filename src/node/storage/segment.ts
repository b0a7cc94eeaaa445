/**
 * The append-only file of log entries. Its first record holds the index before the first entry; each
 * further record holds the truncation and the entries of one write, so that a crash keeps or loses
 * both together.
 */
import {Buffer} from 'node:buffer';
import type * as consensus from '../../common/consensus/types.js';
import * as files from './files.js';
import * as records from './records.js';
import type * as types from './types.js';

/** Version of the file format, so that later versions can be told apart. */
const formatVersion = 1;

type Entry = consensus.LogEntry;

type SegmentRecord =
	| {
			readonly type: 'base';
			readonly format: number;
			readonly index: number;
	  }
	| {
			readonly type: 'entries';
			/** Undefined when the write removes no entries. */
			readonly truncateFrom: number | undefined;
			readonly entries: readonly Entry[];
	  };

/** Log entries in one file, with a copy in memory from which the file is rewritten. */
export class Segment {
	/**
	 * Opens the file and reads its entries.
	 *
	 * @returns Undefined when the file does not exist.
	 * @throws A `StorageError` for corruption other than a torn last record.
	 */
	static async load(
		fileSystem: types.FileSystem,
		file: string,
	): Promise<Segment | undefined> {
		const content = await fileSystem.readFile(file);
		if (content === undefined) {
			return undefined;
		}

		const decoded = records.decodeRecords(file, content);
		const segment = new Segment(fileSystem, file);
		for (const {offset, value} of decoded.records) {
			segment.#applyRecord(offset, checkRecord(file, offset, value));
		}

		if (decoded.records.length === 0) {
			throw records.makeCorruptionError(file, 0, 'first record is missing');
		}

		await segment.#open();
		segment.#size = decoded.end;
		if (decoded.end < content.length) {
			await segment.#handle!.truncate(decoded.end);
			await segment.#handle!.sync();
		}

		return segment;
	}

	/** Replaces the file with one that holds these entries. */
	static async store(
		fileSystem: types.FileSystem,
		file: string,
		baseIndex: number,
		entries: readonly Entry[],
	): Promise<Segment> {
		const segment = new Segment(fileSystem, file);
		segment.#baseIndex = baseIndex;
		segment.#entries = [...entries];
		const baseRecord: SegmentRecord = {
			type: 'base',
			format: formatVersion,
			index: baseIndex,
		};
		const content = Buffer.concat([
			records.encodeRecord(baseRecord),
			encodeEntries({append: entries}),
		]);
		await files.storeFile(fileSystem, file, content);
		segment.#size = content.length;
		await segment.#open();
		return segment;
	}

	readonly #fileSystem: types.FileSystem;
	readonly #file: string;
	#handle: types.OpenFile | undefined;
	#baseIndex = 0;
	#entries: Entry[] = [];
	#size = 0;

	private constructor(fileSystem: types.FileSystem, file: string) {
		this.#fileSystem = fileSystem;
		this.#file = file;
	}

	/** Index before the first entry. */
	get baseIndex(): number {
		return this.#baseIndex;
	}

	get entries(): readonly Entry[] {
		return this.#entries;
	}

	/** Size of the file in bytes. */
	get size(): number {
		return this.#size;
	}

	/**
	 * Appends the truncations and entries of several writes and syncs them once.
	 *
	 * @throws A `DiskFullError` when there is no room; the file is then unchanged.
	 */
	async writeEntries(writes: readonly consensus.StorageWrite[]): Promise<void> {
		const content = Buffer.concat(writes.map((write) => encodeEntries(write)));
		await this.#append(content);
		await this.#handle!.sync();
		this.#size += content.length;
		for (const {truncateFrom, append = []} of writes) {
			this.#applyEntries(truncateFrom, append);
		}
	}

	async close(): Promise<void> {
		await this.#handle?.close();
		this.#handle = undefined;
	}

	/** Removes what a full disk took of the content, because the next record would follow a torn one. */
	async #append(content: Buffer): Promise<void> {
		try {
			await this.#handle!.append(content);
		} catch (error) {
			if (!files.isDiskFull(error)) {
				throw error;
			}

			await this.#handle!.truncate(this.#size);
			// Otherwise a loss of power could keep the torn record below later ones.
			await this.#handle!.sync();
			throw new files.DiskFullError(`no room in ${this.#file}`, {cause: error});
		}
	}

	async #open(): Promise<void> {
		this.#handle = await this.#fileSystem.openFile(this.#file, 'append');
	}

	#applyRecord(offset: number, record: SegmentRecord): void {
		if (record.type === 'base') {
			this.#checkBase(offset, record.format);
			this.#baseIndex = record.index;
			return;
		}

		const firstIndex = record.entries[0]?.index;
		const expectedIndex = Math.min(
			this.#baseIndex + this.#entries.length + 1,
			Math.max(
				record.truncateFrom ?? Number.POSITIVE_INFINITY,
				this.#baseIndex + 1,
			),
		);
		if (firstIndex !== undefined && firstIndex !== expectedIndex) {
			throw records.makeCorruptionError(
				this.#file,
				offset,
				`found entry ${firstIndex}, expected entry ${expectedIndex}`,
			);
		}

		this.#applyEntries(record.truncateFrom, record.entries);
	}

	#checkBase(offset: number, format: number): void {
		if (offset !== 0 || format !== formatVersion) {
			throw records.makeCorruptionError(
				this.#file,
				offset,
				`unexpected base record of format ${format}`,
			);
		}
	}

	#applyEntries(
		truncateFrom: number | undefined,
		entries: readonly Entry[],
	): void {
		if (truncateFrom !== undefined) {
			const keptCount = Math.max(0, truncateFrom - this.#baseIndex - 1);
			this.#entries.length = Math.min(this.#entries.length, keptCount);
		}

		this.#entries.push(...entries);
	}
}

/** Returns the value as a record of a log; throws a `StorageError` for that of another file. */
function checkRecord(
	file: string,
	offset: number,
	value: unknown,
): SegmentRecord {
	const record = value as Partial<SegmentRecord> | undefined | null;
	const isRecord =
		record?.type === 'base' ||
		(record?.type === 'entries' && Array.isArray(record.entries));
	if (!isRecord) {
		throw records.makeCorruptionError(file, offset, 'not a record of a log');
	}

	return record as SegmentRecord;
}

function encodeEntries({
	truncateFrom,
	append = [],
}: consensus.StorageWrite): Buffer {
	const record: SegmentRecord = {
		type: 'entries',
		truncateFrom,
		entries: append,
	};
	return records.encodeRecord(record);
}
