/**
 * Random scenarios: callers read, write and move between proxies while processes and servers crash,
 * freeze and are cut off. Every guarantee must hold under all of these faults. At most one server
 * and one control peer are lost at a time, so that a majority remains.
 */
import * as random from '../../common/random.js';

const users = ['a', 'b', 'c', 'd'];
const proxies = ['p1', 'p2', 'p3', 'p4', 'p5', 'p6', 'p7'];
const controls = ['c1', 'c2', 'c3'];
const servers = ['s1', 's2', 's3'];
const faultIntervalMs = 2500;
const faultCount = 6;
const loadEndMs = 18_000;

/** Guarantees that must hold under all faults. */
const expectations = [
	'expect stale reads = 0',
	'expect lost writes = 0',
	'expect duplicated writes = 0',
	'expect false refusals = 0',
	'expect late acknowledgements = 0',
	'expect mixed transactions = 0',
	'expect second answers = 0',
	'expect unanswered statements = 0',
];

/** Builds the text of a scenario; equal seeds give equal texts. */
export function buildRandomScenario(seed: number): string {
	const source = random.createRandom(seed);
	const lines = [`scenario random ${seed}`];
	for (const [index, user] of users.entries()) {
		lines.push(`session ${user} proxy=${choose(source, proxies)}`);
		const key = index < 2 ? 'x' : user;
		const everyMs = source.readInteger(15, 60);
		const staleness = choose(source, ['1s', '5s', '20s']);
		lines.push(
			`at ${10 + index}ms every ${everyMs}ms until ${loadEndMs}ms write ${user} key=${key} deadline=1s`,
			`at ${15 + index}ms every ${everyMs}ms until ${loadEndMs}ms read ${user} key=${key} staleness=${staleness} deadline=1s`,
			`at ${source.readInteger(400, 900)}ms every ${source.readInteger(700, 2000)}ms until ${loadEndMs}ms move ${user} proxy=${choose(source, proxies)} token=${choose(source, ['yes', 'no'])}`,
		);
	}

	for (const server of servers) {
		lines.push(
			`set ${server} apply=${source.readInteger(0, 800)}ms receive=${source.readInteger(1, 100)}ms service=${source.readInteger(1, 20)}ms`,
		);
	}

	for (let fault = 0; fault < faultCount; fault++) {
		const at = 1000 + fault * faultIntervalMs + source.readInteger(0, 500);
		lines.push(...buildFault(source, at));
	}

	return [...lines, ...expectations].join('\n');
}

const writers = ['a', 'b', 'c'];
const readers = ['d', 'e', 'f'];
/** Time from one period of slow statements to the next, in ms. */
const slowIntervalMs = 3000;
/** Length of such a period, and longest service time in it, in ms. */
const slowMs = 900;
const slowFaultCount = 6;

/**
 * Builds the text of a scenario in which proxies are lost for moments while their first statements run, and
 * callers connect to them again before those have ended. Equal seeds give equal texts.
 */
export function buildSlowStatementScenario(seed: number): string {
	const source = random.createRandom(seed);
	const endMs = 1000 + slowFaultCount * slowIntervalMs;
	const lines = [`scenario slow statements ${seed}`];
	for (const user of [...writers, ...readers]) {
		lines.push(`session ${user} proxy=${choose(source, proxies)}`);
	}

	for (const user of writers) {
		const everyMs = source.readInteger(150, 400);
		const timing = (at: number) =>
			`at ${at}ms every ${everyMs}ms until ${endMs}ms`;
		lines.push(
			`${timing(20)} begin ${user}`,
			`${timing(21)} write ${user} key=${user} deadline=2s`,
			`${timing(22)} write ${user} key=${user} deadline=2s`,
			`${timing(23)} commit ${user}`,
		);
	}

	for (const user of readers) {
		lines.push(
			`at 10ms write ${user} key=${user} deadline=2s`,
			`at ${source.readInteger(200, 300)}ms every ${source.readInteger(30, 90)}ms until ${endMs}ms read ${user} key=${user} staleness=0s deadline=2s`,
		);
	}

	for (let fault = 0; fault < slowFaultCount; fault++) {
		lines.push(
			...buildSlowFault(
				source,
				1000 + fault * slowIntervalMs + source.readInteger(0, 300),
			),
		);
	}

	return [...lines, ...expectations, 'expect foreign reads = 0'].join('\n');
}

/** Statements get slow, and a proxy to which callers have just connected is lost once or twice. */
function buildSlowFault(source: random.RandomSource, at: number): string[] {
	const proxy = choose(source, proxies);
	const users = random.drawSample(source, [...writers, ...readers], 4);
	const moveUsers = (movedAt: number) =>
		users.map((user) => `at ${movedAt}ms move ${user} proxy=${proxy} token=no`);
	const lines = [
		`at ${at}ms kill ${proxy}`,
		`at ${at + 20}ms start ${proxy}`,
		...moveUsers(at + 300),
		`at ${at + 300}ms set s1 service=${source.readInteger(200, slowMs)}ms`,
		`at ${at + 300 + slowMs}ms set s1 service=${source.readInteger(1, 20)}ms`,
	];
	const lostAt = at + 300 + source.readInteger(20, 150);
	switch (source.readInteger(0, 2)) {
		case 0: {
			return [
				...lines,
				`at ${lostAt}ms kill ${proxy}`,
				`at ${lostAt + 20}ms start ${proxy}`,
				...moveUsers(lostAt + source.readInteger(100, 400)),
			];
		}

		case 1: {
			return [
				...lines,
				`at ${lostAt}ms freeze ${proxy}`,
				`at ${lostAt + source.readInteger(800, 1300)}ms thaw ${proxy}`,
			];
		}

		default: {
			return [
				...lines,
				`at ${lostAt}ms cut ${proxy} *`,
				`at ${lostAt + source.readInteger(800, 1300)}ms heal`,
			];
		}
	}
}

function buildFault(source: random.RandomSource, at: number): string[] {
	const endAt = at + source.readInteger(300, 2000);
	const proxy = choose(source, proxies);
	const control = choose(source, controls);
	const server = choose(source, ['primary', ...servers]);
	const name = server === 'primary' ? 's1' : server;
	switch (source.readInteger(0, 8)) {
		case 0: {
			return [
				`at ${at}ms crash ${server}`,
				...servers.map((other) => `at ${endAt}ms start ${other}`),
			];
		}

		case 1: {
			return [`at ${at}ms freeze ${name}`, `at ${endAt}ms thaw ${name}`];
		}

		case 2: {
			return [`at ${at}ms cut ${name} *`, `at ${endAt}ms heal`];
		}

		case 3: {
			return [`at ${at}ms kill ${proxy}`, `at ${endAt}ms start ${proxy}`];
		}

		case 4: {
			return [`at ${at}ms freeze ${proxy}`, `at ${endAt}ms thaw ${proxy}`];
		}

		case 5: {
			return [`at ${at}ms cut ${proxy} *`, `at ${endAt}ms heal`];
		}

		case 6: {
			return [
				`at ${at}ms kill ${control}`,
				`at ${endAt}ms start ${control} disk=${choose(source, ['lost', 'kept'])}`,
			];
		}

		case 7: {
			return [`at ${at}ms cut ${control} *`, `at ${endAt}ms heal`];
		}

		default: {
			return [
				`at ${at}ms kill ${proxy}`,
				`at ${at + 50}ms crash ${server}`,
				`at ${endAt}ms start ${proxy}`,
				...servers.map((other) => `at ${endAt}ms start ${other}`),
			];
		}
	}
}

function choose<Item>(
	source: random.RandomSource,
	items: readonly Item[],
): Item {
	return items[source.readInteger(0, items.length - 1)];
}
