/**
 * Write leases of groups. The owner of a group's primary holds it together with its ownership; a
 * promotion takes it back alone. The lease of a new term is granted only when that of the earlier
 * one is over.
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

/** The last write lease of each group that this leader granted. */
export class WriteLeases {
	readonly #leases = new Map<ids.GroupId, leases.WriteLease>();
	/** Leases that are being released in a planned change. */
	readonly #planned = new Set<leases.WriteLease>();
	readonly #faults: control.FaultInjection;

	constructor(faults: control.FaultInjection = {}) {
		this.#faults = faults;
	}

	/**
	 * Grants or prolongs the write lease to the owner of the group's primary.
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

	/** Starts to take a lease back; without effect when that was begun before. */
	revoke(now: number, group: ids.GroupId, isPlanned: boolean): void {
		const lease = this.#leases.get(group);
		if (lease && lease.revokedAt === undefined) {
			lease.revokedAt = now;
			if (isPlanned) {
				this.#planned.add(lease);
			}
		}
	}

	/** True while a proxy finishes the writes of a planned change. */
	isReleasing(now: number, peer: ids.PeerId): boolean {
		let isReleasing = false;
		for (const lease of this.#planned) {
			const isOver =
				lease.isReleased ||
				now - (lease.revokedAt ?? now) >= timing.plannedReleaseTimeoutMs;
			if (isOver) {
				this.#planned.delete(lease);
			} else if (
				lease.peer === peer &&
				lease.revocationSentAt > Number.NEGATIVE_INFINITY
			) {
				isReleasing = true;
			}
		}

		return isReleasing;
	}

	/** Marks the lease that belongs to an ownership as given back; `term` narrows it down. */
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

	/** Lists the revocations that are due to be sent, and notes that they were. */
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
