/**
 * Operators' changes at a control peer: answers those that are decided or invalid, passes the others to
 * the leader or the log, and sends their answers.
 */
import type * as ids from '../ids.js';
import type * as messages from '../messages.js';
import type * as types from '../types.js';
import * as changes from './changes.js';
import type * as machines from './machine.js';
import * as operations from './operations.js';
import type * as control from './types.js';

export type OperatorChangesEnvironment = {
	readonly peer: ids.PeerId;
	readonly log: Pick<control.ReplicatedLog, 'role' | 'leader'>;
	readonly machine: Pick<
		machines.ControlMachine,
		'findAnswer' | 'findConfigurationAnswer' | 'estimateSizeAfter'
	>;
	/** Limit on the replicated state, in bytes. */
	readonly maxStateBytes: number;
	/** Messages to the leader have higher numbers; differs between instances of the peer. */
	readonly messageNumberStart: number;
	/** Returns the leader, as far as this peer knows it. */
	findLeader(): ids.PeerId | undefined;
	/** True while the leader lease of this peer is valid. */
	isActiveLeader(): boolean;
	/** True while this peer leads and the disks of too many control peers are full. */
	isStorageExhausted(): boolean;
	/** Returns a number that no other proposal of this process has. */
	createProposalNumber(): number;
	propose(proposal: number, command: control.ControlCommand): void;
	send(to: ids.PeerId, message: messages.PeerMessage): void;
	emit(effect: control.ControlEffect): void;
};

/** The answer to a change that cannot be stored now; it was not taken. */
const storageExhausted: types.TemplateChangeResult = {
	type: 'unavailable',
	mayHaveRun: false,
	reason: 'storageExhausted',
};

export class OperatorChanges {
	readonly #operations: operations.Operations;

	constructor(private readonly environment: OperatorChangesEnvironment) {
		this.#operations = new operations.Operations({
			messageNumberStart: environment.messageNumberStart,
			createProposalNumber: () => environment.createProposalNumber(),
			findAnswer: (change) => this.#findAnswer(change),
		});
	}

	/** Number of changes whose outcome is pending. */
	get size(): number {
		return this.#operations.size;
	}

	handleChange(
		now: number,
		origin: operations.Origin,
		change: types.OperatorChange,
	): void {
		const answer =
			this.#findAnswer(change) ??
			('type' in change ? undefined : changes.validateChange(change)) ??
			this.#checkSpace(change);
		if (answer) {
			this.#answer(origin, answer);
		} else {
			this.#operations.add(now, origin, change);
		}
	}

	/** A forwarded change is not forwarded again, so peers that disagree on the leader form no loop. */
	handleProposedChange(
		now: number,
		from: ids.PeerId,
		message: Extract<messages.OperatorMessage, {type: 'proposeChange'}>,
	): void {
		const {operation, change} = message;
		const origin = {type: 'peer', peer: from, operation} as const;
		if (this.environment.log.role === 'leader') {
			this.handleChange(now, origin, change);
		} else {
			this.#answer(origin, {type: 'unavailable', mayHaveRun: false});
		}
	}

	/** Handles the leader's answer to a change that this peer has forwarded. */
	handleResult(
		message: Extract<messages.OperatorMessage, {type: 'changeResult'}>,
	): void {
		this.#runActions(this.#operations.handleResult(message));
	}

	handleProposalLost(proposal: number, mayHaveRun: boolean): void {
		this.#runActions(this.#operations.handleProposalLost(proposal, mayHaveRun));
	}

	handleApplied(
		command: control.ControlCommand,
		result: types.TemplateChangeResult,
	): void {
		const change = findChange(command);
		if (change) {
			this.#runActions(this.#operations.handleApplied(change, result));
		}
	}

	step(now: number): void {
		const {environment} = this;
		const leader = environment.findLeader();
		this.#runActions(
			this.#operations.step(
				now,
				environment.isActiveLeader(),
				leader === environment.peer ? undefined : leader,
			),
		);
	}

	/**
	 * Refuses a change that would make the state too large, and any while no entry can be committed, unless an
	 * earlier copy of it may still take effect.
	 */
	#checkSpace(
		change: types.OperatorChange,
	): types.TemplateChangeResult | undefined {
		const {environment} = this;
		// Before a leader is active, entries of earlier leaders may contain the change.
		if (!environment.isActiveLeader() || this.#operations.isProposed(change)) {
			return undefined;
		}

		if (environment.isStorageExhausted()) {
			return storageExhausted;
		}

		const size = environment.machine.estimateSizeAfter(change);
		return size !== undefined && size > environment.maxStateBytes
			? {
					type: 'invalid',
					problems: [
						`with this change all texts would take ${size} bytes; the disks of the control peers allow ${environment.maxStateBytes}`,
					],
				}
			: undefined;
	}

	#findAnswer(
		change: types.OperatorChange,
	): types.TemplateChangeResult | undefined {
		const {machine} = this.environment;
		return 'type' in change
			? machine.findConfigurationAnswer(change.configuration)
			: machine.findAnswer(change.member, change.changeId);
	}

	#runActions(actions: readonly operations.OperationAction[]): void {
		for (const action of actions) {
			switch (action.type) {
				case 'propose': {
					this.environment.propose(
						action.proposal,
						buildCommand(action.change),
					);
					break;
				}

				case 'send': {
					this.environment.send(action.to, action.message);
					break;
				}

				case 'answer': {
					this.#answer(action.origin, action.result);
					break;
				}
			}
		}
	}

	#answer(origin: operations.Origin, result: types.TemplateChangeResult): void {
		const {operation} = origin;
		if (origin.type === 'local') {
			this.environment.emit({type: 'answerTemplateChange', operation, result});
			return;
		}

		const {leader, role} = this.environment.log;
		this.environment.send(origin.peer, {
			type: 'changeResult',
			operation,
			result,
			...(role === 'leader' || leader === undefined ? {} : {leader}),
		});
	}
}

function buildCommand(change: types.OperatorChange): control.ControlCommand {
	return 'type' in change
		? {type: 'setConfiguration', configuration: change.configuration}
		: {type: 'changeTemplate', change};
}

/** Returns the operator's change that a command contains, if any. */
function findChange(
	command: control.ControlCommand,
): types.OperatorChange | undefined {
	if (command.type === 'setConfiguration') {
		return {type: 'configuration', configuration: command.configuration};
	}

	return command.type === 'changeTemplate' ? command.change : undefined;
}
