/**
 * Orders messages after the writes that they depend on, and tracks which log entries are synced.
 */
import type * as ids from '../ids.js';
import type * as types from './types.js';

type Mutable<Value> = {-readonly [Key in keyof Value]: Value[Key]};

/** An action that is kept until the writes of its step and of all earlier steps are synced. */
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

type OutstandingWrite = {
	readonly write: number;
	readonly hasHardState: boolean;
	lastIndex: number;
	readonly actions: DeferredAction[];
};

/** Collects the writes of one step into one batch and defers the actions that depend on them. */
export class WriteQueue<Command> {
	#batch: Mutable<types.StorageWrite<Command>> | undefined;
	#batchActions: DeferredAction[] = [];
	#lastWrite = 0;
	#outstanding: OutstandingWrite[] = [];
	#syncedIndex: number;

	readonly #isOrderDisabled: boolean;

	/**
	 * @param syncedIndex - The last log index on disk.
	 * @param isOrderDisabled - Fault injection: treats every write as synced at once.
	 */
	constructor(syncedIndex: number, isOrderDisabled: boolean) {
		this.#syncedIndex = syncedIndex;
		this.#isOrderDisabled = isOrderDisabled;
	}

	/** The last log index that is synced. */
	get syncedIndex(): number {
		return this.#syncedIndex;
	}

	/** True when the current term and vote are synced. */
	get isHardStateSynced(): boolean {
		return (
			this.#batch?.hardState === undefined &&
			this.#outstanding.every((outstanding) => !outstanding.hasHardState)
		);
	}

	addHardState(hardState: types.HardState): void {
		this.#getOpenBatch().hardState = hardState;
	}

	addEntries(entries: ReadonlyArray<types.LogEntry<Command>>): void {
		const batch = this.#getOpenBatch();
		batch.append = [...(batch.append ?? []), ...entries];
	}

	addTruncation(from: number): void {
		this.#getOpenBatch().truncateFrom = from;
		this.#syncedIndex = Math.min(this.#syncedIndex, from - 1);
		for (const outstanding of this.#outstanding) {
			outstanding.lastIndex = Math.min(outstanding.lastIndex, from - 1);
		}
	}

	addSnapshot(snapshot: types.Snapshot): void {
		this.#getOpenBatch().snapshot = snapshot;
	}

	/** Defers an action until everything written up to the end of this step is synced. */
	addDeferredAction(action: DeferredAction): void {
		this.#batchActions.push(action);
	}

	/** Ends the step: returns its write, if any, and the actions that need not wait for a write. */
	takeBatch(lastIndex: number): {
		readonly write:
			{number: number; data: types.StorageWrite<Command>} | undefined;
		readonly ready: DeferredAction[];
	} {
		const actions = this.#batchActions;
		const data = this.#batch;
		this.#batchActions = [];
		this.#batch = undefined;
		if (data && this.#isOrderDisabled) {
			this.#lastWrite++;
			this.#syncedIndex = lastIndex;
			return {write: {number: this.#lastWrite, data}, ready: actions};
		}

		if (data) {
			this.#lastWrite++;
			this.#outstanding.push({
				write: this.#lastWrite,
				hasHardState: data.hardState !== undefined,
				lastIndex,
				actions,
			});
			return {write: {number: this.#lastWrite, data}, ready: []};
		}

		const last = this.#outstanding.at(-1);
		if (last) {
			last.actions.push(...actions);
			return {write: undefined, ready: []};
		}

		return {write: undefined, ready: actions};
	}

	/** Marks this write and all earlier ones as synced; returns the actions that waited for them. */
	complete(write: number): DeferredAction[] {
		const done = this.#outstanding.filter(
			(outstanding) => outstanding.write <= write,
		);
		this.#outstanding = this.#outstanding.filter(
			(outstanding) => outstanding.write > write,
		);
		for (const outstanding of done) {
			this.#syncedIndex = Math.max(this.#syncedIndex, outstanding.lastIndex);
		}

		return done.flatMap((outstanding) => outstanding.actions);
	}

	#getOpenBatch(): Mutable<types.StorageWrite<Command>> {
		this.#batch ??= {};
		return this.#batch;
	}
}
