import tap from 'tap';
import * as ratedFleet from './fleet/rated-fleet.js';

/** Routes that one change adds on the users' deployments. */
const addedRoutes = 1400;
/** The users' bound for a change to be in force everywhere. */
const applyLimitMs = 5000;
/** Bytes per ms of a link of 4.5 Mbit/s. */
const slowRate = 562;
/** A change may cost a link one copy of the text and a tenth for what goes with it. */
const copiesPerLink = 1.1;
/** The deadline of the callers. */
const deadlineMs = 800;

const fleet = new ratedFleet.RatedFleet({proxies: 30, slowRate, seed: 1});
fleet.startUp(ratedFleet.buildConfiguration(3, 60));
fleet.runFor(2000);
const calmSince = fleet.now;
fleet.runFor(8000);
const calmBytes = fleet.countReceivedBytes(calmSince);
const before = {
	leaders: fleet.leaderCount,
	closed: fleet.links.closed,
	refused: fleet.refused,
};
const changedAt = fleet.now;
const grown = fleet.change(ratedFleet.buildConfiguration(5, addedRoutes + 60));
const changed = fleet.change(
	ratedFleet.buildConfiguration(7, addedRoutes + 60),
);
const changeBytes = fleet.countReceivedBytes(changedAt);

// Guards against a change that is sent several times over, or to which whole seconds of a link go.
tap.test('a large configuration costs a link about one copy', async (t) => {
	const copies = [...changeBytes].map(([peer, bytes]) => ({
		peer,
		copies: (bytes - (calmBytes.get(peer) ?? 0)) / grown.textBytes,
	}));
	const most = copies.sort((left, right) => right.copies - left.copies)[0];
	t.ok(
		most.copies <= 2 * copiesPerLink,
		`two changes cost ${most.peer} ${most.copies.toFixed(2)} copies`,
	);
});

// Guards against a proxy that serves by an older configuration for longer than the users allow.
tap.test('a large configuration is in force in time', async (t) => {
	for (const {spreadMs} of [grown, changed]) {
		t.ok(spreadMs <= applyLimitMs, `in force after ${spreadMs} ms`);
	}
});

// Guards against leases, heartbeats and requests that wait behind a configuration.
tap.test('service goes on while a large configuration spreads', async (t) => {
	fleet.runFor(8000);
	t.same(
		{
			leaders: fleet.leaderCount,
			closed: fleet.links.closed,
			refused: fleet.refused,
		},
		before,
		'leaders, links and requests are as before',
	);
	t.ok(fleet.answered > 0);
	const waitMs = fleet.computeLongestWait();
	t.ok(waitMs <= deadlineMs, `the longest wait was ${Math.round(waitMs)} ms`);
});
