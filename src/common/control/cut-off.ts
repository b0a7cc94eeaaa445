/**
 * Finds primaries that their owner still reaches but that cannot replicate: writes to them are never
 * acknowledged. Slow replicas look alike, so a second witness is needed: the control leader itself
 * cannot reach the primary either.
 */
import type * as ids from '../ids.js';
import type * as control from './types.js';
import type * as leases from './leases.js';
import * as machines from './machine.js';
import * as timing from './timing.js';

type Stall = {
	/** Offset that a majority holds. */
	readonly offset: number;
	readonly since: number;
	/** Probes in a row that the primary did not answer. */
	failures: number;
};

/** Primaries that make no progress, as one leader sees them. */
export class CutOffDetector {
	readonly #stalls = new Map<ids.GroupId, Stall>();

	/** True when the primary should be probed by the leader itself. */
	update(
		now: number,
		group: control.GroupState,
		health: leases.Health,
	): boolean {
		const {status} = health;
		if (status?.role !== 'primary' || status.term !== group.term) {
			this.#stalls.delete(group.group);
			return false;
		}

		const offset = computeMajorityOffset(group, health);
		if (offset >= status.position) {
			this.#stalls.delete(group.group);
			return false;
		}

		const stall = this.#stalls.get(group.group);
		if (!stall || offset > stall.offset) {
			this.#stalls.set(group.group, {offset, since: now, failures: 0});
		}

		return true;
	}

	recordProbe(group: ids.GroupId, isAnswered: boolean): void {
		const stall = this.#stalls.get(group);
		if (stall) {
			stall.failures = isAnswered ? 0 : stall.failures + 1;
		}
	}

	clear(group: ids.GroupId): void {
		this.#stalls.delete(group);
	}

	isCutOff(now: number, group: ids.GroupId): boolean {
		const stall = this.#stalls.get(group);
		return (
			stall !== undefined &&
			now - stall.since >= timing.primarySilentMs &&
			stall.failures >= timing.failedProbes
		);
	}
}

/** The largest offset that a majority of the set holds, by what the primary says. */
function computeMajorityOffset(
	group: control.GroupState,
	health: leases.Health,
): number {
	const {position = 0, replicas = []} = health.status ?? {};
	const offsets = group.servers.map((server) =>
		server === group.primary
			? position
			: (replicas.find((replica) => replica.server === server)?.position ?? 0),
	);
	offsets.sort((left, right) => right - left);
	return offsets[machines.computeMajority(offsets.length) - 1] ?? 0;
}
