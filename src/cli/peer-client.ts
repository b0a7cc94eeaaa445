/**
 * HTTP requests to the peers of an installation. A failed request says whether the peer may have
 * received it.
 */
import {Buffer} from 'node:buffer';
import * as http from 'node:http';

/** A connection that was never made cannot have carried the request. */
const notSentCodes = new Set([
	'ECONNREFUSED',
	'EHOSTUNREACH',
	'ENETUNREACH',
	'EADDRNOTAVAIL',
]);

export type PeerAnswer =
	| {
			readonly type: 'answered';
			readonly status: number;
			readonly text: string;
	  }
	| {
			readonly type: 'lost';
			/** True when the peer may have received the request. */
			readonly mayHaveArrived: boolean;
			readonly message: string;
	  };

export type PeerRequest = {
	/** `ip:port` of the HTTP listener. */
	readonly peer: string;
	readonly method: 'GET' | 'POST' | 'PUT';
	readonly path: string;
	readonly body?: unknown;
	/** Longest time for the whole exchange. */
	readonly timeoutMs: number;
};

/** Sends a request; never rejects. */
export async function sendRequest(request: PeerRequest): Promise<PeerAnswer> {
	const body =
		request.body === undefined ? undefined : JSON.stringify(request.body);
	return new Promise((resolve) => {
		let isConnected = false;
		const signal = AbortSignal.timeout(request.timeoutMs);
		const fail = (error: NodeJS.ErrnoException) => {
			const message = signal.aborted
				? `no answer within ${request.timeoutMs} ms`
				: error.message;
			const mayHaveArrived = isConnected && !notSentCodes.has(error.code ?? '');
			resolve({type: 'lost', mayHaveArrived, message});
		};

		const sent = http.request(
			`http://${request.peer}${request.path}`,
			{
				method: request.method,
				agent: false,
				signal,
				headers: body
					? {
							'content-type': 'application/json',
							'content-length': Buffer.byteLength(body),
						}
					: {},
			},
			(response) => {
				const chunks: Buffer[] = [];
				response.on('data', (chunk: Buffer) => {
					chunks.push(chunk);
				});
				response.on('error', fail);
				response.on('end', () => {
					resolve({
						type: 'answered',
						status: response.statusCode ?? 0,
						text: Buffer.concat(chunks).toString('utf8'),
					});
				});
			},
		);
		sent.on('socket', (socket) => {
			socket.on('connect', () => {
				isConnected = true;
			});
		});
		sent.on('error', fail);
		sent.end(body);
	});
}

/** Reads an answer's JSON; undefined when it is none. */
export function parseJson(text: string): unknown {
	try {
		return JSON.parse(text) as unknown;
	} catch {
		return undefined;
	}
}

/** The text of an error answer `{error: {code, message}}`. */
export function formatPeerError(status: number, text: string): string {
	const body = parseJson(text) as
		{error?: {code?: unknown; message?: unknown}} | undefined;
	const error = body?.error;
	return error
		? `${String(error.message)} (${String(error.code)})`
		: `the peer answered with status ${status}`;
}
