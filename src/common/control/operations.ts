/**
 * Changes of operators that wait for their outcome on this peer. The leader proposes them, a follower
 * passes them to the leader and sends them again when an answer is lost; the change id or the version
 * makes both safe. After a time limit a change is answered `unavailable`.
 */
import type * as ids from '../ids.js';
import type * as types from '../types.js';
import type * as messages from '../messages.js';
import * as timing from './timing.js';

/** Who waits for the answer. */
export type Origin =
	| {readonly type: 'local'; readonly operation: number}
	| {
			readonly type: 'peer';
			readonly peer: ids.PeerId;
			readonly operation: number;
	  };

type Operation = {
	readonly origin: Origin;
	readonly change: types.OperatorChange;
	readonly deadline: number;
	/** Number of the proposal in the local log. */
	proposal: number | undefined;
	/** Numbers of messages to a leader whose outcome is not known. */
	readonly unresolved: Set<number>;
	lastSend: {readonly to: ids.PeerId; readonly at: number} | undefined;
	mayHaveRun: boolean;
};

/** What the control reducer has to do for the operations. */
export type OperationAction =
	| {
			readonly type: 'propose';
			readonly proposal: number;
			readonly change: types.OperatorChange;
	  }
	| {
			readonly type: 'send';
			readonly to: ids.PeerId;
			readonly message: messages.OperatorMessage;
	  }
	| {
			readonly type: 'answer';
			readonly origin: Origin;
			readonly result: types.TemplateChangeResult;
	  };

/** What operations need from the control reducer. */
export type OperationEnvironment = {
	/** Draws a number that no other proposal of this process has. */
	createProposalNumber(): number;
	/** Finds the answer to a change that is committed already. */
	findAnswer(
		change: types.OperatorChange,
	): types.TemplateChangeResult | undefined;
};

/** The operations of one peer. */
export class Operations {
	readonly #operations = new Set<Operation>();
	#messageCounter = 0;

	readonly #environment: OperationEnvironment;

	constructor(environment: OperationEnvironment) {
		this.#environment = environment;
	}

	get size(): number {
		return this.#operations.size;
	}

	/** Takes in a checked change. It is acted upon by the next `step`. */
	add(now: number, origin: Origin, change: types.OperatorChange): void {
		this.#operations.add({
			origin,
			change,
			deadline: now + timing.operationTimeoutMs,
			proposal: undefined,
			unresolved: new Set(),
			lastSend: undefined,
			mayHaveRun: false,
		});
	}

	/** Proposes, passes on, or gives up what is due. */
	step(
		now: number,
		isLeader: boolean,
		leader: ids.PeerId | undefined,
	): OperationAction[] {
		const actions: OperationAction[] = [];
		for (const operation of this.#operations) {
			const answer = this.#environment.findAnswer(operation.change);
			if (answer) {
				actions.push(this.#finish(operation, answer));
			} else if (now >= operation.deadline) {
				actions.push(this.#finish(operation, buildUnavailable(operation)));
			} else if (operation.proposal !== undefined) {
				continue;
			} else if (isLeader) {
				operation.proposal = this.#environment.createProposalNumber();
				const {proposal, change} = operation;
				actions.push({type: 'propose', proposal, change});
			} else if (leader !== undefined && isSendDue(now, operation, leader)) {
				actions.push(this.#send(now, operation, leader));
			}
		}

		return actions;
	}

	/** Handles the commit of a change, by whichever peer it was proposed. */
	handleApplied(
		change: types.OperatorChange,
		result: types.TemplateChangeResult,
	): OperationAction[] {
		return [...this.#operations]
			.filter((operation) => isAnsweredBy(operation.change, change))
			.map((operation) => this.#finish(operation, result));
	}

	/** Handles a proposal that this peer's log gave up. */
	handleProposalLost(proposal: number, mayHaveRun: boolean): OperationAction[] {
		const operation = [...this.#operations].find(
			(candidate) => candidate.proposal === proposal,
		);
		if (!operation) {
			return [];
		}

		operation.proposal = undefined;
		operation.mayHaveRun ||= mayHaveRun;
		return operation.origin.type === 'peer'
			? [this.#finish(operation, buildUnavailable(operation))]
			: [];
	}

	/** Handles the leader's answer to a change that was passed on. */
	handleResult(
		message: Extract<messages.OperatorMessage, {type: 'changeResult'}>,
	): OperationAction[] {
		const operation = [...this.#operations].find((candidate) =>
			candidate.unresolved.has(message.operation),
		);
		if (!operation) {
			return [];
		}

		if (message.result.type !== 'unavailable') {
			return [this.#finish(operation, message.result)];
		}

		operation.unresolved.delete(message.operation);
		operation.mayHaveRun ||= message.result.mayHaveRun;
		return [];
	}

	#send(now: number, operation: Operation, to: ids.PeerId): OperationAction {
		const number = ++this.#messageCounter;
		operation.unresolved.add(number);
		operation.lastSend = {to, at: now};
		return {
			type: 'send',
			to,
			message: {
				type: 'proposeChange',
				operation: number,
				change: operation.change,
			},
		};
	}

	#finish(
		operation: Operation,
		result: types.TemplateChangeResult,
	): OperationAction {
		this.#operations.delete(operation);
		return {type: 'answer', origin: operation.origin, result};
	}
}

/** True when the commit of `applied` decides the outcome of `change`. */
function isAnsweredBy(
	change: types.OperatorChange,
	applied: types.OperatorChange,
): boolean {
	if ('type' in change || 'type' in applied) {
		return (
			'type' in change &&
			'type' in applied &&
			change.configuration.version === applied.configuration.version
		);
	}

	return (
		change.member === applied.member && change.changeId === applied.changeId
	);
}

function isSendDue(
	now: number,
	operation: Operation,
	leader: ids.PeerId,
): boolean {
	const {lastSend} = operation;
	return (
		lastSend?.to !== leader || now - lastSend.at >= timing.operationRetryMs
	);
}

function buildUnavailable(operation: Operation): types.TemplateChangeResult {
	return {
		type: 'unavailable',
		mayHaveRun:
			operation.mayHaveRun ||
			operation.proposal !== undefined ||
			operation.unresolved.size > 0,
	};
}
