/**
 * Parses the row of `hemlockarch.status()` from a RowDescription and a DataRow in text format.
 */
import {Buffer} from 'node:buffer';
import * as neverthrow from 'neverthrow';
import * as zod from 'zod';
import type * as ids from '../../common/ids.js';
import type * as types from '../../common/types.js';
import * as messages from '../wire/messages.js';

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

/** Parses the column names of a RowDescription message. */
export function parseColumnNames(message: Buffer): string[] {
	const names: string[] = [];
	let offset = 7;
	for (let remaining = message.readUInt16BE(5); remaining > 0; remaining--) {
		const name = messages.readString(message, offset) ?? '';
		names.push(name);
		offset += Buffer.byteLength(name) + 1 + 18;
	}

	return names;
}

/** Parses the text values of a DataRow message; null for SQL NULL. */
export function parseValues(message: Buffer): Array<string | null> {
	const values: Array<string | null> = [];
	let offset = 7;
	for (let remaining = message.readUInt16BE(5); remaining > 0; remaining--) {
		const length = message.readInt32BE(offset);
		offset += 4;
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
