/**
 * Evaluates expressions over a row, or over a set of rows for aggregate functions.
 */
import {assertNever} from '../common/assert-never.js';
import * as expressionTypes from './expression-types.js';
import * as types from './types.js';
import * as values from './values.js';

/** What an expression can refer to: parameters, columns of a row and functions. */
export type Scope = {
	readonly parameters: readonly types.SqlValue[];
	readonly columns: readonly types.ResultField[];
	readonly row: types.Row | undefined;
	/** Rows that aggregate functions run over. */
	readonly group: readonly types.Row[] | undefined;
	/** Calls a function that is not built in; throws 42883 for an unknown one. */
	readonly callFunction: (
		name: string,
		args: readonly types.SqlValue[],
	) => types.SqlValue;
};

/** Computes an expression; throws `SqlError` for a missing column, parameter or function. */
export function evaluate(
	expression: types.Expression,
	scope: Scope,
): types.SqlValue {
	switch (expression.type) {
		case 'literal': {
			return expression.value;
		}

		case 'parameter': {
			const value = scope.parameters.at(expression.index);
			if (value === undefined) {
				throw new types.SqlError(
					'42P02',
					`there is no parameter $${expression.index + 1}`,
				);
			}

			return value;
		}

		case 'column': {
			const index = expressionTypes.findFieldIndex(
				scope.columns,
				expression.name,
			);
			return (scope.row ?? scope.group?.[0])?.[index] ?? null;
		}

		case 'call': {
			return expressionTypes.aggregateFunctions.has(expression.name)
				? computeAggregate(expression, scope)
				: computeCall(expression, scope);
		}

		case 'binary': {
			return computeBinary(expression, scope);
		}

		case 'not': {
			const value = evaluate(expression.operand, scope);
			return value === null ? null : value !== true;
		}

		case 'isNull': {
			const isNull = evaluate(expression.operand, scope) === null;
			return isNull !== expression.negated;
		}

		case 'in': {
			const value = evaluate(expression.operand, scope);
			return expression.list.some((item) => {
				const other = evaluate(item, scope);
				return (
					value !== null &&
					other !== null &&
					values.compareValues(value, other) === 0
				);
			});
		}

		case 'cast': {
			const value = evaluate(expression.operand, scope);
			return values.parseValue(value, expression.target);
		}
	}

	return assertNever(expression);
}

function computeCall(
	call: Extract<types.Expression, {type: 'call'}>,
	scope: Scope,
): types.SqlValue {
	const args = call.args.map((arg) => evaluate(arg, scope));
	switch (call.name) {
		case 'coalesce': {
			return args.find((arg) => arg !== null) ?? null;
		}

		case 'length': {
			return args[0] === null ? null : String(args[0]).length;
		}

		case 'now': {
			return new Date().toISOString().replace('T', ' ').replace('Z', '+00');
		}

		default: {
			return scope.callFunction(call.name, args);
		}
	}
}

function computeBinary(
	expression: Extract<types.Expression, {type: 'binary'}>,
	scope: Scope,
): types.SqlValue {
	const {operator} = expression;
	const left = evaluate(expression.left, scope);
	if (operator === 'and' && left === false) {
		return false;
	}

	if (operator === 'or' && left === true) {
		return true;
	}

	const right = evaluate(expression.right, scope);
	if (operator === 'and' || operator === 'or') {
		return computeLogic(operator, left, right);
	}

	if (left === null || right === null) {
		return null;
	}

	return computeOperator(operator, left, right);
}

function computeLogic(
	operator: 'and' | 'or',
	left: types.SqlValue,
	right: types.SqlValue,
): types.SqlValue {
	const decisive = operator === 'or';
	if (left === decisive || right === decisive) {
		return decisive;
	}

	return left === null || right === null ? null : !decisive;
}

function computeOperator(
	operator: Exclude<types.BinaryOperator, 'and' | 'or'>,
	left: string | number | boolean,
	right: string | number | boolean,
): types.SqlValue {
	switch (operator) {
		case '=': {
			return values.compareValues(left, right) === 0;
		}

		case '<>': {
			return values.compareValues(left, right) !== 0;
		}

		case '<': {
			return values.compareValues(left, right) < 0;
		}

		case '<=': {
			return values.compareValues(left, right) <= 0;
		}

		case '>': {
			return values.compareValues(left, right) > 0;
		}

		case '>=': {
			return values.compareValues(left, right) >= 0;
		}

		case '||': {
			return String(left) + String(right);
		}

		case '+':
		case '-':
		case '*':
		case '/': {
			return computeArithmetic(operator, left, right);
		}
	}

	return assertNever(operator);
}

function computeArithmetic(
	operator: '+' | '-' | '*' | '/',
	left: string | number | boolean,
	right: string | number | boolean,
): number {
	const first = Number(values.parseValue(left, 'numeric'));
	const second = Number(values.parseValue(right, 'numeric'));
	switch (operator) {
		case '+': {
			return first + second;
		}

		case '-': {
			return first - second;
		}

		case '*': {
			return first * second;
		}

		case '/': {
			if (second === 0) {
				throw new types.SqlError('22012', 'division by zero');
			}

			const quotient = first / second;
			return Number.isInteger(first) && Number.isInteger(second)
				? Math.trunc(quotient)
				: quotient;
		}
	}

	return assertNever(operator);
}

function computeAggregate(
	call: Extract<types.Expression, {type: 'call'}>,
	scope: Scope,
): types.SqlValue {
	const rows = scope.group ?? [];
	const [arg] = call.args;
	if (arg === undefined) {
		return rows.length;
	}

	const nonNullValues = rows
		.map((row) => evaluate(arg, {...scope, row, group: undefined}))
		.filter((value) => value !== null);
	if (call.name === 'count') {
		return nonNullValues.length;
	}

	if (nonNullValues.length === 0) {
		return null;
	}

	if (call.name === 'min' || call.name === 'max') {
		const sorted = nonNullValues.toSorted((a, b) => values.compareValues(a, b));
		return (call.name === 'min' ? sorted[0] : sorted.at(-1)) ?? null;
	}

	let sum = 0;
	for (const value of nonNullValues) {
		sum += Number(value);
	}

	return call.name === 'sum' ? sum : sum / nonNullValues.length;
}
