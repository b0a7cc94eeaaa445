/**
 * The buffers of one caller's session in the memory budget, with flow control of its socket and the
 * time limits for messages and answers.
 */
import type * as net from 'node:net';
import type * as node from '../types.js';
import type * as resourceGuard from './resource-guard.js';
import type * as resourceLimits from './types.js';

/** Unsent bytes above which no further request begins. */
const fullOutputBytes = 64 * 1024;
/** Time for the rest of a message that has begun. */
const messageTimeoutMs = 60_000;
/** Time in which a caller must take some of its answers. */
const answerTimeoutMs = 30_000;
/** Time for a startup; ordinary callers send it at once. */
const startupTimeoutMs = 10_000;
/** Time in which a caller closes a connection that has ended here, before the socket is destroyed. */
const destroyDelayMs = 1000;
/** Time in which such a caller must take one of the last answers. */
const lastAnswerDelayMs = 5000;
/** Copies of a message while it is carried out: texts and frames at the entry, on the link and at the owner. */
const runningCopies = 6;
/** Smaller requests begin even when the budget is short. */
const smallRequestBytes = 16 * 1024;

export type SessionBuffersOptions = {
	readonly listener: string;
	readonly guard: resourceGuard.ResourceGuard;
	readonly clock: Pick<node.Clock, 'now'>;
	/** Ends the connection at once. */
	readonly shed: (limit: resourceLimits.LimitReport['limit']) => void;
};

export type BufferSizes = {
	/** Bytes of an incomplete message. */
	readonly input: number;
	readonly queued: number;
	readonly state: number;
	readonly isInTransaction: boolean;
	/** The caller has sent too many messages ahead. */
	readonly isQueueFull: boolean;
	/** The session ends; what arrives is refused at once, so unread answers do not stop the reading. */
	readonly isEnding?: boolean;
};

export class SessionBuffers {
	readonly #account: resourceGuard.Account;
	readonly #openedAt: number;
	#hasStarted = false;
	/** Since when a message has been incomplete. */
	#partialSince: number | undefined;
	/** Since when no answer has been taken, with the bytes written by then. */
	#unsentSince: number | undefined;
	#unsentBytes = 0;
	#isDisposed = false;

	constructor(
		private readonly socket: net.Socket,
		private readonly options: SessionBuffersOptions,
	) {
		this.#openedAt = options.clock.now();
		this.#account = options.guard.openAccount({
			listener: options.listener,
			shed() {
				options.shed('MemoryBudget');
			},
		});
	}

	/** True while the caller leaves so many answers unread that its next request has to wait. */
	get isOutputFull(): boolean {
		return this.socket.writableLength > fullOutputBytes;
	}

	/** Records that the startup is complete. */
	recordStartup(): void {
		this.#hasStarted = true;
	}

	/** Charges the sizes, sheds sessions when the budget is exceeded, and pauses or resumes the socket. */
	update(sizes: BufferSizes): void {
		const account = this.#account;
		account.isInTransaction = sizes.isInTransaction;
		account.set('input', sizes.input);
		account.set('queued', sizes.queued);
		account.set('state', sizes.state);
		account.set('output', this.socket.writableLength);
		if (sizes.input === 0) {
			this.#partialSince = undefined;
		} else {
			this.#partialSince ??= this.options.clock.now();
		}

		this.options.guard.enforce();
		const isFull =
			sizes.isQueueFull ||
			(this.isOutputFull && sizes.isEnding !== true) ||
			sizes.queued > this.#shareBytes;
		if (
			this.#isDisposed ||
			this.socket.destroyed ||
			isFull === this.socket.isPaused()
		) {
			return;
		}

		if (isFull) {
			this.socket.pause();
		} else {
			this.socket.resume();
		}
	}

	/** Charges a request that is about to run; false when the budget has no room for its copies. */
	tryBegin(bytes: number): boolean {
		if (!this.hasRoom(bytes)) {
			return false;
		}

		if (bytes > smallRequestBytes) {
			this.#account.set('running', bytes * runningCopies);
		}

		return true;
	}

	/** Whether the budget has room for the copies of a message. */
	hasRoom(bytes: number): boolean {
		if (
			bytes <= smallRequestBytes ||
			this.options.guard.hasRoom(bytes * runningCopies)
		) {
			return true;
		}

		this.options.guard.report({
			limit: 'MemoryBudget',
			listener: this.options.listener,
		});
		return false;
	}

	/** Ends the charge of the request that has run. */
	finish(): void {
		this.#account.set('running', 0);
	}

	/** Sheds the session when its caller takes too long to send a message or to take an answer. */
	checkTimes(): void {
		const now = this.options.clock.now();
		if (!this.#hasStarted && now - this.#openedAt > startupTimeoutMs) {
			this.#end('MessageTime');
			return;
		}

		if (
			this.#partialSince !== undefined &&
			!this.socket.isPaused() &&
			now - this.#partialSince > messageTimeoutMs
		) {
			this.#end('MessageTime');
			return;
		}

		const unsent = this.socket.writableLength;
		this.#account.set('output', unsent);
		if (unsent === 0) {
			this.#unsentSince = undefined;
		} else if (this.#unsentSince === undefined || unsent < this.#unsentBytes) {
			this.#unsentSince = now;
		} else if (now - this.#unsentSince > answerTimeoutMs) {
			this.#end('AnswerTime');
			return;
		}

		this.#unsentBytes = unsent;
		this.options.guard.enforce();
	}

	/** Destroys the socket unless its caller goes on taking what was written. */
	scheduleDestroy(): void {
		scheduleSocketDestroy(this.socket);
	}

	/** Ends the account; what arrives later is discarded. */
	dispose(): void {
		this.#isDisposed = true;
		this.#account.close();
		if (!this.socket.destroyed) {
			this.socket.resume();
		}
	}

	get #shareBytes(): number {
		return this.options.guard.limits.shareBytes;
	}

	#end(limit: 'MessageTime' | 'AnswerTime'): void {
		this.options.guard.report({limit, listener: this.options.listener});
		this.options.shed(limit);
	}
}

/** Holds only the socket, so that a pending timer does not keep the state of a session in memory. */
function scheduleSocketDestroy(socket: net.Socket): void {
	const unsent = socket.writableLength;
	const timer = setTimeout(
		() => {
			if (socket.writableLength < unsent) {
				scheduleSocketDestroy(socket);
			} else {
				socket.destroy();
			}
		},
		unsent === 0 ? destroyDelayMs : lastAnswerDelayMs,
	);
	timer.unref();
	socket.once('close', () => {
		clearTimeout(timer);
	});
}
