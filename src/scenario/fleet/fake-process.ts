/**
 * Base class of the processes of a simulated fleet. What arrives while a process is frozen is
 * handled at the thaw, before any later event, because a resumed process first reads the data that
 * its sockets have received.
 */

export class FakeProcess {
	condition: 'up' | 'frozen' | 'dead' = 'up';
	private queuedHandlers: Array<() => void> = [];

	freeze(): void {
		this.condition = 'frozen';
	}

	thaw(): void {
		this.condition = 'up';
		for (const handler of this.queuedHandlers.splice(0)) {
			// A handler may freeze or kill the process.
			this.receive(handler);
		}
	}

	kill(): void {
		this.condition = 'dead';
		this.queuedHandlers = [];
	}

	restart(_isDiskLost?: boolean): void {
		this.condition = 'up';
	}

	/** Runs the handler now, or at the thaw of a frozen process; a dead process receives nothing. */
	receive(handler: () => void): void {
		if (this.condition === 'up') {
			handler();
		} else if (this.condition === 'frozen') {
			this.queuedHandlers.push(handler);
		}
	}
}
