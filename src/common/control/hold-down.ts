/**
 * The hold-down after promotions: it keeps a flapping primary from causing one promotion after
 * another. The first promotion of a group is never delayed. A new control leader starts without
 * memory of earlier promotions, because times of different processes cannot be compared.
 */
import type * as ids from '../ids.js';
import * as timing from './timing.js';

type Record = {
	readonly completedAt: number;
	/** Promotions of which each came within the window of the one before. */
	readonly count: number;
};

/** Promotions of each group as one leader saw them. */
export class HoldDown {
	readonly #records = new Map<ids.GroupId, Record>();

	recordPromotion(now: number, group: ids.GroupId): void {
		const earlier = this.#findRecent(now, group);
		this.#records.set(group, {
			completedAt: now,
			count: (earlier?.count ?? 0) + 1,
		});
	}

	/** The time from which the next promotion of the group may begin. */
	computeEnd(now: number, group: ids.GroupId): number {
		const recent = this.#findRecent(now, group);
		if (!recent) {
			return now;
		}

		const delayMs = timing.holdDownMs * 2 ** (recent.count - 1);
		return recent.completedAt + Math.min(delayMs, timing.maxHoldDownMs);
	}

	#findRecent(now: number, group: ids.GroupId): Record | undefined {
		const record = this.#records.get(group);
		return record && now - record.completedAt <= timing.holdDownWindowMs
			? record
			: undefined;
	}
}
