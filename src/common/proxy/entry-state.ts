/**
 * State that the entry part keeps for sessions and their requests.
 */
import type * as ids from '../ids.js';
import type * as types from '../types.js';
import type * as proxy from './types.js';

/** Where a session's transaction or pinned connection lives. */
export type SessionBinding = {
	readonly server: ids.UpstreamId;
	readonly owner: ids.PeerId;
};

export type Session = {
	readonly id: ids.SessionId;
	readonly member: ids.MemberId;
	/** Follows the route of the member from one transaction to the next. */
	group: ids.GroupId;
	/** False when only writes of the session raise its floor. */
	readonly hasMonotonicReads: boolean;
	/** Parameters of the open transaction, which a change of the route does not touch. */
	parameters: types.TemplateParameters | undefined;
	/** Undefined until the current position was read for a session without a token. */
	floor: types.Position | undefined;
	binding: SessionBinding | undefined;
	request: EntryRequest | undefined;
	/** Monotonic time of the last end of a request. */
	idleSince: number;
};

export type Attempt = {
	readonly id: ids.AttemptId;
	readonly server: ids.UpstreamId;
	readonly owner: ids.PeerId;
	readonly sentAt: number;
};

/** What a request waits for while no attempt is running. */
export type WaitState =
	| {readonly type: 'floor'}
	| {readonly type: 'until'; readonly retryAt: number}
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
	 * The request belongs to a transaction or pinned connection. It must not run anywhere else, also
	 * when the session has lost its binding meanwhile.
	 */
	readonly isBound: boolean;
	/** Running attempts; more than one only for hedged reads. */
	readonly attempts: Map<ids.AttemptId, Attempt>;
	readonly excludedServers: Set<ids.UpstreamId>;
	waitState: WaitState;
	retries: number;
	/** Number of attempts so far, and the place of the last one. */
	attemptCount: number;
	lastTarget: SessionBinding | undefined;
	isHedged: boolean;
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
