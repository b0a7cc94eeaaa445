/**
 * Write leases of groups. The owner of a group's primary holds the write lease together with its
 * ownership; a promotion revokes only the write lease. The lease of a new term is granted only when
 * that of the earlier term has ended.
 */
import type * as ids from '../ids.js';
import * as epochs from '../epoch.js';
import type * as control from './types.js';
import * as leases from './leases.js';
import * as timing from './timing.js';

function isHeldWith(
	lease: leases.WriteLease,
	server: ids.UpstreamId,
	ownership: leases.Ownership,
): boolean {
	return (
		lease.server === server &&
		lease.peer === ownership.peer &&
		epochs.compareEpochs(lease.epoch, ownership.epoch) === 0
	);
}

/** The last write lease that this leader granted in each group. */
export class WriteLeases {
	readonly #leases = new Map<ids.GroupId, leases.WriteLease>();
	/** Leases that are being released in a planned change. */
	readonly #plannedReleases = new Set<leases.WriteLease>();
	readonly #faults: control.FaultInjection;

	constructor(faults: control.FaultInjection = {}) {
		this.#faults = faults;
	}

	/**
	 * Grants the write lease to the owner of the group's primary, or extends it.
	 *
	 * @returns The term of the lease; undefined when the owner may not hold it now.
	 */
	grant(
		now: number,
		group: control.GroupState,
		ownership: leases.Ownership,
	): number | undefined {
		const {term, primary} = group;
		const lease = this.#leases.get(group.group);
		if (lease?.term === term && isHeldWith(lease, primary, ownership)) {
			if (!leases.canExtendWriteLease(now, lease, group.promotion)) {
				return undefined;
			}

			lease.expiresAt = now + timing.grantorLeaseMs;
			return term;
		}

		const isGrantable =
			(this.#faults.isLeaseWaitDisabled === true ||
				this.hasEnded(now, group.group)) &&
			group.promotion === undefined &&
			ownership.revokedAt === undefined;
		if (!isGrantable) {
			return undefined;
		}

		this.#leases.set(group.group, {
			server: primary,
			peer: ownership.peer,
			epoch: ownership.epoch,
			term,
			expiresAt: now + timing.grantorLeaseMs,
			revokedAt: undefined,
			revocationSentAt: Number.NEGATIVE_INFINITY,
			isReleased: false,
		});
		return term;
	}

	/**
	 * True when the owner's last write lease has ended but its term has not, because the same primary was
	 * chosen again. A release of that lease may still be in flight, so the term's next lease needs another
	 * epoch.
	 */
	needsNewEpoch(
		now: number,
		group: control.GroupState,
		ownership: leases.Ownership,
	): boolean {
		const lease = this.#leases.get(group.group);
		return (
			lease?.term === group.term &&
			isHeldWith(lease, group.primary, ownership) &&
			(lease.isReleased || lease.revokedAt !== undefined) &&
			this.hasEnded(now, group.group) &&
			group.promotion === undefined &&
			ownership.revokedAt === undefined
		);
	}

	/** Starts the revocation of a lease; has no effect when it has already started. */
	revoke(now: number, group: ids.GroupId, isPlanned: boolean): void {
		const lease = this.#leases.get(group);
		if (lease && lease.revokedAt === undefined) {
			lease.revokedAt = now;
			if (isPlanned) {
				this.#plannedReleases.add(lease);
			}
		}
	}

	/** True while a proxy finishes the writes in flight before a planned change. */
	isReleasing(now: number, peer: ids.PeerId): boolean {
		let isReleasing = false;
		for (const lease of this.#plannedReleases) {
			const isFinished =
				lease.isReleased ||
				now - (lease.revokedAt ?? now) >= timing.plannedReleaseTimeoutMs;
			if (isFinished) {
				this.#plannedReleases.delete(lease);
			} else if (
				lease.peer === peer &&
				lease.revocationSentAt > Number.NEGATIVE_INFINITY
			) {
				isReleasing = true;
			}
		}

		return isReleasing;
	}

	/** Marks the write lease that belongs to an ownership as released; with `term`, only one of that term. */
	release(
		server: ids.UpstreamId,
		ownership: leases.Ownership,
		term?: number,
	): void {
		for (const lease of this.#leases.values()) {
			if (
				isHeldWith(lease, server, ownership) &&
				(term === undefined || lease.term === term)
			) {
				lease.isReleased = true;
			}
		}
	}

	/** True when no lease that this leader granted for the group can still be held. */
	hasEnded(now: number, group: ids.GroupId): boolean {
		const lease = this.#leases.get(group);
		return !lease || lease.isReleased || now >= lease.expiresAt;
	}

	/** Returns the revocations that are due, and marks them as sent. */
	takeDueRevocations(now: number): leases.OutgoingRevocation[] {
		const due: leases.OutgoingRevocation[] = [];
		for (const lease of this.#leases.values()) {
			if (
				!lease.isReleased &&
				now < lease.expiresAt &&
				leases.isRevocationDue(now, lease)
			) {
				lease.revocationSentAt = now;
				due.push({
					to: lease.peer,
					message: {
						type: 'revokeLease',
						server: lease.server,
						epoch: lease.epoch,
						scope: 'write',
						writeTerm: lease.term,
					},
				});
			}
		}

		return due;
	}
}
