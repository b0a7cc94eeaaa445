/**
 * Finds in the log lines of several processes what concerns one request: the lines that name it, and
 * what the other processes wrote about its server and owner in the seconds around it. Clocks of VMs
 * differ, so lines of different processes are ordered by their own time stamps only.
 */

/** A line of a structured log with the process that wrote it. */
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
	/** Lines about its server, its owner and the control of its group. */
	readonly related: readonly LogLine[];
};

/** Parts whose lines tell what a process believes of servers and peers. */
const relatedParts: ReadonlySet<unknown> = new Set([
	'control',
	'owner',
	'peer',
	'pool',
	'proxy',
]);

/**
 * Parses one line: a JSON object, with any text before it. A collector puts the name of the process
 * there; without one the source is the fallback, usually the file.
 *
 * @returns Undefined for a line that is no log line.
 */
export function parseLogLine(
	line: string,
	fallback: string,
): LogLine | undefined {
	const start = line.indexOf('{');
	if (start === -1) {
		return undefined;
	}

	let document: unknown;
	try {
		document = JSON.parse(line.slice(start));
	} catch {
		return undefined;
	}

	const {timestamp, part, message, ...fields} = document as Record<
		string,
		unknown
	>;
	const at = Date.parse(String(timestamp));
	if (typeof part !== 'string' || Number.isNaN(at)) {
		return undefined;
	}

	const prefix = line.slice(0, start).trim().split(/\s+/v).at(-1);
	return {
		source: prefix === undefined || prefix === '' ? fallback : prefix,
		at,
		part,
		message: String(message),
		fields,
	};
}

/**
 * Collects the lines of one request.
 *
 * @param windowMs - How long before and after the request related lines are looked for.
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

	const names = own.flatMap(({fields}) =>
		[fields.server, fields.owner].filter(
			(name): name is string => typeof name === 'string',
		),
	);
	const from = first.at - Number(first.fields.ageMs ?? 0) - windowMs;
	const until = last.at + windowMs;
	const related = lines.filter(
		(line) =>
			line.at >= from &&
			line.at <= until &&
			relatedParts.has(line.part) &&
			(line.part === 'control' ||
				names.some((name) => JSON.stringify(line).includes(name))),
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
