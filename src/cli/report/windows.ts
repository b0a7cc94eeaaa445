/**
 * Counts requests and lines about the state of processes in windows of equal width, and ranks the
 * windows.
 */
import type * as requestTrace from '../request-trace.js';
import * as counts from './counts.js';
import type * as types from './types.js';

/** Parts whose lines may explain why requests waited. */
const signalParts: ReadonlySet<string> = new Set([
	'access',
	'control',
	'limits',
	'owner',
	'peer',
	'pool',
	'proxy',
]);
/** Different texts that a window keeps; later ones share one entry. */
const maxSignals = 50;
const otherSignals = 'other lines';

type Window = {
	readonly startAt: number;
	readonly requests: types.OutcomeCounts;
	droppedLines: number;
	waited: number;
	maxWaitMs: number;
	totalWaitMs: number;
	readonly places: Map<types.WaitPlace, number>;
	readonly signals: Map<string, number>;
};

export class WindowTable {
	private readonly windows = new Map<number, Window>();

	constructor(private readonly windowMs: number) {}

	addEnd(end: types.RequestEnd): void {
		const window = this.ensureWindow(end.at);
		const ageMs = end.ageMs ?? 0;
		window.requests[end.outcome] += end.count;
		addCount(window.places, end.place, end.count);
		if (ageMs > 0) {
			window.waited++;
			window.totalWaitMs += ageMs;
			window.maxWaitMs = Math.max(window.maxWaitMs, ageMs);
		}
	}

	addDroppedLines(at: number, dropped: number): void {
		if (dropped > 0) {
			this.ensureWindow(at).droppedLines += dropped;
		}
	}

	addSignal(line: requestTrace.LogLine): void {
		if (!signalParts.has(line.part)) {
			return;
		}

		const {signals} = this.ensureWindow(line.at);
		const text = describeSignal(line);
		const isFull = signals.size >= maxSignals && !signals.has(text);
		addCount(signals, isFull ? otherSignals : text, 1);
	}

	/** Lists the windows with most requests and dropped lines, and among equal ones the longest waits. */
	listWorst(count: number): readonly types.WindowRow[] {
		return [...this.windows.values()]
			.filter((window) => computeWeight(window) > 0)
			.sort(
				(left, right) =>
					computeWeight(right) - computeWeight(left) ||
					right.totalWaitMs - left.totalWaitMs ||
					left.startAt - right.startAt,
			)
			.slice(0, count)
			.map(({places, signals, totalWaitMs: _, ...window}) => ({
				...window,
				places: listCounts(places).map(([place, requests]) => ({
					place,
					requests,
				})),
				signals: listCounts(signals).map(([text, lines]) => ({
					text,
					count: lines,
				})),
			}));
	}

	private ensureWindow(at: number): Window {
		const startAt = Math.floor(at / this.windowMs) * this.windowMs;
		let window = this.windows.get(startAt);
		if (!window) {
			window = {
				startAt,
				requests: counts.createCounts(),
				droppedLines: 0,
				waited: 0,
				maxWaitMs: 0,
				totalWaitMs: 0,
				places: new Map(),
				signals: new Map(),
			};
			this.windows.set(startAt, window);
		}

		return window;
	}
}

function computeWeight({requests, droppedLines}: Window): number {
	return counts.sumCounts(requests) + droppedLines;
}

function describeSignal({part, message, fields}: requestTrace.LogLine): string {
	const subject = [fields.server, fields.customer].find(
		(name): name is string =>
			typeof name === 'string' && !message.includes(name),
	);
	return subject === undefined
		? `${part}: ${message}`
		: `${part}: ${message} (${subject})`;
}

function addCount<Key>(map: Map<Key, number>, key: Key, count: number): void {
	map.set(key, (map.get(key) ?? 0) + count);
}

function listCounts<Key>(map: ReadonlyMap<Key, number>): Array<[Key, number]> {
	return [...map].sort(([, left], [, right]) => right - left);
}
