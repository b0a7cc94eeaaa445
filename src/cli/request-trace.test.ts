import * as fc from 'fast-check';
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

// Guards against a line of another program that ends the command.
tap.test('any line is a log line or none', async (t) => {
	const value = fc.oneof(
		fc.json({maxDepth: 2}),
		fc.constantFrom(
			'{"toString":1}',
			'"2026-12-04T10:00:00Z"',
			'"q1"',
			'1e999',
		),
	);
	const line = fc.oneof(
		fc.string(),
		fc.json().map((text) => `p {"part":"peer","x":${text}}`),
		fc
			.tuple(value, value, value, value)
			.map(
				([timestamp, message, id, ageMs]) =>
					`{"part":"owner","timestamp":${timestamp},"message":${message},"id":${id},"ageMs":${ageMs},"server":${id}}`,
			),
	);
	fc.assert(
		fc.property(
			fc.array(line, {maxLength: 6}),
			fc.nat(30),
			(damaged, length) => {
				const parsed = [
					...damaged,
					...damaged.map((text) => text.slice(0, -length)),
				].flatMap((text) => requestTrace.parseLogLine(text, 'file') ?? []);
				const trace = requestTrace.buildRequestTrace(parsed, 'q1', 3000);
				return [...trace.own, ...trace.related].every(
					(found) => requestTrace.formatLogLine(found).length > 0,
				);
			},
		),
		{seed: 20_261_206, numRuns: 1000},
	);
	t.pass('for all lines');
});
