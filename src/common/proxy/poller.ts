/**
 * Decides when owned servers are polled, and keeps the evidence on the staleness of replicas.
 */
import type * as ids from '../ids.js';
import type * as types from '../types.js';
import type * as context from './context.js';
import type * as directory from './directory.js';
import type * as leaseClient from './lease-client.js';
import type * as owned from './owned-server.js';
import type * as owner from './owner.js';
import type * as positionClient from './position-client.js';

const pollIntervalMs = 100;
/** Interval for a server that has had no request for some time. */
const idlePollIntervalMs = 400;
/**
 * The same for replicas whose primary confirms commits itself: their evidence grows with the marks
 * only, and nothing but reads depends on them.
 */
const replicaPollIntervalMs = 250;
const idleReplicaPollIntervalMs = 800;
/** A server without a request for this long is polled at the longer interval. */
const idleAfterMs = 1500;
/** Marks only have to be much younger than the staleness that reads tolerate. */
const markIntervalMs = 250;
/** Time between two polls while a commit waits for the replicas. */
const confirmationDelayMs = 2;
/** A poll without an answer for this long is taken as lost. */
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
				this.pollQuiet(server);
			} else if (now - server.lastPollAt >= pollIntervalMs) {
				this.startPoll(server, 0);
				this.requestMark(server);
			}
		}
	}

	/** Polls at once when commits or floor requests wait for a poll that covers them. */
	pollIfNeeded(server: owned.OwnedServer): void {
		const needsCover =
			server.pendingFloorRequests.length > 0 ||
			server.pendingAcknowledgements.some(
				(held) => held.requiredPosition === undefined,
			);
		if (needsCover) {
			this.startPoll(server, 0);
		} else if (server.pendingAcknowledgements.length > 0) {
			this.startPoll(server, confirmationDelayMs);
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
		const previousTerm = server.status?.term;
		server.pollInFlight = false;
		server.status = status;
		server.lastAnswerAt = this.context.now;
		server.recordPollRoundTrip(this.context.now - sentAt, this.context.now);
		if (previousTerm !== undefined && previousTerm !== status.term) {
			// Marks of another term say nothing about the log that the server follows now.
			server.stalenessTracker.clear();
		}

		server.stalenessTracker.recordApplied({
			term: status.logTerm ?? status.term,
			offset: status.applied,
		});
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
	 * Polls a server only while its answers to requests say too little: each poll occupies a slot.
	 * Only a poll tells the role, so a primary is polled until it confirms the term of the lease.
	 */
	private pollQuiet(server: owned.OwnedServer): void {
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
			now - server.lastRequestAt > idleAfterMs;
		if (
			quietMs >= getPollInterval(isConfirmed ? status.role : undefined, isIdle)
		) {
			this.startPoll(server, 0);
		}

		if (now - server.lastPositionRequestAt >= markIntervalMs) {
			server.lastPositionRequestAt = now;
			this.requestMark(server);
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

	/** Asks for the position of the primary, as a mark for the staleness of this replica. */
	private requestMark(server: owned.OwnedServer): void {
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

/** @param role - Undefined until a poll has confirmed it. */
function getPollInterval(
	role: types.UpstreamRole | undefined,
	isIdle: boolean,
): number {
	if (role === 'replica') {
		return isIdle ? idleReplicaPollIntervalMs : replicaPollIntervalMs;
	}

	return isIdle ? idlePollIntervalMs : pollIntervalMs;
}
