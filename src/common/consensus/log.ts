/**
 * The log of one control peer in memory: a snapshot, the entries after it and the voter
 * configuration that follows from both.
 */
import type * as ids from '../ids.js';
import type * as types from './types.js';
import * as timing from './timing.js';

/** The voters and the peers that are about to become voters. */
export type Configuration = {
	readonly voters: readonly ids.PeerId[];
	readonly learners: readonly ids.PeerId[];
};

/** Snapshot and entries, with lookups by index. */
export class Log<Command> {
	#snapshot: types.Snapshot | undefined;
	#entries: Array<types.LogEntry<Command>>;
	readonly #initialConfiguration: Configuration;
	#configuration: Configuration;
	/** Estimated sizes of entries and snapshots. */
	readonly #sizes = new WeakMap<object, number>();

	constructor(
		stored: types.StoredLog<Command>,
		initialVoters: readonly ids.PeerId[],
	) {
		this.#snapshot = stored.snapshot;
		this.#entries = [...stored.entries];
		this.#initialConfiguration = {voters: initialVoters, learners: []};
		this.#configuration = this.getConfiguration(this.lastIndex);
	}

	get snapshot(): types.Snapshot | undefined {
		return this.#snapshot;
	}

	/** Index of the last entry that the snapshot covers; 0 without a snapshot. */
	get baseIndex(): number {
		return this.#snapshot?.index ?? 0;
	}

	get lastIndex(): number {
		return this.baseIndex + this.#entries.length;
	}

	get lastTerm(): number {
		return this.#entries.at(-1)?.term ?? this.#snapshot?.term ?? 0;
	}

	/** The latest configuration in the log, committed or not. */
	get configuration(): Configuration {
		return this.#configuration;
	}

	/** Returns the term of an entry; undefined when it is compacted or not yet appended. */
	getTerm(index: number): number | undefined {
		if (index === this.baseIndex) {
			return this.#snapshot?.term ?? 0;
		}

		return this.getEntry(index)?.term;
	}

	getEntry(index: number): types.LogEntry<Command> | undefined {
		return index > this.baseIndex
			? this.#entries[index - this.baseIndex - 1]
			: undefined;
	}

	/** Returns entries from `from` on, within the limits of one message. */
	getBatch(from: number): Array<types.LogEntry<Command>> {
		const batch: Array<types.LogEntry<Command>> = [];
		let bytes = 0;
		for (let index = from; index <= this.lastIndex; index++) {
			const entry = this.getEntry(index)!;
			bytes += this.estimateSize(entry);
			const isFull =
				batch.length === timing.maxAppendEntries ||
				bytes > timing.maxAppendBytes;
			if (isFull && batch.length > 0) {
				break;
			}

			batch.push(entry);
		}

		return batch;
	}

	estimateBatchSize(entries: readonly types.LogEntry[]): number {
		return entries.reduce((sum, entry) => sum + this.estimateSize(entry), 0);
	}

	/** Estimates the size of the entries above an index, in bytes. */
	estimateSizeAfter(index: number): number {
		return this.estimateBatchSize(
			this.#entries.slice(Math.max(0, index - this.baseIndex)),
		);
	}

	/** Estimates the size of a message with an entry or a snapshot, in bytes. */
	estimateSize(content: types.LogEntry | types.Snapshot): number {
		let size = this.#sizes.get(content);
		if (size === undefined) {
			size = JSON.stringify(content).length;
			this.#sizes.set(content, size);
		}

		return size;
	}

	/** Appends an entry whose index is one above the last. */
	appendEntry(entry: types.LogEntry<Command>): void {
		this.#entries.push(entry);
		if (entry.payload.type === 'voters') {
			this.#configuration = readConfiguration(entry.payload);
		}
	}

	/** Removes the entries from `from` on. */
	truncate(from: number): void {
		this.#entries.length = from - this.baseIndex - 1;
		this.#configuration = this.getConfiguration(this.lastIndex);
	}

	/** Replaces everything up to the snapshot; later entries stay if the log contains its last entry. */
	restore(snapshot: types.Snapshot): void {
		const hasMatchingEntry = this.getTerm(snapshot.index) === snapshot.term;
		this.#entries = hasMatchingEntry
			? this.#entries.slice(snapshot.index - this.baseIndex)
			: [];
		this.#snapshot = snapshot;
		this.#configuration = this.getConfiguration(this.lastIndex);
	}

	/** Builds a snapshot at a committed index above that of the current snapshot. */
	makeSnapshot(index: number, state: unknown): types.Snapshot {
		const configuration = this.getConfiguration(index);
		const joined = new Map<ids.PeerId, types.JoinedVoter>();
		for (const voter of this.#listJoined(index)) {
			if (configuration.voters.includes(voter.peer)) {
				joined.set(voter.peer, voter);
			}
		}

		return {
			index,
			term: this.getTerm(index)!,
			...configuration,
			...(joined.size > 0 ? {joined: [...joined.values()]} : {}),
			state,
		};
	}

	/** Tells whether a log with this end contains everything that this log may have committed. */
	isCoveredBy(lastIndex: number, lastTerm: number): boolean {
		return (
			lastTerm > this.lastTerm ||
			(lastTerm === this.lastTerm && lastIndex >= this.lastIndex)
		);
	}

	/** Tells whether this instance of the peer was made a voter. */
	hasJoined(peer: ids.PeerId, incarnation: number): boolean {
		return this.#listJoined(this.lastIndex).some(
			(voter) => voter.peer === peer && voter.incarnation === incarnation,
		);
	}

	/** Returns the configuration that was in force at an index at or above the snapshot's. */
	getConfiguration(index: number): Configuration {
		for (let current = index; current > this.baseIndex; current--) {
			const {payload} = this.getEntry(current)!;
			if (payload.type === 'voters') {
				return readConfiguration(payload);
			}
		}

		return this.#snapshot
			? readConfiguration(this.#snapshot)
			: this.#initialConfiguration;
	}

	/** Lists the peers that became voters up to an index, oldest first. */
	#listJoined(index: number): types.JoinedVoter[] {
		const joined = [...(this.#snapshot?.joined ?? [])];
		for (const {payload} of this.#entries.slice(0, index - this.baseIndex)) {
			if (payload.type === 'voters' && payload.joined) {
				joined.push(payload.joined);
			}
		}

		return joined;
	}
}

/** Estimates the size of a command in an entry, in bytes. */
export function estimateCommandSize(command: unknown): number {
	return JSON.stringify(command).length;
}

function readConfiguration(source: {
	readonly voters: readonly ids.PeerId[];
	readonly learners?: readonly ids.PeerId[];
}): Configuration {
	return {voters: source.voters, learners: source.learners ?? []};
}
