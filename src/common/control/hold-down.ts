/**
 * The hold-down after promotions: a delay that keeps a flapping primary from causing one promotion
 * after another. The first promotion of a group is never delayed. A new control leader does not take
 * over the promotion times of earlier leaders, because monotonic times of different processes cannot
 * be compared.
 */
import type * as ids from '../ids.js';
import * as timing from './timing.js';

type PromotionRecord = {
	readonly completedAt: number;
	/** Number of consecutive promotions, each within `timing.holdDownWindowMs` of the one before. */
	readonly count: number;
};

/** The recent promotions of each group that one leader has completed. */
export class HoldDown {
	readonly #records = new Map<ids.GroupId, PromotionRecord>();

	recordPromotion(now: number, group: ids.GroupId): void {
		const previous = this.#findRecent(now, group);
		this.#records.set(group, {
			completedAt: now,
			count: (previous?.count ?? 0) + 1,
		});
	}

	/** Returns the time from which the next promotion of the group may begin. */
	computeEnd(now: number, group: ids.GroupId): number {
		const recent = this.#findRecent(now, group);
		if (!recent) {
			return now;
		}

		const delayMs = timing.initialHoldDownMs * 2 ** (recent.count - 1);
		return recent.completedAt + Math.min(delayMs, timing.maxHoldDownMs);
	}

	#findRecent(now: number, group: ids.GroupId): PromotionRecord | undefined {
		const record = this.#records.get(group);
		return record && now - record.completedAt <= timing.holdDownWindowMs
			? record
			: undefined;
	}
}
