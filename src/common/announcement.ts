/**
 * Comparison of server announcements, shared by all their receivers: whether an announcement brings
 * a change, and which of two announcements of a server is newer.
 */
import type * as types from './types.js';

/**
 * Tells whether an announcement differs from the previous one. The position is not compared: it
 * changes with every write, and owners report it.
 */
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

/**
 * Keeps the departing flag set until another instance of the server, with its own start time,
 * announces itself.
 */
export function preserveDepartingFlag<Announcement extends types.Announcement>(
	current: Announcement,
	known: types.Announcement | undefined,
): Announcement {
	const departing =
		current.departing ||
		(known?.departing === true && known.startedAt === current.startedAt);
	return {...current, departing};
}

/** Announcements of one server instance that a receiver may have missed, as an upper bound. */
const maxMissedAnnouncements = 1000;

/**
 * Returns the announcement of a server that has left. Its version is higher than that of any
 * announcement which the server sent to another receiver before it left.
 */
export function buildDeparture(
	known: types.VersionedAnnouncement,
): types.VersionedAnnouncement {
	return {
		...known,
		departing: true,
		version: known.version + maxMissedAnnouncements,
	};
}

/**
 * How far a start time may lie ahead of the receiver's clock, in ms. Far more than clocks differ, and
 * far less than a time in another unit.
 */
const maxClockDifferenceMs = 86_400_000;

/**
 * Tells whether a server can have sent this many announcements since it started. One that claims a
 * later time would hide all announcements that follow it.
 *
 * @param startedAt - Start time of the server, in ms since the Unix epoch.
 * @param sequence - Number of the announcement among those of the same instance of the server.
 * @param wallClock - Time of the receiver, in ms since the Unix epoch.
 */
export function isPlausible(
	startedAt: number,
	sequence: number,
	wallClock: number,
): boolean {
	return startedAt + sequence <= wallClock + maxClockDifferenceMs;
}

/**
 * Computes a version that orders the announcements of a server across its restarts. An instance
 * announces itself less than once per ms, so its versions stay below the start time of the next
 * instance.
 *
 * @param sequence - Number of the announcement among those of the same instance of the server.
 */
export function computeVersion(
	announcement: types.Announcement,
	sequence: number,
): number {
	return announcement.startedAt + sequence;
}
