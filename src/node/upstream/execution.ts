/**
 * Follows the answer to one execution: hides what the caller did not ask for, sends large results
 * to the sink and keeps back what must wait for the reducer.
 */
import {Buffer} from 'node:buffer';
import type * as proxy from '../../common/proxy/types.js';
import * as messages from '../wire/messages.js';
import type * as requestPlan from './request-plan.js';
import type * as types from './types.js';

/** SQLSTATE of a key that exists, towards callers. */
const keyUsedState = 'HK008';
const uniqueViolation = '23505';

export type ExecutionHandler = {
	relay(data: Uint8Array): void;
	handleFinished(outcome: proxy.ExecutionOutcome): void;
	/** The answer cannot be followed any more; the connection has to go. */
	handleBroken(message: string): void;
};

export class Execution {
	#segment = 0;
	#hidden: number;
	#flushAnswers: number;
	#buffers: Buffer[] = [];
	#buffered = 0;
	/** The last kept range, extended while messages follow each other in one chunk. */
	#chunk: Buffer | undefined;
	#start = 0;
	#end = 0;
	#isHolding = false;
	#relayed = false;
	#isPartRelayed = false;
	#sqlState: string | undefined;
	#beginFailed = false;
	#claimState: string | undefined;
	#claimError: Buffer | undefined;
	#commitError: Buffer | undefined;
	#isFinished = false;

	constructor(
		readonly effect: types.ExecuteEffect,
		readonly plan: requestPlan.RequestPlan,
		private readonly limits: types.UpstreamLimits,
		private readonly handler: ExecutionHandler,
	) {
		this.#hidden = plan.hidden;
		this.#flushAnswers = plan.flushAnswers ?? 0;
	}

	/** True when a part of the answer went to the sink. */
	get relayed(): boolean {
		return this.#relayed;
	}

	get isFinished(): boolean {
		return this.#isFinished;
	}

	/** True when the statements of the request exist on the connection now. */
	get hasSucceeded(): boolean {
		return this.#sqlState === undefined && this.#claimState === undefined;
	}

	handleMessage(code: number, chunk: Buffer, start: number, end: number): void {
		switch (this.plan.segments[this.#segment]) {
			case 'main': {
				this.#handleMain(code, chunk, start, end);
				return;
			}

			case 'begin':
			case 'claim':
			case 'commit': {
				this.#handleExtra(code, chunk.subarray(start, end));
				return;
			}

			case undefined: {
				this.handler.handleBroken('a message after the end of the answer');
			}
		}
	}

	/** A part of a large data row. */
	handlePart(part: Buffer, missing: number): void {
		if (
			this.plan.segments[this.#segment] !== 'main' ||
			this.#claimState !== undefined
		) {
			return;
		}

		this.#keep(part, 0, part.length);
		if (this.#isHolding) {
			return;
		}

		if (this.#buffered > this.limits.flushBytes) {
			this.#isPartRelayed = true;
			this.#flush();
		}

		if (missing === 0) {
			// The kept end of the answer has to begin at a message boundary.
			if (this.#isPartRelayed) {
				this.#flush();
			}

			this.#isPartRelayed = false;
		}
	}

	#handleExtra(code: number, message: Buffer): void {
		const segment = this.plan.segments[this.#segment];
		switch (code) {
			case messages.messageTypes.error: {
				if (segment === 'begin') {
					this.#beginFailed = true;
				} else if (segment === 'claim') {
					this.#claimState = messages.findErrorField(message, 'C') ?? '';
					this.#claimError = Buffer.from(message);
				} else {
					this.#commitError = Buffer.from(message);
					this.#sqlState ??= messages.findErrorField(message, 'C') ?? '';
				}

				break;
			}

			case messages.messageTypes.notification: {
				this.#keep(message, 0, message.length);

				break;
			}

			case messages.messageTypes.readyForQuery: {
				this.#finishSegment(message[5]);

				break;
			}
			// No default
		}
	}

	#handleMain(code: number, chunk: Buffer, start: number, end: number): void {
		if (code === messages.messageTypes.readyForQuery) {
			this.#finishSegment(chunk[start + 5]);
			return;
		}

		if (this.#claimState !== undefined) {
			return;
		}

		switch (code) {
			case messages.messageTypes.parseComplete:
			case messages.messageTypes.closeComplete: {
				if (this.#hidden > 0) {
					this.#hidden--;
					return;
				}

				break;
			}

			case messages.messageTypes.error: {
				this.#hidden = 0;
				this.#sqlState ??=
					messages.findErrorField(chunk.subarray(start, end), 'C') ?? '';
				break;
			}

			case messages.messageTypes.commandComplete: {
				this.#isHolding ||= this.effect.kind !== 'read';
				break;
			}

			case messages.messageTypes.copyIn:
			case messages.messageTypes.copyOut:
			case messages.messageTypes.copyBoth: {
				this.handler.handleBroken('the server began a COPY');
				return;
			}

			default: {
				break;
			}
		}

		this.#keep(chunk, start, end);
		if (!this.#isHolding && this.#buffered > this.limits.flushBytes) {
			this.#flush();
		}

		if (this.plan.flushAnswers !== undefined) {
			this.#countFlushAnswer(code);
		}
	}

	/** Without ReadyForQuery the end is the answer to the last frame, or an error. */
	#countFlushAnswer(code: number): void {
		switch (code) {
			case messages.messageTypes.parseComplete:
			case messages.messageTypes.bindComplete:
			case messages.messageTypes.closeComplete:
			case messages.messageTypes.rowDescription:
			case messages.messageTypes.noData:
			case messages.messageTypes.commandComplete:
			case messages.messageTypes.emptyQuery:
			case messages.messageTypes.portalSuspended: {
				this.#flushAnswers--;
				break;
			}

			case messages.messageTypes.error: {
				this.#flushAnswers = 0;
				break;
			}

			default: {
				return;
			}
		}

		if (this.#flushAnswers === 0) {
			this.#finish(this.#sqlState === undefined ? 'inTransaction' : 'failed');
		}
	}

	#finishSegment(statusByte: number | undefined): void {
		this.#segment++;
		if (this.#segment < this.plan.segments.length) {
			return;
		}

		const status = messages.parseTransactionStatus(statusByte);
		if (this.#beginFailed) {
			// Without the transaction around them, claim and statement may have committed separately.
			this.handler.handleBroken('BEGIN failed');
			return;
		}

		if (this.#claimState !== undefined) {
			this.#finishRefusedClaim(status);
			return;
		}

		if (this.#commitError) {
			this.#clearKept();
			this.#keep(this.#commitError, 0, this.#commitError.length);
		}

		const ready = messages.getReadyForQuery(status);
		this.#keep(ready, 0, ready.length);
		this.#finish(status);
	}

	#finishRefusedClaim(status: proxy.TransactionStatus): void {
		if (this.#claimState === uniqueViolation && status === 'idle') {
			this.#isFinished = true;
			this.handler.handleFinished({type: 'keyUsed'});
			return;
		}

		const isUsed = this.#claimState === uniqueViolation;
		const error = isUsed
			? messages.buildErrorResponse(
					'ERROR',
					keyUsedState,
					'key already used; this attempt did not run',
				)
			: this.#claimError!;
		this.#sqlState = isUsed ? keyUsedState : this.#claimState;
		this.#clearKept();
		this.#keep(error, 0, error.length);
		const ready = messages.getReadyForQuery(status);
		this.#keep(ready, 0, ready.length);
		this.#finish(status);
	}

	#finish(transactionStatus: proxy.TransactionStatus): void {
		this.#isFinished = true;
		const tail = this.#takeKept();
		this.handler.handleFinished({
			type: 'answered',
			tail,
			relayed: this.#relayed,
			transactionStatus,
			...(this.#sqlState !== undefined && {sqlState: this.#sqlState}),
		});
	}

	#keep(chunk: Buffer, start: number, end: number): void {
		this.#buffered += end - start;
		if (this.#buffered > this.limits.heldBytes) {
			this.handler.handleBroken('the answer exceeds what can be kept back');
			return;
		}

		if (this.#chunk === chunk && this.#end === start) {
			this.#end = end;
			return;
		}

		this.#finishRange();
		this.#chunk = chunk;
		this.#start = start;
		this.#end = end;
	}

	#finishRange(): void {
		if (this.#chunk) {
			this.#buffers.push(this.#chunk.subarray(this.#start, this.#end));
			this.#chunk = undefined;
		}
	}

	#clearKept(): void {
		this.#buffers = [];
		this.#chunk = undefined;
		this.#buffered = 0;
	}

	#takeKept(): Buffer {
		this.#finishRange();
		const kept =
			this.#buffers.length === 1
				? this.#buffers[0]
				: Buffer.concat(this.#buffers, this.#buffered);
		this.#clearKept();
		return kept;
	}

	#flush(): void {
		if (this.#buffered > 0) {
			this.#relayed = true;
			this.handler.relay(this.#takeKept());
		}
	}
}
