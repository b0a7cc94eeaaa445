/**
 * Limits retries and hedged requests to a share of the successes, so that they cannot multiply the
 * load of servers that are already in trouble.
 */
import type {RetryBudget} from './types.js';

/** Retries per success. */
const budgetShare = 0.1;

/** Retries per second that are allowed without any success. */
const minRetriesPerSecond = 1;

/** Retries that can be saved up; bounds the burst after a long good time. */
const maxSavedRetries = 100;

const baseDelayMs = 10;
const maxDelayMs = 500;

/** A token bucket that successes and time fill. */
export class SuccessRetryBudget implements RetryBudget {
	#tokens = minRetriesPerSecond;
	#updatedAt: number | undefined;

	recordSuccess(now: number): void {
		this.#update(now);
		this.#tokens = Math.min(maxSavedRetries, this.#tokens + budgetShare);
	}

	trySpend(now: number): boolean {
		this.#update(now);
		if (this.#tokens < 1) {
			return false;
		}

		this.#tokens--;
		return true;
	}

	/** Half of the delay is random, so that requests that failed together do not return together. */
	computeDelay(retry: number, random: number): number {
		const delayMs = Math.min(maxDelayMs, baseDelayMs * 2 ** retry);
		return (delayMs / 2) * (1 + random);
	}

	/** The minimum rate fills the bucket to one second's worth only. */
	#update(now: number): void {
		const elapsedMs = now - (this.#updatedAt ?? now);
		this.#updatedAt = now;
		if (this.#tokens < minRetriesPerSecond) {
			this.#tokens = Math.min(
				minRetriesPerSecond,
				this.#tokens + (elapsedMs / 1000) * minRetriesPerSecond,
			);
		}
	}
}
