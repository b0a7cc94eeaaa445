/**
 * Times and limits of the control role, in ms unless the name says otherwise.
 */

/** Duration of a lease as the holder is told it. */
export const leaseMs = 1500;

/** Largest relative error of a clock. */
export const maxClockDrift = 0.01;

/**
 * How long the grantor counts a lease. With both clocks off by the drift bound in opposite
 * directions, the holder's shortened lease ends no later than this.
 */
export const grantorLeaseMs = leaseMs * (1 + maxClockDrift);

/** A proxy whose last renewal is older gets no new servers; three renewals were missed. */
export const maxRenewalAgeMs = 750;

/** A proxy that is silent for longer is forgotten, with its load and data centre. */
export const proxyExpiryMs = 10_000;

/** A server without announcement or answer for longer gets no new owner. */
export const announcementExpiryMs = 10_000;

/** A server without announcement for longer leaves its group and is forgotten. */
export const serverExpiryMs = 600_000;

/** Revocations are repeated until they are answered or the lease has run out. */
export const revocationRetryMs = 100;

/** Bound on a graceful release of ownership: the drain deadline of a proxy and some reserve. */
export const ownershipReleaseTimeoutMs = 32_000;

/**
 * In a planned change the holder of the write lease gets no grants for at most this long, so that
 * writes in flight can be acknowledged before it gives the lease back. Its leases last longer.
 */
export const plannedReleaseTimeoutMs = 600;

/** A proxy must have been present this long before servers are moved to it. */
export const proxyStabilizationMs = 10_000;

/** A server that was moved stays where it is for this long. */
export const moveCooldownMs = 30_000;

/**
 * The same for a server whose owner is in another data centre: the network between them delays each
 * of its statements, so it moves as soon as a stable proxy is near.
 */
export const remoteMoveCooldownMs = 10_000;

/** Pause between two moves; each makes one server unavailable for the time of the handover. */
export const moveIntervalMs = 2000;

/** Difference of owned servers between two proxies of a data centre that is worth a move. */
export const rebalanceThreshold = 2;

/** Failover starts when the primary has not answered its owner for this long. */
export const primaryTimeoutMs = 500;

/**
 * Failover starts when commits have waited for this long while no replica made progress, because a
 * primary that its replicas cannot reach can never acknowledge a write.
 */
export const replicationStallTimeoutMs = 1000;

/** A call to a server is repeated after this pause. */
export const callRetryMs = 200;

/** Pause between two `follow` calls to a server that does not answer. */
export const followRetryMs = 1000;

/** A call without answer is given up after this time; adapters answer earlier. */
export const callTimeoutMs = 1500;

/** With a majority fenced, the other servers get this long to answer before the choice. */
export const fenceGraceMs = 60;

/**
 * Servers that confirm commits themselves get this long to tell their position: a call to another
 * region on a new connection takes four round trips.
 */
export const statusGraceMs = 200;

/** A chosen server that was not promoted within this time makes a new term necessary. */
export const promoteTimeoutMs = 1000;

/** The same limit where the platform of the servers carries the promotion out. */
export const indirectPromoteTimeoutMs = 3000;

/** A planned change waits at most this long for a replica to catch up. */
export const catchUpTimeoutMs = 2000;

/** Hold-down before the second promotion of a group; doubled for each further one. */
export const holdDownMs = 1000;

/** Largest hold-down. */
export const maxHoldDownMs = 30_000;

/** A promotion counts towards the hold-down of the next one for this long. */
export const holdDownWindowMs = 60_000;

/** After the registration of a group its first write lease waits for the other servers to join. */
export const registrationWindowMs = 2000;

/** A proposal of the leader about a group is repeated when it had no effect for this long. */
export const proposalRetryMs = 1000;

/** An operator's change without outcome is answered `unavailable` after this time. */
export const operationTimeoutMs = 5000;

/** A change that was passed to the leader is sent again after this time; the change id makes it safe. */
export const operationRetryMs = 500;

/** Applied entries between two snapshots. */
export const snapshotIntervalEntries = 256;
