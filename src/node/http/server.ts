/**
 * The HTTP server of a daemon. It makes no decisions: each endpoint calls the daemon and writes the
 * result. All responses are JSON, except that of `/metrics`.
 */
import {Buffer} from 'node:buffer';
import * as http from 'node:http';
import {performance} from 'node:perf_hooks';
import * as httpGuard from '../limits/http-guard.js';
import * as resourceGuard from '../limits/resource-guard.js';
import type * as nodeTypes from '../types.js';
import * as bodies from './bodies.js';
import * as routes from './routes.js';
import type * as types from './types.js';

/** Longer than the interval of announcements and health checks, so that they reuse connections. */
const keepAliveTimeoutMs = 30_000;
const defaultOperationTimeoutMs = 10_000;
/** Default of the limit on connections; the endpoints serve few clients. */
const maxConnections = 1024;
const clock = {now: () => performance.now()};

export class HttpServer {
	private readonly server: http.Server;
	private readonly operationTimeoutMs: number;
	private readonly guard: resourceGuard.ResourceGuard;

	constructor(
		private readonly endpoints: types.DaemonEndpoints,
		private readonly logger: nodeTypes.Logger,
		options: types.HttpServerOptions = {},
	) {
		this.operationTimeoutMs =
			options.operationTimeoutMs ?? defaultOperationTimeoutMs;
		this.server = http.createServer(
			{
				...httpGuard.serverOptions,
				keepAliveTimeout: keepAliveTimeoutMs,
			},
			(request, response) => {
				void this.handleRequest(request, response);
			},
		);
		this.guard =
			options.guard ?? resourceGuard.createDefaultGuard(clock, logger);
		httpGuard.limitConnections(
			this.server,
			'http',
			options.maxConnections ?? maxConnections,
			this.guard,
		);
	}

	/** Opens the listener; resolves with its port. */
	async listen(address: string, port: number): Promise<number> {
		return new Promise((resolve, reject) => {
			this.server.once('error', reject);
			this.server.listen({host: address, port}, () => {
				this.server.off('error', reject);
				const boundAddress = this.server.address();
				resolve(
					typeof boundAddress === 'object' && boundAddress
						? boundAddress.port
						: port,
				);
			});
		});
	}

	/** Closes the listener and all connections, after the responses in progress or a timeout. */
	async dispose(): Promise<void> {
		await httpGuard.closeServer(this.server);
	}

	private async handleRequest(
		request: http.IncomingMessage,
		response: http.ServerResponse,
	): Promise<void> {
		let result: types.EndpointResponse;
		try {
			result = await this.runHandler(request);
		} catch (error) {
			result = this.buildErrorResponse(error);
		}

		const isText = result.contentType !== undefined;
		const body = isText ? String(result.body) : JSON.stringify(result.body);
		response.writeHead(result.status, {
			'content-type': result.contentType ?? 'application/json',
			'content-length': Buffer.byteLength(body),
			'cache-control': 'no-store',
			...(this.server.listening ? {} : {connection: 'close'}),
			...result.headers,
		});
		response.end(request.method === 'HEAD' ? undefined : body);
	}

	private async runHandler(
		request: http.IncomingMessage,
	): Promise<types.EndpointResponse> {
		const method = request.method ?? 'GET';
		const [path] = (request.url ?? '/').split('?', 1);
		const handler = routes.findHandler(this.endpoints, method, path);
		let timer: NodeJS.Timeout | undefined;
		const timeout = new Promise<types.EndpointResponse>((resolve) => {
			timer = setTimeout(() => {
				resolve(buildTimeoutResponse(method));
			}, this.operationTimeoutMs);
			// Once all connections are closed, nobody waits for the response.
			timer.unref();
		});
		try {
			return await Promise.race([handler(request, this.guard), timeout]);
		} finally {
			clearTimeout(timer);
		}
	}

	private buildErrorResponse(error: unknown): types.EndpointResponse {
		if (error instanceof bodies.HttpError) {
			const {status, code, message, headers} = error;
			return {status, body: {error: {code, message}}, headers};
		}

		const message = error instanceof Error ? error.message : String(error);
		this.logger.write({
			level: 'error',
			part: 'http',
			message: `HTTP request failed; responding with status 500: ${message}.`,
		});
		return {
			status: 500,
			body: {error: {code: 'internal', message: 'Internal error.'}},
		};
	}
}

function buildTimeoutResponse(method: string): types.EndpointResponse {
	if (method === 'PUT') {
		return routes.buildUnknownOutcomeResponse();
	}

	const message = 'The operation took too long.';
	return {status: 504, body: {error: {code: 'timeout', message}}};
}
