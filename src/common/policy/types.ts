/**
 * Interfaces of the policies that apply under load: admission to a server's slots, choice of a
 * server, and retries. All durations are in ms; `now` is monotonic.
 */
import type * as ids from '../ids.js';
import type * as types from '../types.js';

/** A request that waits for a slot of one server. */
export type QueuedRequest<Item> = {
	readonly member: ids.MemberId;
	/** The customer whose share of the slots the request uses; undefined on an open route. */
	readonly customer?: ids.CustomerId;
	readonly rank: types.Rank;
	readonly enqueuedAt: number;
	/** Monotonic time after which an answer is no longer useful. */
	readonly deadlineAt: number;
	readonly item: Item;
};

export type AdmissionResult =
	| {readonly type: 'queued'}
	| {readonly type: 'refused'; readonly reason: 'queueFull' | 'deadline'};

/** Schedules the requests of one server. */
export type AdmissionScheduler<Item> = {
	/** Number of queued requests. */
	readonly size: number;
	/** Queues a request, or refuses it when it cannot finish in time or its queue is full. */
	offer(request: QueuedRequest<Item>, now: number): AdmissionResult;
	/** Removes and returns the request to run in the next free slot; undefined if none is queued. */
	take(now: number): QueuedRequest<Item> | undefined;
	/** Reports the end of a taken request. `serviceMs` is the time that it held its slot. */
	complete(request: QueuedRequest<Item>, serviceMs: number, now: number): void;
	/**
	 * Removes requests whose deadline can no longer be met. Returns them and those that `offer` and
	 * `take` removed for the same reason since the last call.
	 */
	expire(now: number): Array<QueuedRequest<Item>>;
	/** Removes a queued request after a cancel or the end of its session; false if not queued. */
	remove(item: Item): boolean;
	/** Estimated time that a new request of the rank would wait. */
	estimateWait(rank: types.Rank, now: number): number;
};

export type AdmissionOptions = {
	/** Statements that the server executes concurrently. */
	readonly slots: number;
	/** Current parameters of a member; undefined for a member without template. */
	readonly getParameters: (
		member: ids.MemberId,
	) => types.TemplateParameters | undefined;
	/** Weight of a customer's share beside that of the member; 1 by default. */
	readonly getCustomerWeight?: (customer: ids.CustomerId) => number;
	/**
	 * Share of the remaining time, 0 to 1, that queueing and service may take; 0.6 by default. The
	 * rest covers the transit of the answer, the acknowledgement of commits and the error of the
	 * estimate.
	 */
	readonly usableDeadlineShare?: number;
};

/** A server that could serve a request. */
export type RoutingCandidate = {
	readonly server: ids.UpstreamId;
	readonly role: types.UpstreamRole;
	readonly dataCentre: ids.DataCentre;
	readonly owner: ids.PeerId;
	readonly applied: types.Position;
	/** Upper bound of the current staleness of its data; `Infinity` while no bound is known. */
	readonly stalenessMs: number;
	/** Estimated queueing time for the rank of the request. */
	readonly expectedWaitMs: number;
	/** Estimated time that a read takes there once it runs; 0 when unknown. */
	readonly serviceMs?: number;
	/** Measured network round trip from the entry to the owner. */
	readonly roundTripMs: number;
	readonly departing: boolean;
	readonly writable: boolean;
	/** Age of the newest report, in ms. */
	readonly reportAgeMs: number;
	/** Time since the next report was expected, in ms; 0 before that. */
	readonly reportOverdueMs: number;
};

export type RoutingRequest = {
	readonly group: ids.GroupId;
	readonly needsPrimary: boolean;
	readonly rank: types.Rank;
	readonly floor: types.Position;
	readonly termStart: number;
	readonly stalenessMs: number;
	readonly dataCentre: ids.DataCentre;
	readonly remainingMs: number;
	/** Servers that already refused this request. */
	readonly excluded: ReadonlySet<ids.UpstreamId>;
};

export type RoutingDecision =
	| {
			readonly type: 'server';
			readonly server: ids.UpstreamId;
			/** Expected wait from which another server costs less; undefined when there is none. */
			readonly maxWaitMs?: number;
	  }
	| {
			/** A replica will be fresh enough soon; choose again after `delayMs`. */
			readonly type: 'wait';
			readonly delayMs: number;
	  }
	| {
			readonly type: 'refused';
			readonly reason: 'tooStale' | 'noPrimary' | 'noServer' | 'deadline';
	  };

/** Chooses a server. `random` is uniform in [0, 1). */
export type RoutingPolicy = {
	chooseServer(
		request: RoutingRequest,
		candidates: readonly RoutingCandidate[],
		now: number,
		random: number,
	): RoutingDecision;
	/** Notes that a write at this position has just been acknowledged to a caller. */
	observeFloor(group: ids.GroupId, floor: types.Position, now: number): void;
	/** Reports an outcome to outlier detection. A refusal by admission is not a failure. */
	recordOutcome(
		server: ids.UpstreamId,
		outcome: 'success' | 'failure',
		latencyMs: number,
		now: number,
	): void;
};

/** Limits retries and hedged requests to a share of the successes. */
export type RetryBudget = {
	recordSuccess(now: number): void;
	/** Takes one retry from the budget; false when it is used up. */
	trySpend(now: number): boolean;
	/** Delay before the next retry, with jitter. `random` is uniform in [0, 1). */
	computeDelay(retry: number, random: number): number;
};
