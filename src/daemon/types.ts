/**
 * What a started daemon offers to the command line.
 */

export type RunningDaemon = {
	/** Resolves with the exit code when the daemon has closed everything. */
	readonly finished: Promise<number>;
	/** Begins the graceful shutdown; further calls change nothing. */
	startDrain(): void;
};
