/**
 * Limits of an HTTP listener: connections, the time for a request, and the bytes of request bodies.
 */
import {Buffer} from 'node:buffer';
import type * as http from 'node:http';
import * as connectionLimiter from './connection-limiter.js';
import type * as resourceGuard from './resource-guard.js';

const headersTimeoutMs = 5000;
const requestTimeoutMs = 10_000;
/**
 * How long responses in progress may take to finish once a server closes. A daemon that has nothing to
 * drain closes while its response to `POST /drain` is still being sent.
 */
const closeTimeoutMs = 500;
/** Copies of a body while it is parsed. */
const bodyCopies = 3;

/** Options for `http.createServer`. */
export const serverOptions = {
	headersTimeout: headersTimeoutMs,
	requestTimeout: requestTimeoutMs,
} as const;

/** Limits the connections of a server. A connection is half-open until its request is complete. */
export function limitConnections(
	server: http.Server,
	listener: string,
	maxConnections: number,
	guard: resourceGuard.ResourceGuard,
): void {
	const limiter = new connectionLimiter.ConnectionLimiter(
		listener,
		maxConnections,
		guard.report,
	);
	server.prependListener('connection', (socket) => {
		limiter.add(socket);
	});
	server.prependListener('request', (request) => {
		const {socket} = request;
		limiter.markHalfOpen(socket);
		request.once('end', () => {
			limiter.markOpen(socket);
		});
	});
}

/** Closes a server when the requests that were read are answered, or after a short time. */
export async function closeServer(server: http.Server): Promise<void> {
	await new Promise<void>((resolve) => {
		const timer = setTimeout(() => {
			server.closeAllConnections();
		}, closeTimeoutMs);
		server.close(() => {
			clearTimeout(timer);
			resolve();
		});
		server.closeIdleConnections();
	});
}

/** Why a body was not read. */
export type BodyProblem = 'tooLarge' | 'noMemory';

/** Reads a body of a limited size within the memory budget. */
export async function collectBody(
	request: http.IncomingMessage,
	maxBytes: number,
	guard: resourceGuard.ResourceGuard,
): Promise<Buffer | BodyProblem> {
	if (Number(request.headers['content-length'] ?? 0) > maxBytes) {
		return 'tooLarge';
	}

	let isShed = false;
	const account = guard.openAccount({
		listener: 'http',
		shed() {
			isShed = true;
			request.socket.destroy();
		},
	});
	const chunks: Buffer[] = [];
	let size = 0;
	try {
		// Leaving the loop early must not destroy the request: its socket still carries the response.
		const parts = request.iterator({destroyOnReturn: false});
		for await (const chunk of parts as AsyncIterable<Buffer>) {
			size += chunk.length;
			if (size > maxBytes) {
				return 'tooLarge';
			}

			chunks.push(chunk);
			account.set('input', size * bodyCopies);
			guard.enforce();
			if (isShed) {
				return 'noMemory';
			}
		}
	} catch (error) {
		if (isShed) {
			return 'noMemory';
		}

		throw error;
	} finally {
		account.close();
	}

	return Buffer.concat(chunks);
}
