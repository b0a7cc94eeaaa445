/**
 * Replication by the leader: what to send to the other peers, the highest index to commit and
 * whether a majority still follows. One object serves one leadership.
 */
import type * as ids from '../ids.js';
import type * as types from './types.js';
import type * as log from './log.js';
import * as progress from './progress.js';
import * as timing from './timing.js';

/** Sends a message at once. */
export type Send = (to: ids.PeerId, message: types.ConsensusMessage) => void;

/** Number of rounds whose send time is kept; older replies cannot count as recent contact. */
const maxTrackedRounds = 4096;

/** Replication state of one leadership. */
export class Replication<Command> {
	readonly #self: ids.PeerId;
	readonly #term: number;
	readonly #log: log.Log<Command>;
	readonly #send: Send;
	readonly #progress = new Map<ids.PeerId, progress.Progress>();
	readonly #roundTimes = new Map<number, number>();
	readonly #electedAt: number;
	#round = 0;
	#heartbeatAt: number;

	constructor(
		options: {
			readonly self: ids.PeerId;
			readonly term: number;
			readonly log: log.Log<Command>;
			readonly send: Send;
		},
		now: number,
	) {
		this.#self = options.self;
		this.#term = options.term;
		this.#log = options.log;
		this.#send = options.send;
		this.#electedAt = now;
		this.#heartbeatAt = now;
		this.updatePeers();
	}

	/** Starts and stops replication to peers after a change of the configuration. */
	updatePeers(): void {
		const {voters, learners} = this.#log.configuration;
		const peers = new Set([...voters, ...learners]);
		peers.delete(this.#self);
		for (const peer of this.#progress.keys()) {
			if (!peers.has(peer)) {
				this.#progress.delete(peer);
			}
		}

		for (const peer of peers) {
			if (!this.#progress.has(peer)) {
				this.resetPeer(peer);
			}
		}
	}

	/** Restarts replication to a peer, for example because its disk was lost. */
	resetPeer(peer: ids.PeerId, joiningIncarnation?: number): void {
		const record = new progress.Progress(
			this.#log.lastIndex + 1,
			this.#round + 1,
		);
		record.joiningIncarnation = joiningIncarnation;
		this.#progress.set(peer, record);
	}

	/** Sends what is unanswered again: a peer whose link was lost does not have it. */
	handlePeerConnected(peer: ids.PeerId): void {
		this.#progress.get(peer)?.retryInFlight();
	}

	getProgress(peer: ids.PeerId): progress.Progress | undefined {
		return this.#progress.get(peer);
	}

	/** Sends heartbeats when they are due. */
	handleTick(now: number, commitIndex: number): void {
		if (now - this.#heartbeatAt < timing.heartbeatIntervalMs) {
			return;
		}

		this.#heartbeatAt = now;
		this.#startRound(now);
		for (const [peer, record] of this.#progress) {
			record.expireInFlight(now);
			if (
				record.isAwaitingReply(now) ||
				record.isStorageFull ||
				record.nextIndex > this.#log.lastIndex
			) {
				this.#sendHeartbeat(peer, record, commitIndex);
			} else {
				this.#sendNext(peer, record, now, commitIndex);
			}
		}
	}

	/** Sends new entries to every peer from which no reply is awaited. */
	sendPending(now: number, commitIndex: number): void {
		let isRoundStarted = false;
		for (const [peer, record] of this.#progress) {
			if (
				record.isAwaitingReply(now) ||
				record.isStorageFull ||
				record.nextIndex > this.#log.lastIndex
			) {
				continue;
			}

			if (!isRoundStarted) {
				this.#startRound(now);
				isRoundStarted = true;
			}

			this.#sendNext(peer, record, now, commitIndex);
		}
	}

	handleReply(
		from: ids.PeerId,
		reply: Extract<types.ConsensusMessage, {type: 'appendReply'}>,
	): void {
		const sentAt = this.#roundTimes.get(reply.round);
		this.#progress.get(from)?.applyReply(reply, sentAt);
	}

	/** Computes the highest index that a majority of the voters has synced. */
	computeCommitIndex(syncedIndex: number): number {
		const matches = this.#log.configuration.voters.map((voter) =>
			voter === this.#self
				? syncedIndex
				: (this.#progress.get(voter)?.matchIndex ?? 0),
		);
		return computeMajorityValue(matches);
	}

	/** Tells whether a majority answered an append that was sent after `now - ageMs`. */
	hasRecentQuorum(now: number, ageMs: number): boolean {
		return now - this.#computeQuorumSentAt(now) < ageMs;
	}

	/** Tells whether the leader must step down because a majority has not replied in time. */
	hasLostQuorum(now: number): boolean {
		return (
			now - Math.max(this.#electedAt, this.#computeQuorumSentAt(now)) >=
			timing.quorumLossTimeoutMs
		);
	}

	/** Tells whether a majority of the voters without this peer replied after `now - ageMs` and has space. */
	hasOtherQuorumWithSpace(now: number, ageMs: number): boolean {
		const {voters} = this.#log.configuration;
		const able = voters.filter((voter) => {
			const record = this.#progress.get(voter);
			return (
				record !== undefined &&
				!record.isStorageFull &&
				now - record.lastAckedSentAt < ageMs
			);
		});
		return able.length * 2 > voters.length;
	}

	/** Counts the other voters whose last reply said that their disk is full. */
	countFullVoters(): number {
		return this.#log.configuration.voters.filter(
			(voter) => this.#progress.get(voter)?.isStorageFull,
		).length;
	}

	#computeQuorumSentAt(now: number): number {
		const times = this.#log.configuration.voters.map((voter) =>
			voter === this.#self
				? now
				: (this.#progress.get(voter)?.lastAckedSentAt ??
					Number.NEGATIVE_INFINITY),
		);
		return computeMajorityValue(times);
	}

	#startRound(now: number): void {
		this.#round++;
		this.#roundTimes.set(this.#round, now);
		this.#roundTimes.delete(this.#round - maxTrackedRounds);
	}

	/** Sends an append without entries at the last index where the peer's log is known to match. */
	#sendHeartbeat(
		peer: ids.PeerId,
		record: progress.Progress,
		commitIndex: number,
	): void {
		const isKnown = this.#log.getTerm(record.matchIndex) !== undefined;
		const isProbing =
			record.matchIndex === 0 && !this.#isBehindSnapshot(record);
		const previousIndex = isProbing
			? record.nextIndex - 1
			: isKnown
				? record.matchIndex
				: 0;
		this.#sendAppend(peer, record, {previousIndex, entries: [], commitIndex});
	}

	#sendNext(
		peer: ids.PeerId,
		record: progress.Progress,
		now: number,
		commitIndex: number,
	): void {
		const {snapshot} = this.#log;
		if (snapshot && this.#isBehindSnapshot(record)) {
			this.#send(peer, {
				type: 'installSnapshot',
				term: this.#term,
				snapshot,
				round: this.#round,
				...makeJoiningField(record),
			});
			record.recordSent(
				snapshot.index,
				this.#round,
				now,
				this.#log.estimateSize(snapshot),
			);
			return;
		}

		const entries = this.#log.getBatch(record.nextIndex);
		const previousIndex = record.nextIndex - 1;
		this.#sendAppend(peer, record, {previousIndex, entries, commitIndex});
		record.recordSent(
			previousIndex + entries.length,
			this.#round,
			now,
			this.#log.estimateBatchSize(entries),
		);
	}

	#isBehindSnapshot(record: progress.Progress): boolean {
		return record.nextIndex <= this.#log.baseIndex;
	}

	#sendAppend(
		peer: ids.PeerId,
		record: progress.Progress,
		content: {
			readonly previousIndex: number;
			readonly entries: readonly types.LogEntry[];
			readonly commitIndex: number;
		},
	): void {
		this.#send(peer, {
			type: 'append',
			term: this.#term,
			previousTerm: this.#log.getTerm(content.previousIndex) ?? 0,
			round: this.#round,
			...content,
			...makeJoiningField(record),
		});
	}
}

function makeJoiningField(record: progress.Progress): {joining?: number} {
	return record.joiningIncarnation === undefined
		? {}
		: {joining: record.joiningIncarnation};
}

/** Returns the highest value that a majority of the values reaches. */
function computeMajorityValue(values: number[]): number {
	const sorted = values.toSorted((left, right) => right - left);
	return sorted[Math.floor(sorted.length / 2)] ?? 0;
}
