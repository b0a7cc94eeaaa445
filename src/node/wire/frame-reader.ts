/**
 * Splits the byte stream of a PostgreSQL caller into messages: a type byte and a 4-byte length that
 * includes itself. Bytes are copied only for messages that span several chunks.
 */
import {Buffer} from 'node:buffer';

/** Bytes before the body: the type byte and the length. */
export const headerBytes = 5;

/** Why a stream cannot be split further. */
export type FrameProblem = 'tooLarge' | 'badLength';

/** Collects chunks and returns whole messages. */
export class FrameReader {
	#chunks: Uint8Array[] = [];
	#first: Buffer = Buffer.alloc(0);
	#size = 0;

	readonly #limit: number;

	/** `limit` is the size of the largest message in bytes, header included. */
	constructor(limit: number) {
		this.#limit = limit;
	}

	/** Bytes that were pushed and not returned yet. */
	get size(): number {
		return this.#size;
	}

	push(chunk: Buffer): void {
		this.#size += chunk.length;
		if (this.#first.length === 0 && this.#chunks.length === 0) {
			this.#first = chunk;
		} else {
			this.#chunks.push(chunk);
		}
	}

	/** Returns the next `length` bytes without taking them, or undefined when they are incomplete. */
	peek(length: number): Buffer | undefined {
		if (this.#size < length) {
			return undefined;
		}

		if (this.#first.length < length) {
			this.#first = Buffer.concat([this.#first, ...this.#chunks]);
			this.#chunks = [];
		}

		return this.#first;
	}

	/** Takes `length` bytes; undefined when they are incomplete. */
	take(length: number): Buffer | undefined {
		const buffer = this.peek(length);
		if (!buffer) {
			return undefined;
		}

		this.#first = buffer.subarray(length);
		this.#size -= length;
		if (this.#first.length === 0 && this.#chunks.length > 0) {
			this.#first = Buffer.concat(this.#chunks);
			this.#chunks = [];
		}

		return buffer.subarray(0, length);
	}

	/** Takes the next message; undefined when it is incomplete. */
	read(): Buffer | FrameProblem | undefined {
		const buffer = this.peek(headerBytes);
		if (!buffer) {
			return undefined;
		}

		const length = buffer.readUInt32BE(1);
		if (length < 4) {
			return 'badLength';
		}

		if (length + 1 > this.#limit) {
			return 'tooLarge';
		}

		return this.take(length + 1);
	}
}
