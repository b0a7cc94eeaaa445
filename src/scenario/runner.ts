/**
 * Runs a scenario in virtual time with the given interpreters. Steps run in the order of their
 * times; steps of the same time run in the order of the text.
 */
import type {
	ActionStep,
	ExpectStep,
	Failure,
	Interpreter,
	Operator,
	Scenario,
} from './types.js';

/** Rounding errors of percentages must not fail a comparison. */
const comparisonTolerance = 1e-9;

type ScheduledStep = {
	readonly at: number;
	readonly step: ActionStep | ExpectStep;
};

/**
 * Runs one scenario.
 *
 * @returns The failures; empty when every step ran and every expectation holds.
 */
export function runScenario(
	scenario: Scenario,
	interpreters: readonly Interpreter[],
): Failure[] {
	const failures: Failure[] = [];
	for (const {at, step} of buildSchedule(scenario)) {
		for (const interpreter of interpreters) {
			if (at === Infinity) {
				interpreter.finish();
			} else {
				interpreter.runUntil(at);
			}
		}

		const message =
			step.type === 'action'
				? runAction(step, at, interpreters)
				: checkExpectation(step, interpreters);
		if (message !== undefined) {
			failures.push({line: step.line, message});
		}
	}

	return failures;
}

function buildSchedule(scenario: Scenario): ScheduledStep[] {
	const schedule: ScheduledStep[] = [];
	for (const step of scenario.steps) {
		if (step.type === 'expect') {
			schedule.push({at: step.at ?? Infinity, step});
			continue;
		}

		const untilMs = step.repeat?.untilMs ?? step.at;
		const everyMs = step.repeat?.everyMs ?? Infinity;
		for (let {at} = step; at <= untilMs; at += everyMs) {
			schedule.push({at, step});
		}
	}

	// Equal times are compared first because `Infinity - Infinity` is NaN.
	return schedule.sort((left, right) =>
		left.at === right.at ? 0 : left.at - right.at,
	);
}

function runAction(
	action: ActionStep,
	now: number,
	interpreters: readonly Interpreter[],
): string | undefined {
	const interpreter = interpreters.find(({verbs}) =>
		verbs.includes(action.verb),
	);
	if (!interpreter) {
		const known = interpreters.flatMap(({verbs}) => verbs).join(', ');
		return `unknown verb "${action.verb}"; known verbs: ${known}`;
	}

	return interpreter.runAction(action, now).match(
		() => undefined,
		(message) => message,
	);
}

function checkExpectation(
	step: ExpectStep,
	interpreters: readonly Interpreter[],
): string | undefined {
	for (const interpreter of interpreters) {
		const measured = interpreter.findMeasure(step.subject);
		if (measured !== undefined) {
			return isSatisfied(measured, step.operator, step.value)
				? undefined
				: `"${step.text}" does not hold: measured ${measured}`;
		}
	}

	return `unknown measure "${step.subject.join(' ')}"`;
}

function isSatisfied(
	measured: number,
	operator: Operator,
	value: number,
): boolean {
	const difference = measured - value;
	switch (operator) {
		case '<': {
			return difference < -comparisonTolerance;
		}

		case '<=': {
			return difference <= comparisonTolerance;
		}

		case '=': {
			return Math.abs(difference) <= comparisonTolerance;
		}

		case '>=': {
			return difference >= -comparisonTolerance;
		}

		case '>': {
			return difference > comparisonTolerance;
		}
	}
}
