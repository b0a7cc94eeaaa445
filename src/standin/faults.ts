/**
 * Defaults, names and value checks of the faults that the control port sets.
 */
import * as types from './types.js';

export const defaultFaults: Readonly<types.Faults> = {
	receiveLagMs: 0,
	applyLagMs: 0,
	freeze: false,
	cut: false,
	crash: false,
	departing: false,
	serviceTimeMs: 0,
	connectTimeMs: 12,
};

/** SQL names, as `standin.set` takes them. */
const names: Readonly<Record<string, keyof types.Faults>> = {
	receive_lag_ms: 'receiveLagMs',
	apply_lag_ms: 'applyLagMs',
	freeze: 'freeze',
	cut: 'cut',
	crash: 'crash',
	departing: 'departing',
	service_time_ms: 'serviceTimeMs',
	connect_time_ms: 'connectTimeMs',
};

/** Finds the fault of a SQL name; throws 22023 for an unknown one. */
export function findFault(name: string): keyof types.Faults {
	if (!Object.hasOwn(names, name)) {
		throw new types.SqlError(
			'22023',
			`unknown fault "${name}"; known: ${Object.keys(names).join(', ')}`,
		);
	}

	return names[name];
}

/** Reads the text of a fault's value; throws 22023 when it does not fit. */
export function parseFault(name: string, value: string): Partial<types.Faults> {
	const fault = findFault(name);
	if (typeof defaultFaults[fault] === 'boolean') {
		if (value !== 'true' && value !== 'false') {
			throw new types.SqlError('22023', `${name} is true or false`);
		}

		return {[fault]: value === 'true'};
	}

	if (!/^\d{1,7}(?:\.\d+)?$/v.test(value)) {
		throw new types.SqlError('22023', `${name} is a number of milliseconds`);
	}

	return {[fault]: Number(value)};
}
