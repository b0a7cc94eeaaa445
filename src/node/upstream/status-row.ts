/**
 * Parses the row of `hemlockarch.status()` from a RowDescription and a DataRow in text format.
 */
import type {Buffer} from 'node:buffer';
import * as neverthrow from 'neverthrow';
import * as zod from 'zod';
import type * as ids from '../../common/ids.js';
import type * as types from '../../common/types.js';

const wholeNumber = zod.coerce.number().int().min(0);

const rowSchema = zod.object({
	server: zod.string().min(1),
	role: zod.enum(['primary', 'replica']),
	term: wholeNumber,
	position: wholeNumber,
	applied: wholeNumber,
	replicas: zod.string().nullish(),
});

const replicasSchema = zod.array(
	zod.object({server: zod.string().min(1), position: wholeNumber}),
);

/** Bytes of the fields that follow the name of a column. */
const columnFieldBytes = 18;

/** Reads the number of columns at the beginning of a RowDescription or DataRow. */
function readCount(message: Buffer): number {
	return message.length < 7 ? 0 : message.readUInt16BE(5);
}

/** Parses the column names of a RowDescription message; those before its end when it is malformed. */
export function parseColumnNames(message: Buffer): string[] {
	const names: string[] = [];
	let offset = 7;
	for (let remaining = readCount(message); remaining > 0; remaining--) {
		const end = message.indexOf(0, offset);
		if (end === -1) {
			break;
		}

		names.push(message.toString('utf8', offset, end));
		offset = end + 1 + columnFieldBytes;
	}

	return names;
}

/** Parses the text values of a DataRow message; null for SQL NULL, and none when it is malformed. */
export function parseValues(message: Buffer): Array<string | null> {
	const values: Array<string | null> = [];
	let offset = 7;
	for (let remaining = readCount(message); remaining > 0; remaining--) {
		const length =
			offset + 4 <= message.length ? message.readInt32BE(offset) : Infinity;
		offset += 4;
		if (offset + length > message.length) {
			return [];
		}

		if (length < 0) {
			values.push(null);
		} else {
			values.push(message.toString('utf8', offset, offset + length));
			offset += length;
		}
	}

	return values;
}

/** Builds a status from column names and values; the error says what is invalid in the row. */
export function parseStatus(
	names: readonly string[],
	values: ReadonlyArray<string | null>,
): neverthrow.Result<types.UpstreamStatus, string> {
	const row = rowSchema.safeParse(
		Object.fromEntries(names.map((name, index) => [name, values[index]])),
	);
	if (!row.success) {
		return neverthrow.err(`invalid status row: ${row.error.message}`);
	}

	try {
		const replicas = replicasSchema.safeParse(
			JSON.parse(row.data.replicas ?? '[]'),
		);
		if (replicas.success) {
			return neverthrow.ok({
				...row.data,
				server: row.data.server as ids.UpstreamId,
				replicas: replicas.data.map(({server, position}) => ({
					server: server as ids.UpstreamId,
					position,
				})),
			});
		}
	} catch {
		// Invalid JSON is reported below.
	}

	return neverthrow.err('invalid status row: replicas is not a JSON list');
}
