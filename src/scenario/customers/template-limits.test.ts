import tap from 'tap';
import type * as control from '../../common/control/types.js';
import type * as ids from '../../common/ids.js';
import type * as messages from '../../common/messages.js';
import * as customers from '../../common/template/customers.js';
import * as template from '../../common/template/parse.js';
import * as fleets from '../fleet/fleet.js';

const [limitedKey, freeKey] = ['limited', 'free'].map(
	(name) => `${name.padEnd(43, '0')}=` as ids.KeyDigest,
);
/** Time in which requests below their limit are answered. */
const answerTimeMs = 50;
const rateLimits: control.RateLimitOptions = {
	bound: {windowMs: 5000, overage: 0.12, slack: 0},
	parseTemplateCustomers: (text) =>
		template
			.parseTemplate(text)
			.map(({customers}) => customers?.values() ?? [])
			.unwrapOr(undefined),
};

/** Formats a template; without a rate, none of its customers has a limit. */
function formatTemplate(ratePerS?: number): string {
	const text = customers.setDigests(
		ratePerS === undefined
			? '[customer limited]\n'
			: `[customer limited]\nrate_per_s = ${ratePerS}\n`,
		'limited',
		[limitedKey],
	);
	return customers.setDigests(text, 'free', [freeKey]);
}

class TemplateFleet extends fleets.Fleet {
	readonly messages: string[] = [];
	private version = 0;

	constructor(ratePerS: number | undefined, limits = rateLimits) {
		super({
			proxies: 2,
			controls: 3,
			seed: 1,
			rateLimits: limits,
			parseTemplate: (text) => template.parseTemplate(text).unwrapOr(undefined),
		});
		const send = this.links.send.bind(this.links);
		this.links.send = (from, to, message: messages.PeerMessage) => {
			this.messages.push(JSON.stringify([from, to, message]));
			send(from, to, message);
		};

		this.timeline.runUntil(3000);
		this.setRate(ratePerS);
		this.timeline.runUntil(10_000);
	}

	setRate(ratePerS: number | undefined): void {
		this.changeMember(this.member, this.version, formatTemplate(ratePerS));
		this.version++;
	}

	changeMember(member: ids.MemberId, version: number, text: string): void {
		const changeId = `${member}/${version}` as ids.ChangeId;
		for (const process of this.controls.values()) {
			process.requestChange(
				{member, text, expectedVersion: version, changeId},
				() => undefined,
			);
		}
	}

	/** Counts what the servers ran for the limited customer since a time. */
	countRuns(since: number): number {
		return [...this.servers.values()].flatMap(({executedAt, executedBy}) =>
			executedAt.filter(
				(at, index) => at >= since && executedBy[index] === 'limited',
			),
		).length;
	}

	/** Sends reads at the given pace, in turn at both proxies; returns the number of each answer. */
	runReads(
		key: ids.KeyDigest,
		perS: number,
		durationMs: number,
	): Readonly<Record<string, number>> {
		const counts: Record<string, number> = {answered: 0, HK009: 0};
		const proxies = [...this.proxies.values()];
		const readCount = (perS * durationMs) / 1000;
		for (let index = 0; index < readCount; index++) {
			const proxy = proxies[index % proxies.length];
			const session = proxy.openSession({
				member: this.member,
				group: this.group,
				key,
			});
			const statement = {type: 'get', key: 'a'} as const;
			proxy.send(session, statement, {deadlineMs: 4000}, (answer) => {
				const outcome =
					answer.type === 'answered' ? 'answered' : answer.sqlState;
				counts[outcome] = (counts[outcome] ?? 0) + 1;
				proxy.closeSession(session);
			});
			this.timeline.runUntil(this.timeline.now + 1000 / perS);
		}

		this.timeline.runUntil(this.timeline.now + answerTimeMs);

		return counts;
	}
}

/** Floods both proxies for 5 s as the limited customer. */
function runFlood(fleet: TemplateFleet) {
	const since = fleet.timeline.now;
	const counts = fleet.runReads(limitedKey, 80, 5000 - answerTimeMs);
	return {runs: fleet.countRuns(since), refused: counts.HK009};
}

// Guards against limits of templates that are not enforced, that count each proxy by itself, that refuse
// a customer below its rate or that affect others.
tap.test('a rate holds over all proxies', async (t) => {
	const fleet = new TemplateFleet(20);
	const calm = fleet.runReads(limitedKey, 18, 10_000);
	t.same(calm, {answered: 180, HK009: 0});
	const {runs, refused} = runFlood(fleet);
	t.ok(runs <= 135, `${runs} runs`);
	t.ok(runs >= 95, `${runs} runs`);
	t.ok(refused > 200, `${refused} refused`);
	t.same(fleet.runReads(freeKey, 100, 5000), {answered: 500, HK009: 0});
});

// Guards against limits that change with a restart or an election only.
tap.test('a changed rate takes effect', async (t) => {
	const fleet = new TemplateFleet(100);
	const before = fleet.runReads(limitedKey, 80, 5000);
	t.same(before, {answered: 400, HK009: 0});
	fleet.setRate(10);
	fleet.runReads(limitedKey, 80, 2000);
	const {runs} = runFlood(fleet);
	t.ok(runs <= 67, `${runs} runs`);
	t.ok(runs >= 45, `${runs} runs`);
	fleet.setRate(100);
	fleet.runReads(limitedKey, 80, 2000);
	const raised = fleet.runReads(limitedKey, 80, 5000);
	t.same(raised, {answered: 400, HK009: 0});
});

// Guards against requests that are refused because their limit is gone while they wait for a token.
tap.test('a removed rate serves what waits', async (t) => {
	const fleet = new TemplateFleet(2);
	const before = fleet.runReads(limitedKey, 80, 5000);
	const {HK009: refused} = before;
	t.ok(before.answered + refused < 400, 'requests wait');
	fleet.setRate(undefined);
	const after = fleet.runReads(limitedKey, 80, 5000);
	t.same(before, {answered: 400 - refused, HK009: refused});
	t.ok(after.HK009 <= 4, `${after.HK009} refused`);
});

// Guards against a customer that gets its limit once for each template that names it.
tap.test('another template can lower the rate', async (t) => {
	const fleet = new TemplateFleet(100);
	const other = 'other' as ids.MemberId;
	fleet.changeMember(other, 0, '[customer limited]\nrate_per_s = 10\n');
	fleet.runReads(limitedKey, 80, 2000);
	const {runs} = runFlood(fleet);
	t.ok(runs <= 67, `${runs} runs`);
	fleet.changeMember(other, 1, '[customer limited]\n');
	fleet.runReads(limitedKey, 80, 2000);
	const lifted = fleet.runReads(limitedKey, 80, 5000);
	t.same(lifted, {answered: 400, HK009: 0});
});

// Guards against a leader that knows the limits only of templates that were changed in its term.
tap.test('a rate holds after an election', async (t) => {
	const fleet = new TemplateFleet(10);
	const leader = [...fleet.controls.values()].find(({isLeader}) => isLeader)!;
	leader.kill();
	fleet.timeline.runUntil(fleet.timeline.now + 10_000);
	const {runs, refused} = runFlood(fleet);
	t.ok(runs <= 67, `${runs} runs`);
	t.ok(runs >= 45, `${runs} runs`);
	t.ok(refused > 0);
});

// Guards against messages of the rate limits in installations that have none.
tap.test('templates without rates change no message', async (t) => {
	const {bound} = rateLimits;
	const [rateless, unlimited] = [rateLimits, {bound}].map((limits) => {
		const fleet = new TemplateFleet(undefined, limits);
		t.same(fleet.runReads(limitedKey, 80, 2000), {answered: 160, HK009: 0});
		return fleet.messages;
	});
	t.ok(rateless.length > 1000);
	t.same(rateless, unlimited);
});
