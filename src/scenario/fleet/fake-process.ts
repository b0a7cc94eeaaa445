/**
 * What all processes of a fake fleet have in common: they can be frozen, and what arrives
 * meanwhile is handled first when they run again, as a process finds its sockets readable.
 */

export class FakeProcess {
	condition: 'up' | 'frozen' | 'dead' = 'up';
	private waiting: Array<() => void> = [];

	freeze(): void {
		this.condition = 'frozen';
	}

	thaw(): void {
		this.condition = 'up';
		for (const run of this.waiting.splice(0)) {
			run();
		}
	}

	kill(): void {
		this.condition = 'dead';
		this.waiting = [];
	}

	restart(_isDiskLost?: boolean): void {
		this.condition = 'up';
	}

	/** Runs now, or after the freeze; a dead process receives nothing. */
	protected receive(run: () => void): void {
		if (this.condition === 'up') {
			run();
		} else if (this.condition === 'frozen') {
			this.waiting.push(run);
		}
	}
}
