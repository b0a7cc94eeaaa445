/**
 * Simulates a proxy's side of leases for tests: renewals, grants, revocations and polls, as
 * docs/design.md describes them. The proxy writes to a primary while it holds the write lease. It
 * acknowledges a write once enough servers of the group hold it, provided that the lease is still valid.
 */
import type * as ids from '../ids.js';
import type * as types from '../types.js';
import type * as messages from '../messages.js';
import * as epochs from '../epoch.js';
import type * as fakeServers from './fake-server.js';
import * as timing from './timing.js';

const renewalIntervalMs = 250;
const pollIntervalMs = 100;
const announcementIntervalMs = 1000;
/** After this many renewals without an answer, the next control peer is tried. */
const maxUnansweredRenewals = 3;

type HeldLease = {
	readonly epoch: types.Epoch;
	expiresAt: number;
	writeTerm: number | undefined;
	/** Term of the last write lease that was revoked. */
	revokedWriteTerm: number | undefined;
	/** When the revoked lease is released. */
	releaseAt: number | undefined;
	releaseScope: 'write' | 'ownership' | undefined;
	lastAnswerAt: number | undefined;
	status: types.UpstreamStatus | undefined;
	/** Start of the period in which no replica has made progress although the primary is ahead. */
	stalledSince: number | undefined;
	isPolled: boolean;
};

/** What a proxy needs from the simulation. */
export type FakeProxyEnvironment = {
	readonly controlPeers: readonly ids.PeerId[];
	/** Upper limit of the random time by which requests in flight delay the release of a lease. */
	readonly maxReleaseDelayMs: number;
	/** Time between two writes, in ms. */
	readonly writeIntervalMs: number;
	/** Set when the servers acknowledge commits themselves; see `Announcement`. */
	readonly synchronousReplicas?: number;
	send(to: ids.PeerId, message: messages.PeerMessage): void;
	/** Returns the server; undefined while the proxy cannot reach it. */
	findServer(server: ids.UpstreamId): fakeServers.FakeServer | undefined;
	listServers(): fakeServers.FakeServer[];
	/** Returns the number of a new write; each write has its own. */
	createWriteNumber(): number;
	/** True when enough servers hold the write at this offset of a primary. */
	canAcknowledge(
		server: fakeServers.FakeServer,
		offset: number,
		group: types.GroupView,
	): boolean;
	/** Reports that a write was acknowledged to its caller. */
	acknowledge(write: number, server: fakeServers.FakeServer): void;
	random(): number;
};

type PendingWrite = {
	readonly server: ids.UpstreamId;
	readonly number: number;
	readonly term: number;
	readonly offset: number;
};

/** One instance of a proxy. */
export class FakeProxy {
	readonly peer: ids.PeerId;
	readonly dataCentre: ids.DataCentre;
	readonly incarnation: number;
	isDraining = false;
	readonly leases = new Map<ids.UpstreamId, HeldLease>();
	readonly templates = new Map<ids.MemberId, types.Template>();
	readonly groups = new Map<ids.GroupId, types.GroupView>();
	readonly #environment: FakeProxyEnvironment;
	readonly #announcements = new Map<
		ids.UpstreamId,
		types.VersionedAnnouncement
	>();

	readonly #sentAt = new Map<number, number>();
	readonly #invalidEpochs = new Set<string>();
	#pendingWrites: PendingWrite[] = [];
	#leader: ids.PeerId;
	#sequence = 0;
	#lastAnsweredSequence = 0;
	#knownIndex = 0;
	#nextRenewalAt = 0;
	#nextPollAt = 0;
	#nextWriteAt = 0;
	#nextAnnouncementAt = 0;

	constructor(
		identity: Readonly<{
			peer: ids.PeerId;
			dataCentre: ids.DataCentre;
			incarnation: number;
		}>,
		environment: FakeProxyEnvironment,
	) {
		this.peer = identity.peer;
		this.dataCentre = identity.dataCentre;
		this.incarnation = identity.incarnation;
		this.#environment = environment;
		this.#leader = environment.controlPeers[0];
	}

	/** Lists the servers that the proxy owns under a valid lease, with the term of its write lease. */
	listValidLeases(
		now: number,
	): Array<{server: ids.UpstreamId; writeTerm: number | undefined}> {
		return [...this.leases]
			.filter(([, lease]) => now < lease.expiresAt)
			.map(([server, {writeTerm}]) => ({server, writeTerm}));
	}

	/** Runs the periodic work that is due. `now` is read from the proxy's own clock. */
	tick(now: number): void {
		this.#releaseDueLeases(now);
		this.#expireLeases(now);
		if (now >= this.#nextAnnouncementAt) {
			this.#nextAnnouncementAt = now + announcementIntervalMs;
			this.#storeAnnouncements();
		}

		if (now >= this.#nextPollAt) {
			this.#nextPollAt = now + pollIntervalMs;
			this.#poll(now);
		}

		if (now >= this.#nextWriteAt) {
			this.#nextWriteAt = now + this.#environment.writeIntervalMs;
			this.#write(now);
		}

		if (now >= this.#nextRenewalAt) {
			this.#nextRenewalAt = now + renewalIntervalMs;
			this.#renew(now);
		}
	}

	handleMessage(now: number, message: messages.PeerMessage): void {
		if (message.type === 'leaseGranted') {
			this.#handleGrant(now, message);
		}

		if (message.type === 'revokeLease') {
			this.#handleRevocation(now, message);
		}

		if (message.type === 'notLeader') {
			this.#leader = message.leader ?? this.#chooseNextControlPeer();
			this.#lastAnsweredSequence = this.#sequence;
			this.#nextRenewalAt = Math.min(this.#nextRenewalAt, now + 50);
		}

		if (message.type === 'templatePush') {
			this.#storeTemplate(message.template);
		}
	}

	#chooseNextControlPeer(): ids.PeerId {
		const {controlPeers} = this.#environment;
		const index = controlPeers.indexOf(this.#leader);
		return controlPeers[(index + 1) % controlPeers.length];
	}

	#renew(now: number): void {
		if (this.#sequence - this.#lastAnsweredSequence >= maxUnansweredRenewals) {
			this.#leader = this.#chooseNextControlPeer();
			this.#lastAnsweredSequence = this.#sequence;
		}

		const sequence = ++this.#sequence;
		this.#sentAt.set(sequence, now);
		this.#environment.send(this.#leader, {
			type: 'renewLease',
			sequence,
			dataCentre: this.dataCentre,
			incarnation: this.incarnation,
			draining: this.isDraining,
			owned: [...this.leases].map(([server, lease]) => ({
				server,
				epoch: lease.epoch,
				...(lease.writeTerm === undefined ? {} : {writeTerm: lease.writeTerm}),
				...(lease.lastAnswerAt === undefined
					? {}
					: {answerAgeMs: now - lease.lastAnswerAt}),
				...(lease.status ? {status: lease.status} : {}),
				...(lease.stalledSince === undefined
					? {}
					: {stalledMs: now - lease.stalledSince}),
			})),
			announcements: [...this.#announcements.values()],
			templateVersions: [...this.templates].map(
				([member, {version}]) => [member, version] as const,
			),
			knownIndex: this.#knownIndex,
		});
	}

	#handleGrant(
		now: number,
		message: Extract<messages.ControlMessage, {type: 'leaseGranted'}>,
	): void {
		const sentAt = this.#sentAt.get(message.sequence);
		if (sentAt === undefined || message.sequence < this.#lastAnsweredSequence) {
			return;
		}

		this.#lastAnsweredSequence = message.sequence;
		this.#expireLeases(now);
		const expiresAt = sentAt + message.durationMs * (1 - timing.maxClockDrift);
		const granted = new Set(message.owned.map(({server}) => server));
		for (const server of this.leases.keys()) {
			// The grant may have been overtaken by a later one, so a grant of the same epoch may follow.
			if (!granted.has(server)) {
				this.leases.delete(server);
			}
		}

		for (const grant of message.owned) {
			this.#applyGrant(now, grant, expiresAt);
		}

		for (const group of message.groups) {
			this.groups.set(group.group, group);
		}

		for (const template of message.templates) {
			this.#storeTemplate(template);
		}

		this.#knownIndex = Math.max(this.#knownIndex, message.appliedIndex);
	}

	#applyGrant(
		now: number,
		grant: messages.OwnershipGrant,
		expiresAt: number,
	): void {
		let lease = this.leases.get(grant.server);
		if (lease && epochs.compareEpochs(lease.epoch, grant.epoch) !== 0) {
			this.#endLease(grant.server);
			lease = undefined;
		}

		if (this.#invalidEpochs.has(formatEpoch(grant.server, grant.epoch))) {
			return;
		}

		if (!lease && now < expiresAt) {
			lease = {
				epoch: grant.epoch,
				expiresAt,
				writeTerm: undefined,
				revokedWriteTerm: undefined,
				releaseAt: undefined,
				releaseScope: undefined,
				lastAnswerAt: undefined,
				status: undefined,
				stalledSince: undefined,
				isPolled: false,
			};
			this.leases.set(grant.server, lease);
		}

		if (lease) {
			lease.expiresAt = Math.max(lease.expiresAt, expiresAt);
			const isReleased =
				grant.writeTerm !== undefined &&
				lease.revokedWriteTerm === grant.writeTerm &&
				lease.releaseAt === undefined;
			lease.writeTerm = isReleased ? undefined : grant.writeTerm;
		}
	}

	#handleRevocation(
		now: number,
		message: Extract<messages.ControlMessage, {type: 'revokeLease'}>,
	): void {
		const lease = this.leases.get(message.server);
		if (!lease || epochs.compareEpochs(lease.epoch, message.epoch) !== 0) {
			// The grant may still be in flight, so a grant of this epoch must be ignored after this answer.
			this.#invalidEpochs.add(formatEpoch(message.server, message.epoch));
			this.#environment.send(this.#leader, {...message, type: 'leaseReleased'});
			return;
		}

		if (message.scope === 'write') {
			if (lease.revokedWriteTerm === message.writeTerm) {
				if (lease.releaseAt === undefined) {
					this.#environment.send(this.#leader, {
						...message,
						type: 'leaseReleased',
					});
				}

				return;
			}

			lease.revokedWriteTerm = message.writeTerm;
		}

		lease.releaseScope = message.scope;
		lease.releaseAt ??=
			now + this.#environment.random() * this.#environment.maxReleaseDelayMs;
	}

	/** Releases revoked leases after a short delay that stands for requests in flight. */
	#releaseDueLeases(now: number): void {
		for (const [server, lease] of this.leases) {
			if (lease.releaseAt === undefined || now < lease.releaseAt) {
				continue;
			}

			const scope = lease.releaseScope ?? 'write';
			lease.releaseAt = undefined;
			lease.releaseScope = undefined;
			if (scope === 'ownership') {
				this.#endLease(server);
			} else if (lease.writeTerm === lease.revokedWriteTerm) {
				lease.writeTerm = undefined;
			}

			this.#environment.send(this.#leader, {
				type: 'leaseReleased',
				server,
				epoch: lease.epoch,
				scope,
				...(lease.revokedWriteTerm === undefined
					? {}
					: {writeTerm: lease.revokedWriteTerm}),
			});
		}
	}

	#expireLeases(now: number): void {
		for (const [server, lease] of this.leases) {
			if (now >= lease.expiresAt) {
				this.#endLease(server);
			}
		}
	}

	/** Ends a lease; later grants of its epoch are ignored. */
	#endLease(server: ids.UpstreamId): void {
		const lease = this.leases.get(server);
		if (lease) {
			this.#invalidEpochs.add(formatEpoch(server, lease.epoch));
			this.leases.delete(server);
		}
	}

	#storeTemplate(template: types.Template): void {
		const known = this.templates.get(template.member)?.version ?? 0;
		if (template.version > known) {
			this.templates.set(template.member, template);
		}
	}

	#storeAnnouncements(): void {
		for (const server of this.#environment.listServers()) {
			const {server: id, role, term} = server;
			this.#announcements.set(id, {
				group: 'g1' as ids.GroupId,
				server: id,
				address: `address of ${id}`,
				dataCentre: server.dataCentre,
				role,
				term,
				position: server.records.length,
				slots: 3,
				connectionLimit: 25,
				departing: server.isDeparting,
				startedAt: server.startedAt,
				...(this.#environment.synchronousReplicas === undefined
					? {}
					: {synchronousReplicas: this.#environment.synchronousReplicas}),
				version: (this.#announcements.get(id)?.version ?? 0) + 1,
			});
		}
	}

	#poll(now: number): void {
		for (const [server, lease] of this.leases) {
			const fakeServer = this.#environment.findServer(server);
			if (fakeServer) {
				lease.lastAnswerAt = now;
				const status = fakeServer.readStatus();
				const isStalled =
					this.#environment.synchronousReplicas === undefined &&
					computeReplicatedOffset(status) < status.position &&
					computeReplicatedOffset(status) ===
						computeReplicatedOffset(lease.status);
				lease.stalledSince = isStalled
					? (lease.stalledSince ?? now)
					: undefined;
				lease.status = status;
			}
		}
	}

	/** Acknowledges the pending writes that enough servers hold, then writes once to each writable primary. */
	#write(now: number): void {
		this.#pendingWrites = this.#pendingWrites.filter((pending) => {
			const lease = this.leases.get(pending.server);
			const server = this.#environment.findServer(pending.server);
			const group = this.groups.get('g1' as ids.GroupId);
			if (!lease || !server || !group || lease.writeTerm !== pending.term) {
				return false;
			}

			if (
				server.term === pending.term &&
				now < lease.expiresAt &&
				this.#environment.canAcknowledge(server, pending.offset, group)
			) {
				this.#environment.acknowledge(pending.number, server);
				return false;
			}

			return true;
		});
		for (const [id, lease] of this.leases) {
			const server = this.#environment.findServer(id);
			if (
				server?.isWritable &&
				lease.writeTerm === server.term &&
				lease.releaseAt === undefined
			) {
				const number = this.#environment.createWriteNumber();
				const offset = server.write(number);
				this.#pendingWrites.push({
					server: id,
					number,
					term: server.term,
					offset,
				});
			}
		}
	}
}

/** Returns the largest offset that any replica of a primary holds. */
function computeReplicatedOffset(
	status: types.UpstreamStatus | undefined,
): number {
	return Math.max(0, ...(status?.replicas ?? []).map(({position}) => position));
}

function formatEpoch(server: ids.UpstreamId, epoch: types.Epoch): string {
	return `${server} ${epoch.consensusTerm} ${epoch.counter}`;
}
