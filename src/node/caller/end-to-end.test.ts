import {Buffer} from 'node:buffer';
import * as net from 'node:net';
import type pg from 'pg';
import * as serializer from 'pg-protocol/dist/serializer';
import tap, {type Test} from 'tap';
import * as directSetup from '../../bench/direct-setup.js';
import * as frameReader from '../wire/frame-reader.js';
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

async function findSqlState(run: Promise<unknown>): Promise<string> {
	try {
		await run;
		return 'none';
	} catch (error) {
		return (error as pg.DatabaseError).code ?? String(error);
	}
}

/** A caller that writes frames itself and collects whole messages. */
class RawCaller {
	readonly socket: net.Socket;
	readonly #reader = new frameReader.FrameReader(100_000_000);
	readonly #found: Buffer[] = [];
	#notify: (() => void) | undefined;

	constructor(port: number) {
		this.socket = net.connect(port, host);
		this.socket.on('error', () => undefined);
		this.socket.on('data', (chunk: Buffer) => {
			this.#reader.push(chunk);
			for (let one = this.#reader.read(); one; one = this.#reader.read()) {
				this.#found.push(one as Buffer);
			}

			this.#notify?.();
		});
		this.socket.on('close', () => {
			this.#notify?.();
		});
	}

	/** Waits until `count` ReadyForQuery messages came, and returns the type letters so far. */
	async waitReady(count: number): Promise<string> {
		let letters = '';
		for (;;) {
			letters = this.#found.map((one) => String.fromCodePoint(one[0])).join('');
			if (letters.split('Z').length > count || this.socket.destroyed) {
				break;
			}

			await new Promise<void>((resolve) => {
				this.#notify = resolve;
			});
		}

		return letters;
	}

	/** Waits for a number of messages and removes them. */
	async take(count: number): Promise<Buffer[]> {
		while (this.#found.length < count && !this.socket.destroyed) {
			await new Promise<void>((resolve) => {
				this.#notify = resolve;
			});
		}

		return this.#found.splice(0, count);
	}

	clear(): void {
		this.#found.length = 0;
	}

	async startUp(parameters: Record<string, string> = {}): Promise<void> {
		this.socket.write(
			serialize.startup({user: 'sanna', database: 'ledger', ...parameters}),
		);
		await this.waitReady(1);
		this.clear();
	}
}

// Guards against lost or mixed answers of simple and extended queries.
tap.test('queries', async (t) => {
	const setup = await start(t);
	const client = await setup.connect();
	await client.query('CREATE TABLE t (id int PRIMARY KEY, note text)');
	await client.query("INSERT INTO t VALUES (1, 'one'), (2, 'two')");
	const simple = await client.query('SELECT note FROM t ORDER BY id');
	t.strictSame(simple.rows, [{note: 'one'}, {note: 'two'}]);
	const extended = await client.query('SELECT note FROM t WHERE id = $1', [2]);
	t.strictSame(extended.rows, [{note: 'two'}]);
	t.equal(await findSqlState(client.query('SELECT * FROM nothing')), '42P01');
	t.equal(await findSqlState(client.query('COPY t FROM STDIN')), '0A000');
	const many = await client.query('SELECT 1 AS a; SELECT 2 AS a');
	t.equal((many as unknown as pg.QueryResult[]).length, 2);
	const none = await client.query('');
	t.equal(none.rowCount, null);
});

// Guards against a named statement that is missing on, or belongs to another session of, a connection.
tap.test('prepared statements move between connections', async (t) => {
	const setup = await start(t);
	const [first, second, third] = [
		await setup.connect(),
		await setup.connect(),
		await setup.connect(),
	];
	const run = async (client: pg.Client, text: string, value: number) => {
		const result = await client.query({name: 'same', text, values: [value]});
		return (result.rows[0] as {v: number}).v;
	};

	t.equal(await run(first, 'SELECT $1::int AS v', 1), 1);
	t.equal(await run(second, 'SELECT $1::int + 100 AS v', 1), 101);
	await third.query('BEGIN');
	// One of the two connections is taken now.
	for (let value = 0; value < 5; value++) {
		t.equal(await run(first, 'SELECT $1::int AS v', value), value);
		t.equal(await run(second, 'SELECT $1::int + 100 AS v', value), value + 100);
	}

	await third.query('COMMIT');
	for (let value = 0; value < 5; value++) {
		const both = await Promise.all([
			run(first, 'SELECT $1::int AS v', value),
			run(second, 'SELECT $1::int + 100 AS v', value),
		]);
		t.strictSame(both, [value, value + 100]);
	}
});

// Guards against use of an unnamed statement that another session left on the connection.
tap.test('unnamed statement belongs to the session', async (t) => {
	const setup = await start(t, {connections: 1});
	const owner = new RawCaller(setup.port);
	const other = new RawCaller(setup.port);
	await owner.startUp();
	await other.startUp();
	const run = Buffer.concat([
		serialize.bind({}),
		serialize.execute(),
		serialize.sync(),
	]);
	owner.socket.write(
		Buffer.concat([serialize.parse({text: 'SELECT 7'}), serialize.sync()]),
	);
	t.equal(await owner.waitReady(1), '1Z');
	other.socket.write(
		Buffer.concat([serialize.parse({text: 'SELECT 8'}), serialize.sync()]),
	);
	await other.waitReady(1);
	owner.socket.write(run);
	t.equal(await owner.waitReady(2), '1Z2DCZ');
	const answer = await owner.take(4);
	t.equal(answer[3].toString('latin1').slice(-1), '7');
	const third = new RawCaller(setup.port);
	await third.startUp();
	third.socket.write(run);
	t.equal(await third.waitReady(1), 'EZ');
	const [refusal] = await third.take(1);
	t.equal(messages.findErrorField(refusal, 'C'), '26000');
});

// Guards against a transaction that is spread over connections, or goes on after an error.
tap.test('transactions', async (t) => {
	const setup = await start(t);
	const client = await setup.connect();
	const other = await setup.connect();
	await client.query('CREATE TABLE t (id int PRIMARY KEY)');
	await client.query('BEGIN');
	await client.query('INSERT INTO t VALUES (1)');
	const outside = await other.query('SELECT * FROM t');
	t.equal(outside.rowCount, 0);
	await client.query('COMMIT');
	await client.query('BEGIN');
	await client.query('INSERT INTO t VALUES (2)');
	t.equal(
		await findSqlState(client.query('INSERT INTO t VALUES (1)')),
		'23505',
	);
	t.equal(await findSqlState(client.query('SELECT 1')), '25P02');
	const ended = await client.query('COMMIT');
	t.equal(ended.command, 'ROLLBACK');
	const after = await other.query('SELECT * FROM t');
	t.equal(after.rowCount, 1);
});

// Guards against a COMMIT that stores half a transaction after a refusal by the adapter.
tap.test('a refusal fails the transaction', async (t) => {
	const setup = await start(t);
	const client = await setup.connect();
	await client.query('CREATE TABLE t (id int PRIMARY KEY)');
	await client.query('BEGIN');
	await client.query('INSERT INTO t VALUES (1)');
	t.equal(await findSqlState(client.query('COPY t FROM STDIN')), '0A000');
	t.equal(
		await findSqlState(client.query('INSERT INTO t VALUES (2)')),
		'25P02',
	);
	t.equal(
		await findSqlState(client.query("SET hemlockarch.rank = 'urgent'")),
		'25P02',
	);
	const ended = await client.query('COMMIT');
	t.equal(ended.command, 'ROLLBACK');
	const left = await client.query('SELECT * FROM t');
	t.equal(left.rowCount, 0);
});

// Guards against answers out of order when requests are pipelined or arrive byte by byte.
tap.test('pipelined and split frames keep their order', async (t) => {
	const setup = await start(t);
	const frames: Buffer[] = [
		serialize.startup({user: 'sanna', database: 'ledger'}),
	];
	for (let index = 0; index < 30; index++) {
		frames.push(
			index % 3 === 0
				? serialize.query(`SELECT ${index}`)
				: index % 3 === 1
					? serialize.query('SHOW hemlockarch.member')
					: Buffer.concat([
							serialize.parse({text: `SELECT ${index}`}),
							serialize.bind({}),
							serialize.execute(),
							serialize.sync(),
						]),
		);
	}

	const bytes = Buffer.concat(frames);
	for (const step of [1, 7, bytes.length]) {
		const caller = new RawCaller(setup.port);
		for (let offset = 0; offset < bytes.length; offset += step) {
			caller.socket.write(bytes.subarray(offset, offset + step));
			if (offset % 50 === 0) {
				await new Promise((resolve) => {
					setImmediate(resolve);
				});
			}
		}

		const letters = await caller.waitReady(31);
		t.equal(
			letters.slice(letters.indexOf('Z') + 1),
			'TDCZTDCZ12DCZ'.repeat(10),
			`steps of ${step}`,
		);
		const all = await caller.take(letters.length);
		const values = all
			.filter((one) => one[0] === messages.codes.dataRow)
			.map((one) => one.toString('latin1', 11));
		t.strictSame(
			values,
			Array.from({length: 30}, (_, index) =>
				index % 3 === 1 ? 'sanna' : String(index),
			),
		);
		caller.socket.destroy();
	}
});

// Guards against an answer that never comes, or comes as committed, before Sync.
tap.test('flush leaves the implicit transaction open', async (t) => {
	const setup = await start(t);
	const client = await setup.connect();
	await client.query('CREATE TABLE t (id int PRIMARY KEY)');
	const caller = new RawCaller(setup.port);
	await caller.startUp();
	const insert = Buffer.concat([
		serialize.parse({text: 'INSERT INTO t VALUES (1)'}),
		serialize.bind({}),
		serialize.execute(),
		serialize.flush(),
	]);
	caller.socket.write(insert);
	const first = await caller.take(3);
	t.strictSame(
		first.map((one) => String.fromCodePoint(one[0])),
		['1', '2', 'C'],
	);
	caller.socket.write(insert);
	const second = await caller.take(3);
	t.strictSame(
		second.map((one) => String.fromCodePoint(one[0])),
		['1', '2', 'E'],
	);
	caller.socket.write(serialize.sync());
	t.equal(await caller.waitReady(1), 'Z');
	const left = await client.query('SELECT * FROM t');
	t.equal(left.rowCount, 0, 'the error rolled back the first insert');
	caller.clear();
	caller.socket.write(insert);
	await caller.take(3);
	caller.socket.write(serialize.sync());
	await caller.waitReady(1);
	const stored = await client.query('SELECT * FROM t');
	t.equal(stored.rowCount, 1);
});

// Guards against settings that are applied out of order, not checked or not answered.
tap.test('settings', async (t) => {
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
		t.equal(await findSqlState(client.query(text)), sqlState, text);
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
		await findSqlState(setup.connect({options: '-c hemlockarch.rank=high'})),
		'22023',
	);
});

// Guards against a token that the caller does not get with its write.
tap.test('token is reported', async (t) => {
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
tap.test('large result and slow caller', async (t) => {
	const setup = await start(t, {callerLimits: {sendBufferBytes: 1_000_000}});
	const rows = 200_000;
	const text = `SELECT 'a value that fills a row of the result with text' AS a, generate_series FROM generate_series(1, ${rows})`;
	const caller = new RawCaller(setup.port);
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

// Guards against a cancel request that is lost, or hits a later request of the connection.
tap.test('cancel', async (t) => {
	const setup = await start(t, {connections: 1});
	const client = await setup.connect();
	const {processID, secretKey} = client as unknown as {
		processID: number;
		secretKey: number;
	};
	const running = findSqlState(client.query('SELECT pg_sleep(3600)'));
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

// Guards against startup packets that hang or stop the process.
tap.test('startup packets', async (t) => {
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
		await findSqlState(
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

// Guards against a transaction that stays open, or a connection that stays lost, when its caller is gone.
tap.test('a caller that vanishes', async (t) => {
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

// Guards against frames without limit and against a dialogue that goes on after broken framing.
tap.test('frame limit', async (t) => {
	const setup = await start(t, {callerLimits: {frameBytes: 1000}});
	const client = await setup.connect();
	t.equal(
		await findSqlState(client.query(`SELECT '${'x'.repeat(2000)}'`)),
		'54000',
	);
	const caller = new RawCaller(setup.port);
	await caller.startUp();
	caller.socket.write(Buffer.from([0x51, 0, 0, 0, 1]));
	const [answer] = await caller.take(1);
	t.equal(messages.findErrorField(answer, 'C'), '08P01');
});
