/**
 * Delays items by a time that may change while they wait, and keeps their order.
 */
export class DelayQueue<Item> {
	private items: Array<{readonly item: Item; readonly at: number}> = [];
	private timer: NodeJS.Timeout | undefined;

	private readonly getDelay: () => number | undefined;
	private readonly handle: (item: Item) => void;

	/**
	 * @param getDelay - Current delay in ms; `undefined` stops the queue until `update`.
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
		this.items.push({item, at: performance.now()});
		if (this.items.length === 1) {
			this.update();
		}
	}

	/** Releases what is due; to be called when the delay has changed. */
	update(): void {
		clearTimeout(this.timer);
		this.timer = undefined;
		const delay = this.getDelay();
		if (delay === undefined) {
			return;
		}

		let due = 0;
		const now = performance.now();
		while (due < this.items.length && this.items[due].at + delay <= now) {
			due++;
		}

		for (const {item} of this.items.splice(0, due)) {
			this.handle(item);
		}

		if (this.items.length > 0 && !this.timer) {
			const wait = this.items[0].at + delay - performance.now();
			this.timer = setTimeout(
				() => {
					this.update();
				},
				Math.max(0, wait),
			);
		}
	}

	clear(): void {
		clearTimeout(this.timer);
		this.timer = undefined;
		this.items = [];
	}
}
