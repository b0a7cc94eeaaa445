/**
 * Graceful shutdown of a proxy. New callers go elsewhere, requests in flight and open transactions
 * finish, control moves the owned servers, then the process may exit.
 */
import type * as context from './context.js';
import type * as entry from './entry.js';
import type * as leaseClient from './lease-client.js';
import type * as owner from './owner.js';

const part = 'drain';

export class DrainController {
	private startedAt: number | undefined;
	private isDone = false;
	/** Since when no owned server has had work. */
	private idleSince: number | undefined;

	constructor(
		private readonly context: context.ProxyContext,
		private readonly entry: entry.Entry,
		private readonly owner: owner.Owner,
		private readonly lease: leaseClient.LeaseClient,
		private readonly leaveMembership: () => void,
	) {}

	get isDraining(): boolean {
		return this.startedAt !== undefined;
	}

	/** True once new sessions are refused. */
	get isRefusingSessions(): boolean {
		return (
			this.startedAt !== undefined &&
			this.context.now - this.startedAt >= this.context.timing.balancerGraceMs
		);
	}

	start(): void {
		if (this.startedAt === undefined) {
			this.startedAt = this.context.now;
			this.context.log('info', part, 'Started to drain');
		}
	}

	handleTick(): void {
		if (
			this.startedAt === undefined ||
			this.isDone ||
			!this.isRefusingSessions
		) {
			return;
		}

		this.removeUngranted();
		const elapsed = this.context.now - this.startedAt;
		const isLate = elapsed >= this.context.config.drainDeadlineMs;
		this.entry.closeIdleSessions(isLate);
		const hasSessions = this.entry.sessions.size > 0;
		// When all proxies stop together, control has nobody to move the servers to.
		const isGivenUp =
			this.owner.servers.size === 0 ||
			this.computeIdleTime() >= this.context.timing.idleOwnerMs;
		const hasWork = this.entry.inFlight > 0;
		if ((!hasSessions && isGivenUp) || (isLate && !hasWork)) {
			this.isDone = true;
			this.leaveMembership();
			this.context.log('info', part, 'Drained');
			this.context.emit({type: 'drained'});
		}
	}

	private computeIdleTime(): number {
		for (const server of this.owner.servers.values()) {
			if (server.countRequests() > 0 || server.countBoundConnections() > 0) {
				this.idleSince = undefined;
				return 0;
			}
		}

		this.idleSince ??= this.context.now;
		return this.context.now - this.idleSince;
	}

	/** Without control nobody takes the servers; an expired lease is as good as a release. */
	private removeUngranted(): void {
		if (this.lease.isValid(this.context.now)) {
			return;
		}

		for (const server of this.owner.servers.values()) {
			if (
				server.countRequests() === 0 &&
				server.countBoundConnections() === 0
			) {
				this.owner.removeServer(server);
			}
		}
	}
}
