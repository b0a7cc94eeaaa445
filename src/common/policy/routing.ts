/**
 * Chooses the server of a request: the primary for writes, otherwise the eligible server with the
 * least expected wait and round trip, with preference for the caller's data centre. A read waits a
 * short time for a replica that will be fresh soon instead of loading the primary.
 */
import type * as ids from '../ids.js';
import * as position from '../position.js';
import type * as types from '../types.js';
import type {
	RoutingCandidate,
	RoutingDecision,
	RoutingPolicy,
	RoutingRequest,
} from './types.js';
import {FloorHistory} from './floor-history.js';
import {OutlierDetector} from './outliers.js';
import {computeWaitLimit} from './wait-limit.js';

/** Advantage of a server in the caller's data centre; smaller wait differences are report noise. */
const localAdvantageMs = 5;

/**
 * Additional cost of a read on the primary: only its slots can run writes, so a replica is
 * preferred while its cost exceeds that of the primary by less than this.
 */
const primaryReadPriceMs = 50;

/** Longest delay before a waiting read chooses again; reports arrive every 100 ms. */
const maxRecheckIntervalMs = 20;
const minRecheckIntervalMs = 2;

/** Share of the remaining time that a read may spend on waiting for a replica. */
const maxWaitShare = 0.3;

/**
 * A read waits up to this long for a replica instead of using the primary, or longer when the
 * primary costs more. At a replication lag of 200 ms, entries learn that a replica holds a write
 * after 250 to 400 ms; with a limit below about 260 ms, most reads shortly after a write go to the
 * primary.
 */
const maxFreshnessWaitMs = 275;

/**
 * Share of the remaining time that a read may wait at the servers that are left before one that is ejected
 * is used. Load pattern: several servers of a database fail a part of their requests, all of them are
 * ejected, and the last one is overrun.
 */
const maxWaitBesideEjected = 0.5;

/** Without a report for this long after one was expected, the wait is unknown. */
const maxReportOverdueMs = 1000;

/** Parameters of the routing policy, in ms. */
export type RoutingOptions = {
	readonly primaryReadPriceMs?: number;
	readonly maxFreshnessWaitMs?: number;
	readonly localAdvantageMs?: number;
};

type RatedCandidate = {
	readonly candidate: RoutingCandidate;
	readonly costMs: number;
	readonly waitMs: number;
};

type BestCandidate = RatedCandidate & {readonly maxWaitMs: number | undefined};

/** Routing policy of one entry. */
export class LeastWaitRoutingPolicy implements RoutingPolicy {
	readonly #outliers = new OutlierDetector();
	readonly #floors = new FloorHistory();
	readonly #options: Required<RoutingOptions>;

	constructor(options: RoutingOptions = {}) {
		this.#options = {
			primaryReadPriceMs,
			maxFreshnessWaitMs,
			localAdvantageMs,
			...options,
		};
	}

	chooseServer(
		request: RoutingRequest,
		candidates: readonly RoutingCandidate[],
		now: number,
		random: number,
	): RoutingDecision {
		if (request.remainingMs <= 0) {
			return {type: 'refused', reason: 'deadline'};
		}

		return request.needsPrimary
			? this.#choosePrimary(request, candidates)
			: this.#chooseReader(request, candidates, now, random);
	}

	observeFloor(group: ids.GroupId, floor: types.Position, now: number): void {
		this.#floors.observe(group, floor, now);
	}

	recordOutcome(
		server: ids.UpstreamId,
		outcome: 'success' | 'failure',
		_latencyMs: number,
		now: number,
	): void {
		this.#outliers.recordOutcome(server, outcome, now);
	}

	/** A departing primary is used as well: control ends its writes when a server can take over. */
	#choosePrimary(
		request: RoutingRequest,
		candidates: readonly RoutingCandidate[],
	): RoutingDecision {
		const primary = candidates.find(
			(candidate) =>
				candidate.writable && !request.excluded.has(candidate.server),
		);
		return primary
			? {type: 'server', server: primary.server}
			: {type: 'refused', reason: 'noPrimary'};
	}

	#chooseReader(
		request: RoutingRequest,
		candidates: readonly RoutingCandidate[],
		now: number,
		random: number,
	): RoutingDecision {
		const floorAgeMs = this.#floors.observe(request.group, request.floor, now);
		const usable = candidates.filter(
			(candidate) =>
				!candidate.departing && !request.excluded.has(candidate.server),
		);
		if (usable.length === 0) {
			return {type: 'refused', reason: 'noServer'};
		}

		const fresh = usable.filter(
			(candidate) =>
				isFresh(request, candidate) ||
				isFloorExpected(request, candidate, floorAgeMs),
		);
		const best = this.#findBest(request, fresh, now, random);
		if (best?.candidate.role === 'replica') {
			return decideServer(best);
		}

		const delayMs = this.#estimateFreshnessDelay(
			request,
			usable,
			floorAgeMs,
			now,
		);
		const limitMs = Math.min(
			Math.max(this.#options.maxFreshnessWaitMs, best?.costMs ?? Infinity),
			request.remainingMs * maxWaitShare,
		);
		if (delayMs <= limitMs) {
			return {
				type: 'wait',
				delayMs: Math.min(
					maxRecheckIntervalMs,
					Math.max(minRecheckIntervalMs, delayMs),
				),
			};
		}

		return best ? decideServer(best) : {type: 'refused', reason: 'tooStale'};
	}

	/** Finds the candidate of lowest cost; ejected ones count only when no other can serve in time. */
	#findBest(
		request: RoutingRequest,
		candidates: readonly RoutingCandidate[],
		now: number,
		random: number,
	): BestCandidate | undefined {
		const selectable = candidates.filter(
			(candidate) =>
				random < this.#outliers.computeTrafficShare(candidate.server, now),
		);
		const isOverrun = selectable.every(
			({expectedWaitMs}) =>
				expectedWaitMs > request.remainingMs * maxWaitBesideEjected,
		);
		const pool = isOverrun ? candidates : selectable;
		const startIndex = Math.floor(random * pool.length);
		const rated: RatedCandidate[] = [];
		let best: RatedCandidate | undefined;
		for (let index = 0; index < pool.length; index++) {
			const candidate = pool[(startIndex + index) % pool.length];
			const costMs = this.#computeCost(request, candidate);
			const entry = {candidate, costMs, waitMs: candidate.expectedWaitMs};
			rated.push(entry);
			if (!best || costMs < best.costMs) {
				best = entry;
			}
		}

		return (
			best && {
				...best,
				maxWaitMs: computeWaitLimit(
					best,
					rated.filter((entry) => entry !== best),
				),
			}
		);
	}

	#computeCost(request: RoutingRequest, candidate: RoutingCandidate): number {
		const isLocal = candidate.dataCentre === request.dataCentre;
		return (
			candidate.expectedWaitMs +
			(candidate.serviceMs ?? 0) +
			candidate.roundTripMs +
			(isLocal ? 0 : this.#options.localAdvantageMs) +
			(candidate.role === 'primary' ? this.#options.primaryReadPriceMs : 0) +
			(candidate.reportOverdueMs > maxReportOverdueMs
				? candidate.reportOverdueMs
				: 0)
		);
	}

	/**
	 * Time until a replica is expected to reach the session floor. A replica with a staleness of at
	 * most S has applied every write that is older than S; a write that it lacks now arrives within S
	 * minus the age of the floor.
	 */
	#estimateFreshnessDelay(
		request: RoutingRequest,
		usable: readonly RoutingCandidate[],
		floorAgeMs: number,
		now: number,
	): number {
		let delayMs = Infinity;
		for (const candidate of usable) {
			if (
				candidate.role === 'replica' &&
				candidate.applied.term >= request.floor.term &&
				candidate.stalenessMs <= request.stalenessMs &&
				this.#outliers.computeTrafficShare(candidate.server, now) > 0
			) {
				const catchUpMs = candidate.stalenessMs - floorAgeMs;
				if (catchUpMs > 0) {
					delayMs = Math.min(delayMs, catchUpMs);
				}
			}
		}

		return delayMs;
	}
}

function decideServer({candidate, maxWaitMs}: BestCandidate): RoutingDecision {
	return {
		type: 'server',
		server: candidate.server,
		...(maxWaitMs === undefined ? {} : {maxWaitMs}),
	};
}

/**
 * True when a replica has probably applied the floor since its last report: it has applied everything
 * that is older than its staleness, and the floor was younger at the time of the report. Its owner
 * refuses the request otherwise.
 */
function isFloorExpected(
	request: RoutingRequest,
	candidate: RoutingCandidate,
	floorAgeMs: number,
): boolean {
	return (
		candidate.role === 'replica' &&
		candidate.applied.term >= request.floor.term &&
		candidate.stalenessMs <= request.stalenessMs &&
		candidate.stalenessMs < floorAgeMs &&
		candidate.stalenessMs > floorAgeMs - candidate.reportAgeMs
	);
}

/**
 * The primary with a valid write lease has a staleness of 0 by definition. It holds every floor of its
 * term, also one that is newer than its last report.
 */
function isFresh(
	request: RoutingRequest,
	candidate: RoutingCandidate,
): boolean {
	if (candidate.writable && candidate.applied.term === request.floor.term) {
		return true;
	}

	const staleness = candidate.writable ? 0 : candidate.stalenessMs;
	return (
		(staleness <= request.stalenessMs || request.stalenessMs === Infinity) &&
		position.isFloorReached(request.floor, candidate.applied, request.termStart)
	);
}
