/**
 * Carries out the effects of one proxy that concern database servers, on emulated servers.
 */
import {assertNever} from '../common/assert-never.js';
import type * as ids from '../common/ids.js';
import type * as proxy from '../common/proxy/types.js';
import type * as types from '../common/types.js';
import type {ExecutionResult, EmulatedServer} from './database.js';
import {getLatency, type Deployment} from './deployment.js';
import type {Simulation} from './simulation.js';
import type {BenchRequest} from './types.js';

/** What the emulated adapter needs from its proxy and the servers. */
export type EmulatedUpstreamOptions = {
	readonly simulation: Simulation;
	readonly deployment: Deployment;
	readonly dataCentre: number;
	readonly groupTerm: number;
	readonly findServer: (id: ids.UpstreamId) => {
		server: EmulatedServer;
		replicas: ReadonlyArray<{
			readonly server: ids.UpstreamId;
			readonly dataCentre: number;
		}>;
	};
	readonly findRequest: (frames: Uint8Array) => BenchRequest;
	readonly dispatch: (event: proxy.ProxyEvent) => void;
	/** Receives the result of an attempt; `entry` is undefined for sessions of this proxy. */
	readonly recordResult: (
		entry: ids.PeerId | undefined,
		attempt: ids.AttemptId,
		result: ExecutionResult & {role: types.UpstreamRole},
	) => void;
};

/** The effects that concern servers. */
export type UpstreamEffect = Extract<
	proxy.ProxyEffect,
	{
		readonly type:
			| 'openConnection'
			| 'closeConnection'
			| 'resetConnection'
			| 'execute'
			| 'poll';
	}
>;

/** The upstream adapter of one proxy. */
export class EmulatedUpstream {
	readonly #options: EmulatedUpstreamOptions;
	readonly #connections = new Map<ids.ConnectionId, ids.UpstreamId>();

	constructor(options: EmulatedUpstreamOptions) {
		this.#options = options;
	}

	handle(effect: UpstreamEffect): void {
		switch (effect.type) {
			case 'openConnection': {
				this.#open(effect);
				return;
			}

			case 'closeConnection': {
				this.#connections.delete(effect.connection);
				return;
			}

			case 'resetConnection': {
				this.#reset(effect.connection);
				return;
			}

			case 'execute': {
				this.#execute(effect);
				return;
			}

			case 'poll': {
				this.#options.simulation.schedule(effect.delayMs, () => {
					this.#poll(effect.server);
				});
				return;
			}

			default: {
				assertNever(effect);
			}
		}
	}

	#getLatency(server: EmulatedServer): number {
		const {deployment, dataCentre} = this.#options;
		return getLatency(deployment, dataCentre, server.dataCentre);
	}

	#open(effect: Extract<proxy.ProxyEffect, {type: 'openConnection'}>): void {
		const {simulation, deployment, dispatch} = this.#options;
		this.#connections.set(effect.connection, effect.server);
		simulation.schedule(deployment.connectMs, () => {
			dispatch({
				type: 'connectionOpened',
				now: simulation.now,
				connection: effect.connection,
			});
		});
	}

	#reset(connection: ids.ConnectionId): void {
		const {simulation, dispatch, findServer} = this.#options;
		const {server} = findServer(this.#connections.get(connection)!);
		simulation.schedule(2 * this.#getLatency(server), () => {
			dispatch({type: 'connectionReset', now: simulation.now, connection});
		});
	}

	#execute(effect: Extract<proxy.ProxyEffect, {type: 'execute'}>): void {
		const {simulation, dispatch, findServer, findRequest, recordResult} =
			this.#options;
		const {server} = findServer(this.#connections.get(effect.connection)!);
		const latencyMs = this.#getLatency(server);
		const entry = effect.sink.type === 'peer' ? effect.sink.peer : undefined;
		simulation.schedule(latencyMs, () => {
			server.execute(findRequest(effect.payload.frames), (result) => {
				recordResult(entry, effect.attempt, {...result, role: server.role});
				simulation.schedule(latencyMs, () => {
					dispatch({
						type: 'executionFinished',
						now: simulation.now,
						connection: effect.connection,
						attempt: effect.attempt,
						outcome: {
							type: 'answered',
							tail: new Uint8Array(0),
							relayed: false,
							transactionStatus: 'idle',
						},
					});
				});
			});
		});
	}

	#poll(id: ids.UpstreamId): void {
		const {simulation, dispatch, findServer} = this.#options;
		const {server, replicas} = findServer(id);
		const latencyMs = this.#getLatency(server);
		const sentAt = simulation.now;
		simulation.schedule(latencyMs, () => {
			const status = this.#createStatus(id, server, replicas);
			simulation.schedule(latencyMs, () => {
				dispatch({
					type: 'pollAnswered',
					now: simulation.now,
					server: id,
					sentAt,
					status,
				});
			});
		});
	}

	/**
	 * A replica receives the log one latency later and applies it after its lag. Its acknowledgement
	 * takes another latency, so the primary knows the position of two latencies ago.
	 */
	#createStatus(
		id: ids.UpstreamId,
		server: EmulatedServer,
		replicas: ReadonlyArray<{
			readonly server: ids.UpstreamId;
			readonly dataCentre: number;
		}>,
	): types.UpstreamStatus {
		const {simulation, deployment, groupTerm} = this.#options;
		const applied = server.getAppliedOffset();
		return {
			server: id,
			role: server.role,
			term: groupTerm,
			position: applied,
			applied,
			replicas:
				server.role === 'primary'
					? replicas.map((replica) => ({
							server: replica.server,
							position: server.log.findOffset(
								simulation.now -
									2 *
										getLatency(
											deployment,
											server.dataCentre,
											replica.dataCentre,
										),
							),
						}))
					: [],
		};
	}
}
