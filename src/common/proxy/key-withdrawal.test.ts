import * as fc from 'fast-check';
import tap from 'tap';
import type * as ids from '../ids.js';
import * as customerFleet from '../../scenario/fleet/customer-fleet.js';
import type * as proxy from './types.js';

const get = {type: 'get', key: 'a'} as const;
const limitMs = 4000;
/** Time in which a healthy fleet has applied and confirmed a configuration. */
const recoveryMs = 2500;

type Step =
	| {readonly type: 'advance'; readonly ms: number}
	| {
			readonly type:
				| 'withdraw'
				| 'restore'
				| 'cutControl'
				| 'healControl'
				| 'freeze'
				| 'thaw'
				| 'restart';
	  }
	| {readonly type: 'request'; readonly proxy: number; readonly isNew: boolean};

const step: fc.Arbitrary<Step> = fc.oneof(
	{
		weight: 3,
		arbitrary: fc.record({
			type: fc.constant('advance' as const),
			ms: fc.integer({min: 1, max: 3000}),
		}),
	},
	{
		weight: 3,
		arbitrary: fc.record({
			type: fc.constant('request' as const),
			proxy: fc.nat(1),
			isNew: fc.boolean(),
		}),
	},
	{
		weight: 3,
		arbitrary: fc.record({
			type: fc.constantFrom(
				'withdraw' as const,
				'restore' as const,
				'cutControl' as const,
				'healControl' as const,
				'freeze' as const,
				'thaw' as const,
				'restart' as const,
			),
		}),
	},
);

/** Runs the steps; returns how many requests ran that were sent too late after their key's withdrawal. */
function countLateRuns(steps: readonly Step[], keyConfirmationLimitMs: number) {
	const fleet = new customerFleet.CustomerFleet(
		2,
		{a: ['k1', 'k2']},
		{keyConfirmationLimitMs},
	);
	const {timeline, control, proxies} = fleet;
	const sessions = [0, 1].map((proxy) => fleet.openKeyedSession(proxy, 'k1'));
	let withdrawnAt: number | undefined;
	let lateRuns = 0;
	const request = (proxy: number, isNew: boolean) => {
		const session = isNew
			? fleet.openKeyedSession(proxy, 'k1')
			: sessions[proxy];
		const isLate =
			withdrawnAt !== undefined && timeline.now - withdrawnAt > limitMs;
		proxies[proxy].send(session, get, {}, ({type}) => {
			if (type === 'answered' && isLate) {
				lateRuns++;
			}
		});
	};

	const setKeys = (keys: readonly string[]) => {
		fleet.setKeys({a: keys});
		withdrawnAt = keys.includes('k1')
			? undefined
			: (withdrawnAt ?? timeline.now);
	};

	const actions = {
		withdraw() {
			setKeys(['k2']);
		},
		restore() {
			setKeys(['k1', 'k2']);
		},
		cutControl() {
			control.condition = 'frozen';
		},
		healControl() {
			control.condition = 'up';
		},
		freeze() {
			if (proxies[0].condition === 'up') {
				proxies[0].freeze();
			}
		},
		thaw() {
			if (proxies[0].condition === 'frozen') {
				proxies[0].thaw();
			}
		},
		restart() {
			proxies[0].kill();
			proxies[0].restart();
		},
	};
	for (const current of steps) {
		if (current.type === 'advance') {
			timeline.runUntil(timeline.now + current.ms);
		} else if (current.type === 'request') {
			request(current.proxy, current.isNew);
		} else {
			actions[current.type]();
		}
	}

	actions.thaw();
	actions.healControl();
	timeline.runUntil(timeline.now + recoveryMs);
	return {fleet, lateRuns};
}

// Guards against a withdrawn key that works on a proxy which was stopped, cut off or started again, and
// against keys that stay refused after the fault.
tap.test('a withdrawn key works nowhere after the limit', async (t) => {
	fc.assert(
		fc.property(fc.array(step, {minLength: 5, maxLength: 25}), (steps) => {
			const {fleet, lateRuns} = countLateRuns(steps, limitMs);
			const answer = fleet.run(0, fleet.openKeyedSession(0, 'k2'), get);
			return lateRuns === 0 && answer.type === 'answered';
		}),
		{seed: 30, numRuns: 150},
	);
	t.throws(() => {
		fc.assert(
			fc.property(
				fc.array(step, {minLength: 5, maxLength: 25}),
				(steps) => countLateRuns(steps, Infinity).lateRuns === 0,
			),
			{seed: 30, numRuns: 150, endOnFailure: true},
		);
	}, 'the steps find a proxy that accepts keys without a limit');
});

// Guards against a refusal that says that the key is unknown, although another proxy may accept it.
tap.test('without confirmation keys are refused as not run', async (t) => {
	const fleet = new customerFleet.CustomerFleet(1, {a: ['k1']});
	const session = fleet.openKeyedSession(0, 'k1');
	t.equal(fleet.run(0, session, get).type, 'answered');
	fleet.control.condition = 'frozen';
	fleet.timeline.runUntil(fleet.timeline.now + limitMs - 1000);
	t.equal(fleet.run(0, session, get).type, 'answered');
	fleet.timeline.runUntil(fleet.timeline.now + 1500);
	t.same(fleet.run(0, session, get), {type: 'refused', sqlState: 'HK006'});
	fleet.control.condition = 'up';
	fleet.timeline.runUntil(fleet.timeline.now + recoveryMs);
	t.equal(fleet.run(0, session, get).type, 'answered');
});

const endedSession = 'a request of a session that was ended';

// Guards against a request that an adapter began before it was told of the end of its session, and that
// gets neither an answer nor a refusal.
tap.test(`${endedSession} is refused`, async (t) => {
	const fleet = new customerFleet.CustomerFleet(1, {a: ['k1', 'k2']});
	const session = fleet.openKeyedSession(0, 'k1');
	fleet.setKeys({a: ['k2']});
	fleet.timeline.runUntil(fleet.timeline.now + recoveryMs);
	const [{reducer}] = fleet.proxies;
	const buildRequest = (request: number): proxy.ProxyEvent => ({
		type: 'requestArrived',
		now: fleet.timeline.now,
		session,
		request: request as ids.RequestId,
		kind: 'read',
		attributes: {},
		payload: {frames: new Uint8Array()},
	});
	// The first refusal ends the session; the second event was under way by then.
	reducer.step(buildRequest(901));
	const effects = reducer.step(buildRequest(902));
	t.match(
		effects.filter(({type}) => type === 'refuseRequest'),
		[{type: 'refuseRequest', request: 902, message: /^not run: /v}],
		`${endedSession}: it is refused as not run`,
	);
});
