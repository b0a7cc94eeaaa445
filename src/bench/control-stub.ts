/**
 * Replaces the control peers in a run: grants leases, reassigns the servers of a silent proxy and
 * takes part in membership. It never fails; failures of control are measured with real processes.
 */
import type * as ids from '../common/ids.js';
import {Membership} from '../common/membership/membership.js';
import type * as messages from '../common/messages.js';
import type {RandomSource} from '../common/random.js';
import type * as types from '../common/types.js';

/** Lease duration and bound of the clock drift, from the design page. */
const leaseDurationMs = 1500;
const maxClockDrift = 0.01;

/** Servers get no owner before this time, so that proxies of all data centres are known by then. */
const assignmentDelayMs = 300;

type ServerState = {
	readonly server: ids.UpstreamId;
	readonly dataCentre: ids.DataCentre;
	readonly writeTerm: number | undefined;
	owner: ids.PeerId | undefined;
	counter: number;
};

type ProxyState = {readonly dataCentre: ids.DataCentre; renewedAt: number};

/** What the stub grants, and how it sends messages. */
export type ControlStubOptions = {
	readonly servers: ReadonlyArray<
		Pick<ServerState, 'server' | 'dataCentre' | 'writeTerm'>
	>;
	readonly groups: readonly types.GroupView[];
	readonly templates: readonly types.Template[];
	readonly send: (to: ids.PeerId, message: messages.PeerMessage) => boolean;
};

/** The single control peer of a run. */
export class ControlStub {
	readonly membership: Membership;
	readonly #options: ControlStubOptions;
	readonly #servers: ServerState[];
	readonly #proxies = new Map<ids.PeerId, ProxyState>();
	#counter = 0;

	constructor(
		self: {
			readonly peer: ids.PeerId;
			readonly address: string;
			readonly dataCentre: ids.DataCentre;
		},
		random: RandomSource,
		options: ControlStubOptions,
	) {
		this.#options = options;
		this.#servers = options.servers.map((server) => ({
			...server,
			owner: undefined,
			counter: 0,
		}));
		this.membership = new Membership({
			self: {...self, role: 'control', incarnation: 1},
			random,
			send: options.send,
			listener: {
				handlePeerChange: () => undefined,
				handleDeadPeerMessage: () => undefined,
				handleAnnouncement: () => true,
				handleTemplateVersion: () => undefined,
				listDeltas: () => [],
			},
		});
	}

	handleTick(now: number): void {
		this.membership.handleTick(now);
		for (const [peer, proxy] of this.#proxies) {
			if (now - proxy.renewedAt > leaseDurationMs * (1 + maxClockDrift)) {
				this.#proxies.delete(peer);
			}
		}

		if (now < assignmentDelayMs) {
			return;
		}

		for (const server of this.#servers) {
			if (server.owner === undefined || !this.#proxies.has(server.owner)) {
				server.owner = this.#chooseOwner(server);
				server.counter = ++this.#counter;
			}
		}
	}

	handleMessage(
		from: ids.PeerId,
		message: messages.PeerMessage,
		now: number,
	): void {
		// Control receives no other messages in a run without failovers.
		if (message.type === 'renewLease') {
			this.#proxies.set(from, {
				dataCentre: message.dataCentre,
				renewedAt: now,
			});
			this.#sendGrant(from, message);
		} else if (
			message.type === 'ping' ||
			message.type === 'pingRequest' ||
			message.type === 'ack' ||
			message.type === 'sync'
		) {
			this.membership.handleMessage(from, message, now);
		}
	}

	/** Prefers proxies in the data centre of the server, then those that own the fewest servers. */
	#chooseOwner(server: ServerState): ids.PeerId | undefined {
		let best: ids.PeerId | undefined;
		let bestLoad = Infinity;
		for (const [peer, proxy] of this.#proxies) {
			const ownedServers = this.#servers.filter(
				({owner}) => owner === peer,
			).length;
			const isLocal = proxy.dataCentre === server.dataCentre;
			const load = ownedServers + (isLocal ? 0 : this.#servers.length);
			if (load < bestLoad) {
				best = peer;
				bestLoad = load;
			}
		}

		return best;
	}

	#sendGrant(
		to: ids.PeerId,
		renewal: Extract<messages.ControlMessage, {type: 'renewLease'}>,
	): void {
		const isNew = renewal.knownIndex === 0;
		this.#options.send(to, {
			type: 'leaseGranted',
			sequence: renewal.sequence,
			durationMs: leaseDurationMs,
			owned: this.#servers
				.filter(({owner}) => owner === to)
				.map(({server, counter, writeTerm}) => ({
					server,
					epoch: {consensusTerm: 1, counter},
					...(writeTerm !== undefined && {writeTerm}),
				})),
			groups: isNew ? this.#options.groups : [],
			owners: this.#servers.map(({server, owner}) => ({server, owner})),
			templates: isNew ? this.#options.templates : [],
			confirmed: renewal.announcements.map(
				({server, version}) => [server, version] as const,
			),
			appliedIndex: 1,
		});
	}
}
