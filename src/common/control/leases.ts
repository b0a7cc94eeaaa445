/**
 * Records of the ownership table: proxies, servers, ownership and write leases, and the rules by
 * which a lease may be prolonged.
 */
import type * as ids from '../ids.js';
import type * as types from '../types.js';
import type * as messages from '../messages.js';
import type * as control from './types.js';
import * as timing from './timing.js';

export type Renewal = Extract<messages.ControlMessage, {type: 'renewLease'}>;
export type Release = Extract<messages.ControlMessage, {type: 'leaseReleased'}>;
export type Revocation = Extract<
	messages.ControlMessage,
	{type: 'revokeLease'}
>;

/** A revocation and its receiver. */
export type OutgoingRevocation = {
	readonly to: ids.PeerId;
	readonly message: Revocation;
};

/** A proxy that renews its leases with this leader. */
export type ProxyRecord = {
	readonly peer: ids.PeerId;
	readonly incarnation: number;
	readonly dataCentre: ids.DataCentre;
	/** Begin of its uninterrupted presence. */
	readonly presenceStartedAt: number;
	lastRenewalAt: number;
	draining: boolean;
	/** The last renewal; a push refers to its sequence. */
	renewal: Renewal;
};

/** The current owner of a server. */
export type Ownership = {
	readonly peer: ids.PeerId;
	readonly epoch: types.Epoch;
	/** True when an earlier leader granted it. */
	readonly isInherited: boolean;
	readonly grantedAt: number;
	expiresAt: number;
	/** The holder listed the epoch in its last renewal. */
	isInLastRenewal: boolean;
	revokedAt: number | undefined;
	revocationSentAt: number;
};

/** What the owner of a server last reported of it. */
export type Health = {
	readonly reportedAt: number;
	/** Age of the last answer when it was reported; undefined when there was none. */
	readonly answerAgeMs: number | undefined;
	readonly status: types.UpstreamStatus | undefined;
	/** How long commits have waited without any progress of the replicas, in ms. */
	readonly stalledMs: number;
};

/** A server that was announced or claimed. */
export type ServerRecord = {
	readonly server: ids.UpstreamId;
	announcement: types.VersionedAnnouncement | undefined;
	lastSeenAt: number;
	ownership: Ownership | undefined;
	health: Health | undefined;
	assignedAt: number;
	/** Value of the change counter at the last change of the owner. */
	ownerVersion: number;
};

/** The write lease of a group. */
export type WriteLease = {
	readonly server: ids.UpstreamId;
	readonly peer: ids.PeerId;
	readonly epoch: types.Epoch;
	readonly term: number;
	expiresAt: number;
	revokedAt: number | undefined;
	revocationSentAt: number;
	isReleased: boolean;
};

/** A lease of an earlier leader is prolonged only while its holder claims it. */
export function canExtendOwnership(now: number, ownership: Ownership): boolean {
	if (ownership.isInherited && !ownership.isInLastRenewal) {
		return false;
	}

	return (
		ownership.revokedAt === undefined ||
		now - ownership.revokedAt < timing.ownershipReleaseTimeoutMs
	);
}

/**
 * A write lease is not prolonged once its revocation was sent: a grant that crosses the holder's
 * release would give the lease back to it.
 */
export function canExtendWriteLease(
	now: number,
	lease: WriteLease,
	promotion: control.Promotion | undefined,
): boolean {
	if (lease.isReleased) {
		return false;
	}

	if (lease.revokedAt === undefined) {
		return promotion === undefined;
	}

	// A lease that ran out counts as over for the promotion and may not come back.
	return (
		promotion?.planned === true &&
		now < lease.expiresAt &&
		lease.revocationSentAt === Number.NEGATIVE_INFINITY
	);
}

/** True when a revocation is due to be sent (again). */
export function isRevocationDue(
	now: number,
	lease: Readonly<{revokedAt: number | undefined; revocationSentAt: number}>,
): boolean {
	return (
		lease.revokedAt !== undefined &&
		now - lease.revocationSentAt >= timing.revocationRetryMs
	);
}
