/**
 * Execution slots of a server: at most N statements run at once, the others wait in order of
 * arrival.
 */
import type * as types from './types.js';

export class SlotPool {
	private readonly waiting = new Set<() => void>();
	private running = 0;

	private readonly slotCount: number;

	constructor(slots: number) {
		this.slotCount = slots;
	}

	/** Number of statements that hold a slot, and of statements that wait for one. */
	get usage(): {readonly running: number; readonly waiting: number} {
		return {running: this.running, waiting: this.waiting.size};
	}

	/** Acquires a slot if one is free. */
	tryAcquire(): boolean {
		if (this.running >= this.slotCount) {
			return false;
		}

		this.running++;
		return true;
	}

	/**
	 * Enqueues a statement.
	 *
	 * @param start - Called once the statement holds a slot.
	 * @returns A function that removes the statement from the queue.
	 */
	enqueue(start: () => void): () => void {
		this.waiting.add(start);
		return () => {
			this.waiting.delete(start);
		};
	}

	/** Releases a slot, or passes it to the statement that has waited longest. */
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
 * Tells whether a statement needs a slot. CREATE TABLE and DROP TABLE do not; neither do functions
 * of the schema `hemlockarch`, so that status polls and fencing work while all slots are busy.
 */
export function needsSlot(statement: types.Statement): boolean {
	if (statement.type !== 'select') {
		return statement.type !== 'createTable' && statement.type !== 'dropTable';
	}

	const isHemlockarchCall = (expression: types.Expression) =>
		expression.type === 'call' && expression.name.startsWith('hemlockarch.');
	if (statement.source) {
		return !(
			statement.source.type === 'function' &&
			isHemlockarchCall(statement.source.call)
		);
	}

	return !statement.items.some(
		(item) => item.type === 'expression' && isHemlockarchCall(item.expression),
	);
}
