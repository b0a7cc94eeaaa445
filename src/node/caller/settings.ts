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

/** Why a setting is refused. */
export type SettingProblem = {
	readonly sqlState: string;
	readonly message: string;
};

type Attributes = {
	-readonly [
		Name in keyof proxy.RequestAttributes
	]: proxy.RequestAttributes[Name];
};

const attributeNames = new Set([
	'rank',
	'staleness_ms',
	'deadline_ms',
	'repeatable',
	'key',
]);
const sessionSettingNames = new Set(['member', 'session', 'token']);

function createProblem(sqlState: string, message: string): SettingProblem {
	return {sqlState, message};
}

function createInvalidValue(name: string, rule: string): SettingProblem {
	return createProblem(
		'22023',
		`invalid value for parameter "hemlockarch.${name}": ${rule}`,
	);
}

function parseMilliseconds(text: string): number | undefined {
	return /^\d{1,9}$/v.test(text) ? Number(text) : undefined;
}

/** Validates one attribute of a request and stores it. */
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
				? createInvalidValue(name, 'use urgent, normal or background')
				: undefined;
		}

		case 'staleness_ms': {
			attributes.stalenessMs =
				value === 'any' ? Infinity : parseMilliseconds(value);
			return attributes.stalenessMs === undefined
				? createInvalidValue(name, 'use whole milliseconds or any')
				: undefined;
		}

		case 'deadline_ms': {
			attributes.deadlineMs = parseMilliseconds(value);
			return attributes.deadlineMs
				? undefined
				: createInvalidValue(name, 'use whole milliseconds above 0');
		}

		case 'repeatable': {
			attributes.repeatable = value === 'true';
			return value === 'true' || value === 'false'
				? undefined
				: createInvalidValue(name, 'use true or false');
		}

		case 'key': {
			attributes.key = value;
			return value.length > 0 &&
				!value.includes('\0') &&
				Buffer.byteLength(value) <= maxKeyBytes
				? undefined
				: createInvalidValue(name, `use 1 to ${maxKeyBytes} bytes`);
		}

		default: {
			return createProblem(
				'42704',
				`unrecognized configuration parameter "hemlockarch.${name}"`,
			);
		}
	}
}

/** Builds the attributes of one request from named values; later sources override earlier ones. */
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

export class SessionSettings {
	readonly #values = new Map<string, string>();
	readonly #startupValues = new Map<string, string>();
	readonly #localValues = new Map<string, string>();
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
				return createInvalidValue(name, token.error);
			}

			this.#values.set(name, value);
			return undefined;
		}

		if (sessionSettingNames.has(name)) {
			return createProblem(
				'55P02',
				`parameter "hemlockarch.${name}" cannot be changed in a session`,
			);
		}

		const problem = applyAttribute({}, name, value);
		if (!problem) {
			(isLocal ? this.#localValues : this.#values).set(name, value);
			this.#attributes = undefined;
		}

		return problem;
	}

	/** Resets a setting to the default of the member's template. */
	reset(name: string): SettingProblem | undefined {
		if (!attributeNames.has(name)) {
			return createProblem(
				'42704',
				`parameter "hemlockarch.${name}" has no default to return to`,
			);
		}

		this.#localValues.delete(name);
		this.#values.delete(name);
		this.#attributes = undefined;
		return undefined;
	}

	/** Records the current values, set by the startup packet, as those that RESET ALL restores. */
	recordStartupValues(): void {
		for (const [name, value] of this.#values) {
			if (attributeNames.has(name)) {
				this.#startupValues.set(name, value);
			}
		}
	}

	/** Restores the values of the startup packet. */
	resetAll(): void {
		for (const name of attributeNames) {
			this.#values.delete(name);
		}

		for (const [name, value] of this.#startupValues) {
			this.#values.set(name, value);
		}

		this.#localValues.clear();
		this.#attributes = undefined;
	}

	/** Text of a setting; empty when the template determines it, undefined when it does not exist. */
	get(name: string): string | undefined {
		const value = this.#localValues.get(name) ?? this.#values.get(name);
		return (
			value ??
			(attributeNames.has(name) || sessionSettingNames.has(name)
				? ''
				: undefined)
		);
	}

	/** Records the token that is reported to the caller. */
	recordToken(token: string): void {
		this.#values.set('token', token);
	}

	/** Discards the values of SET LOCAL. */
	clearLocal(): void {
		if (this.#localValues.size > 0) {
			this.#localValues.clear();
			this.#attributes = undefined;
		}
	}

	/** Builds the attributes of a request; `comments` are the attributes from its SQL comments. */
	buildAttributes(
		comments: ReadonlyArray<readonly [string, string]>,
	): neverthrow.Result<proxy.RequestAttributes, SettingProblem> {
		if (this.#attributes === undefined || comments.length > 0) {
			const built = parseAttributes(
				[...this.#values].filter(([name]) => attributeNames.has(name)),
				this.#localValues,
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
