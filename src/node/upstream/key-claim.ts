/**
 * Decides whether an execution claims its key. Only writes do: a read changes nothing that could
 * happen twice. A transaction claims a key once, so that all its statements may carry it.
 */
import type * as proxy from '../../common/proxy/types.js';
import type * as executions from './execution.js';
import * as requestPlan from './request-plan.js';
import type * as types from './types.js';

export class KeyClaim {
	/** The key that the open transaction has claimed. */
	#key: string | undefined;

	isNeeded(effect: types.ExecuteEffect): boolean {
		if (effect.claimKey === undefined || effect.kind !== 'write') {
			return false;
		}

		return !effect.inTransaction || this.#key !== effect.claimKey;
	}

	/** Follows whether the open transaction holds a claim. */
	update(
		{effect, plan}: executions.Execution,
		status: proxy.TransactionStatus,
	): void {
		if (status !== 'inTransaction') {
			this.#key = undefined;
		} else if (plan.segments.length > 1 && effect.inTransaction) {
			this.#key = effect.claimKey;
		} else if (
			this.#key !== undefined &&
			requestPlan.canRollBack(effect.payload)
		) {
			// ROLLBACK TO a savepoint may have undone the claim.
			this.#key = undefined;
		}
	}

	clear(): void {
		this.#key = undefined;
	}
}
