/**
 * A gate that pauses I/O or execution while a fault is active, and a socket that such a gate
 * controls. A closed gate drops no data and closes no connection: it models a frozen process or a
 * cut network.
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

	/** Calls `listener` on each change; returns a function that removes it. */
	addListener(listener: () => void): () => void {
		this.listeners.add(listener);
		return () => {
			this.listeners.delete(listener);
		};
	}

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

/** A socket that neither sends nor reads data while the gate is closed. */
export class GatedSocket {
	private pendingWrites: Buffer[] = [];
	private isCloseRequested = false;
	private readonly removeListener: () => void;

	constructor(
		readonly socket: net.Socket,
		private readonly gate: Gate,
	) {
		socket.setNoDelay(true);
		this.removeListener = gate.addListener(() => {
			this.handleGateChange();
		});
		socket.on('close', () => {
			this.removeListener();
		});
		if (!gate.isOpen) {
			socket.pause();
		}
	}

	/**
	 * Writes the data, or queues it while the gate is closed.
	 *
	 * @returns False when the send buffer is full; `drain` follows when it has been emptied.
	 */
	write(data: Buffer): boolean {
		if (!this.gate.isOpen) {
			this.pendingWrites.push(data);
			return true;
		}

		return this.socket.writable ? this.socket.write(data) : true;
	}

	/** Resolves when the send buffer has been emptied or the socket is closed. */
	async waitUntilWritable(): Promise<void> {
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

	/** Closes the connection after sending the data written so far. */
	close(): void {
		this.isCloseRequested = true;
		if (this.gate.isOpen) {
			this.socket.end();
		}
	}

	/** Destroys the socket immediately. */
	dispose(): void {
		this.socket.destroy();
	}

	private handleGateChange(): void {
		if (!this.gate.isOpen) {
			this.socket.pause();
			return;
		}

		const {pendingWrites} = this;
		this.pendingWrites = [];
		if (pendingWrites.length > 0 && this.socket.writable) {
			this.socket.write(Buffer.concat(pendingWrites));
		}

		if (this.isCloseRequested) {
			this.socket.end();
		}

		this.socket.resume();
	}
}
