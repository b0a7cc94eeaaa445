/**
 * A first-in, first-out queue that holds each item for a delay; the delay may change meanwhile.
 */
export class DelayQueue<Item> {
	private queue: Array<{readonly item: Item; readonly addedAt: number}> = [];
	private timer: NodeJS.Timeout | undefined;

	private readonly getDelay: () => number | undefined;
	private readonly handle: (item: Item) => void;

	/**
	 * @param getDelay - Current delay in ms; `undefined` pauses the queue until `update`.
	 * @param handle - Receives each item when its delay has passed.
	 */
	constructor(
		getDelay: () => number | undefined,
		handle: (item: Item) => void,
	) {
		this.getDelay = getDelay;
		this.handle = handle;
	}

	add(item: Item): void {
		this.queue.push({item, addedAt: performance.now()});
		if (this.queue.length === 1) {
			this.update();
		}
	}

	/** Delivers the items that are due; must be called when the delay has changed. */
	update(): void {
		clearTimeout(this.timer);
		this.timer = undefined;
		const delayMs = this.getDelay();
		if (delayMs === undefined) {
			return;
		}

		let dueCount = 0;
		const now = performance.now();
		while (
			dueCount < this.queue.length &&
			this.queue[dueCount].addedAt + delayMs <= now
		) {
			dueCount++;
		}

		for (const {item} of this.queue.splice(0, dueCount)) {
			this.handle(item);
		}

		if (this.queue.length > 0 && !this.timer) {
			const waitMs = this.queue[0].addedAt + delayMs - performance.now();
			this.timer = setTimeout(
				() => {
					this.update();
				},
				Math.max(0, waitMs),
			);
		}
	}

	clear(): void {
		clearTimeout(this.timer);
		this.timer = undefined;
		this.queue = [];
	}
}
