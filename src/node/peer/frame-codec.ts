/**
 * Encodes peer messages as frames: a 4-byte big-endian payload length, then the payload in CBOR. The
 * payload of a large message with texts of operators is a zero byte and the deflated CBOR.
 */
import {Buffer} from 'node:buffer';
import * as zlib from 'node:zlib';
import * as cbor from 'cbor-x';
import * as neverthrow from 'neverthrow';
import type * as messages from '../../common/messages.js';
import * as frameKeys from './frame-keys.js';
import * as messageRoles from './message-roles.js';
import * as messageShapes from './message-shapes.js';

/** Bytes of the length prefix. */
export const prefixBytes = 4;

/** First byte of a packed payload; the CBOR of a message begins with that of a map. */
const packedMarker = 0;
/** Packing a smaller payload costs more processor time than its bytes are worth. */
const minPackedBytes = 4096;
/** Largest content of a packed payload. */
const maxPackedBytes = 16 * 1024 * 1024;

/** Messages with the texts of configurations and templates, which shrink to about a tenth. */
const packedTypes: ReadonlySet<messages.PeerMessage['type']> = new Set([
	'append',
	'installSnapshot',
	'proposeChange',
	'configurationRead',
	'leaseGranted',
	'templatePush',
]);

const codec = new cbor.Encoder({
	useRecords: false,
	mapsAsObjects: true,
	// Untagged byte strings are decoded as views of the frame instead of copies.
	tagUint8Array: false,
	variableMapSize: true,
	keyMap: Object.fromEntries(
		frameKeys.frameKeys.map((name, index) => [name, index]),
	),
});

/** Encodes one message with its length prefix. */
export function encodeFrame(
	message: messages.PeerMessage | messages.LinkMessage,
): Buffer {
	const payload = encodePayload(message);
	const frame = Buffer.allocUnsafe(prefixBytes + payload.length);
	frame.writeUInt32BE(payload.length, 0);
	frame.set(payload, prefixBytes);
	return frame;
}

function encodePayload(message: messages.PeerMessage): Buffer {
	const payload = codec.encode(message);
	if (
		!packedTypes.has(message.type) ||
		payload.length < minPackedBytes ||
		payload.length > maxPackedBytes
	) {
		return payload;
	}

	const packed = zlib.deflateRawSync(payload);
	return packed.length < payload.length
		? Buffer.concat([Buffer.of(packedMarker), packed])
		: payload;
}

/**
 * Decodes one payload; the error says why it is invalid.
 *
 * @param maxBytes - Largest content of a packed payload.
 */
export function decodePayload(
	payload: Uint8Array,
	maxBytes = maxPackedBytes,
): neverthrow.Result<messages.PeerMessage, string> {
	try {
		const content =
			payload[0] === packedMarker
				? zlib.inflateRawSync(payload.subarray(1), {
						maxOutputLength: Math.min(maxBytes, maxPackedBytes),
					})
				: payload;
		const message: unknown = codec.decode(content);
		if (
			typeof message === 'object' &&
			message !== null &&
			'type' in message &&
			typeof message.type === 'string' &&
			messageRoles.isMessageType(message.type)
		) {
			return messageShapes.hasValidShape(message.type, message)
				? neverthrow.ok(message as messages.PeerMessage)
				: neverthrow.err(
						`a ${message.type} message lacks fields or has wrong ones`,
					);
		}

		return neverthrow.err('the payload has no known message type');
	} catch (error) {
		return neverthrow.err(`the payload cannot be decoded: ${String(error)}`);
	}
}
