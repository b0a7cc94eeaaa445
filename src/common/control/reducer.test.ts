import tap from 'tap';
import type * as ids from '../ids.js';
import type * as messages from '../messages.js';
import type * as types from '../types.js';
import * as consensus from '../consensus/consensus.js';
import type * as control from './types.js';
import * as reducers from './reducer.js';

const peer = 'k1' as ids.PeerId;
const proxy = 'p1' as ids.PeerId;

/** A single voter whose writes complete at once. */
function startSingle() {
	const reducer = new reducers.ControlReducer({
		peer,
		log: new consensus.Consensus<control.ControlCommand>({
			peer,
			initialVoters: [peer],
			stored: {
				hardState: {term: 0, votedFor: undefined},
				snapshot: undefined,
				entries: [],
			},
			incarnation: 1,
		}),
	});
	let now = 0;
	const effects: control.ControlEffect[] = [];
	const step = (event: control.ControlEvent) => {
		for (const effect of reducer.step(event)) {
			effects.push(effect);
			if (effect.type === 'write') {
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
		take() {
			return effects.splice(0);
		},
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

// Guards against a control peer that never grants, or grants before the takeover period is over.
tap.test('a single voter grants ownership', async (t) => {
	const single = startSingle();
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
	const single = startSingle();
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
