/**
 * State of one server that this proxy owns: its connections, its queue and what its status polls
 * say. Connections are never shared by two requests at a time.
 */
import type * as ids from '../ids.js';
import type * as messages from '../messages.js';
import type * as policy from '../policy/types.js';
import * as concurrency from '../policy/concurrency.js';
import * as roundTrip from '../policy/round-trip.js';
import * as serviceEstimate from '../policy/service-estimate.js';
import * as positions from '../position.js';
import type * as types from '../types.js';
import * as evidence from './evidence.js';
import type * as proxy from './types.js';

/** Connections of each server that stay free for control: promotion and probes. */
export const reservedConnections = 2;

/** One failed connection may be chance, for example a lost packet. */
const unreachableFailures = 2;

/** A request at its owner. */
export type OwnerRequest = {
	readonly origin: ids.PeerId;
	readonly request: messages.ForwardRequest;
	readonly deadlineAt: number;
	readonly arrivedAt: number;
};

/** A session that holds a connection for a transaction or for session state. */
export type ConnectionBinding = {
	readonly key: string;
	readonly origin: ids.PeerId;
	readonly session: ids.SessionId;
	readonly connection: Connection;
	/** Holds session state until the session ends. */
	pinned: boolean;
	inTransaction: boolean;
	readOnly: boolean;
};

export type ConnectionState =
	'opening' | 'idle' | 'executing' | 'bound' | 'resetting' | 'closing';

export type Connection = {
	readonly id: ids.ConnectionId;
	state: ConnectionState;
	item: OwnerRequest | undefined;
	queuedRequest: policy.QueuedRequest<OwnerRequest> | undefined;
	startedAt: number;
	stateChangedAt: number;
	binding: ConnectionBinding | undefined;
	/** The caller went away during the execution: close instead of reuse. */
	mustClose: boolean;
};

/** A commit whose acknowledgement waits for a majority. */
export type PendingAcknowledgement = {
	readonly item: OwnerRequest;
	readonly tail: Uint8Array;
	readonly relayed: boolean;
	readonly term: number;
	readonly finishedAt: number;
	readonly queueMs: number;
	readonly bound: boolean;
	requiredPosition: types.Position | undefined;
};

export type PendingFloorRequest = {
	readonly from: ids.PeerId;
	readonly sequence: number;
	readonly arrivedAt: number;
};

export class OwnedServer {
	readonly connections = new Map<ids.ConnectionId, Connection>();
	readonly idleConnections: Connection[] = [];
	/** Requests of bound sessions wait here for a slot; they hold locks, so they go first. */
	readonly boundQueue: OwnerRequest[] = [];
	/** Requests that left the queue and wait for a connection that is being opened. */
	readonly connectionQueue: Array<policy.QueuedRequest<OwnerRequest>> = [];
	readonly pendingAcknowledgements: PendingAcknowledgement[] = [];
	readonly pendingFloorRequests: PendingFloorRequest[] = [];
	readonly stalenessTracker = new evidence.StalenessTracker();
	status: types.UpstreamStatus | undefined;
	lastAnswerAt: number | undefined;
	/** The position that a majority holds, and since when positions beyond it wait. */
	majorityOffset = 0;
	replicationStalledAt: number | undefined;
	pollInFlight = false;
	lastPollAt = Number.NEGATIVE_INFINITY;
	positionRequestInFlight = false;
	lastPositionRequestAt = Number.NEGATIVE_INFINITY;
	lastRequestAt = Number.NEGATIVE_INFINITY;
	/** Term of the write lease; undefined when this proxy must not acknowledge writes. */
	writeTerm: number | undefined;
	/** Set while the write lease is being given back: no new writes start. */
	writeReleaseStartedAt: number | undefined;
	/** Set when control asked for the ownership: no new transactions start. */
	ownershipReleaseRequestedAt: number | undefined;
	/** Set while ownership is being given back: no new requests are accepted. */
	ownershipReleaseStartedAt: number | undefined;
	/** Set while the server announces that it departs. */
	departureAnnouncedAt: number | undefined;
	/** Slots in use. */
	slotsInUse = 0;
	openFailures = 0;
	poolLoggedAt = Number.NEGATIVE_INFINITY;
	retryOpenAt = 0;
	/** Entries that asked for reports, with the time until which they get them. */
	readonly subscribers = new Map<ids.PeerId, number>();
	private readonly roundTrip = new roundTrip.RoundTripEstimator();
	private readonly slotTime = new serviceEstimate.ServiceTimeEstimator();
	private readonly transitTime = new serviceEstimate.ServiceTimeEstimator(0);

	constructor(
		readonly server: ids.UpstreamId,
		readonly group: ids.GroupId,
		public epoch: types.Epoch,
		public announcement: types.Announcement,
		readonly scheduler: policy.AdmissionScheduler<OwnerRequest>,
	) {}

	/**
	 * Half of what the server allows, so that an old owner that is cut off and its successor together
	 * stay within the limit.
	 */
	get poolLimit(): number {
		if (this.hasSynchronousReplication) {
			// These servers end connections whose remote end is gone, so the whole limit can be used.
			return Math.max(
				1,
				this.announcement.connectionLimit - reservedConnections - 1,
			);
		}

		return Math.max(
			1,
			Math.floor(
				(this.announcement.connectionLimit - reservedConnections) / 2,
			) - 1,
		);
	}

	/** True when the server's own acknowledgement of a commit is final. */
	get hasSynchronousReplication(): boolean {
		return this.announcement.synchronousReplicas !== undefined;
	}

	/** True while no connection is open and the last tries to open one failed. */
	get isUnreachable(): boolean {
		return this.openFailures >= unreachableFailures && !this.hasOpen;
	}

	private get hasOpen(): boolean {
		for (const {state} of this.connections.values()) {
			if (state !== 'opening') {
				return true;
			}
		}

		return false;
	}

	/** Statements that may be under way at once. */
	get concurrency(): number {
		return concurrency.computeConcurrency(
			this.announcement.slots,
			this.transitTime.meanMs,
			this.slotTime.meanMs,
		);
	}

	/** Connections that sessions may hold without blocking everybody else. */
	get boundLimit(): number {
		return Math.max(1, this.poolLimit - this.announcement.slots);
	}

	/** Takes the time after which the server answered a poll, in ms. */
	recordPollRoundTrip(answerMs: number, now: number): void {
		this.roundTrip.observe(answerMs, now);
	}

	/**
	 * Takes the duration of an execution and that of its statement alone, in ms.
	 *
	 * @returns The time in which the statement held a slot, or waited for one at the server.
	 */
	recordExecution(
		durationMs: number,
		statementMs: number,
		now: number,
	): number {
		this.roundTrip.observe(statementMs, now);
		const slotMs = Math.max(0, statementMs - this.roundTrip.roundTripMs);
		this.slotTime.observe(slotMs);
		this.transitTime.observe(durationMs - slotMs);
		return slotMs;
	}

	countBoundConnections(): number {
		let count = 0;
		for (const connection of this.connections.values()) {
			if (connection.binding) {
				count++;
			}
		}

		return count;
	}

	/** Number of requests that are running or wait. */
	countRequests(): number {
		return (
			this.slotsInUse +
			this.scheduler.size +
			this.boundQueue.length +
			this.connectionQueue.length +
			this.pendingAcknowledgements.length
		);
	}

	/** Writes that are running or wait for their acknowledgement. */
	countWrites(): number {
		let count = this.pendingAcknowledgements.length;
		for (const connection of this.connections.values()) {
			if (connection.item && connection.item.request.kind !== 'read') {
				count++;
			}
		}

		return count;
	}

	/** Notes whether the replicas of a primary make progress. */
	recordReplication(servers: readonly ids.UpstreamId[], now: number): void {
		const {status} = this;
		if (status?.role !== 'primary') {
			this.replicationStalledAt = undefined;
			return;
		}

		const majorityOffset = computeMajorityOffset(status, servers);
		const isWaiting = status.position > majorityOffset;
		if (!isWaiting || majorityOffset !== this.majorityOffset) {
			this.replicationStalledAt = isWaiting ? now : undefined;
		}

		this.majorityOffset = majorityOffset;
	}

	/** The applied position as of the last answer. */
	getAppliedPosition(): types.Position | undefined {
		return this.status
			? {
					term: this.status.logTerm ?? this.status.term,
					offset: this.status.applied,
				}
			: undefined;
	}

	/** Takes the log position that came with the answer to a request. */
	recordPosition(position: types.Position, now: number): void {
		this.lastAnswerAt = now;
		const applied = this.getAppliedPosition();
		if (
			!this.status ||
			!applied ||
			positions.comparePositions(position, applied) < 0
		) {
			return;
		}

		this.status = {
			...this.status,
			logTerm: position.term,
			applied: position.offset,
			position: Math.max(this.status.position, position.offset),
		};
		this.stalenessTracker.recordApplied(position);
	}

	/** Forgets what the server held, until it is polled again. */
	invalidateStatus(): void {
		this.status = undefined;
		this.stalenessTracker.clear();
	}

	setState(connection: Connection, state: ConnectionState, now: number): void {
		connection.state = state;
		connection.stateChangedAt = now;
	}
}

/** The position that a majority of the server set holds, as the primary reports it. */
export function computeMajorityOffset(
	status: types.UpstreamStatus,
	servers: readonly ids.UpstreamId[],
): number {
	const offsets = servers.map((server) => {
		if (server === status.server) {
			return status.position;
		}

		return (
			status.replicas.find((replica) => replica.server === server)?.position ??
			0
		);
	});
	offsets.sort((left, right) => right - left);
	return offsets[Math.floor(servers.length / 2)] ?? 0;
}

/** Tells whether the end of a request may have committed something. */
export function canCommit(
	kind: proxy.RequestKind,
	wasReadOnly: boolean,
): boolean {
	return (
		!wasReadOnly &&
		(kind === 'write' || kind === 'commit' || kind === 'sessionState')
	);
}
