/**
 * Forwards template changes from operators to the control leader. A change whose answer is lost is
 * reported as unavailable; the operator sends it again with the same change id.
 */
import type * as ids from '../ids.js';
import type * as messages from '../messages.js';
import * as random from '../random.js';
import type * as types from '../types.js';
import type * as context from './context.js';
import type * as leaseClient from './lease-client.js';

const retryIntervalMs = 500;
const answerTimeoutMs = 5000;

type PendingChange = {
	readonly change: types.TemplateChange;
	readonly startedAt: number;
	sentAt: number;
	hasBeenSent: boolean;
};

export class OperatorClient {
	private readonly pending = new Map<number, PendingChange>();
	/** Added to the numbers of changes in messages; differs between instances of the proxy. */
	private readonly messageNumberStart: number;

	constructor(
		private readonly context: context.ProxyContext,
		private readonly lease: Pick<leaseClient.LeaseClient, 'getLeader'>,
	) {
		this.messageNumberStart = random.drawSequenceStart(context.random);
	}

	requestChange(operation: number, change: types.TemplateChange): void {
		const pending: PendingChange = {
			change,
			startedAt: this.context.now,
			sentAt: this.context.now,
			hasBeenSent: false,
		};
		this.pending.set(operation, pending);
		this.sendChange(operation, pending, this.lease.getLeader());
	}

	handleResult(
		message: Extract<messages.OperatorMessage, {type: 'changeResult'}>,
	): void {
		const operation = message.operation - this.messageNumberStart;
		const pending = this.pending.get(operation);
		if (!pending) {
			return;
		}

		if (message.result.type === 'unavailable') {
			if (message.leader !== undefined) {
				this.sendChange(operation, pending, message.leader);
			}

			return;
		}

		this.pending.delete(operation);
		this.context.emit({
			type: 'answerTemplateChange',
			operation,
			result: message.result,
		});
	}

	/** Retries pending changes, which is safe because the change id makes a change idempotent. */
	handleTick(): void {
		const {now} = this.context;
		for (const [operation, pending] of this.pending) {
			if (now - pending.startedAt > answerTimeoutMs) {
				this.pending.delete(operation);
				this.context.emit({
					type: 'answerTemplateChange',
					operation,
					result: {type: 'unavailable', mayHaveRun: pending.hasBeenSent},
				});
			} else if (now - pending.sentAt > retryIntervalMs) {
				this.sendChange(operation, pending, this.lease.getLeader());
			}
		}
	}

	private sendChange(
		operation: number,
		pending: PendingChange,
		leader: ids.PeerId | undefined,
	): void {
		pending.sentAt = this.context.now;
		if (leader !== undefined) {
			const sent = this.context.send(leader, {
				type: 'proposeChange',
				operation: this.messageNumberStart + operation,
				change: pending.change,
			});
			pending.hasBeenSent ||= sent;
		}
	}
}
