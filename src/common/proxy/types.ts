/**
 * Events and effects of the proxy reducer, and what its adapters exchange with it.
 *
 * Response bytes of large results do not pass through the reducer: the upstream adapter sends them
 * straight to the sink named in `execute`. The end of each response (`tail`) does pass through it,
 * because an acknowledgement may leave only after the reducer agrees.
 */
import type * as ids from '../ids.js';
import type * as types from '../types.js';
import type * as messages from '../messages.js';

/**
 * The class of a request, from its statement text. `write` is also the class of everything that is
 * not known to be harmless. `sessionState` changes state of the connection outside a transaction
 * (SET, LISTEN, CREATE TEMP, advisory locks) and pins the connection to the session.
 */
export type RequestKind =
	| 'read'
	| 'write'
	| 'begin'
	| 'beginReadOnly'
	| 'commit'
	| 'rollback'
	| 'sessionState';

/** The frames of one request: from the first frame up to and including Query or Sync. */
export type RequestPayload = {
	readonly frames: Uint8Array;
	/** Prepared statements that the frames use; prepared first on a connection that lacks them. */
	readonly prepared?: ReadonlyArray<{
		readonly name: string;
		readonly parse: Uint8Array;
	}>;
	/** The BEGIN that the entry has answered already; it runs before the statement. */
	readonly opens?: Uint8Array;
	/** Exactly the session values that the connection must have. */
	readonly values?: ReadonlyArray<readonly [name: string, value: string]>;
};

/** What a caller asked for with startup parameters, SET or a statement comment. */
export type RequestAttributes = {
	readonly rank?: types.Rank;
	readonly stalenessMs?: number;
	readonly deadlineMs?: number;
	readonly repeatable?: boolean;
	readonly key?: string;
};

/** Identity of a new session. */
export type SessionAttributes = {
	readonly member: ids.MemberId;
	readonly group: ids.GroupId;
	/** Digest of the key that the caller presented; undefined when it presented none. */
	readonly key?: ids.KeyDigest;
	readonly token?: types.Position;
	/**
	 * True when the session needs its own writes but not monotonic reads, so that the position of a
	 * read does not raise the session floor.
	 */
	readonly isFloorFromWrites?: boolean;
};

export type TransactionStatus = 'idle' | 'inTransaction' | 'failed';

/** How an execution on a connection ended. */
export type ExecutionOutcome =
	| {
			readonly type: 'answered';
			/** Response bytes that were not sent to the sink yet, ReadyForQuery included. */
			readonly tail: Uint8Array;
			/** True when a part of the response already went to the sink. */
			readonly relayed: boolean;
			readonly transactionStatus: TransactionStatus;
			/** SQLSTATE of the first ErrorResponse. */
			readonly sqlState?: string;
			/** Log position that the server reported with the answer. */
			readonly position?: types.Position;
			/**
			 * Time between the statement and its answer, without the setup of the connection, in ms. When
			 * it is not set, the time of the whole execution counts.
			 */
			readonly statementMs?: number;
	  }
	| {
			/** The server refused before it executed anything; the connection is idle. */
			readonly type: 'refused';
			readonly reason: types.RefusalReason;
			readonly message: string;
	  }
	| {
			/** `claim_key` answered 23505: the statement was not executed; the connection is idle. */
			readonly type: 'keyUsed';
	  }
	| {
			/** The connection was lost. `mayHaveRun` is false only if no byte was handed to the socket. */
			readonly type: 'lost';
			readonly mayHaveRun: boolean;
			readonly relayed: boolean;
	  };

/** Where response bytes go. */
export type Sink =
	| {readonly type: 'session'; readonly attempt: ids.AttemptId}
	| {
			readonly type: 'peer';
			readonly peer: ids.PeerId;
			readonly attempt: ids.AttemptId;
	  };

/** Inputs of the proxy reducer. `now` is monotonic, in ms. */
export type ProxyEvent =
	| {
			/** Sent every 10 ms. */
			readonly type: 'tick';
			readonly now: number;
	  }
	| {
			/** The settings now name other control peers. */
			readonly type: 'controlPeersChanged';
			readonly now: number;
			readonly controlPeers: readonly types.PeerAddress[];
	  }
	| {
			readonly type: 'sessionOpened';
			readonly now: number;
			readonly session: ids.SessionId;
			readonly attributes: SessionAttributes;
	  }
	| {
			/** The caller changed its floor with SET hemlockarch.token. */
			readonly type: 'tokenSet';
			readonly now: number;
			readonly session: ids.SessionId;
			readonly token: types.Position;
	  }
	| {
			readonly type: 'sessionClosed';
			readonly now: number;
			readonly session: ids.SessionId;
	  }
	| {
			/** The caller rolled its transaction back and was answered; its connection must be released. */
			readonly type: 'transactionAbandoned';
			readonly now: number;
			readonly session: ids.SessionId;
	  }
	| {
			readonly type: 'requestArrived';
			readonly now: number;
			readonly session: ids.SessionId;
			readonly request: ids.RequestId;
			readonly kind: RequestKind;
			readonly attributes: RequestAttributes;
			readonly payload: RequestPayload;
	  }
	| {
			/**
			 * The first response bytes of an attempt went to the caller. From here on only this attempt can
			 * answer the request.
			 */
			readonly type: 'relayStarted';
			readonly now: number;
			readonly request: ids.RequestId;
			readonly attempt: ids.AttemptId;
	  }
	| {
			/** The caller sent a PostgreSQL CancelRequest. */
			readonly type: 'cancelRequested';
			readonly now: number;
			readonly session: ids.SessionId;
	  }
	| {
			readonly type: 'peerMessage';
			readonly now: number;
			readonly from: ids.PeerId;
			readonly message: messages.PeerMessage;
	  }
	| {
			readonly type: 'peerLinkChanged';
			readonly now: number;
			readonly peer: ids.PeerId;
			readonly up: boolean;
	  }
	| {
			/** No connection to the peer could be opened, so a message was never sent. */
			readonly type: 'messageUnsent';
			readonly now: number;
			readonly peer: ids.PeerId;
			readonly message: messages.PeerMessage;
	  }
	| {
			readonly type: 'connectionOpened';
			readonly now: number;
			readonly connection: ids.ConnectionId;
	  }
	| {
			/** The connection was closed or lost, or could not be opened. */
			readonly type: 'connectionClosed';
			readonly now: number;
			readonly connection: ids.ConnectionId;
			readonly message: string;
	  }
	| {
			/** DISCARD ALL succeeded. */
			readonly type: 'connectionReset';
			readonly now: number;
			readonly connection: ids.ConnectionId;
	  }
	| {
			readonly type: 'executionFinished';
			readonly now: number;
			readonly connection: ids.ConnectionId;
			readonly attempt: ids.AttemptId;
			readonly outcome: ExecutionOutcome;
	  }
	| {
			readonly type: 'pollAnswered';
			readonly now: number;
			readonly server: ids.UpstreamId;
			/** The `now` at which the poll was sent. */
			readonly sentAt: number;
			readonly status: types.UpstreamStatus;
	  }
	| {
			/** The server was too busy to report its status; it answered, so it is alive. */
			readonly type: 'pollRefused';
			readonly now: number;
			readonly server: ids.UpstreamId;
			readonly sentAt: number;
	  }
	| {
			readonly type: 'pollFailed';
			readonly now: number;
			readonly server: ids.UpstreamId;
			readonly sentAt: number;
			readonly message: string;
	  }
	| {
			readonly type: 'announcementReceived';
			readonly now: number;
			/** Wall clock, ms since the Unix epoch. */
			readonly wallClock: number;
			readonly announcement: types.Announcement;
	  }
	| {
			readonly type: 'templateChangeRequested';
			readonly now: number;
			/** Chosen by the adapter to match the answer to its request. */
			readonly operation: number;
			readonly change: types.TemplateChange;
	  }
	| {readonly type: 'drainRequested'; readonly now: number};

/** Outputs of the proxy reducer, carried out by adapters in order. */
export type ProxyEffect =
	| {
			/** Response bytes of `attempt` belong to `request` from now on. */
			readonly type: 'startAttempt';
			readonly session: ids.SessionId;
			readonly request: ids.RequestId;
			readonly attempt: ids.AttemptId;
	  }
	| {
			/** Write the token as ParameterStatus, then the tail. */
			readonly type: 'finishRequest';
			readonly session: ids.SessionId;
			readonly request: ids.RequestId;
			readonly attempt: ids.AttemptId;
			readonly tail: Uint8Array;
			readonly token?: types.Position;
	  }
	| {
			/** Write ErrorResponse with `sqlState`, then ReadyForQuery with the status. */
			readonly type: 'refuseRequest';
			readonly session: ids.SessionId;
			readonly request: ids.RequestId;
			readonly sqlState: string;
			readonly message: string;
			readonly transactionStatus: TransactionStatus;
			readonly trace?: RequestTrace;
	  }
	| {
			/** The transaction of an idle session was rolled back; see `ProxyConfig.keepsLostSessions`. */
			readonly type: 'transactionLost';
			readonly session: ids.SessionId;
			readonly message: string;
	  }
	| {
			/** Write a FATAL ErrorResponse and close the caller's connection. */
			readonly type: 'closeSession';
			readonly session: ids.SessionId;
			readonly sqlState: string;
			readonly message: string;
	  }
	| {
			readonly type: 'openConnection';
			readonly connection: ids.ConnectionId;
			readonly server: ids.UpstreamId;
			readonly address: string;
			readonly epoch: types.Epoch;
			/** The customer whose requests run on the connection; named to the server. */
			readonly customer?: ids.CustomerId;
	  }
	| {
			readonly type: 'closeConnection';
			readonly connection: ids.ConnectionId;
	  }
	| {
			/** Run DISCARD ALL; answers with `connectionReset` or `connectionClosed`. */
			readonly type: 'resetConnection';
			readonly connection: ids.ConnectionId;
	  }
	| {
			readonly type: 'execute';
			readonly connection: ids.ConnectionId;
			readonly attempt: ids.AttemptId;
			readonly kind: RequestKind;
			readonly payload: RequestPayload;
			/** Run `claim_key` in the same transaction as the request. */
			readonly claimKey?: string;
			/** True when the connection is inside a transaction of the session. */
			readonly inTransaction: boolean;
			/** The server must refuse the request when its log lacks this position. */
			readonly after?: types.Position;
			readonly sink: Sink;
	  }
	| {
			readonly type: 'cancelExecution';
			readonly connection: ids.ConnectionId;
			readonly attempt: ids.AttemptId;
	  }
	| {
			/**
			 * Run `hemlockarch.status()` on a connection kept for polls, opening it when needed. The first
			 * poll of an epoch runs `end_other_sessions` before it.
			 */
			readonly type: 'poll';
			readonly server: ids.UpstreamId;
			readonly address: string;
			readonly epoch: types.Epoch;
			/** Time to wait before the poll is sent, in ms. */
			readonly delayMs: number;
	  }
	| {
			/** Close the poll connection. */
			readonly type: 'stopPolling';
			readonly server: ids.UpstreamId;
	  }
	| {
			readonly type: 'sendPeer';
			readonly to: ids.PeerId;
			readonly message: messages.PeerMessage;
	  }
	| {
			/** A peer listens at `ip:port` and can be reached there. */
			readonly type: 'connectPeer';
			readonly peer: ids.PeerId;
			readonly address: string;
	  }
	| {
			/** The peer is dead or has left: close the link. */
			readonly type: 'disconnectPeer';
			readonly peer: ids.PeerId;
	  }
	| {
			/** Work depends on the peer while `isWatched`, so its silence has to be noticed early. */
			readonly type: 'watchPeer';
			readonly peer: ids.PeerId;
			readonly isWatched: boolean;
	  }
	| {
			readonly type: 'answerTemplateChange';
			readonly operation: number;
			readonly result: types.TemplateChangeResult;
	  }
	| {
			/** What `GET /health` answers. */
			readonly type: 'setHealth';
			readonly ready: boolean;
			readonly reason: string;
	  }
	| {
			/** A finished or refused request, for histograms and counters. */
			readonly type: 'recordRequest';
			readonly record: RequestRecord;
	  }
	| {
			/** Adds to a counter that is not bound to a member. */
			readonly type: 'countEvent';
			readonly name: CounterName;
			readonly amount: number;
	  }
	| {
			/** Adds to the counters of a customer's rate limit. */
			readonly type: 'countCustomer';
			readonly customer: ids.CustomerId;
			/** Tokens that the leader granted to this proxy. */
			readonly granted: number;
			/** Operations that were counted here. */
			readonly used: number;
			readonly refused: number;
	  }
	| {readonly type: 'log'; readonly record: types.LogRecord}
	| {
			/** Draining is complete; the process may exit with 0. */
			readonly type: 'drained';
	  };

/** What an entry did for a request before refusing it, for the log. */
export type RequestTrace = {
	readonly attempts: number;
	readonly retries: number;
	/** The server and owner of the last attempt. */
	readonly server?: ids.UpstreamId;
	readonly owner?: ids.PeerId;
	/** Why the last attempt did not run. */
	readonly lastReason?: types.RefusalReason;
	/** The time limit that the request had at its arrival, in ms. */
	readonly limitMs: number;
	readonly stalenessMs: number;
	readonly floor?: types.Position;
};

/** Counters without member and rank. */
export type CounterName =
	| 'connectionsOpened'
	| 'connectionsLost'
	| 'connectionsEvicted'
	| 'ownershipGained'
	| 'ownershipLost'
	| 'retries'
	| 'hedges'
	| 'returns'
	| 'internalErrors'
	| 'templateUpdates'
	| 'lateGrants'
	| 'unknownKeys'
	| 'unconfirmedKeys'
	| 'unansweredRequests'
	| `limit${LimitName}`;

/** A limit on what clients use. */
export type LimitName =
	| 'Connections'
	| 'HalfOpenConnections'
	| 'MemoryBudget'
	| 'MessageTime'
	| 'AnswerTime';

/** Measurements of one request at its entry. Durations in ms. */
export type RequestRecord = {
	readonly member: ids.MemberId;
	readonly rank: types.Rank;
	readonly kind: RequestKind;
	readonly verdict: types.Verdict;
	readonly reason?: types.RefusalReason;
	readonly latencyMs: number;
	readonly queueMs: number;
	/** Upper bound of the staleness of a read; undefined for writes. */
	readonly stalenessMs?: number;
	readonly servedBy?: types.UpstreamRole;
	readonly onTime: boolean;
};
