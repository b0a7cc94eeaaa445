/**
 * Parser of the scenario language (see `types.ts`). It reports all errors of a text, each with its
 * line.
 */
import * as neverthrow from 'neverthrow';
import type {
	ActionStep,
	ExpectStep,
	Operator,
	ParseError,
	Scenario,
	Step,
} from './types.js';

const operators: ReadonlySet<string> = new Set(['<', '<=', '=', '>=', '>']);

/** Factors of the units; times become ms, percentages become fractions. */
const unitFactors: Readonly<Record<string, number>> = {
	'': 1,
	ms: 1,
	s: 1000,
	'%': 0.01,
};

type StepResult<Value> = neverthrow.Result<Value, string>;

/** Reads the words of one line from left to right. */
class WordReader {
	readonly #words: readonly string[];
	#next = 0;

	constructor(text: string) {
		this.#words = text.split(/\s+/v).filter(Boolean);
	}

	get rest(): readonly string[] {
		return this.#words.slice(this.#next);
	}

	read(): string | undefined {
		return this.#words[this.#next++];
	}

	/** Reads the next word if it is `word`. */
	tryRead(word: string): boolean {
		if (this.#words[this.#next] !== word) {
			return false;
		}

		this.#next++;
		return true;
	}

	/** Reads a duration, which needs the unit `ms` or `s`. `keyword` is the word before it. */
	readDuration(keyword: string): StepResult<number> {
		const word = this.read();
		if (word === undefined) {
			return neverthrow.err(`expected a duration after "${keyword}"`);
		}

		return /^[\d.]+m?s$/v.test(word)
			? parseNumber(word)
			: neverthrow.err(
					`expected a duration such as 100ms or 2s after "${keyword}", found "${word}"`,
				);
	}
}

/** Reads a number with an optional unit. */
export function parseNumber(word: string): StepResult<number> {
	const match = /^(?<digits>-?\d+(?:\.\d+)?)(?<unit>ms|s|%)?$/v.exec(word);
	if (!match?.groups) {
		return neverthrow.err(
			`expected a number with an optional unit ms, s or %, found "${word}"`,
		);
	}

	const factor = unitFactors[match.groups.unit ?? ''];
	return neverthrow.ok(Number(match.groups.digits) * factor);
}

/**
 * Parses a text of one or more scenarios.
 *
 * @returns The scenarios, or every error in the text.
 */
export function parseScenarios(
	text: string,
): neverthrow.Result<Scenario[], ParseError[]> {
	const scenarios: Array<{name: string; steps: Step[]}> = [];
	const problems: ParseError[] = [];
	for (const [index, rawLine] of text.split('\n').entries()) {
		const line = index + 1;
		const content = rawLine.replace(/#.*$/v, '').trim();
		if (content === '') {
			continue;
		}

		if (/^scenario(?:\s|$)/v.test(content)) {
			const name = content.slice('scenario'.length).trim();
			if (name === '') {
				problems.push({line, message: 'a scenario needs a name'});
			}

			scenarios.push({name, steps: []});
			continue;
		}

		const step = parseStep(content, line);
		const scenario = scenarios.at(-1);
		if (step.isErr()) {
			problems.push({line, message: step.error});
		} else if (scenario) {
			scenario.steps.push(step.value);
		} else {
			problems.push({
				line,
				message: 'a step must follow a line "scenario <name>"',
			});
		}
	}

	if (scenarios.length === 0 && problems.length === 0) {
		problems.push({line: 1, message: 'the text has no scenario'});
	}

	return problems.length > 0
		? neverthrow.err(problems)
		: neverthrow.ok(scenarios);
}

function parseStep(text: string, line: number): StepResult<Step> {
	const reader = new WordReader(text);
	let at: number | undefined;
	if (reader.tryRead('at')) {
		const time = reader.readDuration('at');
		if (time.isErr()) {
			return neverthrow.err(time.error);
		}

		at = time.value;
	}

	if (reader.tryRead('expect')) {
		return parseExpectation(reader, {
			line,
			text,
			...(at !== undefined && {at}),
		});
	}

	return parseAction(reader, line, at);
}

function parseExpectation(
	reader: WordReader,
	base: Pick<ExpectStep, 'line' | 'at' | 'text'>,
): StepResult<ExpectStep> {
	const words = reader.rest;
	const operatorIndex = words.findIndex((word) => operators.has(word));
	if (operatorIndex < 1 || operatorIndex !== words.length - 2) {
		return neverthrow.err(
			'expected "expect <measure> <operator> <number>" with one of < <= = >= >',
		);
	}

	return parseNumber(words[operatorIndex + 1]).map((value) => ({
		...base,
		type: 'expect',
		subject: words.slice(0, operatorIndex),
		operator: words[operatorIndex] as Operator,
		value,
	}));
}

function parseAction(
	reader: WordReader,
	line: number,
	at: number | undefined,
): StepResult<ActionStep> {
	let repeat: ActionStep['repeat'];
	if (reader.tryRead('every')) {
		const parsed = parseRepeat(reader, at ?? 0);
		if (parsed.isErr()) {
			return neverthrow.err(parsed.error);
		}

		repeat = parsed.value;
	}

	const verb = reader.read();
	if (verb === undefined || !/^[a-z][a-zA-Z]*$/v.test(verb)) {
		return neverthrow.err(
			verb === undefined
				? 'expected a verb'
				: `expected a verb, found "${verb}"`,
		);
	}

	const words: string[] = [];
	const options = new Map<string, string>();
	for (const word of reader.rest) {
		const separator = word.indexOf('=');
		if (separator === -1) {
			words.push(word);
			continue;
		}

		const name = word.slice(0, separator);
		const value = word.slice(separator + 1);
		if (name === '' || value === '') {
			return neverthrow.err(`expected "name=value", found "${word}"`);
		}

		if (options.has(name)) {
			return neverthrow.err(`"${name}" is set twice`);
		}

		options.set(name, value);
	}

	return neverthrow.ok({
		type: 'action',
		line,
		at: at ?? 0,
		...(repeat && {repeat}),
		verb,
		words,
		options,
	});
}

function parseRepeat(
	reader: WordReader,
	at: number,
): StepResult<NonNullable<ActionStep['repeat']>> {
	const every = reader.readDuration('every');
	if (every.isErr()) {
		return neverthrow.err(every.error);
	}

	if (!reader.tryRead('until')) {
		return neverthrow.err('expected "until <time>" after "every <duration>"');
	}

	const until = reader.readDuration('until');
	if (until.isErr()) {
		return neverthrow.err(until.error);
	}

	if (every.value <= 0) {
		return neverthrow.err('"every" needs a duration above 0');
	}

	return until.value < at
		? neverthrow.err('"until" is earlier than "at"')
		: neverthrow.ok({everyMs: every.value, untilMs: until.value});
}
