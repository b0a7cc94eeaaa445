/**
 * Rules about announcements that every receiver of them shares: what is news, and which of two
 * announcements of a server is newer.
 */
import type * as types from './types.js';

/** Position is left out: it changes with every write and owners report it. */
export function hasChanged(
	old: types.Announcement,
	current: types.Announcement,
): boolean {
	return (
		old.group !== current.group ||
		old.address !== current.address ||
		old.dataCentre !== current.dataCentre ||
		old.role !== current.role ||
		old.term !== current.term ||
		old.slots !== current.slots ||
		old.connectionLimit !== current.connectionLimit ||
		old.synchronousReplicas !== current.synchronousReplicas ||
		old.departing !== current.departing ||
		old.startedAt !== current.startedAt
	);
}

/** A departure holds until another process of the server announces itself. */
export function preserveDepartingFlag<Announcement extends types.Announcement>(
	current: Announcement,
	known: types.Announcement | undefined,
): Announcement {
	const departing =
		current.departing ||
		(known?.departing === true && known.startedAt === current.startedAt);
	return {...current, departing};
}

/**
 * Orders the announcements of a server across its restarts. A process announces itself less than
 * once per ms, so its versions stay below the start time of its successor.
 *
 * @param sequence - Counts the announcements of one process of the server.
 */
export function computeVersion(
	announcement: types.Announcement,
	sequence: number,
): number {
	return announcement.startedAt + sequence;
}
