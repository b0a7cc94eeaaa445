/**
 * Times and limits of the control role, in ms unless the name says otherwise.
 */

/** Duration of a lease as stated in the grant. */
export const leaseMs = 1500;

/** Largest relative drift of a clock. */
export const maxClockDrift = 0.01;

/**
 * Time after which the grantor treats a lease as expired. The holder shortens its lease by the drift
 * bound, so its lease ends no later, even when both clocks drift by the bound in opposite directions.
 */
export const grantorLeaseMs = leaseMs * (1 + maxClockDrift);

/** A proxy whose last renewal is older is assigned no servers; it has then missed three renewals. */
export const maxRenewalAgeMs = 750;

/** A proxy that is silent for longer is removed, together with its load and data centre. */
export const proxyExpiryMs = 10_000;

/** A server without an announcement or answer for longer is assigned no owner. */
export const announcementExpiryMs = 10_000;

/** A server without an announcement or answer for longer is removed from its group and the table. */
export const serverExpiryMs = 600_000;

/** Revocations are retried at this interval until the lease is released or has expired. */
export const revocationRetryMs = 100;

/** Timeout of a graceful release of ownership: the drain deadline of a proxy and some reserve. */
export const ownershipReleaseTimeoutMs = 32_000;

/**
 * In a planned change, the holder of the write lease gets no grants for at most this long, so that
 * writes in flight can be acknowledged before it releases the lease. Its leases last longer than this.
 */
export const plannedReleaseTimeoutMs = 600;

/** A proxy must have been present for this long before servers are moved to it. */
export const proxyStabilizationMs = 10_000;

/** A server stays with a newly assigned owner for this long before it is moved. */
export const moveCooldownMs = 30_000;

/**
 * The same limit for a server whose owner is in another data centre. The network between them delays
 * every statement, so the server moves as soon as a stable proxy is available in its data centre.
 */
export const remoteMoveCooldownMs = 10_000;

/** Minimum interval between two moves; each makes one server unavailable during the handover. */
export const moveIntervalMs = 2000;

/** Servers move between two proxies of a data centre when one owns at least this many more. */
export const rebalanceThresholdServers = 2;

/** Failover starts when the primary has not answered its owner for this long. */
export const primaryTimeoutMs = 500;

/**
 * Failover starts when commits have waited for this long while no replica made progress, because no
 * write can be acknowledged while the replicas cannot reach the primary.
 */
export const replicationStallTimeoutMs = 1000;

/** Minimum interval between two equal calls to a server. */
export const callRetryMs = 200;

/** Minimum interval between two `follow` calls to a server that does not answer. */
export const followRetryMs = 1000;

/** A call without an answer is dropped after this time; adapters normally report a failure earlier. */
export const callTimeoutMs = 1500;

/** Once a quorum is fenced, the other servers have this long to answer before one is chosen. */
export const fenceGraceMs = 60;

/**
 * The same limit for servers that acknowledge commits themselves. It is longer, because a call to
 * another region on a new connection takes four round trips.
 */
export const statusGraceMs = 200;

/** When the chosen server is not promoted within this time, the promotion starts again in a new term. */
export const promoteTimeoutMs = 1000;

/** The same limit when the platform of the servers performs the promotion. */
export const indirectPromoteTimeoutMs = 3000;

/** A planned change waits at most this long for a replica to catch up. */
export const catchUpTimeoutMs = 2000;

/** Interval at which the leader looks for servers that have started again, outside of promotions. */
export const restartCheckIntervalMs = 250;

/** A status is recent enough to begin a planned change for this long. */
export const successorReadingMs = 1000;

/** Hold-down before the second promotion of a group; doubled for each further one. */
export const initialHoldDownMs = 1000;

export const maxHoldDownMs = 30_000;

/** A promotion counts towards the hold-down of the next one for this long. */
export const holdDownWindowMs = 60_000;

/** After a group is registered, its first write lease waits this long for the other servers to join. */
export const registrationWindowMs = 2000;

/**
 * The leader proposes a lease holder or an announcement for the log again when the proposal was not
 * committed within this time.
 */
export const proposalRetryMs = 1000;

/** An operator's change that the log rejected, because too much is pending, is proposed again after this time. */
export const rejectedProposalRetryMs = 100;

/** An operator's change without an outcome is answered `unavailable` after this time. */
export const operationTimeoutMs = 5000;

/** A change is sent to the leader again after this time without an answer; its id makes this safe. */
export const operationRetryMs = 500;

/**
 * Rate at which a forwarded change is assumed to reach the leader at least, in bytes per ms; its size
 * extends the time after which it is sent again.
 */
export const minTransferRate = 250;

/** Number of applied entries between two snapshots. */
export const snapshotIntervalEntries = 256;
