/**
 * Records of the ownership table (proxies, servers, ownership and write leases), and the rules that
 * decide whether a lease may be extended.
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

/** A revocation and the proxy to send it to. */
export type OutgoingRevocation = {
	readonly to: ids.PeerId;
	readonly message: Revocation;
};

/** A proxy that renews its leases with this leader. */
export type ProxyRecord = {
	readonly peer: ids.PeerId;
	readonly incarnation: number;
	readonly dataCentre: ids.DataCentre;
	/** Start of the period in which consecutive renewals were less than `timing.grantorLeaseMs` apart. */
	readonly presenceStartedAt: number;
	lastRenewalAt: number;
	draining: boolean;
	/** The last renewal; a grant that answers no renewal carries its sequence. */
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
	/** True when the holder listed the epoch in its last renewal. */
	isInLastRenewal: boolean;
	revokedAt: number | undefined;
	revocationSentAt: number;
};

/** What the owner of a server last reported about it. */
export type ServerHealth = {
	readonly reportedAt: number;
	/** Age of the server's last answer at the time of the report; undefined when there was none. */
	readonly answerAgeMs: number | undefined;
	readonly status: types.UpstreamStatus | undefined;
	/** How long commits have waited without any progress of the replicas. */
	readonly stalledMs: number;
};

/** A server that was announced or claimed. */
export type ServerRecord = {
	readonly server: ids.UpstreamId;
	announcement: types.VersionedAnnouncement | undefined;
	lastSeenAt: number;
	ownership: Ownership | undefined;
	health: ServerHealth | undefined;
	assignedAt: number;
	/** Value of the table's owner change counter at the last change of this server's owner. */
	ownerVersion: number;
};

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

/** A lease granted by an earlier leader is extended only while its holder claims it. */
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
 * A write lease is not extended once its revocation was sent: a grant that crosses the holder's
 * release would restore the lease to the holder.
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

	// The promotion counts an expired lease as ended, so it must not be extended again.
	return (
		promotion?.planned === true &&
		now < lease.expiresAt &&
		lease.revocationSentAt === Number.NEGATIVE_INFINITY
	);
}

/** True when a revocation must be sent or retried. */
export function isRevocationDue(
	now: number,
	lease: Readonly<{revokedAt: number | undefined; revocationSentAt: number}>,
): boolean {
	return (
		lease.revokedAt !== undefined &&
		now - lease.revocationSentAt >= timing.revocationRetryMs
	);
}
