/**
 * Metrics of one process as plain data, for `GET /metrics.json`.
 */
import type * as types from '../types.js';
import type * as traffic from './traffic.js';

/** Durations in ms. */
export type HistogramSummary = {
	readonly count: number;
	readonly meanMs: number;
	readonly p50Ms: number;
	readonly p90Ms: number;
	readonly p99Ms: number;
	readonly p999Ms: number;
	readonly maxMs: number;
};

/** Request metrics of one member and rank since the start of the process. */
export type SeriesSnapshot = {
	/** `other` combines all members beyond the limit. */
	readonly member: string;
	readonly rank: types.Rank;
	readonly verdicts: Readonly<Record<types.Verdict, number>>;
	readonly refusals: Readonly<Partial<Record<types.RefusalReason, number>>>;
	/** Completed requests that were answered within their deadline. */
	readonly onTime: number;
	readonly readsByReplica: number;
	readonly readsByPrimary: number;
	readonly latency: HistogramSummary;
	readonly queueTime: HistogramSummary;
	/** Staleness of reads. */
	readonly staleness: HistogramSummary;
};

/** Counters of one customer's rate limit at this process. */
export type CustomerCounts = {
	/** `other` combines all customers beyond the limit. */
	readonly customer: string;
	/** Tokens that the leader granted to this process. */
	readonly granted: number;
	/** Operations that were counted here. */
	readonly used: number;
	readonly refused: number;
};

export type MetricsSnapshot = {
	/** Customers with a rate limit that have sent requests here. */
	readonly customers: readonly CustomerCounts[];
	readonly series: readonly SeriesSnapshot[];
	readonly counters: Readonly<Record<string, number>>;
	readonly gauges: Readonly<Record<string, number>>;
	/** Share of reads that a replica served, 0 to 1; null before the first read. */
	readonly replicaShare: number | null;
	/** Messages and bytes exchanged with peers since the start of the process. */
	readonly traffic: readonly traffic.TrafficSnapshot[];
};

/** Limits on the number of series, whatever names callers send. */
export type MetricsLimits = {
	/** Maximum number of members with series of their own. */
	readonly maxMembers: number;
	/** Maximum number of customers with counters of their own. */
	readonly maxCustomers: number;
	readonly maxGauges: number;
};
