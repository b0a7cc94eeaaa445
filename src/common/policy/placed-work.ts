/**
 * Work that an entry has placed at servers since it last heard of their load, and the time that reads take
 * there. Load patterns: an entry that sends several requests between two reports sends all of them to the
 * server that was shortest in the last one; and servers of different speed are equally attractive while
 * none of them has a queue.
 */
import type * as ids from '../ids.js';
import {ServiceTimeEstimator} from './service-estimate.js';

/** Interval at which the estimate of a server without samples is lowered, so that it is tried again. */
const decayIntervalMs = 5000;

type ServerWork = {
	/** Requests sent since the last report or answer. */
	placed: number;
	readonly service: ServiceTimeEstimator;
	hasSample: boolean;
};

/** What one entry knows of the servers from its own requests. */
export class PlacedWork {
	readonly #servers = new Map<ids.UpstreamId, ServerWork>();
	#decayedAt = 0;

	recordPlacement(server: ids.UpstreamId): void {
		this.#getWork(server).placed++;
	}

	/** Notes that a report or an answer has told the present load of the server. */
	recordNews(server: ids.UpstreamId): void {
		const work = this.#servers.get(server);
		if (work) {
			work.placed = 0;
		}
	}

	/** Records the time between the start of a read at its owner and its answer, in ms. */
	recordService(server: ids.UpstreamId, serviceMs: number): void {
		const work = this.#getWork(server);
		work.service.observe(serviceMs);
		work.hasSample = true;
	}

	/** Estimates the wait, in ms, that the placed requests add to the one that was reported. */
	estimateAddedWait(server: ids.UpstreamId, slots: number): number {
		const work = this.#servers.get(server);
		return work ? (work.placed * work.service.meanMs) / slots : 0;
	}

	/** Time that a read takes at the server, in ms; 0 when none has run there. */
	getServiceTime(server: ids.UpstreamId): number {
		const work = this.#servers.get(server);
		return work?.hasSample ? work.service.meanMs : 0;
	}

	/** Lowers the estimates of servers that had no read for a while. */
	decay(now: number): void {
		if (now - this.#decayedAt < decayIntervalMs) {
			return;
		}

		this.#decayedAt = now;
		for (const {service} of this.#servers.values()) {
			service.decayIfUnused();
		}
	}

	/** Removes the servers that left the directory. */
	removeExcept(isKnown: (server: ids.UpstreamId) => boolean): void {
		for (const server of this.#servers.keys()) {
			if (!isKnown(server)) {
				this.#servers.delete(server);
			}
		}
	}

	#getWork(server: ids.UpstreamId): ServerWork {
		let work = this.#servers.get(server);
		if (!work) {
			work = {
				placed: 0,
				service: new ServiceTimeEstimator(),
				hasSample: false,
			};
			this.#servers.set(server, work);
		}

		return work;
	}
}
