import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import * as net from 'node:net';
import * as serializer from 'pg-protocol/dist/serializer';
import tap from 'tap';
import * as directDriver from '../../bench/direct-driver.js';
import type * as ids from '../../common/ids.js';
import * as resourceGuard from '../limits/resource-guard.js';
import * as messages from '../wire/messages.js';
import * as testing from './testing.js';

const {serialize} = serializer;
const insert = serialize.query('INSERT INTO t VALUES (1)');
const session = 1 as ids.SessionId;
const attempt = 1 as ids.AttemptId;

/** Waits for the end of the connection; returns the severities and SQLSTATEs of the received errors. */
async function readErrors(setup: testing.Setup): Promise<string[]> {
	await setup.wait(() => setup.socket.destroyed);
	return [
		...setup
			.readText()
			.matchAll(/S(?<severity>ERROR|FATAL)\0V.*?\0C(?<state>.{5})\0/gsv),
	].map(({groups}) => `${groups!.severity} ${groups!.state}`);
}

// Guards against a process that ends without a word to its callers, and against a claim that a request
// has not run.
tap.test('the end of the process is told to all callers', async (t) => {
	for (const [isSent, isStarted, expected] of [
		[false, false, 'FATAL 57P01'],
		[true, false, 'FATAL 57P01'],
		[true, true, 'FATAL 08007'],
	] as const) {
		const setup = await testing.start(t);
		if (isSent) {
			setup.socket.write(Buffer.concat([insert, insert]));
			const request = await setup.waitRequest(1);
			if (isStarted) {
				testing.startAttempt(setup, request, attempt);
			}
		}

		await setup.adapter.dispose();
		t.strictSame(await readErrors(setup), [expected]);
	}
});

// Guards against answers and errors that were written but not sent when the process ends.
tap.test('the end of the process loses no answer', async (t) => {
	const setup = await testing.start(t);
	setup.socket.write(serialize.query('SELECT 1'));
	const request = await setup.waitRequest(1);
	testing.startAttempt(setup, request, attempt);
	setup.socket.pause();
	const row = messages.buildDataRow('x'.repeat(100_000));
	for (let index = 0; index < 100; index++) {
		setup.adapter.relay(attempt, row);
	}

	testing.finish(setup, request, attempt, 'all rows');
	setup.adapter.handle({
		type: 'closeSession',
		session,
		sqlState: '57P01',
		message: 'the proxy is shutting down',
	});
	const disposed = setup.adapter.dispose();
	setup.socket.resume();
	await disposed;
	t.strictSame(await readErrors(setup), ['FATAL 57P01']);
	t.ok(setup.readText().includes('all rows'));
});

// Guards against a process that waits forever for a caller that does not close its connection.
tap.test('the end of the process is bounded', async (t) => {
	const setup = await testing.start(t);
	setup.socket.pause();
	const startedAt = directDriver.monotonicClock.now();
	await setup.adapter.dispose();
	t.ok(directDriver.monotonicClock.now() - startedAt < 1000);
});

// Guards against a process whose end fails because a caller resets its connection.
tap.test('a reset does not disturb the end of the process', async (t) => {
	const setup = await testing.start(t);
	setup.socket.pause();
	const disposed = setup.adapter.dispose();
	setup.socket.resetAndDestroy();
	await t.resolves(disposed);
});

// Guards against the code of a request that was not run for one that may have run.
tap.test('a closed session has a truthful code', async (t) => {
	for (const [isStarted, expected] of [
		[false, 'FATAL 57P01'],
		[true, 'FATAL 08007'],
	] as const) {
		const setup = await testing.start(t);
		setup.socket.write(insert);
		const request = await setup.waitRequest(1);
		if (isStarted) {
			testing.startAttempt(setup, request, attempt);
		}

		setup.adapter.handle({
			type: 'closeSession',
			session,
			sqlState: '57P01',
			message: 'the proxy is shutting down',
		});
		t.strictSame(await readErrors(setup), [expected]);
	}
});

// Guards against an error for a malformed message that is taken for the answer to an earlier request.
tap.test('requests before a malformed message are answered', async (t) => {
	for (const [malformed, expected] of [
		[[0x51, 0, 0, 0, 1], 'FATAL 08P01'],
		[[0x51, 0x7f, 0, 0, 0], 'FATAL 54000'],
	] as const) {
		const setup = await testing.start(t);
		setup.socket.write(Buffer.concat([insert, insert, Buffer.from(malformed)]));
		for (const count of [1, 2]) {
			const request = await setup.waitRequest(count);
			testing.startAttempt(setup, request, count);
			testing.finish(setup, request, count, `answer ${count}`);
		}

		t.strictSame(await readErrors(setup), [expected]);
		t.match(setup.readText(), /answer 1.*answer 2.*FATAL/sv);
	}
});

// Guards against an error inside a row, where the caller takes it for data.
tap.test('no error is written inside a row', async (t) => {
	const setup = await testing.start(t, {sendBufferBytes: 500_000});
	setup.socket.write(serialize.query('SELECT 1'));
	testing.startAttempt(setup, await setup.waitRequest(1), attempt);
	setup.socket.pause();
	setup.adapter.relay(
		attempt,
		messages.buildDataRow('x'.repeat(9_000_000)).subarray(0, -1),
	);
	t.equal(setup.events.at(-1)?.type, 'sessionClosed');
	setup.socket.resume();
	t.strictSame(await readErrors(setup), []);
});

// Guards against a caller that is closed for memory without learning what became of its request.
tap.test('a session that is shed has a truthful code', async (t) => {
	for (const [isStarted, expected] of [
		[false, 'FATAL 53200'],
		[true, 'FATAL 08007'],
	] as const) {
		const guard = resourceGuard.createDefaultGuard(
			directDriver.monotonicClock,
			{write: () => undefined},
		);
		const clients: resourceGuard.Client[] = [];
		const openAccount = guard.openAccount.bind(guard);
		guard.openAccount = (client) => {
			clients.push(client);
			return openAccount(client);
		};

		const setup = await testing.start(t, {}, {guard});
		setup.socket.write(insert);
		const request = await setup.waitRequest(1);
		if (isStarted) {
			testing.startAttempt(setup, request, attempt);
		}

		clients[0].shed();
		t.strictSame(await readErrors(setup), [expected]);
	}
});

// Guards against requests that are left without an answer and do not show in the log or the metrics.
tap.test('requests without an answer are logged and counted', async (t) => {
	const counts: Array<[string, number]> = [];
	const lines: unknown[] = [];
	const setup = await testing.start(
		t,
		{},
		{
			countEvent(name, amount) {
				counts.push([name, amount]);
			},
			logger: {
				write({message, fields}) {
					lines.push([message, fields?.stage, fields?.cause]);
				},
			},
		},
	);
	setup.socket.write(Buffer.concat([insert, insert, insert]));
	testing.startAttempt(setup, await setup.waitRequest(1), attempt);
	setup.adapter.relay(attempt, messages.buildDataRow('cut').subarray(0, -1));
	setup.adapter.handle({
		type: 'closeSession',
		session,
		sqlState: 'XX000',
		message: 'an internal error',
	});
	t.strictSame(await readErrors(setup), []);
	t.strictSame(counts, [
		['unansweredRequests', 1],
		['unansweredRequests', 2],
	]);
	t.strictSame(lines, [
		['Left without an answer', 'running', 'an internal error'],
		['Left without an answer', 'queued', 'an internal error'],
	]);
});

// Guards against a connection that is closed without an error before its startup is complete.
tap.test('a startup is told of the end of the process', async (t) => {
	const setup = await testing.start(t);
	const {remoteAddress, remotePort} = setup.socket;
	const caller = net.connect(remotePort!, remoteAddress);
	await once(caller, 'connect');
	await new Promise((resolve) => {
		setTimeout(resolve, 20);
	});
	const [[answer]] = await Promise.all([
		once(caller, 'data') as Promise<[Buffer]>,
		setup.adapter.dispose(),
	]);
	t.equal(messages.findErrorField(answer, 'C'), '57P01');
});

// Guards against a message without room in memory that costs earlier requests their answers.
tap.test('requests before a lack of memory are answered', async (t) => {
	const guard = resourceGuard.createDefaultGuard(directDriver.monotonicClock, {
		write: () => undefined,
	});
	guard.hasRoom = () => false;
	const setup = await testing.start(t, {}, {guard});
	const large = serialize.query(`SELECT '${'x'.repeat(100_000)}'`);
	setup.socket.write(Buffer.concat([insert, large, insert]));
	const request = await setup.waitRequest(1);
	testing.startAttempt(setup, request, attempt);
	await setup.wait(() => setup.socket.writableLength === 0);
	testing.finish(setup, request, attempt, 'answer');
	t.strictSame(await readErrors(setup), ['FATAL 53200']);
	t.match(setup.readText(), /answer.*FATAL/sv);
});

// Guards against an error that never left the process and is taken for the answer to its requests.
tap.test('an error that cannot be sent is no answer', async (t) => {
	for (const [isRead, expected] of [
		[true, []],
		[false, [1, 1]],
	] as const) {
		const counts: number[] = [];
		const setup = await testing.start(
			t,
			{},
			{
				countEvent(_name, amount) {
					counts.push(amount);
				},
			},
		);
		setup.socket.write(Buffer.concat([insert, insert]));
		testing.startAttempt(setup, await setup.waitRequest(1), attempt);
		setup.socket.pause();
		const row = messages.buildDataRow('x'.repeat(100_000));
		for (let index = 0; index < 100; index++) {
			setup.adapter.relay(attempt, row);
		}

		const disposed = setup.adapter.dispose();
		if (isRead) {
			setup.socket.resume();
		}

		await disposed;
		t.strictSame(counts, expected);
	}
});
