import tap from 'tap';
import * as policyTesting from '../policy/testing.js';
import type * as ids from '../ids.js';
import * as customerFleet from '../../scenario/fleet/customer-fleet.js';
import * as smallFleet from '../../scenario/fleet/small-fleet.js';

const routeConfirmationLimitMs = 3000;
const added = 'added' as ids.MemberId;

/** Creates a fleet of one proxy whose configuration is a list of members. */
function createFleet() {
	const parameters = {
		...policyTesting.buildParameters(),
		stalenessMs: 600_000,
	};
	const fleet = new smallFleet.SmallFleet(
		1,
		parameters,
		{routeConfirmationLimitMs},
		(text) =>
			customerFleet.buildRouteSet(
				[],
				parameters,
				text.split(' ') as ids.MemberId[],
			),
	);
	const runFor = (durationMs: number) => {
		fleet.timeline.runUntil(fleet.timeline.now + durationMs);
	};

	fleet.control.configuration = {version: 1, text: 'm'};
	runFor(1000);
	return {
		fleet,
		runFor,
		findState: (member = added) =>
			fleet.proxies[0].reducer.access.findRouteState(member),
	};
}

// Guards against a database that is called unknown by a proxy which cannot know.
tap.test('a route is absent only while it is confirmed', async (t) => {
	const {fleet, runFor, findState} = createFleet();
	t.equal(findState(), 'absent');
	fleet.control.condition = 'frozen';
	runFor(2000);
	t.equal(findState(), 'absent');
	runFor(2000);
	t.equal(findState(), 'unconfirmed');
	fleet.control.configuration = {version: 2, text: 'm added'};
	fleet.control.condition = 'up';
	runFor(1000);
	t.equal(findState(), 'present');
});

// Guards against a database of a configuration that is under way, called unknown meanwhile.
tap.test('a route is pending while a configuration arrives', async (t) => {
	const {fleet, runFor, findState} = createFleet();
	fleet.control.sendsParts = false;
	fleet.control.configuration = {version: 2, text: 'm added'};
	runFor(1000);
	t.equal(findState(), 'pending');
	t.equal(findState('m' as ids.MemberId), 'present');
});

// Guards against requests that run for long on the routes of a configuration known to be replaced.
tap.test('outdated routes run requests for a limited time', async (t) => {
	const {fleet, runFor} = createFleet();
	const session = fleet.openSession(0);
	const read = () => fleet.run(0, session, {type: 'get', key: 'k'}).type;
	fleet.control.sendsParts = false;
	fleet.control.configuration = {version: 2, text: 'm added'};
	runFor(2000);
	t.equal(read(), 'answered');
	runFor(2000);
	t.equal(read(), 'refused');
	fleet.control.sendsParts = true;
	runFor(3000);
	t.equal(read(), 'answered');
});
