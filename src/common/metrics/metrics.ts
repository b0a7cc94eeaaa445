/**
 * Collects the metrics of one process: requests per member and rank, counters, gauges, and the
 * traffic with peers. The number of series is bounded, whatever names callers send.
 */
import type * as proxy from '../proxy/types.js';
import * as format from './prometheus.js';
import * as series from './series.js';
import * as trafficCounters from './traffic.js';
import type * as metricsTypes from './types.js';

const defaultLimits: metricsTypes.MetricsLimits = {
	maxMembers: 200,
	maxCustomers: 200,
	maxGauges: 1000,
};

/** The member label under which all members beyond the limit are combined. */
const otherMember = 'other';

export class Metrics {
	readonly traffic = new trafficCounters.TrafficCounters();
	private readonly members = new Set<string>();
	private readonly seriesByKey = new Map<string, series.RequestSeries>();
	private readonly counters = new Map<proxy.CounterName, number>();
	private readonly customers = new Map<string, metricsTypes.CustomerCounts>();
	private readonly gauges = new Map<string, number>();
	private readonly limits: metricsTypes.MetricsLimits;

	constructor(limits: Partial<metricsTypes.MetricsLimits> = {}) {
		this.limits = {...defaultLimits, ...limits};
	}

	/** Records a finished or refused request. */
	recordRequest(record: proxy.RequestRecord): void {
		const member = this.chooseMemberLabel(record.member);
		const key = `${record.rank} ${member}`;
		let found = this.seriesByKey.get(key);
		if (!found) {
			found = new series.RequestSeries(member, record.rank);
			this.seriesByKey.set(key, found);
		}

		found.record(record);
	}

	/** Adds to a counter that is not bound to a member. */
	countEvent(name: proxy.CounterName, amount = 1): void {
		this.counters.set(name, (this.counters.get(name) ?? 0) + amount);
	}

	/** Adds to the counters of a customer's rate limit. */
	countCustomer({
		customer,
		granted,
		used,
		refused,
	}: metricsTypes.CustomerCounts): void {
		const label =
			this.customers.has(customer) ||
			this.customers.size < this.limits.maxCustomers
				? customer
				: otherMember;
		const known = this.customers.get(label);
		this.customers.set(label, {
			customer: label,
			granted: granted + (known?.granted ?? 0),
			used: used + (known?.used ?? 0),
			refused: refused + (known?.refused ?? 0),
		});
	}

	/**
	 * Sets a gauge.
	 *
	 * @returns False when the gauge is new and the limit is reached; the value is then discarded.
	 */
	setGauge(name: string, value: number): boolean {
		if (!this.gauges.has(name) && this.gauges.size >= this.limits.maxGauges) {
			return false;
		}

		this.gauges.set(name, value);
		return true;
	}

	/** Removes a gauge whose subject no longer exists. */
	removeGauge(name: string): void {
		this.gauges.delete(name);
	}

	getSnapshot(): metricsTypes.MetricsSnapshot {
		let byReplica = 0;
		let byPrimary = 0;
		for (const {readsByReplica, readsByPrimary} of this.seriesByKey.values()) {
			byReplica += readsByReplica;
			byPrimary += readsByPrimary;
		}

		const reads = byReplica + byPrimary;
		return {
			customers: [...this.customers.values()],
			series: [...this.seriesByKey.values()].map((item) => item.getSnapshot()),
			counters: Object.fromEntries(this.counters),
			gauges: Object.fromEntries(this.gauges),
			replicaShare: reads === 0 ? null : byReplica / reads,
			traffic: this.traffic.getSnapshot(),
		};
	}

	/** Formats all metrics in the text format of Prometheus, version 0.0.4. */
	formatText(): string {
		return format.formatMetrics(
			[...this.seriesByKey.values()],
			[...this.customers.values()],
			this.counters,
			this.gauges,
			this.traffic.getSnapshot(),
		);
	}

	private chooseMemberLabel(member: string): string {
		if (this.members.has(member)) {
			return member;
		}

		if (this.members.size >= this.limits.maxMembers) {
			return otherMember;
		}

		this.members.add(member);
		return member;
	}
}
