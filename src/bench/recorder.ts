/**
 * Collects the outcomes of a run: counts by rank and member, latencies and a timeline for plots.
 */
import * as hdr from 'hdr-histogram-js';
import type * as types from '../common/types.js';
import type {BenchOutcome, BenchRequest} from './types.js';

/** Upper limit of the histograms; longer latencies are recorded as this value. */
const maxLatencyMicros = 60_000_000;

/** Time that one point of the timeline covers. */
export const timelineIntervalMs = 250;

/** Request counts of a rank, or of a member in one rank. */
export type Tally = {
	offered: number;
	completed: number;
	onTime: number;
	refused: number;
	lost: number;
};

/** Counts of one interval of the timeline, by rank. */
export type TimelinePoint = Record<types.Rank, Tally>;

/** Outcomes of the requests sent in the measured window; the timeline covers the whole run. */
export class Recorder {
	readonly ranks: Record<types.Rank, Tally> = buildTallies();
	/** Keyed by member and rank, separated by a space. */
	readonly members = new Map<string, Tally>();
	readonly latencies: Record<types.Rank, hdr.Histogram> = {
		urgent: buildHistogram(),
		normal: buildHistogram(),
		background: buildHistogram(),
	};

	readonly timeline: TimelinePoint[] = [];
	/** Keyed by rank and SQLSTATE, separated by a space. */
	readonly refusalCounts = new Map<string, number>();
	replicaReads = 0;
	primaryReads = 0;
	/** Reads whose data were older than tolerated. */
	staleReads = 0;
	/** Reads that missed a write of their own session. */
	readYourWritesViolations = 0;
	maxStalenessMs = 0;
	readonly #fromMs: number;
	readonly #untilMs: number;
	readonly #readNow: () => number;

	constructor(fromMs: number, untilMs: number, readNow: () => number) {
		this.#fromMs = fromMs;
		this.#untilMs = untilMs;
		this.#readNow = readNow;
	}

	recordRequest(request: BenchRequest): void {
		this.#updateTallies(request, (tally) => {
			tally.offered++;
		});
	}

	recordOutcome(request: BenchRequest, outcome: BenchOutcome): void {
		const latencyMs = this.#readNow() - request.issuedAt;
		const isOnTime =
			outcome.type === 'completed' && this.#readNow() <= request.deadlineAt;
		this.#updateTallies(request, (tally) => {
			tally.completed += outcome.type === 'completed' ? 1 : 0;
			tally.refused += outcome.type === 'refused' ? 1 : 0;
			tally.lost += outcome.type === 'lost' ? 1 : 0;
			tally.onTime += isOnTime ? 1 : 0;
		});
		if (!this.#isMeasured(request)) {
			return;
		}

		if (outcome.type === 'completed') {
			this.latencies[request.rank].recordValue(
				Math.min(maxLatencyMicros, Math.round(latencyMs * 1000)),
			);
			this.#recordRead(request, outcome);
		} else if (outcome.type === 'refused') {
			const key = `${request.rank} ${outcome.sqlState}`;
			this.refusalCounts.set(key, (this.refusalCounts.get(key) ?? 0) + 1);
		}
	}

	#recordRead(
		request: BenchRequest,
		outcome: Extract<BenchOutcome, {type: 'completed'}>,
	): void {
		if (request.kind !== 'read') {
			return;
		}

		if (outcome.servedBy === 'replica') {
			this.replicaReads++;
		} else {
			this.primaryReads++;
		}

		this.maxStalenessMs = Math.max(this.maxStalenessMs, outcome.stalenessMs);
		this.staleReads += outcome.stalenessMs > request.stalenessMs ? 1 : 0;
		this.readYourWritesViolations += outcome.offset < request.floor ? 1 : 0;
	}

	#isMeasured(request: BenchRequest): boolean {
		return request.issuedAt >= this.#fromMs && request.issuedAt < this.#untilMs;
	}

	#updateTallies(request: BenchRequest, update: (tally: Tally) => void): void {
		const index = Math.floor(request.issuedAt / timelineIntervalMs);
		while (this.timeline.length <= index) {
			this.timeline.push(buildTallies());
		}

		update(this.timeline[index][request.rank]);
		if (!this.#isMeasured(request)) {
			return;
		}

		update(this.ranks[request.rank]);
		const key = `${request.session.member} ${request.rank}`;
		let tally = this.members.get(key);
		if (!tally) {
			tally = buildTally();
			this.members.set(key, tally);
		}

		update(tally);
	}
}

/** Returns the share of the offered requests that were completed by their deadline. */
export function computeOnTimeShare(tally: Tally): number {
	return tally.offered === 0 ? 1 : tally.onTime / tally.offered;
}

function buildTally(): Tally {
	return {offered: 0, completed: 0, onTime: 0, refused: 0, lost: 0};
}

function buildTallies(): Record<types.Rank, Tally> {
	return {
		urgent: buildTally(),
		normal: buildTally(),
		background: buildTally(),
	};
}

function buildHistogram(): hdr.Histogram {
	return hdr.build({
		lowestDiscernibleValue: 1,
		highestTrackableValue: maxLatencyMicros,
		numberOfSignificantValueDigits: 3,
		useWebAssembly: false,
	});
}
