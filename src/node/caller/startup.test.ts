import {Buffer} from 'node:buffer';
import {EventEmitter} from 'node:events';
import type * as net from 'node:net';
import * as timers from 'node:timers/promises';
import * as fc from 'fast-check';
import tap from 'tap';
import * as password from './password.js';
import * as startup from './startup.js';
import * as startupParameters from './startup-parameters.js';

const options = {seed: 20_261_206, numRuns: 300};

/** Records what is written. As an EventEmitter it stands for a socket. */
// eslint-disable-next-line unicorn/prefer-event-target
class FakeSocket extends EventEmitter {
	readonly written: Buffer[] = [];
	writableEnded = false;

	write(data: Uint8Array | string): boolean {
		if (this.writableEnded) {
			throw new Error('write after end');
		}

		this.written.push(Buffer.from(data as string, 'latin1'));
		return true;
	}

	end(data?: Uint8Array): void {
		if (data) {
			this.write(data);
		}

		this.writableEnded = true;
	}

	pause(): void {
		// Pieces are sent after the reader had time to process those before.
	}

	resume(): void {
		// As above.
	}

	destroy(): void {
		this.emit('close');
	}
}

/** Passes the bytes in pieces to a reader; resolves with the answers and the calls of the reader. */
async function runReader(
	bytes: Buffer,
	cuts: readonly number[],
	start: (socket: net.Socket, report: (event: unknown) => void) => void,
): Promise<string> {
	const socket = new FakeSocket();
	const events: unknown[] = [];
	let rest = Buffer.alloc(0);
	start(socket as unknown as net.Socket, (event) => {
		events.push(event);
	});
	let offset = 0;
	for (const cut of [...cuts, bytes.length]) {
		const piece = bytes.subarray(offset, offset + cut);
		offset = Math.min(offset + cut, bytes.length);
		if (socket.listenerCount('data') === 0) {
			rest = Buffer.concat([rest, piece]);
		}

		socket.emit('data', piece);
		await timers.setImmediate();
	}

	const hasEnded = socket.writableEnded;
	socket.destroy();
	return JSON.stringify([
		Buffer.concat(socket.written).toString('latin1'),
		hasEnded,
		events,
	]);
}

function buildPacket(code: number, body: Uint8Array, length?: number): Buffer {
	const head = Buffer.alloc(8);
	head.writeUInt32BE(length ?? 8 + body.length, 0);
	head.writeUInt32BE(code, 4);
	return Buffer.concat([head, body]);
}

const encryption = fc
	.constantFrom(80_877_103, 80_877_104)
	.map((code) => buildPacket(code, Buffer.alloc(0)));
const parameter = fc
	.constantFrom('user', 'database', 'options', '__proto__', 'a.b', 'x')
	.chain((key) =>
		fc.string({maxLength: 6}).map((value) => `${key}\0${value}\0`),
	);
const parameters = fc
	.array(parameter, {maxLength: 4})
	.map((pairs) => Buffer.from(`${pairs.join('')}\0`));
const body = fc.oneof(parameters, fc.uint8Array({maxLength: 30}));
const packet = fc.oneof(
	encryption,
	body.map((bytes) => buildPacket(196_608, bytes)),
	fc
		.tuple(fc.constantFrom(80_877_102, 80_877_103, 196_609, 0), body)
		.map(([code, bytes]) => buildPacket(code, bytes)),
	fc
		.tuple(fc.constantFrom(0, 7, 9, 10_001, 0xff_ff_ff_ff), body)
		.map(([length, bytes]) => buildPacket(196_608, bytes, length)),
	fc.uint8Array({maxLength: 12}).map((bytes) => Buffer.from(bytes)),
);
const cutSizes = fc.array(fc.integer({min: 1, max: 20}), {maxLength: 12});

// Guards against a startup that throws, is answered after its end, or depends on how the bytes are cut.
tap.test('any startup is accepted, refused or incomplete', async (t) => {
	const start = (
		socket: net.Socket,
		report: (event: unknown) => void,
	): void => {
		startup.readStartup(
			socket,
			{
				handleCancel(processId, key) {
					report(['cancel', processId, key]);
				},
				handleStartup(found) {
					report(startupParameters.parseStartup(found, {}));
				},
			},
			60_000,
		);
	};

	await fc.assert(
		fc.asyncProperty(
			fc.array(packet, {maxLength: 4}),
			cutSizes,
			async (packets, cuts) => {
				const bytes = Buffer.concat(packets);
				const whole = await runReader(bytes, [], start);
				const cut = await runReader(bytes, cuts, start);
				return whole === cut;
			},
		),
		options,
	);
	const flood = Buffer.concat(
		Array.from({length: 9}, () => buildPacket(80_877_104, Buffer.alloc(0))),
	);
	t.match(await runReader(flood, [], start), /^\["NNE.*08P01.*true,\[\]\]$/v);
});

// Guards against a message in place of a password that throws or is taken for a key.
tap.test('any password is a key or refused', async (t) => {
	const start = (
		socket: net.Socket,
		report: (event: unknown) => void,
	): void => {
		password.requestPassword(socket, Buffer.alloc(0), 60_000, (key) => {
			report(key);
		});
	};

	const message = fc
		.tuple(
			fc.constantFrom(0x70, 0x70, 0x51, 0),
			fc.oneof(
				fc.string({maxLength: 8}).map((text) => `${text}\0`),
				fc.string({maxLength: 8}),
			),
			fc.constantFrom(0, 0, 1, -1, 20_000),
		)
		.map(([type, text, difference]) => {
			const head = Buffer.from([type, 0, 0, 0, 0]);
			head.writeUInt32BE(4 + Buffer.byteLength(text) + difference, 1);
			return Buffer.concat([head, Buffer.from(text)]);
		});
	await fc.assert(
		fc.asyncProperty(message, cutSizes, async (bytes, cuts) => {
			const whole = await runReader(bytes, [], start);
			return whole === (await runReader(bytes, cuts, start));
		}),
		options,
	);
	t.pass('for all messages');
});
