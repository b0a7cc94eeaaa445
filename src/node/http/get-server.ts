/**
 * An HTTP listener for a single path: the readiness probe and the metrics.
 */
import * as http from 'node:http';

const notFoundStatus = 404;

export class SinglePathServer {
	readonly #server: http.Server;

	/** @param answer - Called for each request of the path. */
	constructor(
		path: string,
		answer: () => {readonly status: number; readonly body?: string},
	) {
		this.#server = http.createServer((request, response) => {
			request.resume();
			const {status, body = ''} =
				request.url === path ? answer() : {status: notFoundStatus};
			response.writeHead(status, {
				'content-type': 'text/plain',
				'content-length': body.length,
			});
			response.end(body);
		});
	}

	async listen(address: string, port: number): Promise<number> {
		return new Promise((resolve, reject) => {
			this.#server.once('error', reject);
			this.#server.listen({host: address, port}, () => {
				resolve(port);
			});
		});
	}

	/** Lets the process end although the listener is open. */
	unref(): void {
		this.#server.unref();
	}

	async dispose(): Promise<void> {
		this.#server.close();
		this.#server.closeAllConnections();
	}
}
