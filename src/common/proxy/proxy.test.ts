import tap from 'tap';
import * as smallFleet from '../../scenario/fleet/small-fleet.js';
import type * as ids from '../ids.js';
import type * as proxyProcess from '../../scenario/fleet/proxy-process.js';

const put = (value: string) => ({type: 'put', key: 'a', value}) as const;
const get = {type: 'get', key: 'a'} as const;

// Guards against a write that is not acknowledged, or a read through another proxy that misses it.
tap.test('a read through another proxy sees the write', async (t) => {
	const fleet = new smallFleet.SmallFleet(3);
	const write = fleet.run(0, fleet.openSession(0), put('1'));
	t.match(write, {type: 'answered', answer: {type: 'ok'}, token: '1:100'});
	const read = fleet.run(1, fleet.openSession(1), get);
	t.match(read, {type: 'answered', answer: {value: '1'}});
});

// Guards against a read that a lagging replica answers without a write that was acknowledged to
// another session.
tap.test('reads without a token skip lagging replicas', async (t) => {
	const fleet = smallFleet.createStalenessTolerantFleet(10_000);
	for (const name of ['s2', 's3']) {
		fleet.getServer(name).applyLagMs = 5000;
	}

	fleet.run(0, fleet.openSession(0), put('1'));
	const read = fleet.run(1, fleet.openSession(1), get);
	t.match(read, {type: 'answered', answer: {value: '1'}});
	t.equal(fleet.proxies[1].records[0]?.servedBy, 'primary');
});

// Guards against a proxy that never uses replicas.
tap.test('a replica serves reads that tolerate staleness', async (t) => {
	const fleet = smallFleet.createStalenessTolerantFleet(1000);
	const session = fleet.openSession(1);
	fleet.run(1, session, get);
	fleet.timeline.runUntil(fleet.timeline.now + 500);
	fleet.run(1, session, get);
	const record = fleet.proxies[1].records[1];
	t.equal(record?.servedBy, 'replica');
	t.ok(record.stalenessMs! <= 1000);
});

// Guards against a caller that gets the answer to a request of an earlier instance of its proxy.
tap.test('a restarted entry ignores answers to its predecessor', async (t) => {
	const fleet = new smallFleet.SmallFleet(2);
	const statement = (key: string) => ({type: 'get', key}) as const;
	for (const key of ['a', 'b']) {
		fleet.run(1, fleet.openSession(1), {type: 'put', key, value: key});
	}

	const [, entry] = fleet.proxies;
	entry.kill();
	fleet.timeline.runUntil(fleet.timeline.now + 5);
	entry.restart();
	fleet.timeline.runUntil(fleet.timeline.now + 500);
	fleet.getServer('s1').serviceMs = 600;
	const attributes = {deadlineMs: 2000};
	entry.send(fleet.openSession(1), statement('a'), attributes, () => undefined);
	fleet.timeline.runUntil(fleet.timeline.now + 20);
	entry.kill();
	fleet.timeline.runUntil(fleet.timeline.now + 5);
	entry.restart();
	fleet.timeline.runUntil(fleet.timeline.now + 500);
	const answer = fleet.run(1, fleet.openSession(1), statement('b'), attributes);
	t.match(answer, {type: 'answered', answer: {value: 'b'}});
});

// Guards against an acknowledgement of a commit that only the primary holds.
tap.test('a commit without a majority is not acknowledged', async (t) => {
	const fleet = new smallFleet.SmallFleet(3);
	for (const name of ['s2', 's3']) {
		fleet.getServer(name).isFrozen = true;
	}

	const answer = fleet.run(0, fleet.openSession(0), put('1'));
	t.same(answer, {type: 'refused', sqlState: '08007'});
});

// Guards against an acknowledgement after the write lease has ended. Here it ends while the proxy is
// frozen.
tap.test('no acknowledgement after the write lease ended', async (t) => {
	const fleet = new smallFleet.SmallFleet(3);
	const session = fleet.openSession(0);
	fleet.run(0, session, put('0'));
	fleet.getServer('s1').serviceMs = 100;
	let answer: proxyProcess.CallerAnswer | undefined;
	fleet.proxies[0].send(session, put('1'), {deadlineMs: 5000}, (result) => {
		answer = result;
	});
	fleet.timeline.runUntil(fleet.timeline.now + 20);
	fleet.proxies[0].freeze();
	fleet.timeline.runUntil(fleet.timeline.now + 5000);
	fleet.proxies[0].thaw();
	fleet.timeline.runUntil(fleet.timeline.now + 3000);
	t.not(answer?.type, 'answered');
	t.not((answer as {sqlState?: string}).sqlState, 'HK004');
});

// Guards against new writes on a primary whose write lease was revoked, and against a revocation
// without a release.
tap.test('a revoked lease is released and writes are refused', async (t) => {
	const fleet = new smallFleet.SmallFleet(3);
	fleet.control.revokeWrite(fleet.getServer('s1').id);
	fleet.timeline.runUntil(fleet.timeline.now + 300);
	t.same(fleet.control.releasedLeases, ['s1/write']);
	const answer = fleet.run(0, fleet.openSession(0), put('1'));
	t.same(answer, {type: 'refused', sqlState: 'HK004'});
	t.equal(fleet.getServer('s1').position, 0);
});

// Guards against a second execution of a request that the caller sends again with its key.
tap.test('a key reused through another proxy is refused', async (t) => {
	const fleet = new smallFleet.SmallFleet(3);
	const attributes = {key: 'order-1'};
	fleet.run(0, fleet.openSession(0), put('1'), attributes);
	const again = fleet.run(1, fleet.openSession(1), put('1'), attributes);
	t.same(again, {type: 'refused', sqlState: 'HK008'});
	const values = fleet.getServer('s1').log.map(({value}) => value);
	t.same(values, ['', '1']);
});

// Guards against requests that wait for a server that refuses connections while other servers could
// run them.
tap.test('an unreachable server is not writable', async (t) => {
	const fleet = smallFleet.createStalenessTolerantFleet(10_000);
	const {owner} = fleet.proxies[0].reducer;
	const server = owner.servers.get(fleet.getServer('s1').id)!;
	for (const id of server.connections.keys()) {
		fleet.proxies[0].step({
			type: 'connectionClosed',
			now: fleet.timeline.now,
			connection: id,
			message: 'refused',
		});
	}

	server.openFailures = 2;
	t.ok(server.isUnreachable);
	t.notOk(owner.rules.isWritable(server));
});

// Guards against the verdict "not run" for a write that was already sent when the connection broke.
tap.test('a write on a broken connection ends as unknown', async (t) => {
	const fleet = new smallFleet.SmallFleet(2);
	const session = fleet.openSession(0);
	fleet.getServer('s1').serviceMs = 50;
	let answer: proxyProcess.CallerAnswer | undefined;
	fleet.proxies[0].send(session, put('1'), {}, (result) => {
		answer = result;
	});
	fleet.timeline.runUntil(fleet.timeline.now + 10);
	fleet.getServer('s1').crash();
	fleet.timeline.runUntil(fleet.timeline.now + 100);
	t.same(answer, {type: 'refused', sqlState: '08007'});
});

// Guards against a read that fails although another server can answer it.
tap.test('a read is retried on another server', async (t) => {
	const fleet = smallFleet.createStalenessTolerantFleet(5000);
	const session = fleet.openSession(1);
	fleet.run(1, session, get);
	fleet.timeline.runUntil(fleet.timeline.now + 500);
	fleet.getServer('s2').serviceMs = 50;
	let answer: proxyProcess.CallerAnswer | undefined;
	fleet.proxies[1].send(session, get, {deadlineMs: 900}, (result) => {
		answer = result;
	});
	fleet.timeline.runUntil(fleet.timeline.now + 10);
	fleet.getServer('s2').crash();
	fleet.timeline.runUntil(fleet.timeline.now + 500);
	t.equal(answer?.type, 'answered');
});

// Guards against requests to a server that announced its departure to another proxy only.
tap.test('a departing replica gets no new requests', async (t) => {
	const fleet = smallFleet.createStalenessTolerantFleet(5000);
	const session = fleet.openSession(1);
	fleet.run(1, session, get);
	fleet.getServer('s2').departing = true;
	fleet.proxies[2].announce(fleet.getServer('s2'));
	fleet.timeline.runUntil(fleet.timeline.now + 3000);
	const before = fleet.proxies[1].records.length;
	for (let index = 0; index < 20; index++) {
		fleet.run(1, session, get);
	}

	t.equal(fleet.proxies[1].records.length, before + 20);
	t.equal(countExecutions(fleet, 's2', 3000), 0);
});

// Guards against a drain that aborts a request or a transaction in flight.
tap.test('a drain waits for the open transaction', async (t) => {
	const fleet = new smallFleet.SmallFleet(2);
	const session = fleet.openSession(1);
	fleet.run(1, session, {type: 'begin'});
	fleet.proxies[1].drain();
	fleet.timeline.runUntil(fleet.timeline.now + 5000);
	t.equal(fleet.proxies[1].condition, 'up');
	t.match(fleet.run(1, session, put('1')), {type: 'answered'});
	t.match(fleet.run(1, session, {type: 'commit'}), {type: 'answered'});
	t.equal(fleet.getServer('s1').position, 100);
});

/** Counts the reads that the server executed in the last `windowMs`, except its first 200 ms. */
function countExecutions(
	fleet: smallFleet.SmallFleet,
	name: string,
	windowMs: number,
): number {
	const since = fleet.timeline.now - windowMs;
	return fleet.getServer(name).executedAt.filter((at) => at > since + 200)
		.length;
}

// Guards against a planned stop that lasts until the process is killed, with a request in flight, because
// the next one always runs when the drain looks for idle sessions.
tap.test('a drain ends for a caller that never pauses', async (t) => {
	const fleet = new smallFleet.SmallFleet(2);
	const [, draining] = fleet.proxies;
	const session = fleet.openSession(1);
	const answers: string[] = [];
	const sendNext = () => {
		draining.send(session, get, {}, (answer) => {
			answers.push(answer.type);
			if (answer.type === 'answered') {
				sendNext();
			}
		});
	};

	sendNext();
	draining.drain();
	fleet.timeline.runUntil(fleet.timeline.now + 8000);
	t.equal(draining.condition, 'dead');
	t.ok(answers.length > 100);
	t.not(answers.at(-1), 'answered');
	t.same(
		answers.slice(0, -1).filter((type) => type !== 'answered'),
		[],
	);
});

// Guards against a drain that never ends because control stopped first.
tap.test('a drain completes without control', async (t) => {
	const fleet = new smallFleet.SmallFleet(2);
	fleet.control.condition = 'dead';
	fleet.proxies[0].drain();
	fleet.timeline.runUntil(fleet.timeline.now + 6000);
	t.equal(fleet.proxies[0].condition, 'dead');
});

// Guards against a caller that waits for its deadline although its write can never be acknowledged.
tap.test('a write on a frozen primary ends with the lease', async (t) => {
	const fleet = new smallFleet.SmallFleet(2);
	const session = fleet.openSession(1);
	fleet.getServer('s1').isFrozen = true;
	let answer: proxyProcess.CallerAnswer | undefined;
	fleet.proxies[1].send(session, put('1'), {deadlineMs: 9000}, (result) => {
		answer = result;
	});
	fleet.timeline.runUntil(fleet.timeline.now + 1000);
	fleet.control.revokeWrite(fleet.getServer('s1').id);
	fleet.timeline.runUntil(fleet.timeline.now + 500);
	t.same(answer, {type: 'refused', sqlState: '08007'});
});

// Guards against a proxy that claims servers of an expired lease to a new control leader.
tap.test('a proxy claims no servers after its lease expired', async (t) => {
	const fleet = new smallFleet.SmallFleet(2);
	fleet.control.condition = 'frozen';
	fleet.timeline.runUntil(fleet.timeline.now + 3000);
	fleet.control.condition = 'up';
	fleet.control.claimedServers.length = 0;
	fleet.timeline.runUntil(fleet.timeline.now + 1);
	fleet.control.condition = 'up';
	fleet.timeline.runUntil(fleet.timeline.now + 260);
	t.same(fleet.control.claimedServers[0], []);
});

// Guards against proxies that wait for their drain deadline when all of them stop together.
tap.test('all proxies can drain together', async (t) => {
	const fleet = new smallFleet.SmallFleet(3);
	for (const proxy of fleet.proxies) {
		proxy.drain();
	}

	fleet.timeline.runUntil(fleet.timeline.now + 8000);
	t.same(
		fleet.proxies.map(({condition}) => condition),
		['dead', 'dead', 'dead'],
	);
});

// Guards against a running proxy that never connects to control peers added to its settings.
tap.test('a proxy connects to changed control peers', async (t) => {
	const fleet = new smallFleet.SmallFleet(2);
	const added = {peer: 'k9' as ids.PeerId, address: '10.9.0.1:7440'};
	const effects = fleet.proxies[0].reducer.step({
		type: 'controlPeersChanged',
		now: fleet.timeline.now,
		controlPeers: [added],
	});
	t.match(effects, [{type: 'connectPeer', ...added}]);
});

// Guards against a read that is refused because of one long queue while another server is free.
tap.test('a read refused for its deadline tries another server', async (t) => {
	const fleet = smallFleet.createStalenessTolerantFleet(10_000);
	const {group} = fleet;
	const session = fleet.openSession(1);
	fleet.run(1, session, get);
	const {owner} = fleet.proxies[1].reducer;
	const replicaId = fleet.getServer('s2').id;
	const server = owner.servers.get(replicaId)!;
	t.equal(server.group, group);
	server.scheduler.offer = () => ({type: 'refused', reason: 'deadline'});
	t.match(fleet.run(1, session, get), {type: 'answered'});
});

// Guards against a read that is refused while the only other replica lags a little and the primary
// is free, as in a burst of requests while replicas lag.
tap.test(
	'a refused read waits for a lagging replica or the primary',
	async (t) => {
		const fleet = smallFleet.createStalenessTolerantFleet(150);
		const session = fleet.openSession(1);
		fleet.run(1, session, get);
		const {owner} = fleet.proxies[1].reducer;
		const server = owner.servers.get(fleet.getServer('s2').id)!;
		server.scheduler.offer = () => ({type: 'refused', reason: 'deadline'});
		const lagging = fleet.getServer('s3');
		lagging.applyLagMs = 200;
		fleet.run(0, fleet.openSession(0), put('1'));
		for (let count = 0; count < 20; count++) {
			fleet.timeline.runUntil(fleet.timeline.now + 7);
			t.match(fleet.run(1, session, get), {type: 'answered'});
		}
	},
);

// Guards against replicas that count as too stale as soon as a dead primary reports no more
// positions, although they lack no commit.
tap.test('the position of an unreachable primary is reported', async (t) => {
	const fleet = new smallFleet.SmallFleet(2);
	const {reducer} = fleet.proxies[0];
	const {id} = fleet.getServer('s1');
	const server = reducer.owner.servers.get(id)!;
	server.announcement = {...server.announcement, synchronousReplicas: 0};
	server.openFailures = 5;
	server.connections.clear();
	t.ok(server.isUnreachable);
	const effects = reducer.step({
		type: 'peerMessage',
		now: fleet.timeline.now,
		from: fleet.proxies[1].peer,
		message: {
			type: 'floorRequest',
			sequence: 9,
			group: fleet.group,
			server: id,
		},
	});
	t.match(
		effects.find(
			(effect) =>
				effect.type === 'sendPeer' && effect.message.type === 'floorAnswer',
		),
		{message: {sequence: 9, position: {term: 1}}},
	);
});

// Guards against transactions that end because a peer behind a partition reports another peer as
// dead, and against endless attempts to reconnect once that peer is dead.
tap.test('a reported death does not close a working link', async (t) => {
	const fleet = new smallFleet.SmallFleet(3);
	const [owner, entry, reporter] = fleet.proxies;
	const state = owner.reducer.membership.getPeer(entry.peer)!;
	const stepAndListDisconnects = (
		event: Parameters<typeof owner.reducer.step>[0],
	): ReadonlyArray<{type: string}> =>
		owner.reducer.step(event).filter(({type}) => type === 'disconnectPeer');
	const {now} = fleet.timeline;
	const disconnectsAfterDelta = stepAndListDisconnects({
		type: 'peerMessage',
		now,
		from: reporter.peer,
		message: {
			type: 'ping',
			sequence: 1,
			deltas: [{type: 'peer', state: {...state, condition: 'dead'}}],
		},
	});
	t.equal(owner.reducer.membership.getPeer(entry.peer)?.condition, 'dead');
	t.same(disconnectsAfterDelta, []);
	const disconnectsAfterLinkLoss = stepAndListDisconnects({
		type: 'peerLinkChanged',
		now,
		peer: entry.peer,
		up: false,
	});
	t.match(disconnectsAfterLinkLoss, [
		{type: 'disconnectPeer', peer: entry.peer},
	]);
});

// Guards against a proxy in a minority partition that keeps its callers waiting until the time limit
// of each request.
tap.test('a proxy in a minority partition refuses at once', async (t) => {
	const fleet = new smallFleet.SmallFleet(3, undefined, {
		grantLimitMs: 2000,
		minorityGrantLimitMs: 800,
	});
	const session = fleet.openSession(2);
	fleet.run(2, session, put('1'));
	const [first, second, third] = fleet.proxies;
	for (const other of [first.peer, second.peer, fleet.control.peer]) {
		fleet.links.cut(third.peer, other);
	}

	fleet.timeline.runUntil(fleet.timeline.now + 2000);
	const laterSession = fleet.openSession(2);
	const sentAt = fleet.timeline.now;
	const answer = fleet.run(2, laterSession, put('2'), {deadlineMs: 5000});
	t.match(answer, {type: 'refused', sqlState: 'HK004'});
	t.ok(fleet.timeline.now - sentAt < 100);
});

// Guards against entries that keep sending to a server whose queue has grown since the last report.
tap.test('an answer tells the entry how long others wait', async (t) => {
	const fleet = new smallFleet.SmallFleet(3);
	const {id} = fleet.getServer('s1');
	const session = fleet.openSession(1);
	fleet.run(1, session, get);
	const {directory} = fleet.proxies[1].reducer;
	const readWait = () => directory.getReport(id)?.report.expectedWaitMs.normal;
	const outdatedMs = 7777;
	const [owner, , stranger] = fleet.proxies;
	const before = readWait();
	directory.updateExpectedWait(stranger.peer, id, 'normal', outdatedMs);
	t.equal(readWait(), before, 'only the owner is believed');
	directory.updateExpectedWait(owner.peer, id, 'normal', outdatedMs);
	t.equal(readWait(), outdatedMs);
	const sentAt = fleet.timeline.now;
	fleet.run(1, session, get);
	t.ok(fleet.timeline.now - sentAt < 100, 'before the next report');
	t.equal(readWait(), 0);
});

// Guards against an idle process that wakes as often as a busy one, and against a waiting request that
// is noticed late.
tap.test('ticks are rarer while no request waits', async (t) => {
	const idleTickMs = 100;
	const fleet = new smallFleet.SmallFleet(3);
	const {reducer} = fleet.proxies[1];
	t.ok(reducer.tickIntervalMs >= idleTickMs);
	fleet.control.revokeWrite(fleet.getServer('s1').id);
	fleet.timeline.runUntil(fleet.timeline.now + 300);
	fleet.proxies[1].send(
		fleet.openSession(1),
		put('1'),
		{deadlineMs: 2000},
		() => undefined,
	);
	fleet.timeline.runUntil(fleet.timeline.now + 50);
	t.ok(reducer.tickIntervalMs <= 25);
	fleet.timeline.runUntil(fleet.timeline.now + 3000);
	t.ok(reducer.tickIntervalMs >= idleTickMs);
});

// Guards against a session whose first read after each write waits for a replica that has held the
// write for long: with many entries, reports are rare and show an older position.
tap.test('a read long after a write does not wait', async (t) => {
	const fleet = new smallFleet.SmallFleet(40);
	for (const name of ['s2', 's3']) {
		fleet.getServer(name).receiveLagMs = 150;
	}

	const sessions = fleet.proxies.map((_, index) => fleet.openSession(index));
	const attributes = {stalenessMs: 2500};
	fleet.timeline.runUntil(fleet.timeline.now + 10_000);
	for (const [index, session] of sessions.entries()) {
		fleet.run(index, session, put('1'));
		fleet.timeline.runUntil(fleet.timeline.now + 1000);
		const startedAt = fleet.timeline.now;
		fleet.run(index, session, get, attributes);
		t.ok(fleet.timeline.now - startedAt < 50, `at proxy ${index}`);
	}
});
