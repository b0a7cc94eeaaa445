/**
 * The text format of Prometheus (exposition format 0.0.4).
 */
import type * as series from './series.js';
import type * as traffic from './traffic.js';
import type * as metricsTypes from './types.js';

const metricPrefix = 'hemlockarch';
const quantiles = [0.5, 0.9, 0.99, 0.999] as const;

type Labels = Readonly<Record<string, string>>;

type Sample = {
	readonly suffix?: string;
	readonly labels: Labels;
	readonly value: number;
};

/** Formats request series, counters, gauges and the traffic with peers. */
export function formatMetrics(
	requestSeries: readonly series.RequestSeries[],
	customers: readonly metricsTypes.CustomerCounts[],
	counters: ReadonlyMap<string, number>,
	gauges: ReadonlyMap<string, number>,
	peerTraffic: readonly traffic.TrafficSnapshot[],
): string {
	const families = [
		formatFamily(
			'requests_total',
			'counter',
			'Requests by verdict.',
			requestSeries.flatMap((item) =>
				Object.entries(item.verdicts).map(([verdict, value]) => ({
					labels: {...getLabels(item), verdict},
					value,
				})),
			),
		),
		formatFamily(
			'refusals_total',
			'counter',
			'Refused requests by reason.',
			requestSeries.flatMap((item) =>
				Object.entries(item.refusals).map(([reason, value]) => ({
					labels: {...getLabels(item), reason},
					value,
				})),
			),
		),
		formatFamily(
			'on_time_total',
			'counter',
			'Completed requests within their deadline.',
			requestSeries.map((item) => ({
				labels: getLabels(item),
				value: item.onTime,
			})),
		),
		formatFamily(
			'reads_total',
			'counter',
			'Completed reads by the role of the server.',
			requestSeries.flatMap((item) => [
				{
					labels: {...getLabels(item), served_by: 'replica'},
					value: item.readsByReplica,
				},
				{
					labels: {...getLabels(item), served_by: 'primary'},
					value: item.readsByPrimary,
				},
			]),
		),
		formatDurationSummary(
			'latency_seconds',
			'Latency of completed requests.',
			requestSeries,
			(item) => item.latency,
		),
		formatDurationSummary(
			'queue_seconds',
			'Time in the queue of a server.',
			requestSeries,
			(item) => item.queueTime,
		),
		formatDurationSummary(
			'staleness_seconds',
			'Upper bound of the staleness of completed reads.',
			requestSeries,
			(item) => item.staleness,
		),
		formatFamily(
			'rate_limit_operations_total',
			'counter',
			'Tokens granted, operations counted and requests refused by customer.',
			customers.flatMap(({customer, ...counts}) =>
				Object.entries(counts).map(([kind, value]) => ({
					labels: {customer, kind},
					value,
				})),
			),
		),
		...[...counters].map(([name, value]) =>
			formatFamily(`${formatMetricName(name)}_total`, 'counter', 'Events.', [
				{labels: {}, value},
			]),
		),
		...[...gauges].map(([name, value]) =>
			formatFamily(formatMetricName(name), 'gauge', 'Current value.', [
				{labels: {}, value},
			]),
		),
		formatFamily(
			'peer_messages_total',
			'counter',
			'Messages exchanged with peers.',
			peerTraffic.map((item) => ({
				labels: getTrafficLabels(item),
				value: item.messages,
			})),
		),
		formatFamily(
			'peer_bytes_total',
			'counter',
			'Bytes of the messages exchanged with peers.',
			peerTraffic.map((item) => ({
				labels: getTrafficLabels(item),
				value: item.bytes,
			})),
		),
	];
	return families.join('');
}

function getLabels(item: series.RequestSeries): Labels {
	return {member: item.member, rank: item.rank};
}

function getTrafficLabels({
	direction,
	distance,
	type,
}: traffic.TrafficSnapshot): Labels {
	return {direction, distance, type};
}

function formatDurationSummary(
	name: string,
	help: string,
	requestSeries: readonly series.RequestSeries[],
	selectHistogram: (item: series.RequestSeries) => series.DurationHistogram,
): string {
	const samples = requestSeries.flatMap((item): Sample[] => {
		const histogram = selectHistogram(item);
		const labels = getLabels(item);
		return [
			...quantiles.map((quantile) => ({
				labels: {...labels, quantile: String(quantile)},
				value: histogram.computeQuantile(quantile) / 1000,
			})),
			{suffix: '_sum', labels, value: histogram.totalMs / 1000},
			{suffix: '_count', labels, value: histogram.count},
		];
	});
	return formatFamily(name, 'summary', help, samples);
}

function formatFamily(
	name: string,
	type: 'counter' | 'gauge' | 'summary',
	help: string,
	samples: readonly Sample[],
): string {
	if (samples.length === 0) {
		return '';
	}

	const fullName = `${metricPrefix}_${name}`;
	const lines = samples.map(({suffix, labels, value}) => {
		const pairs = Object.entries(labels).map(
			([label, text]) => `${label}="${escapeLabelValue(text)}"`,
		);
		const labelSet = pairs.length === 0 ? '' : `{${pairs.join(',')}}`;
		return `${fullName}${suffix ?? ''}${labelSet} ${value}\n`;
	});
	return `# HELP ${fullName} ${help}\n# TYPE ${fullName} ${type}\n${lines.join('')}`;
}

/** Converts a name to snake case, with `_` for characters that a metric name must not contain. */
function formatMetricName(name: string): string {
	return name
		.replaceAll(/[A-Z]/gv, (letter) => `_${letter.toLowerCase()}`)
		.replaceAll(/[^a-z0-9_]/gv, '_');
}

/** Escapes a label value; member names come from callers. */
function escapeLabelValue(text: string): string {
	return text
		.replaceAll('\\', '\\\\')
		.replaceAll('"', String.raw`\"`)
		.replaceAll('\n', String.raw`\n`);
}
