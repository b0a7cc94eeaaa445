/**
 * Records of the storage files. A record is a header of three big-endian 32-bit numbers (payload
 * length, CRC32 of that length, CRC32 of the payload) and a CBOR payload.
 *
 * The length has its own checksum. Without it, a corrupted length would look like a record that was
 * torn by a crash, and all records after it would be dropped.
 */
import {Buffer} from 'node:buffer';
import * as zlib from 'node:zlib';
import * as cbor from 'cbor-x';

const lengthBytes = 4;
const headerBytes = 12;

const codec = new cbor.Encoder({useRecords: false, mapsAsObjects: true});

/** A storage file is corrupted, or its folder is in use. */
export class StorageError extends Error {
	override readonly name = 'StorageError';
}

/** Creates the error for corruption at a byte offset of a file. */
export function makeCorruptionError(
	file: string,
	offset: number,
	problem: string,
): StorageError {
	return new StorageError(`${file}, offset ${offset}: ${problem}`);
}

export function encodeRecord(value: unknown): Buffer {
	const payload = codec.encode(value);
	const record = Buffer.alloc(headerBytes + payload.length);
	record.writeUInt32BE(payload.length, 0);
	const length = record.subarray(0, lengthBytes);
	record.writeUInt32BE(zlib.crc32(length), lengthBytes);
	record.writeUInt32BE(zlib.crc32(payload), 2 * lengthBytes);
	record.set(payload, headerBytes);
	return record;
}

export type DecodedRecord = {
	readonly offset: number;
	readonly value: unknown;
};

/**
 * Decodes the records of a file.
 *
 * @returns The complete records, and the byte offset at which a torn last record begins (the length
 * of the file when there is none).
 * @throws A `StorageError` for any corruption that a crash during the last append cannot cause.
 */
export function decodeRecords(
	file: string,
	content: Buffer,
): {records: DecodedRecord[]; end: number} {
	const records: DecodedRecord[] = [];
	let offset = 0;
	while (offset < content.length) {
		const rest = content.subarray(offset);
		const size = readRecordSize(file, offset, rest);
		if (size === undefined || size > rest.length) {
			break;
		}

		const payload = rest.subarray(headerBytes, size);
		if (zlib.crc32(payload) !== rest.readUInt32BE(2 * lengthBytes)) {
			throw makeCorruptionError(file, offset, 'checksum mismatch of a record');
		}

		records.push({offset, value: codec.decode(payload)});
		offset += size;
	}

	return {records, end: offset};
}

/** Returns the size in bytes of a record and its header; undefined when the header is torn. */
function readRecordSize(
	file: string,
	offset: number,
	rest: Buffer,
): number | undefined {
	// A file system may extend a file before it writes the data; a crash in between leaves zeros.
	const isTorn = rest.length < headerBytes || rest.every((byte) => byte === 0);
	if (isTorn) {
		return undefined;
	}

	const length = rest.subarray(0, lengthBytes);
	if (zlib.crc32(length) !== rest.readUInt32BE(lengthBytes)) {
		throw makeCorruptionError(
			file,
			offset,
			'checksum mismatch of a record length',
		);
	}

	return headerBytes + rest.readUInt32BE(0);
}
