/**
 * Finds requests that were refused, came back under the same id and were refused again. A request that
 * was served when it came back leaves no line.
 */
import * as durations from './durations.js';
import type * as types from './types.js';

type Refusal = Pick<types.RequestEnd, 'at' | 'retryAfterMs'>;

export class ReturnTracker {
	private readonly refusals = new Map<string, Refusal[]>();

	add({id, outcome, at, retryAfterMs}: types.RequestEnd): void {
		if (id === undefined || outcome !== 'refused') {
			return;
		}

		const refusals = this.refusals.get(id);
		if (refusals) {
			refusals.push({at, retryAfterMs});
		} else {
			this.refusals.set(id, [{at, retryAfterMs}]);
		}
	}

	getSummary(): types.ReturnSummary {
		const intervals = new durations.Durations();
		let early = 0;
		for (const refusals of this.refusals.values()) {
			refusals.sort((left, right) => left.at - right.at);
			for (const [index, refusal] of refusals.slice(1).entries()) {
				const previous = refusals[index];
				const intervalMs = refusal.at - previous.at;
				intervals.record(intervalMs);
				if (intervalMs < (previous.retryAfterMs ?? 0)) {
					early++;
				}
			}
		}

		return {intervals: intervals.getSummary(), early};
	}
}
