/**
 * Reads and checks the JSON bodies of requests.
 */
import {Buffer} from 'node:buffer';
import type * as http from 'node:http';
import * as net from 'node:net';
import * as zod from 'zod';
import type * as types from './types.js';

/** Largest accepted body; templates have at most 8 KiB. */
export const maxBodyBytes = 256 * 1024;

/** A refusal of a request; becomes `{error: {code, message}}`. */
export class HttpError extends Error {
	/**
	 * @param status - HTTP status.
	 * @param code - Stable name of the problem for scripts.
	 * @param message - A sentence for people.
	 */
	constructor(
		readonly status: number,
		readonly code: string,
		message: string,
		readonly headers?: types.Answer['headers'],
	) {
		super(message);
		this.name = 'HttpError';
	}
}

const idText = zod.string().min(1).max(128);
const offset = zod.number().int().nonnegative();

export const announcementSchema = zod.object({
	group: idText,
	server: idText,
	address: zod.string().refine((text) => {
		const separator = text.lastIndexOf(':');
		const port = Number(text.slice(separator + 1));
		return (
			net.isIP(text.slice(0, separator)) !== 0 && port > 0 && port < 65_536
		);
	}, 'not ip:port'),
	dataCentre: idText,
	role: zod.enum(['primary', 'replica']),
	term: offset,
	position: offset,
	slots: zod.number().int().min(1).max(10_000),
	connectionLimit: zod.number().int().min(1).max(1_000_000),
	departing: zod.boolean(),
	startedAt: offset,
});

export const changeSchema = zod.strictObject({
	text: zod.string(),
	expectedVersion: offset,
	changeId: idText,
});

/** Reads a body of JSON and checks it; throws `HttpError` 400 or 413. */
export async function readBody<Value>(
	request: http.IncomingMessage,
	schema: zod.ZodType<Value>,
): Promise<Value> {
	const chunks: Buffer[] = [];
	let size = 0;
	// The request stays open after a refusal, so that the answer reaches the sender.
	const parts = request.iterator({destroyOnReturn: false});
	for await (const chunk of parts as AsyncIterable<Buffer>) {
		size += chunk.length;
		if (size > maxBodyBytes) {
			throw new HttpError(
				413,
				'bodyTooLarge',
				`The body is larger than ${maxBodyBytes} bytes.`,
				{connection: 'close'},
			);
		}

		chunks.push(chunk);
	}

	let data: unknown;
	try {
		data = JSON.parse(Buffer.concat(chunks).toString('utf8'));
	} catch {
		throw new HttpError(400, 'invalidJson', 'The body is not JSON.');
	}

	const checked = schema.safeParse(data);
	if (!checked.success) {
		const problems = checked.error.issues.map(
			({path, message}) => `${path.join('.') || 'body'}: ${message}`,
		);
		throw new HttpError(400, 'invalidBody', problems.join('; '));
	}

	return checked.data;
}
