/**
 * The SQL functions of the server: the schema `hemlockarch` of docs/design.md, the schema `standin`
 * of the control port, and `generate_series`.
 */
import type * as shared from '../common/types.js';
import * as faults from './faults.js';
import * as types from './types.js';

/** The server as its SQL functions use it. */
export type FunctionTarget = {
	readonly faults: Readonly<types.Faults>;
	setFaults(change: Partial<types.Faults>): Promise<void>;
	readStatus(): shared.UpstreamStatus;
	readState(): Record<string, unknown>;
	setFence(term: number): void;
	promote(term: number): void;
	follow(term: number, server: string, address: string): void;
	closeSessionsBelowEpoch(epoch: string): number;
};

const statusFields: readonly types.ResultField[] = [
	{name: 'server', type: 'text'},
	{name: 'role', type: 'text'},
	{name: 'term', type: 'int8'},
	{name: 'position', type: 'int8'},
	{name: 'applied', type: 'int8'},
	{name: 'replicas', type: 'text'},
];

const tableFunctions: Readonly<Record<string, readonly types.ResultField[]>> = {
	'hemlockarch.status': statusFields,
	'hemlockarch.fence': statusFields,
	'hemlockarch.promote': statusFields,
	'hemlockarch.follow': statusFields,
	generate_series: [{name: 'generate_series', type: 'int4'}],
};

/** Columns of a set-returning function; undefined when there is no such function. */
export function findFields(
	name: string,
): readonly types.ResultField[] | undefined {
	return Object.hasOwn(tableFunctions, name) ? tableFunctions[name] : undefined;
}

/**
 * Calls a set-returning function. All of them except `generate_series` return the status of the
 * server, read after the action of the function.
 */
export function callTableFunction(
	target: FunctionTarget,
	name: string,
	args: readonly types.SqlValue[],
): Iterable<types.Row> {
	if (name === 'generate_series') {
		return listSeries(readInteger(args, 0), readInteger(args, 1));
	}

	switch (name) {
		case 'hemlockarch.fence': {
			target.setFence(readInteger(args, 0));

			break;
		}

		case 'hemlockarch.promote': {
			target.promote(readInteger(args, 0));

			break;
		}

		case 'hemlockarch.follow': {
			target.follow(readInteger(args, 0), String(args[1]), String(args[2]));

			break;
		}
		// No default
	}

	const status = target.readStatus();
	return [
		[
			status.server,
			status.role,
			status.term,
			status.position,
			status.applied,
			JSON.stringify(status.replicas),
		],
	];
}

/** Calls a scalar function; throws 42883 for an unknown one. */
export function callFunction(
	target: FunctionTarget,
	name: string,
	args: readonly types.SqlValue[],
	isControl: boolean,
): types.SqlValue {
	if (name === 'hemlockarch.end_other_sessions') {
		return target.closeSessionsBelowEpoch(String(args[0]));
	}

	if (isControl && name === 'standin.set') {
		const change = faults.parseFault(String(args[0]), String(args[1]));
		target.setFaults(change).catch(() => {
			// When the restart fails, the server stays crashed, as `standin.state()` shows.
		});
		return 'done';
	}

	if (isControl && name === 'standin.get') {
		return target.faults[faults.findFault(String(args[0]))];
	}

	if (isControl && name === 'standin.state') {
		return JSON.stringify(target.readState());
	}

	throw new types.SqlError('42883', `function ${name}() does not exist`);
}

/**
 * Parses an epoch: one or two whole numbers, separated by any non-digit, as in `7.3`; the first is
 * the consensus term, the second the counter. Throws 22023 for any other text.
 */
export function parseEpoch(text: string): readonly number[] {
	const numbers = text.match(/\d+/gv)?.map(Number) ?? [];
	if (numbers.length === 0 || numbers.length > 2) {
		throw new types.SqlError('22023', `"${text}" is not an epoch`);
	}

	return numbers;
}

/** Tells whether the name has the form `hemlockarch/<epoch>` with an epoch lower than `limit`. */
export function hasLowerEpoch(
	applicationName: string,
	limit: readonly number[],
): boolean {
	const match = /^hemlockarch\/(?<epoch>\d+(?:\D\d+)?)$/v.exec(applicationName);
	if (!match?.groups) {
		return false;
	}

	const epoch = parseEpoch(match.groups.epoch);
	for (const [index, limitNumber] of limit.entries()) {
		const ownNumber = epoch[index] ?? 0;
		if (ownNumber !== limitNumber) {
			return ownNumber < limitNumber;
		}
	}

	return false;
}

function* listSeries(first: number, last: number): Generator<types.Row> {
	for (let value = first; value <= last; value++) {
		yield [value];
	}
}

function readInteger(args: readonly types.SqlValue[], index: number): number {
	const value = Number(args.at(index) ?? Number.NaN);
	if (!Number.isSafeInteger(value)) {
		throw new types.SqlError(
			'22023',
			`argument ${index + 1} is not a whole number`,
		);
	}

	return value;
}
