/**
 * The proxy's side of ownership leases. A lease counts from the time at which its renewal was sent
 * and is shortened by the drift bound, so that it ends here before it ends at control.
 */
import type * as ids from '../ids.js';
import type * as messages from '../messages.js';
import type * as types from '../types.js';
import type * as context from './context.js';

const renewalIntervalMs = 250;
/** Without an answer for this long, the leader is looked for among the other control peers. */
const leaderTimeoutMs = 400;
/** While no leader is known, the control peers are asked in turn at this interval. */
const searchIntervalMs = 75;
/** A peer that did not answer is not taken for the leader on the word of others for this long. */
const distrustMs = 1000;
const driftBound = 0.01;

/** What the client needs to fill in a renewal. */
export type RenewalSource = {
	listOwnedServers(): messages.OwnershipClaim[];
	listAnnouncements(): types.VersionedAnnouncement[];
	listTemplateVersions(): Array<readonly [ids.MemberId, number]>;
	/** Version of the configuration in force; 0 without one. */
	getConfigurationVersion(): number;
	/** Control peers that may lead, as far as this proxy knows. */
	listControlPeers(): readonly ids.PeerId[];
	isDraining(): boolean;
};

export class LeaseClient {
	/** Monotonic time at which the lease ends; 0 before the first grant. */
	validUntil = 0;
	/** Highest log index of control that this proxy has applied. */
	knownIndex = 0;
	lastGrantAt = 0;
	/** Names the state of the owners list that this proxy has applied. */
	private ownersVersion: types.Epoch | undefined;
	private leader: ids.PeerId | undefined;
	private candidate = 0;
	private sequence = 0;
	private lastRenewalAt = Number.NEGATIVE_INFINITY;
	private lastAnswerAt = 0;
	/** The last leader that did not answer, and since when. */
	private silentLeader: {peer: ids.PeerId; at: number} | undefined;
	private readonly sentAt = new Map<number, number>();

	constructor(
		private readonly context: context.ProxyContext,
		private readonly source: RenewalSource,
	) {}

	isValid(now: number): boolean {
		return now < this.validUntil;
	}

	handleTick(): void {
		const {now} = this.context;
		if (
			this.leader !== undefined &&
			now - this.lastAnswerAt > leaderTimeoutMs
		) {
			this.silentLeader = {peer: this.leader, at: now};
			this.leader = undefined;
		}

		const intervalMs =
			this.leader === undefined ? searchIntervalMs : renewalIntervalMs;
		if (now - this.lastRenewalAt < intervalMs) {
			return;
		}

		if (this.leader === undefined) {
			this.candidate++;
		}

		this.sendRenewal();
	}

	/** Sends a renewal at once, for example with news that control waits for. */
	sendRenewal(): void {
		const {context} = this;
		const target = this.leader ?? this.getCandidate();
		if (target === undefined) {
			return;
		}

		this.lastRenewalAt = context.now;
		this.sequence++;
		const sent = context.send(target, {
			type: 'renewLease',
			sequence: this.sequence,
			dataCentre: context.config.dataCentre,
			incarnation: context.config.incarnation,
			draining: this.source.isDraining(),
			owned: this.source.listOwnedServers(),
			announcements: this.source.listAnnouncements(),
			// Control goes by `knownIndex`; the versions only save the first full transfer.
			templateVersions:
				this.knownIndex === 0 ? this.source.listTemplateVersions() : [],
			configurationVersion: this.source.getConfigurationVersion(),
			knownIndex: this.knownIndex,
			...(this.ownersVersion ? {knownOwners: this.ownersVersion} : {}),
		});
		if (sent) {
			this.sentAt.set(this.sequence, context.now);
			this.removeOldSequences();
		} else {
			this.chooseNextCandidate();
		}
	}

	/** Returns true when the grant is the first one of its leader. */
	handleGrant(
		from: ids.PeerId,
		grant: Extract<messages.ControlMessage, {type: 'leaseGranted'}>,
	): boolean {
		const isNewLeader =
			grant.ownersVersion !== undefined &&
			grant.ownersVersion.consensusTerm !== this.ownersVersion?.consensusTerm;
		this.ownersVersion = grant.ownersVersion;
		const sentAt = this.sentAt.get(grant.sequence);
		if (sentAt === undefined) {
			return isNewLeader;
		}

		this.sentAt.delete(grant.sequence);
		this.leader = from;
		this.lastAnswerAt = this.context.now;
		this.lastGrantAt = this.context.now;
		this.validUntil = Math.max(
			this.validUntil,
			sentAt + grant.durationMs * (1 - driftBound),
		);
		return isNewLeader;
	}

	/** Grants of an earlier leader are void once a later one has granted. */
	isOutdated(
		grant: Extract<messages.ControlMessage, {type: 'leaseGranted'}>,
	): boolean {
		return (
			grant.ownersVersion !== undefined &&
			this.ownersVersion !== undefined &&
			grant.ownersVersion.consensusTerm < this.ownersVersion.consensusTerm
		);
	}

	handleNotLeader(
		message: Extract<messages.ControlMessage, {type: 'notLeader'}>,
	): void {
		if (!this.sentAt.delete(message.sequence)) {
			return;
		}

		if (message.leader === undefined || this.isDistrusted(message.leader)) {
			return;
		}

		const isNew = this.leader !== message.leader;
		this.leader = message.leader;
		this.lastAnswerAt = this.context.now;
		if (isNew) {
			this.sendRenewal();
		}
	}

	/** Turns to a leader that has announced itself, unless a later one has granted leases. */
	handleLeader(peer: ids.PeerId, term: number): void {
		const known = this.ownersVersion?.consensusTerm ?? 0;
		if (term < known || (term === known && this.leader === peer)) {
			return;
		}

		this.leader = peer;
		this.lastAnswerAt = this.context.now;
		this.sendRenewal();
	}

	handleLinkDown(peer: ids.PeerId): void {
		if (this.leader === peer) {
			this.chooseNextCandidate();
		}
	}

	/** The control peer to send operator requests to. */
	getLeader(): ids.PeerId | undefined {
		return this.leader ?? this.getCandidate();
	}

	private getCandidate(): ids.PeerId | undefined {
		const peers = this.source.listControlPeers();
		return peers[this.candidate % Math.max(1, peers.length)];
	}

	private chooseNextCandidate(): void {
		this.leader = undefined;
		this.candidate++;
		this.lastAnswerAt = this.context.now;
	}

	private isDistrusted(peer: ids.PeerId): boolean {
		return (
			this.silentLeader?.peer === peer &&
			this.context.now - this.silentLeader.at < distrustMs
		);
	}

	private removeOldSequences(): void {
		for (const [sequence, sentAt] of this.sentAt) {
			if (this.context.now - sentAt > 10_000) {
				this.sentAt.delete(sequence);
			}
		}
	}
}
