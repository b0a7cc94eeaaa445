/**
 * Checks what callers observed against what the servers did.
 */
import type * as ids from '../../common/ids.js';
import type * as fakeServer from '../fleet/fake-server.js';
import * as callers from './caller.js';
import type * as types from './types.js';

/** A proxy may accept a key for this long after its withdrawal, in ms. */
const withdrawalLimitMs = 4000;
const windowMs = 5000;
const overage = 0.1;
const slack = 20;
/** Tokens that were granted before a change of a limit are used, returned or expired after this time. */
const changeGraceMs = 3000;

/** The bound of the rates of customers that the control peers enforce. */
export const rateBound = {windowMs, overage, slack};

/** Counts statements that ran although a proxy read them too late after the withdrawal of their key. */
export function countLateRuns(
	records: readonly callers.StatementRecord[],
	servers: Iterable<fakeServer.FakeServer>,
): number {
	const committed = collectCommitted(servers);
	return records.filter(
		({withdrawnMs = 0, answer, value}) =>
			withdrawnMs > withdrawalLimitMs &&
			((answer?.type === 'answered' && answer.answer.type === 'ok') ||
				(value !== undefined && committed.has(value))),
	).length;
}

/** Counts writes, and commits of them, that were refused as not run although a server committed them. */
export function countFalseRefusals(
	records: readonly callers.StatementRecord[],
	servers: Iterable<fakeServer.FakeServer>,
): number {
	const committed = collectCommitted(servers);
	return records.filter(({type, value, answer, previous}) => {
		if (answer === undefined || !callers.isNotRun(answer)) {
			return false;
		}

		if (value !== undefined) {
			return committed.has(value);
		}

		// Without its BEGIN, a write runs outside of a transaction.
		return (
			type === 'commit' &&
			previous?.previous?.answer?.type === 'answered' &&
			committed.has(previous.value!)
		);
	}).length;
}

/**
 * Counts the windows, one from each statement, in which a customer ran more than its limits allow.
 *
 * @param limits - The limits of the customer in their order; empty without any.
 */
export function countExceededWindows(
	customer: ids.CustomerId,
	limits: readonly types.LimitPeriod[],
	servers: Iterable<fakeServer.FakeServer>,
): number {
	if (limits.length === 0) {
		return 0;
	}

	const times = [...servers]
		.flatMap(({executedAt, executedBy}) =>
			executedAt.filter((_, index) => executedBy[index] === customer),
		)
		.sort((left, right) => left - right);
	let count = 0;
	let end = 0;
	for (const [index, at] of times.entries()) {
		while (end < times.length && times[end] < at + windowMs) {
			end++;
		}

		count += Number(end - index > computeMaxRuns(limits, at));
	}

	return count;
}

/** Computes what may run in the window that starts at a time. */
function computeMaxRuns(
	limits: readonly types.LimitPeriod[],
	startsAt: number,
): number {
	const possible = limits.filter(
		({from, until}) =>
			from < startsAt + windowMs && until + changeGraceMs > startsAt,
	);
	const rates = possible.map(({ratePerS}) => (ratePerS * windowMs) / 1000);
	const bursts = possible.map(
		({burst}, index) => (rates[index] + burst) * (1 + overage) - rates[index],
	);
	return Math.max(...rates) + Math.max(...bursts) + slack;
}

/**
 * Counts refusals of callers with a key in force since a time from which all processes work and no
 * customer exceeds its limit.
 */
export function countCalmRefusals(
	records: readonly callers.StatementRecord[],
	since: number,
): number {
	return records.filter(
		({sentAt, withdrawnMs, answer}) =>
			sentAt >= since &&
			withdrawnMs === 0 &&
			answer !== undefined &&
			callers.isNotRun(answer),
	).length;
}

function collectCommitted(
	servers: Iterable<fakeServer.FakeServer>,
): ReadonlySet<string> {
	return new Set([...servers].flatMap(({committedValues}) => committedValues));
}
