/**
 * Decides whether an execution claims its idempotency key. Only writes do, because a repeated read
 * changes nothing. A transaction claims a key once, so that all its statements may carry it.
 */
import type * as proxy from '../../common/proxy/types.js';
import type * as executions from './execution.js';
import * as requestPlan from './request-plan.js';
import type * as types from './types.js';

export class KeyClaimTracker {
	/** The key that the open transaction has claimed. */
	#claimedKey: string | undefined;

	needsClaim(effect: types.ExecuteEffect): boolean {
		if (effect.claimKey === undefined || effect.kind !== 'write') {
			return false;
		}

		return !effect.inTransaction || this.#claimedKey !== effect.claimKey;
	}

	/** Updates the claimed key after an execution that ended with `status`. */
	update(
		{effect, plan}: executions.Execution,
		status: proxy.TransactionStatus,
	): void {
		if (status !== 'inTransaction') {
			this.#claimedKey = undefined;
		} else if (plan.segments.length > 1 && effect.inTransaction) {
			this.#claimedKey = effect.claimKey;
		} else if (
			this.#claimedKey !== undefined &&
			requestPlan.canRollBack(effect.payload)
		) {
			// ROLLBACK TO a savepoint may have undone the claim.
			this.#claimedKey = undefined;
		}
	}

	clear(): void {
		this.#claimedKey = undefined;
	}
}
