import * as fastCheck from 'fast-check';
import tap from 'tap';
import type * as ids from '../../common/ids.js';
import type * as messages from '../../common/messages.js';
import * as frameCodec from './frame-codec.js';
import * as messageShapes from './message-shapes.js';

const runs = {numRuns: 3000, seed: 7};
const message: messages.PeerMessage = {
	type: 'forwardCancel',
	attempt: 7 as ids.AttemptId,
};

// Guards against bytes from a peer that end the process instead of the connection.
tap.test('random bytes are an error or a known message', async (t) => {
	fastCheck.assert(
		fastCheck.property(fastCheck.uint8Array({maxLength: 200}), (payload) => {
			const decoded = frameCodec.decodePayload(payload);
			return decoded.isErr() || typeof decoded.value.type === 'string';
		}),
		runs,
	);
	t.pass('no exception');
});

// Guards against a frame that was cut off or damaged on its way.
tap.test('damaged messages never throw', async (t) => {
	const payload = frameCodec
		.encodeFrame(message)
		.subarray(frameCodec.prefixBytes);
	t.same(frameCodec.decodePayload(payload)._unsafeUnwrap(), message);
	fastCheck.assert(
		fastCheck.property(
			fastCheck.nat(payload.length - 1),
			fastCheck.nat(payload.length - 1),
			fastCheck.nat(255),
			(length, index, value) => {
				const damaged = Uint8Array.from(payload);
				damaged[index] = value;
				frameCodec.decodePayload(damaged);
				frameCodec.decodePayload(damaged.subarray(0, length));
				return true;
			},
		),
		runs,
	);
});

// Guards against a malformed list of digests that reaches the reducer.
tap.test('digests of a wrong length are refused', async (t) => {
	const isValid = (known: unknown) =>
		messageShapes.hasValidShape('sync', {reply: true, deltas: [], known});
	t.ok(isValid(new Uint8Array(8)));
	t.notOk(isValid(new Uint8Array(7)));
	t.notOk(isValid([1, 2, 3, 4]));
});

/** A message with a text of this length, which repeats itself. */
function buildTextMessage(length: number): messages.PeerMessage {
	return {
		type: 'proposeChange',
		operation: 1,
		change: {
			type: 'configuration',
			configuration: {version: 2, text: 'route '.repeat(length / 6)},
		},
	};
}

// Guards against change logs and proposals that fill a link with texts that repeat themselves.
tap.test('a large text is packed and comes back whole', async (t) => {
	const large = buildTextMessage(300_000);
	const frame = frameCodec.encodeFrame(large);
	t.ok(frame.length < 30_000, `${frame.length} bytes`);
	const payload = frame.subarray(frameCodec.prefixBytes);
	t.same(frameCodec.decodePayload(payload)._unsafeUnwrap(), large);
});

// Guards against a stranger that expands a few bytes to as much memory as it likes.
tap.test('a packed payload above its limit is refused', async (t) => {
	const payload = frameCodec
		.encodeFrame(buildTextMessage(300_000))
		.subarray(frameCodec.prefixBytes);
	t.ok(frameCodec.decodePayload(payload, 16_384).isErr());
	t.ok(frameCodec.decodePayload(payload.subarray(0, 40)).isErr());
});
