import tap from 'tap';
import * as smallFleet from '../../scenario/fleet/small-fleet.js';
import * as timing from '../control/timing.js';

/** A fleet with a write and an owned replica that has it. */
function startReplica() {
	const fleet = smallFleet.createStalenessTolerantFleet(1000);
	fleet.run(0, fleet.openSession(0), {type: 'put', key: 'a', value: '1'});
	fleet.timeline.runUntil(fleet.timeline.now + 1000);
	const {id} = fleet.getServer('s2');
	const [, owner] = fleet.proxies;
	const server = owner.reducer.owner.servers.get(id)!;
	const poll = (sentAt: number, applied: number) => {
		owner.step({
			type: 'pollAnswered',
			now: fleet.timeline.now,
			server: id,
			sentAt,
			status: {...server.status!, position: applied, applied},
		});
	};

	return {now: fleet.timeline.now, server, poll};
}

const stepMs = 10;
const settleMs = 3000;
const idleMs = 20_000;
/** Time of an answer between two regions. */
const roundTripMs = 40;

// Guards against control that replaces a healthy idle primary, because the owner's ticks are so rare
// that a renewal reports an answer which is older than the time limit for silent primaries.
tap.test('an idle primary is polled before it counts as silent', async (t) => {
	const fleet = new smallFleet.SmallFleet(3);
	const {id} = fleet.getServer('s1');
	fleet.timeline.runUntil(fleet.timeline.now + settleMs);
	const endAt = fleet.timeline.now + idleMs;
	let highestAgeMs = 0;
	let samples = 0;
	while (fleet.timeline.now < endAt) {
		for (const {reducer} of fleet.proxies) {
			for (const known of reducer.directory.listAllAnnouncements()) {
				reducer.directory.mergeAnnouncement({
					...known,
					synchronousReplicas: 0,
					version: known.version + 1,
				});
			}

			const server = reducer.owner.servers.get(id);
			if (server?.lastAnswerAt !== undefined) {
				samples++;
				highestAgeMs = Math.max(
					highestAgeMs,
					fleet.timeline.now - server.lastAnswerAt,
				);
			}
		}

		fleet.timeline.runUntil(fleet.timeline.now + stepMs);
	}

	t.ok(samples > idleMs / stepMs / 2, 'the primary has an owner');
	t.ok(highestAgeMs > 200, 'idle servers are polled rarely');
	t.ok(
		highestAgeMs + roundTripMs < timing.primaryTimeoutMs,
		`${highestAgeMs} ms`,
	);
});

// Guards against reads of a replica that has started again without its log, or with a part of it, and
// that counts as fresh because it held the log before.
tap.test('a replica that lost its log has unknown staleness', async (t) => {
	const {now, server, poll} = startReplica();
	t.ok(server.stalenessTracker.computeStaleness(now) < 1000);
	poll(now, 0);
	t.equal(server.stalenessTracker.computeStaleness(now), Infinity);
	t.equal(server.getAppliedPosition()?.offset, 0);
});

// Guards against a replica that is not used because the answer to a poll came after that to a later
// statement.
tap.test('a poll that was overtaken shows no lost log', async (t) => {
	const {now, server, poll} = startReplica();
	const {term, offset} = server.getAppliedPosition()!;
	server.recordPosition({term, offset: offset + 100}, now);
	poll(now - 5, offset);
	t.ok(server.stalenessTracker.computeStaleness(now) < 1000);
	t.equal(server.getAppliedPosition()?.offset, offset + 100);
});
