/**
 * State of one server that this proxy owns: its connections, its queues and the result of its status
 * polls. A connection runs one request at a time.
 */
import type * as ids from '../ids.js';
import type * as messages from '../messages.js';
import type * as policy from '../policy/types.js';
import * as concurrency from '../policy/concurrency.js';
import * as roundTrip from '../policy/round-trip.js';
import * as serviceEstimate from '../policy/service-estimate.js';
import * as positions from '../position.js';
import type * as connectionState from '../session/connection-state.js';
import type * as types from '../types.js';
import * as staleness from './staleness-tracker.js';
import type * as proxy from './types.js';

/** Connections of each server that are left to control, for promotion and probes. */
export const reservedConnections = 2;

/** A single failure can have a transient cause, such as a lost packet. */
const unreachableFailureThreshold = 2;

/** A request at the owner of its server. */
export type OwnerRequest = {
	/** The entry that sent the request. */
	readonly origin: ids.PeerId;
	readonly request: messages.ForwardRequest;
	readonly deadlineAt: number;
	readonly arrivedAt: number;
	/**
	 * True once the session has ended or the link to the entry was lost. Nobody would end what the
	 * request binds, so it binds no connection.
	 */
	isAbandoned: boolean;
};

/** Binds a session to a connection, for a transaction or for session state. */
export type ConnectionBinding = {
	/** The attempt that made the binding. */
	readonly id: ids.AttemptId;
	readonly origin: ids.PeerId;
	readonly session: ids.SessionId;
	readonly connection: Connection;
	/** True when the connection holds session state, and so stays bound until the session ends. */
	pinned: boolean;
	inTransaction: boolean;
	readOnly: boolean;
};

export type ConnectionState =
	'opening' | 'idle' | 'executing' | 'bound' | 'resetting' | 'closing';

export type Connection = {
	readonly id: ids.ConnectionId;
	/** The customer that the server was told; only its requests run on the connection. */
	readonly customer: ids.CustomerId | undefined;
	state: ConnectionState;
	ownerRequest: OwnerRequest | undefined;
	queuedRequest: policy.QueuedRequest<OwnerRequest> | undefined;
	startedAt: number;
	stateChangedAt: number;
	binding: ConnectionBinding | undefined;
	/** What the last requests have set up, as far as their setup succeeded; the adapter knows for sure. */
	readonly setup: connectionState.ConnectionState;
	/** True when the connection is closed after its execution, such as when its session ended. */
	mustClose: boolean;
};

/** A commit whose acknowledgement waits until a majority of the group's servers holds it. */
export type PendingAcknowledgement = {
	readonly ownerRequest: OwnerRequest;
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

/** Returns whether a session keeps the connection on which a request of this kind has run. */
export function needsConnection(kind: proxy.RequestKind): boolean {
	switch (kind) {
		case 'begin':
		case 'beginReadOnly':
		case 'sessionState': {
			return true;
		}

		case 'read':
		case 'write':
		case 'commit':
		case 'rollback': {
			return false;
		}
	}
}

export class OwnedServer {
	readonly connections = new Map<ids.ConnectionId, Connection>();
	readonly idleConnections: Connection[] = [];
	/** Requests of bound sessions that wait for a slot. They go first because they may hold locks. */
	readonly boundQueue: OwnerRequest[] = [];
	/** Requests that the scheduler has admitted and that wait for a connection to open. */
	readonly connectionQueue: Array<policy.QueuedRequest<OwnerRequest>> = [];
	readonly pendingAcknowledgements: PendingAcknowledgement[] = [];
	readonly pendingFloorRequests: PendingFloorRequest[] = [];
	readonly stalenessTracker = new staleness.StalenessTracker();
	status: types.UpstreamStatus | undefined;
	lastAnswerAt: number | undefined;
	/** The position that a majority of the group's servers holds. */
	majorityOffset = 0;
	/** Since when `majorityOffset` has not advanced while the primary is ahead of it. */
	replicationStalledAt: number | undefined;
	pollInFlight = false;
	lastPollAt = Number.NEGATIVE_INFINITY;
	positionRequestInFlight = false;
	lastPositionRequestAt = Number.NEGATIVE_INFINITY;
	lastRequestAt = Number.NEGATIVE_INFINITY;
	/** Term of the write lease; undefined when this proxy must not acknowledge writes. */
	writeTerm: number | undefined;
	/** Set while the write lease is being released: no new writes start. */
	writeReleaseStartedAt: number | undefined;
	/** Set when control has revoked the ownership: no new transactions start. */
	ownershipReleaseRequestedAt: number | undefined;
	/** Set while the ownership is being released: no new requests are accepted. */
	ownershipReleaseStartedAt: number | undefined;
	/** Set while the server announces its departure. */
	departureAnnouncedAt: number | undefined;
	runningCount = 0;
	openFailures = 0;
	/** The customer of the last connection that could not be opened. */
	failedCustomer: ids.CustomerId | undefined;
	noConnectionLoggedAt = Number.NEGATIVE_INFINITY;
	retryOpenAt = 0;
	/** When an answer to a request last brought a position. */
	private positionRecordedAt = Number.NEGATIVE_INFINITY;
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
	 * Largest number of connections to the server. It is about half of what the server allows, so that
	 * a previous owner that is cut off and its successor stay within the limit together.
	 */
	get poolLimit(): number {
		if (this.hasSynchronousReplication) {
			// These servers close connections whose remote end is gone, so the whole limit can be used.
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

	/** True while no connection is open and the last attempts to open one failed. */
	get isUnreachable(): boolean {
		return (
			this.openFailures >= unreachableFailureThreshold &&
			!this.hasOpenConnection
		);
	}

	private get hasOpenConnection(): boolean {
		for (const {state} of this.connections.values()) {
			if (state !== 'opening') {
				return true;
			}
		}

		return false;
	}

	/** Largest number of statements that may be in flight at a time. */
	get concurrency(): number {
		return concurrency.computeConcurrency(
			this.announcement.slots,
			this.transitTime.meanMs,
			this.slotTime.meanMs,
		);
	}

	/** Largest number of bound connections that leaves one per slot to other requests. */
	get boundLimit(): number {
		return Math.max(1, this.poolLimit - this.announcement.slots);
	}

	/** Records the time that a poll took to be answered, in ms. */
	recordPollRoundTrip(answerMs: number, now: number): void {
		this.roundTrip.observe(answerMs, now);
	}

	/**
	 * Records the duration of an execution and that of its statement alone, in ms.
	 *
	 * @returns The time that the statement held a slot or waited for one at the server, in ms.
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

	/** Counts the connections that sessions keep, or may keep once their running request has ended. */
	countHeldConnections(): number {
		let count = 0;
		for (const {binding, ownerRequest} of this.connections.values()) {
			const mayKeep =
				ownerRequest !== undefined &&
				needsConnection(ownerRequest.request.kind);
			if (binding !== undefined || mayKeep) {
				count++;
			}
		}

		return count;
	}

	/** Counts requests that run, wait in a queue or wait for their acknowledgement. */
	countRequests(): number {
		return (
			this.runningCount +
			this.scheduler.size +
			this.boundQueue.length +
			this.connectionQueue.length +
			this.pendingAcknowledgements.length
		);
	}

	/** Counts running requests other than reads, and writes that wait for their acknowledgement. */
	countWrites(): number {
		let count = this.pendingAcknowledgements.length;
		for (const connection of this.connections.values()) {
			if (
				connection.ownerRequest &&
				connection.ownerRequest.request.kind !== 'read'
			) {
				count++;
			}
		}

		return count;
	}

	/** Records whether the replicas of a primary make progress. */
	recordReplication(servers: readonly ids.UpstreamId[], now: number): void {
		const {status} = this;
		if (status?.role !== 'primary') {
			this.replicationStalledAt = undefined;
			return;
		}

		const majorityOffset = computeMajorityOffset(status, servers);
		const isReplicationPending = status.position > majorityOffset;
		if (!isReplicationPending || majorityOffset !== this.majorityOffset) {
			this.replicationStalledAt = isReplicationPending ? now : undefined;
		}

		this.majorityOffset = majorityOffset;
	}

	/** Returns the applied position as of the last answer. */
	getAppliedPosition(): types.Position | undefined {
		return this.status && buildAppliedPosition(this.status);
	}

	/** Records the answer to a status poll that was sent at `sentAt`. */
	recordStatus(status: types.UpstreamStatus, sentAt: number): void {
		const reported = buildAppliedPosition(status);
		const known = this.getAppliedPosition();
		const isBehind =
			known !== undefined && positions.comparePositions(reported, known) < 0;
		const isOvertaken = isBehind && this.positionRecordedAt > sentAt;
		const isTermNew =
			this.status !== undefined && this.status.term !== status.term;
		if (isTermNew || (isBehind && !isOvertaken)) {
			// The server follows another log, or has started again without its log.
			this.stalenessTracker.clear();
		}

		this.status = isOvertaken
			? {
					...status,
					logTerm: known.term,
					applied: known.offset,
					position: Math.max(status.position, known.offset),
				}
			: status;
		this.stalenessTracker.recordApplied(reported);
	}

	/** Records the log position that came with the answer to a request. */
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

		this.positionRecordedAt = now;
		this.status = {
			...this.status,
			logTerm: position.term,
			applied: position.offset,
			position: Math.max(this.status.position, position.offset),
		};
		this.stalenessTracker.recordApplied(position);
	}

	/** Drops the status of the server until its next poll is answered. */
	invalidateStatus(): void {
		this.status = undefined;
		this.stalenessTracker.clear();
	}

	setState(connection: Connection, state: ConnectionState, now: number): void {
		connection.state = state;
		connection.stateChangedAt = now;
	}
}

function buildAppliedPosition({
	logTerm,
	term,
	applied,
}: types.UpstreamStatus): types.Position {
	return {term: logTerm ?? term, offset: applied};
}

/** Computes the position that a majority of the servers holds, from the status of the primary. */
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

/** Returns whether a request may have committed something when it ended. */
export function canCommit(
	kind: proxy.RequestKind,
	wasReadOnly: boolean,
): boolean {
	return (
		!wasReadOnly &&
		(kind === 'write' || kind === 'commit' || kind === 'sessionState')
	);
}
