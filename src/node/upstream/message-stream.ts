/**
 * Splits the byte stream of a server at message boundaries without copying whole messages. Large
 * data rows are handed over in parts, so that they need not be collected.
 */
import {Buffer} from 'node:buffer';
import * as frameReader from '../wire/frame-reader.js';
import * as messages from '../wire/messages.js';

/** Data rows above this size are handed over in parts. */
const partThreshold = 32 * 1024;
/** No message of a server may be larger, in bytes. */
const maxMessageBytes = 0x3f_ff_ff_ff;

export type MessageHandler = {
	/** A whole message: `chunk` from `start` to `end`. */
	handleMessage(code: number, chunk: Buffer, start: number, end: number): void;
	/** A part of a large data row; `missing` bytes of it follow. */
	handlePart(part: Buffer, missing: number): void;
	/** The stream is not PostgreSQL. */
	handleBadStream(): void;
};

export class MessageStream {
	/** The beginning of a message that is not complete. */
	#head: Buffer | undefined;
	/** Missing bytes of a data row that is handed over in parts. */
	#missing = 0;
	#isBad = false;
	readonly #handler: MessageHandler;

	constructor(handler: MessageHandler) {
		this.#handler = handler;
	}

	receive(chunk: Buffer): void {
		let offset = this.#finishPart(chunk, 0);
		if (this.#head) {
			offset = this.#finishHead(chunk, offset);
		}

		while (offset < chunk.length && !this.#isBad) {
			const available = chunk.length - offset;
			if (available < frameReader.headerBytes) {
				this.#head = chunk.subarray(offset);
				return;
			}

			const size = this.#readSize(chunk, offset);
			if (size <= available) {
				this.#handler.handleMessage(
					chunk[offset],
					chunk,
					offset,
					offset + size,
				);
				offset += size;
			} else {
				this.#startMessage(chunk.subarray(offset), size);
				return;
			}
		}
	}

	#readSize(chunk: Buffer, offset: number): number {
		const length = chunk.readUInt32BE(offset + 1);
		if (length < 4 || length > maxMessageBytes) {
			this.#isBad = true;
			this.#handler.handleBadStream();
			return Infinity;
		}

		return length + 1;
	}

	/** Keeps or hands over the beginning of a message. */
	#startMessage(beginning: Buffer, size: number): void {
		if (this.#isBad) {
			return;
		}

		if (
			beginning[0] === messages.messageTypes.dataRow &&
			size > partThreshold
		) {
			this.#missing = size - beginning.length;
			this.#handler.handlePart(beginning, this.#missing);
		} else {
			this.#head = beginning;
		}
	}

	#finishPart(chunk: Buffer, offset: number): number {
		if (this.#missing === 0) {
			return offset;
		}

		const end = Math.min(chunk.length, this.#missing);
		this.#missing -= end;
		this.#handler.handlePart(chunk.subarray(0, end), this.#missing);
		return end;
	}

	/** Completes the kept beginning with bytes of the chunk; returns the offset after them. */
	#finishHead(chunk: Buffer, offset: number): number {
		let head = this.#head!;
		const forHeader = frameReader.headerBytes - head.length;
		if (forHeader > 0) {
			const end = Math.min(chunk.length, offset + forHeader);
			head = Buffer.concat([head, chunk.subarray(offset, end)]);
			offset = end;
			this.#head = head;
			if (head.length < frameReader.headerBytes) {
				return offset;
			}
		}

		const size = this.#readSize(head, 0);
		if (this.#isBad) {
			return chunk.length;
		}

		const end = Math.min(chunk.length, offset + size - head.length);
		const joined = Buffer.concat([head, chunk.subarray(offset, end)]);
		this.#head = undefined;
		if (joined.length === size) {
			this.#handler.handleMessage(joined[0], joined, 0, size);
		} else {
			this.#startMessage(joined, size);
		}

		return end;
	}
}
