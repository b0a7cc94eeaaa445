import {Buffer} from 'node:buffer';
import * as net from 'node:net';
import * as fc from 'fast-check';
import tap from 'tap';
import * as upstreamHarness from '../../bench/upstream-harness.js';
import * as messageBoundary from '../wire/message-boundary.js';
import * as messages from '../wire/messages.js';
import * as messageStream from './message-stream.js';
import * as serverSocket from './server-socket.js';
import * as statusRow from './status-row.js';

const options = {seed: 20_261_206, numRuns: 1000};
const letter = fc.constantFrom(
	...Object.values(messages.messageTypes),
	0,
	0xff,
);
const message = fc
	.tuple(letter, fc.uint8Array({maxLength: 40}))
	.map(([type, body]) => messages.buildMessage(type, [body]));
const largeRow = fc
	.integer({min: 30_000, max: 70_000})
	.map((size) => messages.buildMessage(0x44, [Buffer.alloc(size, 'x')]));
const wholeMessages = fc.array(
	fc.oneof({weight: 6, arbitrary: message}, largeRow),
	{maxLength: 6},
);
const sizes = fc.array(fc.integer({min: 1, max: 40_000}), {
	minLength: 1,
	maxLength: 4,
});

/** Returns what a stream reports for the bytes in chunks of these sizes; parts of a row are joined. */
function readStream(bytes: Buffer, chunkSizes: readonly number[]): unknown[] {
	const found: unknown[] = [];
	let row: Buffer[] = [];
	const stream = new messageStream.MessageStream({
		handleMessage(_typeByte, chunk, start, end) {
			found.push(chunk.toString('latin1', start, end));
		},
		handlePart(part, remainingBytes) {
			row.push(part);
			if (remainingBytes === 0) {
				found.push(Buffer.concat(row).toString('latin1'));
				row = [];
			}
		},
		handleInvalidStream() {
			found.push('invalid');
		},
	});
	let index = 0;
	for (let offset = 0; offset < bytes.length;) {
		const end = offset + chunkSizes[index++ % chunkSizes.length];
		stream.receive(Buffer.from(bytes.subarray(offset, end)));
		offset = end;
	}

	return found;
}

// Guards against answers that depend on how the bytes are cut, and invalid ones that are not noticed.
tap.test('any cut of the bytes gives the same messages', async (t) => {
	fc.assert(
		fc.property(
			wholeMessages,
			fc.uint8Array({maxLength: 12}),
			sizes,
			(whole, rest, chunkSizes) => {
				const bytes = Buffer.concat([...whole, rest]);
				const expected = readStream(bytes, [bytes.length + 1]);
				return (
					JSON.stringify(readStream(bytes, chunkSizes)) ===
					JSON.stringify(expected)
				);
			},
		),
		{...options, numRuns: 300},
	);
	t.pass('for all cuts');
});

// Guards against an endless loop on a length field, and a caller that gets an error inside a message.
tap.test('message boundaries are found in any bytes', async (t) => {
	fc.assert(
		fc.property(wholeMessages, (whole) => {
			const tracker = new messageBoundary.MessageBoundaryTracker();
			for (const data of whole) {
				tracker.add(data.subarray(0, 7));
				tracker.add(data.subarray(7));
			}

			return tracker.isAtBoundary;
		}),
		{...options, numRuns: 300},
	);
	fc.assert(
		fc.property(
			fc.array(fc.uint8Array({maxLength: 30}), {maxLength: 5}),
			(parts) => {
				const tracker = new messageBoundary.MessageBoundaryTracker();
				for (const part of parts) {
					tracker.add(part);
				}

				return typeof tracker.isAtBoundary === 'boolean';
			},
		),
		options,
	);
	const tracker = new messageBoundary.MessageBoundaryTracker();
	tracker.add(Buffer.from([0x44, 0xff, 0xff, 0xff, 0xff]));
	t.notOk(tracker.isAtBoundary);
});

// Guards against a status row that ends the process instead of being an invalid answer.
tap.test('malformed status rows are no status', async (t) => {
	const body = fc.oneof(
		fc.uint8Array({maxLength: 60}),
		fc
			.tuple(fc.nat(3), fc.uint8Array({maxLength: 40}))
			.map(([count, rest]) => Uint8Array.from([0, count, ...rest])),
	);
	fc.assert(
		fc.property(body, body, (columns, row) => {
			const names = statusRow.parseColumnNames(
				messages.buildMessage(0x54, [columns]),
			);
			const values = statusRow.parseValues(messages.buildMessage(0x44, [row]));
			return (
				names.length <= columns.length &&
				values.length <= row.length &&
				statusRow.parseStatus(names, values).isErr()
			);
		}),
		options,
	);
	fc.assert(
		fc.property(
			fc.constantFrom('', 'x', '[1]', '{}', '[{"server":1}]', 'null', '[null]'),
			fc.constantFrom('x', '-1', '1.5', '9'.repeat(400)),
			(replicas, term) => {
				const row = {server: 's', role: 'primary', position: '1', applied: '1'};
				const names = Object.keys({...row, term, replicas});
				const values = Object.values({...row, term, replicas});
				return statusRow.parseStatus(names, values).isErr();
			},
		),
		options,
	);
	t.pass('for all rows');
});

/** Starts a server that sends these bytes to each connection, and ends it unless it stays open. */
async function startServer(
	bytes: Buffer,
	staysOpen = false,
): Promise<{address: string; close(): void}> {
	const server = net.createServer((socket) => {
		socket.on('error', () => undefined);
		socket.write(bytes);
		if (!staysOpen) {
			socket.end();
		}
	});
	server.listen(0, '127.0.0.1');
	await new Promise((resolve) => {
		server.once('listening', resolve);
	});
	const {port} = server.address() as net.AddressInfo;
	return {
		address: `127.0.0.1:${port}`,
		close() {
			server.close();
		},
	};
}

/** Connects to a server that sends these bytes; resolves with how the connection ended. */
async function connectTo(bytes: Buffer): Promise<string> {
	const server = await startServer(bytes);
	const ended = await new Promise<string>((resolve) => {
		const socket = new serverSocket.ServerSocket(
			{
				address: server.address,
				epoch: {consensusTerm: 1, counter: 1},
				user: 'u',
				database: 'd',
				connectTimeoutMs: 2000,
			},
			{
				handleOpen: () => undefined,
				handleMessage: () => undefined,
				handlePart: () => undefined,
				handleClose(reason) {
					socket.buildCancelRequest();
					resolve(reason);
				},
			},
		);
	});
	server.close();
	return ended;
}

// Guards against a server whose answer to the startup ends the process.
tap.test('malformed startup answers close the connection', async (t) => {
	const invalid = 'the server sent an invalid PostgreSQL message';
	for (const [type, size] of [
		[messages.messageTypes.authentication, 0],
		[messages.messageTypes.authentication, 3],
		[messages.messageTypes.backendKeyData, 0],
		[messages.messageTypes.backendKeyData, 7],
	] as const) {
		const bytes = messages.buildMessage(type, [Buffer.alloc(size)]);
		t.equal(await connectTo(bytes), invalid, `${type} with ${size} bytes`);
	}

	await fc.assert(
		fc.asyncProperty(
			fc.array(message, {maxLength: 4}),
			fc.uint8Array({maxLength: 8}),
			async (whole, rest) => {
				const ended = await connectTo(Buffer.concat([...whole, rest]));
				return typeof ended === 'string';
			},
		),
		{...options, numRuns: 60},
	);
});

// Guards against notifications that pile up for a session that makes no request.
tap.test('unread notifications close the connection', async (t) => {
	const notification = messages.buildMessage(
		messages.messageTypes.notification,
		[Buffer.alloc(1000)],
	);
	const bytes = Buffer.concat([
		messages.buildMessage(messages.messageTypes.authentication, [
			Buffer.alloc(4),
		]),
		messages.getReadyForQuery('idle'),
		...Array.from({length: 12}, () => notification),
	]);
	const server = await startServer(bytes, true);
	t.teardown(() => {
		server.close();
	});
	const harness = new upstreamHarness.UpstreamHarness(t, server.address, {
		notificationBytes: 10_000,
	});
	await harness.openConnection();
	t.match(await harness.takeEvent(), {
		type: 'connectionClosed',
		message: 'the notifications exceed the buffer limit',
	});
});
