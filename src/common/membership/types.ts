/** Messages and states of failure detection and dissemination between peers. */
import type * as ids from '../ids.js';
import type * as types from '../types.js';

export type PeerRole = 'proxy' | 'control';

export type PeerCondition = 'alive' | 'suspect' | 'dead' | 'left';

/** State of a peer as the other peers know it. A higher `incarnation` overrides any condition. */
export type PeerState = {
	readonly peer: ids.PeerId;
	readonly role: PeerRole;
	/** `ip:port` of its peer listener. */
	readonly address: string;
	readonly dataCentre: ids.DataCentre;
	readonly incarnation: number;
	readonly condition: PeerCondition;
};

/** A state change that is piggybacked on probes. */
export type Delta =
	| {readonly type: 'peer'; readonly state: PeerState}
	| {
			readonly type: 'announcement';
			readonly announcement: types.VersionedAnnouncement;
	  }
	| {
			/** A newer template exists and can be fetched from the sender. */
			readonly type: 'templateVersion';
			readonly member: ids.MemberId;
			readonly version: number;
	  };

export type MembershipMessage =
	| {
			readonly type: 'ping';
			readonly sequence: number;
			readonly deltas: readonly Delta[];
	  }
	| {
			/** Asks the receiver to probe `target` on behalf of the sender. */
			readonly type: 'pingRequest';
			readonly sequence: number;
			readonly target: ids.PeerId;
			readonly deltas: readonly Delta[];
	  }
	| {
			readonly type: 'ack';
			readonly sequence: number;
			/** The peer that answered. */
			readonly target: ids.PeerId;
			readonly deltas: readonly Delta[];
	  }
	| {
			/**
			 * Deltas without a probe: a full exchange, such as after a start or a healed partition, an
			 * urgent delta, or a departure. `reply` asks the receiver for its deltas that are not in
			 * `known`.
			 */
			readonly type: 'sync';
			readonly reply: boolean;
			readonly deltas: readonly Delta[];
			/** Enters the digests of this exchange. */
			readonly salt?: number;
			/** Digests of all deltas that the sender has, 4 bytes each. */
			readonly known?: Uint8Array;
			/** Those digests in `known` whose deltas the sender of the answer lacks. */
			readonly wanted?: Uint8Array;
	  };
