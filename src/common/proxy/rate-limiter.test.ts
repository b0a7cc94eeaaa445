import tap from 'tap';
import * as smallFleet from '../../scenario/fleet/small-fleet.js';
import * as allowances from '../control/allowances.js';
import type * as ids from '../ids.js';
import * as rateBound from '../policy/rate-bound.js';
import * as policyTesting from '../policy/testing.js';
import type * as types from '../types.js';

const get = {type: 'get', key: 'a'} as const;
const put = {type: 'put', key: 'a', value: '1'} as const;
const digests = ['limited-key', 'free-key'] as ids.KeyDigest[];
const [limitedKey, freeKey] = digests;

/** Creates a fleet with a limited customer and one without a limit. */
function createFleet(ratePerS: number): smallFleet.SmallFleet {
	const fleet = new smallFleet.SmallFleet(3);
	const customers = digests.map((key): types.Customer => {
		const isLimited = key === limitedKey;
		return {
			customer: key as string as ids.CustomerId,
			keys: new Set([key]),
			ratePerS: isLimited ? ratePerS : Infinity,
			burst: isLimited ? ratePerS : Infinity,
		};
	});
	const table = new allowances.AllowanceTable(1, 0, rateBound.strictBound);
	table.setCustomers(0, customers);
	fleet.control.allowances = table;
	for (const {reducer} of fleet.proxies) {
		reducer.templates.routes = {
			members: new Map([
				[
					'm' as ids.MemberId,
					{
						group: fleet.group,
						parameters: policyTesting.buildParameters(),
						isOpen: false,
					},
				],
			]),
			idleTransactionMs: Infinity,
			customers: new Map(customers.map((item) => [item.customer, item])),
			customerByKey: new Map(
				customers.map(({customer}, index) => [digests[index], customer]),
			),
		};
	}

	return fleet;
}

/** Sends requests in a loop over sessions at all proxies; returns the number of each answer. */
function runFlood(
	fleet: smallFleet.SmallFleet,
	key: ids.KeyDigest,
	durationMs: number,
): Record<string, number> {
	const counts: Record<string, number> = {};
	const until = fleet.timeline.now + durationMs;
	for (const proxy of fleet.proxies) {
		for (let index = 0; index < 4; index++) {
			const session = proxy.openSession({
				member: 'm' as ids.MemberId,
				group: fleet.group,
				key,
			});
			const sendNext = (): void => {
				proxy.send(session, get, {deadlineMs: 8000}, (answer) => {
					const outcome =
						answer.type === 'answered' ? 'answered' : answer.sqlState;
					counts[outcome] = (counts[outcome] ?? 0) + 1;
					if (fleet.timeline.now < until) {
						fleet.timeline.schedule(20, sendNext);
					}
				});
			};

			sendNext();
		}
	}

	fleet.timeline.runUntil(until);
	return counts;
}

// Guards against a customer that exceeds its limit through several proxies, and against a limit that
// affects other customers.
tap.test('a flood over all proxies is limited', async (t) => {
	const fleet = createFleet(10);
	const limited = runFlood(fleet, limitedKey, 5000);
	t.ok(limited.answered <= 60, `${limited.answered} answered`);
	t.ok(limited.answered >= 40, `${limited.answered} answered`);
	t.ok(limited.HK009 > 0);
	const free = runFlood(fleet, freeKey, 5000);
	t.notOk(free.HK009);
	t.ok(free.answered > 1000, `${free.answered} answered`);
});

// Guards against a transaction that is refused in the middle, and against one that counts several times.
tap.test('statements of a transaction are not counted', async (t) => {
	const fleet = createFleet(2);
	fleet.timeline.runUntil(fleet.timeline.now + 5000);
	const session = fleet.proxies[0].openSession({
		member: 'm' as ids.MemberId,
		group: fleet.group,
		key: limitedKey,
	});
	fleet.run(0, session, {type: 'begin'});
	for (let index = 0; index < 20; index++) {
		t.match(fleet.run(0, session, put), {type: 'answered'});
	}
});

// Guards against a proxy that serves without tokens, or lets requests wait for their whole deadline,
// while no leader answers its reports.
tap.test('requests are refused while reports are not answered', async (t) => {
	const fleet = createFleet(10);
	runFlood(fleet, limitedKey, 2000);
	const table = fleet.control.allowances;
	fleet.control.allowances = undefined;
	fleet.timeline.runUntil(fleet.timeline.now + 1000);
	const counts = runFlood(fleet, limitedKey, 3500);
	t.notOk(counts.answered);
	// The first request of each session waits, the next ones are refused at once.
	t.ok(counts.HK009 >= 12 * 5, `${counts.HK009} refused`);
	fleet.control.allowances = table;
	fleet.timeline.runUntil(fleet.timeline.now + 1000);
	t.ok(runFlood(fleet, limitedKey, 2000).answered > 0);
});
