/**
 * Execution slots of a server: at most N statements run at once, the others wait in the order of
 * their arrival.
 */
import type * as types from './types.js';

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
	tryAcquire(): boolean {
		if (this.running >= this.slots) {
			return false;
		}

		this.running++;
		return true;
	}

	/** Calls `start` once with a slot taken; returns a function that leaves the queue. */
	enqueue(start: () => void): () => void {
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

/**
 * Tells whether a statement takes a slot. Functions of the schema `hemlockarch` do not, so that
 * status polls and fencing work while all slots are busy.
 */
export function needsSlot(statement: types.Statement): boolean {
	if (statement.type !== 'select') {
		return statement.type !== 'createTable' && statement.type !== 'dropTable';
	}

	const isInternal = (expression: types.Expression) =>
		expression.type === 'call' && expression.name.startsWith('hemlockarch.');
	if (statement.source) {
		return !(
			statement.source.type === 'function' && isInternal(statement.source.call)
		);
	}

	return !statement.items.some(
		(item) => item.type === 'expression' && isInternal(item.expression),
	);
}
