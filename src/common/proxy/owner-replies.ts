/**
 * What an owner answers to the entries.
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

	/** Carries out what was decided about a held commit. */
	applyDecision(decision: acknowledgements.AcknowledgementDecision): void {
		const {acknowledgement: held} = decision;
		switch (decision.type) {
			case 'acknowledge': {
				this.context.send(held.item.origin, {
					type: 'forwardDone',
					attempt: held.item.request.attempt,
					verdict: 'completed',
					tail: held.tail,
					relayed: held.relayed,
					transactionStatus: 'idle',
					bound: held.bound,
					queueMs: held.queueMs,
					servedBy: 'primary',
					...(held.requiredPosition ? {position: held.requiredPosition} : {}),
				});
				return;
			}

			case 'unknown': {
				this.finishUnknown(held.item, decision.message, held);
				return;
			}

			default: {
				assertNever(decision);
			}
		}
	}

	refuse(
		item: owned.OwnerRequest,
		reason: types.RefusalReason,
		message: string,
	): void {
		this.context.send(item.origin, {
			type: 'forwardDone',
			attempt: item.request.attempt,
			verdict: 'notRun',
			reason,
			message,
			relayed: false,
			transactionStatus: 'idle',
			bound: this.bindings.hasBinding(item),
			queueMs: this.context.now - item.arrivedAt,
		});
	}

	finishUnknown(
		item: owned.OwnerRequest,
		message: string,
		details: {readonly relayed: boolean},
	): void {
		this.context.send(item.origin, {
			type: 'forwardDone',
			attempt: item.request.attempt,
			verdict: 'unknown',
			message,
			relayed: details.relayed,
			transactionStatus: 'idle',
			bound: this.bindings.hasBinding(item),
			queueMs: this.context.now - item.arrivedAt,
		});
	}

	answerFloorRequest(
		waiter: owned.PendingFloorRequest,
		position: types.Position | undefined,
	): void {
		this.context.send(waiter.from, {
			type: 'floorAnswer',
			sequence: waiter.sequence,
			...(position ? {position} : {}),
		});
	}
}
