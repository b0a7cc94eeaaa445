/**
 * Defaults, SQL names and parsing of the faults that are set through the control port.
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

/** Faults by the name that `standin.set` and `standin.get` take. */
const faultsBySqlName: Readonly<Record<string, keyof types.Faults>> = {
	receive_lag_ms: 'receiveLagMs',
	apply_lag_ms: 'applyLagMs',
	freeze: 'freeze',
	cut: 'cut',
	crash: 'crash',
	departing: 'departing',
	service_time_ms: 'serviceTimeMs',
	connect_time_ms: 'connectTimeMs',
};

/** Finds the fault with this SQL name; throws 22023 for an unknown name. */
export function findFault(name: string): keyof types.Faults {
	if (!Object.hasOwn(faultsBySqlName, name)) {
		throw new types.SqlError(
			'22023',
			`unknown fault "${name}"; known: ${Object.keys(faultsBySqlName).join(', ')}`,
		);
	}

	return faultsBySqlName[name];
}

/** Parses the value of a fault; throws 22023 when it does not match the type of the fault. */
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
