/**
 * Finds out, before a planned change stops the writes of a group, whether a server can take over from
 * the departing primary.
 *
 * Only groups whose servers acknowledge commits themselves, with synchronous replicas, need it: a
 * promotion there may choose a replica only if it holds what the primary holds. A replica that receives
 * nothing, or answers no status, would make the group wait without writes, while the primary could have
 * served them until it leaves.
 */
import type * as ids from '../ids.js';
import type * as types from '../types.js';
import type * as calls from './calls.js';
import type * as control from './types.js';
import type * as ownership from './ownership.js';
import * as promotions from './promotion.js';
import type * as synchronousReplicas from './synchronous-replicas.js';
import * as timing from './timing.js';

type Reading = {readonly status: types.UpstreamStatus; readonly at: number};

type Search = {
	readonly primary: ids.UpstreamId;
	/** The last two readings of the primary, the newer one last. */
	primaryReadings: Reading[];
	readonly readings: Map<ids.UpstreamId, Reading>;
};

/** The searches of one leader. */
export class SuccessorSearch {
	readonly #searches = new Map<ids.GroupId, Search>();

	constructor(
		private readonly table: ownership.OwnershipTable,
		private readonly synchronousReplicas: synchronousReplicas.SynchronousReplicas,
		private readonly calls: calls.ServerCalls,
	) {}

	/**
	 * True when a server that stays had received what the primary held shortly before, and enough servers
	 * answer to choose one. While it returns false, this method requests the servers' statuses.
	 */
	hasSuccessor(now: number, group: control.GroupState): boolean {
		const count = this.synchronousReplicas.findCount(group);
		if (count === undefined || count === 0) {
			return true;
		}

		let search = this.#searches.get(group.group);
		if (search?.primary !== group.primary) {
			search = {
				primary: group.primary,
				primaryReadings: [],
				readings: new Map(),
			};
			this.#searches.set(group.group, search);
		}

		if (this.#isFound(now, group, search, count)) {
			this.#searches.delete(group.group);
			return true;
		}

		for (const server of group.servers) {
			const address = this.table.servers.get(server)?.announcement?.address;
			if (address !== undefined) {
				this.calls.call(
					now,
					{group: group.group, server, address},
					{type: 'status'},
				);
			}
		}

		return false;
	}

	/** Handles the answer to a call of this group. */
	handleAnswer(
		now: number,
		{group, server, request}: calls.PendingCall,
		answer: control.ServerAnswer,
	): void {
		const search = this.#searches.get(group);
		if (
			!search ||
			request.type !== 'status' ||
			answer.type !== 'answered' ||
			!answer.status
		) {
			return;
		}

		const reading = {status: answer.status, at: now};
		search.readings.set(server, reading);
		if (server === search.primary) {
			search.primaryReadings = [...search.primaryReadings.slice(-1), reading];
		}
	}

	#isFound(
		now: number,
		group: control.GroupState,
		{primaryReadings, readings}: Search,
		count: number,
	): boolean {
		const [goal] = primaryReadings;
		const recent = group.servers.filter((server) => {
			const reading = readings.get(server);
			return reading && now - reading.at <= timing.successorReadingMs;
		});
		return (
			goal !== undefined &&
			now - goal.at <= timing.successorReadingMs &&
			recent.length >= group.servers.length - count &&
			recent.some(
				(server) =>
					server !== group.primary &&
					this.table.servers.get(server)?.announcement?.departing === false &&
					promotions.compareStatuses(
						readings.get(server)!.status,
						goal.status,
					) >= 0,
			)
		);
	}
}
