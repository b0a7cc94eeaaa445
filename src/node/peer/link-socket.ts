/**
 * One TCP connection between two peers: frames in both directions, a bounded send buffer that is
 * written once per event-loop turn, and detection of silence.
 */
import {Buffer} from 'node:buffer';
import type * as net from 'node:net';
import type * as messages from '../../common/messages.js';
import type * as node from '../types.js';
import * as frameReader from '../wire/frame-reader.js';
import * as frameCodec from './frame-codec.js';
import type * as linkTicker from './link-ticker.js';
import type * as types from './types.js';

/** Frames up to this total size are joined into one write. */
const joinBytes = 64 * 1024;

export type LinkSocketHandler = {
	handleMessage(message: messages.PeerMessage): void;
	handleEnd(reason: string): void;
	handleDrain(): void;
	/** A message was dropped because its frame exceeds the limit. */
	handleOversize(type: string, size: number): void;
};

/** Sends and receives frames on a connected socket. */
export class LinkSocket {
	readonly #reader: frameReader.FrameReader;
	#waiting: Buffer[] = [];
	#waitingBytes = 0;
	#scheduled = false;
	#congested = false;
	#closed = false;
	#heardAt: number;
	readonly #stopChecks: () => void;

	constructor(
		readonly socket: net.Socket,
		private readonly limits: types.LinkLimits,
		private readonly clock: node.Clock,
		private readonly handler: LinkSocketHandler,
		ticker: linkTicker.LinkTicker,
	) {
		this.#reader = new frameReader.FrameReader(limits.frameBytes);
		this.#heardAt = clock.now();
		socket.setNoDelay(true);
		socket.on('data', (chunk: Buffer) => {
			this.#receive(chunk);
		});
		socket.on('drain', () => {
			this.#handleDrain();
		});
		socket.on('error', (error) => {
			this.close(error.message);
		});
		socket.on('close', () => {
			this.close('the connection was closed');
		});
		this.#stopChecks = ticker.add(() => {
			this.#checkSilence();
		});
	}

	/** True while producers of large data should pause. */
	get isCongested(): boolean {
		return this.#congested;
	}

	/** Queues one message for the end of the event-loop turn; false when the link is closed. */
	send(message: messages.PeerMessage): boolean {
		if (this.#closed) {
			return false;
		}

		const frame = frameCodec.encodeFrame(message);
		if (frame.length - frameCodec.prefixBytes > this.limits.frameBytes) {
			// The peer would close the link, which carries the messages of others too.
			this.handler.handleOversize(message.type, frame.length);
			return false;
		}

		this.#waiting.push(frame);
		this.#waitingBytes += frame.length;
		const buffered = this.#waitingBytes + this.socket.writableLength;
		if (buffered > this.limits.sendBufferBytes) {
			this.close('the peer does not read');
			return false;
		}

		this.#congested ||= buffered > this.limits.congestionBytes;
		if (!this.#scheduled) {
			this.#scheduled = true;
			setImmediate(() => {
				this.#flush();
			});
		}

		return true;
	}

	/** Closes the connection and reports the reason once. */
	close(reason: string): void {
		if (this.#closed) {
			return;
		}

		this.#closed = true;
		this.#stopChecks();
		this.#waiting = [];
		this.socket.destroy();
		this.handler.handleEnd(reason);
	}

	#flush(): void {
		this.#scheduled = false;
		if (this.#closed || this.#waiting.length === 0) {
			return;
		}

		const frames = this.#waiting;
		const size = this.#waitingBytes;
		this.#waiting = [];
		this.#waitingBytes = 0;
		if (size <= joinBytes) {
			this.socket.write(
				frames.length === 1 ? frames[0] : Buffer.concat(frames, size),
			);
		} else {
			this.socket.cork();
			for (const frame of frames) {
				this.socket.write(frame);
			}

			this.socket.uncork();
		}

		if (!this.socket.writableNeedDrain) {
			this.#handleDrain();
		}
	}

	#handleDrain(): void {
		if (this.#congested && !this.#closed) {
			this.#congested = false;
			this.handler.handleDrain();
		}
	}

	#receive(chunk: Buffer): void {
		if (this.#closed) {
			return;
		}

		// A process that was frozen closes the link here when its timer has not run yet.
		this.#checkSilence();
		this.#heardAt = this.clock.now();
		this.#reader.push(chunk);
		while (!this.#closed) {
			const head = this.#reader.peek(frameCodec.prefixBytes);
			if (!head) {
				return;
			}

			const length = head.readUInt32BE(0);
			if (length > this.limits.frameBytes) {
				this.close(`a frame of ${length} bytes exceeds the limit`);
				return;
			}

			const frame = this.#reader.take(frameCodec.prefixBytes + length);
			if (!frame) {
				return;
			}

			this.#handleFrame(frame.subarray(frameCodec.prefixBytes));
		}
	}

	#handleFrame(payload: Buffer): void {
		const decoded = frameCodec.decodePayload(payload);
		if (decoded.isErr()) {
			this.close(decoded.error);
			return;
		}

		this.handler.handleMessage(decoded.value);
	}

	#checkSilence(): void {
		if (
			!this.#closed &&
			this.clock.now() - this.#heardAt > this.limits.idleTimeoutMs
		) {
			this.close('the peer is silent');
		}
	}
}
