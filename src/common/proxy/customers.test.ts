import tap from 'tap';
import * as customerFleet from '../../scenario/fleet/customer-fleet.js';

const put = (value: string) => ({type: 'put', key: 'a', value}) as const;
const get = {type: 'get', key: 'a'} as const;
const unknownKey = {type: 'refused', sqlState: '28P01'} as const;
/** Time in which a configuration reaches all proxies, in ms. */
const applyMs = 600;

// Guards against requests that run as another customer, and against customers that share a connection
// and what sessions have set up on it.
tap.test('each request runs as the customer of its key', async (t) => {
	const fleet = new customerFleet.CustomerFleet(2, {
		a: ['k1', 'k2'],
		b: ['k3'],
	});
	for (const [proxy, key] of [
		[0, 'k1'],
		[1, 'k3'],
		[1, 'k2'],
		[0, 'k3'],
	] as const) {
		const session = fleet.openKeyedSession(proxy, key);
		t.match(fleet.run(proxy, session, put(key)), {type: 'answered'});
	}

	t.same(fleet.getServer('s1').executedBy, ['a', 'b', 'a', 'b']);
	const names = [...fleet.getServer('s1').sessions].map(
		({customer}) => customer,
	);
	t.same(new Set(names), new Set(['a', 'b']));
	t.equal(names.length, 2);
});

// Guards against a transaction of one customer on the connection of another one.
tap.test('transactions of customers stay apart', async (t) => {
	const fleet = new customerFleet.CustomerFleet(1, {a: ['k1'], b: ['k2']});
	const [first, second] = ['k1', 'k2'].map((key) =>
		fleet.openKeyedSession(0, key),
	);
	fleet.run(0, first, {type: 'begin'});
	fleet.run(0, first, put('1'));
	t.match(fleet.run(0, second, put('2')), {type: 'answered'});
	fleet.run(0, first, {type: 'commit'});
	const values = fleet.getServer('s1').log.map(({value}) => value);
	t.same(values, ['2', '1']);
	t.same(fleet.getServer('s1').executedBy, ['a', 'a', 'b', 'a']);
});

// Guards against a key that no customer holds, and against a refusal after the request has run.
tap.test('an unknown key is refused before anything runs', async (t) => {
	const fleet = new customerFleet.CustomerFleet(1, {a: ['k1']});
	let isClosed = false;
	fleet.proxies[0].openSession(
		{
			member: 'm' as never,
			group: fleet.group,
			key: 'k9' as never,
		},
		() => {
			isClosed = true;
		},
	);
	fleet.timeline.runUntil(fleet.timeline.now + 10);
	t.ok(isClosed);
	t.same(fleet.getServer('s1').executedBy, []);
});

// Guards against sessions that go on with a key after it was withdrawn, also inside a transaction.
tap.test('a withdrawn key ends its open sessions', async (t) => {
	const fleet = new customerFleet.CustomerFleet(1, {a: ['k1', 'k2']});
	const [idle, open, kept] = ['k1', 'k1', 'k2'].map((key) =>
		fleet.openKeyedSession(0, key),
	);
	fleet.run(0, idle, put('1'));
	fleet.run(0, open, {type: 'begin'});
	fleet.run(0, open, put('2'));
	fleet.setKeys({a: ['k2']});
	fleet.timeline.runUntil(fleet.timeline.now + applyMs);
	t.same(fleet.run(0, idle, put('3')), unknownKey);
	t.same(fleet.run(0, open, {type: 'commit'}), unknownKey);
	t.match(fleet.run(0, kept, put('4')), {type: 'answered'});
	const values = fleet.getServer('s1').log.map(({value}) => value);
	t.same(values, ['1', '4']);
});

// Guards against sessions that keep the name of a customer whose key was given to another one.
tap.test('a moved key runs as its new customer', async (t) => {
	const fleet = new customerFleet.CustomerFleet(1, {a: ['k1'], b: ['k2']});
	const session = fleet.openKeyedSession(0, 'k1');
	fleet.run(0, session, put('1'));
	fleet.setKeys({a: [], b: ['k1', 'k2']});
	fleet.timeline.runUntil(fleet.timeline.now + applyMs);
	fleet.run(0, session, put('2'));
	t.same(fleet.getServer('s1').executedBy, ['a', 'b']);
});

// Guards against a pool that is full of other customers' connections, where a request waits until its
// deadline, and against a connection that is closed under a transaction.
tap.test('a full pool makes room for another customer', async (t) => {
	const names = Array.from({length: 40}, (_, index) => `c${index}`);
	const fleet = new customerFleet.CustomerFleet(
		1,
		Object.fromEntries(names.map((name) => [name, [name]])),
	);
	const bound = fleet.openKeyedSession(0, names[0]);
	fleet.run(0, bound, {type: 'begin'});
	for (const name of names) {
		const session = fleet.openKeyedSession(0, name);
		t.equal(fleet.run(0, session, get).type, 'answered', name);
	}

	t.match(fleet.run(0, bound, put('1')), {type: 'answered'});
	t.match(fleet.run(0, bound, {type: 'commit'}), {type: 'answered'});
	const owned = fleet.proxies[0].reducer.owner.servers.get(
		fleet.getServer('s1').id,
	)!;
	t.ok(owned.connections.size <= owned.poolLimit);
});

// Guards against a server that stays unreachable for ever, because no request reaches it and nobody
// opens a connection without one.
tap.test('a server that was down serves customers again', async (t) => {
	const fleet = new customerFleet.CustomerFleet(1, {a: ['k1']});
	const session = fleet.openKeyedSession(0, 'k1');
	const server = fleet.getServer('s1');
	fleet.run(0, session, put('1'));
	server.isDown = true;
	const owned = fleet.proxies[0].reducer.owner.servers.get(server.id)!;
	for (const id of owned.connections.keys()) {
		fleet.proxies[0].step({
			type: 'connectionClosed',
			now: fleet.timeline.now,
			connection: id,
			message: 'reset',
		});
	}

	while (!owned.isUnreachable) {
		fleet.run(0, session, put('2'), {deadlineMs: 100});
	}

	server.isDown = false;
	fleet.timeline.runUntil(fleet.timeline.now + 3000);
	t.match(fleet.run(0, session, put('3')), {type: 'answered'});
});
