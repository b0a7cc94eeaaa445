/**
 * What a started daemon offers to the command line.
 */
import type * as types from '../common/types.js';

export type RunningDaemon = {
	/** Resolves with the exit code when the daemon has closed everything. */
	readonly finished: Promise<number>;
	/** Begins the graceful shutdown; further calls change nothing. */
	startDrain(): void;
	/** Takes the control peers that changed settings name. */
	setControlPeers(controlPeers: readonly types.PeerAddress[]): void;
};
