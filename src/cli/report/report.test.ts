import tap from 'tap';
import type * as requestTrace from '../request-trace.js';
import * as reportBuilder from './report-builder.js';
import * as reportText from './report-text.js';
import * as requestEnd from './request-end.js';
import type * as types from './types.js';

const startAt = Date.parse('2026-12-04T10:00:00.000Z');
const expired = 'not run: the deadline has passed';

function buildLine(
	atMs: number,
	fields: Record<string, unknown>,
	message = 'Refused',
	part = 'request',
): requestTrace.LogLine {
	return {source: 'vm-1', at: startAt + atMs, part, message, fields};
}

function buildReport(
	lines: readonly requestTrace.LogLine[],
	options: Partial<reportBuilder.ReportOptions> = {},
): types.RequestReport {
	const builder = new reportBuilder.ReportBuilder({
		fromAt: Number.NEGATIVE_INFINITY,
		untilAt: Number.POSITIVE_INFINITY,
		windowMs: 5000,
		worstCount: 5,
		...options,
	});
	for (const line of lines) {
		builder.add(line);
	}

	return builder.build();
}

// Guards against a report that blames the wrong part for a wait.
tap.test('the place of a wait follows from the line', async (t) => {
	const sent = {kind: 'read', attempts: 1, cause: expired};
	const unsent = {...sent, attempts: 0};
	const cases: ReadonlyArray<
		readonly [types.WaitPlace, Record<string, unknown>]
	> = [
		['unnamed', unsent],
		['unnamed', {...unsent, lastReason: 'deadline'}],
		['entry', {...unsent, cause: 'not run: the key belongs to no customer'}],
		['owner', {...sent, lastReason: 'deadline'}],
		['owner', {...sent, lastReason: 'queueFull'}],
		['noPrimary', {...unsent, lastReason: 'noPrimary'}],
		['noServer', {...unsent, lastReason: 'noServer'}],
		['staleness', {...unsent, lastReason: 'tooStale'}],
		[
			'connection',
			{
				...sent,
				lastReason: 'queueFull',
				cause: 'not run: too many sessions hold connections of the server',
			},
		],
		[
			'rateLimit',
			{
				...unsent,
				cause: 'not run: no place could be obtained in time; retry in 70 ms',
			},
		],
		['running', {...sent, cause: 'the outcome is unknown: no answer'}],
		['session', {cause: 'the proxy is shutting down'}],
	];
	for (const [place, fields] of cases) {
		const end = requestEnd.parseRequestEnd(buildLine(0, fields));
		t.equal(end?.place, place, JSON.stringify(fields));
	}
});

// Guards against refusals that are reported as work that may have run, and the reverse.
tap.test('the outcome follows from the cause', async (t) => {
	const parse = (fields: Record<string, unknown>) =>
		requestEnd.parseRequestEnd(buildLine(0, fields))?.outcome;
	t.equal(parse({kind: 'write', cause: expired}), 'refused');
	t.equal(parse({cause: 'the proxy is shutting down'}), 'refused');
	t.equal(
		parse({kind: 'write', cause: 'the proxy is shutting down'}),
		'unknown',
	);
	const other = buildLine(0, {}, 'Started', 'start');
	t.equal(requestEnd.parseRequestEnd(other), undefined);
});

// Guards against refusals by deadline without their cause, among them those with other codes.
tap.test('requests that ended by the deadline have a cause', async (t) => {
	const report = buildReport([
		buildLine(0, {
			kind: 'write',
			cause: expired,
			lastReason: 'noPrimary',
			attempts: 0,
			ageMs: 805,
		}),
		buildLine(1, {
			kind: 'write',
			cause: 'the outcome is unknown: the connection was closed',
			attempts: 1,
			ageMs: 820,
			limitMs: 800,
		}),
		buildLine(2, {kind: 'read', cause: 'not run: other', ageMs: 3}),
	]);
	t.match(report.deadlines, [
		{place: 'noPrimary', wasSent: false, waits: {count: 1, maxMs: 805}},
		{place: 'running', wasSent: true, requests: {unknown: 1}},
	]);
	t.equal(report.deadlines.length, 2);
});

// Guards against times to return that are lost, and against causes that differ only in a number.
tap.test('causes give the time to return', async (t) => {
	const buildLimited = (atMs: number, id: string, retryAfterMs: number) =>
		buildLine(atMs, {
			id,
			kind: 'read',
			code: 'BUSY',
			cause: `not run: the customer has reached its limit; a place is expected in ${retryAfterMs} ms`,
			ageMs: 0,
		});
	const report = buildReport([
		buildLimited(900, 'q1', 50),
		buildLimited(0, 'q1', 200),
		buildLimited(150, 'q1', 500),
		buildLimited(20, 'q2', 300),
	]);
	t.match(report.causes, [
		{
			code: 'BUSY',
			place: 'rateLimit',
			requests: {refused: 4},
			retryAfter: {count: 4, maxMs: 500},
		},
	]);
	t.match(report.returns, {intervals: {count: 2, maxMs: 750}, early: 1});
	t.equal(report.kinds[0].waits.count, 0);
});

// Guards against windows that are ranked without the lines that were dropped in them.
tap.test('the worst windows come first', async (t) => {
	const refusal = {kind: 'read', cause: expired, ageMs: 40};
	const report = buildReport(
		[
			buildLine(100, refusal),
			buildLine(4999, refusal),
			buildLine(5000, refusal),
			buildLine(6000, {dropped: 9}, 'Dropped log lines'),
			buildLine(10_000, {}, 'primary s1 of g is silent', 'control'),
			buildLine(20_000, {count: 2, stage: 'queued'}, 'Left without an answer'),
			buildLine(20_500, {server: 's1'}, 'No connection for a request', 'pool'),
			buildLine(20_600, {}, 'Started', 'start'),
		],
		{worstCount: 3},
	);
	t.equal(report.droppedLines, 9);
	t.same(
		report.worstWindows.map((window) => window.startAt - startAt),
		[5000, 0, 20_000],
	);
	t.same(report.worstWindows[2].signals, [
		{text: 'pool: No connection for a request (s1)', count: 1},
	]);
	t.equal(report.requests.unanswered, 2);
});

// Guards against lines outside the range that change the figures.
tap.test('lines outside the range are left out', async (t) => {
	const refusal = {kind: 'read', cause: expired};
	const lines = [0, 1000, 2000].map((atMs) => buildLine(atMs, refusal));
	const range = {fromAt: startAt + 1000, untilAt: startAt + 2000};
	const report = buildReport(lines, range);
	t.equal(report.lines, 1);
	t.equal(report.requests.refused, 1);
	t.equal(buildReport([]).firstAt, undefined);
});

// Guards against figures of a table that stand under another column.
tap.test('the text has a column for each figure', async (t) => {
	const report = buildReport([
		buildLine(0, {member: 'm', kind: 'write', cause: expired, ageMs: 805}),
		buildLine(
			1,
			{customer: 'gaub', waiting: 3, retryAfterMs: 120},
			'A customer is limited',
			'limits',
		),
	]);
	const text = reportText.renderReport(report).join('\n');
	t.match(text, /^m +write +1 +0 +0 +1 +805 +805 +805$/mv);
	t.match(text, /^gaub +1 +3 +120$/mv);
	t.notMatch(text, 'Refused again');
});
