/**
 * Decides when owned servers are polled, and collects position readings to bound the staleness of
 * replicas.
 */
import type * as ids from '../ids.js';
import type * as types from '../types.js';
import type * as context from './context.js';
import type * as directory from './directory.js';
import type * as leaseClient from './lease-client.js';
import type * as owned from './owned-server.js';
import type * as owner from './owner.js';
import type * as positionClient from './position-client.js';

/** Intervals lie below the tick in which they end, so that a tick which comes slightly early still polls. */
const pollIntervalMs = 80;
/** Interval for a server with synchronous replication and without a request for `idleThresholdMs`. */
const idlePollIntervalMs = 350;
/**
 * Intervals for replicas in synchronous replication. They can be longer, because the staleness bound
 * advances only with position readings and only reads depend on these replicas.
 */
const replicaPollIntervalMs = 230;
const idleReplicaPollIntervalMs = 750;
/** A server without a request for this long is polled at its idle interval. */
const idleThresholdMs = 1500;
/** Position readings only have to be much younger than the staleness that reads tolerate. */
const positionRequestIntervalMs = 230;
/** Delay of the next poll while a commit waits for the replicas. */
const confirmationPollDelayMs = 2;
/** A poll without an answer for this long counts as lost. */
const pollTimeoutMs = 600;

export class Poller {
	constructor(
		private readonly context: context.ProxyContext,
		private readonly directory: directory.Directory,
		private readonly owner: owner.Owner,
		private readonly lease: leaseClient.LeaseClient,
		private readonly positionClient: positionClient.PositionClient,
	) {}

	handleTick(): void {
		const {now} = this.context;
		for (const server of this.owner.servers.values()) {
			if (server.pollInFlight && now - server.lastPollAt > pollTimeoutMs) {
				server.pollInFlight = false;
			}

			if (server.hasSynchronousReplication) {
				this.pollIfQuiet(server);
			} else if (now - server.lastPollAt >= pollIntervalMs) {
				this.startPoll(server, 0);
				this.requestPositionReading(server);
			}
		}
	}

	/**
	 * Polls at once when a commit or floor request waits for a poll sent after it, and after a short
	 * delay when commits only wait for the replicas.
	 */
	pollIfNeeded(server: owned.OwnedServer): void {
		const needsNewPoll =
			server.pendingFloorRequests.length > 0 ||
			server.pendingAcknowledgements.some(
				(pending) => pending.requiredPosition === undefined,
			);
		if (needsNewPoll) {
			this.startPoll(server, 0);
		} else if (server.pendingAcknowledgements.length > 0) {
			this.startPoll(server, confirmationPollDelayMs);
		}
	}

	handleAnswered(
		serverId: ids.UpstreamId,
		sentAt: number,
		status: types.UpstreamStatus,
	): void {
		const server = this.owner.servers.get(serverId);
		if (!server) {
			return;
		}

		const wasWritable = this.owner.rules.isWritable(server);
		server.pollInFlight = false;
		server.lastAnswerAt = this.context.now;
		server.recordPollRoundTrip(this.context.now - sentAt, this.context.now);
		server.recordStatus(status, sentAt);
		const view = this.directory.groups.get(server.group);
		server.recordReplication(view?.servers ?? [serverId], this.context.now);
		this.owner.applyPollStatus(server, sentAt, view);
		this.pollIfNeeded(server);
		if (!wasWritable && this.owner.rules.isWritable(server)) {
			this.owner.dispatcher.dispatchRequests(server);
		}
	}

	handleRefused(serverId: ids.UpstreamId): void {
		const server = this.owner.servers.get(serverId);
		if (server) {
			server.pollInFlight = false;
			server.lastAnswerAt = this.context.now;
		}
	}

	handleFailed(serverId: ids.UpstreamId): void {
		const server = this.owner.servers.get(serverId);
		if (server) {
			server.pollInFlight = false;
		}
	}

	/**
	 * Polls a server only when no answer has arrived recently, because each poll occupies a slot. Only
	 * a poll reports the role, so a primary is polled until it confirms the term of the lease.
	 */
	private pollIfQuiet(server: owned.OwnedServer): void {
		const {now} = this.context;
		const {status, writeTerm} = server;
		const isConfirmed =
			status !== undefined &&
			(writeTerm === undefined ||
				(status.role === 'primary' && status.term === writeTerm));
		const quietMs =
			now -
			Math.max(server.lastPollAt, isConfirmed ? (server.lastAnswerAt ?? 0) : 0);
		const isIdle =
			isConfirmed &&
			server.countRequests() === 0 &&
			now - server.lastRequestAt > idleThresholdMs;
		if (
			quietMs >= getPollInterval(isConfirmed ? status.role : undefined, isIdle)
		) {
			this.startPoll(server, 0);
		}

		if (now - server.lastPositionRequestAt >= positionRequestIntervalMs) {
			server.lastPositionRequestAt = now;
			this.requestPositionReading(server);
		}
	}

	private startPoll(server: owned.OwnedServer, delayMs: number): void {
		if (server.pollInFlight) {
			return;
		}

		server.pollInFlight = true;
		server.lastPollAt = this.context.now;
		this.context.emit({
			type: 'poll',
			server: server.server,
			address: server.announcement.address,
			epoch: server.epoch,
			delayMs,
		});
	}

	/** Requests the position of the primary, to bound the staleness of this replica. */
	private requestPositionReading(server: owned.OwnedServer): void {
		if (
			server.positionRequestInFlight ||
			server.status?.role !== 'replica' ||
			!this.lease.isValid(this.context.now)
		) {
			return;
		}

		server.positionRequestInFlight = true;
		this.positionClient.requestPosition(server.group, (reading) => {
			server.positionRequestInFlight = false;
			if (reading) {
				server.stalenessTracker.addReading(reading);
			}
		});
	}
}

/** @param role - Undefined until a poll has confirmed the role. */
function getPollInterval(
	role: types.UpstreamRole | undefined,
	isIdle: boolean,
): number {
	if (role === 'replica') {
		return isIdle ? idleReplicaPollIntervalMs : replicaPollIntervalMs;
	}

	return isIdle ? idlePollIntervalMs : pollIntervalMs;
}
