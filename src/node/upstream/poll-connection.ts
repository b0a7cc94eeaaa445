/**
 * The connection for status polls of one server. A poll that times out closes it, so that the next
 * poll shows on a new connection whether the server or only the connection does not respond.
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

type PendingQuery = {
	readonly type: 'status' | 'endOtherSessions';
	readonly sentAt: number;
	columnNames: string[];
	values: Array<string | null>;
	error: string | undefined;
};

export class PollConnection {
	readonly #server: serverSocket.ServerSocket;
	readonly #pending: PendingQuery[] = [];
	#isOpen = false;
	#pollTimer: NodeJS.Timeout | undefined;

	constructor(
		private readonly target: PollTarget,
		private readonly options: types.UpstreamOptions,
		private readonly limits: types.UpstreamLimits,
		/** Called after `end_other_sessions` has succeeded. */
		private readonly handleSessionsEnded: () => void,
		private readonly handleClosed: () => void,
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
				handleMessage: (typeByte, chunk, start, end) => {
					this.#handleMessage(typeByte, chunk.subarray(start, end));
				},
				handlePart: () => {
					this.#server.close('a status row is too large');
				},
				handleClose: (message) => {
					this.#handleClose(message);
				},
			},
		);
	}

	/** Checks whether the connection belongs to the address and epoch of `target`. */
	matchesTarget(target: PollTarget): boolean {
		return (
			this.target.address === target.address &&
			serverSocket.formatEpoch(this.target.epoch) ===
				serverSocket.formatEpoch(target.epoch)
		);
	}

	/** Enqueues one poll; `endsOtherSessions` ends the sessions of lower epochs before it. */
	poll(sentAt: number, endsOtherSessions: boolean): void {
		if (endsOtherSessions) {
			this.#enqueue('endOtherSessions', sentAt);
		}

		this.#enqueue('status', sentAt);
		this.#startPollTimer();
	}

	/** Closes the connection without dispatching an event. */
	dispose(): void {
		clearTimeout(this.#pollTimer);
		this.#server.dispose();
		this.handleClosed();
	}

	#enqueue(type: PendingQuery['type'], sentAt: number): void {
		const pending: PendingQuery = {
			type,
			sentAt,
			columnNames: [],
			values: [],
			error: undefined,
		};
		this.#pending.push(pending);
		if (this.#isOpen) {
			this.#send(pending);
		}
	}

	#send(pending: PendingQuery): void {
		this.#server.socket.write(
			pending.type === 'status'
				? statusQuery
				: pgProtocol.serialize.query(
						`SELECT hemlockarch.end_other_sessions('${serverSocket.formatEpoch(this.target.epoch)}')`,
					),
		);
	}

	/** Starts the timeout of the oldest pending query, if none is running. */
	#startPollTimer(): void {
		if (this.#pollTimer !== undefined || this.#pending.length === 0) {
			return;
		}

		const elapsed = this.options.clock.now() - this.#pending[0].sentAt;
		this.#pollTimer = setTimeout(
			() => {
				this.#server.close('the poll timed out');
			},
			Math.max(0, this.limits.pollTimeoutMs - elapsed),
		);
	}

	#handleMessage(typeByte: number, message: Buffer): void {
		const pending = this.#pending[0];
		if (!pending) {
			return;
		}

		switch (typeByte) {
			case messages.messageTypes.rowDescription: {
				pending.columnNames = statusRow.parseColumnNames(message);
				return;
			}

			case messages.messageTypes.dataRow: {
				pending.values = statusRow.parseValues(message);
				return;
			}

			case messages.messageTypes.error: {
				pending.error = messages.findErrorField(message, 'M') ?? '';
				return;
			}

			case messages.messageTypes.readyForQuery: {
				this.#pending.shift();
				clearTimeout(this.#pollTimer);
				this.#pollTimer = undefined;
				this.#startPollTimer();
				this.#finish(pending);
				break;
			}

			default: {
				break;
			}
		}
	}

	#finish(pending: PendingQuery): void {
		if (pending.type === 'endOtherSessions') {
			if (pending.error === undefined) {
				this.handleSessionsEnded();
			} else {
				this.#server.close(pending.error);
			}

			return;
		}

		if (pending.error !== undefined) {
			this.#emitPollFailed(pending, pending.error);
			return;
		}

		const status = statusRow.parseStatus(pending.columnNames, pending.values);
		if (status.isErr()) {
			this.#emitPollFailed(pending, status.error);
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

	#handleClose(message: string): void {
		clearTimeout(this.#pollTimer);
		this.handleClosed();
		for (const pending of this.#pending.splice(0)) {
			if (pending.type === 'status') {
				this.#emitPollFailed(pending, message);
			}
		}
	}

	#emitPollFailed(pending: PendingQuery, message: string): void {
		this.options.dispatch({
			type: 'pollFailed',
			now: this.options.clock.now(),
			server: this.target.server,
			sentAt: pending.sentAt,
			message,
		});
	}
}
