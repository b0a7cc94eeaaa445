/**
 * Splits the byte stream of a PostgreSQL caller into messages. A message begins with a type byte
 * and a 4-byte length that includes itself. Bytes are copied only for messages that span several
 * chunks. Peer links use `peek` and `take` for frames with a header of their own.
 */
import {Buffer} from 'node:buffer';

/** Bytes before the body of a message: the type byte and the length. */
export const headerBytes = 5;

/** Chunks below this size are merged with the next one. */
const mergedBytes = 64 * 1024;

/** Why no further message can be read from a stream. */
export type FrameProblem = 'tooLarge' | 'badLength';

/** Buffers chunks and returns whole messages. */
export class FrameReader {
	#laterChunks: Uint8Array[] = [];
	#buffer: Buffer = Buffer.alloc(0);
	#size = 0;

	readonly #maxMessageBytes: number;

	/** @param maxMessageBytes - Size of the largest accepted message, header included. */
	constructor(maxMessageBytes: number) {
		this.#maxMessageBytes = maxMessageBytes;
	}

	/** Bytes that were pushed and not taken yet. */
	get size(): number {
		return this.#size;
	}

	/** Chunks that hold these bytes. */
	get chunkCount(): number {
		return this.#laterChunks.length + 1;
	}

	push(chunk: Buffer): void {
		this.#size += chunk.length;
		if (this.#buffer.length === 0 && this.#laterChunks.length === 0) {
			this.#buffer = chunk;
		} else {
			this.#laterChunks.push(chunk);
			this.#mergeSmallChunks();
		}
	}

	/**
	 * Returns a buffer that begins with the next `length` bytes and may be longer, without taking
	 * them; undefined when they are incomplete.
	 */
	peek(length: number): Buffer | undefined {
		if (this.#size < length) {
			return undefined;
		}

		if (this.#buffer.length < length) {
			this.#buffer = Buffer.concat([this.#buffer, ...this.#laterChunks]);
			this.#laterChunks = [];
		}

		return this.#buffer;
	}

	/** Takes `length` bytes; undefined when they are incomplete. */
	take(length: number): Buffer | undefined {
		const buffer = this.peek(length);
		if (!buffer) {
			return undefined;
		}

		this.#buffer = buffer.subarray(length);
		this.#size -= length;
		if (this.#buffer.length === 0 && this.#laterChunks.length > 0) {
			this.#buffer = Buffer.concat(this.#laterChunks);
			this.#laterChunks = [];
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

		if (length + 1 > this.#maxMessageBytes) {
			return 'tooLarge';
		}

		return this.take(length + 1);
	}

	/** Drops what was pushed and not taken. */
	clear(): void {
		this.#laterChunks = [];
		this.#buffer = Buffer.alloc(0);
		this.#size = 0;
	}

	/** Keeps the number of chunks small when a message arrives in many pieces. */
	#mergeSmallChunks(): void {
		const chunks = this.#laterChunks;
		for (
			let last = chunks.at(-1)!, previous = chunks.at(-2);
			previous !== undefined &&
			previous.length < mergedBytes &&
			previous.length <= 2 * last.length;
			last = chunks.at(-1)!, previous = chunks.at(-2)
		) {
			chunks.splice(-2, 2, Buffer.concat([previous, last]));
		}
	}
}
