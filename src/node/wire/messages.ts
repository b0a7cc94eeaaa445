/**
 * Builds messages of a PostgreSQL server and the few others that `pg-protocol` cannot build, and
 * reads fields of messages. See "Message Formats" in the documentation of protocol version 3.
 */
import {Buffer, isUtf8} from 'node:buffer';
import type * as proxy from '../../common/proxy/types.js';

/** Type bytes of the messages that the adapters handle. */
export const messageTypes = {
	authentication: 0x52,
	backendKeyData: 0x4b,
	bind: 0x42,
	bindComplete: 0x32,
	close: 0x43,
	closeComplete: 0x33,
	commandComplete: 0x43,
	copyBoth: 0x57,
	copyData: 0x64,
	copyDone: 0x63,
	copyFail: 0x66,
	copyIn: 0x47,
	copyOut: 0x48,
	dataRow: 0x44,
	describe: 0x44,
	emptyQuery: 0x49,
	error: 0x45,
	execute: 0x45,
	flush: 0x48,
	functionCall: 0x46,
	noData: 0x6e,
	notice: 0x4e,
	notification: 0x41,
	parameterStatus: 0x53,
	parse: 0x50,
	parseComplete: 0x31,
	password: 0x70,
	portalSuspended: 0x73,
	query: 0x51,
	readyForQuery: 0x5a,
	rowDescription: 0x54,
	sync: 0x53,
	terminate: 0x58,
} as const;

const textTypeOid = 25;

/** Builds one message from its type byte and body. */
export function buildMessage(
	typeByte: number,
	parts: ReadonlyArray<Uint8Array | string>,
): Buffer {
	let length = 4;
	for (const part of parts) {
		length += typeof part === 'string' ? Buffer.byteLength(part) : part.length;
	}

	const message = Buffer.allocUnsafe(length + 1);
	message[0] = typeByte;
	message.writeUInt32BE(length, 1);
	let offset = 5;
	for (const part of parts) {
		if (typeof part === 'string') {
			offset += message.write(part, offset);
		} else {
			message.set(part, offset);
			offset += part.length;
		}
	}

	return message;
}

/** Builds an ErrorResponse. */
export function buildErrorResponse(
	severity: 'ERROR' | 'FATAL',
	sqlState: string,
	message: string,
): Buffer {
	return buildMessage(messageTypes.error, [
		`S${severity}\0V${severity}\0C${sqlState}\0M${message}\0\0`,
	]);
}

const statusLetters: Record<proxy.TransactionStatus, string> = {
	idle: 'I',
	inTransaction: 'T',
	failed: 'E',
};

const readyMessages: Record<proxy.TransactionStatus, Buffer> = {
	idle: buildMessage(messageTypes.readyForQuery, [statusLetters.idle]),
	inTransaction: buildMessage(messageTypes.readyForQuery, [
		statusLetters.inTransaction,
	]),
	failed: buildMessage(messageTypes.readyForQuery, [statusLetters.failed]),
};

/** Returns the shared ReadyForQuery message; the caller must not change it. */
export function getReadyForQuery(status: proxy.TransactionStatus): Buffer {
	return readyMessages[status];
}

/** Reads the status byte of ReadyForQuery. */
export function parseTransactionStatus(
	byte: number | undefined,
): proxy.TransactionStatus {
	if (byte === 0x49) {
		return 'idle';
	}

	return byte === 0x54 ? 'inTransaction' : 'failed';
}

export function buildParameterStatus(name: string, value: string): Buffer {
	return buildMessage(messageTypes.parameterStatus, [`${name}\0${value}\0`]);
}

export function buildCommandComplete(tag: string): Buffer {
	return buildMessage(messageTypes.commandComplete, [`${tag}\0`]);
}

export function buildBackendKeyData(processId: number, key: number): Buffer {
	const body = Buffer.allocUnsafe(8);
	body.writeUInt32BE(processId >>> 0, 0);
	body.writeUInt32BE(key >>> 0, 4);
	return buildMessage(messageTypes.backendKeyData, [body]);
}

/** Builds a RowDescription of one text column. */
export function buildRowDescription(name: string): Buffer {
	const columnCount = Buffer.from([0, 1]);
	const columnFields = Buffer.alloc(18);
	columnFields.writeUInt32BE(textTypeOid, 6);
	columnFields.writeInt16BE(-1, 10);
	columnFields.writeInt32BE(-1, 12);
	return buildMessage(messageTypes.rowDescription, [
		columnCount,
		`${name}\0`,
		columnFields,
	]);
}

/** Builds a DataRow of one text value. */
export function buildDataRow(value: string): Buffer {
	const header = Buffer.allocUnsafe(6);
	header.writeUInt16BE(1, 0);
	header.writeUInt32BE(Buffer.byteLength(value), 2);
	return buildMessage(messageTypes.dataRow, [header, value]);
}

/** Returns the field of an ErrorResponse or NoticeResponse; `C` is the SQLSTATE, `M` the message. */
export function findErrorField(
	message: Uint8Array,
	field: 'C' | 'M' | 'S',
): string | undefined {
	const buffer = Buffer.from(
		message.buffer,
		message.byteOffset,
		message.byteLength,
	);
	let offset = 5;
	while (offset < buffer.length && buffer[offset] !== 0) {
		const end = buffer.indexOf(0, offset + 1);
		if (end === -1) {
			return undefined;
		}

		if (buffer[offset] === field.codePointAt(0)) {
			return buffer.toString('utf8', offset + 1, end);
		}

		offset = end + 1;
	}

	return undefined;
}

/** Reads the zero-terminated string at `offset`; undefined when the terminator is missing. */
export function readString(buffer: Buffer, offset: number): string | undefined {
	const end = buffer.indexOf(0, offset);
	return end === -1 ? undefined : buffer.toString('utf8', offset, end);
}

/**
 * Reads the zero-terminated name at `offset`; undefined when the terminator is missing or the name is
 * not UTF-8, because its bytes in the message could not be told from the text.
 */
export function readName(buffer: Buffer, offset: number): string | undefined {
	const end = buffer.indexOf(0, offset);
	return end === -1 || !isUtf8(buffer.subarray(offset, end))
		? undefined
		: buffer.toString('utf8', offset, end);
}
