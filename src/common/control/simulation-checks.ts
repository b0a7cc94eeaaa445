/**
 * The checks of a simulated control group: leases are exclusive, and acknowledged writes survive
 * promotions. Violations are collected, at most 20 of them.
 */
import type * as ids from '../ids.js';
import type * as fakeProxies from './fake-proxy.js';
import type * as fakeServers from './fake-server.js';

const maxProblems = 20;

export class SimulationChecks {
	readonly acknowledgedWrites: number[] = [];
	readonly problems: string[] = [];

	constructor(
		private readonly readNow: () => number,
		private readonly readClock: (peer: ids.PeerId) => number,
	) {}

	/** Lists the acknowledged writes that a server does not hold. */
	listLostWrites(server: fakeServers.FakeServer): number[] {
		const held = new Set(server.records.map(({write}) => write));
		return this.acknowledgedWrites.filter((write) => !held.has(write));
	}

	/**
	 * Records that a write was acknowledged to its caller. `primary` is the primary of the newest term,
	 * when it is known; a server that it has replaced must not have acknowledged anything.
	 */
	recordAcknowledgement(
		write: number,
		server: fakeServers.FakeServer,
		primary: fakeServers.FakeServer | undefined,
	): void {
		this.acknowledgedWrites.push(write);
		if (primary && primary !== server) {
			this.#reportProblem(
				`write ${write} of ${server.server} is acknowledged after ${primary.server} was promoted`,
			);
		}
	}

	/** Checks that a server that acknowledges commits itself holds them all when it is promoted. */
	checkPromotion(server: fakeServers.FakeServer): void {
		const lost = this.listLostWrites(server);
		if (lost.length > 0) {
			this.#reportProblem(
				`${server.server} is promoted without ${lost.length} acknowledged writes`,
			);
		}
	}

	/** Checks that no server has two owners, and that write leases of two terms are never valid at once. */
	checkLeases(
		proxies: ReadonlyMap<ids.PeerId, fakeProxies.FakeProxy | undefined>,
	): void {
		const owners = new Map<ids.UpstreamId, ids.PeerId>();
		const terms = new Map<number, ids.PeerId>();
		for (const [peer, proxy] of proxies) {
			for (const lease of proxy?.listValidLeases(this.readClock(peer)) ?? []) {
				const other = owners.get(lease.server);
				if (other !== undefined) {
					this.#reportProblem(
						`${lease.server} is owned by ${other} and ${peer}`,
					);
				}

				owners.set(lease.server, peer);
				if (lease.writeTerm !== undefined) {
					terms.set(lease.writeTerm, peer);
				}
			}
		}

		if (terms.size > 1) {
			this.#reportProblem(
				`write leases of terms ${[...terms.keys()].join(', ')}`,
			);
		}
	}

	#reportProblem(problem: string): void {
		if (this.problems.length < maxProblems) {
			this.problems.push(`${this.readNow()}: ${problem}`);
		}
	}
}
