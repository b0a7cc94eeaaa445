import tap from 'tap';
import * as choicePolicies from '../../bench/choice-policies.js';
import * as replay from '../../bench/choice-replay.js';
import type * as ids from '../ids.js';
import * as placedWork from './placed-work.js';
import * as waitLimit from './wait-limit.js';

const chooserCounts = [3, 37, 300];
const seeds = [1, 2, 3, 4];

function runChoice(
	choose: replay.Choice,
	options: Partial<replay.ReplayOptions>,
): replay.ReplayResult {
	return replay.runChoiceReplay(
		{
			chooserCount: 37,
			reportIntervalMs: 500,
			remoteRoundTripMs: 1,
			regionDemand: [1, 1, 1],
			load: 0.95,
			untilMs: 5000,
			seed: 20_261_206,
			...options,
		},
		choose,
	);
}

// Guards against servers that are overrun in turns while entries choose from old reports.
tap.test('queues stay as even as with perfect knowledge', async (t) => {
	for (const chooserCount of chooserCounts) {
		const [reported, limited, perfect] = [
			choicePolicies.chooseReported,
			choicePolicies.chooseLimited,
			choicePolicies.choosePerfectly,
		].map((choose) => {
			const results = seeds.map((seed) =>
				runChoice(choose, {chooserCount, seed}),
			);
			const average = (read: (result: replay.ReplayResult) => number) =>
				results.reduce((sum, result) => sum + read(result), 0) / seeds.length;
			return {
				longestQueue: average(({longestQueue}) => longestQueue),
				percentile99Ms: average(({percentile99Ms}) => percentile99Ms),
				reports: average(({reports}) => reports),
			};
		});
		const name = `${chooserCount} choosers: ${reported.longestQueue}, ${limited.longestQueue}, ${perfect.longestQueue}`;
		t.ok(limited.longestQueue < reported.longestQueue, name);
		t.ok(limited.longestQueue <= 1.3 * perfect.longestQueue + 3, name);
		t.ok(limited.percentile99Ms <= 1.3 * perfect.percentile99Ms, name);
		t.equal(limited.reports, reported.reports);
	}
});

// Guards against evenness that sends reads to another region while the near server has room.
tap.test('no more reads leave their region', async (t) => {
	for (const chooserCount of chooserCounts) {
		const [reported, limited] = [
			choicePolicies.chooseReported,
			choicePolicies.chooseLimited,
		].map((choose) =>
			runChoice(choose, {chooserCount, remoteRoundTripMs: 40, load: 0.85}),
		);
		t.ok(limited.remoteShare <= reported.remoteShare + 0.005);
		t.ok(limited.returnedShare < 0.03);
		t.ok(limited.meanMs <= 1.05 * reported.meanMs);
	}
});

// Guards against a limit that returns requests for nothing, and against none where it matters.
tap.test(
	'the limit is the wait at which another server is cheaper',
	async (t) => {
		const near = {costMs: 21, waitMs: 20};
		const far = {costMs: 45, waitMs: 0};
		t.equal(waitLimit.computeWaitLimit(near, [far]), 54);
		t.equal(waitLimit.computeWaitLimit(near, []), undefined);
		t.notOk(waitLimit.exceedsWaitLimit(1000, undefined));
		t.notOk(waitLimit.exceedsWaitLimit(54, 54));
		t.ok(waitLimit.exceedsWaitLimit(55, 54));
	},
);

// Guards against placed work that is counted twice or for ever.
tap.test('placed work counts until there is news', async (t) => {
	const work = new placedWork.PlacedWork();
	const server = 's' as ids.UpstreamId;
	t.equal(work.getServiceTime(server), 0);
	work.recordService(server, 20);
	work.recordPlacement(server);
	work.recordPlacement(server);
	t.equal(work.estimateAddedWait(server, 4), 10);
	work.recordNews(server);
	t.equal(work.estimateAddedWait(server, 4), 0);
	t.equal(work.getServiceTime(server), 20);
	for (const now of [5000, 10_000, 15_000]) {
		work.decay(now);
	}

	t.equal(work.getServiceTime(server), 5);
	work.removeExcept(() => false);
	t.equal(work.getServiceTime(server), 0);
});
