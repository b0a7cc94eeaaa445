/**
 * The connection for status polls of one server. A poll without an answer closes it, so that the
 * next poll finds out on a new connection whether the server or only the connection is silent.
 */
import type {Buffer} from 'node:buffer';
import * as pgProtocol from 'pg-protocol/dist/serializer';
import type * as ids from '../../common/ids.js';
import type * as commonTypes from '../../common/types.js';
import * as messages from '../wire/messages.js';
import * as serverSocket from './server-socket.js';
import * as statusRow from './status-row.js';
import type * as types from './types.js';

const statusQuery = pgProtocol.serialize.query(
	'SELECT * FROM hemlockarch.status()',
);

/** The server that is polled, and the epoch of its owner. */
export type PollTarget = {
	readonly server: ids.UpstreamId;
	readonly address: string;
	readonly epoch: commonTypes.Epoch;
};

type Pending = {
	readonly type: 'status' | 'endOtherSessions';
	readonly sentAt: number;
	names: string[];
	values: Array<string | null>;
	error: string | undefined;
};

export class PollConnection {
	readonly #server: serverSocket.ServerSocket;
	readonly #pending: Pending[] = [];
	#isOpen = false;
	#timer: NodeJS.Timeout | undefined;

	constructor(
		private readonly target: PollTarget,
		private readonly options: types.UpstreamOptions,
		private readonly limits: types.UpstreamLimits,
		/** Called when `end_other_sessions` has succeeded. */
		private readonly handleEpochDone: () => void,
		private readonly handleGone: () => void,
	) {
		this.#server = new serverSocket.ServerSocket(
			{
				address: target.address,
				epoch: target.epoch,
				user: options.user,
				database: options.database,
				connectTimeoutMs: limits.connectTimeoutMs,
			},
			{
				handleOpen: () => {
					this.#isOpen = true;
					for (const pending of this.#pending) {
						this.#send(pending);
					}
				},
				handleMessage: (code, chunk, start, end) => {
					this.#handleMessage(code, chunk.subarray(start, end));
				},
				handlePart: () => {
					this.#server.close('a status row is too large');
				},
				handleEnd: (message) => {
					this.#handleEnd(message);
				},
			},
		);
	}

	/** Tells whether the connection belongs to this address and epoch. */
	isFor(target: PollTarget): boolean {
		return (
			this.target.address === target.address &&
			serverSocket.formatEpoch(this.target.epoch) ===
				serverSocket.formatEpoch(target.epoch)
		);
	}

	/** Queues one poll; `isFirst` ends the sessions of lower epochs before it. */
	poll(sentAt: number, isFirst: boolean): void {
		if (isFirst) {
			this.#add('endOtherSessions', sentAt);
		}

		this.#add('status', sentAt);
		this.#startTimer();
	}

	/** Closes the connection without a report. */
	dispose(): void {
		clearTimeout(this.#timer);
		this.#server.dispose();
		this.handleGone();
	}

	#add(type: Pending['type'], sentAt: number): void {
		const pending: Pending = {
			type,
			sentAt,
			names: [],
			values: [],
			error: undefined,
		};
		this.#pending.push(pending);
		if (this.#isOpen) {
			this.#send(pending);
		}
	}

	#send(pending: Pending): void {
		this.#server.socket.write(
			pending.type === 'status'
				? statusQuery
				: pgProtocol.serialize.query(
						`SELECT hemlockarch.end_other_sessions('${serverSocket.formatEpoch(this.target.epoch)}')`,
					),
		);
	}

	/** Waits for the answer to the oldest poll. */
	#startTimer(): void {
		if (this.#timer !== undefined || this.#pending.length === 0) {
			return;
		}

		const elapsed = this.options.clock.now() - this.#pending[0].sentAt;
		this.#timer = setTimeout(
			() => {
				this.#server.close('the poll got no answer');
			},
			Math.max(0, this.limits.pollTimeoutMs - elapsed),
		);
	}

	#handleMessage(code: number, message: Buffer): void {
		const pending = this.#pending[0];
		if (!pending) {
			return;
		}

		switch (code) {
			case messages.messageTypes.rowDescription: {
				pending.names = statusRow.readColumnNames(message);
				return;
			}

			case messages.messageTypes.dataRow: {
				pending.values = statusRow.readValues(message);
				return;
			}

			case messages.messageTypes.error: {
				pending.error = messages.findErrorField(message, 'M') ?? '';
				return;
			}

			case messages.messageTypes.readyForQuery: {
				this.#pending.shift();
				clearTimeout(this.#timer);
				this.#timer = undefined;
				this.#startTimer();
				this.#finish(pending);
				break;
			}

			default: {
				break;
			}
		}
	}

	#finish(pending: Pending): void {
		if (pending.type === 'endOtherSessions') {
			if (pending.error === undefined) {
				this.handleEpochDone();
			} else {
				this.#server.close(pending.error);
			}

			return;
		}

		if (pending.error !== undefined) {
			this.#emitFailed(pending, pending.error);
			return;
		}

		const status = statusRow.parseStatus(pending.names, pending.values);
		if (status.isErr()) {
			this.#emitFailed(pending, status.error);
			return;
		}

		this.options.dispatch({
			type: 'pollAnswered',
			now: this.options.clock.now(),
			server: this.target.server,
			sentAt: pending.sentAt,
			status: status.value,
		});
	}

	#handleEnd(message: string): void {
		clearTimeout(this.#timer);
		this.handleGone();
		for (const pending of this.#pending.splice(0)) {
			if (pending.type === 'status') {
				this.#emitFailed(pending, message);
			}
		}
	}

	#emitFailed(pending: Pending, message: string): void {
		this.options.dispatch({
			type: 'pollFailed',
			now: this.options.clock.now(),
			server: this.target.server,
			sentAt: pending.sentAt,
			message,
		});
	}
}
