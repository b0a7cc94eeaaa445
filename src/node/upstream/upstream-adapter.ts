/**
 * Opens connections to servers, executes requests on them and polls the servers.
 */
import {assertNever} from '../../common/assert-never.js';
import type * as ids from '../../common/ids.js';
import type * as proxy from '../../common/proxy/types.js';
import type * as node from '../types.js';
import * as connections from './connection.js';
import * as pollConnection from './poll-connection.js';
import * as serverSocket from './server-socket.js';
import * as types from './types.js';

type UpstreamEffect = Parameters<node.UpstreamAdapter['handle']>[0];
type Poll = Extract<proxy.ProxyEffect, {type: 'poll'}>;

/** An upstream adapter with the flow control of its sinks. */
export type FlowControlledUpstreamAdapter = node.UpstreamAdapter & {
	/** The caller of a local attempt takes data again. */
	resumeAttempt(attempt: ids.AttemptId): void;
	/** The link to a peer takes data again. */
	resumePeer(peer: ids.PeerId): void;
};

/** Creates the adapter; connections are opened by effects only. */
export function createUpstreamAdapter(
	options: types.UpstreamOptions,
): FlowControlledUpstreamAdapter {
	return new TcpUpstreamAdapter(options);
}

class TcpUpstreamAdapter implements FlowControlledUpstreamAdapter {
	readonly #limits: types.UpstreamLimits;
	readonly #connections = new Map<ids.ConnectionId, connections.Connection>();
	readonly #polls = new Map<ids.UpstreamId, pollConnection.PollConnection>();
	/** The epoch in which `end_other_sessions` succeeded, per server. */
	readonly #endedEpochs = new Map<ids.UpstreamId, string>();

	constructor(private readonly options: types.UpstreamOptions) {
		this.#limits = {...types.defaultLimits, ...options.limits};
	}

	handle(effect: UpstreamEffect): void {
		switch (effect.type) {
			case 'openConnection': {
				this.#openConnection(effect);
				return;
			}

			case 'closeConnection': {
				this.#connections.get(effect.connection)?.dispose();
				return;
			}

			case 'resetConnection': {
				this.#connections.get(effect.connection)?.reset();
				return;
			}

			case 'execute': {
				this.#execute(effect);
				return;
			}

			case 'cancelExecution': {
				this.#connections.get(effect.connection)?.cancel(effect.attempt);
				return;
			}

			case 'poll': {
				this.#poll(effect);
				return;
			}

			case 'stopPolling': {
				this.#endedEpochs.delete(effect.server);
				this.#polls.get(effect.server)?.dispose();
				return;
			}
		}

		assertNever(effect);
	}

	resumeAttempt(attempt: ids.AttemptId): void {
		this.#resume((sink) => sink.type === 'session' && sink.attempt === attempt);
	}

	resumePeer(peer: ids.PeerId): void {
		this.#resume((sink) => sink.type === 'peer' && sink.peer === peer);
	}

	async dispose(): Promise<void> {
		for (const connection of this.#connections.values()) {
			connection.dispose();
		}

		for (const poll of this.#polls.values()) {
			poll.dispose();
		}
	}

	#resume(isMatch: (sink: proxy.Sink) => boolean): void {
		for (const connection of this.#connections.values()) {
			const effect = connection.runningEffect;
			if (effect && isMatch(effect.sink)) {
				connection.resume();
			}
		}
	}

	#openConnection(
		effect: Extract<UpstreamEffect, {type: 'openConnection'}>,
	): void {
		const connection = new connections.Connection(
			effect,
			this.options,
			this.#limits,
			() => {
				if (this.#connections.get(effect.connection) === connection) {
					this.#connections.delete(effect.connection);
				}
			},
		);
		this.#connections.set(effect.connection, connection);
	}

	#execute(effect: types.ExecuteEffect): void {
		const connection = this.#connections.get(effect.connection);
		if (connection) {
			connection.execute(effect);
			return;
		}

		this.options.dispatch({
			type: 'executionFinished',
			now: this.options.clock.now(),
			connection: effect.connection,
			attempt: effect.attempt,
			outcome: {type: 'lost', mayHaveRun: false, relayed: false},
		});
	}

	#poll(effect: Poll): void {
		const epoch = serverSocket.formatEpoch(effect.epoch);
		let poll = this.#polls.get(effect.server);
		if (poll && !poll.isFor(effect)) {
			poll.dispose();
			poll = undefined;
		}

		const isNew = poll === undefined;
		poll ??= this.#openPoll(effect, epoch);
		poll.poll(
			this.options.clock.now(),
			isNew && this.#endedEpochs.get(effect.server) !== epoch,
		);
	}

	#openPoll(effect: Poll, epoch: string): pollConnection.PollConnection {
		const poll = new pollConnection.PollConnection(
			effect,
			this.options,
			this.#limits,
			() => {
				this.#endedEpochs.set(effect.server, epoch);
			},
			() => {
				if (this.#polls.get(effect.server) === poll) {
					this.#polls.delete(effect.server);
				}
			},
		);
		this.#polls.set(effect.server, poll);
		return poll;
	}
}
