/**
 * The staleness that an owner reports for a replica. Load pattern: the bound of the staleness grows
 * between two polls and falls with each of them, also when nothing is written, so reports of its momentary
 * value reach all entries several times a second without telling them anything.
 */

/** The peak covers between one and two of these spans; polls of an idle replica are closer. */
const spanMs = 1000;
/** A fall by more than this is no swing between two polls, but a replica that has caught up. */
const maxSwingMs = 1000;

export class StalenessPeak {
	#spanStartedAt = Number.NEGATIVE_INFINITY;
	#peakMs = 0;
	#previousPeakMs = 0;

	/**
	 * Records the bound of the staleness now and returns its recent peak, in ms; both may be infinite.
	 */
	update(stalenessMs: number, now: number): number {
		if (now - this.#spanStartedAt >= spanMs) {
			this.#previousPeakMs =
				now - this.#spanStartedAt < 2 * spanMs ? this.#peakMs : 0;
			this.#peakMs = 0;
			this.#spanStartedAt = now;
		}

		this.#peakMs = Math.max(this.#peakMs, stalenessMs);
		const peakMs = Math.max(this.#peakMs, this.#previousPeakMs);
		if (peakMs - stalenessMs > maxSwingMs) {
			this.#peakMs = stalenessMs;
			this.#previousPeakMs = 0;
			return stalenessMs;
		}

		return peakMs;
	}
}
