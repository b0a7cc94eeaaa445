import {Buffer} from 'node:buffer';
import * as net from 'node:net';
import tap, {type Test} from 'tap';
import * as support from './test-support.js';
import * as wire from './wire.js';

/** Sends messages over a plain TCP socket and collects the type bytes of the responses. */
async function startSession(t: Test, port: number) {
	const socket = net.connect({host: '127.0.0.1', port});
	t.teardown(() => socket.destroy());
	const reader = new wire.MessageReader();
	reader.endStartupPhase();
	let answers = '';
	socket.on('data', (data) => {
		reader.add(data);
		for (let message = reader.take(); message; message = reader.take()) {
			answers += String.fromCodePoint(message.typeByte);
		}
	});
	const exchange = async (...messages: Buffer[]) => {
		answers = '';
		socket.write(Buffer.concat(messages));
		await support.waitUntil(() => answers.endsWith('Z'));
		return answers;
	};

	const version = Buffer.alloc(4);
	version.writeInt32BE(wire.protocolVersion);
	const startup = Buffer.concat([version, Buffer.from('user\0sanna\0\0')]);
	await exchange(makeMessage('', startup));
	return exchange;
}

function makeMessage(code: string, body: Buffer | string = ''): Buffer {
	const length = Buffer.alloc(4);
	const content = Buffer.from(body);
	length.writeInt32BE(content.length + 4);
	return Buffer.concat([Buffer.from(code), length, content]);
}

function makeExecute(maxRows: number): Buffer {
	return makeMessage('E', `\0\0\0\0${String.fromCodePoint(maxRows)}`);
}

/** Parse, Bind and Execute of the unnamed statement without parameters. */
function makeStatement(text: string, maxRows = 0): Buffer {
	return Buffer.concat([
		makeMessage('P', `\0${text}\0\0\0`),
		makeMessage('B', '\0\0\0\0\0\0\0\0'),
		makeExecute(maxRows),
	]);
}

const sync = makeMessage('S');

// Guards against statements that run although an earlier one in the pipeline failed, and against
// a failed pipeline that is committed in part although it is one transaction.
tap.test('an error skips to Sync and rolls back the pipeline', async (t) => {
	const server = await support.startServer(t);
	const client = await support.connect(t, server.port);
	await support.createOrders(client);
	const exchange = await startSession(t, server.port);
	const failed = await exchange(
		makeStatement("INSERT INTO orders VALUES (1, 'a')"),
		makeStatement('SELECT nothing'),
		makeStatement("INSERT INTO orders VALUES (2, 'b')"),
		sync,
	);
	t.equal(failed, '12C12EZ');
	const rowsAfterError = await client.query('SELECT id FROM orders');
	t.same(rowsAfterError.rows, []);
	const kept = await exchange(
		makeStatement("INSERT INTO orders VALUES (3, 'a')"),
		makeStatement("INSERT INTO orders VALUES (4, 'b')"),
		sync,
	);
	t.equal(kept, '12C12CZ');
	const rowsAfterCommit = await client.query('SELECT id FROM orders');
	t.same(rowsAfterCommit.rows, [{id: 3}, {id: 4}]);
});

// Guards against responses that are mixed up or lost when several statements arrive in one chunk.
tap.test('pipelined statements are answered in order', async (t) => {
	const server = await support.startServer(t, {faults: {serviceTimeMs: 2}});
	const exchange = await startSession(t, server.port);
	const answers = await exchange(
		makeStatement('SELECT 1'),
		makeStatement('SELECT 2'),
		sync,
	);
	t.equal(answers, '12DC12DCZ');
	const limited = await exchange(
		makeStatement('SELECT generate_series(1, 5) LIMIT 4', 3),
		makeExecute(3),
		sync,
	);
	t.equal(limited, '12DDDsDCZ');
});
