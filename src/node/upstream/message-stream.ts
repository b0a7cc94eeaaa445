/**
 * Splits the byte stream of a server into messages. A message that lies within one chunk is not
 * copied, and large data rows are passed on in parts, so that they need not be buffered.
 */
import {Buffer} from 'node:buffer';
import * as frameReader from '../wire/frame-reader.js';
import * as messages from '../wire/messages.js';

/** Incomplete data rows above this size are passed on in parts. */
const partialRowThresholdBytes = 32 * 1024;
/** A message with a larger length field is invalid. */
const maxMessageBytes = 0x3f_ff_ff_ff;

export type MessageHandler = {
	/** A whole message: `chunk` from `start` to `end`. */
	handleMessage(
		typeByte: number,
		chunk: Buffer,
		start: number,
		end: number,
	): void;
	/** A part of a large data row; `remainingBytes` bytes of the row follow. */
	handlePart(part: Buffer, remainingBytes: number): void;
	/** The stream contains an invalid message length. */
	handleInvalidStream(): void;
};

export class MessageStream {
	/** The beginning of a message whose end has not arrived. */
	#incompleteMessage: Buffer | undefined;
	/** Bytes of a partly passed-on data row that have not arrived. */
	#remainingRowBytes = 0;
	#isInvalid = false;
	readonly #handler: MessageHandler;

	constructor(handler: MessageHandler) {
		this.#handler = handler;
	}

	receive(chunk: Buffer): void {
		let offset = this.#continueRow(chunk, 0);
		if (this.#incompleteMessage) {
			offset = this.#completeMessage(chunk, offset);
		}

		while (offset < chunk.length && !this.#isInvalid) {
			const available = chunk.length - offset;
			if (available < frameReader.headerBytes) {
				this.#incompleteMessage = chunk.subarray(offset);
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
			this.#isInvalid = true;
			this.#handler.handleInvalidStream();
			return Infinity;
		}

		return length + 1;
	}

	/** Buffers the beginning of a message, or passes it on when it is a large data row. */
	#startMessage(beginning: Buffer, size: number): void {
		if (this.#isInvalid) {
			return;
		}

		if (
			beginning[0] === messages.messageTypes.dataRow &&
			size > partialRowThresholdBytes
		) {
			this.#remainingRowBytes = size - beginning.length;
			this.#handler.handlePart(beginning, this.#remainingRowBytes);
		} else {
			this.#incompleteMessage = beginning;
		}
	}

	#continueRow(chunk: Buffer, offset: number): number {
		if (this.#remainingRowBytes === 0) {
			return offset;
		}

		const end = Math.min(chunk.length, this.#remainingRowBytes);
		this.#remainingRowBytes -= end;
		this.#handler.handlePart(chunk.subarray(0, end), this.#remainingRowBytes);
		return end;
	}

	/** Appends bytes of the chunk to the buffered message; returns the offset after them. */
	#completeMessage(chunk: Buffer, offset: number): number {
		let beginning = this.#incompleteMessage!;
		const missingHeaderBytes = frameReader.headerBytes - beginning.length;
		if (missingHeaderBytes > 0) {
			const end = Math.min(chunk.length, offset + missingHeaderBytes);
			beginning = Buffer.concat([beginning, chunk.subarray(offset, end)]);
			offset = end;
			this.#incompleteMessage = beginning;
			if (beginning.length < frameReader.headerBytes) {
				return offset;
			}
		}

		const size = this.#readSize(beginning, 0);
		if (this.#isInvalid) {
			return chunk.length;
		}

		const end = Math.min(chunk.length, offset + size - beginning.length);
		const joined = Buffer.concat([beginning, chunk.subarray(offset, end)]);
		this.#incompleteMessage = undefined;
		if (joined.length === size) {
			this.#handler.handleMessage(joined[0], joined, 0, size);
		} else {
			this.#startMessage(joined, size);
		}

		return end;
	}
}
