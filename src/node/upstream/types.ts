/**
 * Interfaces inside the upstream adapter.
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
	/** Sends response bytes; false pauses the connection until `resumeAttempt`. */
	readonly relayToSession: (
		attempt: ids.AttemptId,
		data: Uint8Array,
	) => boolean;
	/** Sends response bytes; false pauses the connection until `resumePeer`. */
	readonly relayToPeer: (
		peer: ids.PeerId,
		attempt: ids.AttemptId,
		data: Uint8Array,
	) => boolean;
	/** Name and database of the pooled connections. */
	readonly user: string;
	readonly database: string;
	readonly limits?: Partial<UpstreamLimits>;
};

/** Times in ms and sizes in bytes. */
export type UpstreamLimits = {
	readonly connectTimeoutMs: number;
	/** Time for ROLLBACK and DISCARD ALL. */
	readonly resetTimeoutMs: number;
	/** Time until the server has closed a cancel connection. */
	readonly cancelTimeoutMs: number;
	readonly pollTimeoutMs: number;
	/** Response bytes that are collected before they go to the sink. */
	readonly flushBytes: number;
	/** Response bytes that may be kept back. */
	readonly heldBytes: number;
	/** Prepared statements of one connection. */
	readonly preparedStatements: number;
};

const mebibyte = 1024 * 1024;

export const defaultLimits: UpstreamLimits = {
	connectTimeoutMs: 1000,
	resetTimeoutMs: 2000,
	cancelTimeoutMs: 1000,
	pollTimeoutMs: 500,
	flushBytes: 16 * 1024,
	// What is kept back must fit into one frame of 64 MiB between peers.
	heldBytes: 60 * mebibyte,
	preparedStatements: 256,
};
