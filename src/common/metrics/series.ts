/**
 * The measured requests of one member and rank.
 */
import type * as hdr from 'hdr-histogram-js';
// The builder alone: the whole library formats numbers when it is loaded, 16 ms of each start.
import * as hdrBuilder from 'hdr-histogram-js/dist/HistogramBuilder.js';
import type * as proxy from '../proxy/types.js';
import type * as types from '../types.js';
import type * as metricsTypes from './types.js';

/** Histograms count in steps of 10 µs, so that a latency of 0.3 ms is still measured well. */
const unitsPerMs = 100;
/** Values above 100 s count as 100 s. */
const maxUnits = 100_000 * unitsPerMs;
/** Two digits (1%) keep a histogram below 9 KB. */
const significantDigits = 2;

/** Durations in ms with quantiles; the memory is taken at the first value. */
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

	/** Value in ms below which the share `quantile` (0 to 1) of the durations lies. */
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
			// The latency of refusals would hide that of answers.
			return;
		}

		this.latency.record(record.latencyMs);
		this.onTime += Number(record.onTime);
		if (record.kind === 'read') {
			this.readsByReplica += Number(record.servedBy === 'replica');
			this.readsByPrimary += Number(record.servedBy === 'primary');
			// Staleness without evidence (`Infinity`) counts as the highest value.
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
