/**
 * Graceful shutdown of a proxy. New callers use other proxies, requests in flight and open
 * transactions finish, control moves the owned servers to other proxies, and then the process may
 * exit.
 */
import type * as context from './context.js';
import type * as entry from './entry.js';
import type * as leaseClient from './lease-client.js';
import type * as owner from './owner.js';

const part = 'drain';

export class DrainController {
	private startedAt: number | undefined;
	private isDrained = false;
	/** When the owned servers became idle; undefined while one of them has work. */
	private idleStartedAt: number | undefined;

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
			this.context.log('info', part, 'Drain started');
		}
	}

	handleTick(): void {
		if (
			this.startedAt === undefined ||
			this.isDrained ||
			!this.isRefusingSessions
		) {
			return;
		}

		this.removeUnleasedServers();
		const elapsed = this.context.now - this.startedAt;
		const isPastDeadline = elapsed >= this.context.config.drainDeadlineMs;
		this.entry.closingSessions = isPastDeadline ? 'all' : 'unbound';
		this.entry.closeIdleSessions(isPastDeadline);
		const hasSessions = this.entry.sessions.size > 0;
		// When all proxies drain together, no other proxy can take over the servers.
		const canLeaveServers =
			this.owner.servers.size === 0 ||
			this.computeIdleMs() >= this.context.timing.idleOwnerMs;
		const hasRequestsInFlight = this.entry.inFlight > 0;
		if (
			(!hasSessions && canLeaveServers) ||
			(isPastDeadline && !hasRequestsInFlight)
		) {
			this.isDrained = true;
			this.leaveMembership();
			this.context.log('info', part, 'Drain complete');
			this.context.emit({type: 'drained'});
		}
	}

	private computeIdleMs(): number {
		for (const server of this.owner.servers.values()) {
			if (server.countRequests() > 0 || server.countBoundConnections() > 0) {
				this.idleStartedAt = undefined;
				return 0;
			}
		}

		this.idleStartedAt ??= this.context.now;
		return this.context.now - this.idleStartedAt;
	}

	/**
	 * Removes idle servers once the lease has expired. Without control, no other proxy takes them
	 * over, and an expired lease needs no release.
	 */
	private removeUnleasedServers(): void {
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
