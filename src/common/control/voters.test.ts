import tap from 'tap';
import type * as ids from '../ids.js';
import type * as membership from '../membership/types.js';
import * as voters from './voters.js';

const peers = ['a', 'b', 'c', 'd'] as ids.PeerId[];
const [a, b, c, d] = peers;

function buildState(
	peer: ids.PeerId,
	condition: membership.PeerCondition,
): membership.PeerState {
	return {
		peer,
		role: 'control',
		address: '',
		dataCentre: 'x' as ids.DataCentre,
		incarnation: 1,
		condition,
	};
}

function choose(
	planner: voters.VoterPlanner,
	now: number,
	others: membership.PeerState[],
	present: readonly ids.PeerId[] = [a, b, c],
): ids.PeerId[] | undefined {
	return planner.chooseVoters({
		now,
		voters: present,
		otherPeers: others,
		self: a,
		targetCount: 3,
	});
}

// Guards against a voter that is removed while nobody can take its place.
tap.test('no replacement without a spare peer', async (t) => {
	const planner = new voters.VoterPlanner();
	const others = [buildState(b, 'alive'), buildState(c, 'dead')];
	t.equal(choose(planner, 0, others), undefined);
	t.equal(choose(planner, 60_000, others), undefined);
});

// Guards against a voter that is gone for good and never replaced.
tap.test('a gone voter is replaced after a while', async (t) => {
	const planner = new voters.VoterPlanner();
	const others = [
		buildState(b, 'alive'),
		buildState(c, 'dead'),
		buildState(d, 'alive'),
	];
	t.equal(choose(planner, 0, others), undefined);
	t.same(choose(planner, 2000, others), [a, b, d]);
});

// Guards against a voter that is replaced although it came back meanwhile.
tap.test('a return starts the time anew', async (t) => {
	const planner = new voters.VoterPlanner();
	const build = (condition: membership.PeerCondition) => [
		buildState(b, 'alive'),
		buildState(c, condition),
		buildState(d, 'alive'),
	];
	choose(planner, 0, build('dead'));
	choose(planner, 1000, build('alive'));
	t.equal(choose(planner, 2500, build('dead')), undefined);
});

// Guards against a planned replacement that waits as if the voter could return.
tap.test('a voter that left is replaced at once', async (t) => {
	const planner = new voters.VoterPlanner();
	const others = [
		buildState(b, 'alive'),
		buildState(c, 'left'),
		buildState(d, 'alive'),
	];
	t.same(choose(planner, 0, others), [a, b, d]);
});

// Guards against an installation that stays at fewer voters than its losses require.
tap.test('missing voters are added', async (t) => {
	const planner = new voters.VoterPlanner();
	const others = [buildState(b, 'alive'), buildState(c, 'alive')];
	t.same(choose(planner, 0, others, [a, b]), [a, b, c]);
	t.equal(choose(planner, 0, others, [a, b, c]), undefined);
});
