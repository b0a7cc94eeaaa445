/**
 * Follows whether a stream of response bytes ends with a whole message. Each piece begins with a
 * message or continues the last one, and never ends inside a message header.
 */
import {headerBytes} from './frame-reader.js';

export class MessageBoundaryTracker {
	/** Missing bytes of the last message. */
	#missing = 0;

	/** True when the bytes so far end with a whole message. */
	get isAtBoundary(): boolean {
		return this.#missing === 0;
	}

	add(data: Uint8Array): void {
		let offset = this.#missing;
		while (offset + headerBytes <= data.length) {
			offset +=
				1 +
				((data[offset + 1] << 24) |
					(data[offset + 2] << 16) |
					(data[offset + 3] << 8) |
					data[offset + 4]);
		}

		this.#missing = offset - data.length;
	}
}
