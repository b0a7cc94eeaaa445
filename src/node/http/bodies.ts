/**
 * Reads and validates JSON request bodies.
 */
import type {Buffer} from 'node:buffer';
import type * as http from 'node:http';
import * as net from 'node:net';
import * as zod from 'zod';
import * as announcements from '../../common/announcement.js';
import * as httpGuard from '../limits/http-guard.js';
import type * as resourceGuard from '../limits/resource-guard.js';
import type * as types from './types.js';

/** Largest accepted request body; a template has at most 8 KiB. */
export const maxBodyBytes = 256 * 1024;

/** Rejects a request; the response body is `{error: {code, message}}`. */
export class HttpError extends Error {
	/**
	 * @param status - HTTP status code.
	 * @param code - Stable error code for scripts.
	 * @param message - Error message for people, a full sentence.
	 * @param headers - Further headers of the response.
	 */
	constructor(
		readonly status: number,
		readonly code: string,
		message: string,
		readonly headers?: types.EndpointResponse['headers'],
	) {
		super(message);
		this.name = 'HttpError';
	}
}

const idSchema = zod.string().min(1).max(128);
const nonNegativeInteger = zod.number().int().nonnegative();

export const announcementSchema = zod.object({
	group: idSchema,
	server: idSchema,
	address: zod.string().refine((text) => {
		const separator = text.lastIndexOf(':');
		const port = Number(text.slice(separator + 1));
		return (
			net.isIP(text.slice(0, separator)) !== 0 && port > 0 && port < 65_536
		);
	}, 'not ip:port'),
	dataCentre: idSchema,
	role: zod.enum(['primary', 'replica']),
	term: nonNegativeInteger,
	position: nonNegativeInteger,
	slots: zod.number().int().min(1).max(10_000),
	connectionLimit: zod.number().int().min(1).max(1_000_000),
	departing: zod.boolean(),
	startedAt: nonNegativeInteger.refine(
		(startedAt) => announcements.isPlausible(startedAt, 0, Date.now()),
		'in the future',
	),
});

export const changeSchema = zod.strictObject({
	text: zod.string(),
	expectedVersion: nonNegativeInteger,
	changeId: idSchema,
});

/** Reads a request body; throws `HttpError` with status 413 or 503. */
export async function readBytes(
	request: http.IncomingMessage,
	maxBytes: number,
	guard: resourceGuard.ResourceGuard,
): Promise<Buffer> {
	const body = await httpGuard.collectBody(request, maxBytes, guard);
	switch (body) {
		case 'tooLarge': {
			throw new HttpError(
				413,
				'bodyTooLarge',
				`The body is larger than ${maxBytes} bytes.`,
				{connection: 'close'},
			);
		}

		case 'noMemory': {
			throw new HttpError(503, 'noMemory', 'Not run: memory is short.', {
				connection: 'close',
			});
		}

		default: {
			return body;
		}
	}
}

/** Reads a JSON request body and validates it; throws `HttpError` with status 400 or 413. */
export async function readBody<Value>(
	request: http.IncomingMessage,
	schema: zod.ZodType<Value>,
	guard: resourceGuard.ResourceGuard,
): Promise<Value> {
	const bytes = await readBytes(request, maxBodyBytes, guard);

	let data: unknown;
	try {
		data = JSON.parse(bytes.toString('utf8'));
	} catch {
		throw new HttpError(400, 'invalidJson', 'The body is not JSON.');
	}

	const result = schema.safeParse(data);
	if (!result.success) {
		const problems = result.error.issues.map(
			({path, message}) => `${path.join('.') || 'body'}: ${message}`,
		);
		throw new HttpError(400, 'invalidBody', problems.join('; '));
	}

	return result.data;
}
