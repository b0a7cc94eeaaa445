/**
 * The two current deployments of the design page: data centres, latencies and limits. Each group
 * has one server per data centre; the primaries are spread over the data centres.
 */
import type * as ids from '../common/ids.js';

/** One-way latency inside a data centre, in ms. */
const lanLatencyMs = 0.1;

/** A deployment; latencies are one-way, in ms. */
export type Deployment = {
	readonly name: 'kalahari' | 'birbhum';
	readonly dataCentres: readonly ids.DataCentre[];
	readonly groups: readonly ids.GroupId[];
	readonly members: readonly ids.MemberId[];
	/** Latency between data centres; each data centre is its own region. */
	readonly regionLatencyMs: number;
	/** Latency between a caller and its entry. */
	readonly callerLatencyMs: number;
	readonly slots: number;
	readonly connectionLimit: number;
	/** Time to open a connection to a server. */
	readonly connectMs: number;
	/** Data centre index of each entry VM. */
	readonly vms: readonly number[];
};

const shared = {
	slots: 3,
	connectMs: 12,
	vms: [0, 0, 0, 1, 1, 2, 2],
} as const;

export const deployments: readonly [Deployment, Deployment] = [
	{
		...shared,
		name: 'kalahari',
		dataCentres: ['khomas-a', 'erongo-a', 'otjo-a'] as ids.DataCentre[],
		groups: ['bloom-1', 'bloom-2', 'bloom-3'] as ids.GroupId[],
		members: ['aloe', 'baobab', 'camel', 'devil'] as ids.MemberId[],
		regionLatencyMs: 20,
		callerLatencyMs: 1,
		connectionLimit: 25,
	},
	{
		...shared,
		name: 'birbhum',
		dataCentres: ['bolpur', 'salt-lake', 'bank-more'] as ids.DataCentre[],
		groups: ['ochre-1', 'ochre-2', 'ochre-3'] as ids.GroupId[],
		members: ['pit', 'weighbridge', 'sales'] as ids.MemberId[],
		regionLatencyMs: 12,
		callerLatencyMs: 3,
		connectionLimit: 40,
	},
];

/** Returns the one-way latency in ms between two data centres, given by index. */
export function getLatency(
	deployment: Deployment,
	from: number,
	to: number,
): number {
	return from === to ? lanLatencyMs : deployment.regionLatencyMs;
}
