/**
 * Applies what control grants and revokes, and gives back what the proxy shall no longer hold.
 * A write lease is given back after the running writes have finished, or at once when the primary
 * does not answer.
 */
import * as epochs from '../epoch.js';
import type * as ids from '../ids.js';
import type * as messages from '../messages.js';
import type * as context from './context.js';
import type * as directory from './directory.js';
import type * as owned from './owned-server.js';
import type * as owner from './owner.js';

/** Running writes get this long to finish before the write lease is given back. */
const writeReleaseLimitMs = 150;
/** A primary that has not answered for this long cannot finish writes. */
const silentPrimaryMs = 300;
/** Running requests get this long to finish before ownership is given back. */
const ownershipReleaseLimitMs = 5000;

export class OwnershipManager {
	/** Grants for servers whose announcement has not arrived yet. */
	private readonly unplaced = new Map<
		ids.UpstreamId,
		messages.OwnershipGrant
	>();

	/** Epochs up to these were given back; a grant that arrives later must not revive them. */
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

	/** Replaces the set of owned servers by the granted one. */
	applyGrants(
		from: ids.PeerId,
		grants: readonly messages.OwnershipGrant[],
	): void {
		this.controlPeer = from;
		this.unplaced.clear();
		const granted = new Set<ids.UpstreamId>();
		for (const grant of grants) {
			granted.add(grant.server);
			this.applyGrant(grant);
		}

		for (const server of this.owner.servers.values()) {
			if (!granted.has(server.server)) {
				this.owner.removeServer(server);
			}
		}
	}

	handleRevoke(
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
				this.sendReleased(
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
		for (const grant of this.unplaced.values()) {
			this.applyGrant(grant);
		}

		for (const server of this.owner.servers.values()) {
			const current = this.directory.getServer(server.server);
			if (current) {
				server.announcement = current;
				server.departureAnnouncedAt = current.departing
					? (server.departureAnnouncedAt ?? this.context.now)
					: undefined;
			}

			this.continueRelease(server);
		}
	}

	/** What the proxy claims. A lapsed lease is no claim: control may have given the servers away. */
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
						// Refused connections say as much as a long silence.
						answerAgeMs: server.isUnreachable
							? Infinity
							: now - server.lastAnswerAt,
					}),
			...(server.status ? {status: server.status} : {}),
		}));
	}

	private applyGrant(grant: messages.OwnershipGrant): void {
		const released = this.releasedEpochs.get(grant.server);
		if (released && epochs.compareEpochs(grant.epoch, released) <= 0) {
			this.unplaced.delete(grant.server);
			return;
		}

		const server = this.owner.servers.get(grant.server);
		if (!server) {
			const announcement = this.directory.getServer(grant.server);
			if (announcement) {
				this.unplaced.delete(grant.server);
				this.owner.addServer(grant, announcement);
			} else {
				this.unplaced.set(grant.server, grant);
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
			// The renewal did not prolong the write lease, so it must not outlive this grant.
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

		this.startRelease(server);
		if (server.ownershipReleaseStartedAt === undefined) {
			return;
		}

		const isLate =
			this.context.now - server.ownershipReleaseStartedAt >
			ownershipReleaseLimitMs;
		const isIdle =
			server.countRequests() === 0 && server.countBoundConnections() === 0;
		if (server.writeTerm === undefined && (isIdle || isLate)) {
			const {epoch} = server;
			this.releasedEpochs.set(server.server, epoch);
			this.owner.removeServer(server);
			this.sendReleased(server.server, epoch, 'ownership');
		}
	}

	/**
	 * Ownership is given back in two steps: first no new transactions start while the open ones end
	 * and other requests are still served, then nothing new is accepted.
	 */
	private startRelease(server: owned.OwnedServer): void {
		const {now} = this.context;
		const {ownershipReleaseRequestedAt: releaseRequestedAt} = server;
		if (
			releaseRequestedAt === undefined ||
			server.ownershipReleaseStartedAt !== undefined
		) {
			return;
		}

		const isLate =
			now - releaseRequestedAt > this.context.timing.transactionReleaseMs;
		if (server.countBoundConnections() === 0 || isLate) {
			server.ownershipReleaseStartedAt = now;
			server.writeReleaseStartedAt ??= now;
		}
	}

	private continueWriteRelease(server: owned.OwnedServer, since: number): void {
		const {now} = this.context;
		const isSilent = now - (server.lastAnswerAt ?? 0) > silentPrimaryMs;
		const isLate = now - since > writeReleaseLimitMs;
		if (server.countWrites() > 0 && !isSilent && !isLate) {
			return;
		}

		const {writeTerm} = server;
		this.endWriteLease(server);
		this.sendReleased(server.server, server.epoch, 'write', writeTerm);
	}

	private endWriteLease(server: owned.OwnedServer): void {
		const hadLease = server.writeTerm !== undefined;
		server.writeTerm = undefined;
		server.writeReleaseStartedAt = undefined;
		if (hadLease) {
			this.owner.executor.abortWrites(server);
		}
	}

	private sendReleased(
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
