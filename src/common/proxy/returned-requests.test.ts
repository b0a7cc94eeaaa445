import tap from 'tap';
import * as smallFleet from '../../scenario/fleet/small-fleet.js';
import type * as owned from './owned-server.js';

const get = {type: 'get', key: 'a'} as const;
const longWaitMs = 700;

function listOwnedServers(fleet: smallFleet.SmallFleet): owned.OwnedServer[] {
	return fleet.proxies.flatMap(({reducer}) => [
		...reducer.owner.servers.values(),
	]);
}

/** Counts the requests that a server queues while its wait is long. */
function lengthenWait({scheduler}: owned.OwnedServer): () => number {
	let offers = 0;
	const offer = scheduler.offer.bind(scheduler);
	scheduler.estimateWait = () => longWaitMs;
	scheduler.offer = (...request) => {
		offers++;
		return offer(...request);
	};

	return () => offers;
}

// Guards against reads that wait at a server which has become busy since its report.
tap.test('a read leaves a server that has become busy', async (t) => {
	const fleet = smallFleet.createStalenessTolerantFleet(10_000);
	const session = fleet.openSession(0);
	fleet.run(0, session, get);
	const counts = listOwnedServers(fleet)
		.filter(({announcement}) => announcement.role === 'replica')
		.slice(0, 1)
		.map((server) => lengthenWait(server));
	for (let count = 0; count < 10; count++) {
		t.match(fleet.run(0, session, get), {type: 'answered'});
	}

	t.same(
		counts.map((readCount) => readCount()),
		[0],
	);
});

// Guards against a read that busy servers return to its entry without end.
tap.test('a read is returned once', async (t) => {
	const fleet = smallFleet.createStalenessTolerantFleet(10_000);
	const session = fleet.openSession(0);
	fleet.run(0, session, get);
	const counts = listOwnedServers(fleet).map((server) => lengthenWait(server));
	t.match(fleet.run(0, session, get), {type: 'answered'});
	t.equal(
		counts.reduce((sum, readCount) => sum + readCount(), 0),
		1,
	);
});
