/**
 * Types of the report on refused and unanswered requests. Times are wall clock times and durations in
 * ms.
 */

/** Where a request was when it ended, as far as its log line tells. */
export type WaitPlace =
	/** At its entry, which refused it for the cause that the line gives. */
	| 'entry'
	/** At its entry until its deadline, for a reason that the line does not give. */
	| 'unnamed'
	/** At its entry, because no primary accepted writes. */
	| 'noPrimary'
	/** At its entry, because no server with a reachable owner was known. */
	| 'noServer'
	/** At its entry, because no server was fresh enough or the position to compare with was not known. */
	| 'staleness'
	/** At its entry, for a token of a rate limit. */
	| 'rateLimit'
	/** In the queue of an owner, or refused by an owner. */
	| 'owner'
	/** At an owner, because sessions held the connections of the server. */
	| 'connection'
	/** At an owner or server, which had not answered. */
	| 'running'
	/** In its session, which had not passed it on. */
	| 'session';

export type RequestOutcome = 'refused' | 'unknown' | 'unanswered';

/** The end of one request, or of several that a session left without an answer. */
export type RequestEnd = {
	readonly at: number;
	readonly id: string | undefined;
	readonly member: string | undefined;
	readonly kind: string | undefined;
	readonly outcome: RequestOutcome;
	/** Number of requests; above 1 only without an answer. */
	readonly count: number;
	readonly place: WaitPlace;
	/** The code that the caller received. */
	readonly code: string | undefined;
	/** Cause in words, with numbers replaced so that equal causes compare equal. */
	readonly cause: string;
	/** Reason of the last server or routing decision that did not run the request. */
	readonly lastReason: string | undefined;
	/** Number of times that it was sent to an owner; undefined when the line does not say. */
	readonly attempts: number | undefined;
	/** Time from its arrival to its end; undefined when the line does not say. */
	readonly ageMs: number | undefined;
	/** Set when its deadline had passed or was expected to pass in a queue. */
	readonly isDeadline: boolean;
	/** The time to return that the caller was told. */
	readonly retryAfterMs: number | undefined;
};

export type OutcomeCounts = Record<RequestOutcome, number>;

export type DurationSummary = {
	readonly count: number;
	readonly totalMs: number;
	readonly p50Ms: number;
	readonly p99Ms: number;
	readonly maxMs: number;
};

/** Requests with equal properties. */
export type ReportRow = {
	readonly requests: OutcomeCounts;
	/** Age at their end of those that did not end at once. */
	readonly waits: DurationSummary;
};

export type KindRow = ReportRow & {
	readonly member: string | undefined;
	readonly kind: string | undefined;
};

export type PlaceRow = ReportRow & {readonly place: WaitPlace};

/** Requests that ended because of their deadline. */
export type DeadlineRow = ReportRow & {
	readonly place: WaitPlace;
	readonly lastReason: string | undefined;
	readonly wasSent: boolean;
};

export type CauseRow = ReportRow & {
	readonly code: string | undefined;
	readonly cause: string;
	readonly place: WaitPlace;
	/** Times to return that callers were told. */
	readonly retryAfter: DurationSummary;
};

/** Requests that were refused again under the same id. */
export type ReturnSummary = {
	/** Time from a refusal to the next one. */
	readonly intervals: DurationSummary;
	/** Refusals that came before the time to return that the caller was told. */
	readonly early: number;
};

/** Log lines about a customer that has reached its rate limit. */
export type CustomerRow = {
	readonly customer: string;
	readonly lines: number;
	readonly maxWaiting: number;
	readonly maxRetryAfterMs: number;
};

/** Lines of a process about its state, without the request lines. */
export type SignalRow = {readonly text: string; readonly count: number};

export type WindowRow = {
	readonly startAt: number;
	readonly requests: OutcomeCounts;
	/** Request lines that the limit on log lines dropped; reported up to some seconds later. */
	readonly droppedLines: number;
	readonly waited: number;
	readonly maxWaitMs: number;
	/** Requests by place, most first. */
	readonly places: ReadonlyArray<{place: WaitPlace; requests: number}>;
	/** Most frequent first. */
	readonly signals: readonly SignalRow[];
};

export type RequestReport = {
	/** Log lines in the time range. */
	readonly lines: number;
	/** Time stamps of the first and the last one; undefined without any. */
	readonly firstAt: number | undefined;
	readonly lastAt: number | undefined;
	readonly sources: readonly string[];
	readonly droppedLines: number;
	readonly requests: OutcomeCounts;
	readonly kinds: readonly KindRow[];
	readonly places: readonly PlaceRow[];
	readonly deadlines: readonly DeadlineRow[];
	readonly causes: readonly CauseRow[];
	readonly returns: ReturnSummary;
	readonly customers: readonly CustomerRow[];
	readonly windowMs: number;
	/** The windows with the most requests and dropped lines, worst first. */
	readonly worstWindows: readonly WindowRow[];
};
