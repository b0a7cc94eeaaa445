import type {Buffer} from 'node:buffer';
import * as http from 'node:http';
import type * as net from 'node:net';
import type pg from 'pg';
import tap from 'tap';
import * as support from './test-support.js';

// Guards against a stand-in that parses or evaluates the statements of the workloads incorrectly.
tap.test('statements return the expected rows and errors', async (t) => {
	const server = await support.startServer(t);
	const client = await support.connect(t, server.port);
	await support.createOrders(client);
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

// Guards against wrong responses to named statements, to portals and after an error before Sync.
tap.test('the extended protocol runs prepared statements', async (t) => {
	const server = await support.startServer(t);
	const client = await support.connect(t, server.port);
	await support.createOrders(client);
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

// Guards against lost or repeated rows when a portal is fetched in several steps.
tap.test('a portal with a row limit returns every row once', async (t) => {
	const server = await support.startServer(t);
	const client = await support.connect(t, server.port);
	const result = await client.query({
		text: 'SELECT generate_series(1, 10)',
		values: [],
		rows: 3,
	} as pg.QueryConfig);
	t.equal(result.rows.length, 10);
	t.same(result.rows.at(-1), {generate_series: 10});
});

// Guards against sessions that see or overwrite each other's uncommitted writes.
tap.test('transactions are isolated from each other', async (t) => {
	const server = await support.startServer(t);
	const first = await support.connect(t, server.port);
	const second = await support.connect(t, server.port);
	await support.createOrders(first);
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

// Guards against two transactions that wait for each other indefinitely.
tap.test('a deadlock fails the statement that causes it', async (t) => {
	const server = await support.startServer(t);
	const first = await support.connect(t, server.port);
	const second = await support.connect(t, server.port);
	await support.createOrders(first);
	await first.query("INSERT INTO orders VALUES (1, 'a'), (2, 'b')");
	await first.query('BEGIN');
	await second.query('BEGIN');
	await first.query('DELETE FROM orders WHERE id = 1');
	await second.query('DELETE FROM orders WHERE id = 2');
	const waiting = first.query('DELETE FROM orders WHERE id = 2');
	await support.waitUntil(() => server.readState().running === 0);
	await t.rejects(second.query('DELETE FROM orders WHERE id = 1'), {
		code: '40P01',
	});
	await second.query('ROLLBACK');
	await waiting;
	await first.query('COMMIT');
});

// Guards against a key that is claimed twice or survives a rollback.
tap.test('a key is claimed once and is free after a rollback', async (t) => {
	const server = await support.startServer(t);
	const client = await support.connect(t, server.port);
	await client.query('BEGIN');
	await client.query("SELECT hemlockarch.claim_key('k1')");
	await client.query('ROLLBACK');
	await client.query("SELECT hemlockarch.claim_key('k1')");
	await t.rejects(client.query("SELECT hemlockarch.claim_key('k1')"), {
		code: '23505',
	});
});

// Guards against more concurrent statements than slots, against statements that overtake earlier
// ones, and against a status poll that waits for a slot.
tap.test('statements wait for a slot in order of arrival', async (t) => {
	const server = await support.startServer(t, {slots: 1});
	const clients = [
		await support.connect(t, server.port),
		await support.connect(t, server.port),
		await support.connect(t, server.port),
	];
	const [first, second, third] = clients;
	const finished: number[] = [];
	const run = async (client: pg.Client, id: number, seconds: number) => {
		await client.query(`SELECT pg_sleep(${seconds})`);
		finished.push(id);
	};

	const runs = [run(first, 1, 0.05)];
	await support.waitUntil(() => server.readState().running === 1);
	runs.push(run(second, 2, 0.02));
	await support.waitUntil(() => server.readState().waiting === 1);
	runs.push(run(third, 3, 0));
	await support.waitUntil(() => server.readState().waiting === 2);
	const poll = await support.connect(t, server.port);
	const status = await poll.query('SELECT * FROM hemlockarch.status()');
	t.equal(status.rows.length, 1);
	t.same(finished, []);
	await Promise.all(runs);
	t.same(finished, [1, 2, 3]);
	t.match(server.readState(), {running: 0, waiting: 0});
});

// Guards against a cancel request that is ignored or does not release the slot of the statement.
tap.test('a cancel request ends the statement', async (t) => {
	const server = await support.startServer(t, {slots: 1});
	const client = await support.connect(t, server.port);
	const running = client.query('SELECT pg_sleep(3600)');
	await support.waitUntil(() => server.readState().running === 1);
	const {processID, secretKey} = client as unknown as {
		processID: number;
		secretKey: number;
	};
	server.cancelStatement(processID, secretKey);
	await t.rejects(running, {code: '57014'});
	t.match(server.readState(), {running: 0});
});

// Guards against a server that accepts more connections than its limit allows.
tap.test('connections beyond the limit are refused', async (t) => {
	const server = await support.startServer(t, {connectionLimit: 2});
	const first = await support.connect(t, server.port);
	await support.connect(t, server.port);
	await t.rejects(support.connect(t, server.port), {code: '53300'});
	await first.end();
	await support.waitUntil(() => server.readState().sessions === 1);
	await support.connect(t, server.port);
});

// Guards against an old owner that keeps its connections after a new one took over.
tap.test('end_other_sessions ends sessions of lower epochs', async (t) => {
	const server = await support.startServer(t);
	const older = await support.connect(t, server.port, 'hemlockarch/2.9');
	const newer = await support.connect(t, server.port, 'hemlockarch/3.1');
	const plain = await support.connect(t, server.port, 'psql');
	const ended = await newer.query(
		"SELECT hemlockarch.end_other_sessions('3.1')",
	);
	t.same(ended.rows, [{end_other_sessions: 1}]);
	await t.rejects(older.query('SELECT 1'));
	await newer.query('SELECT 1');
	await plain.query('SELECT 1');
});

// Guards against faults that affect the control port or have no effect at all.
tap.test('faults can be set through the control port only', async (t) => {
	const server = await support.startServer(t);
	const client = await support.connect(t, server.port);
	await support.createOrders(client);
	const control = await support.connect(t, server.controlPort);
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
	await t.rejects(support.connect(t, server.port));
	await server.setFaults({crash: false});
	const again = await support.connect(t, server.port);
	const rows = await again.query('SELECT id FROM orders');
	t.same(rows.rows, [{id: 1}]);
});

// Guards against a DISCARD ALL that leaves session state behind, and against settings that are lost.
tap.test('DISCARD ALL resets the settings', async (t) => {
	const server = await support.startServer(t);
	const client = await support.connect(t, server.port);
	await client.query("SET hemlockarch.rank = 'urgent'");
	const shown = await client.query('SHOW hemlockarch.rank');
	t.same(shown.rows, [{'hemlockarch.rank': 'urgent'}]);
	await client.query('DISCARD ALL');
	const reset = await client.query('SHOW hemlockarch.rank');
	t.same(reset.rows, [{'hemlockarch.rank': ''}]);
});

// Guards against missing announcements, and against changes that are announced only at the next
// interval.
tap.test('a server announces its start and every change', async (t) => {
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
	const server = await support.startServer(t, {
		announceTo: [`127.0.0.1:${port}`],
		announceIntervalMs: 3_600_000,
	});
	await support.waitUntil(() => received.length === 1);
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
	await support.waitUntil(() => received.length === 2);
	t.equal(received[1].departing, true);
	server.setFence(2);
	server.promote(2);
	await support.waitUntil(() => received.length === 3);
	t.equal(received[2].term, 2);
});
