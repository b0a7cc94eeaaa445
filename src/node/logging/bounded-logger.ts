/**
 * Bounds the volume of a log. Under overload every second request is refused, and a line for each
 * would cost more than serving it. Each part of the program has its own budget, so a flood of one
 * kind does not hide the others; errors always pass.
 */
import type * as commonTypes from '../../common/types.js';
import type * as node from '../types.js';

/** Lines that one part may write in a second; the first lines of a fault show its cause. */
const linesPerSecond = 50;
const windowMs = 1000;

type Budget = {startedAt: number; written: number; dropped: number};

export class RateLimitedLogger implements node.Logger {
	readonly #budgets = new Map<string, Budget>();

	constructor(
		private readonly target: node.Logger,
		private readonly clock: node.Clock,
	) {}

	write(record: commonTypes.LogRecord): void {
		const budget = this.#getBudget(record.part);
		if (record.level !== 'error' && budget.written >= linesPerSecond) {
			budget.dropped++;
			return;
		}

		budget.written++;
		this.target.write(record);
	}

	#getBudget(part: string): Budget {
		const now = this.clock.now();
		let budget = this.#budgets.get(part);
		if (!budget) {
			budget = {startedAt: now, written: 0, dropped: 0};
			this.#budgets.set(part, budget);
		}

		if (now - budget.startedAt >= windowMs) {
			this.#reportDropped(part, budget);
			budget.startedAt = now;
			budget.written = 0;
			budget.dropped = 0;
		}

		return budget;
	}

	#reportDropped(part: string, {dropped}: Budget): void {
		if (dropped > 0) {
			this.target.write({
				level: 'warn',
				part,
				message: 'Dropped log lines over the limit of a second',
				fields: {dropped},
			});
		}
	}
}
