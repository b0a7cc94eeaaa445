/**
 * The owner's side of server reports: subscriptions of entries, and reports to them when they are due.
 */
import type * as ids from '../ids.js';
import type * as messages from '../messages.js';
import * as reportSchedule from '../policy/report-schedule.js';
import * as stalenessPeak from '../policy/staleness-peak.js';
import type * as types from '../types.js';
import type * as context from './context.js';
import type * as owner from './owner.js';
import type * as owned from './owned-server.js';

const subscriptionMs = 60_000;

/** The last report on a server to all its subscribers. */
type SentReport = {
	readonly report: messages.ServerReport;
	readonly sentAt: number;
};

export class ReportPublisher {
	/**
	 * When the subscriptions of entries end, by group: an entry stays subscribed when the owner of a
	 * server changes back and forth.
	 */
	private readonly subscriptions = new Map<
		ids.GroupId,
		Map<ids.PeerId, number>
	>();

	private readonly sentReports = new WeakMap<owned.OwnedServer, SentReport>();
	/** The earliest time that a report since the last one to all subscribers has named for the next. */
	private readonly promisedAt = new WeakMap<owned.OwnedServer, number>();
	private readonly stalenessPeaks = new WeakMap<
		owned.OwnedServer,
		stalenessPeak.StalenessPeak
	>();

	private checkedAt = 0;

	constructor(
		private readonly context: context.ProxyContext,
		private readonly owner: owner.Owner,
	) {}

	/** Stores a subscription; a new one is answered with a report at once. */
	handleSubscribe(from: ids.PeerId, group: ids.GroupId): void {
		let subscribers = this.subscriptions.get(group);
		if (!subscribers) {
			subscribers = new Map();
			this.subscriptions.set(group, subscribers);
		}

		const isNew = !subscribers.has(from);
		subscribers.set(from, this.context.now + subscriptionMs);
		if (!isNew) {
			return;
		}

		const reports = [...this.owner.servers.values()]
			.filter((server) => server.group === group)
			.map((server) => {
				const report = this.createReport(server);
				this.promisedAt.set(
					server,
					Math.min(
						this.promisedAt.get(server) ?? Infinity,
						this.context.now + report.nextReportMs,
					),
				);
				return report;
			});
		if (reports.length > 0) {
			this.context.send(from, {type: 'serverReports', reports});
		}
	}

	/** Reports to the peer are lost until it subscribes again, which then counts as new. */
	handleLinkDown(peer: ids.PeerId): void {
		for (const subscribers of this.subscriptions.values()) {
			subscribers.delete(peer);
		}
	}

	/** Sends the reports that are due. */
	handleTick(): void {
		const {now, timing} = this.context;
		if (now - this.checkedAt < timing.reportIntervalMs) {
			return;
		}

		this.checkedAt = now;
		const reportsBySubscriber = new Map<ids.PeerId, messages.ServerReport[]>();
		this.removeExpiredSubscriptions();
		for (const server of this.owner.servers.values()) {
			const report = this.createReport(server);
			if (this.isReportDue(server, report)) {
				this.recordSentReport(server, report);
				for (const peer of this.listSubscribers(server)) {
					const reports = reportsBySubscriber.get(peer);
					if (reports) {
						reports.push(report);
					} else {
						reportsBySubscriber.set(peer, [report]);
					}
				}
			}
		}

		for (const [peer, reports] of reportsBySubscriber) {
			this.context.send(peer, {type: 'serverReports', reports});
		}
	}

	/** Sends a report to all subscribers at once, for example when writes become possible. */
	sendReport(server: owned.OwnedServer): void {
		const report = this.createReport(server);
		this.recordSentReport(server, report);
		for (const peer of this.listSubscribers(server)) {
			this.context.send(peer, {type: 'serverReports', reports: [report]});
		}
	}

	private recordSentReport(
		server: owned.OwnedServer,
		report: messages.ServerReport,
	): void {
		const {now} = this.context;
		this.sentReports.set(server, {report, sentAt: now});
		this.promisedAt.set(server, now + report.nextReportMs);
	}

	private listSubscribers(server: owned.OwnedServer): Iterable<ids.PeerId> {
		return this.subscriptions.get(server.group)?.keys() ?? [];
	}

	private countSubscribers(server: owned.OwnedServer): number {
		return this.subscriptions.get(server.group)?.size ?? 0;
	}

	private removeExpiredSubscriptions(): void {
		for (const [group, subscribers] of this.subscriptions) {
			for (const [peer, expiresAt] of subscribers) {
				if (
					expiresAt < this.context.now ||
					// This proxy sees its own servers directly.
					peer === this.context.config.peer
				) {
					subscribers.delete(peer);
				}
			}

			if (subscribers.size === 0) {
				this.subscriptions.delete(group);
			}
		}
	}

	private isReportDue(
		server: owned.OwnedServer,
		report: messages.ServerReport,
	): boolean {
		const sent = this.sentReports.get(server);
		if (!sent) {
			return true;
		}

		// Entries count an overdue report as growing staleness. While subscribers are added, the interval
		// grows beyond what the first ones were told.
		if (this.context.now >= (this.promisedAt.get(server) ?? Infinity)) {
			return true;
		}

		const intervalMs = reportSchedule.computeReportInterval(
			this.countSubscribers(server),
			reportSchedule.classifyChange(sent.report, report),
			this.context.timing.reportIntervalMs,
		);
		return this.context.now - sent.sentAt >= intervalMs;
	}

	private createReport(server: owned.OwnedServer): messages.ServerReport {
		const {now} = this.context;
		// Whole numbers take a third of the bytes. Staleness is an upper bound, so it is rounded up.
		const estimateWait = (rank: types.Rank) =>
			Math.round(server.scheduler.estimateWait(rank, now));
		return {
			server: server.server,
			group: server.group,
			role: server.status?.role ?? server.announcement.role,
			term: server.status?.term ?? 0,
			applied: server.status?.applied ?? 0,
			...(server.status?.logTerm === undefined
				? {}
				: {logTerm: server.status.logTerm}),
			answerAgeMs: Math.round(
				now - (server.lastAnswerAt ?? Number.NEGATIVE_INFINITY),
			),
			stalenessMs: Math.ceil(this.updateStalenessPeak(server)),
			expectedWaitMs: {
				urgent: estimateWait('urgent'),
				normal: estimateWait('normal'),
				background: estimateWait('background'),
			},
			writable: this.owner.rules.isWritable(server),
			nextReportMs: Math.round(
				reportSchedule.computeReportInterval(
					this.countSubscribers(server),
					'none',
					this.context.timing.reportIntervalMs,
				),
			),
		};
	}

	private updateStalenessPeak(server: owned.OwnedServer): number {
		let peak = this.stalenessPeaks.get(server);
		if (!peak) {
			peak = new stalenessPeak.StalenessPeak();
			this.stalenessPeaks.set(server, peak);
		}

		return peak.update(
			this.owner.rules.computeStaleness(server),
			this.context.now,
		);
	}
}
