/**
 * Aggregates log lines into a report on refused and unanswered requests. Lines may come in any order;
 * requests are counted at the time of their end, by the clock of the process that wrote the line.
 */
import type * as requestTrace from '../request-trace.js';
import * as counts from './counts.js';
import * as reportTable from './report-table.js';
import * as requestEnd from './request-end.js';
import * as returns from './returns.js';
import type * as types from './types.js';
import * as windows from './windows.js';

export type ReportOptions = {
	/** Lines before or from these times on are left out. */
	readonly fromAt: number;
	readonly untilAt: number;
	readonly windowMs: number;
	/** Number of windows in the report. */
	readonly worstCount: number;
};

const limitedMessage = 'A customer is limited';

export class ReportBuilder {
	private lines = 0;
	private firstAt = Number.POSITIVE_INFINITY;
	private lastAt = Number.NEGATIVE_INFINITY;
	private droppedLines = 0;
	private readonly sources = new Set<string>();
	private readonly requests = counts.createCounts();
	private readonly kinds = new reportTable.Table<
		Pick<types.KindRow, 'member' | 'kind'>
	>();

	private readonly places = new reportTable.Table<
		Pick<types.PlaceRow, 'place'>
	>();

	private readonly deadlines = new reportTable.Table<
		Omit<types.DeadlineRow, keyof types.ReportRow>
	>();

	private readonly causes = new reportTable.Table<
		Pick<types.CauseRow, 'code' | 'cause' | 'place'>
	>();

	private readonly returns = new returns.ReturnTracker();
	private readonly customers = new Map<string, types.CustomerRow>();
	private readonly windows: windows.WindowTable;

	constructor(private readonly options: ReportOptions) {
		this.windows = new windows.WindowTable(options.windowMs);
	}

	add(line: requestTrace.LogLine): void {
		if (line.at < this.options.fromAt || line.at >= this.options.untilAt) {
			return;
		}

		this.lines++;
		this.firstAt = Math.min(this.firstAt, line.at);
		this.lastAt = Math.max(this.lastAt, line.at);
		this.sources.add(line.source);
		const dropped = requestEnd.readDroppedLines(line);
		this.droppedLines += dropped;
		this.windows.addDroppedLines(line.at, dropped);
		const end = requestEnd.parseRequestEnd(line);
		if (end) {
			this.addEnd(end);
		} else {
			this.windows.addSignal(line);
			this.addCustomer(line);
		}
	}

	build(): types.RequestReport {
		return {
			lines: this.lines,
			firstAt: this.lines === 0 ? undefined : this.firstAt,
			lastAt: this.lines === 0 ? undefined : this.lastAt,
			sources: [...this.sources].sort(),
			droppedLines: this.droppedLines,
			requests: this.requests,
			kinds: this.kinds.list().map((row) => row.getRow()),
			places: this.places.list().map((row) => row.getRow()),
			deadlines: this.deadlines.list().map((row) => row.getRow()),
			causes: this.causes.list().map((row) => ({
				...row.getRow(),
				retryAfter: row.getRetryAfter(),
			})),
			returns: this.returns.getSummary(),
			customers: [...this.customers.values()].sort(
				(left, right) => right.lines - left.lines,
			),
			windowMs: this.options.windowMs,
			worstWindows: this.windows.listWorst(this.options.worstCount),
		};
	}

	private addEnd(end: types.RequestEnd): void {
		const {member, kind, place, code, cause, lastReason} = end;
		this.requests[end.outcome] += end.count;
		this.kinds.add({member, kind}, end);
		this.places.add({place}, end);
		this.causes.add({code, cause, place}, end);
		if (end.isDeadline) {
			const wasSent = (end.attempts ?? 0) > 0;
			this.deadlines.add({place, lastReason, wasSent}, end);
		}

		this.returns.add(end);
		this.windows.addEnd(end);
	}

	private addCustomer({message, fields}: requestTrace.LogLine): void {
		const {customer, waiting, retryAfterMs} = fields;
		if (message !== limitedMessage || typeof customer !== 'string') {
			return;
		}

		const row = this.customers.get(customer);
		this.customers.set(customer, {
			customer,
			lines: (row?.lines ?? 0) + 1,
			maxWaiting: Math.max(row?.maxWaiting ?? 0, Number(waiting) || 0),
			maxRetryAfterMs: Math.max(
				row?.maxRetryAfterMs ?? 0,
				Number(retryAfterMs) || 0,
			),
		});
	}
}
