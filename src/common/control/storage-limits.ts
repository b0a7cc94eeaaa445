/**
 * How much of its disk a control peer may use. All files together stay below half of the disk, whatever
 * changes come, so that a compaction always has room.
 *
 * The peak is during a compaction: the old snapshot and log are kept until the new ones are durable. With
 * the limits below, two snapshots and the log before its compaction take 24 of 64 parts, one snapshot and
 * both logs take 20; the rest of the half is for one change that is larger than `pendingBytes`.
 */

export type StorageLimits = {
	/** The log is compacted once it has grown by this much since the last compaction, in bytes. */
	readonly compactionBytes: number;
	/** Entries that are not committed, or not synced here, take this much at most, in bytes. */
	readonly pendingBytes: number;
	/** A change after which the replicated state would be larger is refused, in bytes. */
	readonly stateBytes: number;
};

const mebibyte = 1024 * 1024;

/** The disk that a peer assumes when its settings name no size. */
const defaultDiskBytes = 256 * mebibyte;

/** The log is also kept in memory, so that a large disk does not let it grow without limit. */
const maxCompactionBytes = 8 * mebibyte;

/** Computes the limits for a disk of this size in bytes. */
export function computeStorageLimits(
	diskBytes: number = defaultDiskBytes,
): StorageLimits {
	const logBytes = Math.min(diskBytes / 16, maxCompactionBytes);
	return {
		compactionBytes: logBytes,
		pendingBytes: logBytes,
		stateBytes: diskBytes / 8,
	};
}

/** Computes the free space below which a disk of this size counts as nearly full, in bytes. */
export function computeReserveBytes(
	diskBytes: number = defaultDiskBytes,
): number {
	const {compactionBytes, stateBytes} = computeStorageLimits(diskBytes);
	return stateBytes + compactionBytes;
}

export const defaultLimits = computeStorageLimits();
