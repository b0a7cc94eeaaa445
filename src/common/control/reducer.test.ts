import tap from 'tap';
import type * as ids from '../ids.js';
import type * as messages from '../messages.js';
import type * as types from '../types.js';
import * as rateBound from '../policy/rate-bound.js';
import * as consensus from '../consensus/consensus.js';
import * as network from '../consensus/fake-network.js';
import type * as consensusTypes from '../consensus/types.js';
import type * as control from './types.js';
import * as reducers from './reducer.js';
import * as simulations from './simulation.js';
import * as storageLimits from './storage-limits.js';

const peer = 'k1' as ids.PeerId;
const proxy = 'p1' as ids.PeerId;

/** Starts a group of one voter whose storage writes complete at once. */
function startSingleVoter(
	start: consensusTypes.StoredLog<control.ControlCommand> = network.makeEmptyStoredLog(),
	rateLimits?: control.RateLimitOptions,
	otherControlPeers: readonly ids.PeerId[] = [],
) {
	const reducer = new reducers.ControlReducer({
		peer,
		listControlPeers: () =>
			[peer, ...otherControlPeers].map((known) => ({
				peer: known,
				dataCentre: 'a' as ids.DataCentre,
			})),
		...(rateLimits ? {rateLimits} : {}),
		log: new consensus.Consensus<control.ControlCommand>({
			peer,
			initialVoters: [peer],
			stored: start,
			incarnation: 1,
		}),
	});
	let now = 0;
	let stored = start;
	const effects: control.ControlEffect[] = [];
	const step = (event: control.ControlEvent) => {
		for (const effect of reducer.step(event)) {
			effects.push(effect);
			if (effect.type === 'write') {
				stored = network.applyWrite(stored, effect.data);
				step({type: 'written', now, write: effect.write});
			}
		}
	};

	return {
		step,
		run(durationMs: number) {
			const end = now + durationMs;
			while (now < end) {
				now += 25;
				step({type: 'tick', now, random: 0.5});
			}
		},
		get now() {
			return now;
		},
		get stored() {
			return structuredClone(stored);
		},
		take() {
			return effects.splice(0);
		},
		change(number: number, expectedVersion: number) {
			step({
				type: 'templateChangeRequested',
				now,
				operation: number,
				change: makeChange(number, expectedVersion),
			});
			return effects
				.splice(0)
				.find((effect) => effect.type === 'answerTemplateChange')?.result;
		},
	};
}

function makeChange(
	number: number,
	expectedVersion: number,
): types.TemplateChange {
	return {
		member: 'm1' as ids.MemberId,
		text: `; change ${number}`,
		expectedVersion,
		changeId: `c${number}` as ids.ChangeId,
	};
}

function makeAnnouncement(server: string): types.VersionedAnnouncement {
	return {
		group: 'g1' as ids.GroupId,
		server: server as ids.UpstreamId,
		address: '127.0.0.1:1',
		dataCentre: 'a' as ids.DataCentre,
		role: server === 's1' ? 'primary' : 'replica',
		term: 1,
		position: 10,
		slots: 3,
		connectionLimit: 25,
		departing: false,
		startedAt: 1,
		version: 1,
	};
}

function makeRenewal(
	sequence: number,
	announcements: readonly types.VersionedAnnouncement[],
): Extract<messages.ControlMessage, {type: 'renewLease'}> {
	return {
		type: 'renewLease',
		sequence,
		dataCentre: 'a' as ids.DataCentre,
		incarnation: 1,
		draining: false,
		owned: [],
		announcements,
		templateVersions: [],
		knownIndex: 0,
	};
}

// Guards against a control peer that never grants, or that grants before its takeover is complete.
tap.test('a single voter grants ownership', async (t) => {
	const single = startSingleVoter();
	single.run(1000);
	const announcements = ['s1', 's2', 's3'].map((name) =>
		makeAnnouncement(name),
	);
	let grant: messages.PeerMessage | undefined;
	for (let sequence = 1; sequence <= 16; sequence++) {
		single.step({
			type: 'peerMessage',
			now: single.now,
			from: proxy,
			message: makeRenewal(sequence, announcements),
		});
		single.run(250);
		for (const effect of single.take()) {
			if (effect.type === 'sendPeer' && effect.to === proxy) {
				grant = effect.message;
			}
		}

		if (sequence === 2) {
			t.match(grant, {type: 'leaseGranted', owned: []});
		}
	}

	t.match(grant, {
		type: 'leaseGranted',
		sequence: 16,
		durationMs: 1500,
		owned: [{server: 's1', writeTerm: 1}, {server: 's2'}, {server: 's3'}],
		groups: [{group: 'g1', term: 1, servers: ['s1', 's2', 's3']}],
	});
});

// Guards against accepted changes that are not answered, or not pushed to the proxies.
tap.test('a template change is answered and pushed', async (t) => {
	const single = startSingleVoter();
	single.run(1000);
	single.step({
		type: 'peerMessage',
		now: single.now,
		from: proxy,
		message: makeRenewal(1, []),
	});
	single.take();
	const change = {
		member: 'm1' as ids.MemberId,
		text: '[member]\nmax_sessions = 5\n',
		expectedVersion: 0,
		changeId: 'c1' as ids.ChangeId,
	};
	const request = (operation: number, text: string) => {
		single.step({
			type: 'templateChangeRequested',
			now: single.now,
			operation,
			change: {...change, text},
		});
		return single.take();
	};

	t.match(request(1, '[member]\nmax_sessions = many\n'), [
		{type: 'answerTemplateChange', operation: 1, result: {type: 'invalid'}},
	]);
	const effects = request(2, change.text);
	t.match(
		effects.find((effect) => effect.type === 'answerTemplateChange'),
		{operation: 2, result: {type: 'accepted', version: 1}},
	);
	t.match(
		effects.find((effect) => effect.type === 'sendPeer'),
		{to: proxy, message: {type: 'templatePush', template: {version: 1}}},
	);
	t.match(request(3, change.text), [
		{operation: 3, result: {type: 'accepted', version: 1}},
	]);
});

// Guards against a configuration that is acknowledged before it is committed, or read while a newer
// one may exist.
tap.test('a configuration is read back after its commit', async (t) => {
	const single = startSingleVoter();
	const read = (operation: number) => {
		single.step({
			type: 'configurationReadRequested',
			now: single.now,
			operation,
		});
		return single
			.take()
			.find((effect) => effect.type === 'answerConfigurationRead');
	};

	t.match(read(1), {result: {type: 'unavailable'}}, 'no leader yet');
	single.run(3000);
	const configuration = {version: 3, text: 'x'};
	single.step({
		type: 'templateChangeRequested',
		now: single.now,
		operation: 2,
		change: {type: 'configuration', configuration},
	});
	t.match(
		single.take().find((effect) => effect.type === 'answerTemplateChange'),
		{operation: 2, result: {type: 'accepted', version: 3}},
	);
	t.match(read(3), {result: {type: 'read', configuration}});
});

// Guards against a restart that loses answers or template versions.
tap.test('a restart keeps the answers to 500 changes', async (t) => {
	const first = startSingleVoter();
	first.run(1000);
	for (let number = 1; number <= 500; number++) {
		t.strictSame(first.change(number, number - 1), {
			type: 'accepted',
			version: number,
		});
	}

	t.ok(first.stored.snapshot);
	t.ok(first.stored.entries.length > 0);
	const second = startSingleVoter(first.stored);
	second.run(1500);
	t.strictSame(second.change(3, 2), {type: 'accepted', version: 3});
	t.strictSame(second.change(500, 499), {type: 'accepted', version: 500});
	t.strictSame(second.change(501, 499), {
		type: 'versionConflict',
		currentVersion: 500,
	});
	t.strictSame(second.change(502, 500), {type: 'accepted', version: 501});
});

// Guards against a control peer that is no voter, does not know the leader and holds a change until
// the operator gives up.
tap.test('a peer that is no voter forwards changes', async (t) => {
	const [observer, voter] = ['k9', 'k1'] as ids.PeerId[];
	const reducer = new reducers.ControlReducer({
		peer: observer,
		log: {
			role: 'follower',
			term: 0,
			leader: undefined,
			voters: [voter],
			step: () => [],
			isLeaderLeaseValid: () => false,
			isStorageExhausted: false,
		},
	});
	const listTargets = (event: control.ControlEvent) =>
		reducer
			.step(event)
			.flatMap((effect) =>
				effect.type === 'sendPeer' && effect.message.type === 'proposeChange'
					? [effect.to]
					: [],
			);
	t.same(
		listTargets({
			type: 'templateChangeRequested',
			now: 0,
			operation: 1,
			change: makeChange(1, 0),
		}),
		[],
		'no leader is known',
	);
	t.same(
		listTargets({
			type: 'peerMessage',
			now: 25,
			from: voter,
			message: {type: 'leaderAnnounced', term: 1},
		}),
		[voter],
	);
});

// Guards against an election of which a control peer that is no voter does not hear.
tap.test('a leader announces itself to control peers', async (t) => {
	const other = 'k9' as ids.PeerId;
	const single = startSingleVoter(undefined, undefined, [other]);
	single.run(1500);
	const targets = single
		.take()
		.flatMap((effect) =>
			effect.type === 'sendPeer' && effect.message.type === 'leaderAnnounced'
				? [effect.to]
				: [],
		);
	t.same(targets, [other]);
});

function listResults(simulation: simulations.Simulation): string[] {
	return simulation.answers.map(({result}) => result.type);
}

// Guards against accepting several operators' changes of the same version.
tap.test('one of three concurrent changes is accepted', async (t) => {
	const simulation = new simulations.Simulation({seed: 4});
	simulation.run(3000);
	simulation.requestChange('k1', makeChange(1, 0));
	simulation.requestChange('k2', makeChange(2, 0));
	simulation.requestChange('k3', makeChange(3, 0));
	simulation.run(1000);
	t.strictSame(listResults(simulation).sort(), [
		'accepted',
		'versionConflict',
		'versionConflict',
	]);
	for (const [, proxy] of simulation.proxies) {
		t.equal(proxy?.templates.get('m1' as ids.MemberId)?.version, 1);
	}
});

// Guards against a change that is refused or applied twice when it is resent after a lost answer.
tap.test('a change resent to a new leader is accepted once', async (t) => {
	for (let seed = 1; seed <= 6; seed++) {
		const simulation = new simulations.Simulation({seed});
		simulation.run(3000);
		const leader = simulation.leader!;
		simulation.requestChange(leader.peer, makeChange(1, 0));
		simulation.run(seed * 5);
		simulation.crashControl(leader, 30_000);
		const other = simulation.controlIds.find((id) => id !== leader.peer)!;
		simulation.requestChange(other, makeChange(1, 0));
		simulation.run(4000);
		t.match(simulation.answers.at(-1)?.result, {type: 'accepted', version: 1});
		simulation.requestChange(other, makeChange(2, 1));
		simulation.run(1000);
		t.match(simulation.answers.at(-1)?.result, {type: 'accepted', version: 2});
	}
});

// Guards against `mayHaveRun: false` in the answer to a change that may still be accepted later.
tap.test('an unavailable answer tells if a change may have run', async (t) => {
	const simulation = new simulations.Simulation({seed: 2});
	simulation.run(3000);
	const leader = simulation.leader!;
	simulation.network.setPartition([[leader.peer]]);
	simulation.requestChange(leader.peer, makeChange(1, 0));
	simulation.run(6000);
	t.strictSame(simulation.answers[0]?.result, {
		type: 'unavailable',
		mayHaveRun: true,
	});
	// This one was never proposed or sent.
	simulation.requestChange(leader.peer, makeChange(2, 0));
	simulation.run(6000);
	t.strictSame(simulation.answers[1]?.result, {
		type: 'unavailable',
		mayHaveRun: false,
	});
	simulation.network.setPartition([]);
	simulation.run(2000);
	simulation.requestChange(leader.peer, makeChange(1, 0));
	simulation.run(1000);
	t.match(simulation.answers[2]?.result, {type: 'accepted', version: 1});
});

// Guards against a leader that grants no tokens, keeps an earlier limit, or leaves waiting requests
// without the tokens that come free later.
tap.test('the leader grants tokens of the configured limit', async (t) => {
	const single = startSingleVoter(undefined, {
		bound: rateBound.strictBound,
		parseCustomers: (text) => [
			{
				customer: 'c' as ids.CustomerId,
				keys: new Set(),
				ratePerS: Number(text),
				burst: Number(text),
			},
		],
	});
	single.run(1000);
	const setLimit = (version: number, ratePerS: number) => {
		single.step({
			type: 'templateChangeRequested',
			now: single.now,
			operation: version,
			change: {
				type: 'configuration',
				configuration: {version, text: String(ratePerS)},
			},
		});
	};

	const request = (sequence: number, waiting: number) => {
		single.step({
			type: 'peerMessage',
			now: single.now,
			from: proxy,
			message: {
				type: 'allowanceRequest',
				incarnation: 1,
				report: {
					sequence,
					received: 0,
					customers: [['c' as ids.CustomerId, 0, 0, waiting, 0]],
				},
			},
		});
	};

	const takeGranted = () =>
		single
			.take()
			.flatMap((effect) =>
				effect.type === 'sendPeer' && effect.message.type === 'allowanceGranted'
					? [effect.message.grant.customers[0][1]]
					: [],
			);

	request(1, 5);
	t.same(takeGranted(), [], 'no customer has a limit');
	setLimit(1, 100);
	request(2, 5);
	single.run(200);
	t.equal(takeGranted().at(-1), 5);
	setLimit(2, 1);
	request(3, 100);
	single.run(900);
	t.ok(takeGranted().at(-1)! < 10);
});

// Guards against changes that are accepted until no compaction fits on the disk.
tap.test('a change that makes the state too large is refused', async (t) => {
	const voter = startSingleVoter();
	voter.run(1500);
	const {stateBytes} = storageLimits.defaultLimits;
	const send = (version: number, text: string) => {
		voter.step({
			type: 'templateChangeRequested',
			now: voter.now,
			operation: version,
			change: {type: 'configuration', configuration: {version, text}},
		});
		return voter.take().find((effect) => effect.type === 'answerTemplateChange')
			?.result;
	};

	t.match(send(1, 'x'.repeat(stateBytes)), {
		type: 'invalid',
		problems: [/would take \d+ bytes; the disks .* allow \d+/v],
	});
	t.match(send(2, 'x'.repeat(stateBytes / 2)), {type: 'accepted'});
	t.match(send(3, 'x'.repeat(stateBytes)), {type: 'invalid'});
	t.match(send(4, 'x'), {type: 'accepted'});
});
