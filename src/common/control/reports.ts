/**
 * What the owners of servers report about them in their renewals.
 */
import type * as ids from '../ids.js';
import type * as control from './types.js';
import type * as ownership from './ownership.js';
import * as timing from './timing.js';

/**
 * Returns the offset that a server had reached in the current term, as its owner reported it once every
 * grant from before `since` had expired; undefined without such a report.
 */
export function findOffset(
	table: ownership.OwnershipTable,
	group: control.GroupState,
	server: ids.UpstreamId,
	since: number,
): number | undefined {
	const health = table.servers.get(server)?.health;
	return health?.status?.term === group.term &&
		health.reportedAt >=
			since + timing.grantorLeaseMs + (health.answerAgeMs ?? 0)
		? health.status.position
		: undefined;
}
