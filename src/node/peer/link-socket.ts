/**
 * One TCP connection between two peers: frames in both directions, and a bounded send buffer that is
 * written once per event-loop turn. It is closed when the process was suspended, because the peer has
 * then given it up.
 */
import {Buffer} from 'node:buffer';
import type * as net from 'node:net';
import type * as messages from '../../common/messages.js';
import type * as traffic from '../../common/metrics/traffic.js';
import * as frameReader from '../wire/frame-reader.js';
import * as frameCodec from './frame-codec.js';
import type * as linkTicker from './link-ticker.js';
import type * as types from './types.js';

/** Queued frames up to this total size are concatenated into one write. */
const maxCoalescedWriteBytes = 64 * 1024;

export type LinkSocketHandler = {
	handleMessage(message: messages.PeerMessage): void;
	handleClose(reason: string): void;
	handleDrain(): void;
	/** A message was dropped because its frame exceeds `frameBytes`. */
	handleOversizeMessage(type: string, size: number): void;
	/** Counts the frame of a message that is sent or was received. */
	recordFrame(
		direction: traffic.TrafficDirection,
		type: messages.PeerMessage['type'],
		bytes: number,
	): void;
};

/** Sends and receives frames on a connected socket. */
export class LinkSocket {
	readonly #reader: frameReader.FrameReader;
	#queuedFrames: Buffer[] = [];
	#queuedBytes = 0;
	#isFlushScheduled = false;
	#isCongested = false;
	#isClosed = false;
	#maxFrameBytes: number;

	constructor(
		readonly socket: net.Socket,
		private readonly limits: types.LinkLimits,
		private readonly ticker: linkTicker.LinkTicker,
		private readonly handler: LinkSocketHandler,
	) {
		this.#maxFrameBytes = limits.helloBytes;
		this.#reader = new frameReader.FrameReader(limits.frameBytes);
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
	}

	/** True while the send buffer is so full that producers of large data should pause. */
	get isCongested(): boolean {
		return this.#isCongested;
	}

	/** Bytes that the peer's side of the connection has not taken yet. */
	get unsentBytes(): number {
		return this.#queuedBytes + this.socket.writableLength;
	}

	/** Queues a message to be written at the end of the event-loop turn; false when it was dropped. */
	send(message: messages.PeerMessage): boolean {
		if (this.#isClosed) {
			return false;
		}

		const frame = frameCodec.encodeFrame(message);
		if (frame.length - frameCodec.prefixBytes > this.limits.frameBytes) {
			// The peer would close the link, which also carries other messages.
			this.handler.handleOversizeMessage(message.type, frame.length);
			return false;
		}

		this.handler.recordFrame('sent', message.type, frame.length);
		this.#queuedFrames.push(frame);
		this.#queuedBytes += frame.length;
		const buffered = this.unsentBytes;
		if (buffered > this.limits.sendBufferBytes) {
			this.close('the peer does not read');
			return false;
		}

		this.#isCongested ||= buffered > this.limits.congestionBytes;
		if (!this.#isFlushScheduled) {
			this.#isFlushScheduled = true;
			setImmediate(() => {
				this.#flush();
			});
		}

		return true;
	}

	/** Accepts large frames, once the peer is known. */
	acceptLargeFrames(): void {
		this.#maxFrameBytes = this.limits.frameBytes;
	}

	/** Closes the connection; only the first call reports its reason. */
	close(reason: string): void {
		if (this.#isClosed) {
			return;
		}

		this.#isClosed = true;
		this.#queuedFrames = [];
		this.socket.destroy();
		this.handler.handleClose(reason);
	}

	/** Closes the connection once the queued frames are written. */
	finish(reason: string): void {
		this.#flush();
		if (!this.#isClosed) {
			this.#isClosed = true;
			this.socket.destroySoon();
			this.handler.handleClose(reason);
		}
	}

	/** Closes the connection when the process was suspended for longer than peers wait. */
	closeIfSuspended(): void {
		if (this.ticker.pauseMs > this.limits.idleTimeoutMs) {
			this.close('the process was suspended');
		}
	}

	#flush(): void {
		this.#isFlushScheduled = false;
		if (this.#isClosed || this.#queuedFrames.length === 0) {
			return;
		}

		const frames = this.#queuedFrames;
		const size = this.#queuedBytes;
		this.#queuedFrames = [];
		this.#queuedBytes = 0;
		if (size <= maxCoalescedWriteBytes) {
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
		if (this.#isCongested && !this.#isClosed) {
			this.#isCongested = false;
			this.handler.handleDrain();
		}
	}

	#receive(chunk: Buffer): void {
		if (this.#isClosed) {
			return;
		}

		// After a suspension, data may be read before the ticker runs.
		this.closeIfSuspended();
		this.#reader.push(chunk);
		while (!this.#isClosed) {
			const prefix = this.#reader.peek(frameCodec.prefixBytes);
			if (!prefix) {
				return;
			}

			const length = prefix.readUInt32BE(0);
			if (length > this.#maxFrameBytes) {
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
		const decoded = frameCodec.decodePayload(payload, this.#maxFrameBytes);
		if (decoded.isErr()) {
			this.close(decoded.error);
			return;
		}

		this.handler.recordFrame(
			'received',
			decoded.value.type,
			frameCodec.prefixBytes + payload.length,
		);
		this.handler.handleMessage(decoded.value);
	}
}
