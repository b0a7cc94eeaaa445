import type {Buffer} from 'node:buffer';
import type * as net from 'node:net';
import * as http from 'node:http';
import pg from 'pg';
import tap, {type Test} from 'tap';
import * as standin from './index.js';

const base = {group: 'ledger', dataCentre: 'khomas-a'};

async function startServer(
	t: Test,
	options: Partial<standin.StandInOptions> = {},
): Promise<standin.StandInServer> {
	const server = new standin.StandInServer({
		...base,
		server: 'ledger-1',
		...options,
		faults: {connectTimeMs: 0, ...options.faults},
	});
	await server.start();
	t.teardown(async () => server.stop());
	return server;
}

async function connect(
	t: Test,
	port: number,
	applicationName = 'test',
): Promise<pg.Client> {
	const client = new pg.Client({
		host: '127.0.0.1',
		port,
		user: 'sanna',
		database: 'ledger',
		application_name: applicationName,
	});
	client.on('error', () => undefined);
	await client.connect();
	t.teardown(async () => client.end().catch(() => undefined));
	return client;
}

async function waitUntil(check: () => boolean | Promise<boolean>) {
	while (!(await check())) {
		await new Promise((resolve) => {
			setTimeout(resolve, 2);
		});
	}
}

async function startGroup(t: Test): Promise<standin.StandInServer[]> {
	const primary = await startServer(t, {server: 's1'});
	const source = {server: 's1', address: primary.address};
	const replicas = [
		await startServer(t, {server: 's2', primary: source}),
		await startServer(t, {server: 's3', primary: source}),
	];
	await waitUntil(() => primary.readStatus().replicas.length === 2);
	return [primary, ...replicas];
}

async function createOrders(client: pg.Client): Promise<void> {
	await client.query(
		'CREATE TABLE orders (id int PRIMARY KEY, item text NOT NULL, amount int DEFAULT 1)',
	);
}

// Guards against a stand-in that parses or computes the statements of the workloads wrongly.
tap.test('statements over the simple protocol', async (t) => {
	const server = await startServer(t);
	const client = await connect(t, server.port);
	await createOrders(client);
	const inserted = await client.query(
		"INSERT INTO orders (id, item) VALUES (1, 'aloe'), (2, 'it''s') RETURNING id, amount",
	);
	t.same(inserted.rows, [
		{id: 1, amount: 1},
		{id: 2, amount: 1},
	]);
	t.equal(inserted.command, 'INSERT');
	await client.query('UPDATE orders SET amount = amount + 4 WHERE id = 2');
	const read = await client.query(
		'SELECT * FROM orders /* note */ ORDER BY amount DESC LIMIT 1',
	);
	t.same(read.rows, [{id: 2, item: "it's", amount: 5}]);
	const count = await client.query(
		"SELECT count(*), sum(amount) FROM orders WHERE item = 'aloe'",
	);
	t.same(count.rows, [{count: '1', sum: '1'}]);
	await client.query('DELETE FROM orders WHERE id IN (1, 7)');
	const rest = await client.query('SELECT id FROM orders');
	t.same(rest.rows, [{id: 2}]);
	const literals = await client.query("SELECT 1, 'a' AS b, 2 * 3 + 1 AS c");
	t.same(literals.rows, [{'?column?': 1, b: 'a', c: 7}]);
	await t.rejects(client.query('SELEKT 1'), {code: '42601'});
	await t.rejects(client.query('SELECT nothing FROM orders'), {code: '42703'});
	await t.rejects(client.query("INSERT INTO orders VALUES (2, 'x')"), {
		code: '23505',
	});
});

// Guards against wrong answers to named statements, portals and errors before Sync.
tap.test('extended protocol', async (t) => {
	const server = await startServer(t);
	const client = await connect(t, server.port);
	await createOrders(client);
	for (const id of [1, 2]) {
		await client.query({
			name: 'add',
			text: 'INSERT INTO orders VALUES ($1, $2)',
			values: [id, `item ${id}`],
		});
	}

	await t.rejects(
		client.query({
			name: 'add',
			text: 'INSERT INTO orders VALUES ($1, $2)',
			values: [1, 'again'],
		}),
		{code: '23505'},
	);
	const read = await client.query('SELECT item FROM orders WHERE id = $1', [2]);
	t.same(read.rows, [{item: 'item 2'}]);
	const series = await client.query('SELECT generate_series(1, $1)', [50_000]);
	t.equal(series.rows.length, 50_000);
});

// Guards against lost or repeated rows when a portal is fetched in parts.
tap.test('portal with a row limit', async (t) => {
	const server = await startServer(t);
	const client = await connect(t, server.port);
	const result = await client.query({
		text: 'SELECT generate_series(1, 10)',
		values: [],
		rows: 3,
	} as pg.QueryConfig);
	t.equal(result.rows.length, 10);
	t.same(result.rows.at(-1), {generate_series: 10});
});

// Guards against sessions that see or mix each other's uncommitted writes.
tap.test('transaction isolation', async (t) => {
	const server = await startServer(t);
	const first = await connect(t, server.port);
	const second = await connect(t, server.port);
	await createOrders(first);
	await first.query('BEGIN');
	await first.query("INSERT INTO orders VALUES (1, 'a', 1)");
	const own = await first.query('SELECT id FROM orders');
	const other = await second.query('SELECT id FROM orders');
	t.equal(own.rows.length, 1);
	t.equal(other.rows.length, 0);
	await first.query('COMMIT');

	await first.query('BEGIN');
	await first.query('UPDATE orders SET amount = amount + 1 WHERE id = 1');
	const waiting = second.query(
		'UPDATE orders SET amount = amount + 1 WHERE id = 1',
	);
	await first.query('COMMIT');
	await waiting;
	const sum = await first.query('SELECT amount FROM orders');
	t.same(sum.rows, [{amount: 3}]);

	await first.query('BEGIN');
	await first.query('DELETE FROM orders');
	await t.rejects(first.query("INSERT INTO nowhere VALUES ('x')"));
	await t.rejects(first.query('SELECT 1'), {code: '25P02'});
	const end = await first.query('COMMIT');
	t.equal(end.command, 'ROLLBACK');
	const kept = await second.query('SELECT id FROM orders');
	t.equal(kept.rows.length, 1);

	await first.query('BEGIN READ ONLY');
	await t.rejects(first.query('DELETE FROM orders'), {code: '25006'});
	await first.query('ROLLBACK');
});

// Guards against two waiting transactions that block each other for good.
tap.test('deadlock', async (t) => {
	const server = await startServer(t);
	const first = await connect(t, server.port);
	const second = await connect(t, server.port);
	await createOrders(first);
	await first.query("INSERT INTO orders VALUES (1, 'a'), (2, 'b')");
	await first.query('BEGIN');
	await second.query('BEGIN');
	await first.query('DELETE FROM orders WHERE id = 1');
	await second.query('DELETE FROM orders WHERE id = 2');
	const waiting = first.query('DELETE FROM orders WHERE id = 2');
	await waitUntil(() => server.readState().running === 0);
	await t.rejects(second.query('DELETE FROM orders WHERE id = 1'), {
		code: '40P01',
	});
	await second.query('ROLLBACK');
	await waiting;
	await first.query('COMMIT');
});

// Guards against a key that is claimed twice or survives a rollback.
tap.test('claim_key', async (t) => {
	const server = await startServer(t);
	const client = await connect(t, server.port);
	await client.query('BEGIN');
	await client.query("SELECT hemlockarch.claim_key('k1')");
	await client.query('ROLLBACK');
	await client.query("SELECT hemlockarch.claim_key('k1')");
	await t.rejects(client.query("SELECT hemlockarch.claim_key('k1')"), {
		code: '23505',
	});
});

// Guards against reads that see records before the apply lag, and against writes on a replica.
tap.test('replication with an apply lag', async (t) => {
	const [primary, replica] = await startGroup(t);
	const writer = await connect(t, primary.port);
	const reader = await connect(t, replica.port);
	await createOrders(writer);
	await waitUntil(
		() => replica.readStatus().applied === primary.readStatus().position,
	);
	await replica.setFaults({applyLagMs: 3_600_000});
	await writer.query("INSERT INTO orders VALUES (1, 'a')");
	await waitUntil(
		() => replica.readStatus().position === primary.readStatus().position,
	);
	const before = await reader.query('SELECT id FROM orders');
	t.equal(before.rows.length, 0);
	await replica.setFaults({applyLagMs: 0});
	await waitUntil(
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
	await waitUntil(async () => {
		const status = await writer.query('SELECT * FROM hemlockarch.status()');
		const row = status.rows[0] as {position: string; replicas: string};
		const replicas = JSON.parse(row.replicas) as Array<{position: number}>;
		return replicas.some((item) => item.position === Number(row.position));
	});
	t.equal(replica.readStatus().position, position);
});

// Guards against writes on a fenced primary and against a fence that a lower term undoes.
tap.test('fencing', async (t) => {
	const [primary, replica] = await startGroup(t);
	const client = await connect(t, primary.port);
	await createOrders(client);
	await client.query('BEGIN');
	await client.query("INSERT INTO orders VALUES (1, 'open')");
	const admin = await connect(t, primary.port);
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

// Guards against records that a fenced replica accepts from a primary of a lower term.
tap.test('a fenced replica receives nothing more', async (t) => {
	const [primary, replica, other] = await startGroup(t);
	const client = await connect(t, primary.port);
	await createOrders(client);
	await waitUntil(
		() => replica.readStatus().position === primary.readStatus().position,
	);
	replica.setFence(2);
	const {position} = replica.readStatus();
	await client.query("INSERT INTO orders VALUES (1, 'a')");
	await waitUntil(
		() => other.readStatus().position === primary.readStatus().position,
	);
	t.equal(replica.readStatus().position, position);
});

// Guards against a divergent tail that survives a change of the primary.
tap.test('promotion drops a divergent tail', async (t) => {
	const [primary, second, third] = await startGroup(t);
	const client = await connect(t, primary.port);
	await createOrders(client);
	await client.query("INSERT INTO orders VALUES (1, 'kept')");
	await waitUntil(
		() => second.readStatus().applied === primary.readStatus().position,
	);
	second.setFence(2);
	third.setFence(2);
	await client.query("INSERT INTO orders VALUES (2, 'lost')");
	await client.query("UPDATE orders SET item = 'changed' WHERE id = 1");
	await client.query('DROP TABLE IF EXISTS orders');
	second.promote(2);
	const writer = await connect(t, second.port);
	await writer.query("INSERT INTO orders VALUES (3, 'new')");
	primary.follow(2, 's2', second.address);
	third.follow(2, 's2', second.address);
	await waitUntil(() => primary.readStatus().term === 2);
	await waitUntil(() => {
		const {position} = second.readStatus();
		return [primary, third].every(
			(server) => server.readStatus().applied === position,
		);
	});
	for (const server of [primary, third]) {
		const reader = await connect(t, server.port);
		const rows = await reader.query('SELECT id, item FROM orders ORDER BY id');
		t.same(rows.rows, [
			{id: 1, item: 'kept'},
			{id: 3, item: 'new'},
		]);
	}

	await t.rejects(client.query('DELETE FROM orders'), {code: '25006'});
});

// Guards against more statements at once than the server has slots, and against a lost order.
tap.test('slots', async (t) => {
	const server = await startServer(t, {slots: 1});
	const clients = [
		await connect(t, server.port),
		await connect(t, server.port),
		await connect(t, server.port),
	];
	const [first, second, third] = clients;
	const finished: number[] = [];
	const run = async (client: pg.Client, id: number, seconds: number) => {
		await client.query(`SELECT pg_sleep(${seconds})`);
		finished.push(id);
	};

	const runs = [run(first, 1, 0.05)];
	await waitUntil(() => server.readState().running === 1);
	runs.push(run(second, 2, 0.02));
	await waitUntil(() => server.readState().waiting === 1);
	runs.push(run(third, 3, 0));
	await waitUntil(() => server.readState().waiting === 2);
	const poll = await connect(t, server.port);
	const status = await poll.query('SELECT * FROM hemlockarch.status()');
	t.equal(status.rows.length, 1);
	t.same(finished, []);
	await Promise.all(runs);
	t.same(finished, [1, 2, 3]);
	t.match(server.readState(), {running: 0, waiting: 0});
});

// Guards against a cancel request that is ignored or leaves its slot taken.
tap.test('cancel', async (t) => {
	const server = await startServer(t, {slots: 1});
	const client = await connect(t, server.port);
	const running = client.query('SELECT pg_sleep(3600)');
	await waitUntil(() => server.readState().running === 1);
	const {processID, secretKey} = client as unknown as {
		processID: number;
		secretKey: number;
	};
	server.cancelStatement(processID, secretKey);
	await t.rejects(running, {code: '57014'});
	t.match(server.readState(), {running: 0});
});

// Guards against a server that accepts more connections than its limit.
tap.test('connection limit', async (t) => {
	const server = await startServer(t, {connectionLimit: 2});
	const first = await connect(t, server.port);
	await connect(t, server.port);
	await t.rejects(connect(t, server.port), {code: '53300'});
	await first.end();
	await waitUntil(() => server.readState().sessions === 1);
	await connect(t, server.port);
});

// Guards against an old owner that keeps its connections after a new one took over.
tap.test('end_other_sessions', async (t) => {
	const server = await startServer(t);
	const older = await connect(t, server.port, 'hemlockarch/2.9');
	const newer = await connect(t, server.port, 'hemlockarch/3.1');
	const plain = await connect(t, server.port, 'psql');
	const ended = await newer.query(
		"SELECT hemlockarch.end_other_sessions('3.1')",
	);
	t.same(ended.rows, [{end_other_sessions: 1}]);
	await t.rejects(older.query('SELECT 1'));
	await newer.query('SELECT 1');
	await plain.query('SELECT 1');
});

// Guards against faults that act on the control port or do not act at all.
tap.test('faults through the control port', async (t) => {
	const server = await startServer(t);
	const client = await connect(t, server.port);
	await createOrders(client);
	const control = await connect(t, server.controlPort);
	await control.query("SELECT standin.set('freeze', 'true')");
	let answered = false;
	const write = (async () => {
		await client.query("INSERT INTO orders VALUES (1, 'a')");
		answered = true;
	})();
	await control.query("SELECT standin.get('freeze')");
	t.equal(answered, false);
	const state = await control.query('SELECT standin.state() AS state');
	t.match((state.rows[0] as {state: string}).state, /"freeze":true/v);
	await control.query("SELECT standin.set('freeze', 'false')");
	await write;

	await t.rejects(client.query("SELECT standin.set('cut', 'true')"), {
		code: '42883',
	});
	await t.rejects(control.query("SELECT standin.set('cut', 'maybe')"), {
		code: '22023',
	});
	await control.query("SELECT standin.set('crash', 'true')");
	await t.rejects(client.query('SELECT 1'));
	await t.rejects(connect(t, server.port));
	await server.setFaults({crash: false});
	const again = await connect(t, server.port);
	const rows = await again.query('SELECT id FROM orders');
	t.same(rows.rows, [{id: 1}]);
});

// Guards against DISCARD ALL that leaves state behind, and against settings that are not kept.
tap.test('settings', async (t) => {
	const server = await startServer(t);
	const client = await connect(t, server.port);
	await client.query("SET hemlockarch.rank = 'urgent'");
	const shown = await client.query('SHOW hemlockarch.rank');
	t.same(shown.rows, [{'hemlockarch.rank': 'urgent'}]);
	await client.query('DISCARD ALL');
	const reset = await client.query('SHOW hemlockarch.rank');
	t.same(reset.rows, [{'hemlockarch.rank': ''}]);
});

// Guards against missing announcements and against changes that are announced late.
tap.test('announcements', async (t) => {
	const received: Array<Record<string, unknown>> = [];
	const proxy = http.createServer((request, response) => {
		let body = '';
		request.on('data', (data: Buffer) => {
			body += data.toString('utf8');
		});
		request.on('end', () => {
			received.push(JSON.parse(body) as Record<string, unknown>);
			response.end('{}');
		});
	});
	await new Promise<void>((resolve) => {
		proxy.listen(0, '127.0.0.1', resolve);
	});
	t.teardown(() => {
		proxy.close();
	});
	const {port} = proxy.address() as net.AddressInfo;
	const server = await startServer(t, {
		announceTo: [`127.0.0.1:${port}`],
		announceIntervalMs: 3_600_000,
	});
	await waitUntil(() => received.length === 1);
	t.match(received[0], {
		group: 'ledger',
		server: 'ledger-1',
		address: server.address,
		role: 'primary',
		term: 1,
		slots: 3,
		departing: false,
	});
	await server.setFaults({departing: true});
	await waitUntil(() => received.length === 2);
	t.equal(received[1].departing, true);
	server.setFence(2);
	server.promote(2);
	await waitUntil(() => received.length === 3);
	t.equal(received[2].term, 2);
});
