import tap from 'tap';
import type * as ids from '../ids.js';
import type * as types from '../types.js';
import {ServerAdmissionScheduler} from './admission.js';
import {buildLookup, buildParameters, type RankOverrides} from './testing.js';
import type {QueuedRequest} from './types.js';

type Item = {readonly id: number};

let nextId = 0;

function buildRequest(
	rank: types.Rank,
	deadlineAt: number,
	member = 'a',
): QueuedRequest<Item> {
	return {
		member: member as ids.MemberId,
		rank,
		enqueuedAt: 0,
		deadlineAt,
		item: {id: nextId++},
	};
}

function buildScheduler(
	overrides: RankOverrides = {},
	slots = 1,
): ServerAdmissionScheduler<Item> {
	return new ServerAdmissionScheduler<Item>({
		slots,
		getParameters: buildLookup({
			a: buildParameters(overrides),
			b: buildParameters(overrides),
		}),
	});
}

const noFloors: RankOverrides = {
	urgent: {floorPercent: 0},
	normal: {floorPercent: 0},
	background: {floorPercent: 0},
};

// Guards against background requests that run before queued urgent ones.
tap.test('requests are taken in order of urgency', async (t) => {
	const scheduler = buildScheduler(noFloors);
	for (const rank of ['background', 'normal', 'urgent'] as const) {
		t.equal(scheduler.offer(buildRequest(rank, 1000), 0).type, 'queued');
	}

	const order = [0, 0, 0].map((now) => scheduler.take(now)?.rank);
	t.same(order, ['urgent', 'normal', 'background']);
	t.equal(scheduler.take(0), undefined);
});

// Guards against a queue that grows without bound under overload.
tap.test('the queue limit applies per member and rank', async (t) => {
	const scheduler = buildScheduler({urgent: {queueLimit: 2}});
	const offer = (rank: types.Rank, member: string) =>
		scheduler.offer(buildRequest(rank, 1000, member), 0);
	offer('urgent', 'a');
	offer('urgent', 'a');
	t.same(offer('urgent', 'a'), {type: 'refused', reason: 'queueFull'});
	t.equal(offer('urgent', 'b').type, 'queued');
	t.equal(offer('normal', 'a').type, 'queued');
});

// Guards against queueing requests that can only end after their deadline.
tap.test('refuses requests that cannot finish by their deadline', async (t) => {
	const scheduler = buildScheduler();
	for (let index = 0; index < 20; index++) {
		scheduler.offer(buildRequest('normal', 1000), 0);
		const taken = scheduler.take(0)!;
		scheduler.complete(taken, 10, 0);
	}

	scheduler.offer(buildRequest('normal', 1000), 0);
	scheduler.take(0);
	for (let index = 0; index < 5; index++) {
		scheduler.offer(buildRequest('normal', 1000), 0);
	}

	t.same(scheduler.offer(buildRequest('normal', 20), 0), {
		type: 'refused',
		reason: 'deadline',
	});
	t.ok(scheduler.estimateWait('normal', 0) >= 40);
	t.equal(scheduler.offer(buildRequest('normal', 500), 0).type, 'queued');
});

// Guards against using slots for requests whose caller no longer waits.
tap.test('expired requests are reported once and not taken', async (t) => {
	const scheduler = buildScheduler();
	const late = buildRequest('normal', 10);
	scheduler.offer(late, 0);
	const other = buildRequest('normal', 100);
	scheduler.offer(other, 0);
	t.equal(scheduler.take(20), other);
	t.same(scheduler.expire(20), [late]);
	t.same(scheduler.expire(20), []);
	t.equal(scheduler.size, 0);
});

// Guards against running a cancelled request.
tap.test('a removed request is not taken', async (t) => {
	const scheduler = buildScheduler();
	const request = buildRequest('normal', 100);
	scheduler.offer(request, 0);
	t.ok(scheduler.remove(request.item));
	t.notOk(scheduler.remove(request.item));
	t.equal(scheduler.take(0), undefined);
	t.equal(scheduler.size, 0);
});

// Guards against an estimate above every deadline that never gets a sample to correct it.
tap.test('no estimate refuses a request for an idle server', async (t) => {
	const scheduler = buildScheduler();
	scheduler.offer(buildRequest('normal', 10_000), 0);
	scheduler.complete(scheduler.take(0)!, 9000, 9000);
	let now = 9000;
	let taken: QueuedRequest<Item> | undefined;
	for (let index = 0; index < 20 && !taken; index++) {
		now += 1000;
		const result = scheduler.offer(buildRequest('normal', now + 100), now);
		t.equal(result.type, 'queued');
		taken = scheduler.take(now);
	}

	t.ok(taken);
});

// Guards against shares that are lost when a flow expires while its statement runs.
tap.test('a statement may outlast its flow', async (t) => {
	const scheduler = buildScheduler();
	scheduler.offer(buildRequest('normal', 60_000), 0);
	const long = scheduler.take(0)!;
	scheduler.take(20_000);
	scheduler.complete(long, 21_000, 21_000);
	const later = ['a', 'b'].map((member) =>
		buildRequest('normal', 900_000, member),
	);
	for (const request of later) {
		t.equal(scheduler.offer(request, 22_000).type, 'queued');
	}

	t.same([scheduler.take(22_000), scheduler.take(22_000)], later);
	t.ok(Number.isFinite(scheduler.estimateWait('normal', 22_000)));
});
