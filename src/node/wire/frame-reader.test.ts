import {Buffer} from 'node:buffer';
import * as fc from 'fast-check';
import tap from 'tap';
import * as frameReader from './frame-reader.js';

/** Pushes the bytes in pieces; returns the frames, or the problem that ends them. */
function readFrames(bytes: Buffer, cuts: readonly number[]): unknown[] {
	const reader = new frameReader.FrameReader(64);
	const found: unknown[] = [];
	let offset = 0;
	for (const cut of [...cuts, bytes.length]) {
		reader.push(bytes.subarray(offset, offset + cut));
		offset = Math.min(offset + cut, bytes.length);
		for (let frame = reader.read(); frame; frame = reader.read()) {
			if (typeof frame === 'string') {
				return [...found, frame];
			}

			found.push(frame.toString('latin1'));
		}
	}

	return found;
}

// Guards against frames that depend on how the bytes are cut.
tap.test('any cut of the bytes gives the same frames', async (t) => {
	const frame = fc.uint8Array({maxLength: 70}).map((body) => {
		const bytes = Buffer.alloc(5 + body.length);
		bytes.writeUInt32BE(4 + body.length, 1);
		bytes.set(body, 5);
		return bytes;
	});
	fc.assert(
		fc.property(
			fc.array(fc.oneof(frame, fc.uint8Array({maxLength: 9})), {maxLength: 6}),
			fc.array(fc.nat(9), {maxLength: 80}),
			(parts, cuts) => {
				const bytes = Buffer.concat(parts);
				return (
					JSON.stringify(readFrames(bytes, cuts)) ===
					JSON.stringify(readFrames(bytes, []))
				);
			},
		),
	);
	t.pass('for all cuts');
});

// Guards against an overhead for each piece of a message that arrives byte by byte.
tap.test('small pieces of a message are merged', async (t) => {
	const size = 200_000;
	const reader = new frameReader.FrameReader(size);
	const head = Buffer.from([0x51, 0, 0, 0, 0]);
	head.writeUInt32BE(size - 1, 1);
	reader.push(head);
	for (let sent = head.length; sent < size; sent++) {
		reader.push(Buffer.from('x'));
		if (reader.chunkCount > 40) {
			t.fail(`${reader.chunkCount} chunks`);
			return;
		}
	}

	t.equal((reader.read() as Buffer).length, size);
});
