/**
 * Applies the grants and revocations of control, and releases what the proxy must no longer hold.
 * A write lease is released after the running writes have finished, or at once when the primary does
 * not answer.
 */
import * as epochs from '../epoch.js';
import type * as ids from '../ids.js';
import type * as messages from '../messages.js';
import type * as context from './context.js';
import type * as directory from './directory.js';
import type * as owned from './owned-server.js';
import type * as owner from './owner.js';

/** Running writes get this long to finish before the write lease is released. */
const writeReleaseTimeoutMs = 150;
/** A primary that has not answered for this long is not expected to finish writes. */
const primarySilenceTimeoutMs = 300;
/** Running requests get this long to finish before ownership is released. */
const ownershipReleaseTimeoutMs = 5000;

export class OwnershipManager {
	/** Grants for servers whose announcement has not arrived yet. */
	private readonly unannouncedGrants = new Map<
		ids.UpstreamId,
		messages.OwnershipGrant
	>();

	/**
	 * The last released epoch of each server. A late grant of that epoch or an earlier one must not
	 * restore the ownership.
	 */
	private readonly releasedEpochs = new Map<
		ids.UpstreamId,
		owned.OwnedServer['epoch']
	>();

	private controlPeer: ids.PeerId | undefined;

	constructor(
		private readonly context: context.ProxyContext,
		private readonly directory: directory.Directory,
		private readonly owner: owner.Owner,
	) {}

	/** Replaces the set of owned servers with the granted one. */
	applyGrants(
		from: ids.PeerId,
		grants: readonly messages.OwnershipGrant[],
	): void {
		this.controlPeer = from;
		this.unannouncedGrants.clear();
		const grantedServers = new Set<ids.UpstreamId>();
		for (const grant of grants) {
			grantedServers.add(grant.server);
			this.applyGrant(grant);
		}

		for (const server of this.owner.servers.values()) {
			if (!grantedServers.has(server.server)) {
				this.owner.removeServer(server);
			}
		}
	}

	handleRevocation(
		from: ids.PeerId,
		message: Extract<messages.ControlMessage, {type: 'revokeLease'}>,
	): void {
		this.controlPeer = from;
		const server = this.owner.servers.get(message.server);
		if (!server || epochs.compareEpochs(server.epoch, message.epoch) > 0) {
			if (message.scope === 'ownership') {
				this.releasedEpochs.set(message.server, message.epoch);
			}

			this.context.send(from, {
				type: 'leaseReleased',
				server: message.server,
				epoch: message.epoch,
				scope: message.scope,
				...(message.writeTerm === undefined
					? {}
					: {writeTerm: message.writeTerm}),
			});
			return;
		}

		if (message.scope === 'write') {
			if (
				server.writeTerm === undefined ||
				server.writeTerm !== (message.writeTerm ?? server.writeTerm)
			) {
				this.sendLeaseReleased(
					server.server,
					message.epoch,
					'write',
					message.writeTerm,
				);
				return;
			}

			server.writeReleaseStartedAt ??= this.context.now;
		} else {
			server.ownershipReleaseRequestedAt ??= this.context.now;
		}

		this.continueRelease(server);
	}

	handleTick(): void {
		for (const grant of this.unannouncedGrants.values()) {
			this.applyGrant(grant);
		}

		for (const server of this.owner.servers.values()) {
			const announcement = this.directory.getServer(server.server);
			if (announcement) {
				server.announcement = announcement;
				server.departureAnnouncedAt = announcement.departing
					? (server.departureAnnouncedAt ?? this.context.now)
					: undefined;
			}

			this.continueRelease(server);
		}
	}

	/**
	 * Lists the servers that the proxy claims to own. It claims none after its lease has expired,
	 * because control may have granted them to other proxies.
	 */
	listOwnedServers(isLeaseValid: boolean): messages.OwnershipClaim[] {
		const {now} = this.context;
		if (!isLeaseValid) {
			return [];
		}

		return [...this.owner.servers.values()].map((server) => ({
			server: server.server,
			epoch: server.epoch,
			...(server.writeTerm === undefined ? {} : {writeTerm: server.writeTerm}),
			...(server.replicationStalledAt === undefined
				? {}
				: {stalledMs: now - server.replicationStalledAt}),
			...(server.lastAnswerAt === undefined
				? {}
				: {
						// An unreachable server counts as one that has not answered for a long time.
						answerAgeMs: server.isUnreachable
							? Infinity
							: now - server.lastAnswerAt,
					}),
			...(server.status ? {status: server.status} : {}),
		}));
	}

	private applyGrant(grant: messages.OwnershipGrant): void {
		const releasedEpoch = this.releasedEpochs.get(grant.server);
		if (
			releasedEpoch &&
			epochs.compareEpochs(grant.epoch, releasedEpoch) <= 0
		) {
			this.unannouncedGrants.delete(grant.server);
			return;
		}

		const server = this.owner.servers.get(grant.server);
		if (!server) {
			const announcement = this.directory.getServer(grant.server);
			if (announcement) {
				this.unannouncedGrants.delete(grant.server);
				this.owner.addServer(grant, announcement);
			} else {
				this.unannouncedGrants.set(grant.server, grant);
			}

			return;
		}

		const order = epochs.compareEpochs(grant.epoch, server.epoch);
		if (order < 0) {
			return;
		}

		server.epoch = grant.epoch;
		const isReleasing = server.writeReleaseStartedAt !== undefined;
		if (grant.writeTerm === undefined) {
			// The renewal did not extend the write lease, so the lease ends with this grant.
			this.endWriteLease(server);
		} else if (!isReleasing || grant.writeTerm !== server.writeTerm) {
			server.writeTerm = grant.writeTerm;
			server.writeReleaseStartedAt = undefined;
		}
	}

	private continueRelease(server: owned.OwnedServer): void {
		if (server.writeReleaseStartedAt !== undefined) {
			this.continueWriteRelease(server, server.writeReleaseStartedAt);
		}

		this.startOwnershipRelease(server);
		if (server.ownershipReleaseStartedAt === undefined) {
			return;
		}

		const isTimedOut =
			this.context.now - server.ownershipReleaseStartedAt >
			ownershipReleaseTimeoutMs;
		const isIdle =
			server.countRequests() === 0 && server.countBoundConnections() === 0;
		if (server.writeTerm === undefined && (isIdle || isTimedOut)) {
			const {epoch} = server;
			this.releasedEpochs.set(server.server, epoch);
			this.owner.removeServer(server);
			this.sendLeaseReleased(server.server, epoch, 'ownership');
		}
	}

	/**
	 * Starts the second step of an ownership release. In the first step, no new transactions start
	 * while the open ones end and other requests are still served. In the second step, no new requests
	 * are accepted.
	 */
	private startOwnershipRelease(server: owned.OwnedServer): void {
		const {now} = this.context;
		const {ownershipReleaseRequestedAt: releaseRequestedAt} = server;
		if (
			releaseRequestedAt === undefined ||
			server.ownershipReleaseStartedAt !== undefined
		) {
			return;
		}

		const isTimedOut =
			now - releaseRequestedAt > this.context.timing.transactionReleaseMs;
		if (server.countBoundConnections() === 0 || isTimedOut) {
			server.ownershipReleaseStartedAt = now;
			server.writeReleaseStartedAt ??= now;
		}
	}

	private continueWriteRelease(
		server: owned.OwnedServer,
		startedAt: number,
	): void {
		const {now} = this.context;
		const isSilent = now - (server.lastAnswerAt ?? 0) > primarySilenceTimeoutMs;
		const isTimedOut = now - startedAt > writeReleaseTimeoutMs;
		if (server.countWrites() > 0 && !isSilent && !isTimedOut) {
			return;
		}

		const {writeTerm} = server;
		this.endWriteLease(server);
		this.sendLeaseReleased(server.server, server.epoch, 'write', writeTerm);
	}

	private endWriteLease(server: owned.OwnedServer): void {
		const hadLease = server.writeTerm !== undefined;
		server.writeTerm = undefined;
		server.writeReleaseStartedAt = undefined;
		if (hadLease) {
			this.owner.executor.abortWrites(server);
		}
	}

	private sendLeaseReleased(
		server: ids.UpstreamId,
		epoch: owned.OwnedServer['epoch'],
		scope: 'write' | 'ownership',
		writeTerm?: number,
	): void {
		if (this.controlPeer !== undefined) {
			this.context.send(this.controlPeer, {
				type: 'leaseReleased',
				server,
				epoch,
				scope,
				...(writeTerm === undefined ? {} : {writeTerm}),
			});
		}
	}
}
