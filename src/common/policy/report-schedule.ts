/**
 * When an owner reports a server to the entries that use it. Load pattern: with many entries, equal
 * reports to all of them at a fixed interval cost more than the requests themselves. The reports of a
 * server therefore share a number of messages per second that does not depend on the number of
 * entries. Changes that make a server usable or unusable are reported soonest. The expected wait is
 * also part of each answer, so reports of it only reach entries that have not used the server lately.
 */
import type * as messages from '../messages.js';

/** How much a report differs from the previous one: not notably, in its load, or in its state. */
export type ReportChange = 'none' | 'load' | 'state';

/** Messages per second that all reports of a server share. */
const reportsPerSecond: Readonly<Record<ReportChange, number>> = {
	none: 10,
	load: 40,
	state: 200,
};
/** A change of the expected wait below this is noise. */
const minWaitChangeMs = 30;
/** A change of the expected wait by less than this share hardly affects a choice of server. */
const minWaitChangeShare = 0.5;
const minStalenessChangeMs = 250;

/**
 * Computes the interval of the reports on one server, in ms.
 *
 * @param minIntervalMs - The interval while there are few subscribers.
 */
export function computeReportInterval(
	subscriberCount: number,
	change: ReportChange,
	minIntervalMs: number,
): number {
	return Math.max(
		minIntervalMs,
		(subscriberCount * 1000) / reportsPerSecond[change],
	);
}

/** Tells whether an entry would judge the server differently by the current report. */
export function classifyChange(
	previous: messages.ServerReport,
	current: messages.ServerReport,
): ReportChange {
	if (
		previous.role !== current.role ||
		previous.term !== current.term ||
		previous.writable !== current.writable ||
		hasValueChanged(
			previous.stalenessMs,
			current.stalenessMs,
			minStalenessChangeMs,
		)
	) {
		return 'state';
	}

	return hasWaitChanged(previous, current, 'urgent') ||
		hasWaitChanged(previous, current, 'normal') ||
		hasWaitChanged(previous, current, 'background')
		? 'load'
		: 'none';
}

function hasWaitChanged(
	previous: messages.ServerReport,
	current: messages.ServerReport,
	rank: keyof messages.ServerReport['expectedWaitMs'],
): boolean {
	const before = previous.expectedWaitMs[rank];
	const now = current.expectedWaitMs[rank];
	return hasValueChanged(
		before,
		now,
		Math.max(minWaitChangeMs, before * minWaitChangeShare),
	);
}

/** Handles infinite values, whose difference is not a number. */
function hasValueChanged(
	before: number,
	now: number,
	threshold: number,
): boolean {
	return before !== now && !(Math.abs(now - before) < threshold);
}
