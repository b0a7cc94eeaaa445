/**
 * Reads of the configuration in force. Only a leader whose lease is valid knows that no newer one is
 * committed; any other peer passes the read on to it once, and the adapter gives up when no answer
 * comes.
 */
import type * as ids from '../ids.js';
import type * as messages from '../messages.js';
import type * as types from '../types.js';
import type * as control from './types.js';
import type * as operations from './operations.js';

/** What reads need from the control reducer. */
export type ReadEnvironment = {
	readonly peer: ids.PeerId;
	/** The leader of the present term as far as this peer has heard of it. */
	getLeader(): ids.PeerId | undefined;
	/** True while this peer may act as leader. */
	isActiveLeader(): boolean;
	getConfiguration(): types.Configuration | undefined;
	send(to: ids.PeerId, message: messages.PeerMessage): void;
	emit(effect: control.ControlEffect): void;
};

export class ConfigurationReads {
	constructor(private readonly environment: ReadEnvironment) {}

	/** Answers a read, or asks the leader for the answer. */
	handleRead(origin: operations.Origin): void {
		const {environment} = this;
		if (environment.isActiveLeader()) {
			const configuration = environment.getConfiguration();
			this.answer(origin, {type: 'read', configuration});
			return;
		}

		const leader = environment.getLeader();
		const canAsk =
			origin.type === 'local' &&
			leader !== undefined &&
			leader !== environment.peer;
		if (canAsk) {
			environment.send(leader, {
				type: 'readConfiguration',
				operation: origin.operation,
			});
		} else {
			this.answer(origin, {type: 'unavailable'});
		}
	}

	/** Takes the leader's answer to a read that was passed on. */
	handleResult(
		message: Extract<messages.OperatorMessage, {type: 'configurationRead'}>,
	): void {
		const {operation, result} = message;
		this.answer({type: 'local', operation}, result);
	}

	private answer(
		origin: operations.Origin,
		result: types.ConfigurationReading,
	): void {
		const {operation} = origin;
		if (origin.type === 'local') {
			this.environment.emit({
				type: 'answerConfigurationRead',
				operation,
				result,
			});
		} else {
			this.environment.send(origin.peer, {
				type: 'configurationRead',
				operation,
				result,
			});
		}
	}
}
