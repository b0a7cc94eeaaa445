/**
 * Replays generated arrivals against the admission scheduler of one server, without a network. Each
 * caller sends one request and sends it again after a refusal, as the clients of the platform do.
 */
import type * as ids from '../common/ids.js';
import * as admission from '../common/policy/admission.js';
import type * as policy from '../common/policy/types.js';
import type * as types from '../common/types.js';
import * as random from './random.js';

/** Interval at which an owner removes expired requests. */
const tickMs = 20;
/** Callers return after a random time up to this. */
const maxRetryDelayMs = 200;

/** Requests of one customer and kind within a span of time. */
export type ReplayStream = {
	readonly customer?: string;
	readonly member: string;
	readonly rank: types.Rank;
	readonly perSecond: number;
	readonly meanServiceMs: number;
	/** Time that one attempt may take. */
	readonly timeoutMs: number;
	/** Time from the first attempt within which an answer counts as on time. */
	readonly targetMs: number;
	readonly retries: number;
	readonly fromMs: number;
	readonly untilMs: number;
};

export type ReplayTally = {
	callers: number;
	served: number;
	onTime: number;
	/** Attempts that were refused when they arrived, and after they had waited. */
	refused: number;
	expired: number;
	/** Time from arrival to start of each attempt that ran. */
	readonly waitsMs: number[];
};

type Attempt = {
	readonly stream: ReplayStream;
	readonly firstAt: number;
	readonly serviceMs: number;
	readonly tries: number;
};

type Event = {readonly at: number; readonly attempt: Attempt};

type Running = {
	readonly endsAt: number;
	readonly startedAt: number;
	readonly request: policy.QueuedRequest<Attempt>;
};

/** Replays the streams in steps of 1 ms and returns a tally by stream. */
export function runAdmissionReplay(
	options: policy.AdmissionOptions,
	streams: readonly ReplayStream[],
	seed: number,
): Map<ReplayStream, ReplayTally> {
	const scheduler = new admission.ServerAdmissionScheduler<Attempt>(options);
	const stream = new random.RandomStream(seed);
	const arrivals = drawArrivals(streams, stream);
	const returns: Event[] = [];
	let running: Running[] = [];
	const tallies = new Map(streams.map((key) => [key, createTally()]));
	const end = Math.max(...streams.map(({untilMs}) => untilMs)) + 20_000;

	const retry = (attempt: Attempt, now: number) => {
		if (attempt.tries < attempt.stream.retries) {
			returns.push({
				at: now + stream.drawUniform() * maxRetryDelayMs,
				attempt: {...attempt, tries: attempt.tries + 1},
			});
		}
	};

	const offer = (attempt: Attempt, now: number) => {
		const {member, customer, rank, timeoutMs} = attempt.stream;
		const result = scheduler.offer(
			{
				member: member as ids.MemberId,
				...(customer === undefined
					? {}
					: {customer: customer as ids.CustomerId}),
				rank,
				enqueuedAt: now,
				deadlineAt: now + timeoutMs,
				item: attempt,
			},
			now,
		);
		if (result.type === 'refused') {
			tallies.get(attempt.stream)!.refused++;
			retry(attempt, now);
		}
	};

	let nextArrival = 0;
	for (let now = 0; now < end; now++) {
		for (const {request, startedAt, endsAt} of running) {
			if (endsAt <= now) {
				const {item} = request;
				scheduler.complete(request, now - startedAt, now);
				if (endsAt <= request.deadlineAt) {
					const tally = tallies.get(item.stream)!;
					tally.served++;
					tally.onTime += now - item.firstAt <= item.stream.targetMs ? 1 : 0;
				}
			}
		}

		running = running.filter(({endsAt}) => endsAt > now);
		while (nextArrival < arrivals.length && arrivals[nextArrival].at <= now) {
			offer(arrivals[nextArrival].attempt, now);
			nextArrival++;
		}

		for (const event of returns.filter(({at}) => at <= now)) {
			returns.splice(returns.indexOf(event), 1);
			offer(event.attempt, now);
		}

		if (now % tickMs === 0) {
			for (const {item} of scheduler.expire(now)) {
				tallies.get(item.stream)!.expired++;
				retry(item, now);
			}
		}

		while (running.length < options.slots) {
			const request = scheduler.take(now);
			if (!request) {
				break;
			}

			tallies.get(request.item.stream)!.waitsMs.push(now - request.enqueuedAt);
			running.push({
				startedAt: now,
				endsAt: now + request.item.serviceMs,
				request,
			});
		}
	}

	for (const [key, tally] of tallies) {
		tally.callers = arrivals.filter(
			({attempt}) => attempt.stream === key,
		).length;
	}

	return tallies;
}

/** Adds up the tallies of the streams that a test selects. */
export function sumTallies(
	tallies: ReadonlyMap<ReplayStream, ReplayTally>,
	isSelected: (stream: ReplayStream) => boolean,
): ReplayTally {
	const sum = createTally();
	for (const [stream, tally] of tallies) {
		if (isSelected(stream)) {
			sum.callers += tally.callers;
			sum.served += tally.served;
			sum.onTime += tally.onTime;
			sum.refused += tally.refused;
			sum.expired += tally.expired;
			sum.waitsMs.push(...tally.waitsMs);
		}
	}

	return sum;
}

function createTally(): ReplayTally {
	return {
		callers: 0,
		served: 0,
		onTime: 0,
		refused: 0,
		expired: 0,
		waitsMs: [],
	};
}

function drawArrivals(
	streams: readonly ReplayStream[],
	source: random.RandomStream,
): Event[] {
	const arrivals: Event[] = [];
	for (const stream of streams) {
		const meanGapMs = 1000 / stream.perSecond;
		let at = stream.fromMs + source.drawExponential(meanGapMs);
		while (at < stream.untilMs) {
			arrivals.push({
				at,
				attempt: {
					stream,
					firstAt: at,
					serviceMs: source.drawServiceTime(stream.meanServiceMs),
					tries: 0,
				},
			});
			at += source.drawExponential(meanGapMs);
		}
	}

	return arrivals.sort((left, right) => left.at - right.at);
}
