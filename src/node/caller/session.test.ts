import {Buffer} from 'node:buffer';
import * as net from 'node:net';
import type pg from 'pg';
import * as serializer from 'pg-protocol/dist/serializer';
import tap, {type Test} from 'tap';
import * as directSetup from '../../bench/direct-setup.js';
import * as rawCaller from '../../bench/raw-caller.js';
import * as messages from '../wire/messages.js';

const {serialize} = serializer;
const host = '127.0.0.1';

async function start(
	t: Test,
	options: Parameters<typeof directSetup.startSetup>[0] = {},
): Promise<directSetup.DirectSetup> {
	const setup = await directSetup.startSetup(options);
	t.teardown(async () => setup.stop());
	return setup;
}

// Guards against settings that are applied out of order, not validated or not answered.
tap.test('settings are validated and apply to later requests', async (t) => {
	const events: string[] = [];
	const setup = await start(t, {
		observe(event) {
			if (event.type === 'requestArrived') {
				events.push(JSON.stringify(event.attributes));
			} else if (event.type === 'tokenSet') {
				events.push(`token ${event.token.term}:${event.token.offset}`);
			}
		},
	});
	const client = await setup.connect({
		options: '-c hemlockarch.rank=background',
	});
	await client.query('SELECT 1');
	await client.query("SET hemlockarch.rank = 'urgent'");
	await client.query('SET hemlockarch.staleness_ms TO any');
	await client.query('SELECT 1');
	await client.query(
		"/*hemlockarch_rank='normal',hemlockarch_key='a%20b'*/ SELECT 1",
	);
	await client.query('SELECT 1');
	await client.query("SET hemlockarch.token = '3:70'");
	await client.query('RESET hemlockarch.staleness_ms');
	await client.query('SELECT $1::int', [1]);
	t.strictSame(events, [
		'{"rank":"background"}',
		'{"rank":"urgent","stalenessMs":null}',
		'{"rank":"normal","stalenessMs":null,"key":"a b"}',
		'{"rank":"urgent","stalenessMs":null}',
		'token 3:70',
		'{"rank":"urgent"}',
	]);
	for (const [text, sqlState] of [
		["SET hemlockarch.rank = 'high'", '22023'],
		["SET hemlockarch.token = '3'", '22023'],
		['SET hemlockarch.deadline_ms = -1', '22023'],
		["SET hemlockarch.member = 'x'", '55P02'],
		["SET hemlockarch.colour = 'x'", '42704'],
		['SET hemlockarch.rank', '42601'],
		["/*hemlockarch_kye='1'*/ SELECT 1", '42704'],
		["/*hemlockarch_key=''*/ SELECT 1", '22023'],
	] as const) {
		t.equal(await rawCaller.findSqlState(client.query(text)), sqlState, text);
	}

	const shown = await client.query({
		name: 'show',
		text: 'SHOW hemlockarch.rank',
		values: [],
	});
	t.strictSame(shown.rows, [{'hemlockarch.rank': 'urgent'}]);
	await client.query('BEGIN');
	await client.query("SET LOCAL hemlockarch.rank = 'normal'");
	await client.query('COMMIT');
	const after = await client.query('SHOW hemlockarch.rank');
	t.strictSame(after.rows, [{'hemlockarch.rank': 'urgent'}]);
	t.equal(
		await rawCaller.findSqlState(
			setup.connect({options: '-c hemlockarch.rank=high'}),
		),
		'22023',
	);
});

// Guards against a write whose token is not reported to the caller.
tap.test('a write reports its token', async (t) => {
	const setup = await start(t);
	const client = await setup.connect();
	const reported: string[] = [];
	client.connection.on(
		'parameterStatus',
		(message: {parameterName: string; parameterValue: string}) => {
			reported.push(`${message.parameterName}=${message.parameterValue}`);
		},
	);
	await client.query('CREATE TABLE t (id int)');
	t.strictSame(reported, ['hemlockarch.token=1:7']);
	const shown = await client.query('SHOW hemlockarch.token');
	t.strictSame(shown.rows, [{'hemlockarch.token': '1:7'}]);
});

// Guards against unbounded memory, and lost bytes, when a caller reads a large result slowly.
tap.test('a slow caller receives a large result completely', async (t) => {
	const setup = await start(t, {callerLimits: {sendBufferBytes: 1_000_000}});
	const rows = 200_000;
	const text = `SELECT 'a value that fills a row of the result with text' AS a, generate_series FROM generate_series(1, ${rows})`;
	const caller = new rawCaller.RawCaller(setup.port);
	await caller.startUp();
	let bytes = 0;
	caller.socket.on('data', (chunk: Buffer) => {
		bytes += chunk.length;
		caller.socket.pause();
		setTimeout(() => {
			caller.socket.resume();
		}, 1);
	});
	caller.socket.write(serialize.query(text));
	const letters = await caller.waitReady(1);
	t.equal(letters.length, rows + 3);
	t.ok(bytes > 10_000_000, `${bytes} bytes`);
});

// Guards against a cancel request that is lost or cancels a later request on the connection.
tap.test('a cancel request needs the key of its session', async (t) => {
	const setup = await start(t, {connections: 1});
	const client = await setup.connect();
	const {processID, secretKey} = client as unknown as {
		processID: number;
		secretKey: number;
	};
	const running = rawCaller.findSqlState(client.query('SELECT pg_sleep(3600)'));
	const wrong = net.connect(setup.port, host);
	wrong.write(serialize.cancel(processID, secretKey ^ 1));
	await new Promise((resolve) => {
		wrong.once('close', resolve).resume();
	});
	const right = net.connect(setup.port, host);
	right.write(serialize.cancel(processID, secretKey));
	t.equal(await running, '57014');
	const next = await client.query('SELECT 1 AS a');
	t.strictSame(next.rows, [{a: 1}]);
});

// Guards against startup packets that hang or crash the process.
tap.test('startup packets are answered or refused', async (t) => {
	const setup = await start(t);
	const caller = net.connect(setup.port, host);
	const ssl = Buffer.from([0, 0, 0, 8, 4, 210, 22, 47]);
	caller.write(
		Buffer.concat([
			ssl,
			serialize.startup({user: 'sanna', database: 'ledger'}),
			serialize.query('SELECT 1'),
		]),
	);
	const received: Buffer[] = [];
	while (!Buffer.concat(received).includes('SELECT 1\0')) {
		received.push(
			await new Promise<Buffer>((resolve) => {
				caller.once('data', resolve);
			}),
		);
	}

	t.equal(received[0].toString('latin1', 0, 1), 'N');
	caller.destroy();
	const withoutEnd = Buffer.from('\0\0\0\u000E\0\u0003\0\0user\0x', 'latin1');
	const tooLong = Buffer.from([0, 1, 0, 0, 0, 3, 0, 0]);
	for (const bad of [withoutEnd, tooLong]) {
		const socket = net.connect(setup.port, host);
		socket.write(bad);
		const answer = await new Promise<Buffer>((resolve) => {
			socket.once('data', resolve);
		});
		t.equal(messages.findErrorField(answer, 'C'), '08P01');
		socket.destroy();
	}

	t.equal(
		await rawCaller.findSqlState(
			setup.connect({replication: 'database'} as pg.ClientConfig),
		),
		'0A000',
	);
});

// Guards against startup parameters that are dropped silently.
tap.test('startup parameters reach the server', async (t) => {
	const setup = await start(t);
	const client = await setup.connect({options: '-c statement_timeout=5000'});
	const shown = await client.query('SHOW statement_timeout');
	t.equal(Object.values(shown.rows[0] as object)[0], '5000');
});

// Guards against a transaction that stays open, or a connection that is not freed, after a disconnect.
tap.test('a disconnect rolls back the open transaction', async (t) => {
	const closed: number[] = [];
	let reset: () => void = () => undefined;
	const wasReset = new Promise<void>((resolve) => {
		reset = resolve;
	});
	const setup = await start(t, {
		connections: 1,
		observe(event) {
			if (event.type === 'sessionClosed') {
				closed.push(event.session);
			} else if (event.type === 'connectionReset') {
				reset();
			}
		},
	});
	const client = await setup.connect();
	await client.query('CREATE TABLE t (id int PRIMARY KEY)');
	await client.query('BEGIN');
	await client.query('INSERT INTO t VALUES (1)');
	client.connection.stream.destroy();
	await wasReset;
	t.strictSame(closed, [1]);
	const other = await setup.connect();
	const left = await other.query('SELECT * FROM t');
	t.equal(left.rowCount, 0);
});

// Guards against frames of unbounded size and a session that continues after broken framing.
tap.test('oversized and malformed frames are refused', async (t) => {
	const setup = await start(t, {callerLimits: {frameBytes: 1000}});
	const client = await setup.connect();
	t.equal(
		await rawCaller.findSqlState(client.query(`SELECT '${'x'.repeat(2000)}'`)),
		'54000',
	);
	const caller = new rawCaller.RawCaller(setup.port);
	await caller.startUp();
	caller.socket.write(Buffer.from([0x51, 0, 0, 0, 1]));
	const [answer] = await caller.takeMessages(1);
	t.equal(messages.findErrorField(answer, 'C'), '08P01');
});
