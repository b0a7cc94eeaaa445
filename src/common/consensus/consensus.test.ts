import tap from 'tap';
import type * as ids from '../ids.js';
import type * as types from './types.js';
import * as consensus from './consensus.js';
import * as fakeNetwork from './fake-network.js';
import * as progress from './progress.js';
import * as simulation from './simulation.js';

const [a, b, c] = ['a', 'b', 'c'] as ids.PeerId[];

function makeGroup(...peers: ids.PeerId[]): simulation.Simulation {
	return new simulation.Simulation({peers, seed: 1});
}

function makeVoter(
	peer: ids.PeerId = a,
	startedAt?: number,
): consensus.Consensus<string> {
	return new consensus.Consensus<string>({
		peer,
		initialVoters: [a, b, c],
		stored: {
			...fakeNetwork.makeEmptyStoredLog(),
			hardState: {term: 1, votedFor: undefined},
		},
		incarnation: 1,
		...(startedAt === undefined ? {} : {startedAt}),
	});
}

function makePreVote(
	from: ids.PeerId,
	now: number,
): types.ConsensusEvent<string> {
	const message = {
		type: 'preVote',
		term: 2,
		lastIndex: 0,
		lastTerm: 0,
	} as const;
	return {type: 'message', now, from, message};
}

function listTargets(
	effects: ReadonlyArray<types.ConsensusEffect<string>>,
	type: types.ConsensusMessage['type'],
): ids.PeerId[] {
	return effects.flatMap((effect) =>
		effect.type === 'send' && effect.message.type === type ? [effect.to] : [],
	);
}

function makeVote(now: number): types.ConsensusEvent<string> {
	const message = {type: 'vote', term: 2, lastIndex: 0, lastTerm: 0} as const;
	return {type: 'message', now, from: b, message};
}

// Guards against a group of one voter that waits for other voters.
tap.test('a single voter commits a proposal', async (t) => {
	const group = makeGroup(a);
	group.run(1500);
	t.equal(group.leader?.id, a);
	group.propose(group.leader!);
	group.run(100);
	t.equal(group.checks.appliedCount, 1);
});

// Guards against peers that disagree about the leader or do not apply what it commits.
tap.test('three voters agree and apply the same entries', async (t) => {
	const group = makeGroup(a, b, c);
	group.run(1500);
	const {leader} = group;
	t.ok(leader?.process?.isLeaderLeaseValid(group.readClock(leader)));
	for (let count = 0; count < 200; count++) {
		group.propose(leader!);
	}

	group.run(300);
	t.equal(group.checks.appliedCount, 200);
	t.same(
		group.peers.map((peer) => peer.process?.leader),
		group.peers.map(() => leader?.id),
	);
	t.same(
		group.peers.map((peer) => peer.machine),
		group.peers.map(() => leader?.machine),
	);
});

// Guards against a leader in a minority partition that does not step down.
tap.test('an isolated leader steps down', async (t) => {
	const group = makeGroup(a, b, c);
	group.run(1500);
	const old = group.leader!;
	const others = group.peers.filter((peer) => peer !== old);
	group.network.setPartition([[old.id], others.map((peer) => peer.id)]);
	const lost = group.propose(old);
	group.run(2000);
	t.not(old.process?.role, 'leader');
	t.ok(others.includes(group.leader!));
	group.propose(group.leader!);
	group.network.setPartition([]);
	group.run(1000);
	t.equal(
		group.checks.appliedCount,
		1,
		'only the proposal to the new leader is applied',
	);
	t.equal(lost, 1);
	t.equal(old.machine.index, group.leader?.machine.index);
});

// Guards against a vote that is sent before it is synced, so that a crash can undo it.
tap.test('a vote is sent only after it is synced', async (t) => {
	const voter = makeVoter();
	voter.step({type: 'tick', now: 0, random: 0.9});
	const effects = voter.step(makeVote(400));
	t.notOk(effects.some((effect) => effect.type === 'send'));
	const write = effects.find((effect) => effect.type === 'write');
	t.same(write?.data.hardState, {term: 2, votedFor: b});
	const later = voter.step({type: 'written', now: 401, write: write!.write});
	t.match(later, [{type: 'send', to: b, message: {granted: true}}]);
});

// Guards against a restarted voter that helps to replace a leader whose lease is still valid.
tap.test('a voter ignores vote requests just after its start', async (t) => {
	const voter = makeVoter();
	voter.step({type: 'tick', now: 0, random: 0.9});
	t.same(voter.step(makeVote(299)), []);
	t.equal(voter.term, 1);
});

// Guards against a follower that reports a wrong outcome for a proposal that it rejects.
tap.test('a follower reports a proposal as not run', async (t) => {
	const follower = makeVoter();
	t.same(follower.step({type: 'propose', now: 0, proposal: 7, command: 'x'}), [
		{type: 'proposalLost', proposal: 7, mayHaveRun: false},
		{type: 'roleChanged', role: 'follower', term: 1, leader: undefined},
	]);
});

// Guards against a peer that acknowledges entries although it lost ones that it had acknowledged, and
// against a leader that does not hear that the peer has to be added again.
tap.test('a joining peer accepts no append to other instances', async (t) => {
	const joining = new consensus.Consensus<string>({
		peer: a,
		initialVoters: [a, b, c],
		stored: fakeNetwork.makeEmptyStoredLog(),
		incarnation: 5,
	});
	const append = {
		type: 'append',
		term: 2,
		previousIndex: 0,
		previousTerm: 0,
		entries: [],
		commitIndex: 0,
		round: 1,
	} as const;
	for (const joiningField of [{}, {joining: 4}]) {
		const message = {...append, ...joiningField};
		const event = {type: 'message', now: 1, from: b, message} as const;
		t.same(
			joining.step(event).filter(({type}) => type === 'send'),
			[{type: 'send', to: b, message: {type: 'joinRequest', incarnation: 5}}],
		);
	}

	const message = {...append, joining: 5};
	t.match(joining.step({type: 'message', now: 2, from: b, message}), [
		{type: 'send', to: b, message: {type: 'appendReply', success: true}},
	]);
});

// Guards against a reply from before the loss of a disk that counts for the peer after its return.
tap.test('replies from before the reset of a peer do not count', async (t) => {
	const record = new progress.Progress(10, 7);
	const reply = {success: true, matchIndex: 9};
	t.notOk(record.applyReply({...reply, round: 6}, 100));
	t.equal(record.matchIndex, 0);
	t.equal(record.lastAckedSentAt, Number.NEGATIVE_INFINITY);
	t.ok(record.applyReply({...reply, round: 7}, 100));
	t.equal(record.matchIndex, 9);
});

// Guards against two peers that campaign at the same time, vote for themselves and both lose.
tap.test('of two simultaneous campaigns, the lower id continues', async (t) => {
	const first = makeVoter(a, 0);
	const second = makeVoter(b, 0);
	for (const voter of [first, second]) {
		voter.step({type: 'tick', now: 700, random: 0.5});
		t.equal(voter.role, 'candidate');
	}

	t.same(listTargets(first.step(makePreVote(b, 710)), 'preVoteReply'), []);
	t.equal(first.role, 'candidate');
	t.same(listTargets(second.step(makePreVote(a, 710)), 'preVoteReply'), [a]);
	t.equal(second.role, 'follower');
});

// Guards against a peer that blocks the election of others while its own requests do not arrive.
tap.test('a candidate without replies grants other pre-votes', async (t) => {
	const voter = makeVoter(a, 0);
	voter.step({type: 'tick', now: 700, random: 0.5});
	t.same(listTargets(voter.step(makePreVote(b, 900)), 'preVoteReply'), [b]);
});

// Guards against an election timeout that starts with the first event after a slow start.
tap.test('the election timeout runs from the process start', async (t) => {
	const late = makeVoter(a, 0);
	late.step({type: 'tick', now: 700, random: 0.5});
	t.equal(late.role, 'candidate');
	const early = makeVoter(a, 0);
	early.step({type: 'tick', now: 200, random: 0});
	t.equal(early.role, 'follower', 'it may have answered a leader before');
});

// Guards against a campaign that began before its links connected and waits for the next timeout.
tap.test('a voter that connects gets the pre-vote request again', async (t) => {
	const voter = makeVoter(a, 0);
	voter.step({type: 'tick', now: 700, random: 0.5});
	const effects = voter.step({type: 'peerConnected', now: 710, peer: c});
	t.same(listTargets(effects, 'preVote'), [c]);
});

// Guards against a leader that takes changes without limit into memory, and later onto its disk, while
// none of them is committed.
tap.test('the size of uncommitted entries is bounded', async (t) => {
	const leader = new consensus.Consensus<string>({
		peer: a,
		initialVoters: [a],
		stored: {
			...fakeNetwork.makeEmptyStoredLog(),
			hardState: {term: 1, votedFor: undefined},
		},
		incarnation: 1,
		maxPendingBytes: 1000,
	});
	const writes: number[] = [];
	const outcomes: string[] = [];
	const step = (event: types.ConsensusEvent<string>) => {
		for (const effect of leader.step(event)) {
			if (effect.type === 'write') {
				writes.push(effect.write);
			} else if (
				effect.type === 'applied' &&
				effect.entry.payload.type === 'command'
			) {
				outcomes.push(`applied ${effect.proposal}`);
			} else if (effect.type === 'proposalLost') {
				outcomes.push(`lost ${effect.proposal} ${effect.mayHaveRun}`);
			}
		}
	};

	const sync = (now: number) => {
		for (const write of writes.splice(0)) {
			step({type: 'written', now, write});
		}
	};

	const propose = (proposal: number, bytes: number) => {
		const command = 'x'.repeat(bytes);
		step({type: 'propose', now: 1000, proposal, command});
	};

	for (let now = 0; now < 1000; now += 25) {
		step({type: 'tick', now, random: 0});
		sync(now);
	}

	propose(1, 5000);
	propose(2, 100);
	sync(1000);
	propose(3, 400);
	propose(4, 400);
	propose(5, 400);
	sync(1000);
	t.same(outcomes, [
		'lost 2 false',
		'applied 1',
		'lost 5 false',
		'applied 3',
		'applied 4',
	]);
});
