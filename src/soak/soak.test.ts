import tap from 'tap';
import * as checks from './checks.js';
import * as plan from './plan.js';
import * as run from './run.js';
import type * as types from './types.js';

const fileTimeoutMs = 180_000;
const seed = 7;

tap.setTimeout(fileTimeoutMs);

function buildWrite(
	id: number,
	outcome: types.WriteOutcome,
	transaction?: number,
): types.WriteRecord {
	return {id, outcome, transaction};
}

// Guards against a check that overlooks a broken promise.
tap.test('each kind of wrong write is found', async (t) => {
	const writes = [
		buildWrite(1, 'acknowledged'),
		buildWrite(2, 'notRun'),
		buildWrite(3, 'unknown'),
		buildWrite(4, 'acknowledged', 4),
		buildWrite(5, 'acknowledged', 4),
	];
	t.same(checks.checkWrites(writes, [1, 3, 4, 5]), []);
	t.same(checks.checkWrites(writes, [1, 4, 5]), []);
	const list = (stored: readonly number[]) =>
		checks.checkWrites(writes, stored).map(({promise}) => promise);
	t.same(list([4, 5]), ['acknowledgedWriteLost']);
	t.same(list([1, 2, 4, 5]), ['refusedWriteRan']);
	t.same(list([1, 3, 3, 4, 5]), ['writeRanTwice']);
	t.same(list([1, 4]), ['acknowledgedWriteLost', 'transactionMixed']);
});

// Guards against a cut by a planned stop that is excused, or blamed on a stop beside another fault.
tap.test('requests that a planned stop cuts are found', async (t) => {
	const stops = [{proxy: 'proxy-1', at: 10_000}];
	const request = {proxy: 'proxy-1', sentAt: 9000, endedAt: 10_500};
	const check = (
		faults: ReadonlyArray<{at: number; endAt: number}>,
		broken: types.BrokenRequest,
	) => checks.checkPlannedStops(stops, faults, [broken]).length;
	t.equal(check([], request), 1);
	t.equal(check([{at: 1000, endAt: 2000}], request), 1);
	t.equal(check([{at: 5000, endAt: 7000}], request), 0);
	t.equal(check([], {...request, proxy: 'proxy-2'}), 0);
	t.equal(check([], {...request, sentAt: 9900}), 0);
});

// Guards against a lost request or a long stop that is overlooked, or blamed on planned work beside a fault.
tap.test('requests without an answer and long stops are found', async (t) => {
	const stops = [{proxy: 'proxy-1', at: 10_000, endAt: 35_000}];
	const request = {proxy: 'proxy-1', sentAt: 9900, endedAt: 12_000};
	const list = (faults: ReadonlyArray<{at: number; endAt: number}>) =>
		checks
			.checkCalm(stops, faults, [request])
			.map(({promise}) => promise as string);
	t.same(list([]), ['requestUnanswered', 'stopTooLong']);
	t.same(list([{at: 1000, endAt: 3000}]), ['requestUnanswered', 'stopTooLong']);
	t.same(list([{at: 1000, endAt: 5000}]), ['requestUnanswered']);
	t.same(list([{at: 1000, endAt: 7000}]), []);
	t.same(list([{at: 20_000, endAt: 21_000}]), ['requestUnanswered']);
});

// Guards against a withdrawn key that is accepted, or a valid one that is refused, without a finding.
tap.test('wrong decisions about keys are found', async (t) => {
	const key = {text: 'k', addedAt: 1000, withdrawalStartedAt: 10_000};
	const withdrawn = {...key, withdrawnAt: 11_000};
	const list = (
		use: {key: types.CustomerKey; sentAt: number; outcome: string},
		faults: ReadonlyArray<{at: number; endAt: number}> = [],
	) =>
		checks
			.checkKeys(
				[{...use, proxy: 'proxy-1', endedAt: use.sentAt + 100}],
				faults,
			)
			.map(({promise}) => promise as string);
	const late = {key: withdrawn, sentAt: 16_001, outcome: 'answered'};
	t.same(list(late, [{at: 0, endAt: 20_000}]), ['withdrawnKeyAccepted']);
	t.same(list({...late, sentAt: 15_999}), []);
	t.same(list({...late, key}), []);
	const early = {key, sentAt: 5000, outcome: '28P01'};
	t.same(list(early), ['validKeyRefused']);
	t.same(list(early, [{at: 0, endAt: 1}]), []);
	t.same(list({...early, sentAt: 2500}), []);
	t.same(list({...early, sentAt: 9950}), []);
	t.same(list({...early, outcome: 'HK006'}), []);
});

// Guards against plans that affect more than the system promises to bear, and that can't be repeated.
tap.test('a plan affects one control peer and one server', async (t) => {
	const names = {
		proxy: ['proxy-1', 'proxy-2', 'proxy-3', 'proxy-4'],
		control: ['control-1', 'control-2', 'control-3'],
		ledger: ['ledger-1', 'ledger-2', 'ledger-3'],
	};
	for (let planSeed = 1; planSeed <= 50; planSeed++) {
		const faults = plan.buildPlan(planSeed, 60_000, names);
		t.same(faults, plan.buildPlan(planSeed, 60_000, names));
		for (const {atMs} of faults) {
			const active = faults.filter(
				(other) => other.atMs <= atMs && atMs < other.atMs + other.fault.forMs,
			);
			const count = (role: string) =>
				active.filter(({fault}) => fault.target.startsWith(role)).length;
			t.ok(count('control') <= 1 && count('ledger') <= 1);
			t.ok(count('proxy') <= 2);
		}
	}
});

// Guards against promises that are broken by real processes under overlapping faults.
tap.test('a short soak keeps all promises', async (t) => {
	const report = await run.runSoak({
		seed,
		durationMs: 20_000,
		proxies: 4,
		callers: 8,
		senders: 3,
		keyedCallers: 2,
	});
	t.same(report.violations, []);
	t.ok(report.faults > 0);
	t.ok(report.writes.acknowledged > 0);
});
