/**
 * Tracks whether a stream of response bytes ends with a whole message. Each chunk begins with a
 * message or continues the last one, and never ends inside a message header.
 */
import {headerBytes} from './frame-reader.js';

export class MessageBoundaryTracker {
	/** Bytes of the last message that have not arrived. */
	#remainingBytes = 0;

	/** True when the bytes so far end with a whole message. */
	get isAtBoundary(): boolean {
		return this.#remainingBytes === 0;
	}

	add(data: Uint8Array): void {
		let offset = this.#remainingBytes;
		while (offset + headerBytes <= data.length) {
			const length =
				(data[offset + 1] << 24) |
				(data[offset + 2] << 16) |
				(data[offset + 3] << 8) |
				data[offset + 4];
			offset += 1 + (length >>> 0);
		}

		this.#remainingBytes = offset - data.length;
	}
}
