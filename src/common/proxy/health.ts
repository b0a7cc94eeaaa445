/**
 * Determines whether the proxy can serve callers, for the load balancer: it receives messages from
 * peers, control grants it leases, and it has the routes that its sessions need.
 */
import type * as ids from '../ids.js';
import type * as membershipService from '../membership/membership.js';
import * as random from '../random.js';
import type * as context from './context.js';
import type * as leaseClient from './lease-client.js';

/** A renewal is answered within 250 ms and one round trip between regions. */
const missingGrantMs = 350;
/** Peers whose links are probed while grants are missing. */
const maxSampledPeers = 16;

/** State that the health of a proxy depends on, besides time. */
export type HealthSource = {
	readonly lease: Pick<leaseClient.LeaseClient, 'lastGrantAt'>;
	readonly membership: Pick<membershipService.Membership, 'listPeers'>;
	isDraining(): boolean;
	/** True when sessions need a configuration and none is in force. */
	lacksRoutes(): boolean;
	/** True while every request is refused because the keys of customers cannot be confirmed. */
	refusesAllCallers(): boolean;
};

export class ProxyHealth {
	/**
	 * True before the first grant, and after `isolationLimitMs` without a message from a peer. Templates
	 * and routes may be out of date then, so new sessions are refused.
	 */
	isIsolated = true;
	private startedAt = 0;
	private lastContactAt = 0;
	private lastReport: {ready: boolean; reason: string} | undefined;
	/** Peers that show whether this proxy is in a minority partition; chosen when grants are missing. */
	private sample: readonly ids.PeerId[] | undefined;

	constructor(
		private readonly context: context.ProxyContext,
		private readonly source: HealthSource,
	) {}

	/**
	 * True while the proxy has no contact with control and reaches only a minority of its peers, so
	 * that callers are served better by another proxy. It stays false when all proxies have lost
	 * contact with control but reach each other, because no proxy would serve the callers better.
	 */
	get isInMinorityPartition(): boolean {
		const {grantLimitMs, minorityGrantLimitMs} = this.context.timing;
		return (
			!this.source.isDraining() &&
			this.source.lease.lastGrantAt > 0 &&
			this.timeSinceGrantMs > Math.min(grantLimitMs, minorityGrantLimitMs) &&
			this.isInMinority
		);
	}

	private get timeSinceGrantMs(): number {
		return this.context.now - this.source.lease.lastGrantAt;
	}

	private get isInMinority(): boolean {
		const sample = this.sample ?? this.chooseSample();
		const reachable = sample.filter((peer) => this.context.isReachable(peer));
		return reachable.length < sample.length / 2;
	}

	start(now: number): void {
		this.startedAt = now;
		this.lastContactAt = now;
	}

	/** Lists peers whose links have to be probed to tell whether this proxy is cut off. */
	listSampledPeers(): readonly ids.PeerId[] {
		return this.sample ?? [];
	}

	/** Records that a message from any peer has arrived. */
	recordContact(now: number): void {
		this.lastContactAt = now;
	}

	/** Evaluates the health and reports it when it has changed. */
	update(): void {
		const {now, timing} = this.context;
		this.updateSample();
		this.isIsolated =
			now - this.lastContactAt > timing.isolationLimitMs ||
			this.source.lease.lastGrantAt === 0;
		const reason = this.findProblem();
		const isStarting = now - this.startedAt < timing.startGraceMs;
		const ready =
			reason === undefined || (isStarting && !this.source.isDraining());
		const report = {ready, reason: reason ?? 'ready'};
		if (
			this.lastReport?.ready !== report.ready ||
			this.lastReport.reason !== report.reason
		) {
			this.lastReport = report;
			this.context.emit({type: 'setHealth', ...report});
		}
	}

	private updateSample(): void {
		const isGrantMissing =
			this.source.lease.lastGrantAt > 0 &&
			this.timeSinceGrantMs > missingGrantMs;
		this.sample = isGrantMissing
			? (this.sample ?? this.chooseSample())
			: undefined;
	}

	/** In a small fleet, the sample contains all peers. */
	private chooseSample(): ids.PeerId[] {
		const others: ids.PeerId[] = [];
		for (const {peer, condition} of this.source.membership.listPeers()) {
			if (peer !== this.context.config.peer && condition !== 'left') {
				others.push(peer);
			}
		}

		return random.drawSample(this.context.random, others, maxSampledPeers);
	}

	private findProblem(): string | undefined {
		if (this.source.isDraining()) {
			return 'draining';
		}

		if (this.isIsolated) {
			return 'no contact with other peers';
		}

		if (this.timeSinceGrantMs > this.context.timing.grantLimitMs) {
			return 'no contact with the control leader';
		}

		if (this.isInMinorityPartition) {
			return 'cut off with a minority of the peers';
		}

		if (this.source.lacksRoutes()) {
			return 'no configuration yet';
		}

		return this.source.refusesAllCallers()
			? 'keys of customers cannot be confirmed'
			: undefined;
	}
}
