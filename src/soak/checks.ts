/**
 * Compares what callers were told with what the database holds after a soak, and with what the
 * processes did.
 */
import type * as callers from './callers.js';
import * as fleets from './fleet.js';
import type * as types from './types.js';

/** A request sent this long before a planned stop has reached the proxy by then. */
const transitMs = 500;
/** Time before and after a planned stop in which no other fault may excuse a cut request. */
const calmMs = 4000;
/** Time after a fault in which it may still cut requests. */
const calmBeforeMs = 6000;
/** No proxy accepts a key longer after the command that withdrew it. */
const withdrawalLimitMs = 5000;
/** Time in which every proxy that serves callers knows a new key. */
const keyPropagationMs = 2000;
/** The grace period, with the time that a busy process takes to close everything. */
const maxPlannedStopMs = fleets.drainDeadlineMs + 2000;
/** Far above what the daemons need for the load of a soak. */
const memoryLimitMb = 512;

/** Checks the rows of the table against the answers of the callers. */
export function checkWrites(
	writes: readonly types.WriteRecord[],
	storedIds: readonly number[],
): types.Violation[] {
	const violations: types.Violation[] = [];
	const counts = new Map<number, number>();
	for (const id of storedIds) {
		counts.set(id, (counts.get(id) ?? 0) + 1);
	}

	const countsByTransaction = new Map<number, number[]>();
	for (const {id, outcome, transaction} of writes) {
		const count = counts.get(id) ?? 0;
		if (outcome === 'acknowledged' && count === 0) {
			violations.push(buildViolation('acknowledgedWriteLost', id));
		}

		if (outcome === 'notRun' && count > 0) {
			violations.push(buildViolation('refusedWriteRan', id));
		}

		if (count > 1) {
			violations.push(buildViolation('writeRanTwice', id));
		}

		if (transaction !== undefined) {
			const stored = countsByTransaction.get(transaction) ?? [];
			stored.push(count);
			countsByTransaction.set(transaction, stored);
		}
	}

	for (const [transaction, stored] of countsByTransaction) {
		if (new Set(stored).size > 1) {
			violations.push(buildViolation('transactionMixed', transaction));
		}
	}

	return violations;
}

/**
 * Finds requests that a planned stop of their proxy has cut. Stops beside another fault are left out,
 * because the other fault may have cut the request.
 */
export function checkPlannedStops(
	stops: ReadonlyArray<Omit<fleets.PlannedStop, 'endAt'>>,
	faults: readonly types.TimeSpan[],
	requests: readonly types.BrokenRequest[],
): types.Violation[] {
	return stops.flatMap(({proxy, at}) => {
		const isCalm = faults.every(
			(fault) => fault.endAt + calmMs < at || fault.at > at + calmMs,
		);
		const cut = requests.filter(
			(request) =>
				request.proxy === proxy &&
				request.sentAt + transitMs < at &&
				request.endedAt > at &&
				request.endedAt < at + calmMs,
		);
		return isCalm && cut.length > 0
			? [
					{
						promise: 'requestCutByStop' as const,
						detail: `${cut.length} requests at ${proxy}`,
					},
				]
			: [];
	});
}

/**
 * Finds requests that got neither an answer nor a refusal, and stops that exceeded their grace period,
 * around planned work alone.
 */
export function checkCalm(
	stops: readonly fleets.PlannedStop[],
	faults: readonly types.TimeSpan[],
	requests: readonly types.BrokenRequest[],
): types.Violation[] {
	return [
		...requests
			.filter(({endedAt}) => isCalm(faults, endedAt, endedAt))
			.map(({proxy, sentAt, endedAt}) => ({
				promise: 'requestUnanswered' as const,
				detail: `at ${proxy}, sent ${new Date(sentAt).toISOString()}, ended ${endedAt - sentAt} ms later`,
			})),
		...stops
			.filter(
				({at, endAt}) =>
					isCalm(faults, at, endAt) && endAt - at > maxPlannedStopMs,
			)
			.map(({proxy, at, endAt}) => ({
				promise: 'stopTooLong' as const,
				detail: `${proxy} took ${endAt - at} ms from ${new Date(at).toISOString()}`,
			})),
	];
}

/**
 * Finds requests that a withdrawn key was accepted for after the bound, and refusals of a valid key
 * around planned work alone.
 */
export function checkKeys(
	uses: readonly types.KeyUse[],
	faults: readonly types.TimeSpan[],
): types.Violation[] {
	return uses.flatMap(
		({key, proxy, sentAt, endedAt, outcome}): types.Violation[] => {
			const {addedAt, withdrawalStartedAt, withdrawnAt} = key;
			const detail = `at ${proxy}, ${new Date(sentAt).toISOString()}, added ${sentAt - addedAt} ms before`;
			if (
				outcome === 'answered' &&
				withdrawnAt !== undefined &&
				sentAt > withdrawnAt + withdrawalLimitMs
			) {
				const promise = 'withdrawnKeyAccepted' as const;
				const lateMs = sentAt - withdrawnAt;
				return [{promise, detail: `${detail}, withdrawn ${lateMs} ms before`}];
			}

			const isValid =
				addedAt + keyPropagationMs < sentAt &&
				(withdrawalStartedAt === undefined || endedAt < withdrawalStartedAt);
			return outcome === '28P01' && isValid && isCalm(faults, sentAt, endedAt)
				? [{promise: 'validKeyRefused' as const, detail}]
				: [];
		},
	);
}

/** Checks that no process ended by itself or took too much memory. */
export function checkProcesses(fleet: fleets.SoakFleet): types.Violation[] {
	const ends = fleet.unexpectedEnds.map((detail) => ({
		promise: 'processEnded' as const,
		detail,
	}));
	return fleet.peakMemoryMb > memoryLimitMb
		? [
				...ends,
				{
					promise: 'memoryExceeded',
					detail: `a daemon took ${fleet.peakMemoryMb} MB`,
				},
			]
		: ends;
}

/** Counts the writes of each outcome. */
export function countOutcomes(
	record: callers.CallerRecord,
): types.SoakReport['writes'] {
	return {
		acknowledged: record.countWrites('acknowledged'),
		notRun: record.countWrites('notRun'),
		unknown: record.countWrites('unknown'),
	};
}

function isCalm(
	faults: readonly types.TimeSpan[],
	at: number,
	endAt: number,
): boolean {
	return faults.every(
		(fault) => fault.endAt + calmBeforeMs < at || fault.at > endAt,
	);
}

function buildViolation(
	promise: types.Violation['promise'],
	id: number,
): types.Violation {
	return {promise, detail: `write ${id}`};
}
