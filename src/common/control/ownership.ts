/**
 * Ownership and write leases, as the control leader keeps them in memory.
 *
 * A table exists for one term of leadership. The leases of an earlier leader are known only through
 * the claims of their holders, so unclaimed servers are granted only after one full lease period.
 * These rules make a grant exclusive:
 *
 * - A proxy counts a lease from the time at which it sent the renewal, the table from the grant, so
 *   the lease ends at the proxy first.
 * - A proxy never reactivates an expired lease: it ignores later grants of the same epoch. A server
 *   that a proxy listed and no longer lists is therefore granted under a new epoch.
 * - A revocation is final for its epoch and scope (and write term). Grants that still list the server
 *   only extend the time in which requests in flight may finish.
 */
import type * as ids from '../ids.js';
import type * as types from '../types.js';
import type * as messages from '../messages.js';
import * as epochs from '../epoch.js';
import type * as control from './types.js';
import * as leases from './leases.js';
import * as timing from './timing.js';
import * as writeLeases from './write-leases.js';

/** Leases of one term of leadership. */
export class OwnershipTable {
	readonly consensusTerm: number;
	readonly startedAt: number;
	readonly proxies = new Map<ids.PeerId, leases.ProxyRecord>();
	readonly servers = new Map<ids.UpstreamId, leases.ServerRecord>();
	readonly #writeLeases: writeLeases.WriteLeases;
	readonly #owned = new Map<ids.PeerId, Set<ids.UpstreamId>>();
	/** Proxies that have applied a grant of this leader and have listed all their leases since. */
	readonly #reportedHolders = new Set<ids.PeerId>();
	#haveAllHoldersReported = false;
	#epochCounter = 0;
	#ownerChangeCount = 0;

	/** `startedAt` is the start of the term of leadership. */
	constructor(
		consensusTerm: number,
		startedAt: number,
		faults: control.FaultInjection = {},
		/** All proxies that may hold a lease of an earlier leader; undefined when they are not known. */
		private readonly leaseHolders?: ReadonlySet<ids.PeerId>,
	) {
		this.#writeLeases = new writeLeases.WriteLeases(faults);
		this.consensusTerm = consensusTerm;
		this.startedAt = startedAt;
	}

	/** Increases with every change of an owner; two leaders never have the same version. */
	get ownersVersion(): types.Epoch {
		return {consensusTerm: this.consensusTerm, counter: this.#ownerChangeCount};
	}

	/**
	 * True when a proxy may get leases. Where lease holders are stored in the log, it must be one of
	 * them, so that a later leader knows of it.
	 */
	isLeaseHolder(peer: ids.PeerId): boolean {
		return this.leaseHolders?.has(peer) ?? true;
	}

	/** True once every lease that an earlier leader granted has expired or was claimed. */
	isTakeoverComplete(now: number): boolean {
		return (
			this.#haveAllHoldersReported ||
			now >= this.startedAt + timing.grantorLeaseMs
		);
	}

	/**
	 * Applies a renewal: the proxy's presence, announcements, claims and the health of its servers.
	 *
	 * @returns False for a message that is not newer than one already handled. Such a message does not
	 * show that the holder's lease on an unlisted server has ended.
	 */
	handleRenewal(
		now: number,
		peer: ids.PeerId,
		renewal: leases.Renewal,
	): boolean {
		const known = this.proxies.get(peer);
		if (known && isOutdated(known.renewal, renewal)) {
			return false;
		}

		const isUninterrupted =
			known?.incarnation === renewal.incarnation &&
			now - known.lastRenewalAt < timing.grantorLeaseMs;
		this.proxies.set(peer, {
			peer,
			incarnation: renewal.incarnation,
			dataCentre: renewal.dataCentre,
			presenceStartedAt: isUninterrupted ? known.presenceStartedAt : now,
			lastRenewalAt: now,
			draining: renewal.draining,
			renewal,
		});
		for (const announcement of renewal.announcements) {
			this.addAnnouncement(now, announcement);
		}

		this.#applyClaims(now, peer, renewal.owned);
		this.#updateTakeover(peer, renewal);
		return true;
	}

	/**
	 * Extends the leases of a proxy and returns them in the form of a grant.
	 *
	 * @param findWritableGroup - Returns the group whose primary the server is, if the write lease of
	 * the group may be granted.
	 */
	extendLeases(
		now: number,
		peer: ids.PeerId,
		findWritableGroup: (
			server: ids.UpstreamId,
		) => control.GroupState | undefined,
	): messages.OwnershipGrant[] {
		const grants: messages.OwnershipGrant[] = [];
		for (const server of this.listOwned(peer)) {
			const record = this.servers.get(server);
			let ownership = record?.ownership;
			if (!record || !ownership || !leases.canExtendOwnership(now, ownership)) {
				continue;
			}

			const group = findWritableGroup(server);
			if (group && this.#writeLeases.needsNewEpoch(now, group, ownership)) {
				ownership = this.#buildOwnership(now, peer);
				this.#setOwnership(record, ownership);
			}

			ownership.expiresAt = now + timing.grantorLeaseMs;
			const writeTerm = group && this.#writeLeases.grant(now, group, ownership);
			grants.push({
				server,
				epoch: ownership.epoch,
				...(writeTerm === undefined ? {} : {writeTerm}),
			});
		}

		return grants;
	}

	listOwned(peer: ids.PeerId): ids.UpstreamId[] {
		return [...(this.#owned.get(peer) ?? [])];
	}

	countOwned(peer: ids.PeerId): number {
		return this.#owned.get(peer)?.size ?? 0;
	}

	/** Starts the revocation of the write lease of a group; has no effect when it has already started. */
	revokeWriteLease(now: number, group: ids.GroupId, isPlanned = false): void {
		this.#writeLeases.revoke(now, group, isPlanned);
	}

	/** True when no proxy can still hold a write lease of the group, whichever leader granted it. */
	hasWriteLeaseEnded(now: number, group: ids.GroupId): boolean {
		return (
			this.isTakeoverComplete(now) && this.#writeLeases.hasEnded(now, group)
		);
	}

	/**
	 * True while a proxy finishes the writes in flight before a planned change. A grant without the
	 * write lease would abort these writes, and a grant with it could cross the release.
	 */
	isReleasingWriteLease(now: number, peer: ids.PeerId): boolean {
		return this.#writeLeases.isReleasing(now, peer);
	}

	/** Starts the revocation of the ownership of a server. */
	revokeOwnership(now: number, server: ids.UpstreamId): void {
		const ownership = this.servers.get(server)?.ownership;
		if (ownership) {
			ownership.revokedAt ??= now;
		}
	}

	/** Ends a lease that its holder has released. */
	handleRelease(from: ids.PeerId, message: leases.Release): void {
		const record = this.servers.get(message.server);
		const ownership = record?.ownership;
		if (
			!record ||
			ownership?.peer !== from ||
			epochs.compareEpochs(ownership.epoch, message.epoch) !== 0
		) {
			return;
		}

		if (message.scope === 'ownership') {
			this.#writeLeases.release(message.server, ownership);
			this.#setOwnership(record, undefined);
			return;
		}

		if (message.writeTerm !== undefined) {
			this.#writeLeases.release(message.server, ownership, message.writeTerm);
		}
	}

	/** Removes expired ownership, and proxies and servers that have been silent for too long. */
	expire(now: number): void {
		for (const record of this.servers.values()) {
			if (record.ownership && now >= record.ownership.expiresAt) {
				this.#setOwnership(record, undefined);
			}

			if (
				!record.ownership &&
				now - record.lastSeenAt > timing.serverExpiryMs
			) {
				this.servers.delete(record.server);
			}
		}

		for (const proxy of this.proxies.values()) {
			if (now - proxy.lastRenewalAt > timing.proxyExpiryMs) {
				this.proxies.delete(proxy.peer);
			}
		}
	}

	/** Assigns a server without owner to a proxy. */
	assign(now: number, record: leases.ServerRecord, peer: ids.PeerId): void {
		this.#setOwnership(record, this.#buildOwnership(now, peer));
		record.assignedAt = now;
	}

	/** Returns the revocations that are due, and marks them as sent. */
	takeDueRevocations(now: number): leases.OutgoingRevocation[] {
		const due = this.#writeLeases.takeDueRevocations(now);
		for (const {ownership, server} of this.servers.values()) {
			if (ownership && leases.isRevocationDue(now, ownership)) {
				const {epoch, peer} = ownership;
				ownership.revocationSentAt = now;
				due.push({
					to: peer,
					message: {type: 'revokeLease', server, epoch, scope: 'ownership'},
				});
			}
		}

		return due;
	}

	/** Lists the owners that changed after `known`; all of them when `known` is not from this leader. */
	listOwners(
		known: types.Epoch | undefined,
	): Array<{server: ids.UpstreamId; owner: ids.PeerId | undefined}> {
		const since =
			known?.consensusTerm === this.consensusTerm ? known.counter : -1;
		if (since === this.#ownerChangeCount) {
			return [];
		}

		return [...this.servers.values()]
			.filter((record) => record.ownerVersion > since)
			.map(({server, ownership}) => ({server, owner: ownership?.peer}));
	}

	/** Stores an announcement if it is newer; it need not come from a renewal. */
	addAnnouncement(
		now: number,
		announcement: types.VersionedAnnouncement,
	): void {
		const record = this.#ensureServer(now, announcement.server);
		if ((record.announcement?.version ?? -1) < announcement.version) {
			record.announcement = announcement;
			record.lastSeenAt = now;
		}
	}

	/**
	 * A proxy that has applied a grant of this leader ignores grants of earlier leaders, so from then on
	 * it lists every lease that it holds. Once all lease holders have done so, the takeover is complete
	 * before the lease period ends, which shortens the outage after a restart of all peers.
	 */
	#updateTakeover(peer: ids.PeerId, renewal: leases.Renewal): void {
		if (
			this.#haveAllHoldersReported ||
			!this.leaseHolders ||
			renewal.knownOwners?.consensusTerm !== this.consensusTerm
		) {
			return;
		}

		this.#reportedHolders.add(peer);
		this.#haveAllHoldersReported =
			this.leaseHolders.size > 0 &&
			[...this.leaseHolders].every((holder) =>
				this.#reportedHolders.has(holder),
			);
	}

	#ensureServer(now: number, server: ids.UpstreamId): leases.ServerRecord {
		let record = this.servers.get(server);
		if (!record) {
			record = {
				server,
				announcement: undefined,
				lastSeenAt: now,
				ownership: undefined,
				health: undefined,
				assignedAt: Number.NEGATIVE_INFINITY,
				ownerVersion: 0,
			};
			this.servers.set(server, record);
		}

		return record;
	}

	#applyClaims(
		now: number,
		peer: ids.PeerId,
		owned: readonly messages.OwnershipClaim[],
	): void {
		const listed = new Set<ids.UpstreamId>();
		for (const claim of owned) {
			const record = this.#ensureServer(now, claim.server);
			if (this.#applyClaim(now, peer, claim, record)) {
				listed.add(claim.server);
				this.#storeHealth(now, claim, record);
			}
		}

		for (const server of this.listOwned(peer)) {
			const record = this.servers.get(server);
			if (record?.ownership && !listed.has(server)) {
				this.#handleUnlistedServer(now, record, record.ownership);
			}
		}
	}

	/**
	 * Handles a server that its owner does not list. If the owner listed it before, its lease has
	 * expired and its epoch cannot be used again; if not, the grant may still be in flight.
	 */
	#handleUnlistedServer(
		now: number,
		record: leases.ServerRecord,
		ownership: leases.Ownership,
	): void {
		if (ownership.isInherited || !ownership.isInLastRenewal) {
			ownership.isInLastRenewal = false;
			return;
		}

		this.#writeLeases.release(record.server, ownership);
		this.#setOwnership(
			record,
			ownership.revokedAt === undefined
				? this.#buildOwnership(now, ownership.peer)
				: undefined,
		);
	}

	/** Returns true when the claim belongs to the current owner or makes its proxy the owner. */
	#applyClaim(
		now: number,
		peer: ids.PeerId,
		claim: messages.OwnershipClaim,
		record: leases.ServerRecord,
	): boolean {
		const current = record.ownership;
		if (
			current?.peer === peer &&
			epochs.compareEpochs(claim.epoch, current.epoch) === 0
		) {
			current.isInLastRenewal = true;
			return true;
		}

		const isAcceptable =
			!this.isTakeoverComplete(now) &&
			claim.epoch.consensusTerm < this.consensusTerm &&
			(!current || epochs.compareEpochs(claim.epoch, current.epoch) > 0);
		if (isAcceptable) {
			this.#setOwnership(record, {
				peer,
				epoch: claim.epoch,
				isInherited: true,
				grantedAt: now,
				expiresAt: now + timing.grantorLeaseMs,
				isInLastRenewal: true,
				revokedAt: undefined,
				revocationSentAt: Number.NEGATIVE_INFINITY,
			});
		}

		return isAcceptable;
	}

	#storeHealth(
		now: number,
		claim: messages.OwnershipClaim,
		record: leases.ServerRecord,
	): void {
		const {answerAgeMs, status, stalledMs = 0} = claim;
		record.health = {reportedAt: now, answerAgeMs, status, stalledMs};
		if (answerAgeMs !== undefined && answerAgeMs < timing.primaryTimeoutMs) {
			record.lastSeenAt = now;
		}
	}

	#buildOwnership(now: number, peer: ids.PeerId): leases.Ownership {
		return {
			peer,
			epoch: {
				consensusTerm: this.consensusTerm,
				counter: ++this.#epochCounter,
			},
			isInherited: false,
			grantedAt: now,
			expiresAt: now + timing.grantorLeaseMs,
			isInLastRenewal: false,
			revokedAt: undefined,
			revocationSentAt: Number.NEGATIVE_INFINITY,
		};
	}

	#setOwnership(
		record: leases.ServerRecord,
		ownership: leases.Ownership | undefined,
	): void {
		if (record.ownership) {
			this.#owned.get(record.ownership.peer)?.delete(record.server);
		}

		if (ownership) {
			const owned = this.#owned.get(ownership.peer) ?? new Set();
			this.#owned.set(ownership.peer, owned.add(record.server));
		}

		record.ownership = ownership;
		record.health = undefined;
		record.ownerVersion = ++this.#ownerChangeCount;
	}
}

/** True when `renewal` is not newer than `last`, the last one handled from the same peer. */
function isOutdated(last: leases.Renewal, renewal: leases.Renewal): boolean {
	return (
		renewal.incarnation < last.incarnation ||
		(renewal.incarnation === last.incarnation &&
			renewal.sequence <= last.sequence)
	);
}
