/**
 * Whether the proxy can serve callers, as the load balancer is told: it hears its peers, control
 * grants it leases, and it has the routes that its sessions need.
 */
import type * as ids from '../ids.js';
import type * as membershipService from '../membership/membership.js';
import type * as context from './context.js';
import type * as leaseClient from './lease-client.js';

/** What the health of a proxy depends on, besides time. */
export type HealthSource = {
	readonly lease: Pick<leaseClient.LeaseClient, 'lastGrantAt'>;
	readonly membership: Pick<membershipService.Membership, 'listPeers'>;
	isDraining(): boolean;
	/** True when sessions need a configuration and none is in force. */
	lacksRoutes(): boolean;
};

export class ProxyHealth {
	/** True while templates and routes may be out of date: every request is refused. */
	isIsolated = true;
	private startedAt = 0;
	private lastHeardAt = 0;
	private reported: {ready: boolean; reason: string} | undefined;

	constructor(
		private readonly context: context.ProxyContext,
		private readonly source: HealthSource,
	) {}

	/**
	 * True while the proxy is cut off from control with a minority of the others, so that callers are
	 * better off elsewhere. When all proxies have lost control, nobody would be better off.
	 */
	get isInMinorityPartition(): boolean {
		const {grantLimitMs, minorityGrantLimitMs} = this.context.timing;
		return (
			!this.source.isDraining() &&
			this.source.lease.lastGrantAt > 0 &&
			this.silentMs > Math.min(grantLimitMs, minorityGrantLimitMs) &&
			this.isInMinority
		);
	}

	/** Time since the last grant of control. */
	private get silentMs(): number {
		return this.context.now - this.source.lease.lastGrantAt;
	}

	private get isInMinority(): boolean {
		const others: ids.PeerId[] = [];
		for (const {peer, condition} of this.source.membership.listPeers()) {
			if (peer !== this.context.config.peer && condition !== 'left') {
				others.push(peer);
			}
		}

		const reachable = others.filter((peer) => this.context.isReachable(peer));
		return reachable.length < others.length / 2;
	}

	start(now: number): void {
		this.startedAt = now;
		this.lastHeardAt = now;
	}

	/** Notes a message of any peer. */
	recordContact(now: number): void {
		this.lastHeardAt = now;
	}

	/** Judges the health anew and reports it when it has changed. */
	update(): void {
		const {now, timing} = this.context;
		this.isIsolated =
			now - this.lastHeardAt > timing.isolationLimitMs ||
			this.source.lease.lastGrantAt === 0;
		const reason = this.findProblem();
		const isStarting = now - this.startedAt < timing.startGraceMs;
		const ready =
			reason === undefined || (isStarting && !this.source.isDraining());
		const report = {ready, reason: reason ?? 'ready'};
		if (
			this.reported?.ready !== report.ready ||
			this.reported.reason !== report.reason
		) {
			this.reported = report;
			this.context.emit({type: 'setHealth', ...report});
		}
	}

	private findProblem(): string | undefined {
		if (this.source.isDraining()) {
			return 'draining';
		}

		if (this.isIsolated) {
			return 'no contact with other peers';
		}

		if (this.silentMs > this.context.timing.grantLimitMs) {
			return 'no contact with the control leader';
		}

		if (this.isInMinorityPartition) {
			return 'cut off with a minority of the peers';
		}

		return this.source.lacksRoutes() ? 'no configuration yet' : undefined;
	}
}
