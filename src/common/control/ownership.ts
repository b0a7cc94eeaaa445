/**
 * Ownership and write leases, as the control leader keeps them in memory.
 *
 * A table lives as long as one term of leadership. The leases of an earlier leader are known only
 * through the claims of their holders, so that unclaimed servers are granted after one full lease
 * period. What makes a grant exclusive:
 *
 * - A proxy counts a lease from the time at which it sent the renewal, the table from the grant.
 * - A proxy never revives a lease that ran out: a grant of the same epoch is void for it from then
 *   on. A grant that the proxy held and no longer lists therefore gets a new epoch.
 * - A revocation holds for its epoch and scope (and write term) for good. Grants that still list
 *   the server only prolong the time in which running work may finish.
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
	/** Proxies that have applied a grant of this leader and listed all they hold since. */
	readonly #settled = new Set<ids.PeerId>();
	#isTakenOver = false;
	#epochCounter = 0;
	#ownerChange = 0;

	/** `startedAt` is the begin of the leadership. */
	constructor(
		consensusTerm: number,
		startedAt: number,
		faults: control.FaultInjection = {},
		/** Every proxy that may hold a lease of an earlier leader; undefined when that is not known. */
		private readonly leaseHolders?: ReadonlySet<ids.PeerId>,
	) {
		this.#writeLeases = new writeLeases.WriteLeases(faults);
		this.consensusTerm = consensusTerm;
		this.startedAt = startedAt;
	}

	/** Changes with every change of an owner; never equal between two leaders. */
	get ownersVersion(): types.Epoch {
		return {consensusTerm: this.consensusTerm, counter: this.#ownerChange};
	}

	/** True while a proxy may get leases: a later leader has to know of them. */
	isLeaseHolder(peer: ids.PeerId): boolean {
		return this.leaseHolders?.has(peer) ?? true;
	}

	/** True once every lease that an earlier leader granted has run out or was claimed. */
	isTakeoverComplete(now: number): boolean {
		return this.#isTakenOver || now >= this.startedAt + timing.grantorLeaseMs;
	}

	/**
	 * Takes in a renewal: presence, announcements, claims and health.
	 *
	 * @returns False for a message that is older than one already handled. Such a message must not
	 * be taken as a sign that the holder dropped what it does not list.
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

		const isContinued =
			known?.incarnation === renewal.incarnation &&
			now - known.lastRenewalAt < timing.grantorLeaseMs;
		this.proxies.set(peer, {
			peer,
			incarnation: renewal.incarnation,
			dataCentre: renewal.dataCentre,
			presenceStartedAt: isContinued ? known.presenceStartedAt : now,
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
	 * Lists what a proxy owns, in the form of a grant, and prolongs the leases.
	 *
	 * @param findWritable - The group whose primary the server is, if its write lease may be granted.
	 */
	extendLeases(
		now: number,
		peer: ids.PeerId,
		findWritable: (server: ids.UpstreamId) => control.GroupState | undefined,
	): messages.OwnershipGrant[] {
		const grants: messages.OwnershipGrant[] = [];
		for (const server of this.listOwned(peer)) {
			const ownership = this.servers.get(server)?.ownership;
			if (!ownership || !leases.canExtendOwnership(now, ownership)) {
				continue;
			}

			ownership.expiresAt = now + timing.grantorLeaseMs;
			const group = findWritable(server);
			const writeTerm = group && this.#writeLeases.grant(now, group, ownership);
			grants.push({
				server,
				epoch: ownership.epoch,
				...(writeTerm === undefined ? {} : {writeTerm}),
			});
		}

		return grants;
	}

	/** Lists the servers that a proxy owns. */
	listOwned(peer: ids.PeerId): ids.UpstreamId[] {
		return [...(this.#owned.get(peer) ?? [])];
	}

	/** Counts the servers that a proxy owns. */
	countOwned(peer: ids.PeerId): number {
		return this.#owned.get(peer)?.size ?? 0;
	}

	/** Starts to take the write lease of a group back; without effect when it was begun before. */
	revokeWrite(now: number, group: ids.GroupId, isPlanned = false): void {
		this.#writeLeases.revoke(now, group, isPlanned);
	}

	/** True when no proxy can hold the write lease of a term of the group up to `term`. */
	hasWriteLeaseEnded(now: number, group: ids.GroupId): boolean {
		return (
			this.isTakeoverComplete(now) && this.#writeLeases.hasEnded(now, group)
		);
	}

	/**
	 * True while a proxy finishes the writes of a planned change. A grant without the write lease
	 * would cut them off, one with it could cross the release.
	 */
	isReleasingWrite(now: number, peer: ids.PeerId): boolean {
		return this.#writeLeases.isReleasing(now, peer);
	}

	/** Starts to take a server back from its owner. */
	revokeOwnership(now: number, server: ids.UpstreamId): void {
		const ownership = this.servers.get(server)?.ownership;
		if (ownership) {
			ownership.revokedAt ??= now;
		}
	}

	/** Takes in the end of a lease that its holder gave back. */
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

	/** Ends leases that ran out and forgets silent proxies and servers. */
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

	/** Gives a server without owner to a proxy. */
	assign(now: number, record: leases.ServerRecord, peer: ids.PeerId): void {
		this.#setOwnership(record, this.#buildOwnership(now, peer));
		record.assignedAt = now;
	}

	/** Lists the revocations that are due to be sent, and notes that they were. */
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

	/** Lists owners that changed after `known`; all when `known` is not of this leader. */
	listOwners(
		known: types.Epoch | undefined,
	): Array<{server: ids.UpstreamId; owner: ids.PeerId | undefined}> {
		const since =
			known?.consensusTerm === this.consensusTerm ? known.counter : -1;
		if (since === this.#ownerChange) {
			return [];
		}

		return [...this.servers.values()]
			.filter((record) => record.ownerVersion > since)
			.map(({server, ownership}) => ({server, owner: ownership?.peer}));
	}

	/** Takes in news about a server, also news that came past the renewals. */
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
	 * A proxy that has applied a grant of this leader ignores those of earlier ones, so what it lists
	 * from then on is all that it holds. When every lease holder has done so, nothing is left to wait
	 * for; this shortens the outage after a restart of all peers.
	 */
	#updateTakeover(peer: ids.PeerId, renewal: leases.Renewal): void {
		if (
			this.#isTakenOver ||
			!this.leaseHolders ||
			renewal.knownOwners?.consensusTerm !== this.consensusTerm
		) {
			return;
		}

		this.#settled.add(peer);
		this.#isTakenOver =
			this.leaseHolders.size > 0 &&
			[...this.leaseHolders].every((holder) => this.#settled.has(holder));
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
				this.#handleUnlisted(now, record, record.ownership);
			}
		}
	}

	/**
	 * The holder does not list what it was granted. If it listed it before, its lease ran out and is
	 * void for good; if not, the grant may still be on its way.
	 */
	#handleUnlisted(
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

	/** Returns true when the claim is that of the current owner. */
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

		const canAccept =
			!this.isTakeoverComplete(now) &&
			claim.epoch.consensusTerm < this.consensusTerm &&
			(!current || epochs.compareEpochs(claim.epoch, current.epoch) > 0);
		if (canAccept) {
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

		return canAccept;
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
		record.ownerVersion = ++this.#ownerChange;
	}
}

/** True when `renewal` is not newer than the one of the same peer that was handled last. */
function isOutdated(last: leases.Renewal, renewal: leases.Renewal): boolean {
	return (
		renewal.incarnation < last.incarnation ||
		(renewal.incarnation === last.incarnation &&
			renewal.sequence <= last.sequence)
	);
}
