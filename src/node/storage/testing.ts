/**
 * Entries and writes for tests of the storage.
 */
import type * as ids from '../../common/ids.js';
import * as fakeNetwork from '../../common/consensus/fake-network.js';
import type * as types from '../../common/consensus/types.js';

const [peerA, peerB] = ['a', 'b'] as ids.PeerId[];

export function makeEntries(
	from: number,
	count: number,
	term = 1,
): Array<types.LogEntry<string>> {
	return Array.from({length: count}, (_, offset) => ({
		index: from + offset,
		term,
		payload: {type: 'command', command: `command ${from + offset}`},
	}));
}

/** Builds writes as the reducer makes them: contiguous entries, snapshots of stored or later entries. */
export function makeWrites(
	choices: ReadonlyArray<readonly [number, number]>,
): Array<types.StorageWrite<string, string>> {
	let stored = fakeNetwork.makeEmptyStoredLog<string>();
	return choices.map(([kind, size], term) => {
		const base = stored.snapshot?.index ?? 0;
		const last = base + stored.entries.length;
		const firstRemoved = Math.max(base + 1, last + 1 - size);
		const snapshotEntry =
			stored.entries[Math.min(size, stored.entries.length) - 1];
		const snapshot = snapshotEntry
			? {
					index: snapshotEntry.index,
					term: snapshotEntry.term,
					voters: [peerA, peerB],
					state: `s${term}`,
				}
			: {index: last + size, term, voters: [peerA], state: `s${term}`};
		const variants: Array<types.StorageWrite<string, string>> = [
			{append: makeEntries(last + 1, size, term)},
			{hardState: {term, votedFor: size === 1 ? peerA : undefined}},
			{truncateFrom: firstRemoved, append: makeEntries(firstRemoved, 2, term)},
			{snapshot},
			{
				hardState: {term, votedFor: peerB},
				append: makeEntries(last + 1, 1, term),
			},
		];
		const write = variants[kind];
		stored = fakeNetwork.applyWrite(stored, write);
		return write;
	});
}
