import tap from 'tap';
import type * as ids from '../ids.js';
import type * as types from '../types.js';
import * as machines from './machine.js';
import * as retainedChanges from './retained-changes.js';

const member = 'm1' as ids.MemberId;
const group = 'g1' as ids.GroupId;
const [s1, s2, s3] = ['s1', 's2', 's3'] as unknown as [
	ids.UpstreamId,
	ids.UpstreamId,
	ids.UpstreamId,
];

function makeChange(
	number: number,
	expectedVersion: number,
	text = `; ${number}`,
): types.TemplateChange {
	return {
		member,
		text,
		expectedVersion,
		changeId: `c${number}` as ids.ChangeId,
	};
}

function applyChange(
	machine: machines.ControlMachine,
	change: types.TemplateChange,
) {
	return machine.apply(machine.appliedIndex + 1, {
		type: 'changeTemplate',
		change,
	});
}

// Guards against two accepted changes with the same version.
tap.test('one of two changes to the same version is accepted', async (t) => {
	const machine = new machines.ControlMachine();
	t.strictSame(applyChange(machine, makeChange(1, 0, 'a')), {
		type: 'accepted',
		version: 1,
	});
	t.strictSame(applyChange(machine, makeChange(2, 0, 'b')), {
		type: 'versionConflict',
		currentVersion: 1,
	});
	t.equal(machine.getTemplate(member)?.text, 'a');
});

// Guards against a return to a lower version, and against a new text under the version in force.
tap.test('the highest configuration version is in force', async (t) => {
	const machine = new machines.ControlMachine();
	const apply = (version: number, text: string) =>
		machine.apply(machine.appliedIndex + 1, {
			type: 'setConfiguration',
			configuration: {version, text},
		});
	t.match(apply(7, 'a'), {type: 'accepted'});
	t.match(apply(5, 'old'), {type: 'accepted'});
	t.match(apply(7, 'other'), {type: 'accepted'});
	t.strictSame(machine.configuration, {version: 7, text: 'a'});
	t.match(machine.findConfigurationAnswer({version: 7, text: 'a'}), {
		type: 'accepted',
	});
	t.equal(machine.findConfigurationAnswer({version: 8, text: 'b'}), undefined);
});

// Guards against a restart that loses the configuration or the lease holders.
tap.test('a snapshot keeps configuration and lease holders', async (t) => {
	const machine = new machines.ControlMachine();
	const peer = 'p1' as ids.PeerId;
	machine.apply(1, {
		type: 'setConfiguration',
		configuration: {version: 7, text: 'a'},
	});
	machine.apply(2, {type: 'addLeaseHolder', peer});
	const restored = new machines.ControlMachine();
	restored.restore(structuredClone(machine.buildState()));
	t.strictSame(restored.configuration, machine.configuration);
	t.ok(restored.leaseHolders.has(peer));
	restored.apply(3, {type: 'removeLeaseHolder', peer});
	t.notOk(restored.leaseHolders.has(peer));
});

// Guards against a resent change that is applied again, or refused after it was accepted.
tap.test('a resent change gets its first answer', async (t) => {
	const machine = new machines.ControlMachine();
	const first = applyChange(machine, makeChange(1, 0));
	const conflict = applyChange(machine, makeChange(2, 0));
	applyChange(machine, makeChange(3, 1));
	t.strictSame(applyChange(machine, makeChange(1, 0)), first);
	t.strictSame(applyChange(machine, makeChange(2, 0)), conflict);
	t.equal(machine.getTemplate(member)?.version, 2);
	t.strictSame(
		machine.listHistory(member).map(({version}) => version),
		[1, 2],
	);
	const other = {...makeChange(1, 0), member: 'm2' as ids.MemberId};
	t.strictSame(applyChange(machine, other), {type: 'accepted', version: 1});
});

// Guards against losing an answer within 10,000 later changes or in a snapshot, and against unbounded
// memory.
tap.test('the latest answers are kept, also in a snapshot', async (t) => {
	const machine = new machines.ControlMachine();
	const {maxRetainedChanges} = retainedChanges;
	for (let number = 0; number < maxRetainedChanges + 5; number++) {
		applyChange(machine, makeChange(number, number));
	}

	const restored = new machines.ControlMachine();
	restored.restore(structuredClone(machine.buildState()));
	t.strictSame(restored.buildState(), machine.buildState());
	t.equal(restored.listHistory(member).length, maxRetainedChanges);
	t.equal(machine.findAnswer(member, 'c4' as ids.ChangeId), undefined);
	const newest = maxRetainedChanges + 4;
	const oldest = `c${newest - 10_000}` as ids.ChangeId;
	t.strictSame(restored.findAnswer(member, oldest), {
		type: 'accepted',
		version: newest - 10_000 + 1,
	});
});

// Guards against a state that grows with the number of changes times their size.
tap.test('old texts are dropped, their answers are kept', async (t) => {
	const machine = new machines.ControlMachine();
	const count = 100;
	const text = 'é'.repeat(50_000);
	for (let number = 0; number < count; number++) {
		applyChange(machine, {...makeChange(number, number), text});
	}

	const {changes} = machine.buildState();
	const kept = changes.filter((change) => change.text !== undefined);
	t.equal(kept.length, 20, 'texts of 2 MiB');
	t.equal(changes.length, count);
	t.match(machine.listHistory(member), [{version: count - 19, text}]);
	t.match(machine.findAnswer(member, 'c0' as ids.ChangeId), {version: 1});
	const restored = new machines.ControlMachine();
	restored.restore(structuredClone(machine.buildState()));
	applyChange(machine, {...makeChange(count, count), text});
	applyChange(restored, {...makeChange(count, count), text});
	t.strictSame(restored.buildState(), machine.buildState());
});

function makeGroup(): machines.ControlMachine {
	const machine = new machines.ControlMachine();
	machine.apply(1, {
		type: 'registerGroup',
		group,
		primary: s1,
		term: 1,
		termStart: 0,
	});
	machine.apply(2, {type: 'addServer', group, server: s2});
	machine.apply(3, {type: 'addServer', group, server: s3});
	return machine;
}

// Guards against an old leader's promotion that completes after a newer one began.
tap.test('only the newest promotion completes', async (t) => {
	const machine = makeGroup();
	const begin = (term: number) =>
		({type: 'beginPromotion', group, term, planned: false}) as const;
	const complete = (term: number, primary: ids.UpstreamId) =>
		({
			type: 'completePromotion',
			group,
			term,
			primary,
			termStart: 7,
		}) as const;
	machine.apply(4, begin(2));
	machine.apply(5, begin(2));
	t.equal(machine.getGroup(group)?.changedAt, 4);
	machine.apply(6, begin(3));
	machine.apply(7, complete(2, s2));
	t.match(machine.getGroup(group), {term: 1, primary: s1, changedAt: 6});
	machine.apply(8, {type: 'addServer', group, server: 's4' as ids.UpstreamId});
	machine.apply(9, complete(3, s3));
	machine.apply(10, begin(3));
	t.match(machines.buildGroupView(machine.getGroup(group)!), {
		term: 3,
		termStart: 7,
		primary: s3,
		servers: [s1, s2, s3],
		promoting: false,
	});
});

// Guards against a set that shrinks below a majority or loses its primary.
tap.test('a removal keeps the primary and a majority of the set', async (t) => {
	const machine = makeGroup();
	machine.apply(4, {type: 'removeServer', group, server: s1});
	machine.apply(5, {type: 'removeServer', group, server: s3});
	machine.apply(6, {type: 'removeServer', group, server: s2});
	t.strictSame(machine.getGroup(group)?.servers, [s1, s2]);
	t.equal(machine.findGroupByServer(s3), undefined);
	t.equal(machine.findGroupByServer(s2)?.group, group);
});
