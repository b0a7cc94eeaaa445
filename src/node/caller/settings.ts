/**
 * The `hemlockarch.*` settings of a session: startup parameters, SET and SET LOCAL, and the
 * attributes of sqlcommenter comments.
 */
import {Buffer} from 'node:buffer';
import * as neverthrow from 'neverthrow';
import * as position from '../../common/position.js';
import * as commonTypes from '../../common/types.js';
import type * as proxy from '../../common/proxy/types.js';

/** Longest idempotency key in bytes. */
const maxKeyBytes = 128;

/** A refused setting. */
export type SettingProblem = {
	readonly sqlState: string;
	readonly message: string;
};

type Attributes = {
	-readonly [
		Name in keyof proxy.RequestAttributes
	]: proxy.RequestAttributes[Name];
};

const requestNames = new Set([
	'rank',
	'staleness_ms',
	'deadline_ms',
	'repeatable',
	'key',
]);
const sessionNames = new Set(['member', 'session', 'token']);

function createProblem(sqlState: string, message: string): SettingProblem {
	return {sqlState, message};
}

function createBadValue(name: string, rule: string): SettingProblem {
	return createProblem(
		'22023',
		`invalid value for parameter "hemlockarch.${name}": ${rule}`,
	);
}

function parseMilliseconds(text: string): number | undefined {
	return /^\d{1,9}$/v.test(text) ? Number(text) : undefined;
}

/** Checks one attribute of a request and stores it. */
function applyAttribute(
	attributes: Attributes,
	name: string,
	value: string,
): SettingProblem | undefined {
	switch (name) {
		case 'rank': {
			const rank = commonTypes.ranks.find((known) => known === value);
			attributes.rank = rank;
			return rank === undefined
				? createBadValue(name, 'use urgent, normal or background')
				: undefined;
		}

		case 'staleness_ms': {
			attributes.stalenessMs =
				value === 'any' ? Infinity : parseMilliseconds(value);
			return attributes.stalenessMs === undefined
				? createBadValue(name, 'use whole milliseconds or any')
				: undefined;
		}

		case 'deadline_ms': {
			attributes.deadlineMs = parseMilliseconds(value);
			return attributes.deadlineMs
				? undefined
				: createBadValue(name, 'use whole milliseconds above 0');
		}

		case 'repeatable': {
			attributes.repeatable = value === 'true';
			return value === 'true' || value === 'false'
				? undefined
				: createBadValue(name, 'use true or false');
		}

		case 'key': {
			attributes.key = value;
			return value.length > 0 &&
				!value.includes('\0') &&
				Buffer.byteLength(value) <= maxKeyBytes
				? undefined
				: createBadValue(name, `use 1 to ${maxKeyBytes} bytes`);
		}

		default: {
			return createProblem(
				'42704',
				`unrecognized configuration parameter "hemlockarch.${name}"`,
			);
		}
	}
}

/** Builds the attributes of one request from named values; later ones win. */
export function parseAttributes(
	...sources: ReadonlyArray<Iterable<readonly [string, string]>>
): neverthrow.Result<proxy.RequestAttributes, SettingProblem> {
	const attributes: Attributes = {};
	for (const source of sources) {
		for (const [name, value] of source) {
			const problem = applyAttribute(attributes, name, value);
			if (problem) {
				return neverthrow.err(problem);
			}
		}
	}

	return neverthrow.ok(attributes);
}

/** The settings of one session. */
export class SessionSettings {
	readonly #values = new Map<string, string>();
	readonly #local = new Map<string, string>();
	#attributes: proxy.RequestAttributes | undefined = {};

	constructor(
		readonly member: string,
		readonly session: string,
	) {
		this.#values.set('member', member);
		this.#values.set('session', session);
	}

	/** Sets a value for the session or, when `isLocal`, until the transaction ends. */
	set(
		name: string,
		value: string,
		isLocal: boolean,
	): SettingProblem | undefined {
		if (name === 'token') {
			const token = position.parsePosition(value);
			if (token.isErr()) {
				return createBadValue(name, token.error);
			}

			this.#values.set(name, value);
			return undefined;
		}

		if (sessionNames.has(name)) {
			return createProblem(
				'55P02',
				`parameter "hemlockarch.${name}" cannot be changed in a session`,
			);
		}

		const problem = applyAttribute({}, name, value);
		if (!problem) {
			(isLocal ? this.#local : this.#values).set(name, value);
			this.#attributes = undefined;
		}

		return problem;
	}

	/** Returns to the default of the member's template. */
	reset(name: string): SettingProblem | undefined {
		if (!requestNames.has(name)) {
			return createProblem(
				'42704',
				`parameter "hemlockarch.${name}" has no default to return to`,
			);
		}

		this.#local.delete(name);
		this.#values.delete(name);
		this.#attributes = undefined;
		return undefined;
	}

	/** Text of a setting; empty when the template decides, undefined when there is no such setting. */
	get(name: string): string | undefined {
		const value = this.#local.get(name) ?? this.#values.get(name);
		return (
			value ??
			(requestNames.has(name) || sessionNames.has(name) ? '' : undefined)
		);
	}

	/** Remembers the token that the caller was given. */
	recordToken(token: string): void {
		this.#values.set('token', token);
	}

	/** Forgets the values of SET LOCAL. */
	clearLocal(): void {
		if (this.#local.size > 0) {
			this.#local.clear();
			this.#attributes = undefined;
		}
	}

	/** Attributes for a request whose statement comments carry `comments`. */
	buildAttributes(
		comments: ReadonlyArray<readonly [string, string]>,
	): neverthrow.Result<proxy.RequestAttributes, SettingProblem> {
		if (this.#attributes === undefined || comments.length > 0) {
			const built = parseAttributes(
				[...this.#values].filter(([name]) => requestNames.has(name)),
				this.#local,
				comments,
			);
			if (comments.length > 0) {
				return built;
			}

			this.#attributes = built.isOk() ? built.value : {};
		}

		return neverthrow.ok(this.#attributes);
	}
}
