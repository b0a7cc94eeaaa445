/**
 * Interfaces of the peer links beyond those that the daemons share.
 */
import type * as ids from '../../common/ids.js';
import type * as messages from '../../common/messages.js';
import type * as node from '../types.js';

/** What a peer says of itself on every connection. */
export type Hello = Extract<messages.LinkMessage, {type: 'hello'}>;

export type PeerLinksOptions = {
	readonly hello: Hello;
	readonly listener: node.PeerLinkListener & {
		/** The send buffer of a congested link has emptied. */
		handleDrain?(peer: ids.PeerId): void;
	};
	readonly clock: node.Clock;
	readonly logger: node.Logger;
	/** Random number in [0, 1) for the jitter of reconnects. */
	readonly random: () => number;
	readonly limits?: Partial<LinkLimits>;
};

/** Times in ms and sizes in bytes. */
export type LinkLimits = {
	readonly frameBytes: number;
	/** Bytes that may wait in one link before it is closed. */
	readonly sendBufferBytes: number;
	/** Bytes that may wait before `isCongested` asks producers to pause. */
	readonly congestionBytes: number;
	readonly pingIntervalMs: number;
	readonly idleTimeoutMs: number;
	readonly connectTimeoutMs: number;
	readonly minBackoffMs: number;
	readonly maxBackoffMs: number;
};

const mebibyte = 1024 * 1024;

/**
 * The send buffer holds the largest frame and some more; a peer that does not read is closed for
 * silence after a second in any case.
 */
export const defaultLimits: LinkLimits = {
	frameBytes: 64 * mebibyte,
	sendBufferBytes: 96 * mebibyte,
	congestionBytes: 4 * mebibyte,
	pingIntervalMs: 300,
	idleTimeoutMs: 1000,
	connectTimeoutMs: 1000,
	minBackoffMs: 50,
	maxBackoffMs: 1000,
};

/** Why a connection ended, for the log. */
export type LinkEnd = {readonly reason: string};
