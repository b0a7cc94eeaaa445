/**
 * One timer for all links of a process. A timer for each link would wake the process several
 * hundred times a second with a few dozen peers.
 */

/** Calls its tasks at a fixed interval while there are any. */
export class LinkTicker {
	readonly #tasks = new Set<() => void>();
	#timer: NodeJS.Timeout | undefined;

	/** @param intervalMs - Interval of the calls in ms. */
	constructor(private readonly intervalMs: number) {}

	/** Adds a task; the returned function removes it. */
	add(task: () => void): () => void {
		this.#tasks.add(task);
		this.#timer ??= setInterval(() => {
			for (const current of this.#tasks) {
				current();
			}
		}, this.intervalMs);
		return () => {
			this.#tasks.delete(task);
			if (this.#tasks.size === 0) {
				clearInterval(this.#timer);
				this.#timer = undefined;
			}
		};
	}
}
