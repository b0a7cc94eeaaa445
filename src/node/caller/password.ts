/**
 * Asks a new caller for its password, which is the key of a customer. Only the digest of the key leaves
 * this module.
 */
import {Buffer} from 'node:buffer';
import type * as net from 'node:net';
import type * as ids from '../../common/ids.js';
import * as keyDigest from '../key-digest.js';
import * as frameReader from '../wire/frame-reader.js';
import * as messages from '../wire/messages.js';

const maxMessageBytes = 10_000;
/** Code of AuthenticationCleartextPassword. */
const cleartextPasswordCode = 3;

/**
 * Requests the password; destroys the socket after `timeoutMs`.
 *
 * @param handleKey - Receives the digest and the bytes that followed the password.
 */
export function requestPassword(
	socket: net.Socket,
	firstBytes: Buffer,
	timeoutMs: number,
	handleKey: (key: ids.KeyDigest, remainder: Buffer) => void,
): void {
	const reader = new frameReader.FrameReader(maxMessageBytes);
	const timer = setTimeout(() => {
		stop();
		socket.destroy();
	}, timeoutMs);
	const stop = () => {
		clearTimeout(timer);
		socket.off('data', receive);
		socket.off('close', stop);
	};

	const receive = (chunk: Buffer) => {
		reader.push(chunk);
		const message = reader.read();
		if (message === undefined) {
			return;
		}

		stop();
		const password = readPassword(message);
		if (password === undefined) {
			socket.end(
				messages.buildErrorResponse('FATAL', '08P01', 'expected a password'),
			);
			return;
		}

		handleKey(
			keyDigest.computeKeyDigest(password),
			reader.take(reader.size) ?? Buffer.alloc(0),
		);
	};

	socket.on('data', receive);
	socket.once('close', stop);
	const code = Buffer.alloc(4);
	code.writeUInt32BE(cleartextPasswordCode);
	socket.write(
		messages.buildMessage(messages.messageTypes.authentication, [code]),
	);
	if (firstBytes.length > 0) {
		receive(firstBytes);
	}
}

function readPassword(
	message: Buffer | frameReader.FrameProblem,
): string | undefined {
	if (
		typeof message === 'string' ||
		message[0] !== messages.messageTypes.password
	) {
		return undefined;
	}

	const end = message.indexOf(0, frameReader.headerBytes);
	return end === message.length - 1
		? message.toString('utf8', frameReader.headerBytes, end)
		: undefined;
}
