/**
 * Servers that have started again and may have lost their log.
 *
 * Where servers acknowledge commits themselves, with n synchronous replicas, a promotion asks all of them
 * but n, because one of these must hold each commit. That counts on each server still holding what it
 * has acknowledged. A server that starts again under its id may hold nothing, so it does not count until
 * it has received what the primary held at a later time, or n + 1 other servers have. The primary itself
 * comes back with its log.
 *
 * A new leader does not know which servers had started again before its term.
 */
import type * as ids from '../ids.js';
import type * as control from './types.js';
import type * as ownership from './ownership.js';
import * as reports from './reports.js';
import type * as synchronousReplicas from './synchronous-replicas.js';

type Instance = {
	readonly startedAt: number;
	/** When this leader first saw an instance other than the first one; undefined once it counts again. */
	restartedAt: number | undefined;
	/** Offset that the primary had reached after that. */
	primaryOffset: number | undefined;
};

/** The instances of the servers that one leader has seen. */
export class RestartedServers {
	readonly #instances = new Map<ids.UpstreamId, Instance>();

	constructor(
		private readonly table: ownership.OwnershipTable,
		private readonly synchronousReplicas: synchronousReplicas.SynchronousReplicas,
	) {}

	/** Follows the instances of a group's servers. */
	update(now: number, group: control.GroupState): void {
		for (const server of group.servers) {
			const startedAt = this.table.servers.get(server)?.announcement?.startedAt;
			if (startedAt === undefined) {
				continue;
			}

			const known = this.#instances.get(server);
			if (known?.startedAt === startedAt) {
				this.#updateProgress(group, server, known);
			} else {
				this.#instances.set(server, {
					startedAt,
					restartedAt: known ? now : undefined,
					primaryOffset: undefined,
				});
			}
		}
	}

	/** Forgets a server that has left its group. */
	remove(server: ids.UpstreamId): void {
		this.#instances.delete(server);
	}

	/** False while a server may lack commits that it acknowledged before it started again. */
	hasLog(group: control.GroupState, server: ids.UpstreamId): boolean {
		return (
			server === group.primary ||
			this.#instances.get(server)?.restartedAt === undefined
		);
	}

	#updateProgress(
		group: control.GroupState,
		server: ids.UpstreamId,
		instance: Instance,
	): void {
		const {restartedAt} = instance;
		if (restartedAt === undefined) {
			return;
		}

		instance.primaryOffset ??= reports.findOffset(
			this.table,
			group,
			group.primary,
			restartedAt,
		);
		const {primaryOffset} = instance;
		if (primaryOffset === undefined) {
			return;
		}

		const holders = group.servers.filter(
			(other) =>
				(reports.findOffset(this.table, group, other, restartedAt) ?? -1) >=
				primaryOffset,
		);
		const count = this.synchronousReplicas.findCount(group) ?? 0;
		if (holders.includes(server) || holders.length > count) {
			instance.restartedAt = undefined;
		}
	}
}
