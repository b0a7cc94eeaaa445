/**
 * Conversion and comparison of SQL values.
 */
import * as types from './types.js';

const trueTexts = new Set(['t', 'true', 'y', 'yes', 'on', '1']);
const falseTexts = new Set(['f', 'false', 'n', 'no', 'off', '0']);

/** Converts a value to a column type; throws 22P02 when the text does not fit. */
export function parseValue(
	value: types.SqlValue,
	type: types.ColumnType,
): types.SqlValue {
	if (value === null) {
		return null;
	}

	switch (type) {
		case 'int4':
		case 'int8': {
			const number = parseNumber(value, type);
			if (!Number.isInteger(number) && typeof value === 'string') {
				throw makeInputError(value, type);
			}

			return Math.round(number);
		}

		case 'float8':
		case 'numeric': {
			return parseNumber(value, type);
		}

		case 'bool': {
			return parseBoolean(value);
		}

		case 'text':
		case 'timestamptz':
		case 'json': {
			return typeof value === 'string' ? value : String(value);
		}

		case 'void': {
			return value;
		}
	}
}

function parseNumber(value: types.SqlValue, type: types.ColumnType): number {
	const number =
		typeof value === 'string' && value.trim() === ''
			? Number.NaN
			: Number(value);
	if (Number.isNaN(number)) {
		throw makeInputError(value, type);
	}

	return number;
}

function parseBoolean(value: types.SqlValue): boolean {
	if (typeof value === 'boolean') {
		return value;
	}

	const text = String(value).toLowerCase();
	if (trueTexts.has(text)) {
		return true;
	}

	if (falseTexts.has(text)) {
		return false;
	}

	throw makeInputError(value, 'bool');
}

function makeInputError(
	value: types.SqlValue,
	type: types.ColumnType,
): types.SqlError {
	return new types.SqlError(
		'22P02',
		`invalid input syntax for type ${type}: "${String(value)}"`,
	);
}

/** Orders two values that are not null. A text compared with a number or a boolean is converted. */
export function compareValues(
	left: string | number | boolean,
	right: string | number | boolean,
): number {
	if (typeof left === 'number' || typeof right === 'number') {
		return parseNumber(left, 'numeric') - parseNumber(right, 'numeric');
	}

	if (typeof left === 'boolean' || typeof right === 'boolean') {
		return Number(parseBoolean(left)) - Number(parseBoolean(right));
	}

	if (left === right) {
		return 0;
	}

	return left < right ? -1 : 1;
}

/** Compares for ORDER BY: null is greater than every value. */
export function compareForSort(
	left: types.SqlValue,
	right: types.SqlValue,
): number {
	if (left === null || right === null) {
		return Number(left === null) - Number(right === null);
	}

	return compareValues(left, right);
}
