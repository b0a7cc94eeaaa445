/**
 * Sends the answers of an owner to the entries.
 */
import {assertNever} from '../assert-never.js';
import type * as types from '../types.js';
import type * as acknowledgements from './acknowledgements.js';
import type * as bindingTable from './binding-table.js';
import type * as context from './context.js';
import type * as owned from './owned-server.js';

export class OwnerReplies {
	constructor(
		private readonly context: context.ProxyContext,
		private readonly bindings: bindingTable.BindingTable,
	) {}

	/** Sends the decided answer to a commit. */
	applyDecision(decision: acknowledgements.AcknowledgementDecision): void {
		const {acknowledgement: pending} = decision;
		switch (decision.type) {
			case 'acknowledge': {
				this.context.send(pending.ownerRequest.origin, {
					type: 'forwardDone',
					attempt: pending.ownerRequest.request.attempt,
					verdict: 'completed',
					tail: pending.tail,
					relayed: pending.relayed,
					transactionStatus: 'idle',
					bound: pending.bound,
					queueMs: pending.queueMs,
					servedBy: 'primary',
					...(pending.requiredPosition
						? {position: pending.requiredPosition}
						: {}),
				});
				return;
			}

			case 'unknown': {
				this.finishUnknown(pending.ownerRequest, decision.message, pending);
				return;
			}

			default: {
				assertNever(decision);
			}
		}
	}

	refuse(
		ownerRequest: owned.OwnerRequest,
		reason: types.RefusalReason,
		message: string,
	): void {
		this.context.send(ownerRequest.origin, {
			type: 'forwardDone',
			attempt: ownerRequest.request.attempt,
			verdict: 'notRun',
			reason,
			message,
			relayed: false,
			transactionStatus: 'idle',
			bound: this.bindings.findBinding(ownerRequest) !== undefined,
			queueMs: this.context.now - ownerRequest.arrivedAt,
		});
	}

	/** Gives a request back to its entry, to which another server seems better than a wait here. */
	sendBack(
		{origin, request, arrivedAt}: owned.OwnerRequest,
		expectedWaitMs: number,
	): void {
		this.context.send(origin, {
			type: 'forwardDone',
			attempt: request.attempt,
			verdict: 'notRun',
			reason: 'queueFull',
			isReturned: true,
			expectedWaitMs: Math.round(expectedWaitMs),
			relayed: false,
			transactionStatus: 'idle',
			bound: false,
			queueMs: this.context.now - arrivedAt,
		});
	}

	finishUnknown(
		ownerRequest: owned.OwnerRequest,
		message: string,
		details: {readonly relayed: boolean},
	): void {
		this.context.send(ownerRequest.origin, {
			type: 'forwardDone',
			attempt: ownerRequest.request.attempt,
			verdict: 'unknown',
			message,
			relayed: details.relayed,
			transactionStatus: 'idle',
			bound: this.bindings.findBinding(ownerRequest) !== undefined,
			queueMs: this.context.now - ownerRequest.arrivedAt,
		});
	}

	answerFloorRequest(
		floorRequest: owned.PendingFloorRequest,
		position: types.Position | undefined,
	): void {
		this.context.send(floorRequest.from, {
			type: 'floorAnswer',
			sequence: floorRequest.sequence,
			...(position ? {position} : {}),
		});
	}
}
