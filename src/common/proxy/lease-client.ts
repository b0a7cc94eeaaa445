/**
 * The proxy's side of ownership leases. A lease starts at the time at which its renewal was sent
 * and is shortened by the maximum clock drift, so that it expires here before it expires at control.
 */
import type * as ids from '../ids.js';
import type * as messages from '../messages.js';
import * as random from '../random.js';
import type * as types from '../types.js';
import type * as context from './context.js';

const renewalIntervalMs = 250;
/** After this long without an answer, renewals go to the other control peers in turn. */
const leaderTimeoutMs = 400;
/** While no leader is known, the control peers are asked in turn at this interval. */
const leaderSearchIntervalMs = 75;
/** Redirects to a leader that did not answer are ignored for this long. */
const leaderBackoffMs = 1000;
const maxClockDrift = 0.01;
/** A grant that answers an older renewal is late: it waited in a queue, or control is overloaded. */
const lateGrantMs = 500;
const part = 'lease';

/** State of the proxy that a renewal reports. */
export type RenewalSource = {
	listOwnedServers(): messages.OwnershipClaim[];
	listAnnouncements(): types.VersionedAnnouncement[];
	listTemplateVersions(): Array<readonly [ids.MemberId, number]>;
	/** Version of the configuration in force; 0 when there is none. */
	getConfigurationVersion(): number;
	/** The known control peers, any of which may be the leader. */
	listControlPeers(): readonly ids.PeerId[];
	isDraining(): boolean;
	/** Undefined when the renewal carries no report about rate limits. */
	buildAllowanceReport(): messages.AllowanceReport | undefined;
};

export class LeaseClient {
	/** Monotonic time at which the lease expires; 0 before the first grant. */
	expiresAt = 0;
	/** Highest index of the control log that this proxy has applied. */
	knownIndex = 0;
	lastGrantAt = 0;
	/** Monotonic time at which the latest renewal that a grant has answered was sent. */
	answeredRenewalAt = Number.NEGATIVE_INFINITY;
	/** Version of the owners list that this proxy has applied. */
	private ownersVersion: types.Epoch | undefined;
	private leader: ids.PeerId | undefined;
	private candidateIndex = 0;
	/** Renewals of this instance have higher sequences, up to `sequence`. */
	private readonly sequenceStart: number;
	private sequence: number;
	private lastRenewalAt = Number.NEGATIVE_INFINITY;
	private lastAnswerAt = 0;
	/** The last leader that did not answer in time, and when that was noticed. */
	private unresponsiveLeader: {peer: ids.PeerId; at: number} | undefined;
	private readonly sentAtBySequence = new Map<number, number>();
	private isAnsweredLate = false;

	constructor(
		private readonly context: context.ProxyContext,
		private readonly source: RenewalSource,
	) {
		this.sequenceStart = random.drawSequenceStart(context.random);
		this.sequence = this.sequenceStart;
	}

	isValid(now: number): boolean {
		return now < this.expiresAt;
	}

	handleTick(): void {
		const {now} = this.context;
		if (
			this.leader !== undefined &&
			now - this.lastAnswerAt > leaderTimeoutMs
		) {
			this.unresponsiveLeader = {peer: this.leader, at: now};
			this.leader = undefined;
		}

		const intervalMs =
			this.leader === undefined ? leaderSearchIntervalMs : renewalIntervalMs;
		if (now - this.lastRenewalAt < intervalMs) {
			return;
		}

		if (this.leader === undefined) {
			this.candidateIndex++;
		}

		this.sendRenewal();
	}

	/** Sends a renewal at once, for example with a change that control waits for. */
	sendRenewal(): void {
		const {context} = this;
		const target = this.leader ?? this.getCandidate();
		if (target === undefined) {
			return;
		}

		this.lastRenewalAt = context.now;
		this.sequence++;
		const allowances = this.source.buildAllowanceReport();
		const sent = context.send(target, {
			type: 'renewLease',
			sequence: this.sequence,
			dataCentre: context.config.dataCentre,
			incarnation: context.config.incarnation,
			draining: this.source.isDraining(),
			owned: this.source.listOwnedServers(),
			announcements: this.source.listAnnouncements(),
			// Control uses `knownIndex`; the versions only avoid a full transfer at the start.
			templateVersions:
				this.knownIndex === 0 ? this.source.listTemplateVersions() : [],
			configurationVersion: this.source.getConfigurationVersion(),
			knownIndex: this.knownIndex,
			...(this.ownersVersion ? {knownOwners: this.ownersVersion} : {}),
			...(allowances ? {allowances} : {}),
		});
		if (sent) {
			this.sentAtBySequence.set(this.sequence, context.now);
			this.removeOldSequences();
		} else {
			this.chooseNextCandidate();
		}
	}

	/** Returns true when the grant is the first one from a new leader. */
	handleGrant(
		from: ids.PeerId,
		grant: Extract<messages.ControlMessage, {type: 'leaseGranted'}>,
	): boolean {
		const isNewLeader =
			grant.ownersVersion !== undefined &&
			grant.ownersVersion.consensusTerm !== this.ownersVersion?.consensusTerm;
		this.ownersVersion = grant.ownersVersion;
		const sentAt = this.sentAtBySequence.get(grant.sequence);
		if (sentAt === undefined) {
			return isNewLeader;
		}

		this.sentAtBySequence.delete(grant.sequence);
		this.observeLatency(from, this.context.now - sentAt);
		this.leader = from;
		this.lastAnswerAt = this.context.now;
		this.lastGrantAt = this.context.now;
		this.answeredRenewalAt = Math.max(this.answeredRenewalAt, sentAt);
		this.expiresAt = Math.max(
			this.expiresAt,
			sentAt + grant.durationMs * (1 - maxClockDrift),
		);
		return isNewLeader;
	}

	/**
	 * Grants from an earlier leader are invalid once a later leader has sent one. A grant that follows
	 * from a renewal of an earlier instance leaves out what that instance knew.
	 */
	isOutdated(
		grant: Extract<messages.ControlMessage, {type: 'leaseGranted'}>,
	): boolean {
		if (
			grant.sequence <= this.sequenceStart ||
			grant.sequence > this.sequence
		) {
			return true;
		}

		return (
			grant.ownersVersion !== undefined &&
			this.ownersVersion !== undefined &&
			grant.ownersVersion.consensusTerm < this.ownersVersion.consensusTerm
		);
	}

	handleNotLeader(
		message: Extract<messages.ControlMessage, {type: 'notLeader'}>,
	): void {
		if (!this.sentAtBySequence.delete(message.sequence)) {
			return;
		}

		if (message.leader === undefined || this.isBackedOff(message.leader)) {
			return;
		}

		const isNew = this.leader !== message.leader;
		this.leader = message.leader;
		this.lastAnswerAt = this.context.now;
		if (isNew) {
			this.sendRenewal();
		}
	}

	/** Switches to a leader that has announced itself, unless a later one has granted leases. */
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

	/** The control peer for operator requests: the leader, or a candidate while none is known. */
	getLeader(): ids.PeerId | undefined {
		return this.leader ?? this.getCandidate();
	}

	private getCandidate(): ids.PeerId | undefined {
		const peers = this.source.listControlPeers();
		return peers[this.candidateIndex % Math.max(1, peers.length)];
	}

	private chooseNextCandidate(): void {
		this.leader = undefined;
		this.candidateIndex++;
		this.lastAnswerAt = this.context.now;
	}

	private isBackedOff(peer: ids.PeerId): boolean {
		return (
			this.unresponsiveLeader?.peer === peer &&
			this.context.now - this.unresponsiveLeader.at < leaderBackoffMs
		);
	}

	/** Counts late grants, and logs the first of several in a row. */
	private observeLatency(from: ids.PeerId, latencyMs: number): void {
		const isLate = latencyMs > lateGrantMs;
		if (isLate) {
			this.context.count('lateGrants');
		}

		if (isLate && !this.isAnsweredLate) {
			this.context.log('warn', part, 'A grant of control came late', {
				from,
				latencyMs: Math.round(latencyMs),
			});
		}

		this.isAnsweredLate = isLate;
	}

	private removeOldSequences(): void {
		for (const [sequence, sentAt] of this.sentAtBySequence) {
			if (this.context.now - sentAt > 10_000) {
				this.sentAtBySequence.delete(sequence);
			}
		}
	}
}
