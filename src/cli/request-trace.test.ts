import tap from 'tap';
import * as requestTrace from './request-trace.js';

const buildLine = (second: number, fields: Record<string, unknown>): string =>
	JSON.stringify({
		level: 'info',
		timestamp: `2026-12-04T10:00:${String(second).padStart(2, '0')}.000Z`,
		...fields,
	});

const lines = [
	`front-a-1 ${buildLine(10, {part: 'request', message: 'Refused', id: 'q1', ageMs: 800, server: 's1', owner: 'p2', code: 'READONLY'})}`,
	`front-a-1 ${buildLine(10, {part: 'request', message: 'Refused', id: 'q2'})}`,
	`front-b-1 ${buildLine(9, {part: 'control', message: 'primary s1 of g is silent'})}`,
	`front-a-1 ${buildLine(8, {part: 'peer', message: 'Lost the link to p2: the peer is silent.'})}`,
	`front-a-1 ${buildLine(8, {part: 'peer', message: 'Lost the link to p3: the peer is silent.'})}`,
	`front-b-1 ${buildLine(30, {part: 'control', message: 'primary s1 of g is silent'})}`,
	'no log line',
	'{"broken',
];

// Guards against a trace that misses the cause of a failed request or includes unrelated lines.
tap.test('a trace holds a request and its related lines', async (t) => {
	const parsed = lines.flatMap(
		(line) => requestTrace.parseLogLine(line, 'file') ?? [],
	);
	t.equal(parsed.length, 6);
	const trace = requestTrace.buildRequestTrace(parsed, 'q1', 3000);
	t.same(
		trace.own.map(({source, fields}) => [source, fields.code]),
		[['front-a-1', 'READONLY']],
	);
	t.same(
		trace.related.map(({message}) => message),
		['Lost the link to p2: the peer is silent.', 'primary s1 of g is silent'],
	);
	t.equal(
		requestTrace.formatLogLine(trace.related[1]),
		'2026-12-04T10:00:09.000Z front-b-1 control: primary s1 of g is silent',
	);
	t.same(requestTrace.buildRequestTrace(parsed, 'q3', 3000).own, []);
});

// Guards against lines without a log collector's prefix whose source is unknown.
tap.test('the source of a line without prefix is its file', async (t) => {
	const line = buildLine(1, {part: 'owner', message: 'x'});
	t.equal(requestTrace.parseLogLine(line, 'proxy.log')?.source, 'proxy.log');
});
