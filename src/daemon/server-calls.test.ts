import {Buffer} from 'node:buffer';
import * as net from 'node:net';
import tap from 'tap';
import type * as ids from '../common/ids.js';
import * as serverCalls from './server-calls.js';

const server = 's1' as ids.UpstreamId;

const context = {
	group: 'g' as ids.GroupId,
	leaderTerm: 1,
	isLeading: () => true,
};

function makeFrame(type: string, ...parts: Buffer[]): Buffer {
	const body = Buffer.concat(parts);
	const header = Buffer.alloc(5);
	header.write(type, 0, 'latin1');
	header.writeInt32BE(body.length + 4, 1);
	return Buffer.concat([header, body]);
}

function makeInt16(value: number): Buffer {
	const buffer = Buffer.alloc(2);
	buffer.writeInt16BE(value);
	return buffer;
}

function makeInt32(value: number): Buffer {
	const buffer = Buffer.alloc(4);
	buffer.writeInt32BE(value);
	return buffer;
}

const ready = makeFrame('Z', Buffer.from('I'));

/** Makes the answer to a simple query: one row of text columns. */
function makeRow(row: Readonly<Record<string, string>>): Buffer {
	const names = Object.keys(row);
	const fields = names.map((name) =>
		Buffer.concat([
			Buffer.from(`${name}\0`),
			makeInt32(0),
			makeInt16(0),
			makeInt32(25),
			makeInt16(-1),
			makeInt32(-1),
			makeInt16(0),
		]),
	);
	const values = Object.values(row).map((value) =>
		Buffer.concat([makeInt32(Buffer.byteLength(value)), Buffer.from(value)]),
	);
	return Buffer.concat([
		makeFrame('T', makeInt16(names.length), ...fields),
		makeFrame('D', makeInt16(names.length), ...values),
		makeFrame('C', Buffer.from('SELECT 1\0')),
		ready,
	]);
}

function makeError(code: string): Buffer {
	return Buffer.concat([
		makeFrame('E', Buffer.from(`SERROR\0C${code}\0Mrefused\0\0`)),
		ready,
	]);
}

/** Starts a fake server. `answer` gets each statement; when it returns undefined, nothing is sent. */
async function startServer(
	answer: (statement: string) => Buffer | undefined,
): Promise<{
	address: string;
	connections: () => number;
	close: () => void;
}> {
	const sockets = new Set<net.Socket>();
	let connections = 0;
	const listener = net.createServer((socket) => {
		connections++;
		sockets.add(socket);
		let isStarted = false;
		socket.on('error', () => undefined);
		socket.on('data', (data) => {
			if (!isStarted) {
				isStarted = true;
				socket.write(Buffer.concat([makeFrame('R', makeInt32(0)), ready]));
			} else if (String.fromCodePoint(data[0]) === 'Q') {
				const response = answer(data.toString('utf8', 5, data.length - 1));
				if (response) {
					socket.write(response);
				}
			}
		});
	});
	await new Promise<void>((resolve) => {
		listener.listen(0, '127.0.0.1', resolve);
	});
	const {port} = listener.address() as net.AddressInfo;
	return {
		address: `127.0.0.1:${port}`,
		connections: () => connections,
		close() {
			listener.close();
			for (const socket of sockets) {
				socket.destroy();
			}
		},
	};
}

const status = {
	server: 's1',
	role: 'primary',
	term: '3',
	position: '120',
	applied: '118',
	replicas: '[{"server":"s2","position":100}]',
};

// Guards against wrong statements, and against status numbers that are returned as text.
tap.test('requests call functions and status rows are parsed', async (t) => {
	const statements: string[] = [];
	const fake = await startServer((statement) => {
		statements.push(statement);
		return makeRow(status);
	});
	const client = serverCalls.createServerClient({user: 'u', database: 'd'});
	t.strictSame(
		await client.call(server, fake.address, {type: 'status'}, context),
		{
			type: 'answered',
			status: {
				...status,
				term: 3,
				position: 120,
				applied: 118,
				replicas: [{server: 's2', position: 100}],
			},
		},
	);
	await client.call(server, fake.address, {type: 'fence', term: 4}, context);
	await client.call(server, fake.address, {type: 'promote', term: 4}, context);
	await client.call(
		server,
		fake.address,
		{
			type: 'follow',
			term: 4,
			server: "s'2" as ids.UpstreamId,
			address: '127.0.0.1:9',
		},
		context,
	);
	t.strictSame(statements, [
		'SELECT * FROM hemlockarch.status()',
		'SELECT * FROM hemlockarch.fence(4)',
		'SELECT * FROM hemlockarch.promote(4)',
		"SELECT * FROM hemlockarch.follow(4, 's''2', '127.0.0.1:9')",
	]);
	t.equal(fake.connections(), 1);
	await client.dispose();
	fake.close();
});

// Guards against an error of the server that is reported as a missing answer, and against a
// connection that is closed because of it.
tap.test('server errors are reported and keep the connection', async (t) => {
	const fake = await startServer(() => makeError('HK101'));
	const client = serverCalls.createServerClient({user: 'u', database: 'd'});
	for (let call = 0; call < 2; call++) {
		t.match(
			await client.call(
				server,
				fake.address,
				{type: 'fence', term: 1},
				context,
			),
			{
				type: 'failed',
				sqlState: 'HK101',
			},
		);
	}

	t.equal(fake.connections(), 1);
	await client.dispose();
	fake.close();
});

// Guards against a call that never ends, and against another use of a connection that timed out.
tap.test('a timeout fails the call and closes the connection', async (t) => {
	let isSilent = true;
	const fake = await startServer(() =>
		isSilent ? undefined : makeRow(status),
	);
	const client = serverCalls.createServerClient({user: 'u', database: 'd'});
	const silent = await client.call(
		server,
		fake.address,
		{type: 'status'},
		context,
	);
	t.match(silent, {type: 'failed'});
	t.notOk('sqlState' in silent);
	isSilent = false;
	t.match(await client.call(server, fake.address, {type: 'status'}, context), {
		type: 'answered',
		status: {term: 3},
	});
	t.equal(fake.connections(), 2);
	fake.close();
	t.match(await client.call(server, fake.address, {type: 'status'}, context), {
		type: 'failed',
	});
	await client.dispose();
});
