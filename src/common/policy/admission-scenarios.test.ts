import * as neverthrow from 'neverthrow';
import tap from 'tap';
import {parseScenarios} from '../../scenario/parser.js';
import {runScenario} from '../../scenario/runner.js';
import type {ActionStep, Interpreter} from '../../scenario/types.js';
import type * as ids from '../ids.js';
import * as types from '../types.js';
import {ServerAdmissionScheduler} from './admission.js';
import {buildParameters} from './testing.js';
import type {QueuedRequest} from './types.js';

type Item = {readonly serviceMs: number};

type Counts = {offered: number; served: number; slotMs: number};

/**
 * Verbs: `server slots=N usable=SHARE`, `member NAME weight=N urgent=FLOOR normal=FLOOR background=FLOOR`,
 * `offer RANK member=NAME count=N service=MS deadline=MS`. Measures: `RANK served`,
 * `RANK NAME served` and `RANK share`; a request counts as served when it ends by its deadline.
 */
class AdmissionInterpreter implements Interpreter {
	readonly verbs = ['server', 'member', 'offer'];
	readonly #members = new Map<string, types.TemplateParameters>();
	readonly #counts = new Map<string, Counts>();
	#slots = 1;
	#usableDeadlineShare: number | undefined;
	#scheduler: ServerAdmissionScheduler<Item> | undefined;
	#now = 0;
	/** Running requests by the time at which they end. */
	readonly #running: Array<{at: number; request: QueuedRequest<Item>}> = [];

	runAction(
		action: ActionStep,
		now: number,
	): neverthrow.Result<undefined, string> {
		const readNumber = (name: string, fallback: number) =>
			Number(action.options.get(name) ?? fallback);
		if (action.verb === 'server') {
			this.#slots = readNumber('slots', 1);
			const usable = readNumber('usable', 0);
			this.#usableDeadlineShare = usable === 0 ? undefined : usable;
		} else if (action.verb === 'member') {
			const weight = readNumber('weight', 1);
			this.#members.set(
				action.words[0],
				buildParameters({
					urgent: {floorPercent: readNumber('urgent', 0), weight},
					normal: {floorPercent: readNumber('normal', 0), weight},
					background: {floorPercent: readNumber('background', 0), weight},
				}),
			);
		} else {
			const rank = action.words[0] as types.Rank;
			if (!types.ranks.includes(rank)) {
				return neverthrow.err(`unknown rank "${rank}"`);
			}

			for (let index = 0; index < readNumber('count', 1); index++) {
				this.#offer(rank, {
					member: action.options.get('member') ?? 'a',
					serviceMs: readNumber('service', 5),
					deadlineAt: now + readNumber('deadline', 1000),
				});
			}
		}

		return neverthrow.ok(undefined);
	}

	runUntil(until: number): void {
		for (;;) {
			this.#running.sort((left, right) => left.at - right.at);
			const next = this.#running[0];
			if (!next || next.at > until) {
				break;
			}

			this.#running.shift();
			this.#now = next.at;
			this.#finish(next.request);
		}

		this.#now = Math.max(this.#now, until);
		this.#dispatch();
	}

	finish(): void {
		while (this.#running.length > 0) {
			this.runUntil(Math.max(...this.#running.map(({at}) => at)));
		}
	}

	findMeasure(subject: readonly string[]): number | undefined {
		const counts = this.#counts.get(subject.slice(0, -1).join(' '));
		if (subject.at(-1) === 'served') {
			return counts && counts.served / counts.offered;
		}

		if (subject.at(-1) === 'share') {
			return (counts?.slotMs ?? 0) / (this.#now * this.#slots);
		}

		return undefined;
	}

	#offer(
		rank: types.Rank,
		work: {member: string; serviceMs: number; deadlineAt: number},
	): void {
		this.#scheduler ??= new ServerAdmissionScheduler({
			slots: this.#slots,
			getParameters: (member) => this.#members.get(member),
			...(this.#usableDeadlineShare === undefined
				? {}
				: {usableDeadlineShare: this.#usableDeadlineShare}),
		});
		const request = {
			member: work.member as ids.MemberId,
			rank,
			enqueuedAt: this.#now,
			deadlineAt: work.deadlineAt,
			item: {serviceMs: work.serviceMs},
		};
		for (const counts of this.#findCounts(request)) {
			counts.offered++;
		}

		this.#scheduler.offer(request, this.#now);
		this.#dispatch();
	}

	#dispatch(): void {
		while (this.#scheduler && this.#running.length < this.#slots) {
			const request = this.#scheduler.take(this.#now);
			if (!request) {
				return;
			}

			this.#running.push({at: this.#now + request.item.serviceMs, request});
		}
	}

	#finish(request: QueuedRequest<Item>): void {
		const {serviceMs} = request.item;
		this.#scheduler!.complete(request, serviceMs, this.#now);
		for (const counts of this.#findCounts(request)) {
			counts.served += this.#now <= request.deadlineAt ? 1 : 0;
			counts.slotMs += serviceMs;
		}

		this.#dispatch();
	}

	#findCounts(request: QueuedRequest<Item>): Counts[] {
		return [request.rank, `${request.rank} ${request.member}`].map((key) => {
			const counts = this.#counts.get(key) ?? {
				offered: 0,
				served: 0,
				slotMs: 0,
			};
			this.#counts.set(key, counts);
			return counts;
		});
	}
}

/** Each scenario is named after the expected behaviour and guards against the opposite. */
const scenarios = `
scenario a background flood does not delay urgent work
server slots=3
member a urgent=40 normal=20 background=10
at 0ms every 10ms until 5s offer background count=60 deadline=2000
at 0ms every 20ms until 5s offer urgent count=2 deadline=100
at 5s expect urgent served >= 99%
at 5s expect background share >= 75%

scenario the other ranks keep their floors during an urgent flood
server slots=3
member a urgent=40 normal=20 background=10
at 0ms every 10ms until 5s offer urgent count=60 deadline=300
at 0ms every 10ms until 5s offer normal count=3 deadline=1000
at 0ms every 10ms until 5s offer background count=3 deadline=3000
at 5s expect normal share >= 18%
at 5s expect normal share <= 25%
at 5s expect background share >= 8%
at 5s expect urgent share >= 65%

scenario other ranks borrow unused floors
server slots=2
member a urgent=40 normal=30 background=30
at 0ms every 10ms until 3s offer background count=20 deadline=1000
at 3s expect background share >= 97%

scenario floors above 100 percent are scaled down
server slots=3
member a urgent=100 normal=50 background=50
at 0ms every 10ms until 5s offer urgent count=20 deadline=300
at 0ms every 10ms until 5s offer normal count=20 deadline=1000
at 0ms every 10ms until 5s offer background count=20 deadline=1000
at 5s expect normal share >= 21%
at 5s expect background share >= 21%

scenario other members keep their service during a flood of one member
server slots=3
member a
member b
member c
at 0ms every 10ms until 5s offer urgent member=a count=60 deadline=300
at 0ms every 20ms until 5s offer urgent member=b count=3 deadline=300
at 0ms every 20ms until 5s offer urgent member=c count=3 deadline=300
at 5s expect urgent b served >= 99%
at 5s expect urgent c served >= 99%

scenario members of one rank share by weight although one has longer statements
server slots=2
member a weight=3
member b weight=1
at 0ms every 10ms until 5s offer normal member=a count=10 service=4 deadline=1000
at 0ms every 10ms until 5s offer normal member=b count=10 service=12 deadline=1000
at 5s expect normal a share >= 70%
at 5s expect normal b share >= 22%

scenario a backlog after an outage fills the time until its deadline
server slots=3 usable=0.85
member a
at 0ms every 20ms until 1s offer background count=2 service=20 deadline=800
at 2s offer background member=b count=150 service=20 deadline=800
at 3s expect background b served >= 64%

scenario goodput does not collapse at ten times the capacity
server slots=3
member a
at 0ms every 5ms until 5s offer normal count=30 deadline=200
at 5s expect normal share >= 97%
at 5s expect normal served >= 9%
`;

for (const scenario of parseScenarios(scenarios)._unsafeUnwrap()) {
	tap.test(scenario.name, async (t) => {
		t.same(runScenario(scenario, [new AdmissionInterpreter()]), []);
	});
}
