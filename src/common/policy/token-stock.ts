/**
 * The tokens of one customer at a proxy. The stock follows the demand at the proxy, so that an
 * ordinary request finds a token without a message to the leader. It answers callers that are spread
 * over all proxies, and those that move from one proxy to another.
 */

/** Time constant of the demand estimate, in ms. */
const demandSmoothingMs = 1000;
/** A stock lasts this long at the current demand; renewals refill it every 250 ms. */
const stockDurationMs = 800;
/** A customer without requests for this long needs no stock. */
const idleLimitMs = 30_000;
/** A stock is returned only when it exceeds the demand by this factor. */
const excessFactor = 2;

/** Exponentially weighted number of events per second. */
class RateEstimate {
	#perS = 0;
	#updatedAt = 0;

	observe(now: number): void {
		this.#perS = this.read(now) + 1000 / demandSmoothingMs;
		this.#updatedAt = now;
	}

	read(now: number): number {
		return this.#perS * Math.exp((this.#updatedAt - now) / demandSmoothingMs);
	}
}

export class TokenStock {
	/** Tokens of the current stream: granted, used and returned so far. */
	granted = 0;
	spent = 0;
	returned = 0;
	/** What is left of an earlier stream; the leader no longer takes it back. */
	#former = {count: 0, expiresAt: 0};
	#requestedAt = Number.NEGATIVE_INFINITY;
	readonly #demand = new RateEstimate();
	readonly #use = new RateEstimate();

	get held(): number {
		return this.granted - this.spent - this.returned;
	}

	recordDemand(now: number): void {
		this.#requestedAt = now;
		this.#demand.observe(now);
	}

	/** Uses a token. `expiresAt` is the end of the validity of the current stream. */
	tryTake(now: number, expiresAt: number): boolean {
		if (this.#former.count > 0 && now < this.#former.expiresAt) {
			this.#former.count--;
		} else if (this.held > 0 && now < expiresAt) {
			this.spent++;
		} else {
			return false;
		}

		this.#use.observe(now);
		return true;
	}

	/** Begins another stream; the tokens of the current one stay usable until they expire. */
	startStream(expiresAt: number): void {
		this.#former = {count: this.held, expiresAt};
		this.granted = 0;
		this.spent = 0;
		this.returned = 0;
	}

	/** Returns the number of tokens to hold at the current demand. */
	computeTarget(now: number): number {
		return now - this.#requestedAt > idleLimitMs
			? 0
			: Math.ceil((this.#demand.read(now) * stockDurationMs) / 1000);
	}

	/** Gives back what far exceeds the demand. */
	returnExcess(now: number): void {
		const target = this.computeTarget(now);
		if (this.held > target * excessFactor) {
			this.returned += this.held - target;
		}
	}

	/** Returns the tokens per second that were used recently. */
	readUsePerS(now: number): number {
		return this.#use.read(now);
	}
}
