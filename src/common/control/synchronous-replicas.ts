/**
 * The number of replicas that have received a commit before a server acknowledges it, as far as control
 * knows it. The configuration in force decides. Announcements carry the number that the peer knew which
 * received them; a peer without the configuration announces 0.
 */
import type * as ids from '../ids.js';
import type * as control from './types.js';
import type * as machines from './machine.js';
import type * as ownership from './ownership.js';

export class SynchronousReplicas {
	#version = 0;
	#counts: ReadonlyMap<ids.GroupId, number> | undefined;

	constructor(
		private readonly table: ownership.OwnershipTable,
		private readonly machine: machines.ControlMachine,
		private readonly parse: control.SynchronousReplicasParser | undefined,
	) {}

	/** Returns the number for a group; undefined unless its servers acknowledge commits themselves. */
	findCount({group, servers}: control.GroupState): number | undefined {
		const announced = servers
			.map(
				(server) =>
					this.table.servers.get(server)?.announcement?.synchronousReplicas,
			)
			.filter((count) => count !== undefined);
		return announced.length === 0
			? undefined
			: (this.#readCounts()?.get(group) ?? Math.max(...announced));
	}

	#readCounts(): ReadonlyMap<ids.GroupId, number> | undefined {
		const {configuration} = this.machine;
		if (configuration && configuration.version !== this.#version) {
			this.#version = configuration.version;
			this.#counts = this.parse?.(configuration.text);
		}

		return this.#counts;
	}
}
