import {Buffer} from 'node:buffer';
import * as serializer from 'pg-protocol/dist/serializer';
import tap from 'tap';
import type * as ids from '../../common/ids.js';
import type * as proxy from '../../common/proxy/types.js';
import * as messages from '../wire/messages.js';
import * as testing from './testing.js';

const {serialize} = serializer;

// Guards against a response that mixes bytes of two attempts, and late bytes in a later response.
tap.test('only one attempt answers a request', async (t) => {
	const setup = await testing.start(t);
	setup.socket.write(serialize.query('SELECT 1'));
	const request = await setup.waitRequest(1);
	testing.startAttempt(setup, request, 1);
	testing.startAttempt(setup, request, 2);
	setup.adapter.relay(2 as ids.AttemptId, messages.buildDataRow('second'));
	setup.adapter.relay(1 as ids.AttemptId, messages.buildDataRow('first'));
	testing.finish(setup, request, 2, 'done');
	setup.adapter.relay(1 as ids.AttemptId, messages.buildDataRow('late'));
	testing.finish(setup, request, 1, 'again');
	setup.socket.write(serialize.query('SELECT 2'));
	const next = await setup.waitRequest(2);
	setup.adapter.relay(1 as ids.AttemptId, messages.buildDataRow('late'));
	testing.startAttempt(setup, next, 3);
	testing.finish(setup, next, 3, 'next');
	await setup.wait(() => setup.readText().includes('next'));
	t.match(setup.readText(), /second.*done.*next/sv);
	t.notMatch(setup.readText(), /first|late|again/v);
});

// Guards against a response that begins with one attempt and ends with another.
tap.test('a response that mixes attempts closes the session', async (t) => {
	const setup = await testing.start(t);
	setup.socket.write(serialize.query('SELECT 1'));
	const request = await setup.waitRequest(1);
	testing.startAttempt(setup, request, 1);
	testing.startAttempt(setup, request, 2);
	setup.adapter.relay(1 as ids.AttemptId, messages.buildDataRow('first'));
	testing.finish(setup, request, 2, 'other');
	await setup.wait(() => setup.socket.destroyed);
	t.match(setup.readText(), /first.*FATAL.*08007/sv);
	t.notMatch(setup.readText(), /other/v);
	t.equal(setup.events.at(-1)?.type, 'sessionClosed');
});

// Guards against an error message that the caller would read as part of a row.
tap.test('a refusal inside a row closes the session', async (t) => {
	for (const [missing, isCut] of [
		[0, false],
		[100, true],
	] as const) {
		const setup = await testing.start(t);
		setup.socket.write(serialize.query('SELECT 1'));
		const request = await setup.waitRequest(1);
		testing.startAttempt(setup, request, 1);
		const row = messages.buildDataRow('x'.repeat(1000));
		const end = row.length - missing;
		setup.adapter.relay(1 as ids.AttemptId, row.subarray(0, 500));
		setup.adapter.relay(1 as ids.AttemptId, row.subarray(500, end));
		setup.adapter.handle({
			type: 'refuseRequest',
			session: request.session,
			request: request.request,
			sqlState: '08007',
			message: 'lost',
			transactionStatus: 'idle',
		});
		await setup.wait(
			() => setup.socket.destroyed || setup.readText().endsWith('\u0005I'),
		);
		t.equal(setup.readText().includes('08007'), !isCut);
		t.equal(setup.socket.destroyed, isCut);
	}
});

// Guards against a refusal that sends too few or too many ReadyForQuery messages.
tap.test('frames after a refusal are ignored up to Sync', async (t) => {
	const setup = await testing.start(t);
	const parse = serialize.parse({text: 'INSERT INTO t VALUES (1)'});
	const run = Buffer.concat([serialize.bind({}), serialize.execute()]);
	const refuse = (
		request: testing.Arrived,
		status: proxy.TransactionStatus,
	): void => {
		setup.adapter.handle({
			type: 'refuseRequest',
			session: request.session,
			request: request.request,
			sqlState: 'HK001',
			message: 'queue full',
			transactionStatus: status,
		});
	};

	const list = (): string =>
		setup
			.readText()
			.replaceAll(/E[\s\S]{4}S(?:ERROR)[\s\S]*?\0\0/gv, 'E')
			.replaceAll('Z\0\0\0\u0005', 'Z');
	setup.socket.write(Buffer.concat([parse, run, serialize.sync()]));
	refuse(await setup.waitRequest(1), 'idle');
	await setup.wait(() => list() === 'EZI');
	setup.socket.write(
		Buffer.concat([parse, run, serialize.flush(), run, serialize.flush()]),
	);
	refuse(await setup.waitRequest(2), 'idle');
	await setup.wait(() => list() === 'EZIE');
	setup.socket.write(Buffer.concat([run, serialize.sync()]));
	await setup.wait(() => list() === 'EZIEZI');
	setup.socket.write(serialize.query('SELECT 1'));
	const last = await setup.waitRequest(3);
	t.equal(last.kind, 'read', 'frames up to Sync were ignored');
});

// Guards against unbounded memory when a caller keeps sending while its first request is running.
tap.test('reading pauses while the request queue is full', async (t) => {
	const setup = await testing.start(t, {queuedRequests: 5});
	const one = serialize.query(`SELECT '${'x'.repeat(60_000)}'`);
	let sent = 0;
	while (setup.socket.writableLength < 3_000_000) {
		setup.socket.write(one);
		sent++;
		await new Promise((resolve) => {
			setImmediate(resolve);
		});
	}

	const first = await setup.waitRequest(1);
	t.equal(
		setup.events.filter((event) => event.type === 'requestArrived').length,
		1,
		'one request at a time',
	);
	let request = first;
	for (let index = 1; index <= sent; index++) {
		testing.startAttempt(setup, request, index);
		testing.finish(setup, request, index, `tag${index}`);
		if (index < sent) {
			request = await setup.waitRequest(index + 1);
		}
	}

	await setup.wait(() => setup.readText().includes(`tag${sent}\0`));
	t.ok(sent > 20);
});

// Guards against unbounded memory when a caller does not read its results.
tap.test('the session of a caller that does not read is closed', async (t) => {
	const setup = await testing.start(t, {sendBufferBytes: 500_000});
	setup.socket.write(serialize.query('SELECT 1'));
	const request = await setup.waitRequest(1);
	testing.startAttempt(setup, request, 1);
	setup.socket.pause();
	const data = messages.buildDataRow('x'.repeat(100_000));
	let refused = 0;
	while (setup.events.at(-1)?.type !== 'sessionClosed') {
		refused += setup.adapter.relay(1 as ids.AttemptId, data) ? 0 : 1;
	}

	t.ok(refused > 0, 'producers are asked to pause first');
	t.strictSame(setup.drained, [1], 'and to resume after the session is closed');
});

// Guards against a request that is dispatched with the kind of another statement.
tap.test('an extended request has the kind of its statements', async (t) => {
	const setup = await testing.start(t);
	const sequences: ReadonlyArray<readonly [proxy.RequestKind, Uint8Array[]]> = [
		['read', [serialize.parse({name: 'w', text: 'DELETE FROM t'})]],
		['write', [serialize.bind({statement: 'w'}), serialize.execute()]],
		['read', [serialize.describe({type: 'S', name: 'w'})]],
		[
			'read',
			[serialize.parse({text: 'SELECT 1'}), serialize.bind({portal: 'p'})],
		],
		['read', [serialize.execute({portal: 'p'})]],
		['write', [serialize.execute({portal: 'unknown'})]],
		['write', [serialize.bind({statement: 'unknown'})]],
		[
			'write',
			[
				serialize.bind({}),
				serialize.execute(),
				serialize.bind({statement: 'w'}),
				serialize.execute(),
			],
		],
		['read', []],
	];
	for (const [index, [kind, frames]] of sequences.entries()) {
		setup.socket.write(Buffer.concat([...frames, serialize.sync()]));
		const request = await setup.waitRequest(index + 1);
		t.equal(request.kind, kind, `sequence ${index}`);
		if (index === 1) {
			t.match(
				request.payload.prepared?.map(({name}) => name),
				[/^h[\da-f]{16}_1_1$/v],
			);
		}

		testing.startAttempt(setup, request, index + 1);
		testing.finish(setup, request, index + 1, 'x');
	}
});
