/**
 * Outlier detection: a server that fails too often is ejected from routing, each time for twice as
 * long, and afterwards receives a growing share of requests.
 */
import type * as ids from '../ids.js';

/** Consecutive failures after which a server is ejected. */
const consecutiveFailureThreshold = 5;

/** Failure share above which a server is ejected, once `minSamples` outcomes were seen. */
const maxFailureShare = 0.5;
const minSamples = 20;

/** Weight of a new outcome in the failure share. */
const outcomeWeight = 0.05;

const baseEjectionMs = 1000;
const maxEjectionMs = 30_000;

/** Time after an ejection in which a server regains its full share of requests. */
const recoveryMs = 5000;

/** A lower share would see too few requests to tell whether the server has recovered. */
const minRecoveryShare = 0.1;

/** Time without an ejection after which one earlier ejection no longer counts. */
const ejectionDecayMs = 60_000;

type ServerHealth = {
	consecutiveFailures: number;
	failureShare: number;
	samples: number;
	ejections: number;
	/** End of the ejection; `-Infinity` when never ejected. */
	ejectedUntil: number;
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
		// The outcome of a request that was sent before the ejection is not new information.
		if (now < health.ejectedUntil) {
			return;
		}

		health.samples++;
		health.failureShare += outcomeWeight * (failed - health.failureShare);
		health.consecutiveFailures = failed ? health.consecutiveFailures + 1 : 0;
		const isRecovering = now < health.ejectedUntil + recoveryMs;
		const threshold = isRecovering ? 1 : consecutiveFailureThreshold;
		const exceedsFailureShare =
			health.samples >= minSamples && health.failureShare > maxFailureShare;
		if (
			failed &&
			(health.consecutiveFailures >= threshold || exceedsFailureShare)
		) {
			this.#eject(health, now);
		}
	}

	/** Share of its usual requests that the server gets now: 0 while ejected, 1 when healthy. */
	computeTrafficShare(server: ids.UpstreamId, now: number): number {
		const health = this.#servers.get(server);
		if (!health || now >= health.ejectedUntil + recoveryMs) {
			return 1;
		}

		if (now < health.ejectedUntil) {
			return 0;
		}

		return Math.max(minRecoveryShare, (now - health.ejectedUntil) / recoveryMs);
	}

	/** Removes a server that left the directory. */
	remove(server: ids.UpstreamId): void {
		this.#servers.delete(server);
	}

	#getHealth(server: ids.UpstreamId): ServerHealth {
		let health = this.#servers.get(server);
		if (!health) {
			health = {
				consecutiveFailures: 0,
				failureShare: 0,
				samples: 0,
				ejections: 0,
				ejectedUntil: -Infinity,
			};
			this.#servers.set(server, health);
		}

		return health;
	}

	#eject(health: ServerHealth, now: number): void {
		const healthyMs = now - Math.max(health.ejectedUntil, 0);
		const expiredEjections = Math.floor(healthyMs / ejectionDecayMs);
		health.ejections = Math.max(0, health.ejections - expiredEjections) + 1;
		health.ejectedUntil =
			now +
			Math.min(maxEjectionMs, baseEjectionMs * 2 ** (health.ejections - 1));
		health.consecutiveFailures = 0;
		health.failureShare = 0;
		health.samples = 0;
	}
}
