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
type PollEffect = Extract<proxy.ProxyEffect, {type: 'poll'}>;

/** An upstream adapter whose connections pause while their sinks are congested. */
export type FlowControlledUpstreamAdapter = node.UpstreamAdapter & {
	/** Resumes reading for a local attempt, whose caller accepts data again. */
	resumeAttempt(attempt: ids.AttemptId): void;
	/** Resumes reading for all attempts of a peer, whose link accepts data again. */
	resumePeer(peer: ids.PeerId): void;
};

/** Creates the adapter. It opens connections only on effects. */
export function createUpstreamAdapter(
	options: types.UpstreamOptions,
): FlowControlledUpstreamAdapter {
	return new TcpUpstreamAdapter(options);
}

class TcpUpstreamAdapter implements FlowControlledUpstreamAdapter {
	readonly #limits: types.UpstreamLimits;
	readonly #connections = new Map<ids.ConnectionId, connections.Connection>();
	readonly #pollConnections = new Map<
		ids.UpstreamId,
		pollConnection.PollConnection
	>();

	/** Per server, the epoch in which `end_other_sessions` last succeeded. */
	readonly #sessionsEndedEpochs = new Map<ids.UpstreamId, string>();

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
				this.#sessionsEndedEpochs.delete(effect.server);
				this.#pollConnections.get(effect.server)?.dispose();
				return;
			}
		}

		assertNever(effect);
	}

	resumeAttempt(attempt: ids.AttemptId): void {
		this.#resumeMatching(
			(sink) => sink.type === 'session' && sink.attempt === attempt,
		);
	}

	resumePeer(peer: ids.PeerId): void {
		this.#resumeMatching((sink) => sink.type === 'peer' && sink.peer === peer);
	}

	async dispose(): Promise<void> {
		for (const connection of this.#connections.values()) {
			connection.dispose();
		}

		for (const connection of this.#pollConnections.values()) {
			connection.dispose();
		}
	}

	#resumeMatching(isMatch: (sink: proxy.Sink) => boolean): void {
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

	#poll(effect: PollEffect): void {
		const epoch = serverSocket.formatEpoch(effect.epoch);
		let connection = this.#pollConnections.get(effect.server);
		if (connection && !connection.matchesTarget(effect)) {
			connection.dispose();
			connection = undefined;
		}

		const isNew = connection === undefined;
		connection ??= this.#openPollConnection(effect, epoch);
		connection.poll(
			this.options.clock.now(),
			isNew && this.#sessionsEndedEpochs.get(effect.server) !== epoch,
		);
	}

	#openPollConnection(
		effect: PollEffect,
		epoch: string,
	): pollConnection.PollConnection {
		const connection = new pollConnection.PollConnection(
			effect,
			this.options,
			this.#limits,
			() => {
				this.#sessionsEndedEpochs.set(effect.server, epoch);
			},
			() => {
				if (this.#pollConnections.get(effect.server) === connection) {
					this.#pollConnections.delete(effect.server);
				}
			},
		);
		this.#pollConnections.set(effect.server, connection);
		return connection;
	}
}
