/**
 * Applies the entries and snapshots of a leader to the log of this peer.
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

export type LeaderMessageResult = {
	readonly success: boolean;
	/** On success, the last index that matches the leader's log; otherwise the index to retry after. */
	readonly matchIndex: number;
	readonly commitIndex: number;
	/**
	 * The reply must wait until the log is synced: the message carried entries, even if the log already
	 * has them, or a snapshot beyond the commit index.
	 */
	readonly needsSync: boolean;
	/** The newest entry of the message that made a learner a voter. */
	readonly joined?: {
		readonly peer: ids.PeerId;
		readonly incarnation: number | undefined;
	};
};

/**
 * Compares a message of the current term with the log, for a peer that cannot store anything: what the
 * log lacks is left to the leader to send again.
 */
export function compareLeaderMessage<Command>(
	localLog: log.Log<Command>,
	message: LeaderMessage<Command>,
	commitIndex: number,
): LeaderMessageResult {
	const unchanged = {success: true, commitIndex, needsSync: false};
	if (message.type === 'installSnapshot') {
		const {index} = message.snapshot;
		return {...unchanged, matchIndex: Math.min(index, commitIndex)};
	}

	const {previousIndex, entries} = message;
	if (!isPreviousMatching(localLog, message)) {
		const matchIndex = findHint(localLog, previousIndex, commitIndex);
		return {...unchanged, success: false, matchIndex};
	}

	const lacking = entries.findIndex((entry) => isLacking(localLog, entry));
	const matchIndex =
		previousIndex + (lacking === -1 ? entries.length : lacking);
	return {
		...unchanged,
		matchIndex,
		commitIndex: Math.max(
			commitIndex,
			Math.min(message.commitIndex, matchIndex),
		),
	};
}

/** Applies a message of the current term to the log and queues the writes. */
export function applyLeaderMessage<Command>(
	localLog: log.Log<Command>,
	writes: writeQueue.WriteQueue<Command>,
	message: LeaderMessage<Command>,
	commitIndex: number,
): LeaderMessageResult {
	return message.type === 'append'
		? applyAppend(localLog, writes, message, commitIndex)
		: applySnapshot(localLog, writes, message.snapshot, commitIndex);
}

function applyAppend<Command>(
	localLog: log.Log<Command>,
	writes: writeQueue.WriteQueue<Command>,
	message: Append<Command>,
	commitIndex: number,
): LeaderMessageResult {
	const {previousIndex, entries} = message;
	if (!isPreviousMatching(localLog, message)) {
		return {
			success: false,
			matchIndex: findHint(localLog, previousIndex, commitIndex),
			commitIndex,
			needsSync: false,
		};
	}

	const matchIndex = previousIndex + entries.length;
	const newEntries = entries.filter((entry) => isLacking(localLog, entry));
	appendEntries(localLog, writes, newEntries);
	return {
		success: true,
		matchIndex,
		commitIndex: Math.max(
			commitIndex,
			Math.min(message.commitIndex, matchIndex),
		),
		needsSync: entries.length > 0,
		...findJoined(newEntries),
	};
}

function isPreviousMatching<Command>(
	localLog: log.Log<Command>,
	{previousIndex, previousTerm}: Append<Command>,
): boolean {
	// The snapshot covers only committed entries, which every leader has too.
	return (
		previousIndex < localLog.baseIndex ||
		localLog.getTerm(previousIndex) === previousTerm
	);
}

function isLacking<Command>(
	localLog: log.Log<Command>,
	{index, term}: types.LogEntry<Command>,
): boolean {
	return index > localLog.baseIndex && localLog.getTerm(index) !== term;
}

/** Returns an index below `previousIndex` after which the leader tries again. */
function findHint<Command>(
	localLog: log.Log<Command>,
	previousIndex: number,
	commitIndex: number,
): number {
	if (previousIndex > localLog.lastIndex) {
		return localLog.lastIndex;
	}

	// Skips the whole term of the conflicting entry; committed entries never conflict.
	const term = localLog.getTerm(previousIndex);
	let index = previousIndex - 1;
	while (index > commitIndex && localLog.getTerm(index) === term) {
		index--;
	}

	return index;
}

function appendEntries<Command>(
	localLog: log.Log<Command>,
	writes: writeQueue.WriteQueue<Command>,
	entries: ReadonlyArray<types.LogEntry<Command>>,
): void {
	const first = entries[0];
	if (!first) {
		return;
	}

	if (first.index <= localLog.lastIndex) {
		localLog.truncate(first.index);
		writes.addTruncation(first.index);
	}

	for (const entry of entries) {
		localLog.appendEntry(entry);
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
	localLog: log.Log<Command>,
	writes: writeQueue.WriteQueue<Command>,
	snapshot: types.Snapshot,
	commitIndex: number,
): LeaderMessageResult {
	const matchIndex = snapshot.index;
	if (snapshot.index <= commitIndex) {
		return {success: true, matchIndex, commitIndex, needsSync: false};
	}

	const hasMatchingEntry = localLog.getTerm(snapshot.index) === snapshot.term;
	if (!hasMatchingEntry && localLog.lastIndex > snapshot.index) {
		writes.addTruncation(snapshot.index + 1);
	}

	localLog.restore(snapshot);
	writes.addSnapshot(snapshot);
	return {
		success: true,
		matchIndex,
		commitIndex: snapshot.index,
		needsSync: true,
	};
}
