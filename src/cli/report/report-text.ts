/**
 * Renders a report as text for people.
 */
import * as counts from './counts.js';
import type * as types from './types.js';

const placeNames: Readonly<Record<types.WaitPlace, string>> = {
	entry: 'entry',
	unnamed: 'entry, cause not logged',
	noPrimary: 'no primary',
	noServer: 'no server or owner',
	staleness: 'no position or fresh server',
	rateLimit: 'token of a rate limit',
	owner: 'owner',
	connection: 'no connection',
	running: 'running',
	session: 'session',
};
const requestColumns = ['refused', 'unknown', 'unanswered'];
const waitColumns = ['waited', 'p50 ms', 'p99 ms', 'max ms'];
const columnGap = '  ';
const noValue = '-';
/** Causes and signals beyond these are left to the JSON output. */
const maxCauses = 20;
const maxSignals = 8;

/** Returns the lines of the report. */
export function renderReport(report: types.RequestReport): readonly string[] {
	return [
		...renderSummary(report),
		...renderTable(
			'By member and kind',
			['member', 'kind', ...requestColumns, ...waitColumns],
			report.kinds.map((row) => [
				row.member ?? noValue,
				row.kind ?? noValue,
				...formatRow(row),
			]),
		),
		...renderTable(
			'By place of the wait',
			['place', ...requestColumns, ...waitColumns],
			report.places.map((row) => [placeNames[row.place], ...formatRow(row)]),
		),
		...renderTable(
			'Ended by the deadline',
			['place', 'last reason', 'sent', ...requestColumns, ...waitColumns],
			report.deadlines.map((row) => [
				placeNames[row.place],
				row.lastReason ?? noValue,
				row.wasSent ? 'yes' : 'no',
				...formatRow(row),
			]),
		),
		...renderTable(
			'By cause',
			[
				'code',
				...requestColumns,
				'with return',
				'p50 ms',
				'max ms',
				'place',
				'cause',
			],
			report.causes
				.slice(0, maxCauses)
				.map((row) => [
					row.code ?? noValue,
					...formatCounts(row.requests),
					...formatNumbers([
						row.retryAfter.count,
						row.retryAfter.p50Ms,
						row.retryAfter.maxMs,
					]),
					placeNames[row.place],
					row.cause,
				]),
		),
		...renderReturns(report.returns),
		...renderTable(
			'Customers at their rate limit',
			['customer', 'lines', 'max waiting', 'max return ms'],
			report.customers.map((row) => [
				row.customer,
				...formatNumbers([row.lines, row.maxWaiting, row.maxRetryAfterMs]),
			]),
		),
		...renderWindows(report),
	];
}

function renderSummary(report: types.RequestReport): readonly string[] {
	const {firstAt, lastAt, requests, droppedLines} = report;
	const range =
		firstAt === undefined || lastAt === undefined
			? 'no lines in the time range'
			: `${formatTime(firstAt)} to ${formatTime(lastAt)}`;
	return [
		`${report.lines} lines of ${report.sources.length} processes, ${range}`,
		`${requests.refused} requests refused, ${requests.unknown} with unknown outcome, ${requests.unanswered} without an answer`,
		...(droppedLines > 0
			? [
					`${droppedLines} further request lines were dropped at their processes, so the counts are too low`,
				]
			: []),
		'Served and late requests are not logged; see hemlockarch_requests_total and hemlockarch_on_time_total',
	];
}

function renderReturns({
	intervals,
	early,
}: types.ReturnSummary): readonly string[] {
	return intervals.count === 0
		? []
		: [
				'',
				`Refused again under the same id: ${intervals.count} times, ${intervals.p50Ms} ms later (p50), at most ${intervals.maxMs} ms; ${early} of them before the given time`,
			];
}

function renderWindows({
	worstWindows,
	windowMs,
}: types.RequestReport): readonly string[] {
	if (worstWindows.length === 0) {
		return [];
	}

	return [
		'',
		`Worst windows of ${windowMs} ms`,
		...worstWindows.flatMap((window) => [
			`${formatTime(window.startAt)}  ${counts.sumCounts(window.requests)} requests (${window.requests.refused} refused, ${window.requests.unknown} unknown, ${window.requests.unanswered} unanswered), ${window.droppedLines} dropped lines, ${window.waited} waited up to ${window.maxWaitMs} ms`,
			...window.places.map(
				({place, requests}) => `  ${requests} ${placeNames[place]}`,
			),
			...window.signals
				.slice(0, maxSignals)
				.map(({text, count}) => `  ${count} x ${text}`),
		]),
	];
}

/** Renders a table with a heading; nothing without rows. Numbers are aligned to the right. */
function renderTable(
	heading: string,
	columns: readonly string[],
	rows: ReadonlyArray<readonly string[]>,
): readonly string[] {
	if (rows.length === 0) {
		return [];
	}

	const cells = [columns, ...rows];
	const widths = columns.map((_, index) =>
		Math.max(...cells.map((row) => row[index].length)),
	);
	const isNumeric = columns.map((_, index) =>
		rows.every((row) => /^\d+$/v.test(row[index])),
	);
	return [
		'',
		heading,
		...cells.map((row) =>
			row
				.map((cell, index) =>
					isNumeric[index]
						? cell.padStart(widths[index])
						: cell.padEnd(widths[index]),
				)
				.join(columnGap)
				.trimEnd(),
		),
	];
}

function formatRow({requests, waits}: types.ReportRow): readonly string[] {
	return [
		...formatCounts(requests),
		...formatNumbers([waits.count, waits.p50Ms, waits.p99Ms, waits.maxMs]),
	];
}

function formatCounts(requests: types.OutcomeCounts): readonly string[] {
	return formatNumbers([
		requests.refused,
		requests.unknown,
		requests.unanswered,
	]);
}

function formatNumbers(numbers: readonly number[]): readonly string[] {
	return numbers.map(String);
}

function formatTime(at: number): string {
	return new Date(at).toISOString();
}
