/**
 * Limits the connections of one listener. A connection is half-open until its client has sent its
 * first message; those give way first, the oldest before the others.
 */
import type * as net from 'node:net';
import type * as resourceLimits from './types.js';

/** Share of the connections that may be half-open at the same time. */
const halfOpenShare = 0.5;

export class ConnectionLimiter {
	readonly #sockets = new Set<net.Socket>();
	/** In the order in which the connections were opened. */
	readonly #halfOpen = new Set<net.Socket>();
	readonly #maxHalfOpen: number;

	constructor(
		private readonly name: string,
		private readonly maxConnections: number,
		private readonly report: resourceLimits.ReportLimit,
	) {
		this.#maxHalfOpen = Math.max(1, Math.floor(maxConnections * halfOpenShare));
	}

	/** Adds a new connection; false when it was refused and destroyed. */
	add(socket: net.Socket): boolean {
		if (this.#sockets.size >= this.maxConnections) {
			this.report({limit: 'Connections', listener: this.name});
			const [oldest] = this.#halfOpen;
			if (!oldest) {
				socket.destroy();
				return false;
			}

			this.#destroy(oldest);
		} else if (this.#halfOpen.size >= this.#maxHalfOpen) {
			this.report({limit: 'HalfOpenConnections', listener: this.name});
			const [oldest] = this.#halfOpen;
			this.#destroy(oldest);
		}

		this.#sockets.add(socket);
		this.#halfOpen.add(socket);
		socket.once('close', () => {
			this.#remove(socket);
		});
		return true;
	}

	/** Records that the first message of a connection is complete. */
	markOpen(socket: net.Socket): void {
		this.#halfOpen.delete(socket);
	}

	/** Records that the next message of an open connection has begun. */
	markHalfOpen(socket: net.Socket): void {
		if (this.#sockets.has(socket)) {
			this.#halfOpen.add(socket);
		}
	}

	#destroy(socket: net.Socket): void {
		this.#remove(socket);
		socket.destroy();
	}

	#remove(socket: net.Socket): void {
		this.#sockets.delete(socket);
		this.#halfOpen.delete(socket);
	}
}
