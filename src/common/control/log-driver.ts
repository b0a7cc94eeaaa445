/**
 * Steps the replicated log of a control peer and compacts it, before its number of entries or the size of
 * its file exceeds a limit. An event that arises while the effects of another one are handled is queued,
 * so that entries are applied in order.
 */
import type * as consensus from '../consensus/types.js';
import type * as machines from './machine.js';
import type * as storageLimits from './storage-limits.js';
import * as timing from './timing.js';
import type * as control from './types.js';

type LogEvent = consensus.ConsensusEvent<control.ControlCommand>;
type LogEffect = consensus.ConsensusEffect<control.ControlCommand>;

export class LogDriver {
	readonly #queuedEvents: LogEvent[] = [];
	/** Index of the last snapshot. */
	#snapshotIndex = 0;
	/** The write with the last snapshot, until it is synced. */
	#snapshotWrite: number | undefined;
	/** Size of the stored log, and its size directly after the last compaction, in bytes. */
	#logBytes = 0;
	#compactedBytes = 0;

	constructor(
		private readonly log: control.ReplicatedLog,
		private readonly machine: Pick<
			machines.ControlMachine,
			'appliedIndex' | 'buildState'
		>,
		private readonly limits: storageLimits.StorageLimits,
		private readonly handleEffect: (effect: LogEffect) => void,
	) {}

	step(event: LogEvent): void {
		this.#queuedEvents.push(event);
		if (this.#queuedEvents.length > 1) {
			return;
		}

		while (this.#queuedEvents[0]) {
			for (const effect of this.log.step(this.#queuedEvents[0])) {
				if (effect.type === 'write' && effect.data.snapshot) {
					this.#snapshotWrite = effect.write;
				}

				this.handleEffect(effect);
			}

			this.#compactIfDue(event.now);
			this.#queuedEvents.shift();
		}
	}

	/** Handles a write that is synced. */
	handleWritten({
		now,
		write,
		logBytes,
	}: Extract<control.ControlEvent, {type: 'written'}>): void {
		this.#recordLogSize(write, logBytes);
		this.step({type: 'written', now, write});
	}

	/** Records that the state machine was restored from a snapshot. */
	recordSnapshot(index: number): void {
		this.#snapshotIndex = index;
	}

	#recordLogSize(write: number, logBytes = 0): void {
		this.#logBytes = logBytes;
		if (this.#snapshotWrite !== undefined && write >= this.#snapshotWrite) {
			this.#snapshotWrite = undefined;
			this.#compactedBytes = logBytes;
		}
	}

	#compactIfDue(now: number): void {
		const {appliedIndex} = this.machine;
		const entries = appliedIndex - this.#snapshotIndex;
		// Until the snapshot is stored, the size is that of the log that it replaces.
		const isLarge =
			this.#snapshotWrite === undefined &&
			this.#logBytes - this.#compactedBytes >= this.limits.compactionBytes;
		if (entries >= timing.snapshotIntervalEntries || (entries > 0 && isLarge)) {
			this.#snapshotIndex = appliedIndex;
			this.#queuedEvents.push({
				type: 'compact',
				now,
				index: appliedIndex,
				state: this.machine.buildState(),
			});
		}
	}
}
