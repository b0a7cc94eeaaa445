/**
 * An HTTP server for a single path, such as the readiness probe or the metrics.
 */
import * as http from 'node:http';
import * as httpGuard from '../limits/http-guard.js';
import type * as resourceGuard from '../limits/resource-guard.js';

const notFoundStatus = 404;

export class SinglePathServer {
	readonly #server: http.Server;

	/** @param handleRequest - Called for each request for `path`; returns the response. */
	constructor(
		path: string,
		handleRequest: () => {readonly status: number; readonly body?: string},
		limits?: {
			readonly guard: resourceGuard.ResourceGuard;
			readonly maxConnections: number;
		},
	) {
		this.#server = http.createServer(
			httpGuard.serverOptions,
			(request, response) => {
				request.resume();
				const {status, body = ''} =
					request.url === path ? handleRequest() : {status: notFoundStatus};
				response.writeHead(status, {
					'content-type': 'text/plain',
					'content-length': body.length,
				});
				response.end(body);
			},
		);
		if (limits) {
			const {maxConnections, guard} = limits;
			httpGuard.limitConnections(this.#server, path, maxConnections, guard);
		}
	}

	async listen(address: string, port: number): Promise<number> {
		return new Promise((resolve, reject) => {
			this.#server.once('error', reject);
			this.#server.listen({host: address, port}, () => {
				resolve(port);
			});
		});
	}

	/** Lets the process exit while the listener is open. */
	unref(): void {
		this.#server.unref();
	}

	async dispose(): Promise<void> {
		this.#server.close();
		this.#server.closeAllConnections();
	}
}
