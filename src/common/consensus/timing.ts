/**
 * Times and size limits of the replicated log.
 */

/**
 * Shortest election timeout, in ms. Voters also ignore vote requests for this long after they heard
 * from a leader or started.
 */
export const minElectionTimeoutMs = 300;

/** Upper bound of the random part of the election timeout, in ms; it avoids split votes. */
export const electionJitterMs = 300;

/** Time to wait for replies to a pre-vote, in ms; above two round trips between regions. */
export const preVoteTimeoutMs = 100;

/** Interval of the leader's appends while there is nothing to replicate, in ms. */
export const heartbeatIntervalMs = 75;

/** Largest relative difference between the clock rates of two peers. */
export const maxRelativeClockDrift = 0.01;

/**
 * Time after which the leader retries unanswered entries, in ms; above two round trips between
 * regions.
 */
export const appendReplyTimeoutMs = 200;

/**
 * Rate at which the entries of an append are assumed to reach their peer at least, in bytes per ms. The
 * time for a reply grows with the size, because a copy would only wait behind the first one.
 */
export const minTransferRate = 250;

/** A leader steps down after this time without replies from a majority, in ms. */
export const quorumLossTimeoutMs = minElectionTimeoutMs + electionJitterMs;

/** Interval between the join requests of a peer without state, in ms. */
export const joinRetryIntervalMs = 150;

/**
 * When a group starts for the first time, its peers wait for all initial voters for this long, in ms; then
 * a majority starts without the others.
 */
export const firstStartGraceMs = 1000;

/** Largest number of entries in one append. */
export const maxAppendEntries = 64;

/** Largest estimated size of the entries in one append, in bytes; a larger entry is sent alone. */
export const maxAppendBytes = 262_144;
