/**
 * Reads of the configuration in force. Only a leader whose lease is valid knows that no newer one is
 * committed. Any other peer forwards the read to the leader once; the adapter ends the read with a
 * timeout when no answer arrives.
 */
import type * as ids from '../ids.js';
import type * as messages from '../messages.js';
import type * as types from '../types.js';
import type * as control from './types.js';
import type * as operations from './operations.js';

/** What configuration reads need from the control reducer. */
export type ReadEnvironment = {
	readonly peer: ids.PeerId;
	/** Added to the numbers of forwarded reads; differs between instances of the peer. */
	readonly messageNumberStart: number;
	/** The leader of the current term, if this peer knows it. */
	getLeader(): ids.PeerId | undefined;
	/** True while this peer is the leader and its leader lease is valid. */
	isActiveLeader(): boolean;
	getConfiguration(): types.Configuration | undefined;
	send(to: ids.PeerId, message: messages.PeerMessage): void;
	emit(effect: control.ControlEffect): void;
};

export class ConfigurationReads {
	constructor(private readonly environment: ReadEnvironment) {}

	/** Answers a read, or forwards it to the leader when it was requested on this peer. */
	handleRead(origin: operations.Origin): void {
		const {environment} = this;
		if (environment.isActiveLeader()) {
			const configuration = environment.getConfiguration();
			this.answer(origin, {type: 'read', configuration});
			return;
		}

		const leader = environment.getLeader();
		const canForward =
			origin.type === 'local' &&
			leader !== undefined &&
			leader !== environment.peer;
		if (canForward) {
			environment.send(leader, {
				type: 'readConfiguration',
				operation: environment.messageNumberStart + origin.operation,
			});
		} else {
			this.answer(origin, {type: 'unavailable'});
		}
	}

	/** Handles the leader's answer to a forwarded read. */
	handleResult(
		message: Extract<messages.OperatorMessage, {type: 'configurationRead'}>,
	): void {
		// The number of a read that an earlier instance forwarded is that of no operation here.
		const operation = message.operation - this.environment.messageNumberStart;
		this.answer({type: 'local', operation}, message.result);
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
