/**
 * The wait of a statement for a slot, a lock or a time, which a cancel request can end.
 */
import type * as types from './types.js';

export class CancellableWait {
	private cancelCurrent: ((error: types.SqlError) => void) | undefined;

	/** Ends the current wait with an error; without effect when there is none. */
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
	 * Waits until the callback is called.
	 *
	 * @param start - Begins the wait; returns what stops it.
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
