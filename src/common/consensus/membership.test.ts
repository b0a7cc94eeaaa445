import tap from 'tap';
import type * as ids from '../ids.js';
import type * as types from './types.js';
import * as simulation from './simulation.js';
import * as timing from './timing.js';

const [a, b, c, d] = ['a', 'b', 'c', 'd'] as ids.PeerId[];

function makeGroup(
	peers: ids.PeerId[],
	initialVoters = peers,
): simulation.Simulation {
	const group = new simulation.Simulation({peers, initialVoters, seed: 3});
	group.run(1500);
	return group;
}

function proposeMany(group: simulation.Simulation, count: number): void {
	for (let proposed = 0; proposed < count; proposed++) {
		group.propose(group.leader!);
	}
}

function getFollowers(
	group: simulation.Simulation,
): simulation.SimulatedPeer[] {
	const {leader} = group;
	return group.peers.filter((peer) => peer !== leader);
}

/** Passes every message that is sent from now on to an observer. */
function observeMessages(
	group: simulation.Simulation,
	observe: (message: types.ConsensusMessage) => void,
): void {
	const {network} = group;
	const send = network.send.bind(network);
	network.send = (now, from, to, message) => {
		observe(message);
		send(now, from, to, message);
	};
}

/** Collects the configurations that the leaders append, each as `voters+learners`. */
function listChanges(group: simulation.Simulation): Set<string> {
	const changes = new Set<string>();
	observeMessages(group, (message) => {
		for (const {payload} of message.type === 'append' ? message.entries : []) {
			if (payload.type === 'voters') {
				const {voters, learners = []} = payload;
				changes.add(`${voters.toSorted().join('')}+${learners.join('')}`);
			}
		}
	});
	return changes;
}

// Guards against a peer that votes although it lost its earlier votes and entries with its disk.
tap.test('a peer with a lost disk does not vote', async (t) => {
	const group = makeGroup([a, b, c]);
	proposeMany(group, 5);
	group.run(200);
	const old = group.leader!;
	const [lost, other] = getFollowers(group) as [
		simulation.SimulatedPeer,
		simulation.SimulatedPeer,
	];
	group.crash(lost, 0);
	group.clearDisk(lost);
	group.crash(old, 4000);
	group.run(3000);
	t.ok(lost.process?.isJoining);
	t.equal(group.leader, undefined, 'one voter with state is no majority');
	group.run(4000);
	t.ok(group.leader);
	t.notOk(lost.process?.isJoining);
	t.equal(lost.machine.index, other.machine.index);
});

// Guards against a returning peer that counts before it has caught up, and two changes at once.
tap.test('a peer with a lost disk is added again', async (t) => {
	const group = makeGroup([a, b, c]);
	proposeMany(group, 5);
	group.run(200);
	const changes = listChanges(group);
	const lost = getFollowers(group)[0];
	const rest = [a, b, c].filter((peer) => peer !== lost.id).join('');
	group.crash(lost, 0);
	group.clearDisk(lost);
	group.run(2000);
	t.same([...changes], [`${rest}+${lost.id}`, 'abc+']);
	t.notOk(lost.process?.isJoining);
	t.same(lost.machine, group.leader!.machine);
	t.match(lost.disk.load().hardState, {votedFor: group.leader!.id});
});

// Guards against a healthy voter that is removed, and a group that bears fewer lost disks, because a request
// of its join arrives after the log was compacted.
tap.test(
	'a late join request removes no voter after a compaction',
	async (t) => {
		const group = makeGroup([a, b, c]);
		proposeMany(group, 5);
		group.run(200);
		const lost = getFollowers(group)[0];
		const requests: types.ConsensusMessage[] = [];
		const {send} = group.network;
		group.network.send = (now, from, to, message) => {
			if (message.type === 'joinRequest') {
				requests.push(message);
			}

			send.call(group.network, now, from, to, message);
		};

		group.crash(lost, 0);
		group.clearDisk(lost);
		group.run(2000);
		const changes = listChanges(group);
		for (const peer of group.peers) {
			group.storeSnapshot(peer);
		}

		group.run(100);
		const [request] = requests;
		for (const {id} of group.peers) {
			group.network.send(group.now, lost.id, id, request);
		}

		proposeMany(group, 5);
		group.run(1000);
		t.same([...changes], []);
		t.same(group.leader!.process!.voters.toSorted(), [a, b, c]);
	},
);

// Guards against peers of an existing group that bootstrap a second group.
tap.test('a majority with lost disks does not bootstrap a group', async (t) => {
	const group = makeGroup([a, b, c]);
	proposeMany(group, 5);
	group.run(200);
	for (const peer of getFollowers(group)) {
		group.crash(peer, 0);
		group.clearDisk(peer);
	}

	group.run(5000);
	t.equal(group.leader, undefined);
	const joining = group.peers.filter((peer) => peer.process?.isJoining);
	t.equal(joining.length, 2);
});

// Guards against several voter changes at once, and a removed leader that keeps leading.
tap.test('voters change one at a time', async (t) => {
	const group = makeGroup([a, b, c, d], [a, b, c]);
	const changes = listChanges(group);
	const old = group.leader!;
	const wanted = [a, b, c, d].filter((peer) => peer !== old.id);
	group.changeVoters(old, wanted);
	group.run(3000);
	t.same([...changes], ['abc+d', 'abcd+', `${wanted.join('')}+`]);
	t.not(group.leader?.id, old.id);
	t.same(group.leader?.process?.voters.toSorted(), wanted);
	proposeMany(group, 1);
	group.run(200);
	t.equal(group.checks.appliedCount, 1);
});

// Guards against a removed peer that stops campaigning although only it can commit its removal.
tap.test('a removed leader commits its removal', async (t) => {
	const group = makeGroup([a, b]);
	const old = group.leader!;
	const other = getFollowers(group)[0];
	group.network.setLinkCut(old.id, other.id, true);
	group.changeVoters(old, [other.id]);
	group.run(1500);
	t.not(old.process?.role, 'leader', 'it cannot reach the other voter');
	group.network.setLinkCut(old.id, other.id, false);
	group.run(3000);
	t.equal(group.leader, other);
	t.same(other.process?.voters, [other.id]);
});

// Guards against a lagging peer that never gets the entries that the leader has compacted.
tap.test('a lagging peer gets a snapshot', async (t) => {
	const group = makeGroup([a, b, c]);
	const behind = getFollowers(group)[0];
	const others = [a, b, c].filter((peer) => peer !== behind.id);
	group.network.setPartition([[behind.id], others]);
	proposeMany(group, 50);
	group.run(500);
	group.storeSnapshot(group.leader!);
	const sentTypes = new Set<string>();
	observeMessages(group, ({type}) => {
		sentTypes.add(type);
	});
	group.network.setPartition([]);
	group.run(1500);
	t.ok(sentTypes.has('installSnapshot'));
	t.same(behind.machine, group.leader?.machine);
	t.ok(behind.disk.load().snapshot);
	group.crash(behind, 0);
	group.run(1000);
	t.same(behind.machine, group.leader?.machine, 'also after a restart');
});

// Guards against appends that grow with the length of the log.
tap.test('the number of entries in an append is bounded', async (t) => {
	const group = makeGroup([a, b, c]);
	let largest = 0;
	let messages = 0;
	observeMessages(group, (message) => {
		const count = message.type === 'append' ? message.entries.length : 0;
		largest = Math.max(largest, count);
		messages += count > 0 ? 1 : 0;
	});
	proposeMany(group, 1000);
	group.run(500);
	t.equal(group.checks.appliedCount, 1000);
	t.equal(largest, timing.maxAppendEntries);
	t.ok(messages < 100, 'entries share messages');
});
