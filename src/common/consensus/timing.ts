/**
 * Times and size limits of the replicated log.
 */

/** Voters refuse votes for this long after they heard a leader or started, in ms. */
export const minElectionTimeoutMs = 300;

/** Upper bound of the random part of the election timeout, in ms; it keeps peers from tying. */
export const electionJitterMs = 300;

/** Answers to a pre-vote arrive within this time, in ms; above two round trips between regions. */
export const preVoteTimeoutMs = 100;

/** Interval of the leader's appends while there is nothing to replicate, in ms. */
export const heartbeatIntervalMs = 75;

/** Largest relative difference between the clocks of two peers. */
export const maxRelativeClockDrift = 0.01;

/** Time after which the leader sends unanswered entries again, in ms; above two round trips between regions. */
export const resendTimeoutMs = 200;

/** A leader without answers from a majority for this long becomes a follower, in ms. */
export const quorumLossTimeoutMs = minElectionTimeoutMs + electionJitterMs;

/** Interval of join requests of a peer without state, in ms. */
export const joinRetryMs = 150;

/** Entries in one append. */
export const maxAppendEntries = 64;

/** Estimated bytes of the entries in one append; a larger single entry still goes alone. */
export const maxAppendBytes = 262_144;
