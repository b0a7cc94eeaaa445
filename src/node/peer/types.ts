/**
 * Types of the peer links. The interfaces that the daemons use are in `../types.ts`.
 */
import type * as ids from '../../common/ids.js';
import type * as messages from '../../common/messages.js';
import type * as traffic from '../../common/metrics/traffic.js';
import type * as node from '../types.js';

/** First message of each side on a connection; it identifies the sender. */
export type Hello = Extract<messages.LinkMessage, {type: 'hello'}>;

export type PeerLinksOptions = {
	readonly hello: Hello;
	readonly listener: node.PeerLinkListener & {
		/** The send buffer of a congested link has emptied, or the link was lost. */
		handleDrain?(peer: ids.PeerId): void;
		/** A message that was accepted is dropped: no connection could be opened for it. */
		handleUnsentMessage?(peer: ids.PeerId, message: messages.PeerMessage): void;
	};
	readonly clock: node.Clock;
	readonly logger: node.Logger;
	/** Returns a random number in [0, 1), used for the jitter of reconnect delays. */
	readonly random: () => number;
	readonly limits?: Partial<LinkLimits>;
	/** Counts the messages and bytes of all links. */
	readonly traffic?: traffic.TrafficCounters;
};

/** Times in ms and sizes in bytes. */
export type LinkLimits = {
	readonly frameBytes: number;
	/** Largest frame before the `hello` of a connection that was accepted. */
	readonly helloBytes: number;
	/** Accepted connections, also of strangers. */
	readonly acceptedConnections: number;
	/** Unsent bytes of one link above which it is closed. */
	readonly sendBufferBytes: number;
	/** Unsent bytes of one link above which `isCongested` asks producers to pause. */
	readonly congestionBytes: number;
	/** Interval of the probes of a connection on which an answer is outstanding. */
	readonly pingIntervalMs: number;
	/** A peer that does not answer for this long is silent. */
	readonly idleTimeoutMs: number;
	/** Probes of all other connections together. */
	readonly idleProbesPerSecond: number;
	readonly connectTimeoutMs: number;
	readonly minBackoffMs: number;
	readonly maxBackoffMs: number;
};

const mebibyte = 1024 * 1024;

/**
 * The send buffer has room for the largest frame and some more. The link to a peer that does not
 * read is closed by the idle timeout after a second in any case.
 */
export const defaultLimits: LinkLimits = {
	frameBytes: 64 * mebibyte,
	helloBytes: 16 * 1024,
	acceptedConnections: 4096,
	sendBufferBytes: 96 * mebibyte,
	congestionBytes: 4 * mebibyte,
	pingIntervalMs: 300,
	idleTimeoutMs: 1000,
	idleProbesPerSecond: 4,
	connectTimeoutMs: 1000,
	minBackoffMs: 50,
	maxBackoffMs: 1000,
};
