/**
 * Lets a statement wait for a slot, a lock or a delay; a cancel request can interrupt the wait.
 */
import type * as types from './types.js';

export class CancellableWait {
	private cancelCurrent: ((error: types.SqlError) => void) | undefined;

	/** Rejects the current wait with an error; does nothing when there is none. */
	cancel(error: types.SqlError): void {
		this.cancelCurrent?.(error);
	}

	async sleep(ms: number): Promise<void> {
		await this.wait((resolve) => {
			const timer = setTimeout(resolve, ms);
			return () => {
				clearTimeout(timer);
			};
		});
	}

	/**
	 * Resolves when `resolve` is called, and rejects when the wait is cancelled.
	 *
	 * @param start - Starts the wait; returns a function that stops it.
	 */
	async wait(start: (resolve: () => void) => () => void): Promise<void> {
		await new Promise<void>((resolve, reject) => {
			const stop = start(() => {
				this.cancelCurrent = undefined;
				resolve();
			});
			this.cancelCurrent = (error) => {
				this.cancelCurrent = undefined;
				stop();
				reject(error);
			};
		});
	}
}
