import tap from 'tap';
import type * as ids from '../ids.js';
import type * as messages from '../messages.js';
import type * as types from '../types.js';
import type * as control from './types.js';
import type * as leases from './leases.js';
import * as ownership from './ownership.js';
import * as placement from './placement.js';
import * as simulations from './simulation.js';
import * as timing from './timing.js';

const s1 = 's1' as ids.UpstreamId;
const group: control.GroupState = {
	group: 'g1' as ids.GroupId,
	term: 1,
	termStart: 0,
	primary: s1,
	servers: [s1],
	promotion: undefined,
	changedAt: 1,
	serversChangedAt: 1,
};

function makeAnnouncement(
	server: string,
	dataCentre: string,
): types.VersionedAnnouncement {
	return {
		group: group.group,
		server: server as ids.UpstreamId,
		address: '127.0.0.1:1',
		dataCentre: dataCentre as ids.DataCentre,
		role: 'replica',
		term: 1,
		position: 0,
		slots: 3,
		connectionLimit: 25,
		departing: false,
		startedAt: 1,
		version: 1,
	};
}

/** Makes a table and a `renew` function, which returns what the proxy is granted. */
function makeTable(startedAt = 0, leaseHolders?: ReadonlySet<ids.PeerId>) {
	const table = new ownership.OwnershipTable(5, startedAt, {}, leaseHolders);
	let sequence = 0;
	const renew = (
		now: number,
		peer: string,
		changes: Partial<leases.Renewal> = {},
	): messages.OwnershipGrant[] | undefined => {
		const isNew = table.handleRenewal(now, peer as ids.PeerId, {
			type: 'renewLease',
			sequence: ++sequence,
			dataCentre: 'a' as ids.DataCentre,
			incarnation: 1,
			draining: false,
			owned: [],
			announcements: [],
			templateVersions: [],
			knownIndex: 0,
			...changes,
		});
		return isNew
			? table.extendLeases(now, peer as ids.PeerId, (server) =>
					server === s1 ? group : undefined,
				)
			: undefined;
	};

	return {table, renew};
}

function makeEpoch(consensusTerm: number, counter: number): types.Epoch {
	return {consensusTerm, counter};
}

// Guards against a new leader that grants a server whose holder has not claimed it yet.
tap.test('unclaimed servers wait for one lease period', async (t) => {
	const {table, renew} = makeTable(1000);
	const announcements = [makeAnnouncement('s1', 'a')];
	renew(1000, 'p1', {announcements});
	placement.assignServers(1000 + timing.leaseMs, table);
	t.strictSame(renew(1000 + timing.leaseMs, 'p1'), []);
	placement.assignServers(1000 + timing.grantorLeaseMs, table);
	t.strictSame(renew(1000 + timing.grantorLeaseMs, 'p1'), [
		{server: 's1', epoch: makeEpoch(5, 1), writeTerm: 1},
	]);
	t.equal(
		table.hasWriteLeaseEnded(1000 + timing.grantorLeaseMs, group.group),
		false,
	);
});

// Guards against waiting for leases that nobody holds, and against a grant while a lease holder has not
// listed its leases yet.
tap.test('takeover ends when all lease holders are heard', async (t) => {
	const leaseHolders = new Set(['p1', 'p2'] as ids.PeerId[]);
	const {table, renew} = makeTable(1000, leaseHolders);
	const knownOwners = makeEpoch(5, 0);
	renew(1010, 'p1');
	renew(1020, 'p2');
	t.notOk(
		table.isTakeoverComplete(1020),
		'renewals without a grant of the leader',
	);
	renew(1030, 'p1', {knownOwners});
	renew(1040, 'p2', {knownOwners: makeEpoch(4, 7)});
	t.notOk(table.isTakeoverComplete(1040), 'one holder knows an earlier leader');
	renew(1050, 'p2', {knownOwners});
	t.ok(table.isTakeoverComplete(1050));
});

// Guards against a lease for a proxy that a later leader would not know as a lease holder.
tap.test('only lease holders get servers', async (t) => {
	const leaseHolders = new Set<ids.PeerId>();
	const {table, renew} = makeTable(0, leaseHolders);
	const announcements = [makeAnnouncement('s1', 'a')];
	const now = timing.grantorLeaseMs;
	renew(now, 'p1', {announcements});
	placement.assignServers(now, table);
	t.strictSame(renew(now, 'p1'), []);
	leaseHolders.add('p1' as ids.PeerId);
	placement.assignServers(now, table);
	t.match(renew(now, 'p1'), [{server: 's1'}]);
});

// Guards against accepting the claims of two proxies, and against accepting a claim after the takeover.
tap.test('the claim with the higher epoch is accepted', async (t) => {
	const {table, renew} = makeTable();
	const claim = (epoch: types.Epoch) => ({owned: [{server: s1, epoch}]});
	t.match(renew(100, 'p1', claim(makeEpoch(3, 9))), [{server: 's1'}]);
	t.match(renew(110, 'p2', claim(makeEpoch(4, 1))), [{server: 's1'}]);
	t.strictSame(renew(120, 'p1', claim(makeEpoch(3, 9))), []);
	t.match(table.listOwners(undefined), [{server: 's1', owner: 'p2'}]);
	// The holder's lease has expired: the holder does not claim it, so it is not extended.
	t.strictSame(renew(130, 'p2'), []);
	table.expire(110 + timing.grantorLeaseMs);
	t.strictSame(
		renew(110 + timing.grantorLeaseMs, 'p2', claim(makeEpoch(4, 1))),
		[],
	);
});

// Guards against a lease that is granted again under the same epoch after it expired at its holder.
tap.test('an expired lease is granted under a new epoch', async (t) => {
	const {table, renew} = makeTable(-2000);
	renew(0, 'p1', {announcements: [makeAnnouncement('s1', 'a')]});
	placement.assignServers(0, table);
	const first = makeEpoch(5, 1);
	// The grant may still be in flight: the epoch stays.
	t.match(renew(10, 'p1'), [{epoch: first}]);
	t.match(renew(250, 'p1', {owned: [{server: s1, epoch: first}]}), [
		{epoch: first},
	]);
	// An older message does not show that the lease has expired at its holder.
	t.equal(renew(260, 'p1', {sequence: 1}), undefined);
	t.match(renew(500, 'p1'), [{epoch: makeEpoch(5, 2), writeTerm: 1}]);
});

// Guards against a late release of an earlier term that ends the wait for the current one.
tap.test('a release ends the write lease of its own term only', async (t) => {
	const {table, renew} = makeTable(-2000);
	renew(0, 'p1', {announcements: [makeAnnouncement('s1', 'a')]});
	placement.assignServers(0, table);
	renew(10, 'p1');
	const release = (scope: 'write' | 'ownership', writeTerm?: number) => {
		table.handleRelease('p1' as ids.PeerId, {
			type: 'leaseReleased',
			server: s1,
			epoch: makeEpoch(5, 1),
			scope,
			...(writeTerm === undefined ? {} : {writeTerm}),
		});
		return table.hasWriteLeaseEnded(20, group.group);
	};

	table.revokeWriteLease(15, group.group);
	t.match(table.takeDueRevocations(15), [
		{to: 'p1', message: {scope: 'write', writeTerm: 1}},
	]);
	t.strictSame(table.takeDueRevocations(20), []);
	t.equal(release('write'), false);
	t.equal(release('write', 0), false);
	t.equal(release('write', 1), true);
	t.match(table.listOwners(undefined), [{owner: 'p1'}]);
	release('ownership');
	t.match(table.listOwners(undefined), [{owner: undefined}]);
	t.strictSame(table.listOwners(table.ownersVersion), []);
});

// Guards against uneven placement, against owners in other data centres and against draining owners.
tap.test('servers are placed by data centre and load', async (t) => {
	const {table, renew} = makeTable(-2000);
	const announcements = Array.from({length: 9}, (_, index) =>
		makeAnnouncement(`s${index}`, index < 6 ? 'a' : 'b'),
	);
	renew(0, 'p1', {announcements});
	renew(0, 'p2');
	renew(0, 'p3', {dataCentre: 'c' as ids.DataCentre});
	renew(0, 'p4', {draining: true});
	placement.assignServers(0, table);
	const counts = ['p1', 'p2', 'p3', 'p4'].map((peer) =>
		table.countOwned(peer as ids.PeerId),
	);
	t.strictSame(counts, [3, 3, 3, 0]);
});

// Guards against servers that move back and forth with a flapping proxy, or that never move back.
tap.test('a server moves back only to a stable proxy', async (t) => {
	const {table, renew} = makeTable(-2000);
	renew(0, 'p1', {announcements: [makeAnnouncement('s1', 'b')]});
	placement.assignServers(0, table);
	const localProxy = {dataCentre: 'b' as ids.DataCentre};
	const moves: number[] = [];
	for (let now = 250; now <= 60_000; now += 250) {
		renew(now, 'p1', {owned: [{server: s1, epoch: makeEpoch(5, 1)}]});
		// Until 35 s, the proxy in the server's data centre is silent for 3 s in every 9 s.
		if (now > 35_000 || now % 9000 < 6000) {
			renew(now, 'p2', localProxy);
		}

		if (placement.chooseMove(now, table, () => true) !== undefined) {
			moves.push(now);
		}
	}

	// The proxy has been present without a gap since 35,250 ms.
	t.equal(moves[0], 35_250 + timing.proxyStabilizationMs);
	t.equal(
		placement.chooseMove(60_000, table, () => false),
		undefined,
	);
});

// Guards against a server that keeps an owner in another region after a proxy in its own is back.
tap.test('a server far from its owner moves after 10 s', async (t) => {
	const {table, renew} = makeTable(-2000);
	const owned = [{server: s1, epoch: makeEpoch(5, 1)}];
	renew(0, 'p1', {announcements: [makeAnnouncement('s1', 'b')]});
	placement.assignServers(0, table);
	let movedAt: number | undefined;
	for (let now = 250; movedAt === undefined && now <= 30_000; now += 250) {
		renew(now, 'p1', {owned});
		renew(now, 'p2', {dataCentre: 'b' as ids.DataCentre});
		if (placement.chooseMove(now, table, () => true) !== undefined) {
			movedAt = now;
		}
	}

	t.equal(movedAt, 250 + timing.proxyStabilizationMs);
});

// Guards against two valid leases when the leader changes while clocks drift by the bound in opposite
// directions.
tap.test('leader changes with clock drift keep leases exclusive', async (t) => {
	for (const sign of [1, -1]) {
		const drift = sign * timing.maxClockDrift;
		const simulation = new simulations.Simulation({
			seed: 7,
			clockDrifts: {k1: drift, k2: drift, k3: drift, p1: -drift, p2: -drift},
		});
		simulation.network.faults = {
			...simulation.network.faults,
			maxDelayMs: 40,
		};
		simulation.run(8000);
		for (let round = 0; round < 6; round++) {
			const owners = simulation.listOwners();
			simulation.crashControl(simulation.leader!, 400);
			simulation.network.setPartition([[owners.s1 as ids.PeerId]]);
			simulation.run(1000 + round * 200);
			simulation.network.setPartition([]);
			simulation.run(4000);
		}

		t.strictSame(simulation.problems, []);
		t.strictSame(Object.keys(simulation.listOwners()).sort(), [
			's1',
			's2',
			's3',
		]);
		t.ok(simulation.acknowledgedWrites.length > 100);
	}
});

// Guards against leases that are lost, or given to other proxies, when the leader crashes.
tap.test('leases survive a leader change', async (t) => {
	const simulation = new simulations.Simulation({seed: 8});
	simulation.run(8000);
	const owners = simulation.listOwners();
	const oldLeader = simulation.leader!;
	simulation.crashControl(oldLeader, 10_000);
	const lossAfterMs = simulation.runUntil(
		() => Object.keys(simulation.listOwners()).length < 3,
		6000,
	);
	t.equal(lossAfterMs, undefined);
	t.strictSame(simulation.listOwners(), owners);
	t.not(simulation.leader?.peer, oldLeader.peer);
});

// Guards against a draining proxy that keeps its servers or is assigned new ones.
tap.test('a draining proxy hands over its servers', async (t) => {
	const simulation = new simulations.Simulation({seed: 9});
	simulation.run(8000);
	simulation.getProxy('p1')!.isDraining = true;
	const handoverMs = simulation.runUntil(() => {
		const owners = Object.values(simulation.listOwners());
		return owners.length === 3 && !owners.includes('p1');
	}, 5000);
	t.comment(`handover in ${handoverMs} ms`);
	t.ok(handoverMs);
	simulation.run(2000);
	t.notOk(Object.values(simulation.listOwners()).includes('p1'));
	t.strictSame(simulation.problems, []);
});
