/**
 * Finds the log lines of several processes that concern one request: the lines that name it, and
 * those that the processes wrote about its server, its owner and control in the seconds around it.
 * Lines of different processes are sorted by time stamp. The clocks of VMs differ, so their order is
 * only approximate.
 */
import * as neverthrow from 'neverthrow';

/** A line of a structured log, with the process that wrote it. */
export type LogLine = {
	readonly source: string;
	/** Wall clock of the process in ms. */
	readonly at: number;
	readonly part: string;
	readonly message: string;
	readonly fields: Readonly<Record<string, unknown>>;
};

export type RequestTrace = {
	/** Lines that name the request, in the order of their time stamps. */
	readonly own: readonly LogLine[];
	/** Lines about its server or its owner, and all lines of the part `control` in the time window. */
	readonly related: readonly LogLine[];
};

/** Parts whose lines report the state of servers and peers as a process sees it. */
const relatedParts: ReadonlySet<unknown> = new Set([
	'control',
	'owner',
	'peer',
	'pool',
	'proxy',
]);

/**
 * Parses one line: a JSON object, with any text before it. A log collector prepends the name of the
 * process; without that prefix the source is `fallbackSource`, usually the file.
 *
 * @returns Undefined when the line is not a log line.
 */
export function parseLogLine(
	line: string,
	fallbackSource: string,
): LogLine | undefined {
	return decodeLogLine(line, fallbackSource).unwrapOr(undefined);
}

/** Like `parseLogLine`, with the reason why the line is not a log line as the error. */
export function decodeLogLine(
	line: string,
	fallbackSource: string,
): neverthrow.Result<LogLine, string> {
	const start = line.indexOf('{');
	if (start === -1) {
		return neverthrow.err('no JSON object');
	}

	let document: unknown;
	try {
		document = JSON.parse(line.slice(start));
	} catch {
		return neverthrow.err('invalid JSON');
	}

	const {timestamp, part, message, ...fields} = document as Record<
		string,
		unknown
	>;
	const at = typeof timestamp === 'string' ? Date.parse(timestamp) : Number.NaN;
	if (Number.isNaN(at)) {
		return neverthrow.err('no valid timestamp');
	}

	if (typeof part !== 'string') {
		return neverthrow.err('no part');
	}

	const prefix = line.slice(0, start).trim().split(/\s+/v).at(-1);
	return neverthrow.ok({
		source: prefix === undefined || prefix === '' ? fallbackSource : prefix,
		at,
		part,
		message:
			typeof message === 'string' ? message : JSON.stringify(message ?? null),
		fields,
	});
}

/**
 * Collects the lines of one request.
 *
 * @param windowMs - Time before and after the request in which related lines are searched, in ms.
 */
export function buildRequestTrace(
	lines: readonly LogLine[],
	id: string,
	windowMs: number,
): RequestTrace {
	const own = lines.filter(({fields}) => fields.id === id).sort(compareTime);
	const first = own.at(0);
	const last = own.at(-1);
	if (!first || !last) {
		return {own, related: []};
	}

	const relatedNames = own.flatMap(({fields}) =>
		[fields.server, fields.owner].filter(
			(name): name is string => typeof name === 'string',
		),
	);
	const {ageMs} = first.fields;
	const windowStartAt =
		first.at - (typeof ageMs === 'number' ? ageMs : 0) - windowMs;
	const windowEndAt = last.at + windowMs;
	const related = lines.filter(
		(line) =>
			line.at >= windowStartAt &&
			line.at <= windowEndAt &&
			relatedParts.has(line.part) &&
			(line.part === 'control' ||
				relatedNames.some((name) => JSON.stringify(line).includes(name))),
	);
	return {own, related: related.sort(compareTime)};
}

/** Formats a line for people: time, process, part, message and fields. */
export function formatLogLine(line: LogLine): string {
	const {level: _level, ...fields} = line.fields;
	const details =
		Object.keys(fields).length === 0 ? '' : ` ${JSON.stringify(fields)}`;
	const time = new Date(line.at).toISOString();
	return `${time} ${line.source} ${line.part}: ${line.message}${details}`;
}

function compareTime(left: LogLine, right: LogLine): number {
	return left.at - right.at;
}
