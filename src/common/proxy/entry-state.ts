/**
 * State that the entry part keeps for sessions and their requests.
 */
import type * as ids from '../ids.js';
import type * as types from '../types.js';
import type * as proxy from './types.js';

/** A server and its owner, to which an attempt goes. */
export type AttemptTarget = {
	readonly server: ids.UpstreamId;
	readonly owner: ids.PeerId;
};

/** Where a session's transaction or pinned connection is. */
export type SessionBinding = AttemptTarget & {
	/** The attempt that bound the session; it identifies the binding at the owner. */
	readonly id: ids.AttemptId;
	/** False when only session state keeps the connection. */
	readonly inTransaction: boolean;
};

export type Session = {
	readonly id: ids.SessionId;
	readonly member: ids.MemberId;
	/** Digest of the key that the caller presented. */
	readonly key: ids.KeyDigest | undefined;
	/** The customer as which the last request ran; undefined on an open route. */
	customer: ids.CustomerId | undefined;
	/** Updated from the route of the member while no transaction is open. */
	group: ids.GroupId;
	/** False when only writes of the session raise its floor. */
	readonly hasMonotonicReads: boolean;
	/** Parameters of the route; a change of the route does not affect an open transaction. */
	parameters: types.TemplateParameters | undefined;
	/** Undefined in a session without a token until the current position was read. */
	floor: types.Position | undefined;
	binding: SessionBinding | undefined;
	request: EntryRequest | undefined;
	/** Monotonic time at which the last request ended. */
	idleSince: number;
};

export type Attempt = {
	readonly id: ids.AttemptId;
	readonly server: ids.UpstreamId;
	readonly owner: ids.PeerId;
	readonly sentAt: number;
};

/**
 * What a request waits for: the position that becomes the floor of its session, the time at which it
 * is routed again, a token of its customer's rate limit, or the end of an attempt.
 */
export type WaitState =
	| {readonly type: 'floor'}
	| {readonly type: 'until'; readonly retryAt: number}
	| {readonly type: 'token'; readonly since: number}
	| {readonly type: 'attempt'};

export type EntryRequest = {
	readonly id: ids.RequestId;
	readonly session: Session;
	readonly kind: proxy.RequestKind;
	readonly rank: types.Rank;
	readonly arrivedAt: number;
	readonly deadlineAt: number;
	readonly stalenessMs: number;
	readonly repeatable: boolean;
	readonly key: string | undefined;
	readonly payload: proxy.RequestPayload;
	/**
	 * The request belongs to a transaction or pinned connection. It must not run anywhere else, even
	 * when the session has lost its binding in the meantime.
	 */
	readonly isBound: boolean;
	/** Running attempts; more than one only for hedged reads. */
	readonly attempts: Map<ids.AttemptId, Attempt>;
	readonly excludedServers: Set<ids.UpstreamId>;
	waitState: WaitState;
	/** The request has used a token of its customer's rate limit. */
	isCounted: boolean;
	/** Waits because no server could run the request. */
	waits: number;
	retries: number;
	/** Number of attempts so far; `lastTarget` is the server and owner of the last one. */
	attemptCount: number;
	lastTarget: AttemptTarget | undefined;
	isHedged: boolean;
	/** Set once an owner has returned the request because of its wait. */
	isReturned: boolean;
	/** The attempt whose first bytes went to the caller. */
	relayedAttempt: ids.AttemptId | undefined;
	/** The last reason for which a server refused the request. */
	lastReason: types.RefusalReason | undefined;
	/** Set after a freeze of this process: an acknowledgement may be too old to pass on. */
	spansFreeze: boolean;
};

/** True for requests that only the primary may run. */
export function needsPrimary(kind: proxy.RequestKind): boolean {
	return kind !== 'read' && kind !== 'beginReadOnly';
}

/** Creates a request that has not been routed yet. */
export function createRequest(
	session: Session,
	event: Extract<proxy.ProxyEvent, {type: 'requestArrived'}>,
	parameters: types.TemplateParameters | undefined,
): EntryRequest {
	const {attributes, kind} = event;
	const rank = attributes.rank ?? parameters?.defaultRank ?? 'normal';
	const deadlineMs =
		attributes.deadlineMs ?? parameters?.ranks[rank].deadlineMs ?? 0;
	return {
		id: event.request,
		session,
		kind,
		rank,
		arrivedAt: event.now,
		deadlineAt: event.now + deadlineMs,
		stalenessMs: attributes.stalenessMs ?? parameters?.stalenessMs ?? 0,
		repeatable: attributes.repeatable ?? kind === 'read',
		key: attributes.key,
		payload: event.payload,
		isBound: session.binding !== undefined,
		attempts: new Map(),
		excludedServers: new Set(),
		waitState: {type: 'attempt'},
		isCounted: false,
		waits: 0,
		retries: 0,
		attemptCount: 0,
		lastTarget: undefined,
		isHedged: false,
		isReturned: false,
		relayedAttempt: undefined,
		lastReason: undefined,
		spansFreeze: false,
	};
}
