import tap from 'tap';
import * as support from './test-support.js';

// Guards against records that are received or visible before their lag has passed, and against
// writes that a replica accepts.
tap.test('a replica delays records and refuses writes', async (t) => {
	const [primary, replica] = await support.startGroup(t);
	const writer = await support.connect(t, primary.port);
	const reader = await support.connect(t, replica.port);
	await support.createOrders(writer);
	await support.waitUntil(
		() => replica.readStatus().applied === primary.readStatus().position,
	);
	await replica.setFaults({applyLagMs: 3_600_000});
	await writer.query("INSERT INTO orders VALUES (1, 'a')");
	await support.waitUntil(
		() => replica.readStatus().position === primary.readStatus().position,
	);
	const before = await reader.query('SELECT id FROM orders');
	t.equal(before.rows.length, 0);
	await replica.setFaults({applyLagMs: 0});
	await support.waitUntil(
		() => replica.readStatus().applied === primary.readStatus().position,
	);
	const after = await reader.query('SELECT id FROM orders');
	t.equal(after.rows.length, 1);
	await t.rejects(reader.query('DELETE FROM orders'), {code: '25006'});
	await t.rejects(reader.query("SELECT hemlockarch.claim_key('k')"), {
		code: '25006',
	});

	await replica.setFaults({receiveLagMs: 3_600_000});
	const {position} = replica.readStatus();
	await writer.query("INSERT INTO orders VALUES (2, 'b')");
	await support.waitUntil(async () => {
		const status = await writer.query('SELECT * FROM hemlockarch.status()');
		const row = status.rows[0] as {position: string; replicas: string};
		const replicas = JSON.parse(row.replicas) as Array<{position: number}>;
		return replicas.some((item) => item.position === Number(row.position));
	});
	t.equal(replica.readStatus().position, position);
});

// Guards against writes that a fenced primary accepts, and against a lower term that replaces the
// fence.
tap.test('a fenced primary refuses writes and lower terms', async (t) => {
	const [primary, replica] = await support.startGroup(t);
	const client = await support.connect(t, primary.port);
	await support.createOrders(client);
	await client.query('BEGIN');
	await client.query("INSERT INTO orders VALUES (1, 'open')");
	const admin = await support.connect(t, primary.port);
	const fenced = await admin.query('SELECT * FROM hemlockarch.fence(3)');
	t.match(fenced.rows[0], {server: 's1', role: 'primary', term: '1'});
	await t.rejects(client.query('COMMIT'), {code: '25006'});
	await t.rejects(client.query("INSERT INTO orders VALUES (2, 'b')"), {
		code: '25006',
	});
	await t.rejects(admin.query('SELECT hemlockarch.fence(2)'), {code: 'HK101'});
	await t.rejects(admin.query('SELECT hemlockarch.promote(2)'), {
		code: 'HK101',
	});
	t.throws(() => {
		replica.promote(2);
	}, /not fenced/v);
	replica.setFence(2);
	replica.promote(2);
	t.match(replica.readStatus(), {role: 'primary', term: 2});
});

// Guards against a fenced replica that still receives records from a primary of a lower term.
tap.test('a fenced replica refuses records of a lower term', async (t) => {
	const [primary, replica, other] = await support.startGroup(t);
	const client = await support.connect(t, primary.port);
	await support.createOrders(client);
	await support.waitUntil(
		() => replica.readStatus().position === primary.readStatus().position,
	);
	replica.setFence(2);
	const {position} = replica.readStatus();
	await client.query("INSERT INTO orders VALUES (1, 'a')");
	await support.waitUntil(
		() => other.readStatus().position === primary.readStatus().position,
	);
	t.equal(replica.readStatus().position, position);
});

// Guards against a divergent tail that survives a change of primary.
tap.test('following a new primary drops a divergent tail', async (t) => {
	const [primary, second, third] = await support.startGroup(t);
	const client = await support.connect(t, primary.port);
	await support.createOrders(client);
	await client.query("INSERT INTO orders VALUES (1, 'kept')");
	await support.waitUntil(
		() => second.readStatus().applied === primary.readStatus().position,
	);
	second.setFence(2);
	third.setFence(2);
	await client.query("INSERT INTO orders VALUES (2, 'lost')");
	await client.query("UPDATE orders SET item = 'changed' WHERE id = 1");
	await client.query('DROP TABLE IF EXISTS orders');
	second.promote(2);
	const writer = await support.connect(t, second.port);
	await writer.query("INSERT INTO orders VALUES (3, 'new')");
	primary.follow(2, 's2', second.address);
	third.follow(2, 's2', second.address);
	await support.waitUntil(() => primary.readStatus().term === 2);
	await support.waitUntil(() => {
		const {position} = second.readStatus();
		return [primary, third].every(
			(server) => server.readStatus().applied === position,
		);
	});
	for (const server of [primary, third]) {
		const reader = await support.connect(t, server.port);
		const rows = await reader.query('SELECT id, item FROM orders ORDER BY id');
		t.same(rows.rows, [
			{id: 1, item: 'kept'},
			{id: 3, item: 'new'},
		]);
	}

	await t.rejects(client.query('DELETE FROM orders'), {code: '25006'});
});

// Guards against bytes that pass a cut network, and against a replica that misses records after it.
tap.test('a replica catches up after a cut network', async (t) => {
	const [primary, replica] = await support.startGroup(t);
	const writer = await support.connect(t, primary.port);
	const reader = await support.connect(t, replica.port);
	await support.createOrders(writer);
	await support.waitUntil(
		() => replica.readStatus().applied === primary.readStatus().position,
	);
	await replica.setFaults({cut: true});
	const {position} = replica.readStatus();
	let isAnswered = false;
	const read = (async () => {
		const result = await reader.query('SELECT count(*) FROM orders');
		isAnswered = true;
		return result.rows.length;
	})();
	await writer.query("INSERT INTO orders VALUES (1, 'a')");
	const control = await support.connect(t, replica.controlPort);
	await control.query('SELECT standin.state()');
	t.equal(isAnswered, false);
	t.equal(replica.readStatus().position, position);
	await replica.setFaults({cut: false});
	t.equal(await read, 1);
	await support.waitUntil(
		() => replica.readStatus().applied === primary.readStatus().position,
	);
});

// Guards against a replica that cannot catch up when the primary no longer retains the records that
// it lacks.
tap.test('a new replica gets a snapshot', async (t) => {
	const primary = await support.startServer(t, {server: 's1'});
	const writer = await support.connect(t, primary.port);
	await support.createOrders(writer);
	// More than the 25,000 records that the log holds before it is trimmed.
	const commitCount = 26_000;
	const texts: string[] = [];
	for (let id = 1; id <= commitCount; id++) {
		texts.push(`BEGIN; INSERT INTO orders VALUES (${id}, 'x'); COMMIT`);
	}

	await writer.query(texts.join(';'));
	await writer.query("SELECT hemlockarch.claim_key('k1')");
	const replica = await support.startServer(t, {
		server: 's2',
		primary: {server: 's1', address: primary.address},
	});
	await support.waitUntil(
		() => replica.readStatus().applied === primary.readStatus().position,
	);
	const reader = await support.connect(t, replica.port);
	const count = await reader.query('SELECT count(*) FROM orders');
	t.same(count.rows, [{count: String(commitCount)}]);
	replica.setFence(2);
	replica.promote(2);
	await t.rejects(reader.query("SELECT hemlockarch.claim_key('k1')"), {
		code: '23505',
	});
});

// Guards against a crashed replica that loses data or does not resume replication.
tap.test('a replica catches up after a crash', async (t) => {
	const [primary, replica] = await support.startGroup(t);
	const writer = await support.connect(t, primary.port);
	await support.createOrders(writer);
	await support.waitUntil(
		() => replica.readStatus().applied === primary.readStatus().position,
	);
	const {position} = replica.readStatus();
	await replica.setFaults({crash: true});
	await writer.query("INSERT INTO orders VALUES (1, 'a')");
	t.equal(replica.readStatus().position, position);
	await replica.setFaults({crash: false});
	await support.waitUntil(
		() => replica.readStatus().applied === primary.readStatus().position,
	);
	const reader = await support.connect(t, replica.port);
	const rows = await reader.query('SELECT id FROM orders');
	t.same(rows.rows, [{id: 1}]);
});
