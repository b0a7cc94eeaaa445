/**
 * Interface of a started daemon to the program that runs it.
 */
import type * as types from '../common/types.js';

export type RunningDaemon = {
	/** Resolves with the exit code when the daemon has closed everything. */
	readonly finished: Promise<number>;
	/** Starts to drain; further calls have no effect. */
	startDrain(): void;
	/** Applies the control peers of changed settings. */
	setControlPeers(controlPeers: readonly types.PeerAddress[]): void;
};
