/**
 * Rate limit for log lines. Under overload every other request is refused, and a log line for each
 * would cost more than serving it. Each part of the program has its own limit, so that many lines of
 * one part do not suppress those of another. Errors are always written.
 */
import type * as commonTypes from '../../common/types.js';
import type * as node from '../types.js';

/** Limit for each part of the program; the first lines after a fault show its cause. */
const maxLinesPerWindow = 50;
const windowMs = 1000;

type WindowCounts = {startedAt: number; written: number; dropped: number};

export class RateLimitedLogger implements node.Logger {
	readonly #countsByPart = new Map<string, WindowCounts>();

	constructor(
		private readonly target: node.Logger,
		private readonly clock: node.Clock,
	) {}

	write(record: commonTypes.LogRecord): void {
		const counts = this.#getCounts(record.part);
		if (record.level !== 'error' && counts.written >= maxLinesPerWindow) {
			counts.dropped++;
			return;
		}

		counts.written++;
		this.target.write(record);
	}

	#getCounts(part: string): WindowCounts {
		const now = this.clock.now();
		let counts = this.#countsByPart.get(part);
		if (!counts) {
			counts = {startedAt: now, written: 0, dropped: 0};
			this.#countsByPart.set(part, counts);
		}

		if (now - counts.startedAt >= windowMs) {
			this.#reportDropped(part, counts);
			counts.startedAt = now;
			counts.written = 0;
			counts.dropped = 0;
		}

		return counts;
	}

	#reportDropped(part: string, {dropped}: WindowCounts): void {
		if (dropped > 0) {
			this.target.write({
				level: 'warn',
				part,
				message: 'Dropped log lines that exceeded the limit per second',
				fields: {dropped},
			});
		}
	}
}
