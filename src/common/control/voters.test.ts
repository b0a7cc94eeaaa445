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

function chooseVoters(
	planner: voters.VoterPlanner,
	now: number,
	others: membership.PeerState[],
	current: readonly ids.PeerId[] = [a, b, c],
): ids.PeerId[] | undefined {
	return planner.chooseVoters({
		now,
		voters: current,
		otherPeers: others,
		self: a,
		targetCount: 3,
	});
}

// Guards against a voter that is removed while nobody can take its place.
tap.test('no replacement without a spare peer', async (t) => {
	const planner = new voters.VoterPlanner();
	const others = [buildState(b, 'alive'), buildState(c, 'dead')];
	t.equal(chooseVoters(planner, 0, others), undefined);
	t.equal(chooseVoters(planner, 60_000, others), undefined);
});

// Guards against a permanently lost voter that is never replaced.
tap.test('an absent voter is replaced after 2 s', async (t) => {
	const planner = new voters.VoterPlanner();
	const others = [
		buildState(b, 'alive'),
		buildState(c, 'dead'),
		buildState(d, 'alive'),
	];
	t.equal(chooseVoters(planner, 0, others), undefined);
	t.same(chooseVoters(planner, 2000, others), [a, b, d]);
});

// Guards against replacing a voter whose absence was interrupted by a return.
tap.test('a return restarts the replacement delay', async (t) => {
	const planner = new voters.VoterPlanner();
	const build = (condition: membership.PeerCondition) => [
		buildState(b, 'alive'),
		buildState(c, condition),
		buildState(d, 'alive'),
	];
	chooseVoters(planner, 0, build('dead'));
	chooseVoters(planner, 1000, build('alive'));
	t.equal(chooseVoters(planner, 2500, build('dead')), undefined);
});

// Guards against waiting for a voter that has left and will not return.
tap.test('a voter that left is replaced at once', async (t) => {
	const planner = new voters.VoterPlanner();
	const others = [
		buildState(b, 'alive'),
		buildState(c, 'left'),
		buildState(d, 'alive'),
	];
	t.same(chooseVoters(planner, 0, others), [a, b, d]);
});

// Guards against an installation that keeps fewer voters than its fault tolerance requires.
tap.test('missing voters are added', async (t) => {
	const planner = new voters.VoterPlanner();
	const others = [buildState(b, 'alive'), buildState(c, 'alive')];
	t.same(chooseVoters(planner, 0, others, [a, b]), [a, b, c]);
	t.equal(chooseVoters(planner, 0, others, [a, b, c]), undefined);
});

// Guards against a lost voter that stays because there are more voters than intended, so that the
// majority needs one peer more than it must.
tap.test('an absent voter beyond the intended number is removed', async (t) => {
	const planner = new voters.VoterPlanner();
	const others = [
		buildState(b, 'alive'),
		buildState(c, 'dead'),
		buildState(d, 'alive'),
	];
	t.equal(chooseVoters(planner, 0, others, peers), undefined);
	t.same(chooseVoters(planner, 2000, others, peers), [a, b, d]);
});
