import tap from 'tap';
import type * as ids from '../ids.js';
import * as smallFleet from '../../scenario/fleet/small-fleet.js';
import type * as proxyProcess from '../../scenario/fleet/proxy-process.js';

const put = (value: string) => ({type: 'put', key: 'a', value}) as const;
const get = {type: 'get', key: 'a'} as const;

/** Time after which a statement of these tests that is still running has reached its server, in ms. */
const statementStartMs = 20;
/** Service time of a statement that is still running when its entry is lost, in ms. */
const slowServiceMs = 600;
/** Time in which a restarted proxy gets its links and a grant, in ms. */
const restartMs = 300;

/** Starts a slow BEGIN at the owner of s1, which is the first proxy, from a session of the second. */
function startSlowBegin(fleet: smallFleet.SmallFleet): ids.SessionId {
	const session = fleet.openSession(1);
	const server = fleet.getServer('s1');
	server.serviceMs = slowServiceMs;
	fleet.proxies[1].send(
		session,
		{type: 'begin'},
		{deadlineMs: 2000},
		() => undefined,
	);
	fleet.timeline.runUntil(fleet.timeline.now + statementStartMs);
	server.serviceMs = 1;
	return session;
}

/** Runs a transaction of two writes with a pause between them that is longer than a slow BEGIN. */
function runTransaction(
	fleet: smallFleet.SmallFleet,
	session: ids.SessionId,
): string[] {
	fleet.run(1, session, {type: 'begin'});
	fleet.run(1, session, put('1'));
	fleet.timeline.runUntil(fleet.timeline.now + 2 * slowServiceMs);
	fleet.run(1, session, put('2'));
	fleet.run(1, session, {type: 'commit'});
	return fleet.getServer('s1').log.map(({value}) => value);
}

// Guards against two transactions that share a connection.
tap.test('interleaved transactions do not share a connection', async (t) => {
	const fleet = new smallFleet.SmallFleet(2);
	const sessions = [0, 1, 0, 1].map((proxy) => ({
		proxy,
		id: fleet.openSession(proxy),
	}));
	for (const {proxy, id} of sessions) {
		fleet.run(proxy, id, {type: 'begin'});
	}

	for (const [index, {proxy, id}] of sessions.entries()) {
		fleet.run(proxy, id, put(`${index}a`));
	}

	for (const [index, {proxy, id}] of sessions.entries()) {
		fleet.run(proxy, id, put(`${index}b`));
	}

	fleet.run(0, sessions[0].id, {type: 'rollback'});
	for (const {proxy, id} of sessions.slice(1)) {
		fleet.run(proxy, id, {type: 'commit'});
	}

	const values = fleet.getServer('s1').log.map(({value}) => value);
	t.same(values, ['1a', '1b', '2a', '2b', '3a', '3b']);
});

// Guards against a statement of a transaction that runs on another connection, because the
// transaction was lost while the statement was on its way to the owner.
tap.test('a statement of a lost transaction is refused', async (t) => {
	const fleet = smallFleet.createStalenessTolerantFleet(10_000);
	const session = fleet.openSession(1);
	fleet.run(1, session, {type: 'begin'});
	fleet.run(1, session, put('1'));
	const owner = fleet.proxies[0];
	const server = owner.reducer.owner.servers.get(fleet.getServer('s1').id)!;
	const bound = [...server.connections.values()].find(({binding}) => binding)!;
	let answer: proxyProcess.CallerAnswer | undefined;
	fleet.proxies[1].send(session, get, {}, (result) => {
		answer = result;
	});
	owner.step({
		type: 'connectionClosed',
		now: fleet.timeline.now,
		connection: bound.id,
		message: 'reset',
	});
	fleet.timeline.runUntil(fleet.timeline.now + 500);
	t.equal(answer?.type, 'refused');
});

// Guards against an answer that reports an open transaction although its connection was closed,
// because the owner lost the link to the entry for a moment. The next statement would run outside of
// the transaction.
tap.test('the outcome of a released transaction is unknown', async (t) => {
	const fleet = smallFleet.createStalenessTolerantFleet(10_000);
	const session = fleet.openSession(1);
	fleet.run(1, session, {type: 'begin'});
	fleet.getServer('s1').serviceMs = 100;
	let answer: proxyProcess.CallerAnswer | undefined;
	fleet.proxies[1].send(session, put('1'), {}, (result) => {
		answer = result;
	});
	fleet.timeline.runUntil(fleet.timeline.now + 50);
	const [owner, entry] = fleet.proxies;
	for (const up of [false, true]) {
		owner.step({
			type: 'peerLinkChanged',
			now: fleet.timeline.now,
			peer: entry.peer,
			up,
		});
	}

	fleet.timeline.runUntil(fleet.timeline.now + 500);
	t.same(answer, {type: 'refused', sqlState: '08007'});
});

// Guards against a late BEGIN of a killed entry that takes the place of a transaction of its next
// instance, so that a COMMIT leaves out an acknowledged write.
tap.test('a killed entry leaves no transaction behind', async (t) => {
	const fleet = new smallFleet.SmallFleet(2);
	startSlowBegin(fleet);
	fleet.proxies[1].kill();
	fleet.timeline.runUntil(fleet.timeline.now + 5);
	fleet.proxies[1].restart();
	fleet.timeline.runUntil(fleet.timeline.now + restartMs);
	t.same(runTransaction(fleet, fleet.openSession(1)), ['1', '2']);
});

// Guards against a late BEGIN that takes the place of the next transaction of its session, after the
// link between entry and owner was lost.
tap.test('a lost link leaves no transaction behind', async (t) => {
	const fleet = new smallFleet.SmallFleet(2);
	const session = startSlowBegin(fleet);
	const [owner, entry] = fleet.proxies;
	for (const up of [false, true]) {
		for (const [process, {peer}] of [
			[owner, entry],
			[entry, owner],
		] as const) {
			process.handleLinkChange(peer, up);
		}
	}

	t.same(runTransaction(fleet, session), ['1', '2']);
});

// Guards against an owner that takes a statement for one of another transaction of its session, when
// only the entry has noticed the loss of their link.
tap.test('a link lost at one end does not mix transactions', async (t) => {
	const fleet = new smallFleet.SmallFleet(2);
	const session = startSlowBegin(fleet);
	const [{peer}, entry] = fleet.proxies;
	for (const up of [false, true]) {
		entry.handleLinkChange(peer, up);
	}

	t.same(runTransaction(fleet, session), ['1', '2']);
});

// Guards against a transaction that stays open after its caller was told that it is idle, because the
// proxy was frozen during the BEGIN: the next write would be acknowledged without a commit.
tap.test('a frozen BEGIN opens no transaction', async (t) => {
	const fleet = new smallFleet.SmallFleet(2);
	const [proxy] = fleet.proxies;
	const session = fleet.openSession(0);
	fleet.getServer('s1').serviceMs = slowServiceMs;
	let answer: proxyProcess.CallerAnswer | undefined;
	proxy.send(session, {type: 'begin'}, {deadlineMs: 5000}, (result) => {
		answer = result;
	});
	fleet.timeline.runUntil(fleet.timeline.now + statementStartMs);
	fleet.getServer('s1').serviceMs = 1;
	proxy.freeze();
	fleet.timeline.runUntil(fleet.timeline.now + 2 * slowServiceMs);
	proxy.thaw();
	t.same(answer, {type: 'refused', sqlState: '08007'});
	const write = fleet.run(0, session, put('1'), {deadlineMs: 5000});
	t.match(write, {type: 'answered', answer: {inTransaction: false}});
	t.same(
		fleet.getServer('s1').log.map(({value}) => value),
		['1'],
	);
});

// Guards against a transaction that keeps its connection and locks although its entry no longer
// knows it, and against a proxy that fails during the rollback.
tap.test('an idle transaction is rolled back', async (t) => {
	const fleet = new smallFleet.SmallFleet(2, undefined, {
		boundIdleLimitMs: 1000,
	});
	const session = fleet.openSession(1);
	fleet.run(1, session, {type: 'begin'});
	fleet.run(1, session, put('1'));
	const server = fleet.proxies[0].reducer.owner.servers.get(
		fleet.getServer('s1').id,
	)!;
	t.equal(server.countBoundConnections(), 1);
	fleet.timeline.runUntil(fleet.timeline.now + 2000);
	t.equal(server.countBoundConnections(), 0);
	t.notOk(fleet.getServer('s1').log.some(({value}) => value === '1'));
});

// Guards against a connection that stays bound after its caller disconnected in a transaction.
tap.test('a disconnect rolls back the open transaction', async (t) => {
	const fleet = new smallFleet.SmallFleet(2);
	const session = fleet.openSession(1);
	fleet.run(1, session, {type: 'begin'});
	fleet.run(1, session, put('1'));
	fleet.proxies[1].closeSession(session);
	fleet.timeline.runUntil(fleet.timeline.now + 200);
	const server = fleet.proxies[0].reducer.owner.servers.get(
		fleet.getServer('s1').id,
	)!;
	t.equal(server.countBoundConnections(), 0);
	t.equal(fleet.getServer('s1').position, 0);
});

// Guards against a session that continues as if its transaction had survived its owner.
tap.test('a session ends when the owner of its transaction dies', async (t) => {
	const fleet = new smallFleet.SmallFleet(2);
	const session = fleet.openSession(1);
	fleet.run(1, session, {type: 'begin'});
	fleet.run(1, session, put('1'));
	fleet.proxies[0].kill();
	fleet.timeline.runUntil(fleet.timeline.now + 10);
	t.equal(fleet.proxies[1].reducer.entry.sessions.size, 0);
	t.equal(fleet.getServer('s1').position, 0);
});

// Guards against a transaction that stays open when its entry has given up the BEGIN that opened it, and
// that blocks a planned stop of the owner.
tap.test('a BEGIN without an answer leaves no transaction', async (t) => {
	const fleet = new smallFleet.SmallFleet(2);
	const [owner, entry] = fleet.proxies;
	const session = fleet.openSession(1);
	const {timeline, links} = fleet;
	// The answer is lost, but the link is not.
	links.cutOneWay(owner.peer, entry.peer);
	timeline.schedule(statementStartMs, () => {
		links.heal();
	});
	const answer = fleet.run(1, session, {type: 'begin'}, {deadlineMs: 100});
	t.same(answer, {type: 'refused', sqlState: '08007'});
	timeline.runUntil(timeline.now + 200);
	const server = owner.reducer.owner.servers.get(fleet.getServer('s1').id)!;
	t.equal(server.countBoundConnections(), 0);
	t.match(fleet.run(1, session, put('1')), {type: 'answered'});
});

// Guards against transactions that begin together and take the connections that are left to others.
tap.test('transactions at rest leave connections to others', async (t) => {
	const fleet = new smallFleet.SmallFleet(2);
	const answers: proxyProcess.CallerAnswer[] = [];
	for (let index = 0; index < 100; index++) {
		fleet.proxies[index % 2].send(
			fleet.openSession(index % 2),
			{type: 'begin'},
			{deadlineMs: 2000},
			(answer) => {
				answers.push(answer);
			},
		);
	}

	fleet.timeline.runUntil(fleet.timeline.now + 3000);
	t.equal(answers.length, 100);
	t.ok(answers.some(({type}) => type === 'answered'));
	t.ok(answers.some(({type}) => type === 'refused'));
	t.equal(fleet.run(1, fleet.openSession(1), put('1')).type, 'answered');
});
