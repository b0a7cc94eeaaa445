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
	limitBytes: number;
	/** Bytes of the server's answers on the newest connection. */
	forwardedBytes: number;
};

/** Starts a relay that closes the connection after `limitBytes` of the server's answers. */
async function startRelay(
	t: Test,
	target: string,
	state: RelayState,
): Promise<string> {
	const [, port] = target.split(':');
	const relay = net.createServer((clientSocket) => {
		const serverSocket = net.connect(Number(port), host);
		state.forwardedBytes = 0;
		const closeSockets = (): void => {
			clientSocket.destroy();
			serverSocket.destroy();
		};

		clientSocket.on('error', closeSockets).on('close', closeSockets);
		serverSocket.on('error', () => undefined);
		clientSocket.on('data', (chunk: Buffer) => {
			serverSocket.write(chunk);
		});
		serverSocket.on('data', (chunk: Buffer) => {
			const remainingBytes = state.limitBytes - state.forwardedBytes;
			state.forwardedBytes += chunk.length;
			clientSocket.write(chunk.subarray(0, Math.max(0, remainingBytes)));
			if (state.forwardedBytes >= state.limitBytes) {
				clientSocket.end();
				serverSocket.destroy();
			}
		});
	});
	await new Promise<void>((resolve) => {
		relay.listen(0, host, resolve);
	});
	t.teardown(() => relay.close());
	return `${host}:${(relay.address() as net.AddressInfo).port}`;
}

// Guards against an execution that counts as not run although it was sent, or as answered although
// its answer is incomplete.
tap.test('an incomplete answer leaves the outcome unknown', async (t) => {
	const standIn = await startServer(t);
	const state = {limitBytes: Infinity, forwardedBytes: 0};
	let checked = 0;
	const address = await startRelay(t, standIn.address, state);
	const directHarness = new upstreamHarness.UpstreamHarness(t, standIn.address);
	const directConnection = await directHarness.openConnection();
	const outcome = await directHarness.execute(
		directConnection,
		serialize.query('SELECT 1'),
	);
	const size = outcome.type === 'answered' ? outcome.tail.length : 0;
	const harness = new upstreamHarness.UpstreamHarness(t, address);
	for (let answerBytes = 0; answerBytes <= size; answerBytes++) {
		state.limitBytes = Infinity;
		const connection = await harness.openConnection();
		state.limitBytes = state.forwardedBytes + answerBytes;
		const found = await harness.runQuery(connection, 'SELECT 1');
		if (found !== (answerBytes < size ? 'lost unknown' : 'TDCZ idle')) {
			t.fail(`after ${answerBytes} of ${size} bytes: ${found}`);
		}

		checked++;
		if (answerBytes === size) {
			const event = await harness.takeEvent();
			t.equal(event.type, 'connectionClosed', 'closed while idle');
		}
	}

	t.equal(checked, size + 1);
});

// Guards against a request that counts as run although its connection was closed or never opened.
tap.test('a request that was not sent counts as not run', async (t) => {
	const standIn = await startServer(t);
	const harness = new upstreamHarness.UpstreamHarness(t, standIn.address);
	t.equal(
		await harness.runQuery(99 as ids.ConnectionId, 'SELECT 1'),
		'lost not run',
	);
	const connection = harness.startOpening();
	t.equal(await harness.runQuery(connection, 'SELECT 1'), 'lost not run');
	const idleConnection = await harness.openConnection();
	await standIn.stop();
	const event = await harness.takeEvent();
	t.match(event, {type: 'connectionClosed', connection: idleConnection});
	const unreachableHarness = new upstreamHarness.UpstreamHarness(
		t,
		`${host}:1`,
	);
	unreachableHarness.startOpening();
	t.match(await unreachableHarness.takeEvent(), {type: 'connectionClosed'});
	const silentServer = net.createServer(() => undefined);
	await new Promise<void>((resolve) => {
		silentServer.listen(0, host, resolve);
	});
	const {port} = silentServer.address() as net.AddressInfo;
	const silentHarness = new upstreamHarness.UpstreamHarness(
		t,
		`${host}:${port}`,
		{
			connectTimeoutMs: 20,
		},
	);
	silentHarness.startOpening();
	t.match(await silentHarness.takeEvent(), {
		message: 'no connection within the time limit',
	});
	silentServer.close();
});

// Guards against a request that runs twice with one key, or that fails and still uses up its key.
tap.test('a key is claimed once, together with its request', async (t) => {
	const standIn = await startServer(t);
	const harness = new upstreamHarness.UpstreamHarness(t, standIn.address);
	const connection = await harness.openConnection();
	const firstClaim = {claimKey: "it's k1"};
	await harness.runQuery(connection, 'CREATE TABLE t (id int PRIMARY KEY)');
	t.equal(
		await harness.runQuery(connection, 'INSERT INTO t VALUES (1)', firstClaim),
		'CZ idle',
	);
	t.equal(
		await harness.runQuery(connection, 'INSERT INTO t VALUES (2)', firstClaim),
		'keyUsed',
	);
	const secondClaim = {claimKey: 'k2'};
	t.equal(
		await harness.runQuery(connection, 'INSERT INTO t VALUES (1)', secondClaim),
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
			await harness.execute(connection, extended, secondClaim),
		),
		'12CZ idle',
		'the failed request did not use up the key',
	);
	t.equal(
		upstreamHarness.formatOutcome(
			await harness.execute(connection, extended, secondClaim),
		),
		'keyUsed',
	);
	const transactionClaim = {claimKey: 'k3', inTransaction: true};
	await harness.runQuery(connection, 'BEGIN', {kind: 'begin'});
	t.equal(
		await harness.runQuery(
			connection,
			'INSERT INTO t VALUES (4)',
			transactionClaim,
		),
		'CZ inTransaction',
	);
	t.equal(
		await harness.runQuery(
			connection,
			'INSERT INTO t VALUES (5)',
			transactionClaim,
		),
		'CZ inTransaction',
		'one claim serves the whole transaction',
	);
	t.equal(
		await harness.runQuery(connection, 'COMMIT', {kind: 'commit'}),
		'CZ idle',
	);
	await harness.runQuery(connection, 'BEGIN', {kind: 'begin'});
	t.equal(
		await harness.runQuery(
			connection,
			'INSERT INTO t VALUES (6)',
			transactionClaim,
		),
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

// Guards against rows or acknowledgements that reach the caller before the reducer has decided.
tap.test('the tail of an answer is held back', async (t) => {
	const standIn = await startServer(t);
	const harness = new upstreamHarness.UpstreamHarness(t, standIn.address);
	const connection = await harness.openConnection();
	const text = 'SELECT * FROM generate_series(1, 20000)';
	const read = await harness.execute(connection, serialize.query(text), {
		kind: 'read',
	});
	t.ok(read.type === 'answered' && read.relayed);
	t.match(upstreamHarness.formatOutcome(read), /^D*CZ idle$/v);
	const readBytes = Buffer.concat(harness.relayedChunks.splice(0));
	const twoStatements = serialize.query(`SELECT 1; ${text}`);
	const write = await harness.execute(connection, twoStatements);
	t.ok(
		write.type === 'answered' && !write.relayed,
		'held back after CommandComplete',
	);
	t.match(upstreamHarness.formatOutcome(write), /^TDCTD{20000}CZ idle$/v);
	t.ok(readBytes.length > 200_000);
});

async function wait(durationMs: number): Promise<false> {
	await new Promise((resolve) => {
		setTimeout(resolve, durationMs);
	});
	return false;
}

// Guards against memory that grows because a server is read faster than the sink accepts data.
tap.test('a congested sink pauses reading from the server', async (t) => {
	const standIn = await startServer(t);
	const harness = new upstreamHarness.UpstreamHarness(t, standIn.address);
	const connection = await harness.openConnection();
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

// Guards against session state, a transaction or a failed Flush that affects the next session.
tap.test('a reset clears state, transaction and failed Flush', async (t) => {
	const standIn = await startServer(t);
	const harness = new upstreamHarness.UpstreamHarness(t, standIn.address);
	const connection = await harness.openConnection();
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

// Guards against evicted statements that are not prepared again, and statements that pile up.
tap.test('prepared statements are evicted and prepared again', async (t) => {
	const standIn = await startServer(t);
	const harness = new upstreamHarness.UpstreamHarness(t, standIn.address, {
		preparedStatements: 3,
	});
	const connection = await harness.openConnection();
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

// Guards against an unresponsive poll connection that is never replaced, and wrong status values.
tap.test('polls report the status and recover from a timeout', async (t) => {
	const standIn = await startServer(t);
	const harness = new upstreamHarness.UpstreamHarness(t, standIn.address, {
		pollTimeoutMs: 1500,
	});
	const olderHarness = new upstreamHarness.UpstreamHarness(t, standIn.address);
	const poll = {
		type: 'poll',
		server,
		address: standIn.address,
		epoch: {consensusTerm: 3, counter: 1},
		delayMs: 0,
	} as const;
	await olderHarness.openConnection();
	harness.adapter.handle(poll);
	t.match(await harness.takeEvent(), {
		type: 'pollAnswered',
		status: {server: 's1', role: 'primary', term: 1, replicas: []},
	});
	t.match(
		await olderHarness.takeEvent(),
		{type: 'connectionClosed'},
		'the session of a lower epoch was ended',
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
