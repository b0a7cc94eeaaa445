/**
 * Records of the storage files. A record is a header of three big-endian 32-bit numbers (payload
 * length, CRC32 of that length, CRC32 of the payload) and a cbor payload.
 *
 * The length has its own checksum, because a damaged length would otherwise look like a record
 * that was cut off by a crash, and all records after it would be dropped.
 */
import {Buffer} from 'node:buffer';
import * as zlib from 'node:zlib';
import * as cbor from 'cbor-x';

const lengthBytes = 4;
const headerBytes = 12;

const codec = new cbor.Encoder({useRecords: false, mapsAsObjects: true});

/** A storage file is damaged or used by another process. */
export class StorageError extends Error {
	override readonly name = 'StorageError';
}

/** Creates the error for damage at an offset of a file. */
export function makeDamageError(
	file: string,
	offset: number,
	problem: string,
): StorageError {
	return new StorageError(`${file}, offset ${offset}: ${problem}`);
}

/** Encodes one record. */
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
 * @returns The complete records, and the offset at which a torn last record begins (the length of
 * the file when there is none).
 * @throws A `StorageError` for any damage that a crash during the last append does not explain.
 */
export function decodeRecords(
	file: string,
	content: Buffer,
): {records: DecodedRecord[]; end: number} {
	const records: DecodedRecord[] = [];
	let offset = 0;
	while (offset < content.length) {
		const rest = content.subarray(offset);
		const size = readSize(file, offset, rest);
		if (size === undefined || size > rest.length) {
			break;
		}

		const payload = rest.subarray(headerBytes, size);
		if (zlib.crc32(payload) !== rest.readUInt32BE(2 * lengthBytes)) {
			throw makeDamageError(file, offset, 'wrong checksum of a record');
		}

		records.push({offset, value: codec.decode(payload)});
		offset += size;
	}

	return {records, end: offset};
}

/** Returns the size of a record with its header; undefined when the header is torn. */
function readSize(
	file: string,
	offset: number,
	rest: Buffer,
): number | undefined {
	// A file system may have extended the file before it wrote the data.
	const isTorn = rest.length < headerBytes || rest.every((byte) => byte === 0);
	if (isTorn) {
		return undefined;
	}

	const length = rest.subarray(0, lengthBytes);
	if (zlib.crc32(length) !== rest.readUInt32BE(lengthBytes)) {
		throw makeDamageError(file, offset, 'wrong checksum of a record length');
	}

	return headerBytes + rest.readUInt32BE(0);
}
