/**
 * Takes a leader's entries and snapshots into the log of this peer.
 */
import type * as ids from '../ids.js';
import type * as types from './types.js';
import type * as log from './log.js';
import type * as writeQueue from './write-queue.js';

type Append<Command> = Omit<
	Extract<types.ConsensusMessage, {type: 'append'}>,
	'entries'
> & {readonly entries: ReadonlyArray<types.LogEntry<Command>>};

type InstallSnapshot = Extract<
	types.ConsensusMessage,
	{type: 'installSnapshot'}
>;

export type LeaderMessage<Command = unknown> =
	Append<Command> | InstallSnapshot;

/** What became of a leader's message. */
export type LeaderMessageResult = {
	readonly success: boolean;
	/** On success the last index that equals the leader's log, else a hint where to go on. */
	readonly matchIndex: number;
	readonly commitIndex: number;
	readonly hasWritten: boolean;
	/** The newest entry of the message that made a learner a voter. */
	readonly joined?: {
		readonly peer: ids.PeerId;
		readonly incarnation: number | undefined;
	};
};

/** Applies a message of the present term to the log and queues the writes. */
export function applyLeaderMessage<Command>(
	target: log.Log<Command>,
	writes: writeQueue.WriteQueue<Command>,
	message: LeaderMessage<Command>,
	commitIndex: number,
): LeaderMessageResult {
	return message.type === 'append'
		? applyAppend(target, writes, message, commitIndex)
		: applySnapshot(target, writes, message.snapshot, commitIndex);
}

function applyAppend<Command>(
	target: log.Log<Command>,
	writes: writeQueue.WriteQueue<Command>,
	message: Append<Command>,
	commitIndex: number,
): LeaderMessageResult {
	const {previousIndex, previousTerm, entries} = message;
	// The snapshot holds only committed entries, which every leader has too.
	const isMatching =
		previousIndex < target.baseIndex ||
		target.getTerm(previousIndex) === previousTerm;
	if (!isMatching) {
		return {
			success: false,
			matchIndex: findHint(target, previousIndex, commitIndex),
			commitIndex,
			hasWritten: false,
		};
	}

	const matchIndex = previousIndex + entries.length;
	const added = entries.filter(
		(entry) =>
			entry.index > target.baseIndex &&
			target.getTerm(entry.index) !== entry.term,
	);
	addEntries(target, writes, added);
	return {
		success: true,
		matchIndex,
		commitIndex: Math.max(
			commitIndex,
			Math.min(message.commitIndex, matchIndex),
		),
		hasWritten: entries.length > 0,
		...findJoined(added),
	};
}

/** Returns an index below `previousIndex` from which the leader tries again. */
function findHint<Command>(
	target: log.Log<Command>,
	previousIndex: number,
	commitIndex: number,
): number {
	if (previousIndex > target.lastIndex) {
		return target.lastIndex;
	}

	// Skips the whole term of the conflicting entry; committed entries never conflict.
	const term = target.getTerm(previousIndex);
	let index = previousIndex - 1;
	while (index > commitIndex && target.getTerm(index) === term) {
		index--;
	}

	return index;
}

function addEntries<Command>(
	target: log.Log<Command>,
	writes: writeQueue.WriteQueue<Command>,
	entries: ReadonlyArray<types.LogEntry<Command>>,
): void {
	const first = entries[0];
	if (!first) {
		return;
	}

	if (first.index <= target.lastIndex) {
		target.truncate(first.index);
		writes.addTruncation(first.index);
	}

	for (const entry of entries) {
		target.addEntry(entry);
	}

	writes.addEntries(entries);
}

function findJoined(
	entries: readonly types.LogEntry[],
): Pick<LeaderMessageResult, 'joined'> {
	for (const {payload} of entries.toReversed()) {
		if (payload.type === 'voters' && payload.joined) {
			return {joined: payload.joined};
		}
	}

	return {};
}

function applySnapshot<Command>(
	target: log.Log<Command>,
	writes: writeQueue.WriteQueue<Command>,
	snapshot: types.Snapshot,
	commitIndex: number,
): LeaderMessageResult {
	const matchIndex = snapshot.index;
	if (snapshot.index <= commitIndex) {
		return {success: true, matchIndex, commitIndex, hasWritten: false};
	}

	const isContinued = target.getTerm(snapshot.index) === snapshot.term;
	if (!isContinued && target.lastIndex > snapshot.index) {
		writes.addTruncation(snapshot.index + 1);
	}

	target.restore(snapshot);
	writes.addSnapshot(snapshot);
	return {
		success: true,
		matchIndex,
		commitIndex: snapshot.index,
		hasWritten: true,
	};
}
