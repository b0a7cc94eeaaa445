import {Buffer} from 'node:buffer';
import type pg from 'pg';
import * as serializer from 'pg-protocol/dist/serializer';
import tap, {type Test} from 'tap';
import * as directSetup from '../../bench/direct-setup.js';
import * as rawCaller from '../../bench/raw-caller.js';
import * as messages from '../wire/messages.js';

const {serialize} = serializer;

async function start(
	t: Test,
	options: Parameters<typeof directSetup.startSetup>[0] = {},
): Promise<directSetup.DirectSetup> {
	const setup = await directSetup.startSetup(options);
	t.teardown(async () => setup.stop());
	return setup;
}

// Guards against lost or mixed responses to simple and extended queries.
tap.test('simple and extended queries return their results', async (t) => {
	const setup = await start(t);
	const client = await setup.connect();
	await client.query('CREATE TABLE t (id int PRIMARY KEY, note text)');
	await client.query("INSERT INTO t VALUES (1, 'one'), (2, 'two')");
	const simple = await client.query('SELECT note FROM t ORDER BY id');
	t.strictSame(simple.rows, [{note: 'one'}, {note: 'two'}]);
	const extended = await client.query('SELECT note FROM t WHERE id = $1', [2]);
	t.strictSame(extended.rows, [{note: 'two'}]);
	t.equal(
		await rawCaller.findSqlState(client.query('SELECT * FROM nothing')),
		'42P01',
	);
	t.equal(
		await rawCaller.findSqlState(client.query('COPY t FROM STDIN')),
		'0A000',
	);
	const many = await client.query('SELECT 1 AS a; SELECT 2 AS a');
	t.equal((many as unknown as pg.QueryResult[]).length, 2);
	const none = await client.query('');
	t.equal(none.rowCount, null);
});

// Guards against a named statement that is missing on a connection or belongs to another session.
tap.test('prepared statements work on every connection', async (t) => {
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
	// The transaction holds one of the two connections.
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
tap.test('the unnamed statement belongs to its session', async (t) => {
	const setup = await start(t, {connections: 1});
	const owner = new rawCaller.RawCaller(setup.port);
	const other = new rawCaller.RawCaller(setup.port);
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
	const answer = await owner.takeMessages(4);
	t.equal(answer[3].toString('latin1').slice(-1), '7');
	const third = new rawCaller.RawCaller(setup.port);
	await third.startUp();
	third.socket.write(run);
	t.equal(await third.waitReady(1), 'EZ');
	const [refusal] = await third.takeMessages(1);
	t.equal(messages.findErrorField(refusal, 'C'), '26000');
});

// Guards against a transaction that is spread over several connections or continues after an error.
tap.test('a transaction is isolated and fails on an error', async (t) => {
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
		await rawCaller.findSqlState(client.query('INSERT INTO t VALUES (1)')),
		'23505',
	);
	t.equal(await rawCaller.findSqlState(client.query('SELECT 1')), '25P02');
	const ended = await client.query('COMMIT');
	t.equal(ended.command, 'ROLLBACK');
	const after = await other.query('SELECT * FROM t');
	t.equal(after.rowCount, 1);
});

// Guards against a COMMIT that stores a part of the transaction after a refusal by the adapter.
tap.test('a refusal fails the transaction', async (t) => {
	const setup = await start(t);
	const client = await setup.connect();
	await client.query('CREATE TABLE t (id int PRIMARY KEY)');
	await client.query('BEGIN');
	await client.query('INSERT INTO t VALUES (1)');
	t.equal(
		await rawCaller.findSqlState(client.query('COPY t FROM STDIN')),
		'0A000',
	);
	t.equal(
		await rawCaller.findSqlState(client.query('INSERT INTO t VALUES (2)')),
		'25P02',
	);
	t.equal(
		await rawCaller.findSqlState(
			client.query("SET hemlockarch.rank = 'urgent'"),
		),
		'25P02',
	);
	const ended = await client.query('COMMIT');
	t.equal(ended.command, 'ROLLBACK');
	const left = await client.query('SELECT * FROM t');
	t.equal(left.rowCount, 0);
});

// Guards against responses out of order when requests are pipelined or arrive byte by byte.
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
		const caller = new rawCaller.RawCaller(setup.port);
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
		const all = await caller.takeMessages(letters.length);
		const values = all
			.filter((one) => one[0] === messages.messageTypes.dataRow)
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

// Guards against a response that is withheld until Sync, and a commit before Sync.
tap.test('flush leaves the implicit transaction open', async (t) => {
	const setup = await start(t);
	const client = await setup.connect();
	await client.query('CREATE TABLE t (id int PRIMARY KEY)');
	const caller = new rawCaller.RawCaller(setup.port);
	await caller.startUp();
	const insert = Buffer.concat([
		serialize.parse({text: 'INSERT INTO t VALUES (1)'}),
		serialize.bind({}),
		serialize.execute(),
		serialize.flush(),
	]);
	caller.socket.write(insert);
	const first = await caller.takeMessages(3);
	t.strictSame(
		first.map((one) => String.fromCodePoint(one[0])),
		['1', '2', 'C'],
	);
	caller.socket.write(insert);
	const second = await caller.takeMessages(3);
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
	await caller.takeMessages(3);
	caller.socket.write(serialize.sync());
	await caller.waitReady(1);
	const stored = await client.query('SELECT * FROM t');
	t.equal(stored.rowCount, 1);
});

// Guards against a refusal after Flush that lets the statements before it commit.
tap.test('a refusal after flush rolls back the transaction', async (t) => {
	const setup = await start(t);
	const client = await setup.connect();
	await client.query('CREATE TABLE t (id int PRIMARY KEY)');
	for (const text of ['COPY t FROM STDIN', 'SHOW hemlockarch.rank']) {
		const caller = new rawCaller.RawCaller(setup.port);
		await caller.startUp();
		caller.socket.write(
			Buffer.concat([
				serialize.parse({text: 'INSERT INTO t VALUES (1)'}),
				serialize.bind({}),
				serialize.execute(),
				serialize.flush(),
				serialize.parse({text}),
				serialize.bind({}),
				serialize.execute(),
				serialize.sync(),
			]),
		);
		t.equal(await caller.waitReady(1), '12CEZ', text);
		caller.clear();
		caller.socket.write(serialize.query('SELECT * FROM t'));
		t.equal(await caller.waitReady(1), 'TCZ', 'no row was stored');
		caller.socket.destroy();
	}
});

// Guards against sessions that keep a connection because their driver routinely clears session state.
tap.test('clearing statements bind no connection', async (t) => {
	const setup = await start(t, {connections: 1});
	const client = await setup.connect({
		options: '-c hemlockarch.rank=background',
	});
	const other = await setup.connect();
	await client.query("SET hemlockarch.rank = 'urgent'");
	await client.query({name: 'one', text: 'SELECT 1 AS a', values: []});
	await client.query('DEALLOCATE one');
	await client.query('RESET ALL');
	await client.query('DISCARD ALL');
	const shown = await client.query('SHOW hemlockarch.rank');
	t.strictSame(shown.rows, [{'hemlockarch.rank': 'background'}]);
	const result = await other.query('SELECT 1 AS a');
	t.strictSame(result.rows, [{a: 1}]);
	await client.query('SET statement_timeout = 77');
	await client.query('DISCARD ALL');
	t.equal(
		await rawCaller.findSqlState(client.query('SHOW statement_timeout')),
		'42704',
		'the server removed the setting',
	);
});
