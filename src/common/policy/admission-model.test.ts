import * as fc from 'fast-check';
import tap from 'tap';
import {assertNever} from '../assert-never.js';
import type * as ids from '../ids.js';
import * as types from '../types.js';
import {ServerAdmissionScheduler} from './admission.js';
import {buildParameters} from './testing.js';
import type {QueuedRequest} from './types.js';

const seed = 20_261_204;

type Item = {readonly id: number};

type Stream = {
	readonly rank: types.Rank;
	readonly member: string;
	readonly weight: number;
	readonly serviceMs: number;
	/** Offered slot time as a share of the server's slot time. */
	readonly demand: number;
};

type Floors = Record<types.Rank, number>;

/** Fluid model of the ranks: floors first, the rest in rank order. */
function computeRankShares(demand: Floors, floors: Floors): Floors {
	const shares: Floors = {urgent: 0, normal: 0, background: 0};
	let left = 1;
	for (const rank of types.ranks) {
		shares[rank] = Math.min(demand[rank], floors[rank]);
		left -= shares[rank];
	}

	for (const rank of types.ranks) {
		const borrowed = Math.min(left, demand[rank] - shares[rank]);
		shares[rank] += borrowed;
		left -= borrowed;
	}

	return shares;
}

/** Fluid model of the members of a rank: weighted max-min fairness by progressive filling. */
function computeMemberShares(
	streams: readonly Stream[],
	total: number,
): Map<Stream, number> {
	const shares = new Map<Stream, number>();
	let unsatisfied = [...streams];
	let left = total;
	for (;;) {
		const weight = unsatisfied.reduce((sum, stream) => sum + stream.weight, 0);
		const perWeight = left / weight;
		const satisfied = unsatisfied.filter(
			(stream) => stream.demand <= perWeight * stream.weight,
		);
		if (satisfied.length === 0) {
			for (const stream of unsatisfied) {
				shares.set(stream, (left * stream.weight) / weight);
			}

			return shares;
		}

		for (const stream of satisfied) {
			shares.set(stream, stream.demand);
			left -= stream.demand;
		}

		unsatisfied = unsatisfied.filter((stream) => !satisfied.includes(stream));
	}
}

/** Offers the requests of each stream at a constant rate and measures its share of slot time. */
function measureShares(
	streams: readonly Stream[],
	floors: Floors,
	slots: number,
): Map<Stream, number> {
	const durationMs = 6000;
	const warmupMs = 1000;
	const scheduler = new ServerAdmissionScheduler<Item>({
		slots,
		getParameters(member) {
			const weight = streams.find((stream) => stream.member === member)?.weight;
			const build = (rank: types.Rank) => ({
				floorPercent: 100 * floors[rank],
				queueLimit: 50,
				weight: weight ?? 1,
			});
			return buildParameters({
				urgent: build('urgent'),
				normal: build('normal'),
				background: build('background'),
			});
		},
	});
	const served = new Map<Stream, number>(streams.map((stream) => [stream, 0]));
	const running: Array<{at: number; request: QueuedRequest<Item>}> = [];
	const offersDue = streams.map(() => 0);
	let id = 0;
	for (let now = 0; now < durationMs; now++) {
		for (const end of running.filter(({at}) => at <= now)) {
			running.splice(running.indexOf(end), 1);
			const stream = streams.find(
				({rank, member}) =>
					rank === end.request.rank && member === end.request.member,
			)!;
			scheduler.complete(end.request, stream.serviceMs, now);
			if (now >= warmupMs) {
				served.set(stream, served.get(stream)! + stream.serviceMs);
			}
		}

		for (const [index, stream] of streams.entries()) {
			offersDue[index] += (stream.demand * slots) / stream.serviceMs;
			while (offersDue[index] >= 1) {
				offersDue[index]--;
				scheduler.offer(
					{
						member: stream.member as ids.MemberId,
						rank: stream.rank,
						enqueuedAt: now,
						deadlineAt: now + 1_000_000,
						item: {id: id++},
					},
					now,
				);
			}
		}

		while (running.length < slots) {
			const request = scheduler.take(now);
			if (!request) {
				break;
			}

			const {serviceMs} = streams.find(
				({rank, member}) => rank === request.rank && member === request.member,
			)!;
			running.push({at: now + serviceMs, request});
		}
	}

	const totalMs = (durationMs - warmupMs) * slots;
	return new Map([...served].map(([stream, ms]) => [stream, ms / totalMs]));
}

const floorsArbitrary = fc.record({
	urgent: fc.integer({min: 0, max: 8}).map((twentieths) => twentieths / 20),
	normal: fc.integer({min: 0, max: 6}).map((twentieths) => twentieths / 20),
	background: fc.integer({min: 0, max: 6}).map((twentieths) => twentieths / 20),
});

const streamsArbitrary = fc
	.uniqueArray(
		fc.record({
			rank: fc.constantFrom(...types.ranks),
			member: fc.constantFrom('a', 'b', 'c'),
			serviceMs: fc.integer({min: 2, max: 8}),
			demand: fc.integer({min: 1, max: 30}).map((tenths) => tenths / 10),
		}),
		{minLength: 1, maxLength: 6, selector: ({rank, member}) => rank + member},
	)
	.map((streams) =>
		streams.map((stream) => ({
			...stream,
			weight: {a: 1, b: 2, c: 3}[stream.member],
		})),
	);

// Guards against floors, borrowed time or member shares that differ from the fluid model.
tap.test('shares of slot time match the fluid model', async (t) => {
	fc.assert(
		fc.property(
			streamsArbitrary,
			floorsArbitrary,
			fc.integer({min: 1, max: 4}),
			(streams, floors, slots) => {
				const measured = measureShares(streams, floors, slots);
				const demand: Floors = {urgent: 0, normal: 0, background: 0};
				for (const stream of streams) {
					demand[stream.rank] += stream.demand;
				}

				const rankShares = computeRankShares(demand, floors);
				for (const rank of types.ranks) {
					const members = streams.filter((stream) => stream.rank === rank);
					for (const [stream, share] of computeMemberShares(
						members,
						rankShares[rank],
					)) {
						const difference = Math.abs(measured.get(stream)! - share);
						if (difference > 0.05) {
							throw new Error(
								`${rank} ${stream.member}: expected ${share}, measured ${measured.get(stream)}`,
							);
						}
					}
				}
			},
		),
		{seed, numRuns: 60},
	);
	t.pass('all shares are within 5 points');
});

type Operation =
	| {
			readonly type: 'offer';
			readonly rank: types.Rank;
			readonly member: string;
			readonly deadlineMs: number;
	  }
	| {readonly type: 'take'}
	| {readonly type: 'remove'; readonly pick: number}
	| {readonly type: 'wait'; readonly ms: number};

const operationArbitrary: fc.Arbitrary<Operation> = fc.oneof(
	{
		weight: 4,
		arbitrary: fc.record({
			type: fc.constant('offer' as const),
			rank: fc.constantFrom(...types.ranks),
			member: fc.constantFrom('a', 'b', 'c'),
			deadlineMs: fc.integer({min: 500, max: 5000}),
		}),
	},
	{weight: 2, arbitrary: fc.record({type: fc.constant('take' as const)})},
	{
		weight: 1,
		arbitrary: fc.record({
			type: fc.constant('remove' as const),
			pick: fc.nat(100),
		}),
	},
	{
		weight: 1,
		arbitrary: fc.record({
			type: fc.constant('wait' as const),
			ms: fc.integer({min: 1, max: 400}),
		}),
	},
);

/** Runs operations on the scheduler and on a list as the model; throws at the first difference. */
function checkAgainstList(operations: readonly Operation[]): void {
	const parameters = buildParameters({
		urgent: {floorPercent: 0, queueLimit: 8},
		normal: {floorPercent: 0, queueLimit: 8},
		background: {floorPercent: 0, queueLimit: 8},
	});
	const scheduler = new ServerAdmissionScheduler<Item>({
		slots: 2,
		getParameters: () => parameters,
	});
	let list: Array<QueuedRequest<Item>> = [];
	let now = 0;
	let id = 0;
	const check = (holds: boolean, message: string) => {
		if (!holds) {
			throw new Error(message);
		}
	};

	for (const operation of operations) {
		const at = now;
		const expired = scheduler.expire(at);
		check(
			expired.every(({deadlineAt}) => deadlineAt <= at + 10),
			'expired too early',
		);
		const queued = list.filter((request) => !expired.includes(request));
		list = queued;
		check(
			queued.every(({deadlineAt}) => deadlineAt > at),
			'kept after its deadline',
		);
		switch (operation.type) {
			case 'offer': {
				const request = {
					member: operation.member as ids.MemberId,
					rank: operation.rank,
					enqueuedAt: now,
					deadlineAt: now + operation.deadlineMs,
					item: {id: id++},
				};
				const same = list.filter(
					({member, rank}) =>
						member === request.member && rank === request.rank,
				);
				const result = scheduler.offer(request, now);
				check(
					(result.type === 'refused') === same.length >= 8,
					`offer with ${same.length} queued: ${JSON.stringify(result)}`,
				);
				if (result.type === 'queued') {
					list.push(request);
				}

				break;
			}

			case 'take': {
				const taken = scheduler.take(now);
				const rank = types.ranks.find((candidate) =>
					queued.some((request) => request.rank === candidate),
				);
				check(taken?.rank === rank, 'took another rank');
				const first = list.find(
					(request) =>
						request.rank === rank && request.member === taken?.member,
				);
				check(taken === first, 'not in arrival order of the member');
				if (taken) {
					scheduler.complete(taken, 1, now);
					list.splice(list.indexOf(taken), 1);
				}

				break;
			}

			case 'remove': {
				const [request] = list.splice(operation.pick % (list.length + 1), 1);
				check(
					scheduler.remove(request?.item ?? {id: -1}) ===
						(request !== undefined),
					'remove did not tell whether the request was queued',
				);

				break;
			}

			case 'wait': {
				now += operation.ms;
				break;
			}

			default: {
				assertNever(operation);
			}
		}

		check(scheduler.size === list.length, 'size differs from the list');
	}
}

// Guards against requests that are lost, run twice, run out of order or outlive their deadline.
tap.test('queued requests match a list model', async (t) => {
	fc.assert(
		fc.property(
			fc.array(operationArbitrary, {maxLength: 120, size: 'max'}),
			checkAgainstList,
		),
		{seed, numRuns: 300},
	);
	t.pass('no difference');
});
