/**
 * Request metrics of one member and rank.
 */
import type * as hdr from 'hdr-histogram-js';
// Imports only the builder: the whole library formats numbers while it loads, which takes 16 ms at
// each start.
import * as hdrBuilder from 'hdr-histogram-js/dist/HistogramBuilder.js';
import type * as proxy from '../proxy/types.js';
import type * as types from '../types.js';
import type * as metricsTypes from './types.js';

/** Histograms have a resolution of 10 µs, so that a latency of 0.3 ms is still measured precisely. */
const unitsPerMs = 100;
/** Values above 100 s are recorded as 100 s. */
const maxUnits = 100_000 * unitsPerMs;
/** Two significant digits (1%) keep a histogram below 9 KB. */
const significantDigits = 2;

/** Histogram of durations in ms; its memory is allocated when the first value is recorded. */
export class DurationHistogram {
	private histogram: hdr.Histogram | undefined;
	private sumMs = 0;

	get totalMs(): number {
		return this.sumMs;
	}

	get count(): number {
		return this.histogram?.totalCount ?? 0;
	}

	record(ms: number): void {
		if (!(ms >= 0)) {
			return;
		}

		this.histogram ??= hdrBuilder.build({
			lowestDiscernibleValue: 1,
			highestTrackableValue: maxUnits,
			numberOfSignificantValueDigits: significantDigits,
			bitBucketSize: 32,
			useWebAssembly: false,
		});
		this.histogram.recordValue(Math.min(maxUnits, Math.round(ms * unitsPerMs)));
		this.sumMs += Math.min(ms, maxUnits / unitsPerMs);
	}

	/** Returns the duration in ms at a quantile from 0 to 1. */
	computeQuantile(quantile: number): number {
		return (
			(this.histogram?.getValueAtPercentile(quantile * 100) ?? 0) / unitsPerMs
		);
	}

	getSummary(): metricsTypes.HistogramSummary {
		const {count} = this;
		return {
			count,
			meanMs: count === 0 ? 0 : this.sumMs / count,
			p50Ms: this.computeQuantile(0.5),
			p90Ms: this.computeQuantile(0.9),
			p99Ms: this.computeQuantile(0.99),
			p999Ms: this.computeQuantile(0.999),
			maxMs: (this.histogram?.maxValue ?? 0) / unitsPerMs,
		};
	}
}

export class RequestSeries {
	readonly latency = new DurationHistogram();
	readonly queueTime = new DurationHistogram();
	readonly staleness = new DurationHistogram();
	readonly verdicts: Record<types.Verdict, number> = {
		completed: 0,
		notRun: 0,
		unknown: 0,
	};

	readonly refusals: Partial<Record<types.RefusalReason, number>> = {};
	onTime = 0;
	readsByReplica = 0;
	readsByPrimary = 0;
	readonly member: string;
	readonly rank: types.Rank;

	constructor(member: string, rank: types.Rank) {
		this.member = member;
		this.rank = rank;
	}

	record(record: proxy.RequestRecord): void {
		this.verdicts[record.verdict]++;
		if (record.reason) {
			this.refusals[record.reason] = (this.refusals[record.reason] ?? 0) + 1;
		}

		this.queueTime.record(record.queueMs);
		if (record.verdict !== 'completed') {
			// Refusals are left out because their latency would mask that of answered requests.
			return;
		}

		this.latency.record(record.latencyMs);
		this.onTime += Number(record.onTime);
		if (record.kind === 'read') {
			this.readsByReplica += Number(record.servedBy === 'replica');
			this.readsByPrimary += Number(record.servedBy === 'primary');
			// An unknown staleness (`Infinity`) is recorded as the highest value.
			this.staleness.record(record.stalenessMs ?? Number.NaN);
		}
	}

	getSnapshot(): metricsTypes.SeriesSnapshot {
		return {
			member: this.member,
			rank: this.rank,
			verdicts: {...this.verdicts},
			refusals: {...this.refusals},
			onTime: this.onTime,
			readsByReplica: this.readsByReplica,
			readsByPrimary: this.readsByPrimary,
			latency: this.latency.getSummary(),
			queueTime: this.queueTime.getSummary(),
			staleness: this.staleness.getSummary(),
		};
	}
}
