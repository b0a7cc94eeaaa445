/**
 * The proxy's side of leases for tests: renewals, grants, revocations and polls, as docs/design.md
 * describes them. It writes to a primary while it holds the write lease, and counts a write as
 * acknowledged when a majority of the group holds it and the lease is still valid.
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
/** Renewals without answer before another control peer is tried. */
const missedRenewals = 3;

type Hold = {
	readonly epoch: types.Epoch;
	validUntil: number;
	writeTerm: number | undefined;
	/** Scope and term that were revoked. */
	revokedWrite: number | undefined;
	/** Time at which the revoked lease is given back. */
	releaseAt: number | undefined;
	releaseScope: 'write' | 'ownership' | undefined;
	lastAnswerAt: number | undefined;
	status: types.UpstreamStatus | undefined;
	/** Begin of the time in which no replica made progress although the primary is ahead. */
	stalledSince: number | undefined;
	isPolled: boolean;
};

/** What the simulation offers to a proxy. */
export type FakeProxyEnvironment = {
	readonly controlPeers: readonly ids.PeerId[];
	/** Longest time that requests in flight hold up the release of a lease, in ms. */
	readonly maxReleaseDelayMs: number;
	send(to: ids.PeerId, message: messages.PeerMessage): void;
	/** The server if the proxy can reach it now. */
	findServer(server: ids.UpstreamId): fakeServers.FakeServer | undefined;
	listServers(): fakeServers.FakeServer[];
	/** Draws the number of a new write. */
	createWriteNumber(): number;
	/** Tells that a write was acknowledged to its caller. */
	acknowledge(write: number): void;
	random(): number;
};

type PendingWrite = {
	readonly server: ids.UpstreamId;
	readonly write: number;
	readonly term: number;
	readonly offset: number;
};

/** One proxy process. */
export class FakeProxy {
	readonly peer: ids.PeerId;
	readonly dataCentre: ids.DataCentre;
	readonly incarnation: number;
	isDraining = false;
	readonly leases = new Map<ids.UpstreamId, Hold>();
	readonly templates = new Map<ids.MemberId, types.Template>();
	readonly groups = new Map<ids.GroupId, types.GroupView>();
	readonly #environment: FakeProxyEnvironment;
	readonly #announcements = new Map<
		ids.UpstreamId,
		types.VersionedAnnouncement
	>();

	readonly #sentAt = new Map<number, number>();
	readonly #voidEpochs = new Set<string>();
	#writes: PendingWrite[] = [];
	#leader: ids.PeerId;
	#sequence = 0;
	#answered = 0;
	#knownIndex = 0;
	#renewAt = 0;
	#pollAt = 0;
	#announceAt = 0;

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

	/** Servers for which the proxy holds a valid lease, with the term of a valid write lease. */
	listValidLeases(
		now: number,
	): Array<{server: ids.UpstreamId; writeTerm: number | undefined}> {
		return [...this.leases]
			.filter(([, hold]) => now < hold.validUntil)
			.map(([server, {writeTerm}]) => ({server, writeTerm}));
	}

	/** Does what is due. `now` is the proxy's own clock. */
	tick(now: number): void {
		this.#releaseDue(now);
		this.#expireHolds(now);
		if (now >= this.#announceAt) {
			this.#announceAt = now + announcementIntervalMs;
			this.#storeAnnouncements();
		}

		if (now >= this.#pollAt) {
			this.#pollAt = now + pollIntervalMs;
			this.#poll(now);
			this.#write(now);
		}

		if (now >= this.#renewAt) {
			this.#renewAt = now + renewalIntervalMs;
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
			this.#leader = message.leader ?? this.#chooseOther();
			this.#answered = this.#sequence;
			this.#renewAt = Math.min(this.#renewAt, now + 50);
		}

		if (message.type === 'templatePush') {
			this.#storeTemplate(message.template);
		}
	}

	#chooseOther(): ids.PeerId {
		const {controlPeers} = this.#environment;
		const index = controlPeers.indexOf(this.#leader);
		return controlPeers[(index + 1) % controlPeers.length];
	}

	#renew(now: number): void {
		if (this.#sequence - this.#answered >= missedRenewals) {
			this.#leader = this.#chooseOther();
			this.#answered = this.#sequence;
		}

		const sequence = ++this.#sequence;
		this.#sentAt.set(sequence, now);
		this.#environment.send(this.#leader, {
			type: 'renewLease',
			sequence,
			dataCentre: this.dataCentre,
			incarnation: this.incarnation,
			draining: this.isDraining,
			owned: [...this.leases].map(([server, hold]) => ({
				server,
				epoch: hold.epoch,
				...(hold.writeTerm === undefined ? {} : {writeTerm: hold.writeTerm}),
				...(hold.lastAnswerAt === undefined
					? {}
					: {answerAgeMs: now - hold.lastAnswerAt}),
				...(hold.status ? {status: hold.status} : {}),
				...(hold.stalledSince === undefined
					? {}
					: {stalledMs: now - hold.stalledSince}),
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
		if (sentAt === undefined || message.sequence < this.#answered) {
			return;
		}

		this.#answered = message.sequence;
		this.#expireHolds(now);
		const validUntil = sentAt + message.durationMs * (1 - timing.maxClockDrift);
		const granted = new Set(message.owned.map(({server}) => server));
		for (const server of this.leases.keys()) {
			if (!granted.has(server)) {
				this.#drop(server);
			}
		}

		for (const grant of message.owned) {
			this.#applyGrant(now, grant, validUntil);
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
		validUntil: number,
	): void {
		let hold = this.leases.get(grant.server);
		if (hold && epochs.compareEpochs(hold.epoch, grant.epoch) !== 0) {
			this.#drop(grant.server);
			hold = undefined;
		}

		if (this.#voidEpochs.has(formatEpoch(grant.server, grant.epoch))) {
			return;
		}

		if (!hold && now < validUntil) {
			hold = {
				epoch: grant.epoch,
				validUntil,
				writeTerm: undefined,
				revokedWrite: undefined,
				releaseAt: undefined,
				releaseScope: undefined,
				lastAnswerAt: undefined,
				status: undefined,
				stalledSince: undefined,
				isPolled: false,
			};
			this.leases.set(grant.server, hold);
		}

		if (hold) {
			hold.validUntil = Math.max(hold.validUntil, validUntil);
			const isGivenBack =
				grant.writeTerm !== undefined &&
				hold.revokedWrite === grant.writeTerm &&
				hold.releaseAt === undefined;
			hold.writeTerm = isGivenBack ? undefined : grant.writeTerm;
		}
	}

	#handleRevocation(
		now: number,
		message: Extract<messages.ControlMessage, {type: 'revokeLease'}>,
	): void {
		const hold = this.leases.get(message.server);
		if (!hold || epochs.compareEpochs(hold.epoch, message.epoch) !== 0) {
			// The grant may still be on its way, so the epoch must never be taken after this answer.
			this.#voidEpochs.add(formatEpoch(message.server, message.epoch));
			this.#environment.send(this.#leader, {...message, type: 'leaseReleased'});
			return;
		}

		if (message.scope === 'write') {
			if (hold.revokedWrite === message.writeTerm) {
				if (hold.releaseAt === undefined) {
					this.#environment.send(this.#leader, {
						...message,
						type: 'leaseReleased',
					});
				}

				return;
			}

			hold.revokedWrite = message.writeTerm;
		}

		hold.releaseScope = message.scope;
		hold.releaseAt ??=
			now + this.#environment.random() * this.#environment.maxReleaseDelayMs;
	}

	/** Gives revoked leases back after a short time for the requests in flight. */
	#releaseDue(now: number): void {
		for (const [server, hold] of this.leases) {
			if (hold.releaseAt === undefined || now < hold.releaseAt) {
				continue;
			}

			const scope = hold.releaseScope ?? 'write';
			hold.releaseAt = undefined;
			hold.releaseScope = undefined;
			if (scope === 'ownership') {
				this.#drop(server);
			} else if (hold.writeTerm === hold.revokedWrite) {
				hold.writeTerm = undefined;
			}

			this.#environment.send(this.#leader, {
				type: 'leaseReleased',
				server,
				epoch: hold.epoch,
				scope,
				...(hold.revokedWrite === undefined
					? {}
					: {writeTerm: hold.revokedWrite}),
			});
		}
	}

	#expireHolds(now: number): void {
		for (const [server, hold] of this.leases) {
			if (now >= hold.validUntil) {
				this.#drop(server);
			}
		}
	}

	/** A lease that ended is void for good. */
	#drop(server: ids.UpstreamId): void {
		const hold = this.leases.get(server);
		if (hold) {
			this.#voidEpochs.add(formatEpoch(server, hold.epoch));
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
				version: (this.#announcements.get(id)?.version ?? 0) + 1,
			});
		}
	}

	#poll(now: number): void {
		for (const [server, hold] of this.leases) {
			const reached = this.#environment.findServer(server);
			if (reached) {
				hold.lastAnswerAt = now;
				const status = reached.readStatus();
				const isStalled =
					computeReplicated(status) < status.position &&
					computeReplicated(status) === computeReplicated(hold.status);
				hold.stalledSince = isStalled ? (hold.stalledSince ?? now) : undefined;
				hold.status = status;
			}
		}
	}

	/** Acknowledges what a majority holds, then writes once to each writable primary. */
	#write(now: number): void {
		this.#writes = this.#writes.filter((write) => {
			const hold = this.leases.get(write.server);
			const server = this.#environment.findServer(write.server);
			const group = this.groups.get('g1' as ids.GroupId);
			if (!hold || !server || !group || hold.writeTerm !== write.term) {
				return false;
			}

			const holders = group.servers.filter(
				(id) =>
					id === write.server || (server.replicas.get(id) ?? 0) >= write.offset,
			);
			if (
				server.term === write.term &&
				now < hold.validUntil &&
				holders.length > group.servers.length / 2
			) {
				this.#environment.acknowledge(write.write);
				return false;
			}

			return true;
		});
		for (const [id, hold] of this.leases) {
			const server = this.#environment.findServer(id);
			if (
				server?.isWritable &&
				hold.writeTerm === server.term &&
				hold.releaseAt === undefined
			) {
				const write = this.#environment.createWriteNumber();
				const offset = server.write(write);
				this.#writes.push({server: id, write, term: server.term, offset});
			}
		}
	}
}

/** The largest offset that any replica of a primary holds. */
function computeReplicated(status: types.UpstreamStatus | undefined): number {
	return Math.max(0, ...(status?.replicas ?? []).map(({position}) => position));
}

function formatEpoch(server: ids.UpstreamId, epoch: types.Epoch): string {
	return `${server} ${epoch.consensusTerm} ${epoch.counter}`;
}
