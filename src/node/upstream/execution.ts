/**
 * Processes the answer to one execution. It removes the answers to messages that the adapter added,
 * sends large results to the sink, and holds back what must wait for the reducer.
 */
import {Buffer} from 'node:buffer';
import type * as proxy from '../../common/proxy/types.js';
import * as messages from '../wire/messages.js';
import type * as requestPlan from './request-plan.js';
import type * as types from './types.js';

/** SQLSTATE that callers get for a key that was already used. */
const keyUsedSqlState = 'HK008';
const uniqueViolationSqlState = '23505';

export type ExecutionHandler = {
	relay(data: Uint8Array): void;
	handleFinished(outcome: proxy.ExecutionOutcome): void;
	/** The rest of the answer cannot be processed; the connection has to be closed. */
	handleFailure(message: string): void;
};

export class Execution {
	#segmentIndex = 0;
	#hiddenAnswers: number;
	#remainingFlushAnswers: number;
	#ranges: Buffer[] = [];
	#bufferedBytes = 0;
	/** Chunk of the last buffered range, which grows by messages that follow it in the same chunk. */
	#rangeChunk: Buffer | undefined;
	#rangeStart = 0;
	#rangeEnd = 0;
	/**
	 * True from the first CommandComplete of a request that is not a read. The rest of the answer stays
	 * in the tail, because the reducer decides about the acknowledgement.
	 */
	#isHeldBack = false;
	#relayed = false;
	#isRowPartlyRelayed = false;
	#sqlState: string | undefined;
	#beginFailed = false;
	#claimSqlState: string | undefined;
	#claimError: Buffer | undefined;
	#commitError: Buffer | undefined;
	#isFinished = false;

	constructor(
		readonly effect: types.ExecuteEffect,
		readonly plan: requestPlan.RequestPlan,
		private readonly limits: types.UpstreamLimits,
		private readonly handler: ExecutionHandler,
	) {
		this.#hiddenAnswers = plan.hiddenAnswers;
		this.#remainingFlushAnswers = plan.flushAnswers ?? 0;
	}

	/** True when a part of the answer was sent to the sink. */
	get relayed(): boolean {
		return this.#relayed;
	}

	get isFinished(): boolean {
		return this.#isFinished;
	}

	/** True when nothing failed, so that the statements of the request exist on the connection. */
	get hasSucceeded(): boolean {
		return this.#sqlState === undefined && this.#claimSqlState === undefined;
	}

	handleMessage(
		typeByte: number,
		chunk: Buffer,
		start: number,
		end: number,
	): void {
		switch (this.plan.segments[this.#segmentIndex]) {
			case 'main': {
				this.#handleMainMessage(typeByte, chunk, start, end);
				return;
			}

			case 'begin':
			case 'claim':
			case 'commit': {
				this.#handleAddedMessage(typeByte, chunk.subarray(start, end));
				return;
			}

			case undefined: {
				this.handler.handleFailure(
					'the server sent a message after the end of the answer',
				);
			}
		}
	}

	/** Handles a part of a large data row; `remainingBytes` bytes of the row follow. */
	handlePart(part: Buffer, remainingBytes: number): void {
		if (
			this.plan.segments[this.#segmentIndex] !== 'main' ||
			this.#claimSqlState !== undefined
		) {
			return;
		}

		this.#bufferRange(part, 0, part.length);
		if (this.#isHeldBack) {
			return;
		}

		if (this.#bufferedBytes > this.limits.flushBytes) {
			this.#isRowPartlyRelayed = true;
			this.#flush();
		}

		if (remainingBytes === 0) {
			// The tail must begin at a message boundary, so a partly relayed row is relayed to its end.
			if (this.#isRowPartlyRelayed) {
				this.#flush();
			}

			this.#isRowPartlyRelayed = false;
		}
	}

	/** Handles the answers to BEGIN, the claim of the key and COMMIT. */
	#handleAddedMessage(typeByte: number, message: Buffer): void {
		const segment = this.plan.segments[this.#segmentIndex];
		switch (typeByte) {
			case messages.messageTypes.error: {
				if (segment === 'begin') {
					this.#beginFailed = true;
				} else if (segment === 'claim') {
					this.#claimSqlState = messages.findErrorField(message, 'C') ?? '';
					this.#claimError = Buffer.from(message);
				} else {
					this.#commitError = Buffer.from(message);
					this.#sqlState ??= messages.findErrorField(message, 'C') ?? '';
				}

				break;
			}

			case messages.messageTypes.notification: {
				this.#bufferRange(message, 0, message.length);

				break;
			}

			case messages.messageTypes.readyForQuery: {
				this.#finishSegment(message[5]);

				break;
			}
			// No default
		}
	}

	#handleMainMessage(
		typeByte: number,
		chunk: Buffer,
		start: number,
		end: number,
	): void {
		if (typeByte === messages.messageTypes.readyForQuery) {
			this.#finishSegment(chunk[start + 5]);
			return;
		}

		if (this.#claimSqlState !== undefined) {
			return;
		}

		switch (typeByte) {
			case messages.messageTypes.parseComplete:
			case messages.messageTypes.closeComplete: {
				if (this.#hiddenAnswers > 0) {
					this.#hiddenAnswers--;
					return;
				}

				break;
			}

			case messages.messageTypes.error: {
				this.#hiddenAnswers = 0;
				this.#sqlState ??=
					messages.findErrorField(chunk.subarray(start, end), 'C') ?? '';
				break;
			}

			case messages.messageTypes.commandComplete: {
				this.#isHeldBack ||= this.effect.kind !== 'read';
				break;
			}

			case messages.messageTypes.copyIn:
			case messages.messageTypes.copyOut:
			case messages.messageTypes.copyBoth: {
				this.handler.handleFailure('the server started a COPY');
				return;
			}

			default: {
				break;
			}
		}

		this.#bufferRange(chunk, start, end);
		if (!this.#isHeldBack && this.#bufferedBytes > this.limits.flushBytes) {
			this.#flush();
		}

		if (this.plan.flushAnswers !== undefined) {
			this.#countFlushAnswer(typeByte);
		}
	}

	/**
	 * Without ReadyForQuery, an answer ends with the message that completes the last frame of the
	 * request, or with an error.
	 */
	#countFlushAnswer(typeByte: number): void {
		switch (typeByte) {
			case messages.messageTypes.parseComplete:
			case messages.messageTypes.bindComplete:
			case messages.messageTypes.closeComplete:
			case messages.messageTypes.rowDescription:
			case messages.messageTypes.noData:
			case messages.messageTypes.commandComplete:
			case messages.messageTypes.emptyQuery:
			case messages.messageTypes.portalSuspended: {
				this.#remainingFlushAnswers--;
				break;
			}

			case messages.messageTypes.error: {
				this.#remainingFlushAnswers = 0;
				break;
			}

			default: {
				return;
			}
		}

		if (this.#remainingFlushAnswers === 0) {
			this.#finish(this.#sqlState === undefined ? 'inTransaction' : 'failed');
		}
	}

	#finishSegment(statusByte: number | undefined): void {
		this.#segmentIndex++;
		if (this.#segmentIndex < this.plan.segments.length) {
			return;
		}

		const status = messages.parseTransactionStatus(statusByte);
		if (this.#beginFailed) {
			// Without the enclosing transaction, claim and statement may have committed separately.
			this.handler.handleFailure('BEGIN failed');
			return;
		}

		if (this.#claimSqlState !== undefined) {
			this.#finishFailedClaim(status);
			return;
		}

		if (this.#commitError) {
			this.#clearBuffer();
			this.#bufferRange(this.#commitError, 0, this.#commitError.length);
		}

		const ready = messages.getReadyForQuery(status);
		this.#bufferRange(ready, 0, ready.length);
		this.#finish(status);
	}

	#finishFailedClaim(status: proxy.TransactionStatus): void {
		if (this.#claimSqlState === uniqueViolationSqlState && status === 'idle') {
			this.#isFinished = true;
			this.handler.handleFinished({type: 'keyUsed'});
			return;
		}

		const isUsed = this.#claimSqlState === uniqueViolationSqlState;
		const error = isUsed
			? messages.buildErrorResponse(
					'ERROR',
					keyUsedSqlState,
					'key already used; this attempt did not run',
				)
			: this.#claimError!;
		this.#sqlState = isUsed ? keyUsedSqlState : this.#claimSqlState;
		this.#clearBuffer();
		this.#bufferRange(error, 0, error.length);
		const ready = messages.getReadyForQuery(status);
		this.#bufferRange(ready, 0, ready.length);
		this.#finish(status);
	}

	#finish(transactionStatus: proxy.TransactionStatus): void {
		this.#isFinished = true;
		const tail = this.#takeBuffer();
		this.handler.handleFinished({
			type: 'answered',
			tail,
			relayed: this.#relayed,
			transactionStatus,
			...(this.#sqlState !== undefined && {sqlState: this.#sqlState}),
		});
	}

	#bufferRange(chunk: Buffer, start: number, end: number): void {
		this.#bufferedBytes += end - start;
		if (this.#bufferedBytes > this.limits.maxBufferedBytes) {
			this.handler.handleFailure('the answer exceeds the buffer limit');
			return;
		}

		if (this.#rangeChunk === chunk && this.#rangeEnd === start) {
			this.#rangeEnd = end;
			return;
		}

		this.#finishRange();
		this.#rangeChunk = chunk;
		this.#rangeStart = start;
		this.#rangeEnd = end;
	}

	#finishRange(): void {
		if (this.#rangeChunk) {
			this.#ranges.push(
				this.#rangeChunk.subarray(this.#rangeStart, this.#rangeEnd),
			);
			this.#rangeChunk = undefined;
		}
	}

	#clearBuffer(): void {
		this.#ranges = [];
		this.#rangeChunk = undefined;
		this.#bufferedBytes = 0;
	}

	#takeBuffer(): Buffer {
		this.#finishRange();
		const data =
			this.#ranges.length === 1
				? this.#ranges[0]
				: Buffer.concat(this.#ranges, this.#bufferedBytes);
		this.#clearBuffer();
		return data;
	}

	#flush(): void {
		if (this.#bufferedBytes > 0) {
			this.#relayed = true;
			this.handler.relay(this.#takeBuffer());
		}
	}
}
