/**
 * The HTTP server of a daemon. It takes no decision of its own: each endpoint calls the daemon and
 * writes its answer. Every answer but `/metrics` is JSON.
 */
import {Buffer} from 'node:buffer';
import * as http from 'node:http';
import type * as nodeTypes from '../types.js';
import * as bodies from './bodies.js';
import * as routes from './routes.js';
import type * as types from './types.js';

const headersTimeoutMs = 5000;
const requestTimeoutMs = 10_000;
/** Above the interval of announcements and health checks, so that they reuse connections. */
const keepAliveTimeoutMs = 30_000;
/**
 * Longest time for the last answers. A daemon that has nothing to drain closes while its answer to
 * `POST /drain` is still on its way.
 */
const closeTimeoutMs = 500;
const defaultOperationTimeoutMs = 10_000;
/** Connections beyond these are closed at once; the endpoints serve few clients. */
const maxConnections = 1024;

export class HttpServer {
	private readonly server: http.Server;
	private readonly operationTimeoutMs: number;

	constructor(
		private readonly endpoints: types.DaemonEndpoints,
		private readonly logger: nodeTypes.Logger,
		options: types.HttpServerOptions = {},
	) {
		this.operationTimeoutMs =
			options.operationTimeoutMs ?? defaultOperationTimeoutMs;
		this.server = http.createServer(
			{
				headersTimeout: headersTimeoutMs,
				requestTimeout: requestTimeoutMs,
				keepAliveTimeout: keepAliveTimeoutMs,
			},
			(request, response) => {
				void this.handleRequest(request, response);
			},
		);
		this.server.maxConnections = maxConnections;
	}

	/** Opens the listener; resolves with the port. */
	async listen(address: string, port: number): Promise<number> {
		return new Promise((resolve, reject) => {
			this.server.once('error', reject);
			this.server.listen({host: address, port}, () => {
				this.server.off('error', reject);
				const bound = this.server.address();
				resolve(typeof bound === 'object' && bound ? bound.port : port);
			});
		});
	}

	/** Closes the listener and all connections; answers that are being written are finished. */
	async dispose(): Promise<void> {
		await new Promise<void>((resolve) => {
			const timer = setTimeout(() => {
				this.server.closeAllConnections();
			}, closeTimeoutMs);
			this.server.close(() => {
				clearTimeout(timer);
				resolve();
			});
			this.server.closeIdleConnections();
		});
	}

	private async handleRequest(
		request: http.IncomingMessage,
		response: http.ServerResponse,
	): Promise<void> {
		let answer: types.Answer;
		try {
			answer = await this.runHandler(request);
		} catch (error) {
			answer = this.buildErrorAnswer(error);
		}

		const isText = answer.contentType !== undefined;
		const body = isText ? String(answer.body) : JSON.stringify(answer.body);
		response.writeHead(answer.status, {
			'content-type': answer.contentType ?? 'application/json',
			'content-length': Buffer.byteLength(body),
			'cache-control': 'no-store',
			...(this.server.listening ? {} : {connection: 'close'}),
			...answer.headers,
		});
		response.end(request.method === 'HEAD' ? undefined : body);
	}

	private async runHandler(
		request: http.IncomingMessage,
	): Promise<types.Answer> {
		const method = request.method ?? 'GET';
		const [path] = (request.url ?? '/').split('?', 1);
		const handler = routes.findHandler(this.endpoints, method, path);
		let timer: NodeJS.Timeout | undefined;
		const timeout = new Promise<types.Answer>((resolve) => {
			timer = setTimeout(() => {
				resolve(buildTimeoutAnswer(method));
			}, this.operationTimeoutMs);
		});
		try {
			return await Promise.race([handler(request), timeout]);
		} finally {
			clearTimeout(timer);
		}
	}

	private buildErrorAnswer(error: unknown): types.Answer {
		if (error instanceof bodies.HttpError) {
			const {status, code, message, headers} = error;
			return {status, body: {error: {code, message}}, headers};
		}

		const message = error instanceof Error ? error.message : String(error);
		this.logger.write({
			level: 'error',
			part: 'http',
			message: `Request failed: ${message}.`,
		});
		return {
			status: 500,
			body: {error: {code: 'internal', message: 'Internal error.'}},
		};
	}
}

function buildTimeoutAnswer(method: string): types.Answer {
	if (method === 'PUT') {
		return routes.buildUnknownOutcome();
	}

	const message = 'The operation took too long.';
	return {status: 504, body: {error: {code: 'timeout', message}}};
}
