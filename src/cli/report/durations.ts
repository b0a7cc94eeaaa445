/**
 * Distribution of durations in a report.
 */
import * as series from '../../common/metrics/series.js';
import type * as types from './types.js';

export class Durations {
	private readonly histogram = new series.DurationHistogram();
	private maxMs = 0;

	record(ms: number): void {
		this.histogram.record(ms);
		this.maxMs = Math.max(this.maxMs, ms);
	}

	getSummary(): types.DurationSummary {
		return {
			count: this.histogram.count,
			totalMs: Math.round(this.histogram.totalMs),
			p50Ms: this.computeQuantile(0.5),
			p99Ms: this.computeQuantile(0.99),
			maxMs: this.maxMs,
		};
	}

	/** The histogram rounds up, so the exact maximum bounds its quantiles. */
	private computeQuantile(quantile: number): number {
		return Math.min(
			this.maxMs,
			Math.round(this.histogram.computeQuantile(quantile)),
		);
	}
}
