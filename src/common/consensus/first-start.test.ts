import tap from 'tap';
import type * as ids from '../ids.js';
import * as consensus from './consensus.js';
import * as fakeNetwork from './fake-network.js';
import * as simulation from './simulation.js';
import * as timing from './timing.js';

const five = ['a', 'b', 'c', 'd', 'e'] as ids.PeerId[];
const three = five.slice(0, 3);
const [a, b, c] = three;
const restartMs = 1300;
const settleMs = 6000;

function makeGroup(
	peers: readonly ids.PeerId[],
	seed: number,
): simulation.Simulation {
	return new simulation.Simulation({peers, seed, isFirstStart: true});
}

/** Ends a minority of the peers at random times before `withinMs`; each starts again with an empty storage. */
function crashMinority(group: simulation.Simulation, withinMs: number): void {
	const crashed = group.peers.slice(0, (group.peers.length - 1) / 2);
	for (const peer of crashed) {
		group.run(group.random() * (withinMs / crashed.length));
		group.crash(peer, restartMs);
		group.clearDisk(peer);
	}
}

for (const peers of [three, five]) {
	for (let seed = 1; seed <= 10; seed++) {
		// Guards against a group that never gets a leader because a minority ended during the first start.
		tap.test(
			`${peers.length} peers, seed ${seed}: a group starts without a minority`,
			async (t) => {
				const group = makeGroup(peers, seed);
				crashMinority(group, 16);
				group.run(settleMs);
				t.ok(group.leader, 'a peer leads');
				group.propose(group.leader!);
				group.run(500);
				t.equal(group.checks.appliedCount, 1);
				t.same(group.leader?.process?.voters.toSorted(), [...peers]);
				t.same(
					group.peers.filter(({process}) => process?.isJoining !== false),
					[],
				);
			},
		);

		// Guards against a second group, which peers that have lost their disks form with a late one.
		tap.test(
			`${peers.length} peers, seed ${seed}: a minority cannot start a group`,
			async (t) => {
				const group = makeGroup(peers, seed);
				const majority = (peers.length + 1) / 2;
				for (const peer of group.peers.slice(0, majority)) {
					group.crash(peer, restartMs);
					group.clearDisk(peer);
				}

				group.run(settleMs);
				t.equal(group.leader, undefined);
			},
		);
	}
}

// Guards against a start without a late peer while it still may come.
tap.test('a late peer is waited for', async (t) => {
	const group = makeGroup(three, 1);
	group.crash(group.peers[0], 300);
	group.run(timing.firstStartGraceMs - 10);
	t.same(
		group.peers.slice(1).map(({process}) => process?.isJoining),
		[true, true],
	);
});

// Guards against a group that starts again although one of its peers may have lost its disk.
tap.test('without a certain first start, all peers are needed', async (t) => {
	const group = new simulation.Simulation({peers: three, seed: 1});
	group.crash(group.peers[0], Number.POSITIVE_INFINITY);
	group.run(settleMs);
	t.equal(group.leader, undefined);
});

// Guards against a peer that does not say what keeps it from voting.
tap.test('a peer without state tells what it waits for', async (t) => {
	const createPeer = (isDataLost: boolean) =>
		new consensus.Consensus<string>({
			peer: a,
			initialVoters: three,
			stored: {...fakeNetwork.makeEmptyStoredLog(), isDataLost},
			incarnation: 7,
		});
	const fresh = createPeer(false);
	t.same(fresh.joinWait, {type: 'firstStart', missingVoters: [b, c]});
	const reply = {type: 'joinReply', incarnation: 7} as const;
	fresh.step({type: 'message', now: 0, from: b, message: reply});
	t.same(fresh.joinWait, {type: 'firstStart', missingVoters: [c]});
	fresh.step({type: 'message', now: 0, from: c, message: reply});
	t.equal(fresh.joinWait, undefined);
	t.same(createPeer(true).joinWait, {type: 'leader'});
});
