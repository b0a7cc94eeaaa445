/**
 * HTTP client for the peers of a deployment. The result of a failed request tells whether the peer
 * may have received it.
 */
import {Buffer} from 'node:buffer';
import * as http from 'node:http';

/** Errors of connections that were not established, so that the peer did not receive the request. */
const notSentCodes = new Set([
	'ECONNREFUSED',
	'EHOSTUNREACH',
	'ENETUNREACH',
	'EADDRNOTAVAIL',
]);

export type PeerResult =
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
	/** Timeout of the request, including its response. */
	readonly timeoutMs: number;
};

/** Sends a request; never rejects. */
export async function sendRequest(request: PeerRequest): Promise<PeerResult> {
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

		const httpRequest = http.request(
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
		httpRequest.on('socket', (socket) => {
			socket.on('connect', () => {
				isConnected = true;
			});
		});
		httpRequest.on('error', fail);
		httpRequest.end(body);
	});
}

/** Parses a response body; returns undefined when it is not JSON. */
export function parseJson(text: string): unknown {
	try {
		return JSON.parse(text) as unknown;
	} catch {
		return undefined;
	}
}

/** Formats an error response `{error: {code, message}}` for people. */
export function formatPeerError(status: number, text: string): string {
	const body = parseJson(text) as
		{error?: {code?: unknown; message?: unknown}} | undefined;
	const error = body?.error;
	return error
		? `${String(error.message)} (${String(error.code)})`
		: `the peer answered with status ${status}`;
}
