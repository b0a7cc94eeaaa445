import tap from 'tap';
import * as neverthrow from 'neverthrow';
import {parseScenarios} from './parser.js';
import {runScenario} from './runner.js';
import type {Interpreter, Scenario} from './types.js';

function parseOne(text: string): Scenario {
	return parseScenarios(text)._unsafeUnwrap()[0];
}

function listProblems(text: string): string[] {
	return parseScenarios(text)
		._unsafeUnwrapErr()
		.map(({line, message}) => `${line}: ${message}`);
}

/** Builds an interpreter whose verb `add` sums numbers and logs each call with its time. */
function buildAdder(log: string[]): Interpreter {
	let sum = 0;
	return {
		verbs: ['add'],
		runAction(action, now) {
			const amount = Number(action.words[0]);
			if (Number.isNaN(amount)) {
				return neverthrow.err('add needs a number');
			}

			sum += amount;
			log.push(`${now}:${amount}`);
			return neverthrow.ok(undefined);
		},
		runUntil: () => undefined,
		finish() {
			log.push('finish');
		},
		findMeasure: (subject) => (subject[0] === 'sum' ? sum : undefined),
	};
}

// Guards against steps that lose their time, options or repetition.
tap.test('parses all forms of steps', async (t) => {
	const scenario = parseOne(`
# a comment
scenario two words
server slots=3  # trailing comment
at 100ms offer urgent member=a count=50
at 1s every 10ms until 2s offer normal
at 2s expect queue size <= 100
expect urgent served >= 90%
`);
	t.equal(scenario.name, 'two words');
	t.equal(scenario.steps.length, 5);
	t.match(scenario.steps[1], {type: 'action', at: 100, words: ['urgent']});
	t.match(scenario.steps[2], {repeat: {everyMs: 10, untilMs: 2000}});
	t.match(scenario.steps[3], {at: 2000, subject: ['queue', 'size']});
	t.match(scenario.steps[4], {operator: '>=', value: 0.9});
});

// Guards against errors in the text that are accepted, or reported without their line.
tap.test('reports every problem with its line', async (t) => {
	t.same(listProblems(''), ['1: the text has no scenario']);
	t.same(listProblems('offer urgent'), [
		'1: a step must follow a line "scenario <name>"',
	]);
	t.same(
		listProblems(`scenario x
at soon offer urgent
expect urgent served 90%
expect urgent served >= many
at 1s every 10ms offer normal
at 1s every 0ms until 2s offer normal
at 2s every 1s until 1s offer normal
offer a=1 a=2
offer a=
at 1s`),
		[
			'2: expected a duration such as 100ms or 2s after "at", found "soon"',
			'3: expected "expect <measure> <operator> <number>" with one of < <= = >= >',
			'4: expected a number with an optional unit ms, s or %, found "many"',
			'5: expected "until <time>" after "every <duration>"',
			'6: "every" needs a duration above 0',
			'7: "until" is earlier than "at"',
			'8: "a" is set twice',
			'9: expected "name=value", found "a="',
			'10: expected a verb',
		],
	);
});

// Guards against steps that run out of order or too often.
tap.test('runs steps in the order of their times', async (t) => {
	const log: string[] = [];
	const scenario = parseOne(`scenario order
expect sum = 106
at 20ms add 100
at 0ms every 10ms until 20ms add 2
at 10ms expect sum = 4
`);
	t.same(runScenario(scenario, [buildAdder(log)]), []);
	t.same(log, ['0:2', '10:2', '20:100', '20:2', 'finish']);
});

// Guards against a scenario that passes although a step cannot run or an expectation does not hold.
tap.test('reports failed steps and unmet expectations', async (t) => {
	const scenario = parseOne(`scenario failing
add 5
add many
remove 5
expect sum < 5
expect sum > 5
expect sum >= 500%
expect total = 5
`);
	t.same(runScenario(scenario, [buildAdder([])]), [
		{line: 3, message: 'add needs a number'},
		{line: 4, message: 'unknown verb "remove"; known verbs: add'},
		{line: 5, message: '"expect sum < 5" does not hold: measured 5'},
		{line: 6, message: '"expect sum > 5" does not hold: measured 5'},
		{line: 8, message: 'unknown measure "total"'},
	]);
});
