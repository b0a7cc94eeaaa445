import {Buffer} from 'node:buffer';
import {EventEmitter} from 'node:events';
import type * as net from 'node:net';
import * as fc from 'fast-check';
import tap from 'tap';
import type * as messages from '../../common/messages.js';
import * as frameCodec from './frame-codec.js';
import * as linkSocket from './link-socket.js';
import type * as linkTicker from './link-ticker.js';
import type * as types from './types.js';

const helloBytes = 300;

/** A socket that writes nothing. */
// eslint-disable-next-line unicorn/prefer-event-target
class FakeSocket extends EventEmitter {
	isDestroyed = false;

	setNoDelay(): void {
		// It has no delay.
	}

	destroy(): void {
		this.isDestroyed = true;
	}
}

/** Passes the bytes in pieces; returns the messages, and why the connection was closed. */
function receive(bytes: Buffer, cuts: readonly number[]): unknown[] {
	const found: unknown[] = [];
	const socket = new FakeSocket();
	const link = new linkSocket.LinkSocket(
		socket as unknown as net.Socket,
		{helloBytes, frameBytes: 1000, idleTimeoutMs: 1000} as types.LinkLimits,
		{pauseMs: 0} as linkTicker.LinkTicker,
		{
			handleMessage(message) {
				found.push(message.type);
				if (message.type === 'hello') {
					link.acceptLargeFrames();
				}
			},
			handleClose(reason) {
				found.push(reason);
			},
			handleDrain: () => undefined,
			handleOversizeMessage: () => undefined,
			recordFrame: () => undefined,
		},
	);
	let offset = 0;
	for (const cut of [...cuts, bytes.length]) {
		socket.emit('data', bytes.subarray(offset, offset + cut));
		offset = Math.min(offset + cut, bytes.length);
	}

	return [...found, socket.isDestroyed];
}

function buildFrame(payload: Uint8Array, length = payload.length): Buffer {
	const prefix = Buffer.alloc(frameCodec.prefixBytes);
	prefix.writeUInt32BE(length);
	return Buffer.concat([prefix, payload]);
}

const hello = {
	type: 'hello',
	peer: 'p1',
	role: 'proxy',
	incarnation: 1,
	protocol: 1,
} as unknown as messages.PeerMessage;
const ping: messages.PeerMessage = {type: 'linkPing', sequence: 1};
const valid = fc
	.constantFrom(hello, ping)
	.map((message) => frameCodec.encodeFrame(message));
const frame = fc.oneof(
	{weight: 3, arbitrary: valid},
	fc.uint8Array({maxLength: 20}).map((bytes) => Buffer.from(bytes)),
	fc.uint8Array({maxLength: 30}).map((payload) => buildFrame(payload)),
	fc
		.constantFrom(0, helloBytes + 1, 1001, 0xff_ff_ff_ff)
		.map((length) => buildFrame(Buffer.alloc(3), length)),
	fc
		.integer({min: 200, max: 1000})
		.map((size) => buildFrame(frameCodec.encodeFrame(ping).subarray(4), size)),
	fc.tuple(valid, fc.nat(60), fc.nat(255)).map(([bytes, offset, value]) => {
		const damaged = Buffer.from(bytes);
		damaged[offset % damaged.length] = value;
		return damaged;
	}),
);

// Guards against bytes of a peer that throw, or whose meaning depends on how they are cut.
tap.test('any cut of the bytes gives the same messages', async (t) => {
	fc.assert(
		fc.property(
			fc.array(frame, {maxLength: 5}),
			fc.array(fc.integer({min: 1, max: 60}), {maxLength: 30}),
			(frames, cuts) => {
				const bytes = Buffer.concat(frames);
				return (
					JSON.stringify(receive(bytes, cuts)) ===
					JSON.stringify(receive(bytes, []))
				);
			},
		),
		{seed: 20_261_206, numRuns: 2000},
	);
	t.pass('for all cuts');
});

// Guards against a stranger that makes a process buffer a large frame before its hello.
tap.test('frames are small before the hello', async (t) => {
	const large = buildFrame(Buffer.alloc(1), helloBytes + 1);
	t.match(receive(large, [1, 2]), [/exceeds the limit/v, true]);
	const greeted = Buffer.concat([frameCodec.encodeFrame(hello), large]);
	t.same(receive(greeted, []), ['hello', false]);
});
