import tap from 'tap';
import * as smallFleet from '../../scenario/fleet/small-fleet.js';

const put = (value: string) => ({type: 'put', key: 'a', value}) as const;
/** Longer than the grace of the load balancer and the hand-over of idle servers. */
const stopMs = 8000;

/** Sends a request after each answer; counts the answers by type or SQLSTATE until a refusal. */
function sendContinuously(fleet: smallFleet.SmallFleet): Map<string, number> {
	const counts = new Map<string, number>();
	const session = fleet.openSession(1);
	const send = () => {
		fleet.proxies[1].send(session, put('1'), {}, (answer) => {
			const outcome = answer.type === 'refused' ? answer.sqlState : answer.type;
			counts.set(outcome, (counts.get(outcome) ?? 0) + 1);
			if (outcome === 'answered') {
				send();
			}
		});
	};

	send();
	return counts;
}

// Guards against a drain that never ends because a session always has a request.
tap.test('a drain ends sessions that are never idle', async (t) => {
	const fleet = new smallFleet.SmallFleet(2);
	const counts = sendContinuously(fleet);
	fleet.timeline.runUntil(fleet.timeline.now + 500);
	t.ok(counts.get('answered')! > 1);
	fleet.proxies[1].drain();
	fleet.timeline.runUntil(fleet.timeline.now + stopMs);
	t.equal(fleet.proxies[1].condition, 'dead');
	t.same([...counts.keys()], ['answered', 'HK005']);
	t.equal(counts.get('HK005'), 1);
});
