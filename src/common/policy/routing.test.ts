import * as fc from 'fast-check';
import tap from 'tap';
import type * as ids from '../ids.js';
import * as position from '../position.js';
import {OutlierDetector} from './outliers.js';
import {LeastWaitRoutingPolicy} from './routing.js';
import type {RoutingCandidate, RoutingRequest} from './types.js';

const seed = 20_261_204;

function buildCandidate(
	server: string,
	overrides: Partial<RoutingCandidate> = {},
): RoutingCandidate {
	return {
		server: server as ids.UpstreamId,
		role: 'replica',
		dataCentre: 'here' as ids.DataCentre,
		owner: 'proxy-1' as ids.PeerId,
		applied: {term: 1, offset: 100},
		stalenessMs: 200,
		expectedWaitMs: 0,
		roundTripMs: 1,
		departing: false,
		writable: false,
		reportAgeMs: 50,
		reportOverdueMs: 0,
		...overrides,
	};
}

function buildPrimary(
	overrides: Partial<RoutingCandidate> = {},
): RoutingCandidate {
	return buildCandidate('primary', {
		role: 'primary',
		writable: true,
		applied: {term: 1, offset: 150},
		stalenessMs: 0,
		...overrides,
	});
}

function buildRequest(overrides: Partial<RoutingRequest> = {}): RoutingRequest {
	return {
		group: 'g' as ids.GroupId,
		needsPrimary: false,
		rank: 'normal',
		floor: {term: 1, offset: 50},
		termStart: 0,
		stalenessMs: 1000,
		dataCentre: 'here' as ids.DataCentre,
		remainingMs: 1000,
		excluded: new Set(),
		...overrides,
	};
}

// Guards against a slow server that is used because it has no queue.
tap.test('a read avoids a server whose reads take long', async (t) => {
	const decision = new LeastWaitRoutingPolicy().chooseServer(
		buildRequest(),
		[
			buildCandidate('slow', {serviceMs: 90}),
			buildCandidate('fast', {serviceMs: 15, roundTripMs: 40}),
		],
		0,
		0,
	);
	t.same(decision, {type: 'server', server: 'fast', maxWaitMs: 46});
});

// Guards against writes that are sent to a server that cannot run them.
tap.test('writes go to the writable primary only', async (t) => {
	const policy = new LeastWaitRoutingPolicy();
	const request = buildRequest({needsPrimary: true});
	t.match(
		policy.chooseServer(
			request,
			[buildCandidate('a'), buildPrimary({expectedWaitMs: 500})],
			0,
			0,
		),
		{type: 'server', server: 'primary'},
	);
	for (const primary of [
		buildPrimary({writable: false}),
		buildPrimary({writable: false, departing: true}),
	]) {
		t.match(
			policy.chooseServer(request, [buildCandidate('a'), primary], 0, 0),
			{
				type: 'refused',
				reason: 'noPrimary',
			},
		);
	}
});

// Guards against a departing primary that gets no writes although no other server can take over.
tap.test('a departing primary gets writes while it is writable', async (t) => {
	const policy = new LeastWaitRoutingPolicy();
	const primary = buildPrimary({departing: true});
	const candidates = [buildCandidate('a'), primary];
	t.match(
		policy.chooseServer(buildRequest({needsPrimary: true}), candidates, 0, 0),
		{type: 'server', server: 'primary'},
	);
	t.match(policy.chooseServer(buildRequest({}), candidates, 0, 0), {
		type: 'server',
		server: 'a',
	});
});

// Guards against reads that cross regions although a near server is as fast.
tap.test('prefers the near server unless it is clearly slower', async (t) => {
	const policy = new LeastWaitRoutingPolicy();
	const far = buildCandidate('far', {
		dataCentre: 'there' as ids.DataCentre,
		roundTripMs: 40,
	});
	const choose = (expectedWaitMs: number) =>
		policy.chooseServer(
			buildRequest(),
			[buildCandidate('near', {expectedWaitMs}), far, buildPrimary()],
			0,
			0.5,
		);
	t.match(choose(30), {server: 'near'});
	t.match(choose(60), {server: 'far'});
});

// Guards against reads that load the primary although a replica is about to be fresh.
tap.test('waits for a replica that will be fresh soon', async (t) => {
	const policy = new LeastWaitRoutingPolicy();
	const floor = {term: 1, offset: 120};
	const choose = (now: number, stalenessMs: number) =>
		policy.chooseServer(
			buildRequest({floor}),
			[buildCandidate('a', {stalenessMs}), buildPrimary()],
			now,
			0,
		);
	t.match(choose(0, 400), {type: 'server', server: 'primary'});
	const decision = choose(200, 400);
	t.equal(decision.type, 'wait');
	t.ok(decision.type === 'wait' && decision.delayMs > 0);
	t.match(choose(500, 400), {type: 'server', server: 'primary'});
});

// Guards against reads that all go to the primary because reports are rarer in a large fleet.
tap.test(
	'a replica is expected to hold a write older than its lag',
	async (t) => {
		const policy = new LeastWaitRoutingPolicy();
		const floor = {term: 1, offset: 120};
		const choose = (now: number, reportAgeMs: number) =>
			policy.chooseServer(
				buildRequest({floor}),
				[buildCandidate('a', {stalenessMs: 100, reportAgeMs}), buildPrimary()],
				now,
				0,
			);
		choose(0, 1000);
		t.match(choose(150, 1150), {type: 'server', server: 'a'});
		t.match(
			choose(300, 100),
			{type: 'server', server: 'primary'},
			'the report is newer than the time by which it should hold the write',
		);
	},
);

// Guards against a refusal that gives the caller the wrong reason.
tap.test('refusals have the right reason', async (t) => {
	const policy = new LeastWaitRoutingPolicy();
	const choose = (
		request: Partial<RoutingRequest>,
		candidates: RoutingCandidate[],
	) => policy.chooseServer(buildRequest(request), candidates, 0, 0);
	const old = buildCandidate('a', {stalenessMs: Infinity});
	t.match(choose({}, []), {reason: 'noServer'});
	t.match(choose({}, [buildCandidate('a', {departing: true})]), {
		reason: 'noServer',
	});
	t.match(choose({}, [old]), {reason: 'tooStale'});
	t.match(choose({stalenessMs: Infinity}, [old]), {server: 'a'});
	t.match(choose({remainingMs: 0}, [old]), {reason: 'deadline'});
});

const candidateArbitrary = fc.record({
	role: fc.constant('replica' as const),
	dataCentre: fc.constantFrom('here', 'there') as fc.Arbitrary<ids.DataCentre>,
	applied: fc.record({
		term: fc.integer({min: 1, max: 2}),
		offset: fc.integer({min: 0, max: 200}),
	}),
	stalenessMs: fc.oneof(fc.integer({min: 0, max: 2000}), fc.constant(Infinity)),
	expectedWaitMs: fc.integer({min: 0, max: 300}),
	roundTripMs: fc.integer({min: 0, max: 40}),
	departing: fc.boolean(),
	writable: fc.boolean(),
});

// Guards against a read on a server that is below the session floor or staler than allowed.
tap.test('a chosen server is eligible and has the lowest cost', async (t) => {
	fc.assert(
		fc.property(
			fc.array(candidateArbitrary, {maxLength: 5}),
			fc.record({
				term: fc.integer({min: 1, max: 2}),
				offset: fc.integer({min: 0, max: 200}),
			}),
			fc.integer({min: 0, max: 1500}),
			fc.double({min: 0, max: 0.999, noNaN: true}),
			(overrides, floor, stalenessMs, random) => {
				const candidates = overrides.map((override, index) =>
					buildCandidate(`s${index}`, override),
				);
				const request = buildRequest({floor, stalenessMs, termStart: 100});
				const eligible = candidates.filter(
					(candidate) =>
						!candidate.departing &&
						(candidate.writable || candidate.stalenessMs <= stalenessMs) &&
						// The primary holds every floor of its term, whatever its last report says.
						((candidate.writable && candidate.applied.term === floor.term) ||
							position.isFloorReached(floor, candidate.applied, 100)),
				);
				const decision = new LeastWaitRoutingPolicy().chooseServer(
					request,
					candidates,
					0,
					random,
				);
				if (decision.type !== 'server') {
					if (eligible.length > 0) {
						throw new Error('refused although a server is eligible');
					}

					return;
				}

				const computeCost = (candidate: RoutingCandidate) =>
					candidate.expectedWaitMs +
					candidate.roundTripMs +
					(candidate.dataCentre === 'here' ? 0 : 5);
				const chosen = eligible.find(({server}) => server === decision.server);
				const least = Math.min(...eligible.map((one) => computeCost(one)));
				if (!chosen || computeCost(chosen) > least) {
					throw new Error('not eligible or not the cheapest');
				}
			},
		),
		{seed, numRuns: 500},
	);
	t.pass('no difference');
});

// Guards against a failing server that keeps its traffic, or a recovered one that never regains it.
tap.test('ejection times double and traffic returns gradually', async (t) => {
	const detector = new OutlierDetector();
	const server = 'a' as ids.UpstreamId;
	let now = 100_000;
	const fail = (count: number) => {
		for (let index = 0; index < count; index++) {
			detector.recordOutcome(server, 'failure', now);
		}
	};

	fail(4);
	t.equal(detector.computeTrafficShare(server, now), 1);
	fail(1);
	t.equal(detector.computeTrafficShare(server, now + 999), 0);
	t.equal(detector.computeTrafficShare(server, now + 1000), 0.1);
	t.equal(detector.computeTrafficShare(server, now + 3500), 0.5);
	t.equal(detector.computeTrafficShare(server, now + 6000), 1);
	now += 1500;
	fail(1);
	t.equal(detector.computeTrafficShare(server, now + 1999), 0);
	t.ok(detector.computeTrafficShare(server, now + 2000) > 0);
});

// Guards against overrunning the last server of a database while the ejected ones still serve most reads.
tap.test('an ejected server is used when the others are overrun', async (t) => {
	const policy = new LeastWaitRoutingPolicy();
	const grey = buildCandidate('grey');
	for (let count = 0; count < 5; count++) {
		policy.recordOutcome(grey.server, 'failure', 1, 0);
	}

	const choose = (expectedWaitMs: number) =>
		policy.chooseServer(
			buildRequest({remainingMs: 1000}),
			[grey, buildCandidate('good', {expectedWaitMs})],
			10,
			0.5,
		);
	t.match(choose(400), {server: 'good'});
	t.match(choose(600), {server: 'grey'});
});

// Guards against excluding an ejected server that is the last one, which would turn slow answers
// into no answers.
tap.test('an ejected server is used when no other is left', async (t) => {
	const policy = new LeastWaitRoutingPolicy();
	const a = buildCandidate('a');
	const b = buildCandidate('b', {expectedWaitMs: 10});
	for (let index = 0; index < 5; index++) {
		policy.recordOutcome(a.server, 'failure', 1, 0);
	}

	t.match(policy.chooseServer(buildRequest(), [a, b], 0, 0), {server: 'b'});
	t.match(policy.chooseServer(buildRequest(), [a], 0, 0), {server: 'a'});
});

// Guards against a read of the own write that waits for the next report of the primary, which comes
// after seconds in a large fleet.
tap.test('a primary serves a floor newer than its last report', async (t) => {
	const policy = new LeastWaitRoutingPolicy();
	const request = buildRequest({
		floor: {term: 1, offset: 160},
		stalenessMs: 0,
	});
	t.match(policy.chooseServer(request, [buildPrimary()], 0, 0), {
		type: 'server',
		server: 'primary',
	});
	t.match(
		policy.chooseServer(request, [buildPrimary({writable: false})], 0, 0),
		{type: 'refused', reason: 'tooStale'},
		'without the write lease, the report decides',
	);
	t.match(
		policy.chooseServer(
			{...request, floor: {term: 2, offset: 160}},
			[buildPrimary()],
			0,
			0,
		),
		{type: 'refused', reason: 'tooStale'},
		'a primary of an earlier term may lack the floor',
	);
});

// Guards against reads that wait for a replica to hold a write which their session made long ago.
tap.test('the age of a write counts from its acknowledgement', async (t) => {
	const choose = (policy: LeastWaitRoutingPolicy) =>
		policy.chooseServer(
			buildRequest({floor: {term: 1, offset: 120}}),
			[
				buildCandidate('a', {stalenessMs: 100, reportAgeMs: 2000}),
				buildPrimary(),
			],
			1000,
			0,
		);
	const policy = new LeastWaitRoutingPolicy();
	t.match(choose(policy), {type: 'wait'});
	const informed = new LeastWaitRoutingPolicy();
	informed.observeFloor('g' as ids.GroupId, {term: 1, offset: 120}, 0);
	t.match(choose(informed), {type: 'server', server: 'a'});
});
