/**
 * The language of scripted test scenarios. A scenario is a list of steps. Interpreters implement
 * the verbs and measures, so that each part of the project can add its own.
 *
 *     scenario urgent work under a background flood
 *     server slots=3
 *     member a weight=2
 *     at 100ms offer urgent member=a count=50
 *     at 1s every 10ms until 2s offer background member=a
 *     at 2s expect queue size <= 100
 *     expect urgent served >= 90%
 *
 * Steps without `at` run at time 0, expectations without `at` run after everything else. `#` begins
 * a comment. Numbers may carry the units `ms`, `s` (both become ms) and `%` (becomes a fraction).
 */
import type * as neverthrow from 'neverthrow';

/** An action of a scenario. Times in ms. */
export type ActionStep = {
	readonly type: 'action';
	readonly line: number;
	readonly at: number;
	/** Set for a step that repeats. */
	readonly repeat?: {readonly everyMs: number; readonly untilMs: number};
	readonly verb: string;
	/** The words after the verb. */
	readonly words: readonly string[];
	/** The `name=value` parts. */
	readonly options: ReadonlyMap<string, string>;
};

export type Operator = '<' | '<=' | '=' | '>=' | '>';

/** A comparison of a measure with a value. */
export type ExpectStep = {
	readonly type: 'expect';
	readonly line: number;
	/** Undefined for the end of the scenario. */
	readonly at?: number;
	/** The words that name the measure. */
	readonly subject: readonly string[];
	readonly operator: Operator;
	readonly value: number;
	/** The step as written, for reports. */
	readonly text: string;
};

export type Step = ActionStep | ExpectStep;

export type Scenario = {
	readonly name: string;
	readonly steps: readonly Step[];
};

/** An error in the text of a scenario. */
export type ParseError = {readonly line: number; readonly message: string};

/** Implements a set of verbs and measures. */
export type Interpreter = {
	/** The verbs that this interpreter runs. */
	readonly verbs: readonly string[];
	/** Runs an action at its time. The error says what is wrong with the step. */
	runAction(
		action: ActionStep,
		now: number,
	): neverthrow.Result<undefined, string>;
	/** Advances virtual time to `now`. */
	runUntil(now: number): void;
	/** Completes the work that is still in progress after the last step. */
	finish(): void;
	/** Returns the current value of a measure; undefined when the interpreter does not have it. */
	findMeasure(subject: readonly string[]): number | undefined;
};

/** A failure of a run: an expectation that does not hold, or a step that cannot run. */
export type Failure = {readonly line: number; readonly message: string};
