/**
 * Assigns servers to proxies: evenly, and to a proxy in the server's data centre where possible.
 * Servers that have an owner are moved rarely and slowly, because each move makes a server unavailable
 * during the handover, and because a flapping proxy must not make servers move back and forth.
 */
import type * as ids from '../ids.js';
import type * as leases from './leases.js';
import type * as ownership from './ownership.js';
import * as timing from './timing.js';

/** Lists the proxies to which servers may be assigned now. */
function listEligibleProxies(
	now: number,
	table: ownership.OwnershipTable,
): leases.ProxyRecord[] {
	return [...table.proxies.values()].filter(
		(proxy) =>
			!proxy.draining &&
			table.isLeaseHolder(proxy.peer) &&
			now - proxy.lastRenewalAt <= timing.maxRenewalAgeMs,
	);
}

/** Chooses the proxy that owns the fewest servers, preferably in the given data centre. */
function chooseProxy(
	table: ownership.OwnershipTable,
	eligible: readonly leases.ProxyRecord[],
	dataCentre: ids.DataCentre,
): leases.ProxyRecord | undefined {
	let best: leases.ProxyRecord | undefined;
	const isBetter = (proxy: leases.ProxyRecord, other: leases.ProxyRecord) => {
		const isNear = proxy.dataCentre === dataCentre;
		if (isNear !== (other.dataCentre === dataCentre)) {
			return isNear;
		}

		const difference =
			table.countOwned(proxy.peer) - table.countOwned(other.peer);
		return difference === 0 ? proxy.peer < other.peer : difference < 0;
	};

	for (const proxy of eligible) {
		if (best === undefined || isBetter(proxy, best)) {
			best = proxy;
		}
	}

	return best;
}

/**
 * Assigns servers without owner to proxies once the takeover is complete.
 *
 * @returns The proxies to which a server was assigned.
 */
export function assignServers(
	now: number,
	table: ownership.OwnershipTable,
): Set<ids.PeerId> {
	const changed = new Set<ids.PeerId>();
	if (!table.isTakeoverComplete(now)) {
		return changed;
	}

	const eligible = listEligibleProxies(now, table);
	for (const record of table.servers.values()) {
		const {announcement} = record;
		const isUnowned =
			record.ownership === undefined &&
			now - record.lastSeenAt <= timing.announcementExpiryMs;
		const proxy =
			isUnowned && announcement
				? chooseProxy(table, eligible, announcement.dataCentre)
				: undefined;
		if (proxy) {
			table.assign(now, record, proxy.peer);
			changed.add(proxy.peer);
		}
	}

	return changed;
}

/** Revokes the ownership of draining proxies if another proxy can own their servers. */
export function revokeFromDraining(
	now: number,
	table: ownership.OwnershipTable,
): void {
	if (listEligibleProxies(now, table).length === 0) {
		return;
	}

	for (const proxy of table.proxies.values()) {
		if (proxy.draining) {
			for (const server of table.listOwned(proxy.peer)) {
				table.revokeOwnership(now, server);
			}
		}
	}
}

/** True when a server should move from its owner to `better`, a proxy in its data centre. */
function isMoveWorthwhile(
	now: number,
	table: ownership.OwnershipTable,
	record: leases.ServerRecord,
	better: leases.ProxyRecord,
): boolean {
	const owner = record.ownership && table.proxies.get(record.ownership.peer);
	const dataCentre = record.announcement?.dataCentre;
	if (!owner || better.dataCentre !== dataCentre) {
		return false;
	}

	const sinceAssignmentMs = now - record.assignedAt;
	if (owner.dataCentre !== dataCentre) {
		return sinceAssignmentMs >= timing.remoteMoveCooldownMs;
	}

	return (
		sinceAssignmentMs >= timing.moveCooldownMs &&
		table.countOwned(owner.peer) - table.countOwned(better.peer) >=
			timing.rebalanceThresholdServers
	);
}

/**
 * Chooses at most one server to move to a proxy in its own data centre, or to one with fewer servers
 * there. Servers move only to proxies that have been present for `timing.proxyStabilizationMs`.
 */
export function chooseMove(
	now: number,
	table: ownership.OwnershipTable,
	canMove: (server: ids.UpstreamId) => boolean,
): ids.UpstreamId | undefined {
	const stable = listEligibleProxies(now, table).filter(
		(proxy) => now - proxy.presenceStartedAt >= timing.proxyStabilizationMs,
	);
	const records = [...table.servers.values()];
	if (records.some((record) => record.ownership?.revokedAt !== undefined)) {
		return undefined;
	}

	const best = new Map<ids.DataCentre, leases.ProxyRecord>();
	for (const dataCentre of new Set(stable.map((proxy) => proxy.dataCentre))) {
		best.set(dataCentre, chooseProxy(table, stable, dataCentre)!);
	}

	return records.find((record) => {
		const better =
			record.announcement && best.get(record.announcement.dataCentre);
		return (
			better &&
			canMove(record.server) &&
			isMoveWorthwhile(now, table, record, better)
		);
	})?.server;
}
