/**
 * Outlier detection: a server that fails too often is left out of routing for a while, each time
 * for twice as long, and comes back with a growing share of requests.
 */
import type * as ids from '../ids.js';

/** Failures in a row after which a server is ejected. */
const consecutiveFailures = 5;

/** Failure share above which a server is ejected, once `minSamples` outcomes were seen. */
const maxFailureShare = 0.5;
const minSamples = 20;

/** Weight of a new outcome in the failure share. */
const outcomeWeight = 0.05;

const baseEjectionMs = 1000;
const maxEjectionMs = 30_000;

/** Time over which a server that comes back regains its full share of requests. */
const returnMs = 5000;

/** A lower share would see too few requests to tell whether the server has recovered. */
const minReturnShare = 0.1;

/** Good time after which one earlier ejection is forgotten. */
const forgetAfterMs = 60_000;

type ServerHealth = {
	failuresInRow: number;
	failureShare: number;
	samples: number;
	ejections: number;
	/** End of the ejection; `-Infinity` when never ejected. */
	returnsAt: number;
};

/** Health of the servers that one entry uses. */
export class OutlierDetector {
	readonly #servers = new Map<ids.UpstreamId, ServerHealth>();

	recordOutcome(
		server: ids.UpstreamId,
		outcome: 'success' | 'failure',
		now: number,
	): void {
		const health = this.#getHealth(server);
		const failed = outcome === 'failure' ? 1 : 0;
		// An outcome of a request that was sent before the ejection says nothing new.
		if (now < health.returnsAt) {
			return;
		}

		health.samples++;
		health.failureShare += outcomeWeight * (failed - health.failureShare);
		health.failuresInRow = failed ? health.failuresInRow + 1 : 0;
		const returning = now < health.returnsAt + returnMs;
		const failures = returning ? 1 : consecutiveFailures;
		const tooMany =
			health.samples >= minSamples && health.failureShare > maxFailureShare;
		if (failed && (health.failuresInRow >= failures || tooMany)) {
			this.#updateEjection(health, now);
		}
	}

	/** Share of its usual requests that the server may get now: 0 while ejected, 1 when healthy. */
	computeTrafficShare(server: ids.UpstreamId, now: number): number {
		const health = this.#servers.get(server);
		if (!health || now >= health.returnsAt + returnMs) {
			return 1;
		}

		if (now < health.returnsAt) {
			return 0;
		}

		return Math.max(minReturnShare, (now - health.returnsAt) / returnMs);
	}

	/** Forgets a server that left the directory. */
	remove(server: ids.UpstreamId): void {
		this.#servers.delete(server);
	}

	#getHealth(server: ids.UpstreamId): ServerHealth {
		let health = this.#servers.get(server);
		if (!health) {
			health = {
				failuresInRow: 0,
				failureShare: 0,
				samples: 0,
				ejections: 0,
				returnsAt: -Infinity,
			};
			this.#servers.set(server, health);
		}

		return health;
	}

	#updateEjection(health: ServerHealth, now: number): void {
		const goodMs = now - Math.max(health.returnsAt, 0);
		const forgotten = Math.floor(goodMs / forgetAfterMs);
		health.ejections = Math.max(0, health.ejections - forgotten) + 1;
		health.returnsAt =
			now +
			Math.min(maxEjectionMs, baseEjectionMs * 2 ** (health.ejections - 1));
		health.failuresInRow = 0;
		health.failureShare = 0;
		health.samples = 0;
	}
}
