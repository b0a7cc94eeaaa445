/**
 * Counts the messages and bytes that a process exchanges with its peers, by direction, distance and
 * message type. All three are closed sets, so the number of series is bounded.
 */

export type TrafficDirection = 'sent' | 'received';

/** How far away a peer is. */
export type Distance =
	| 'dataCentre'
	/** Another data centre of the same region. */
	| 'region'
	| 'otherRegion'
	/** Another data centre, and the region of one side is not known. */
	| 'otherDataCentre'
	/** The peer has not said where it is, as before its first message. */
	| 'unknown';

/** Where a process runs, as far as it is known. */
export type Location = {
	readonly dataCentre?: string;
	readonly region?: string;
};

export type TrafficSnapshot = {
	readonly direction: TrafficDirection;
	readonly distance: Distance;
	/** Type of the messages. */
	readonly type: string;
	readonly messages: number;
	readonly bytes: number;
};

type Counts = {messages: number; bytes: number};
type CountsByType = Map<string, Counts>;

/** Tells how far apart two processes are. */
export function classifyDistance(own: Location, peer: Location): Distance {
	if (!own.dataCentre || !peer.dataCentre) {
		return 'unknown';
	}

	if (own.dataCentre === peer.dataCentre) {
		return 'dataCentre';
	}

	if (!own.region || !peer.region) {
		return 'otherDataCentre';
	}

	return own.region === peer.region ? 'region' : 'otherRegion';
}

export class TrafficCounters {
	private readonly counts: Readonly<
		Record<TrafficDirection, Map<Distance, CountsByType>>
	> = {sent: new Map(), received: new Map()};

	record(
		direction: TrafficDirection,
		distance: Distance,
		type: string,
		bytes: number,
	): void {
		let byType = this.counts[direction].get(distance);
		if (!byType) {
			byType = new Map();
			this.counts[direction].set(distance, byType);
		}

		const counts = byType.get(type);
		if (counts) {
			counts.messages++;
			counts.bytes += bytes;
		} else {
			byType.set(type, {messages: 1, bytes});
		}
	}

	getSnapshot(): TrafficSnapshot[] {
		return (['sent', 'received'] as const).flatMap((direction) =>
			[...this.counts[direction]].flatMap(([distance, byType]) =>
				[...byType].map(([type, counts]) => ({
					direction,
					distance,
					type,
					...counts,
				})),
			),
		);
	}
}
