/**
 * Analysis of an expression before it is evaluated: its type, and whether it contains an aggregate
 * function.
 */
import {assertNever} from '../common/assert-never.js';
import * as types from './types.js';

export const aggregateFunctions = new Set([
	'count',
	'sum',
	'min',
	'max',
	'avg',
]);

const functionResultTypes: Readonly<Record<string, types.ColumnType>> = {
	count: 'int8',
	sum: 'int8',
	avg: 'numeric',
	generate_series: 'int4',
	length: 'int4',
	now: 'timestamptz',
	pg_backend_pid: 'int4',
	pg_sleep: 'void',
	'hemlockarch.claim_key': 'void',
	'hemlockarch.end_other_sessions': 'int4',
};

export function hasAggregate(expression: types.Expression): boolean {
	switch (expression.type) {
		case 'call': {
			return (
				aggregateFunctions.has(expression.name) ||
				expression.args.some((arg) => hasAggregate(arg))
			);
		}

		case 'binary': {
			return hasAggregate(expression.left) || hasAggregate(expression.right);
		}

		case 'cast':
		case 'not':
		case 'isNull': {
			return hasAggregate(expression.operand);
		}

		case 'literal':
		case 'parameter':
		case 'column':
		case 'in': {
			return false;
		}
	}

	return assertNever(expression);
}

/** Infers the result type; a parameter counts as text. */
export function inferType(
	expression: types.Expression,
	columns: readonly types.ResultField[],
): types.ColumnType {
	switch (expression.type) {
		case 'literal': {
			return expression.valueType;
		}

		case 'parameter': {
			return 'text';
		}

		case 'column': {
			return columns[findFieldIndex(columns, expression.name)].type;
		}

		case 'call': {
			const {name, args} = expression;
			if (name === 'min' || name === 'max' || name === 'coalesce') {
				return args.length > 0 ? inferType(args[0], columns) : 'text';
			}

			return Object.hasOwn(functionResultTypes, name)
				? functionResultTypes[name]
				: 'text';
		}

		case 'binary': {
			if (['+', '-', '*', '/'].includes(expression.operator)) {
				const left = inferType(expression.left, columns);
				return left === 'text' ? inferType(expression.right, columns) : left;
			}

			return expression.operator === '||' ? 'text' : 'bool';
		}

		case 'not':
		case 'isNull':
		case 'in': {
			return 'bool';
		}

		case 'cast': {
			return expression.target;
		}
	}

	return assertNever(expression);
}

/** Finds the index of a column; throws 42703 when there is none. */
export function findFieldIndex(
	columns: readonly types.ResultField[],
	name: string,
): number {
	const index = columns.findIndex((column) => column.name === name);
	if (index === -1) {
		throw new types.SqlError('42703', `column "${name}" does not exist`);
	}

	return index;
}
