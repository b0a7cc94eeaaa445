import tap from 'tap';
import type * as ids from '../ids.js';
import * as simulations from './simulation.js';

const peers = ['k1', 'k2', 'k3'] as ids.PeerId[];

function startGroup(seed: number): simulations.Simulation {
	const group = new simulations.Simulation({peers, seed});
	group.run(2000);
	return group;
}

/** Fills the disks of peers; each notices with its next write. */
function fillDisks(members: readonly simulations.SimulatedPeer[]): void {
	for (const {disk} of members) {
		disk.isFull = true;
	}
}

// Guards against a leader that can store nothing and is not replaced by a peer that can.
tap.test('a leader with a full disk hands over', async (t) => {
	for (let seed = 1; seed <= 10; seed++) {
		const group = startGroup(seed);
		const former = group.leader!;
		fillDisks([former]);
		group.propose(former);
		group.run(1500);
		t.not(group.leader?.id, former.id);
		const {highestIndex} = group.checks;
		group.propose(group.leader!);
		group.run(500);
		t.ok(group.checks.highestIndex > highestIndex, 'entries are committed');
		t.equal(former.process?.role, 'follower');
		former.disk.isFull = false;
		group.run(1000);
		t.equal(former.machine.index, group.checks.highestIndex);
	}
});

// Guards against a group without a leader, and so without leases, when no peer can store entries.
tap.test('a leader stays when most disks are full', async (t) => {
	const group = startGroup(1);
	const leader = group.leader!;
	fillDisks(group.peers);
	group.propose(leader);
	t.notOk(leader.process?.isStorageExhausted, 'no disk is known to be full');
	group.run(5000);
	t.equal(group.leader?.id, leader.id);
	t.ok(leader.process?.isLeaderLeaseValid(group.readClock(leader)));
	t.ok(leader.process?.isStorageExhausted);
	const {highestIndex} = group.checks;
	for (const {disk} of group.peers) {
		disk.isFull = false;
	}

	group.run(500);
	t.notOk(leader.process?.isStorageExhausted);
	t.ok(group.checks.highestIndex > highestIndex, 'the entry is committed');
});

// Guards against a follower that takes entries into memory for as long as its disk is full.
tap.test('a follower with a full disk takes no more entries', async (t) => {
	const group = startGroup(1);
	const leader = group.leader!;
	const follower = group.peers.find((peer) => peer !== leader)!;
	fillDisks([follower]);
	group.propose(leader);
	group.run(200);
	const taken = follower.process!.lastIndex;
	for (let round = 0; round < 50; round++) {
		group.propose(leader);
		group.run(20);
	}

	t.equal(follower.process!.lastIndex, taken);
	t.equal(leader.machine.index, leader.process!.lastIndex);
	// The leader compacts in the meantime, so that the follower needs its snapshot.
	group.storeSnapshot(leader);
	group.run(500);
	t.equal(follower.process!.lastIndex, taken);
	t.equal(group.leader?.id, leader.id);
	follower.disk.isFull = false;
	group.run(1000);
	t.equal(follower.machine.index, leader.machine.index);
});

// Guards against a vote that is promised and cannot be stored, and an election that waits for it.
tap.test('a peer with a full disk neither votes nor campaigns', async (t) => {
	const group = startGroup(1);
	const leader = group.leader!;
	const [full, other] = group.peers.filter((peer) => peer !== leader);
	fillDisks([full]);
	group.propose(leader);
	group.run(200);
	const {term} = other.process!;
	group.crash(leader, 3000);
	group.run(2500);
	t.equal(group.leader, undefined);
	t.equal(other.process!.term, term, 'no term is used up without a majority');
	full.disk.isFull = false;
	group.run(1500);
	t.ok(group.leader, 'a leader is elected once there is space');
});
