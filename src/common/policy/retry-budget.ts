/**
 * Limits retries and hedged requests to a share of the successes, so that they cannot multiply the
 * load of servers that are already in trouble.
 */
import type {RetryBudget} from './types.js';

const retriesPerSuccess = 0.1;

/** Retries per second that are allowed without any success. */
const minRetriesPerSecond = 1;

/** Depth of the token bucket; bounds the burst of retries after a long period of successes. */
const maxRetryTokens = 100;

const baseDelayMs = 10;
const maxDelayMs = 500;

/** Token bucket of retries, filled by successes and, up to a minimum rate, by time. */
export class SuccessRetryBudget implements RetryBudget {
	#tokens = minRetriesPerSecond;
	#updatedAt: number | undefined;

	recordSuccess(now: number): void {
		this.#update(now);
		this.#tokens = Math.min(maxRetryTokens, this.#tokens + retriesPerSuccess);
	}

	trySpend(now: number): boolean {
		this.#update(now);
		if (this.#tokens < 1) {
			return false;
		}

		this.#tokens--;
		return true;
	}

	/**
	 * Exponential backoff. Half of the delay is random, so that requests that failed together are not
	 * retried together.
	 */
	computeDelay(retry: number, random: number): number {
		const delayMs = Math.min(maxDelayMs, baseDelayMs * 2 ** retry);
		return (delayMs / 2) * (1 + random);
	}

	/** Refills at the minimum rate, but only up to the retries of one second. */
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
