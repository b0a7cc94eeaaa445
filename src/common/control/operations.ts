/**
 * Operators' changes whose outcome is pending on this peer. The leader proposes them; a follower
 * forwards them to the leader and retries when no answer arrives. Repeated proposals are safe, because
 * the change id of a template change and the version of a configuration identify the change. After
 * `timing.operationTimeoutMs` a change whose outcome is still unknown is answered `unavailable`.
 */
import type * as ids from '../ids.js';
import type * as types from '../types.js';
import type * as messages from '../messages.js';
import * as timing from './timing.js';

/** Where an operation came from, and where its answer goes. */
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
	readonly deadlineAt: number;
	/** Number of the proposal in the local log. */
	proposal: number | undefined;
	/** The next proposal is not before this time. */
	nextProposalAt: number;
	/** Numbers of messages to a leader that are not answered yet. */
	readonly unresolvedMessages: Set<number>;
	lastSend: {readonly to: ids.PeerId; readonly at: number} | undefined;
	mayHaveRun: boolean;
};

/** What the control reducer carries out for the operations. */
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
	/** Messages to the leader have higher numbers; differs between instances of the peer. */
	readonly messageNumberStart: number;
	/** Returns a number that no other proposal of this process has. */
	createProposalNumber(): number;
	/** Finds the answer to a change whose outcome is already decided by the applied log. */
	findAnswer(
		change: types.OperatorChange,
	): types.TemplateChangeResult | undefined;
};

/** The pending operations of one peer. */
export class Operations {
	readonly #operations = new Set<Operation>();
	/** The change of each proposal whose outcome is pending, also when its operator was answered. */
	readonly #proposals = new Map<number, types.OperatorChange>();
	#messageCounter: number;

	readonly #environment: OperationEnvironment;

	constructor(environment: OperationEnvironment) {
		this.#environment = environment;
		this.#messageCounter = environment.messageNumberStart;
	}

	get size(): number {
		return this.#operations.size;
	}

	/** Adds a validated change; the next `step` proposes or forwards it. */
	add(now: number, origin: Origin, change: types.OperatorChange): void {
		this.#operations.add({
			origin,
			change,
			deadlineAt: now + timing.operationTimeoutMs,
			proposal: undefined,
			nextProposalAt: now,
			unresolvedMessages: new Set(),
			lastSend: undefined,
			mayHaveRun: false,
		});
	}

	/** Answers decided and timed out changes, and proposes or forwards the others when due. */
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
			} else if (now >= operation.deadlineAt) {
				actions.push(
					this.#finish(operation, buildUnavailableResult(operation)),
				);
			} else if (operation.proposal !== undefined) {
				continue;
			} else if (isLeader && this.isProposed(operation.change)) {
				// A second copy would only take space in the log.
				operation.mayHaveRun = true;
			} else if (isLeader && now < operation.nextProposalAt) {
				continue;
			} else if (isLeader) {
				operation.nextProposalAt = now + timing.rejectedProposalRetryMs;
				operation.proposal = this.#environment.createProposalNumber();
				const {proposal, change} = operation;
				this.#proposals.set(proposal, change);
				actions.push({type: 'propose', proposal, change});
			} else if (leader !== undefined && isSendDue(now, operation, leader)) {
				actions.push(this.#send(now, operation, leader));
			}
		}

		return actions;
	}

	/** Tells whether this peer has proposed the change and does not know the outcome yet. */
	isProposed(change: types.OperatorChange): boolean {
		return [...this.#proposals.values()].some((proposed) =>
			isAnsweredBy(change, proposed),
		);
	}

	/** Handles the commit of a change, whichever peer proposed it. */
	handleApplied(
		change: types.OperatorChange,
		result: types.TemplateChangeResult,
	): OperationAction[] {
		for (const [proposal, proposed] of this.#proposals) {
			if (isAnsweredBy(proposed, change)) {
				this.#proposals.delete(proposal);
			}
		}

		return [...this.#operations]
			.filter((operation) => isAnsweredBy(operation.change, change))
			.map((operation) => this.#finish(operation, result));
	}

	/** Handles a proposal that the log of this peer dropped. */
	handleProposalLost(proposal: number, mayHaveRun: boolean): OperationAction[] {
		this.#proposals.delete(proposal);
		const operation = [...this.#operations].find(
			(candidate) => candidate.proposal === proposal,
		);
		if (!operation) {
			return [];
		}

		operation.proposal = undefined;
		operation.mayHaveRun ||= mayHaveRun;
		return operation.origin.type === 'peer'
			? [this.#finish(operation, buildUnavailableResult(operation))]
			: [];
	}

	/** Handles the leader's answer to a forwarded change. */
	handleResult(
		message: Extract<messages.OperatorMessage, {type: 'changeResult'}>,
	): OperationAction[] {
		const operation = [...this.#operations].find((candidate) =>
			candidate.unresolvedMessages.has(message.operation),
		);
		if (!operation) {
			return [];
		}

		if (message.result.type !== 'unavailable') {
			return [this.#finish(operation, message.result)];
		}

		operation.unresolvedMessages.delete(message.operation);
		operation.mayHaveRun ||= message.result.mayHaveRun;
		const {reason} = message.result;
		const result = buildUnavailableResult(operation);
		return reason === undefined || result.mayHaveRun
			? []
			: [this.#finish(operation, {...result, reason})];
	}

	#send(now: number, operation: Operation, to: ids.PeerId): OperationAction {
		const number = ++this.#messageCounter;
		operation.unresolvedMessages.add(number);
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
	const {lastSend, change} = operation;
	const {text} = 'type' in change ? change.configuration : change;
	// A copy would only wait behind the first one.
	const retryMs =
		timing.operationRetryMs + text.length / timing.minTransferRate;
	return lastSend?.to !== leader || now - lastSend.at >= retryMs;
}

function buildUnavailableResult(
	operation: Operation,
): Extract<types.TemplateChangeResult, {type: 'unavailable'}> {
	return {
		type: 'unavailable',
		mayHaveRun:
			operation.mayHaveRun ||
			operation.proposal !== undefined ||
			operation.unresolvedMessages.size > 0,
	};
}
