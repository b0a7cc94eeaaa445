/**
 * A gate that holds back bytes or work while a fault lasts, and a socket behind such a gate. A
 * closed gate neither loses nor closes anything: it models a frozen process or a cut network.
 */
import {Buffer} from 'node:buffer';
import type * as net from 'node:net';

export class Gate {
	private readonly listeners = new Set<() => void>();
	private closed = false;

	get isOpen(): boolean {
		return !this.closed;
	}

	setOpen(open: boolean): void {
		if (open !== this.closed) {
			return;
		}

		this.closed = !open;
		for (const listener of this.listeners) {
			listener();
		}
	}

	/** Calls `listener` on each change; returns a function that forgets it. */
	addListener(listener: () => void): () => void {
		this.listeners.add(listener);
		return () => {
			this.listeners.delete(listener);
		};
	}

	/** Resolves once the gate is open. */
	async waitUntilOpen(): Promise<void> {
		if (this.isOpen) {
			return;
		}

		await new Promise<void>((resolve) => {
			const remove = this.addListener(() => {
				remove();
				resolve();
			});
		});
		await this.waitUntilOpen();
	}
}

/** A socket whose bytes wait while the gate is closed. */
export class GatedSocket {
	private held: Buffer[] = [];
	private ended = false;
	private readonly removeListener: () => void;

	constructor(
		readonly socket: net.Socket,
		private readonly gate: Gate,
	) {
		socket.setNoDelay(true);
		this.removeListener = gate.addListener(() => {
			this.update();
		});
		socket.on('close', () => {
			this.removeListener();
		});
		if (!gate.isOpen) {
			socket.pause();
		}
	}

	/** Writes or holds the bytes; false when the receiver is slow and `drain` will follow. */
	write(data: Buffer): boolean {
		if (!this.gate.isOpen) {
			this.held.push(data);
			return true;
		}

		return this.socket.writable ? this.socket.write(data) : true;
	}

	/** Resolves when more can be written or the socket is closed. */
	async waitDrain(): Promise<void> {
		const {socket} = this;
		if (socket.destroyed || !socket.writableNeedDrain) {
			return;
		}

		await new Promise<void>((resolve) => {
			const finish = () => {
				socket.off('drain', finish);
				socket.off('close', finish);
				resolve();
			};

			socket.on('drain', finish);
			socket.on('close', finish);
		});
	}

	/** Closes after the bytes that were written. */
	close(): void {
		this.ended = true;
		if (this.gate.isOpen) {
			this.socket.end();
		}
	}

	/** Closes at once. */
	dispose(): void {
		this.socket.destroy();
	}

	private update(): void {
		if (!this.gate.isOpen) {
			this.socket.pause();
			return;
		}

		const {held} = this;
		this.held = [];
		if (held.length > 0 && this.socket.writable) {
			this.socket.write(Buffer.concat(held));
		}

		if (this.ended) {
			this.socket.end();
		}

		this.socket.resume();
	}
}
