/**
 * Simulates the servers of one group that acknowledge commits themselves, for tests. A commit is
 * acknowledged once n replicas have received it. There are no fences: a fence only reads the status,
 * and a promotion is requested from the platform of the servers. Some hundred ms later the named server
 * leads the next term with the records it had received; the old primary continues until it is told of
 * the new term, or until it could reach the new primary for a second.
 */
import type * as ids from '../ids.js';
import type * as types from '../types.js';
import type * as control from './types.js';
import * as fakeServers from './fake-server.js';
import * as promotion from './promotion.js';

/** Time from the request of a promotion until it takes effect, in ms. */
const promotionDelayMs = 300;
/** A busy server and one that is not primary yet are asked again after this time, in ms. */
const retryIntervalMs = 40;
/** Time after which a call to a busy server, or one that is not promoted, fails, in ms. */
const callTimeoutMs = 1400;
/** An old primary that reaches the new one for this long becomes its replica, in ms. */
const demotionDelayMs = 1000;
/** A server that rolled back records is busy for this long, in ms. */
const rollbackMs = 100;

type Answer = (answer: control.ServerAnswer) => void;

/** What the servers need from the simulation. */
export type SelfAcknowledgingEnvironment = {
	readNow(): number;
	schedule(delayMs: number, run: () => void): void;
	/** True when a server receives what another one sends. */
	canReach(from: ids.UpstreamId, to: ids.UpstreamId): boolean;
	/** Called at the moment of a promotion, before the new term begins. */
	handlePromotion(server: SelfAcknowledgingServer): void;
};

/** One server of the group. */
export class SelfAcknowledgingServer extends fakeServers.FakeServer {
	/** While true, all slots are in use, so that no status is answered. */
	isBusy = false;
	busyUntil = 0;
	/** When an old primary began to reach the primary of a newer term. */
	reachesNewPrimarySince: number | undefined;
	#term = 1;

	/** The newest term that the server knows; its newest record may be of an earlier one. */
	override get term(): number {
		return this.#term;
	}

	override readStatus(): types.UpstreamStatus {
		return {
			server: this.server,
			role: this.role,
			term: this.#term,
			position: this.records.length,
			receivedTerm: this.records.at(-1)?.term ?? 0,
			applied: this.records.length,
			replicas: [],
		};
	}

	/** Begins a term as its primary. */
	becomePrimary(term: number): void {
		this.#term = term;
		this.role = 'primary';
		this.upstream = undefined;
		this.replicas.clear();
	}

	/** Becomes a replica in a term and keeps its records. */
	becomeReplica(term: number): void {
		this.#term = Math.max(this.#term, term);
		this.role = 'replica';
		this.reachesNewPrimarySince = undefined;
	}

	/** Starts again under its id with an empty log. */
	restartWithoutLog(): void {
		this.records = [];
		this.startedAt++;
		this.becomeReplica(this.#term);
	}
}

/** All servers of the group, with the platform that promotes them. */
export class SelfAcknowledgingServers {
	constructor(
		readonly servers: readonly SelfAcknowledgingServer[],
		/** Number of replicas that must have received a commit before it is acknowledged. */
		readonly synchronousReplicas: number,
		private readonly environment: SelfAcknowledgingEnvironment,
	) {}

	/** The primary of the newest term. */
	get primary(): SelfAcknowledgingServer | undefined {
		return this.servers
			.filter(({role}) => role === 'primary')
			.sort((left, right) => right.term - left.term)
			.at(0);
	}

	/** True when enough replicas have received the record at this offset of a primary. */
	isAcknowledged(primary: fakeServers.FakeServer, offset: number): boolean {
		const receivers = [...primary.replicas.values()].filter(
			(received) => received >= offset,
		);
		return receivers.length >= this.synchronousReplicas;
	}

	/** Runs a call of control that has reached the server, or the platform for a promotion. */
	call(
		server: SelfAcknowledgingServer,
		request: control.ServerRequest,
		answer: Answer,
	): void {
		if (request.type === 'promote') {
			if (!server.isRunning) {
				answer({
					type: 'failed',
					sqlState: promotion.promotionRefusedSqlState,
					message: 'the server is not running',
				});
				return;
			}

			if (server !== this.primary) {
				this.environment.schedule(promotionDelayMs, () => {
					this.promote(server);
				});
			}
		}

		this.#answerStatus(
			server,
			request,
			this.environment.readNow() + callTimeoutMs,
			answer,
		);
	}

	/** Makes a server the primary of the next term, with the records that it holds. */
	promote(server: SelfAcknowledgingServer): void {
		if (server.isRunning && server !== this.primary) {
			this.environment.handlePromotion(server);
			server.becomePrimary(Math.max(...this.servers.map(({term}) => term)) + 1);
		}
	}

	/** Lets all servers receive up to `limit` records from the primary of the newest term. */
	replicate(limit: number): void {
		for (const server of this.servers) {
			const source = this.#findSource(server);
			if (!server.isRunning || !source) {
				continue;
			}

			if (server.role === 'primary') {
				this.#updateOldPrimary(server, source);
				continue;
			}

			if (source.term > server.term) {
				this.#rollBack(server, source);
				server.becomeReplica(source.term);
			}

			server.upstream = source.server;
			server.replicateFrom(source, limit);
		}
	}

	/** Finds the primary from which a server receives records. */
	#findSource(
		server: SelfAcknowledgingServer,
	): SelfAcknowledgingServer | undefined {
		return this.servers
			.filter(
				(other) =>
					other !== server &&
					other.isRunning &&
					other.role === 'primary' &&
					other.term >= server.term &&
					this.environment.canReach(server.server, other.server) &&
					this.environment.canReach(other.server, server.server),
			)
			.sort((left, right) => right.term - left.term)
			.at(0);
	}

	#updateOldPrimary(
		server: SelfAcknowledgingServer,
		source: SelfAcknowledgingServer,
	): void {
		const now = this.environment.readNow();
		server.reachesNewPrimarySince ??= now;
		if (now - server.reachesNewPrimarySince >= demotionDelayMs) {
			server.becomeReplica(server.term);
		}

		if (source.term === server.term) {
			throw new Error(`two primaries in term ${server.term}`);
		}
	}

	/** Drops the records that the primary of a newer term does not hold. */
	#rollBack(
		server: SelfAcknowledgingServer,
		source: SelfAcknowledgingServer,
	): void {
		const common = server.records.findIndex(
			({term, write}, index) =>
				source.records[index]?.term !== term ||
				source.records[index]?.write !== write,
		);
		if (common !== -1) {
			server.records = server.records.slice(0, common);
			server.busyUntil = this.environment.readNow() + rollbackMs;
		}
	}

	#answerStatus(
		server: SelfAcknowledgingServer,
		request: control.ServerRequest,
		deadline: number,
		answer: Answer,
	): void {
		const now = this.environment.readNow();
		const isBusy = server.isBusy || now < server.busyUntil;
		const isWaiting =
			isBusy || (request.type === 'promote' && server.role !== 'primary');
		if (server.isRunning && isWaiting && now < deadline) {
			this.environment.schedule(retryIntervalMs, () => {
				this.#answerStatus(server, request, deadline, answer);
			});
			return;
		}

		if (!server.isRunning || isWaiting) {
			answer({type: 'failed', message: 'no answer in time'});
			return;
		}

		if (
			request.type === 'follow' &&
			server.role === 'primary' &&
			server.term < request.term
		) {
			server.becomeReplica(server.term);
		}

		answer({type: 'answered', status: server.readStatus()});
	}
}
