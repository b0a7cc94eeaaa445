/**
 * Orders messages after the writes that they depend on, and knows which log entries are synced.
 */
import type * as ids from '../ids.js';
import type * as types from './types.js';

type Mutable<Value> = {-readonly [Key in keyof Value]: Value[Key]};

/** An action that waits until everything written so far is synced. */
export type DeferredAction =
	| {
			readonly type: 'send';
			readonly to: ids.PeerId;
			readonly message: types.ConsensusMessage;
	  }
	| {
			/** The peer's vote for itself counts only once it is synced. */
			readonly type: 'ownVote';
			readonly term: number;
	  };

type Outstanding = {
	readonly write: number;
	readonly hasHardState: boolean;
	lastIndex: number;
	readonly dependents: DeferredAction[];
};

/** Collects the writes of one step into one batch and holds back what depends on them. */
export class WriteQueue<Command> {
	#batch: Mutable<types.StorageWrite<Command>> | undefined;
	#batchDependents: DeferredAction[] = [];
	#lastWrite = 0;
	#outstanding: Outstanding[] = [];
	#syncedIndex: number;

	readonly #isOrderOff: boolean;

	/**
	 * @param syncedIndex - The last log index on disk.
	 * @param isOrderOff - Fault injection: takes every write for synced at once.
	 */
	constructor(syncedIndex: number, isOrderOff: boolean) {
		this.#syncedIndex = syncedIndex;
		this.#isOrderOff = isOrderOff;
	}

	/** The last log index that is synced. */
	get syncedIndex(): number {
		return this.#syncedIndex;
	}

	/** True when the present term and vote are synced. */
	get isHardStateSynced(): boolean {
		return (
			this.#batch?.hardState === undefined &&
			this.#outstanding.every((item) => !item.hasHardState)
		);
	}

	addHardState(hardState: types.HardState): void {
		this.#open().hardState = hardState;
	}

	addEntries(entries: ReadonlyArray<types.LogEntry<Command>>): void {
		const batch = this.#open();
		batch.append = [...(batch.append ?? []), ...entries];
	}

	addTruncation(from: number): void {
		this.#open().truncateFrom = from;
		this.#syncedIndex = Math.min(this.#syncedIndex, from - 1);
		for (const outstanding of this.#outstanding) {
			outstanding.lastIndex = Math.min(outstanding.lastIndex, from - 1);
		}
	}

	addSnapshot(snapshot: types.Snapshot): void {
		this.#open().snapshot = snapshot;
	}

	/** Holds an action back until everything written up to the end of this step is synced. */
	addDeferredAction(dependent: DeferredAction): void {
		this.#batchDependents.push(dependent);
	}

	/** Ends the step: returns its write, if any, and the actions that wait for nothing. */
	takeBatch(lastIndex: number): {
		readonly write:
			{number: number; data: types.StorageWrite<Command>} | undefined;
		readonly ready: DeferredAction[];
	} {
		const dependents = this.#batchDependents;
		const data = this.#batch;
		this.#batchDependents = [];
		this.#batch = undefined;
		if (data && this.#isOrderOff) {
			this.#lastWrite++;
			this.#syncedIndex = lastIndex;
			return {write: {number: this.#lastWrite, data}, ready: dependents};
		}

		if (data) {
			this.#lastWrite++;
			this.#outstanding.push({
				write: this.#lastWrite,
				hasHardState: data.hardState !== undefined,
				lastIndex,
				dependents,
			});
			return {write: {number: this.#lastWrite, data}, ready: []};
		}

		const last = this.#outstanding.at(-1);
		if (last) {
			last.dependents.push(...dependents);
			return {write: undefined, ready: []};
		}

		return {write: undefined, ready: dependents};
	}

	/** Takes note that this write and all before it are synced; returns what waited for them. */
	complete(write: number): DeferredAction[] {
		const done = this.#outstanding.filter((item) => item.write <= write);
		this.#outstanding = this.#outstanding.filter((item) => item.write > write);
		for (const item of done) {
			this.#syncedIndex = Math.max(this.#syncedIndex, item.lastIndex);
		}

		return done.flatMap((item) => item.dependents);
	}

	#open(): Mutable<types.StorageWrite<Command>> {
		this.#batch ??= {};
		return this.#batch;
	}
}
