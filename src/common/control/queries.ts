/**
 * Answers operators' queries from the state of this peer alone. A follower may lag behind the leader.
 */
import type * as ids from '../ids.js';
import type * as control from './types.js';
import * as machines from './machine.js';
import type * as ownership from './ownership.js';

/** The state of this peer that queries read. */
export type QuerySource = {
	readonly peer: ids.PeerId;
	readonly log: control.ReplicatedLog;
	readonly machine: machines.ControlMachine;
	/** Undefined on a follower. */
	readonly table: ownership.OwnershipTable | undefined;
};

export function runQuery(
	query: control.ControlQuery,
	source: QuerySource,
): control.ControlQueryResult {
	switch (query.type) {
		case 'status': {
			return {type: 'status', status: buildStatus(source)};
		}

		case 'templates': {
			return {
				type: 'templates',
				templates: source.machine.listTemplates().map(({template}) => template),
			};
		}

		case 'template': {
			return {
				type: 'template',
				template: source.machine.getTemplate(query.member),
			};
		}

		case 'history': {
			return {
				type: 'history',
				history: source.machine.listHistory(query.member),
			};
		}
	}
}

function buildStatus(source: QuerySource): control.ControlStatus {
	const {log, machine, table, peer} = source;
	return {
		peer,
		role: log.role,
		consensusTerm: log.term,
		leader: log.leader,
		appliedIndex: machine.appliedIndex,
		groups: machine.listGroups().map((group) => machines.buildGroupView(group)),
		owners: table?.listOwners(undefined) ?? [],
	};
}
