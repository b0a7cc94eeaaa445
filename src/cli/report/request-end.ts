/**
 * Reads from a log line how a request ended, where it waited and what its caller was told.
 */
import type * as requestTrace from '../request-trace.js';
import type * as types from './types.js';

const requestPart = 'request';
const notRunPrefix = 'not run: ';
const unknownPrefix = 'the outcome is unknown: ';
const deadlineCauses: ReadonlySet<string> = new Set([
	'the deadline has passed',
	'no answer before the deadline',
]);
const boundConnectionsCause =
	'too many sessions hold connections of the server';
/** Reasons for which an entry keeps a request until its deadline. */
const placesByReason: ReadonlyMap<string | undefined, types.WaitPlace> =
	new Map([
		['noPrimary', 'noPrimary'],
		['noServer', 'noServer'],
		['tooStale', 'staleness'],
	]);
const retryAfterPattern =
	/(?:a place is expected in|retry in) (?<retryAfterMs>\d+) ms$/v;

/** Returns the end of a request that the line reports; undefined for any other line. */
export function parseRequestEnd(
	line: requestTrace.LogLine,
): types.RequestEnd | undefined {
	if (line.part !== requestPart) {
		return undefined;
	}

	switch (line.message) {
		case 'Refused': {
			return parseRefusal(line);
		}

		case 'Left without an answer': {
			return parseUnanswered(line);
		}

		default: {
			return undefined;
		}
	}
}

/** Returns the number of request lines that the limit on log lines dropped before this line. */
export function readDroppedLines({part, fields}: requestTrace.LogLine): number {
	return part === requestPart ? (readNumber(fields.dropped) ?? 0) : 0;
}

function parseRefusal({at, fields}: requestTrace.LogLine): types.RequestEnd {
	const text = readText(fields.cause) ?? '';
	const kind = readText(fields.kind);
	// A session that ends gives up its running request with the plain cause of its end.
	const isUnknown = kind !== undefined && !text.startsWith(notRunPrefix);
	const cause = removePrefix(text);
	const lastReason = readText(fields.lastReason);
	const attempts = readNumber(fields.attempts);
	const retryAfter = retryAfterPattern.exec(cause)?.groups?.retryAfterMs;
	const ageMs = readNumber(fields.ageMs);
	const isDeadline =
		deadlineCauses.has(cause) ||
		(!isUnknown && lastReason === 'deadline') ||
		(ageMs ?? 0) >= (readNumber(fields.limitMs) ?? Infinity);
	return {
		at,
		id: readText(fields.id),
		member: readText(fields.member),
		kind,
		outcome: isUnknown ? 'unknown' : 'refused',
		count: 1,
		place: findPlace({
			isUnknown,
			isLocal: kind === undefined,
			isRateLimit: retryAfter !== undefined,
			cause,
			lastReason,
			attempts,
		}),
		code: readText(fields.code),
		cause: cause.replaceAll(/\b\d+\b/gv, 'N'),
		lastReason,
		attempts,
		ageMs,
		isDeadline,
		retryAfterMs: retryAfter === undefined ? undefined : Number(retryAfter),
	};
}

function parseUnanswered({at, fields}: requestTrace.LogLine): types.RequestEnd {
	const stage = readText(fields.stage) ?? '';
	return {
		at,
		id: readText(fields.id),
		member: readText(fields.member),
		kind: undefined,
		outcome: 'unanswered',
		count: readNumber(fields.count) ?? 1,
		place: stage === 'running' ? 'running' : 'session',
		code: undefined,
		cause: `${stage}: ${readText(fields.cause) ?? ''}`,
		lastReason: undefined,
		attempts: undefined,
		ageMs: undefined,
		isDeadline: false,
		retryAfterMs: undefined,
	};
}

type PlaceInput = {
	readonly isUnknown: boolean;
	/** The session refused the request itself. */
	readonly isLocal: boolean;
	readonly isRateLimit: boolean;
	readonly cause: string;
	readonly lastReason: string | undefined;
	readonly attempts: number | undefined;
};

function findPlace(input: PlaceInput): types.WaitPlace {
	if (input.isUnknown) {
		return 'running';
	}

	if (input.isLocal) {
		return 'session';
	}

	if (input.isRateLimit) {
		return 'rateLimit';
	}

	if (input.cause === boundConnectionsCause) {
		return 'connection';
	}

	const place = placesByReason.get(input.lastReason);
	if (place) {
		return place;
	}

	if (input.lastReason !== undefined && (input.attempts ?? 0) > 0) {
		return 'owner';
	}

	return deadlineCauses.has(input.cause) ? 'unnamed' : 'entry';
}

function removePrefix(cause: string): string {
	for (const prefix of [notRunPrefix, unknownPrefix]) {
		if (cause.startsWith(prefix)) {
			return cause.slice(prefix.length);
		}
	}

	return cause;
}

function readText(value: unknown): string | undefined {
	return typeof value === 'string' ? value : undefined;
}

function readNumber(value: unknown): number | undefined {
	return typeof value === 'number' && Number.isFinite(value) && value >= 0
		? value
		: undefined;
}
