/**
 * Which proxy owns which server: a proxy in the server's data centre where possible, evenly spread.
 * Moves of servers that have an owner are rare and slow, because each makes a server unavailable
 * for the time of a handover, and because a flapping proxy must not drag servers back and forth.
 */
import type * as ids from '../ids.js';
import type * as leases from './leases.js';
import type * as ownership from './ownership.js';
import * as timing from './timing.js';

/** Proxies that may get servers now. */
function listEligible(
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

/** Chooses the least loaded proxy, in the data centre if it has one. */
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
 * Gives servers without owner to proxies, after the takeover period.
 *
 * @returns The proxies that got a server.
 */
export function assignServers(
	now: number,
	table: ownership.OwnershipTable,
): Set<ids.PeerId> {
	const changed = new Set<ids.PeerId>();
	if (!table.isTakeoverComplete(now)) {
		return changed;
	}

	const eligible = listEligible(now, table);
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

/** Takes the servers of draining proxies back, as far as another proxy can own them. */
export function revokeFromDraining(
	now: number,
	table: ownership.OwnershipTable,
): void {
	if (listEligible(now, table).length === 0) {
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

/** True when a server has an owner, and `better` should own it instead. */
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

	const sinceMoveMs = now - record.assignedAt;
	if (owner.dataCentre !== dataCentre) {
		return sinceMoveMs >= timing.remoteMoveCooldownMs;
	}

	return (
		sinceMoveMs >= timing.moveCooldownMs &&
		table.countOwned(owner.peer) - table.countOwned(better.peer) >=
			timing.rebalanceThreshold
	);
}

/**
 * Chooses at most one server that shall move to a proxy in its own data centre, or to one with
 * fewer servers there. Only proxies that have been present for a while get servers this way.
 */
export function chooseMove(
	now: number,
	table: ownership.OwnershipTable,
	canMove: (server: ids.UpstreamId) => boolean,
): ids.UpstreamId | undefined {
	const stable = listEligible(now, table).filter(
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
