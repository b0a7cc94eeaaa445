/**
 * Types of the upstream adapter.
 */
import type * as ids from '../../common/ids.js';
import type * as proxy from '../../common/proxy/types.js';
import type * as node from '../types.js';

export type UpstreamEvent = Extract<
	proxy.ProxyEvent,
	{
		type:
			| 'connectionOpened'
			| 'connectionClosed'
			| 'connectionReset'
			| 'executionFinished'
			| 'pollAnswered'
			| 'pollFailed';
	}
>;

export type ExecuteEffect = Extract<proxy.ProxyEffect, {type: 'execute'}>;

export type UpstreamOptions = {
	readonly dispatch: node.Dispatch<UpstreamEvent>;
	readonly clock: node.Clock;
	readonly logger: node.Logger;
	/** Sends response bytes to a caller; false pauses the connection until `resumeAttempt`. */
	readonly relayToSession: (
		attempt: ids.AttemptId,
		data: Uint8Array,
	) => boolean;
	/** Sends response bytes to a peer; false pauses the connection until `resumePeer`. */
	readonly relayToPeer: (
		peer: ids.PeerId,
		attempt: ids.AttemptId,
		data: Uint8Array,
	) => boolean;
	/** User and database of the connections to servers. */
	readonly user: string;
	readonly database: string;
	readonly limits?: Partial<UpstreamLimits>;
};

/** Times in ms and sizes in bytes. */
export type UpstreamLimits = {
	readonly connectTimeoutMs: number;
	/** Timeout of a reset: ROLLBACK and DISCARD ALL together. */
	readonly resetTimeoutMs: number;
	/** Time within which the server has to close a cancel connection. */
	readonly cancelTimeoutMs: number;
	readonly pollTimeoutMs: number;
	/** Response bytes that are buffered before they are sent to the sink. */
	readonly flushBytes: number;
	/** Response bytes that may be buffered; when an answer needs more, its connection is closed. */
	readonly maxBufferedBytes: number;
	/** Notifications that wait for the next request of a session; more of them close its connection. */
	readonly notificationBytes: number;
	/** Largest number of prepared statements on one connection. */
	readonly preparedStatements: number;
};

const mebibyte = 1024 * 1024;

export const defaultLimits: UpstreamLimits = {
	connectTimeoutMs: 1000,
	resetTimeoutMs: 2000,
	cancelTimeoutMs: 1000,
	pollTimeoutMs: 500,
	flushBytes: 16 * 1024,
	// The buffered tail of a response must fit into one peer frame, which is limited to 64 MiB.
	maxBufferedBytes: 60 * mebibyte,
	notificationBytes: 4 * mebibyte,
	preparedStatements: 256,
};
