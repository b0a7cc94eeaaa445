/**
 * The server side of PostgreSQL protocol 3 (PostgreSQL documentation, "Message Formats"): splits
 * the client's bytes into messages and encodes responses. Result values are always in text format.
 */
import {Buffer} from 'node:buffer';
import type * as types from './types.js';

/** A message of the client; `typeByte` is 0 for startup-phase messages, which have no type byte. */
export type FrontendMessage = {
	readonly typeByte: number;
	readonly body: Buffer;
};

/** Longest accepted message; a longer one is a protocol violation. */
const maxMessageBytes = 64 * 1024 * 1024;

/** Protocol number 3.0. */
export const protocolVersion = 196_608;
export const sslRequestCode = 80_877_103;
export const gssRequestCode = 80_877_104;
export const cancelRequestCode = 80_877_102;

/** PostgreSQL's own spelling of the encoding. */
// eslint-disable-next-line unicorn/text-encoding-identifier-case
export const utf8Name = 'UTF8';

const typeOids: Readonly<Record<types.ColumnType, number>> = {
	int4: 23,
	int8: 20,
	float8: 701,
	numeric: 1700,
	text: 25,
	bool: 16,
	timestamptz: 1184,
	json: 114,
	void: 2278,
};

/** Splits a byte stream into messages. */
export class MessageReader {
	private buffered: Buffer = Buffer.alloc(0);
	private isStartupDone = false;

	/** Expects a type byte in all later messages. */
	endStartupPhase(): void {
		this.isStartupDone = true;
	}

	add(data: Buffer): void {
		this.buffered =
			this.buffered.length === 0 ? data : Buffer.concat([this.buffered, data]);
	}

	/**
	 * Takes the next complete message.
	 *
	 * @returns The message, or undefined when more bytes are needed.
	 * @throws RangeError when the length is invalid.
	 */
	take(): FrontendMessage | undefined {
		const headerBytes = this.isStartupDone ? 5 : 4;
		if (this.buffered.length < headerBytes) {
			return undefined;
		}

		const length = this.buffered.readInt32BE(headerBytes - 4);
		if (length < 4 || length > maxMessageBytes) {
			throw new RangeError(`impossible message length ${length}`);
		}

		const total = headerBytes - 4 + length;
		if (this.buffered.length < total) {
			return undefined;
		}

		const message = {
			typeByte: this.isStartupDone ? this.buffered[0] : 0,
			body: this.buffered.subarray(headerBytes, total),
		};
		this.buffered = this.buffered.subarray(total);
		return message;
	}
}

/** Reads the fields of one message body. */
export class BodyReader {
	private offset = 0;

	private readonly body: Buffer;

	constructor(body: Buffer) {
		this.body = body;
	}

	get isAtEnd(): boolean {
		return this.offset >= this.body.length;
	}

	readInt16(): number {
		this.offset += 2;
		return this.body.readInt16BE(this.offset - 2);
	}

	readInt32(): number {
		this.offset += 4;
		return this.body.readInt32BE(this.offset - 4);
	}

	readByte(): string {
		this.offset += 1;
		return String.fromCodePoint(this.body[this.offset - 1]);
	}

	readText(): string {
		const end = this.body.indexOf(0, this.offset);
		if (end === -1) {
			throw new RangeError('unterminated text');
		}

		const text = this.body.toString('utf8', this.offset, end);
		this.offset = end + 1;
		return text;
	}

	readRest(): string {
		return this.body.toString('utf8', this.offset);
	}

	readBytes(length: number): Buffer {
		this.offset += length;
		if (length < 0 || this.offset > this.body.length) {
			throw new RangeError('field beyond the end of the message');
		}

		return this.body.subarray(this.offset - length, this.offset);
	}
}

/** Encodes messages into one growing buffer. */
export class MessageWriter {
	private buffer = Buffer.allocUnsafe(1024);
	private length = 0;
	private messageStart = 0;

	/** Number of bytes that have not been taken. */
	get size(): number {
		return this.length;
	}

	/** Returns the encoded bytes and empties the buffer. */
	take(): Buffer {
		const taken = Buffer.from(this.buffer.subarray(0, this.length));
		this.length = 0;
		return taken;
	}

	writeByte(value: string): void {
		this.writeRaw(value, 'latin1');
	}

	writeAuthenticationOk(): void {
		this.beginMessage('R');
		this.writeInt32(0);
		this.endMessage();
	}

	writeParameterStatus(name: string, value: string): void {
		this.beginMessage('S');
		this.writeText(name);
		this.writeText(value);
		this.endMessage();
	}

	writeBackendKey(processId: number, secretKey: number): void {
		this.beginMessage('K');
		this.writeInt32(processId);
		this.writeInt32(secretKey);
		this.endMessage();
	}

	/** @param status - `I` idle, `T` in a transaction, `E` in a failed one. */
	writeReadyForQuery(status: string): void {
		this.beginMessage('Z');
		this.writeRaw(status, 'latin1');
		this.endMessage();
	}

	writeError(
		sqlState: string,
		message: string,
		severity: 'ERROR' | 'FATAL' = 'ERROR',
	): void {
		this.beginMessage('E');
		for (const field of [
			`S${severity}`,
			`V${severity}`,
			`C${sqlState}`,
			`M${message}`,
		]) {
			this.writeText(field);
		}

		this.writeRaw('\0', 'latin1');
		this.endMessage();
	}

	/** Writes a message that has no body: `1`, `2`, `3`, `n`, `I` or `s`. */
	writeEmpty(code: string): void {
		this.beginMessage(code);
		this.endMessage();
	}

	writeCommandComplete(tag: string): void {
		this.beginMessage('C');
		this.writeText(tag);
		this.endMessage();
	}

	writeParameterDescription(oids: readonly number[]): void {
		this.beginMessage('t');
		this.writeInt16(oids.length);
		for (const oid of oids) {
			this.writeInt32(oid);
		}

		this.endMessage();
	}

	writeRowDescription(fields: readonly types.ResultField[]): void {
		this.beginMessage('T');
		this.writeInt16(fields.length);
		for (const field of fields) {
			this.writeText(field.name);
			this.writeInt32(0);
			this.writeInt16(0);
			this.writeInt32(typeOids[field.type]);
			this.writeInt16(-1);
			this.writeInt32(-1);
			this.writeInt16(0);
		}

		this.endMessage();
	}

	writeDataRow(row: types.Row): void {
		this.beginMessage('D');
		this.writeInt16(row.length);
		for (const value of row) {
			if (value === null) {
				this.writeInt32(-1);
				continue;
			}

			const text = formatValue(value);
			const bytes = Buffer.byteLength(text);
			this.writeInt32(bytes);
			this.writeRaw(text, 'utf8');
		}

		this.endMessage();
	}

	/** Writes a replication message. */
	writeCopyData(text: string): void {
		this.beginMessage('d');
		this.writeRaw(text, 'utf8');
		this.endMessage();
	}

	private beginMessage(code: string): void {
		this.writeRaw(code, 'latin1');
		this.messageStart = this.length;
		this.writeInt32(0);
	}

	private endMessage(): void {
		this.buffer.writeInt32BE(
			this.length - this.messageStart,
			this.messageStart,
		);
	}

	private writeInt16(value: number): void {
		this.ensureCapacity(2);
		this.length = this.buffer.writeInt16BE(value, this.length);
	}

	private writeInt32(value: number): void {
		this.ensureCapacity(4);
		this.length = this.buffer.writeInt32BE(value, this.length);
	}

	private writeText(text: string): void {
		this.writeRaw(text, 'utf8');
		this.writeRaw('\0', 'latin1');
	}

	private writeRaw(text: string, encoding: 'latin1' | 'utf8'): void {
		// A UTF-16 code unit takes at most 3 bytes in UTF-8.
		this.ensureCapacity(text.length * 3);
		this.length += this.buffer.write(text, this.length, encoding);
	}

	private ensureCapacity(bytes: number): void {
		if (this.length + bytes <= this.buffer.length) {
			return;
		}

		const grown = Buffer.allocUnsafe(
			Math.max(this.buffer.length * 2, this.length + bytes),
		);
		this.buffer.copy(grown, 0, 0, this.length);
		this.buffer = grown;
	}
}

function formatValue(value: string | number | boolean): string {
	if (typeof value === 'boolean') {
		return value ? 't' : 'f';
	}

	return String(value);
}
