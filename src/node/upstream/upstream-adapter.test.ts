import {Buffer} from 'node:buffer';
import * as net from 'node:net';
import * as serializer from 'pg-protocol/dist/serializer';
import tap, {type Test} from 'tap';
import * as upstreamHarness from '../../bench/upstream-harness.js';
import type * as ids from '../../common/ids.js';
import * as standin from '../../standin/index.js';

const {serialize} = serializer;
const host = '127.0.0.1';
const server = 's1' as ids.UpstreamId;

async function startServer(
	t: Test,
	faults: Partial<standin.Faults> = {},
): Promise<standin.StandInServer> {
	const standIn = new standin.StandInServer({
		group: 'ledger',
		server: 's1',
		dataCentre: 'khomas-a',
		faults: {connectTimeMs: 0, ...faults},
	});
	await standIn.start();
	t.teardown(async () => standIn.stop());
	return standIn;
}

type RelayState = {
	limit: number;
	/** Bytes of the newest connection. */
	passed: number;
};

/** Passes bytes on, and cuts the connection after `limit` bytes of the server's answers. */
async function startRelay(
	t: Test,
	target: string,
	state: RelayState,
): Promise<string> {
	const [, port] = target.split(':');
	const relay = net.createServer((inside) => {
		const outside = net.connect(Number(port), host);
		state.passed = 0;
		const cut = (): void => {
			inside.destroy();
			outside.destroy();
		};

		inside.on('error', cut).on('close', cut);
		outside.on('error', () => undefined);
		inside.on('data', (chunk: Buffer) => {
			outside.write(chunk);
		});
		outside.on('data', (chunk: Buffer) => {
			const left = state.limit - state.passed;
			state.passed += chunk.length;
			inside.write(chunk.subarray(0, Math.max(0, left)));
			if (state.passed >= state.limit) {
				inside.end();
				outside.destroy();
			}
		});
	});
	await new Promise<void>((resolve) => {
		relay.listen(0, host, resolve);
	});
	t.teardown(() => relay.close());
	return `${host}:${(relay.address() as net.AddressInfo).port}`;
}

// Guards against an execution that counts as not run although bytes left, or as complete when cut.
tap.test('connection lost at every byte', async (t) => {
	const standIn = await startServer(t);
	const state = {limit: Infinity, passed: 0};
	let checked = 0;
	const address = await startRelay(t, standIn.address, state);
	const whole = new upstreamHarness.UpstreamHarness(t, standIn.address);
	const first = await whole.open();
	const outcome = await whole.execute(first, serialize.query('SELECT 1'));
	const size = outcome.type === 'answered' ? outcome.tail.length : 0;
	const harness = new upstreamHarness.UpstreamHarness(t, address);
	for (let cut = 0; cut <= size; cut++) {
		state.limit = Infinity;
		const connection = await harness.open();
		state.limit = state.passed + cut;
		const found = await harness.runQuery(connection, 'SELECT 1');
		if (found !== (cut < size ? 'lost unknown' : 'TDCZ idle')) {
			t.fail(`after ${cut} of ${size} bytes: ${found}`);
		}

		checked++;
		if (cut === size) {
			const event = await harness.takeEvent();
			t.equal(event.type, 'connectionClosed', 'closed while idle');
		}
	}

	t.equal(checked, size + 1);
});

// Guards against a connection that is gone, or never opened, and a request that counts as run.
tap.test('nothing was sent', async (t) => {
	const standIn = await startServer(t);
	const harness = new upstreamHarness.UpstreamHarness(t, standIn.address);
	t.equal(
		await harness.runQuery(99 as ids.ConnectionId, 'SELECT 1'),
		'lost not run',
	);
	const connection = harness.startOpening();
	t.equal(await harness.runQuery(connection, 'SELECT 1'), 'lost not run');
	const other = await harness.open();
	await standIn.stop();
	const event = await harness.takeEvent();
	t.match(event, {type: 'connectionClosed', connection: other});
	const nowhere = new upstreamHarness.UpstreamHarness(t, `${host}:1`);
	nowhere.startOpening();
	t.match(await nowhere.takeEvent(), {type: 'connectionClosed'});
	const silent = net.createServer(() => undefined);
	await new Promise<void>((resolve) => {
		silent.listen(0, host, resolve);
	});
	const {port} = silent.address() as net.AddressInfo;
	const late = new upstreamHarness.UpstreamHarness(t, `${host}:${port}`, {
		connectTimeoutMs: 20,
	});
	late.startOpening();
	t.match(await late.takeEvent(), {
		message: 'no connection within the time limit',
	});
	silent.close();
});

// Guards against a request that runs twice with one key, or leaves a key behind when it failed.
tap.test('claimed keys', async (t) => {
	const standIn = await startServer(t);
	const harness = new upstreamHarness.UpstreamHarness(t, standIn.address);
	const connection = await harness.open();
	const claim = {claimKey: "it's k1"};
	await harness.runQuery(connection, 'CREATE TABLE t (id int PRIMARY KEY)');
	t.equal(
		await harness.runQuery(connection, 'INSERT INTO t VALUES (1)', claim),
		'CZ idle',
	);
	t.equal(
		await harness.runQuery(connection, 'INSERT INTO t VALUES (2)', claim),
		'keyUsed',
	);
	const other = {claimKey: 'k2'};
	t.equal(
		await harness.runQuery(connection, 'INSERT INTO t VALUES (1)', other),
		'EZ idle 23505',
	);
	const extended = Buffer.concat([
		serialize.parse({text: 'INSERT INTO t VALUES (3)'}),
		serialize.bind({}),
		serialize.execute(),
		serialize.sync(),
	]);
	t.equal(
		upstreamHarness.formatOutcome(
			await harness.execute(connection, extended, other),
		),
		'12CZ idle',
		'the failed request left the key free',
	);
	t.equal(
		upstreamHarness.formatOutcome(
			await harness.execute(connection, extended, other),
		),
		'keyUsed',
	);
	const third = {claimKey: 'k3', inTransaction: true};
	await harness.runQuery(connection, 'BEGIN', {kind: 'begin'});
	t.equal(
		await harness.runQuery(connection, 'INSERT INTO t VALUES (4)', third),
		'CZ inTransaction',
	);
	t.equal(
		await harness.runQuery(connection, 'INSERT INTO t VALUES (5)', third),
		'CZ inTransaction',
		'one claim serves the whole transaction',
	);
	t.equal(
		await harness.runQuery(connection, 'COMMIT', {kind: 'commit'}),
		'CZ idle',
	);
	await harness.runQuery(connection, 'BEGIN', {kind: 'begin'});
	t.equal(
		await harness.runQuery(connection, 'INSERT INTO t VALUES (6)', third),
		'EZ failed HK008',
	);
	t.equal(
		await harness.runQuery(connection, 'ROLLBACK', {kind: 'rollback'}),
		'CZ idle',
	);
	t.equal(
		await harness.runQuery(connection, 'SELECT * FROM t', {kind: 'read'}),
		'TDDDDCZ idle',
		'rows 1, 3, 4 and 5',
	);
});

// Guards against rows or acknowledgements that reach the caller before the reducer agrees.
tap.test('the end of an answer is kept back', async (t) => {
	const standIn = await startServer(t);
	const harness = new upstreamHarness.UpstreamHarness(t, standIn.address);
	const connection = await harness.open();
	const text = 'SELECT * FROM generate_series(1, 20000)';
	const read = await harness.execute(connection, serialize.query(text), {
		kind: 'read',
	});
	t.ok(read.type === 'answered' && read.relayed);
	t.match(upstreamHarness.formatOutcome(read), /^D*CZ idle$/v);
	const readBytes = Buffer.concat(harness.relayedChunks.splice(0));
	const many = serialize.query(`SELECT 1; ${text}`);
	const write = await harness.execute(connection, many);
	t.ok(write.type === 'answered' && !write.relayed, 'after CommandComplete');
	t.match(upstreamHarness.formatOutcome(write), /^TDCTD{20000}CZ idle$/v);
	t.ok(readBytes.length > 200_000);
});

async function wait(durationMs: number): Promise<false> {
	await new Promise((resolve) => {
		setTimeout(resolve, durationMs);
	});
	return false;
}

// Guards against memory that grows because a server is read faster than the sink takes data.
tap.test('a full sink pauses the server', async (t) => {
	const standIn = await startServer(t);
	const harness = new upstreamHarness.UpstreamHarness(t, standIn.address);
	const connection = await harness.open();
	const peer = 'entry' as ids.PeerId;
	const attempt = 7 as ids.AttemptId;
	const frames = serialize.query('SELECT * FROM generate_series(1, 50000)');
	harness.isSinkWritable = false;
	for (const type of ['peer', 'session'] as const) {
		const run = harness.execute(connection, frames, {
			kind: 'read',
			sink: type === 'peer' ? {type, peer, attempt} : {type, attempt},
		});
		let pauses = 0;
		for (let isFinished = false; !isFinished;) {
			const before = harness.relayedChunks.length;
			isFinished = await Promise.race([run.then(() => true), wait(5)]);
			if (!isFinished && harness.relayedChunks.length === before) {
				pauses++;
				harness.adapter.resumePeer(peer);
				harness.adapter.resumeAttempt(attempt);
			}
		}

		t.ok(pauses > 5, `${pauses} pauses with a ${type}`);
	}
});

// Guards against state, a transaction or a hanging Flush that the next session would meet.
tap.test('reset', async (t) => {
	const standIn = await startServer(t);
	const harness = new upstreamHarness.UpstreamHarness(t, standIn.address);
	const connection = await harness.open();
	await harness.runQuery(connection, 'CREATE TABLE t (id int)');
	await harness.runQuery(connection, "SET statement_timeout = '77'", {
		kind: 'sessionState',
	});
	await harness.runQuery(connection, 'BEGIN; INSERT INTO t VALUES (1)');
	const broken = Buffer.concat([
		serialize.parse({text: 'SELEC 1'}),
		serialize.flush(),
	]);
	const failed = await harness.execute(connection, broken);
	t.match(upstreamHarness.formatOutcome(failed), /^E failed/v);
	harness.adapter.handle({type: 'resetConnection', connection});
	t.match(await harness.takeEvent(), {type: 'connectionReset', connection});
	t.equal(
		await harness.runQuery(connection, 'SELECT * FROM t', {kind: 'read'}),
		'TCZ idle',
	);
	const shown = await harness.execute(
		connection,
		serialize.query('SHOW statement_timeout'),
		{kind: 'read'},
	);
	t.notOk(shown.type === 'answered' && Buffer.from(shown.tail).includes('77'));
});

// Guards against statements that are missing after they fell out of a connection, or pile up.
tap.test('prepared statements of a connection are bounded', async (t) => {
	const standIn = await startServer(t);
	const harness = new upstreamHarness.UpstreamHarness(t, standIn.address, {
		preparedStatements: 3,
	});
	const connection = await harness.open();
	const names = ['a', 'b', 'c', 'd', 'e', 'a', 'e', 'b'];
	for (const name of names) {
		const frames = Buffer.concat([
			serialize.bind({statement: name}),
			serialize.execute(),
			serialize.sync(),
		]);
		const parse = serialize.parse({name, text: `SELECT '${name}'`});
		const outcome = await harness.execute(connection, frames, {
			kind: 'read',
			payload: {frames, prepared: [{name, parse}]},
		});
		t.equal(upstreamHarness.formatOutcome(outcome), '2DCZ idle', name);
		t.ok(
			outcome.type === 'answered' &&
				Buffer.from(outcome.tail).includes(`\u0001${name}C`),
		);
	}
});

// Guards against a silent poll connection that is never replaced, and against wrong status values.
tap.test('polls', async (t) => {
	const standIn = await startServer(t);
	const harness = new upstreamHarness.UpstreamHarness(t, standIn.address, {
		pollTimeoutMs: 1500,
	});
	const older = new upstreamHarness.UpstreamHarness(t, standIn.address);
	const poll = {
		type: 'poll',
		server,
		address: standIn.address,
		epoch: {consensusTerm: 3, counter: 1},
		delayMs: 0,
	} as const;
	await older.open();
	harness.adapter.handle(poll);
	t.match(await harness.takeEvent(), {
		type: 'pollAnswered',
		status: {server: 's1', role: 'primary', term: 1, replicas: []},
	});
	t.match(
		await older.takeEvent(),
		{type: 'connectionClosed'},
		'a lower epoch ended',
	);
	await standIn.setFaults({freeze: true});
	harness.adapter.handle(poll);
	harness.adapter.handle(poll);
	t.match(await harness.takeEvent(), {type: 'pollFailed'});
	t.match(await harness.takeEvent(), {type: 'pollFailed'});
	await standIn.setFaults({freeze: false});
	harness.adapter.handle(poll);
	t.match(await harness.takeEvent(), {type: 'pollAnswered'});
	harness.adapter.handle({type: 'stopPolling', server});
});
