/**
 * Execution slots of a server: at most N statements run at once, the others wait in the order of
 * their arrival.
 */
export class SlotPool {
	private readonly waiting = new Set<() => void>();
	private running = 0;

	private readonly slots: number;

	constructor(slots: number) {
		this.slots = slots;
	}

	/** Statements that hold a slot, and statements that wait for one. */
	get usage(): {readonly running: number; readonly waiting: number} {
		return {running: this.running, waiting: this.waiting.size};
	}

	/** Takes a slot when one is free. */
	tryTake(): boolean {
		if (this.running >= this.slots) {
			return false;
		}

		this.running++;
		return true;
	}

	/** Calls `start` once with a slot taken; returns a function that leaves the queue. */
	add(start: () => void): () => void {
		this.waiting.add(start);
		return () => {
			this.waiting.delete(start);
		};
	}

	/** Frees a slot, or hands it to the statement that has waited longest. */
	release(): void {
		const [next] = this.waiting;
		if (next) {
			this.waiting.delete(next);
			next();
			return;
		}

		this.running--;
	}
}
