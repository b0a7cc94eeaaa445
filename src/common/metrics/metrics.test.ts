import tap from 'tap';
import type * as proxy from '../proxy/types.js';
import {Metrics} from './metrics.js';

function makeRecord(
	other: Partial<proxy.RequestRecord> & {readonly member?: never} = {},
	member = 'sanna',
): proxy.RequestRecord {
	return {
		member: member as proxy.RequestRecord['member'],
		rank: 'normal',
		kind: 'read',
		verdict: 'completed',
		latencyMs: 10,
		queueMs: 1,
		stalenessMs: 50,
		servedBy: 'replica',
		onTime: true,
		...other,
	};
}

// Guards against requests counted under the wrong verdict, reason or role, and against a latency that
// includes refusals.
tap.test('requests are counted by verdict, reason and role', async (t) => {
	const metrics = new Metrics();
	for (let count = 1; count <= 100; count++) {
		metrics.recordRequest(makeRecord({latencyMs: count}));
	}

	metrics.recordRequest(makeRecord({servedBy: 'primary', onTime: false}));
	metrics.recordRequest(
		makeRecord({verdict: 'notRun', reason: 'queueFull', latencyMs: 5000}),
	);
	const {series, replicaShare} = metrics.getSnapshot();
	t.equal(series.length, 1);
	const [item] = series;
	t.same(item.verdicts, {completed: 101, notRun: 1, unknown: 0});
	t.same(item.refusals, {queueFull: 1});
	t.equal(item.onTime, 100);
	t.equal(replicaShare, 100 / 101);
	t.ok(Math.abs(item.latency.p50Ms - 50) <= 1);
	t.ok(Math.abs(item.latency.maxMs - 100) <= 1);
	t.equal(item.queueTime.count, 102);
	t.ok(Math.abs(item.staleness.p99Ms - 50) <= 1);
});

// Guards against memory that grows with the names that callers send.
tap.test('the number of series and gauges is bounded', async (t) => {
	const metrics = new Metrics();
	for (let count = 0; count < 1000; count++) {
		metrics.recordRequest(makeRecord({}, `m${count}`));
		metrics.setGauge(`g${count * 2}`, 1);
		metrics.setGauge(`g${count * 2 + 1}`, 1);
	}

	const {series, gauges} = metrics.getSnapshot();
	t.equal(series.length, 201);
	t.equal(series.at(-1)!.member, 'other');
	t.equal(series.at(-1)!.verdicts.completed, 800);
	t.equal(Object.keys(gauges).length, 1000);
});

// Guards against values that the histograms cannot record.
tap.test('values out of range are clamped or ignored', async (t) => {
	const metrics = new Metrics();
	metrics.recordRequest(
		makeRecord({latencyMs: 1e9, stalenessMs: Number.POSITIVE_INFINITY}),
	);
	metrics.recordRequest(makeRecord({latencyMs: -1, queueMs: Number.NaN}));
	const [item] = metrics.getSnapshot().series;
	t.equal(item.latency.count, 1);
	t.ok(item.latency.maxMs >= 99_000);
	t.ok(item.staleness.maxMs >= 99_000);
});

// Guards against text that Prometheus cannot parse, and against labels injected by a member name.
tap.test('the Prometheus text is well formed and escapes labels', async (t) => {
	const metrics = new Metrics();
	metrics.recordRequest(makeRecord({}, 'a"b\nc'));
	metrics.countEvent('connectionsOpened', 2);
	metrics.setGauge('sessions', 7);
	const text = metrics.formatText();
	t.match(
		text,
		String.raw`{member="a\"b\nc",rank="normal",verdict="completed"} 1`,
	);
	t.match(text, 'hemlockarch_connections_opened_total 2\n');
	t.match(text, '# TYPE hemlockarch_sessions gauge\nhemlockarch_sessions 7\n');
	t.match(
		text,
		/hemlockarch_latency_seconds\{.*quantile="0\.5"\} 0\.010?\d*\n/v,
	);
	const lines = text.split('\n').filter((line) => !line.startsWith('#'));
	for (const line of lines.filter(Boolean)) {
		t.match(line, /^[a-z_]+(?:\{.*\})? [\d.e\-]+$/v);
	}
});

// Guards against memory that grows with the customers of a configuration, and against lost counts.
tap.test('rate limits are counted by customer, within a bound', async (t) => {
	const metrics = new Metrics({maxCustomers: 2});
	for (const customer of ['a', 'b', 'c', 'd', 'a']) {
		metrics.countCustomer({customer, granted: 3, used: 2, refused: 1});
	}

	t.same(metrics.getSnapshot().customers, [
		{customer: 'a', granted: 6, used: 4, refused: 2},
		{customer: 'b', granted: 3, used: 2, refused: 1},
		{customer: 'other', granted: 6, used: 4, refused: 2},
	]);
	t.match(
		metrics.formatText(),
		/hemlockarch_rate_limit_operations_total\{customer="a",kind="used"\} 4/v,
	);
});
