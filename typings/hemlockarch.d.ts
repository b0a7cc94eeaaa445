/**
 * The public interface of hemlockarch: reducers that any driver can run, their policies, and the
 * daemons. docs/library.md gives the rules for drivers. Times are ms; `now` is monotonic.
 * "Source" names the section of docs/design.md.
 */
import type {Result} from 'neverthrow';
/** Keeps declarations without `export` private to this file. */
export {};
declare const brand: unique symbol;
/** A plain string or number at run time; the tag distinguishes kinds of ids at compile time. */
export type Branded<Value, Tag extends string> = Value & {
	readonly [brand]: Tag;
};
/** Events: read-only variants that all carry the monotonic time `now` in ms. */
export type Timed<T> = T extends unknown ? Readonly<T & {now: number}> : never;
/** Read-only variants of a union. */
export type Variants<T> = T extends unknown ? Readonly<T> : never;

// Ids. Source: "Processes".
/** A cluster participant: a proxy or control process. */
export type PeerId = Branded<string, 'PeerId'>;
/** A virtual machine that runs peers. */
export type VmId = Branded<string, 'VmId'>;
/** A data centre. */
export type DataCentre = Branded<string, 'DataCentre'>;
/** A customer. */
export type MemberId = Branded<string, 'MemberId'>;
/** A customer that identifies itself with keys, on whatever route its requests arrive. */
export type CustomerId = Branded<string, 'CustomerId'>;
/** The digest of a customer's key. Keys themselves stay in the adapter that reads them. */
export type KeyDigest = Branded<string, 'KeyDigest'>;
/** A database group: one primary and its replicas. */
export type GroupId = Branded<string, 'GroupId'>;
/** A database server; unique in the whole installation. */
export type UpstreamId = Branded<string, 'UpstreamId'>;
/** A caller's session on one entry proxy. */
export type SessionId = Branded<number, 'SessionId'>;
/** A request of a caller, unique within its entry proxy. */
export type RequestId = Branded<number, 'RequestId'>;
/** One attempt to execute a request, unique within its entry proxy. */
export type AttemptId = Branded<number, 'AttemptId'>;
/** A connection of an owner to a server, unique within the owner process. */
export type ConnectionId = Branded<number, 'ConnectionId'>;
/** The identity of a template change; a retry carries the same id. */
export type ChangeId = Branded<string, 'ChangeId'>;
/** A peer and the `ip:port` of its peer listener. */
export type PeerAddress = Readonly<{peer: PeerId; address: string}>;
// Shared types. Source: "Interfaces", "Templates".
/** The priority ranks of requests, most urgent first. */
export const ranks: readonly ['urgent', 'normal', 'background'];
/** The priority rank of a request. */
export type Rank = (typeof ranks)[number];
/** A peer and the `ip:port` of its peer listener. */
export type PeerAddress = {
	readonly peer: PeerId;
	readonly address: string;
};
/** A position in a group's log. Compared by `term` first, then by `offset`. */
export type Position = {
	/** Group term; each promotion increases it by at least one. */
	readonly term: number;
	/** Log offset (LSN) in bytes. */
	readonly offset: number;
};
/** The role of a database server. */
export type UpstreamRole = 'primary' | 'replica';
/** What is known about the execution of a request. */
export type Verdict = 'completed' | 'notRun' | 'unknown';
/** Why a request was refused without being executed. */
export type RefusalReason =
	| 'queueFull'
	| 'deadline'
	| 'tooStale'
	| 'noPrimary'
	| 'draining'
	| 'noServer'
	| 'memberLimit'
	| 'keyUsed'
	| 'noTemplate'
	| 'unknownKey'
	| 'rateLimit'
	| 'readOnlyServer'
	| 'cancelled';
/** The latest role, term and log positions that a server itself reported. */
export type UpstreamStatus = {
	readonly server: UpstreamId;
	readonly role: UpstreamRole;
	readonly term: number;
	/** Offset up to which the log is received and synced. */
	readonly position: number;
	/** Term of the record at `position`, where it differs from `term`. */
	readonly receivedTerm?: number;
	/** Offset up to which the log is applied, so that reads see it. */
	readonly applied: number;
	/** Term of the record at `applied`, where it can be below `term`; otherwise the same. */
	readonly logTerm?: number;
	/** On the primary: synced offset per replica. */
	readonly replicas: ReadonlyArray<{
		readonly server: UpstreamId;
		readonly position: number;
	}>;
};
/** The state that a server announces about once a second. */
export type Announcement = {
	readonly group: GroupId;
	readonly server: UpstreamId;
	/** `ip:port` of its PostgreSQL listener. */
	readonly address: string;
	readonly dataCentre: DataCentre;
	readonly role: UpstreamRole;
	readonly term: number;
	readonly position: number;
	/** Number of statements that it executes concurrently. */
	readonly slots: number;
	readonly connectionLimit: number;
	readonly departing: boolean;
	/** Start of the server process, ms since the Unix epoch. */
	readonly startedAt: number;
	/**
	 * Set when the server itself acknowledges a commit: the number of replicas that have received it
	 * by then. Without it, the owner waits until a majority holds the commit.
	 */
	readonly synchronousReplicas?: number;
};
/** An announcement with the version that orders it among those of the same server. */
export type VersionedAnnouncement = Announcement & {readonly version: number};
/** A group as recorded in the replicated state of control. */
export type GroupView = {
	readonly group: GroupId;
	readonly term: number;
	/** Offset at which the term began. */
	readonly termStart: number;
	readonly primary: UpstreamId | undefined;
	/** The replicated server set, from which majorities are computed. */
	readonly servers: readonly UpstreamId[];
	/** True from the commit of `beginPromotion` to the commit of `completePromotion`. */
	readonly promoting: boolean;
};
/** Identifies one grant of ownership; compared by `consensusTerm` first, then by `counter`. */
export type Epoch = Readonly<{consensusTerm: number; counter: number}>;
/** Parameters of one rank in a member's template. */
export type RankPolicy = {
	readonly deadlineMs: number;
	/** Share of each server's slot time guaranteed to the rank under any load, 0 to 100 percent. */
	readonly floorPercent: number;
	/** Maximum number of requests of the member and rank that wait at one server. */
	readonly queueLimit: number;
	/** Weight of the member among the members of the rank. */
	readonly weight: number;
};
/** The validated parameters of one member's template. */
export type TemplateParameters = {
	readonly defaultRank: Rank;
	/** Tolerated staleness of reads, in ms; `Infinity` for `any`. */
	readonly stalenessMs: number;
	/** Maximum number of sessions of the member at one entry proxy. */
	readonly maxSessions: number;
	/** Maximum number of requests of the member in flight at one entry proxy. */
	readonly maxInFlight: number;
	readonly ranks: Readonly<Record<Rank, RankPolicy>>;
	/** The customers that share the member; without any, its requests need no key. */
	readonly customers?: ReadonlyMap<CustomerId, Customer>;
};
/** One version of a member's template. */
export type Template = {
	readonly member: MemberId;
	/** Counts from 1. */
	readonly version: number;
	/** The INI text as the operator sent it. */
	readonly text: string;
	readonly changeId: ChangeId;
};
/** An operator's request to change a template. */
export type TemplateChange = {
	readonly member: MemberId;
	readonly text: string;
	/** The version that the operator saw; 0 when the member has no template. */
	readonly expectedVersion: number;
	readonly changeId: ChangeId;
};
/** The answer to a template change. A retry with the same `changeId` gets the same answer. */
export type TemplateChangeResult = Variants<
	| {type: 'accepted'; version: number}
	| {type: 'versionConflict'; currentVersion: number}
	| {type: 'invalid'; problems: string[]}
	/**
	 * `mayHaveRun` is true when the change may still be accepted later; retry with the same
	 * `changeId`.
	 */
	/** `reason`: Set when the disks of the control peers are full; otherwise there was no leader in time. */
	| {type: 'unavailable'; mayHaveRun: boolean; reason?: 'storageExhausted'}
>;
/** The routes of all customers as an operator sent them. The highest version is in force. */
export type Configuration = {
	readonly version: number;
	/** The text as the operator sent it. */
	readonly text: string;
};
/** Any request of an operator to change the replicated state. */
export type OperatorChange =
	| TemplateChange
	| Variants<{type: 'configuration'; configuration: Configuration}>;
/**
 * The answer to a read of the configuration. `configuration`: Undefined before the first one was
 * accepted. `unavailable`: No leader answered, so a newer version may exist.
 */
export type ConfigurationReading = Variants<
	| {type: 'read'; configuration: Configuration | undefined}
	| {type: 'unavailable'}
>;
/** A parsed and validated configuration. */
export type RouteSet = {
	readonly members: ReadonlyMap<
		MemberId,
		{
			readonly group: GroupId;
			readonly parameters: TemplateParameters;
			/** True when requests need no key of a customer. */
			readonly isOpen: boolean;
		}
	>;
	/** Time after which an idle transaction is rolled back, in ms; `Infinity` without a limit. */
	readonly idleTransactionMs: number;
	/** Empty when the configuration has no customers; then no route needs a key. */
	readonly customers: ReadonlyMap<CustomerId, Customer>;
	/** The customer that holds each key. */
	readonly customerByKey: ReadonlyMap<KeyDigest, CustomerId>;
};
/** A customer of a configuration. */
export type Customer = {
	readonly customer: CustomerId;
	readonly keys: ReadonlySet<KeyDigest>;
	/** Operations per second over all proxies; `Infinity` without a limit. */
	readonly ratePerS: number;
	/** Operations that may run at once after a pause, beyond the rate. */
	readonly burst: number;
};
/** Levels of log records. */
export type LogLevel = 'error' | 'warn' | 'info' | 'debug';
/** A log record as data; the adapter adds the time and writes it. */
export type LogRecord = {
	readonly level: LogLevel;
	/** The component that logs the record; becomes the prefix of the line. */
	readonly part: string;
	/** A short sentence. */
	readonly message: string;
	/** Structured fields: the inputs to a decision, with their age or version. */
	readonly fields?: Readonly<Record<string, LogValue>>;
};
/** A value of a structured log field. */
export type LogValue = string | number | boolean | undefined;
/**
 * A message between peers: plain data for any codec that preserves byte arrays and numbers such as
 * `Infinity`. A driver passes it on unchanged and reads only `type`.
 * Source: "Peer protocol".
 */
export type PeerMessage = {readonly type: string};
/** A message of the replicated log, passed on unchanged. Source: "Peer protocol". */
export type ConsensusMessage = {readonly type: string};
/** A command of the replicated log, stored unchanged. Source: "Control". */
export type ControlCommand = {readonly type: string};

// Proxy reducer. Source: "Proxy: entry and owner".
/**
 * The class of a request, derived from its statement text. A statement whose effects are not known
 * is classified as `write`. `sessionState` changes state of the connection outside a transaction
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
	/** Named statements that the frames use; prepared first where the connection lacks them. */
	readonly prepared?: ReadonlyArray<{
		readonly name: string;
		readonly parse: Uint8Array;
	}>;
	/** The BEGIN that the entry has answered already; it runs before the statement. */
	readonly opens?: Uint8Array;
	/** Session values that the connection must have, no more and no fewer. */
	readonly values?: ReadonlyArray<readonly [name: string, value: string]>;
};
/** What a caller asked for with startup parameters, SET or a statement comment. */
export type RequestAttributes = {
	readonly rank?: Rank;
	readonly stalenessMs?: number;
	readonly deadlineMs?: number;
	readonly repeatable?: boolean;
	readonly key?: string;
};
/** Identity of a new session. */
export type SessionAttributes = {
	readonly member: MemberId;
	readonly group: GroupId;
	/** Digest of the key that the caller presented; undefined when it presented none. */
	readonly key?: KeyDigest;
	readonly token?: Position;
	/**
	 * True when the session needs its own writes but not monotonic reads, so that the position of a
	 * read does not raise the session floor.
	 */
	readonly isFloorFromWrites?: boolean;
};
export type TransactionStatus = 'idle' | 'inTransaction' | 'failed';
/** How an execution on a connection ended. */
export type ExecutionOutcome = Variants<
	/**
	 * `tail`: Response bytes that were not sent to the sink yet, ReadyForQuery included. `relayed`:
	 * True when a part of the response already went to the sink. `sqlState`: SQLSTATE of the first
	 * ErrorResponse. `position`: Log position that the server reported with the answer.
	 */
	| {
			type: 'answered';
			tail: Uint8Array;
			relayed: boolean;
			transactionStatus: TransactionStatus;
			sqlState?: string;
			position?: Position;
			/**
			 * Time between the statement and its answer, without the setup of the connection, in ms;
			 * the whole execution when it is not set.
			 */
			statementMs?: number;
	  }
	/** The server refused before it executed anything; the connection is idle. */
	| {type: 'refused'; reason: RefusalReason; message: string}
	/** `claim_key` answered 23505: the statement was not executed; the connection is idle. */
	| {type: 'keyUsed'}
	/**
	 * The connection was lost. `mayHaveRun` is false only when no byte was handed to the socket.
	 */
	| {type: 'lost'; mayHaveRun: boolean; relayed: boolean}
>;
/** Where response bytes go. */
export type Sink = Variants<
	| {type: 'session'; attempt: AttemptId}
	| {type: 'peer'; peer: PeerId; attempt: AttemptId}
>;
/** Inputs of the proxy reducer. `now` is monotonic, in ms. */
export type ProxyEvent = Timed<
	/** Sent every 10 ms. */
	| {type: 'tick'}
	/** The settings now name other control peers. */
	| {type: 'controlPeersChanged'; controlPeers: readonly PeerAddress[]}
	| {type: 'sessionOpened'; session: SessionId; attributes: SessionAttributes}
	/** The caller changed its floor with SET hemlockarch.token. */
	| {type: 'tokenSet'; session: SessionId; token: Position}
	| {type: 'sessionClosed'; session: SessionId}
	/** The caller rolled its transaction back and was answered; the connection must be released. */
	| {type: 'transactionAbandoned'; session: SessionId}
	| {
			type: 'requestArrived';
			session: SessionId;
			request: RequestId;
			kind: RequestKind;
			attributes: RequestAttributes;
			payload: RequestPayload;
	  }
	/**
	 * The first response bytes of an attempt went to the caller. From here on only this attempt can
	 * answer the request.
	 */
	| {type: 'relayStarted'; request: RequestId; attempt: AttemptId}
	/** The caller sent a PostgreSQL CancelRequest. */
	| {type: 'cancelRequested'; session: SessionId}
	| {type: 'peerMessage'; from: PeerId; message: PeerMessage}
	| {type: 'peerLinkChanged'; peer: PeerId; up: boolean}
	/** No connection to the peer could be opened, so the message was never sent. */
	| {type: 'messageUnsent'; peer: PeerId; message: PeerMessage}
	| {type: 'connectionOpened'; connection: ConnectionId}
	/** The connection was closed or lost, or could not be opened. */
	| {type: 'connectionClosed'; connection: ConnectionId; message: string}
	/** DISCARD ALL succeeded. */
	| {type: 'connectionReset'; connection: ConnectionId}
	| {
			type: 'executionFinished';
			connection: ConnectionId;
			attempt: AttemptId;
			outcome: ExecutionOutcome;
	  }
	/** `sentAt`: The `now` at which the poll was sent. */
	| {
			type: 'pollAnswered';
			server: UpstreamId;
			sentAt: number;
			status: UpstreamStatus;
	  }
	/** The server was too busy to report its status; it answered, so it is alive. */
	| {type: 'pollRefused'; server: UpstreamId; sentAt: number}
	| {type: 'pollFailed'; server: UpstreamId; sentAt: number; message: string}
	/** `wallClock`: Wall clock, ms since the Unix epoch. */
	| {
			type: 'announcementReceived';
			wallClock: number;
			announcement: Announcement;
	  }
	/** `operation`: Chosen by the adapter to match the answer. */
	| {type: 'templateChangeRequested'; operation: number; change: TemplateChange}
	| {type: 'drainRequested'}
>;
/** Outputs of the proxy reducer, executed by adapters in order. */
export type ProxyEffect = Variants<
	/** Response bytes of `attempt` belong to `request` from now on. */
	| {
			type: 'startAttempt';
			session: SessionId;
			request: RequestId;
			attempt: AttemptId;
	  }
	/** Write the token as ParameterStatus, then the tail. */
	| {
			type: 'finishRequest';
			session: SessionId;
			request: RequestId;
			attempt: AttemptId;
			tail: Uint8Array;
			token?: Position;
	  }
	/** Write ErrorResponse with `sqlState`, then ReadyForQuery with the status. */
	| {
			type: 'refuseRequest';
			session: SessionId;
			request: RequestId;
			sqlState: string;
			message: string;
			transactionStatus: TransactionStatus;
			trace?: RequestTrace;
	  }
	/** The transaction of an idle session was rolled back; see `ProxyConfig.keepsLostSessions`. */
	| {type: 'transactionLost'; session: SessionId; message: string}
	/** Write a FATAL ErrorResponse and close the caller's connection. */
	| {
			type: 'closeSession';
			session: SessionId;
			sqlState: string;
			message: string;
	  }
	| {
			type: 'openConnection';
			connection: ConnectionId;
			server: UpstreamId;
			address: string;
			epoch: Epoch;
			/** The customer whose requests run on the connection; named to the server. */
			customer?: CustomerId;
	  }
	| {type: 'closeConnection'; connection: ConnectionId}
	/** Run DISCARD ALL; answers with `connectionReset` or `connectionClosed`. */
	| {type: 'resetConnection'; connection: ConnectionId}
	/**
	 * `claimKey`: Run `claim_key` in the same transaction as the request. `inTransaction`: True when
	 * the connection is inside a transaction of the session. `after`: The server must refuse the
	 * request when its log lacks this position.
	 */
	| {
			type: 'execute';
			connection: ConnectionId;
			attempt: AttemptId;
			kind: RequestKind;
			payload: RequestPayload;
			claimKey?: string;
			inTransaction: boolean;
			after?: Position;
			sink: Sink;
	  }
	| {type: 'cancelExecution'; connection: ConnectionId; attempt: AttemptId}
	/**
	 * Run `hemlockarch.status()` on a connection kept for polls, opening it when needed. The first
	 * poll of an epoch runs `end_other_sessions` before it. `delayMs`: Time to wait before the poll is
	 * sent, in ms.
	 */
	| {
			type: 'poll';
			server: UpstreamId;
			address: string;
			epoch: Epoch;
			delayMs: number;
	  }
	/** Close the poll connection. */
	| {type: 'stopPolling'; server: UpstreamId}
	| {type: 'sendPeer'; to: PeerId; message: PeerMessage}
	/** A peer listens at `ip:port` and can be reached there. */
	| {type: 'connectPeer'; peer: PeerId; address: string}
	/** The peer has left or failed: close the link. */
	| {type: 'disconnectPeer'; peer: PeerId}
	/** Work depends on the peer while `isWatched`, so its silence has to be noticed early. */
	| {type: 'watchPeer'; peer: PeerId; isWatched: boolean}
	| {
			type: 'answerTemplateChange';
			operation: number;
			result: TemplateChangeResult;
	  }
	/** What `GET /health` answers. */
	| {type: 'setHealth'; ready: boolean; reason: string}
	/** A finished or refused request, for histograms and counters. */
	| {type: 'recordRequest'; record: RequestRecord}
	/** Adds to a counter that is not bound to a member. */
	| {type: 'countEvent'; name: CounterName; amount: number}
	| {
			/** Adds to the counters of a customer's rate limit. */
			type: 'countCustomer';
			customer: CustomerId;
			/** Tokens that the leader granted to this proxy. */
			granted: number;
			/** Operations that were counted here. */
			used: number;
			refused: number;
	  }
	| {type: 'log'; record: LogRecord}
	/** Draining is complete; the process may exit with 0. */
	| {type: 'drained'}
>;
/** What an entry did for a request that it refused, for the log. */
export type RequestTrace = {
	readonly attempts: number;
	readonly retries: number;
	/** The server and owner of the last attempt. */
	readonly server?: UpstreamId;
	readonly owner?: PeerId;
	/** Why the last attempt did not run. */
	readonly lastReason?: RefusalReason;
	/** Time limit of the request at its arrival, in ms. */
	readonly limitMs: number;
	readonly stalenessMs: number;
	readonly floor?: Position;
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
	readonly member: MemberId;
	readonly rank: Rank;
	readonly kind: RequestKind;
	readonly verdict: Verdict;
	readonly reason?: RefusalReason;
	readonly latencyMs: number;
	readonly queueMs: number;
	/** Upper bound of the staleness of a read; undefined for writes. */
	readonly stalenessMs?: number;
	readonly servedBy?: UpstreamRole;
	readonly onTime: boolean;
};
/** Identity and limits of one proxy process. */
export type ProxyConfig = {
	readonly peer: PeerId;
	readonly vm: VmId;
	/** `ip:port` of the peer listener. */
	readonly address: string;
	readonly dataCentre: DataCentre;
	/** Higher for each start of the process. */
	readonly incarnation: number;
	readonly controlPeers: readonly PeerAddress[];
	readonly drainDeadlineMs: number;
	/** Maximum number of caller sessions of the process. */
	readonly maxSessions: number;
	/**
	 * True when a session survives the loss of its transaction: the adapter is told with
	 * `transactionLost` and refuses the rest of the transaction. Otherwise the session is closed.
	 */
	readonly keepsLostSessions?: boolean;
	readonly timing?: Partial<ProxyTiming>;
};
/** Times of the proxy that depend on the deployment, in ms. */
export type ProxyTiming = {
	/** Time that an execution may run past its deadline before its connection is closed. */
	readonly executionGraceMs: number;
	/** An attempt times out when it has no answer this long after the deadline. */
	readonly answerGraceMs: number;
	/** Time that open transactions get to end when control revokes the ownership of a server. */
	readonly transactionReleaseMs: number;
	/** During a drain, new sessions are still accepted for this long. */
	readonly balancerGraceMs: number;
	/** During a drain, ownership of servers that were idle for this long is released. */
	readonly idleOwnerMs: number;
	/** Interval of the reports from owners to entries. */
	readonly reportIntervalMs: number;
	/** Without a message from any peer for this long, templates may be out of date. */
	readonly isolationLimitMs: number;
	/** A proxy without a grant of control for this long is not ready. */
	readonly grantLimitMs: number;
	/** The same for a proxy that reaches only a minority of its peers. */
	readonly minorityGrantLimitMs: number;
	/**
	 * A proxy counts as ready for this long after its start, so that a load balancer that checks it
	 * once a second does not remove it while it waits for its first grant.
	 */
	readonly startGraceMs: number;
	/** A transaction that holds a connection without any request for this long is rolled back. */
	readonly boundIdleLimitMs: number;
	/**
	 * A departing primary gets no new work after this time, even if control found no server that can take
	 * over. Before that, control decides when its writes stop.
	 */
	readonly departingPrimaryLimitMs: number;
	/**
	 * Keys of customers are accepted for this long after the last confirmation that the configuration is
	 * the newest. A withdrawn key works no longer than this anywhere.
	 */
	readonly keyConfirmationLimitMs: number;
	/**
	 * A route that is missing here is called unknown only for this long after the last confirmation, and
	 * requests run on the routes in force only for this long after control has named newer ones.
	 */
	readonly routeConfirmationLimitMs: number;
};
/** Converts texts to the form in which peers exchange them, and back. */
export type TextPacking = {
	pack(text: string): Uint8Array;
	/** Returns undefined when the bytes are damaged. */
	unpack(bytes: Uint8Array): string | undefined;
};
/** The decisions that a driver may replace. Source: "Mechanisms". */
export type ProxyServices = {
	readonly routing: RoutingPolicy;
	readonly retryBudget: RetryBudget;
	/** Computes the time in ms after which a second copy of a read that may be repeated is sent. */
	readonly hedging: {
		observe(latencyMs: number, now: number): void;
		computeDelay(now: number): number;
	};
	/** Creates the queue of one owned server; `slots` statements execute concurrently. */
	readonly createScheduler: <Item>(slots: number) => AdmissionScheduler<Item>;
	/** Undefined when the text is not valid. */
	readonly parseTemplate: (text: string) => TemplateParameters | undefined;
	/** Undefined when the text is not valid. */
	readonly parseConfiguration?: (text: string) => RouteSet | undefined;
	/** The same as that of the control peers; without it, texts are exchanged as UTF-8. */
	readonly packing?: TextPacking;
};
/** A proxy process as one reducer; does not throw for expected faults. */
export class ProxyReducer {
	/** Parameters by member, for `createScheduler`; undefined without template. */
	readonly templates: {
		getParameters(member: MemberId): TemplateParameters | undefined;
	};
	constructor(
		config: ProxyConfig,
		services: ProxyServices,
		randomSource: RandomSource,
	);
	/** Effects that start the process. Call it once, before the first event. */
	start(now: number): ProxyEffect[];
	/** Handles one event; execute the effects in order. */
	step(event: ProxyEvent): ProxyEffect[];
}

// Policies. Source: "Admission control", "Routing".
/** A request that waits for a slot of one server. */
export type QueuedRequest<Item> = {
	readonly member: MemberId;
	/** The customer whose share of the slots the request uses; undefined on an open route. */
	readonly customer?: CustomerId;
	readonly rank: Rank;
	readonly enqueuedAt: number;
	/** Monotonic time after which an answer is no longer useful, in ms. */
	readonly deadlineAt: number;
	readonly item: Item;
};
export type AdmissionResult = Variants<
	{type: 'queued'} | {type: 'refused'; reason: 'queueFull' | 'deadline'}
>;
/** Schedules the requests of one server. */
export type AdmissionScheduler<Item> = {
	/** Number of queued requests. */
	readonly size: number;
	/** Queues a request, or refuses it when it cannot finish in time or its queue is full. */
	offer(request: QueuedRequest<Item>, now: number): AdmissionResult;
	/** Removes and returns the request to run in the next free slot; undefined when none waits. */
	take(now: number): QueuedRequest<Item> | undefined;
	/** Reports the end of a request that was taken. `serviceMs` is the time that it held its slot. */
	complete(request: QueuedRequest<Item>, serviceMs: number, now: number): void;
	/**
	 * Removes requests whose deadline can no longer be met. Returns them and those that `offer` and
	 * `take` removed for the same reason since the last call.
	 */
	expire(now: number): Array<QueuedRequest<Item>>;
	/** Removes a queued request after a cancel or the end of its session; false if not queued. */
	remove(item: Item): boolean;
	/** Estimated time that a new request of the rank would wait, in ms. */
	estimateWait(rank: Rank, now: number): number;
};
export type AdmissionOptions = {
	/** Statements that the server executes concurrently. */
	readonly slots: number;
	/** Current parameters of a member; undefined for a member without template. */
	readonly getParameters: (member: MemberId) => TemplateParameters | undefined;
	/** Weight of a customer's share beside that of the member; 1 by default. */
	readonly getCustomerWeight?: (customer: CustomerId) => number;
	/**
	 * Share of the remaining time, 0 to 1, that wait and service may take; 0.6 by default. The rest
	 * covers the transfer of the answer, the acknowledgement of commits and the estimation error.
	 */
	readonly usableDeadlineShare?: number;
};
/** A server that could serve a request. */
export type RoutingCandidate = {
	readonly server: UpstreamId;
	readonly role: UpstreamRole;
	readonly dataCentre: DataCentre;
	readonly owner: PeerId;
	readonly applied: Position;
	/** Current upper bound of the staleness of its data; `Infinity` when it is unknown. */
	readonly stalenessMs: number;
	/** Estimated queueing time for the rank of the request, in ms. */
	readonly expectedWaitMs: number;
	/** Estimated time that a read takes there once it runs, in ms; 0 when unknown. */
	readonly serviceMs?: number;
	/** Measured network round trip from the entry to the owner, in ms. */
	readonly roundTripMs: number;
	readonly departing: boolean;
	readonly writable: boolean;
	/** Age of the newest report, in ms. */
	readonly reportAgeMs: number;
	/** Time since the next report was expected, in ms; 0 before that. */
	readonly reportOverdueMs: number;
};
export type RoutingRequest = {
	readonly group: GroupId;
	readonly needsPrimary: boolean;
	readonly rank: Rank;
	readonly floor: Position;
	readonly termStart: number;
	readonly stalenessMs: number;
	readonly dataCentre: DataCentre;
	readonly remainingMs: number;
	/** Servers that already refused this request. */
	readonly excluded: ReadonlySet<UpstreamId>;
};
export type RoutingDecision = Variants<
	/** With `maxWaitMs`, another server costs less from that expected wait, in ms. */
	| {type: 'server'; server: UpstreamId; maxWaitMs?: number}
	/** A replica will be fresh enough soon; choose again after `delayMs`. */
	| {type: 'wait'; delayMs: number}
	| {
			type: 'refused';
			reason: 'tooStale' | 'noPrimary' | 'noServer' | 'deadline';
	  }
>;
/** Chooses a server. `random` is uniform in [0, 1). */
export type RoutingPolicy = {
	chooseServer(
		request: RoutingRequest,
		candidates: readonly RoutingCandidate[],
		now: number,
		random: number,
	): RoutingDecision;
	/** Notes that a write at this position has just been acknowledged to a caller. */
	observeFloor(group: GroupId, floor: Position, now: number): void;
	/** Records the outcome for outlier detection. A refusal by admission is not a failure. */
	recordOutcome(
		server: UpstreamId,
		outcome: 'success' | 'failure',
		latencyMs: number,
		now: number,
	): void;
};
/** Limits retries and hedged requests to a share of the successes. */
export type RetryBudget = {
	recordSuccess(now: number): void;
	/** Takes one retry from the budget; false when it is used up. */
	trySpend(now: number): boolean;
	/** Delay before the next retry, with jitter. `random` is uniform in [0, 1). */
	computeDelay(retry: number, random: number): number;
};
/** Parameters of the routing policy, in ms. */
export type RoutingOptions = {
	readonly primaryReadPriceMs?: number;
	readonly maxFreshnessWaitMs?: number;
	readonly localAdvantageMs?: number;
};
/** Admission to one server: ranks by urgency with floors, members by weight. */
export class ServerAdmissionScheduler<Item> {
	constructor(options: AdmissionOptions);
}
export interface ServerAdmissionScheduler<
	Item,
> extends AdmissionScheduler<Item> {}
/** The routing policy of one entry: least expected wait, with preference for near servers. */
export class LeastWaitRoutingPolicy {
	constructor(options?: RoutingOptions);
}
export interface LeastWaitRoutingPolicy extends RoutingPolicy {}
/** Allows retries of up to 10% of the successes, and one per second without any. */
export class SuccessRetryBudget {}
export interface SuccessRetryBudget extends RetryBudget {}
/** 95th percentile of the latencies of the last 5 to 10 s. */
export class HedgeDelayEstimator {
	observe(latencyMs: number, now: number): void;
	/** In ms; 100 until there are 20 samples. */
	computeDelay(now: number): number;
}

// Replicated log. Source: "Control".
/** A command, a change of one voter or of the learners, or the no-op that a new leader appends. */
export type LogPayload<Command> = Variants<
	| {type: 'command'; command: Command}
	/**
	 * `learners`: Peers that receive the log and become voters once they have caught up. `joined`:
	 * The learner that this entry makes a voter, with its incarnation when it started without state.
	 */
	| {
			type: 'voters';
			voters: PeerId[];
			learners?: PeerId[];
			joined?: {peer: PeerId; incarnation: number | undefined};
	  }
	| {type: 'noop'}
>;
export type LogEntry<Command = unknown> = {
	/** Counts from 1. */
	readonly index: number;
	/** Consensus term in which the entry was appended. */
	readonly term: number;
	readonly payload: LogPayload<Command>;
};
/** State machine state up to and including `index`. */
export type Snapshot<State = unknown> = {
	readonly index: number;
	readonly term: number;
	readonly voters: readonly PeerId[];
	readonly learners?: readonly PeerId[];
	/** The last join of each voter that has joined, with its incarnation when it started without state. */
	readonly joined?: ReadonlyArray<{
		readonly peer: PeerId;
		readonly incarnation: number | undefined;
	}>;
	readonly state: State;
};
/** State that must be synced before any answer that depends on it. */
export type HardState = Readonly<{term: number; votedFor: PeerId | undefined}>;
/** The log as stored on disk at start. */
export type StoredLog<Command = unknown, State = unknown> = {
	readonly hardState: HardState;
	readonly snapshot: Snapshot<State> | undefined;
	readonly entries: ReadonlyArray<LogEntry<Command>>;
	/** The folder held a log before and no longer does; the peer must not bootstrap a new group. */
	readonly isDataLost?: boolean;
};
/** One batch of writes, executed in the order of the fields and synced as a whole. */
export type StorageWrite<Command = unknown, State = unknown> = {
	readonly hardState?: HardState;
	/** Replaces everything up to its index. */
	readonly snapshot?: Snapshot<State>;
	/** Entries from this index on are removed before `append`. */
	readonly truncateFrom?: number;
	readonly append?: ReadonlyArray<LogEntry<Command>>;
};
/** Space of the storage; `exhausted` while a refused write is tried again. */
export type StorageSpace = 'sufficient' | 'low' | 'exhausted';
/** What the storage holds. */
export type StorageStatus = {
	/** Size of the file with the log entries, in bytes; removed entries count until it is rewritten. */
	readonly logBytes: number;
	/** Number of times that the disk refused a write. */
	readonly refusals: number;
	readonly space: StorageSpace;
};
/** Durable storage of one control peer. */
export type LogStorage<Command = unknown, State = unknown> = {
	/**
	 * Reads the stored log. Truncates an incomplete last record.
	 *
	 * @throws An error that names the file and offset for any other damage.
	 */
	load(): Promise<StoredLog<Command, State>>;
	/** Resolves after the write is synced. Calls are executed in order. */
	write(write: StorageWrite<Command, State>): Promise<void>;
	/** Without it, the log is compacted by its number of entries only. */
	readStatus?(): StorageStatus;
	/** Calls the listener after each change of the space. */
	watchSpace?(listener: (space: StorageSpace) => void): void;
	close(): Promise<void>;
};
export type ConsensusRole = 'follower' | 'candidate' | 'leader';
/** Inputs of the consensus reducer. `now` is monotonic, in ms. */
export type ConsensusEvent<Command = unknown> = Timed<
	/** `random`: Uniform in [0, 1). */
	| {type: 'tick'; random: number}
	| {type: 'message'; from: PeerId; message: ConsensusMessage}
	/** `proposal`: Returned in `applied` or `proposalLost`. */
	| {type: 'propose'; proposal: number; command: Command}
	| {type: 'changeVoters'; voters: PeerId[]}
	/** `space`: `sufficient` before the first event. */
	| {type: 'spaceChanged'; space: StorageSpace}
	/** A link to the peer is connected, so that messages now reach it. */
	| {type: 'peerConnected'; peer: PeerId}
	/** The storage write with this number is synced. */
	| {type: 'written'; write: number}
	/**
	 * The state machine provides its state at its last applied index, for compaction of the log.
	 */
	| {type: 'compact'; index: number; state: unknown}
>;
/** Outputs of the consensus reducer. */
export type ConsensusEffect<Command = unknown> = Variants<
	| {type: 'send'; to: PeerId; message: ConsensusMessage}
	/** Messages that depend on the write are emitted only after its `written` event. */
	| {type: 'write'; write: number; data: StorageWrite<Command>}
	/**
	 * A committed entry, in order, exactly once per instance. `proposal`: Set on the peer that
	 * proposed it.
	 */
	| {type: 'applied'; entry: LogEntry<Command>; proposal?: number}
	/** Replace the state of the state machine. */
	| {type: 'restore'; snapshot: Snapshot}
	/** The proposal was rejected (`mayHaveRun` is false), or this peer does not know its outcome. */
	| {type: 'proposalLost'; proposal: number; mayHaveRun: boolean}
	| {
			type: 'roleChanged';
			role: ConsensusRole;
			term: number;
			leader: PeerId | undefined;
	  }
>;
/** Start options of one peer of the replicated log. */
export type ConsensusOptions<Command> = {
	readonly peer: PeerId;
	/** The voters of a group whose log is still empty. */
	readonly initialVoters: readonly PeerId[];
	readonly stored: StoredLog<Command>;
	/** Differs at each start of the process, e.g. the start time in ms since the Unix epoch. */
	readonly incarnation: number;
	/** Monotonic time of the start of the process, in ms; the time of the first event by default. */
	readonly startedAt?: number;
	/** Limit on the size of the uncommitted or unsynced entries of a leader, in bytes; a single one may be larger. */
	readonly maxPendingBytes?: number;
	/** True when it is certain that the group starts for the first time; a majority then starts it. */
	readonly isFirstStart?: boolean;
};
/** One peer of the replicated log as a reducer. */
export class Consensus<Command> {
	constructor(options: ConsensusOptions<Command>);
	get role(): ConsensusRole;
	/** Consensus term. */
	get term(): number;
	get leader(): PeerId | undefined;
	/** Voters of the latest configuration, committed or not. */
	get voters(): readonly PeerId[];
	get commitIndex(): number;
	get lastIndex(): number;
	/** True while the peer has no state of its own and therefore does not vote. */
	get isJoining(): boolean;
	/** What this peer waits for before it votes; undefined when it votes. */
	get joinWait(): JoinWait | undefined;
	/** True while no other peer can have become leader. */
	isLeaderLeaseValid(now: number): boolean;
	/** True while this peer leads and the disks of so many voters are full that no entry is committed. */
	readonly isStorageExhausted: boolean;
	step(event: ConsensusEvent<Command>): Array<ConsensusEffect<Command>>;
}

/** What a peer without state waits for: reports of these voters that they have none either, or a leader. */
export type JoinWait = Variants<
	{type: 'firstStart'; missingVoters: readonly PeerId[]} | {type: 'leader'}
>;

// Control peer. Source: "Control", "Failover".
/** The replicated log as the control reducer uses it; the consensus reducer implements it. */
export type ReplicatedLog = {
	readonly role: ConsensusRole;
	/** Consensus term. */
	readonly term: number;
	readonly leader: PeerId | undefined;
	/** The voters of the latest configuration; undefined for a log whose voters never change. */
	readonly voters?: readonly PeerId[];
	step(
		event: ConsensusEvent<ControlCommand>,
	): ReadonlyArray<ConsensusEffect<ControlCommand>>;
	/** True while no other peer can have become leader. */
	isLeaderLeaseValid(now: number): boolean;
	/** True while this peer leads and the disks of so many voters are full that no entry is committed. */
	readonly isStorageExhausted: boolean;
	/** What this peer waits for before it votes; undefined when it votes. */
	readonly joinWait?: JoinWait | undefined;
};
/** A function of a database server that control calls on its own connection. */
export type ServerRequest = Variants<
	| {type: 'status'}
	| {type: 'fence' | 'promote'; term: number}
	/** `server`: The primary to replicate from. */
	| {type: 'follow'; term: number; server: UpstreamId; address: string}
>;
/** How a call to a server ended. */
export type ServerAnswer = Variants<
	/** `status`: Absent when the function returned no status row. */
	| {type: 'answered'; status?: UpstreamStatus}
	/** `sqlState`: SQLSTATE of the server's error; undefined when it did not answer. */
	| {type: 'failed'; sqlState?: string; message: string}
>;
/** A read-only query of an operator. */
export type ControlQuery = Variants<
	| {type: 'status' | 'templates'}
	| {type: 'template' | 'history'; member: MemberId}
>;
/** A version in a member's template history. */
export type HistoryEntry = Template & {
	/** Log index of the change. */
	readonly index: number;
};
/** The answer to a `ControlQuery`. */
export type ControlQueryResult = Variants<
	| {type: 'status'; status: ControlStatus}
	| {type: 'templates'; templates: Template[]}
	/** `template`: Undefined when the member has none. */
	| {type: 'template'; template: Template | undefined}
	| {type: 'history'; history: HistoryEntry[]}
>;
/** What `GET /status` of a control peer shows. */
export type ControlStatus = {
	readonly peer: PeerId;
	readonly role: ConsensusRole;
	readonly consensusTerm: number;
	readonly leader: PeerId | undefined;
	readonly appliedIndex: number;
	readonly groups: readonly GroupView[];
	/** Known on the leader only. */
	readonly owners: ReadonlyArray<{
		readonly server: UpstreamId;
		readonly owner: PeerId | undefined;
	}>;
};
/** Inputs of the control reducer. `now` is monotonic, in ms. */
export type ControlEvent = Timed<
	/** Sent every 25 ms. `random`: Uniform in [0, 1). */
	| {type: 'tick'; random: number}
	| {type: 'peerMessage'; from: PeerId; message: PeerMessage}
	/** Membership delivered an announcement; a new leader may not get it from lease renewals. */
	| {type: 'announcementHeard'; announcement: VersionedAnnouncement}
	/** A link to the peer is connected, so that messages now reach it. */
	| {type: 'peerConnected'; peer: PeerId}
	/** The storage write with this number is synced. `logBytes`: Size of the stored log after it. */
	| {type: 'written'; write: number; logBytes?: number}
	/** `space`: `sufficient` before the first event. */
	| {type: 'spaceChanged'; space: StorageSpace}
	| {type: 'serverAnswered'; call: number; answer: ServerAnswer}
	/** `operation`: Chosen by the adapter to match the answer. */
	| {type: 'templateChangeRequested'; operation: number; change: OperatorChange}
	/** An operator reads the configuration; answered by the leader only. */
	| {type: 'configurationReadRequested'; operation: number}
	| {type: 'queryRequested'; operation: number; query: ControlQuery}
	| {type: 'drainRequested'}
>;
/** Outputs of the control reducer, executed by adapters in order. */
export type ControlEffect = Variants<
	| {type: 'sendPeer'; to: PeerId; message: PeerMessage}
	/** Sync the data, then report `written` with the same number. */
	| {type: 'write'; write: number; data: StorageWrite<ControlCommand>}
	/**
	 * Call a function of the server and report `serverAnswered` with the same number. `leaderTerm`:
	 * Consensus term of the calling leader; every later leader has a higher one.
	 */
	| {
			type: 'callServer';
			call: number;
			server: UpstreamId;
			address: string;
			request: ServerRequest;
			group: GroupId;
			leaderTerm: number;
	  }
	| {
			type: 'answerTemplateChange';
			operation: number;
			result: TemplateChangeResult;
	  }
	| {
			type: 'answerConfigurationRead';
			operation: number;
			result: ConfigurationReading;
	  }
	| {type: 'answerQuery'; operation: number; result: ControlQueryResult}
	/** What `GET /health` answers. */
	| {type: 'setHealth'; ready: boolean; reason: string}
	| {type: 'log'; record: LogRecord}
	/** All operators' changes are answered; the process may exit with code 0. */
	| {type: 'drained'}
>;
/** Start options of a control peer. `incarnation` is higher for each start of the process. */
/** What may run in any window: (rate * window + burst) * (1 + overage) + slack. */
export type RateBound = {
	readonly windowMs: number;
	/** Tolerated share above the limit. */
	readonly overage: number;
	/** Operations that are tolerated in addition. */
	readonly slack: number;
};
/** How the leader learns the rate limits of customers, and what it tolerates above them. */
export type RateLimitOptions = {
	/** Reads the customers of a configuration; undefined when its text is not valid. */
	parseCustomers?(text: string): Iterable<Customer> | undefined;
	/** Reads the customers of a template; its limits hold while there is no configuration. */
	parseTemplateCustomers?(text: string): Iterable<Customer> | undefined;
	readonly bound: RateBound;
};
/**
 * Reads from a configuration how many replicas of each group have received a commit before a server
 * acknowledges it; undefined when its text is not valid.
 */
export type SynchronousReplicasParser = (
	text: string,
) => ReadonlyMap<GroupId, number> | undefined;
export type ControlPeerOptions = {
	readonly peer: PeerId;
	/** `ip:port` of the peer listener. */
	readonly address: string;
	readonly dataCentre: DataCentre;
	readonly incarnation: number;
	readonly controlPeers: readonly PeerAddress[];
	readonly log: ReplicatedLog;
	/** Target number of voters; the current number when it is not set. */
	readonly wantedVoters?: number;
	/**
	 * Stores lease holders and announcements in the log, which shortens the outage after a restart of
	 * all control peers.
	 */
	readonly recordsLeaseHolders?: boolean;
	readonly rateLimits?: RateLimitOptions;
	readonly parseSynchronousReplicas?: SynchronousReplicasParser;
	/** The same as that of the proxies; without it, texts are exchanged as UTF-8. */
	readonly packing?: TextPacking;
	/** Shares of the disk; those of a disk of 256 MiB when it is not set. */
	readonly storageLimits?: StorageLimits;
	readonly random: RandomSource;
};
/** Limits on what a control peer stores, in bytes. */
export type StorageLimits = {
	/** The log is compacted once it has grown by this much since the last compaction. */
	readonly compactionBytes: number;
	/** Maximum size of the entries that are not committed, or not synced by this peer. */
	readonly pendingBytes: number;
	/** A change after which the replicated state would be larger is refused. */
	readonly stateBytes: number;
};
export type ControlPeerEvent =
	| ControlEvent
	/**
	 * A server announced itself to this peer. `sequence`: Number of the announcement among those of
	 * the same instance of the server.
	 */
	| Timed<{
			type: 'announcementReceived';
			announcement: Announcement;
			sequence: number;
	  }>
	/** A server told this peer that it has left. */
	| Timed<{type: 'departureReceived'; server: UpstreamId}>
	/** The settings now name other control peers. */
	| Timed<{
			type: 'controlPeersChanged';
			controlPeers: readonly PeerAddress[];
	  }>
	| Timed<{type: 'peerLinkChanged'; peer: PeerId; up: boolean}>;
export type ControlPeerEffect =
	| ControlEffect
	/** `connectPeer`: the peer can be reached at `ip:port`. `disconnectPeer`: close its link. */
	| Variants<{type: 'connectPeer'; peer: PeerId; address: string}>
	| Variants<{type: 'disconnectPeer'; peer: PeerId}>;
/** A control process as one reducer. */
export class ControlPeer {
	constructor(options: ControlPeerOptions);
	/** Effects that start the process. Call it once, before the first event. */
	start(now: number): ControlPeerEffect[];
	/** Handles one event; execute the effects in order. */
	step(event: ControlPeerEvent): ControlPeerEffect[];
}

// Templates, positions, random numbers. Source: "Templates", "Read-your-writes".
/** A problem in a template text. */
export type TemplateProblem = {
	/** Section name without brackets; empty for a key before the first section. */
	readonly section: string;
	/** Undefined when the section itself is not allowed. */
	readonly key?: string;
	/** What the text contains at this place. */
	readonly found: string;
	/** What is allowed at this place. */
	readonly allowed: string;
};
/** A stream of random numbers. */
export type RandomSource = {
	/** Uniform in [0, 1). */
	readFloat(): number;
	/** Uniform integer; both bounds are inclusive. */
	readInteger(min: number, max: number): number;
};
/**
 * Parses and validates a template text. Missing keys get their defaults; the error lists all
 * problems of the text.
 */
export function parseTemplate(
	text: string,
): Result<TemplateParameters, readonly TemplateProblem[]>;
/** Formats a problem as one sentence for the operator. */
export function formatProblem(problem: TemplateProblem): string;
/** Renders all parameters as template text, including defaults. */
export function renderTemplate(parameters: TemplateParameters): string;
/** Creates a source of random numbers from an integer seed. */
export function createRandom(seed: number): RandomSource;
/** The position before any write. */
export const zeroPosition: Position;
/** Compares by term, then by offset; negative when `left` is earlier. */
export function comparePositions(left: Position, right: Position): number;
/** Returns the later of two positions. */
export function maxPosition(left: Position, right: Position): Position;
/** Formats a position as a session token `<term>:<offset>`. */
export function formatPosition(position: Position): string;
/** Parses a session token; the error describes what is wrong with the text. */
export function parsePosition(text: string): Result<Position, string>;
/**
 * Tells whether a server at `applied` has applied everything that a session may have seen. A floor
 * of an earlier term is capped at `termStart`, the start of the current term as an offset in bytes.
 */
export function isFloorReached(
	floor: Position,
	applied: Position,
	termStart: number,
): boolean;

// Metrics and daemons. Source: "HTTP endpoints of each daemon".
/** Durations in ms. */
export type HistogramSummary = {
	readonly count: number;
	readonly meanMs: number;
	readonly p50Ms: number;
	readonly p90Ms: number;
	readonly p99Ms: number;
	readonly p999Ms: number;
	readonly maxMs: number;
};
/** Request metrics of one member and rank since the start of the process. */
export type SeriesSnapshot = {
	/** `other` combines all members beyond the limit. */
	readonly member: string;
	readonly rank: Rank;
	readonly verdicts: Readonly<Record<Verdict, number>>;
	readonly refusals: Readonly<Partial<Record<RefusalReason, number>>>;
	/** Completed requests that were answered within their deadline. */
	readonly onTime: number;
	readonly readsByReplica: number;
	readonly readsByPrimary: number;
	readonly latency: HistogramSummary;
	readonly queueTime: HistogramSummary;
	/** Staleness of reads. */
	readonly staleness: HistogramSummary;
};
/** Counters of one customer's rate limit at this process. */
export type CustomerCounts = {
	/** `other` combines all customers beyond the limit. */
	readonly customer: string;
	/** Tokens that the leader granted to this process. */
	readonly granted: number;
	/** Operations that were counted here. */
	readonly used: number;
	readonly refused: number;
};
export type MetricsSnapshot = {
	/** Customers with a rate limit that have sent requests here. */
	readonly customers: readonly CustomerCounts[];
	readonly series: readonly SeriesSnapshot[];
	readonly counters: Readonly<Record<string, number>>;
	readonly gauges: Readonly<Record<string, number>>;
	/** Share of reads that a replica served, 0 to 1; null before the first read. */
	readonly replicaShare: number | null;
	/** Messages and bytes exchanged with peers since the start of the process. */
	readonly traffic: readonly TrafficSnapshot[];
};
/** Messages and bytes of one type that were exchanged with peers at one distance. */
export type TrafficSnapshot = {
	readonly direction: 'sent' | 'received';
	readonly distance:
		'dataCentre' | 'region' | 'otherRegion' | 'otherDataCentre' | 'unknown';
	readonly type: string;
	readonly messages: number;
	readonly bytes: number;
};
/** Limits on the number of series, whatever names callers send. */
export type MetricsLimits = {
	/** Maximum number of members with series of their own. */
	readonly maxMembers: number;
	/** Maximum number of customers with counters of their own. */
	readonly maxCustomers: number;
	readonly maxGauges: number;
};
/** Counts the messages and bytes exchanged with peers. */
export type TrafficCounters = {
	record(
		direction: TrafficSnapshot['direction'],
		distance: TrafficSnapshot['distance'],
		type: string,
		bytes: number,
	): void;
	getSnapshot(): TrafficSnapshot[];
};
/** Metrics of one process, with a bounded number of series. */
export class Metrics {
	readonly traffic: TrafficCounters;
	constructor(limits?: Partial<MetricsLimits>);
	recordRequest(record: RequestRecord): void;
	countEvent(name: CounterName, amount?: number): void;
	countCustomer(counts: CustomerCounts): void;
	/** False when the gauge is new and the limit is reached; the value is then discarded. */
	setGauge(name: string, value: number): boolean;
	removeGauge(name: string): void;
	getSnapshot(): MetricsSnapshot;
	/** Formats all metrics in the text format of Prometheus, version 0.0.4. */
	formatText(): string;
}
/** Validated settings. */
export type Settings = {
	readonly process: {
		readonly id: PeerId;
		readonly role: 'proxy' | 'control';
		readonly vm: VmId;
		readonly dataCentre: DataCentre;
		readonly region: string;
		/** Folder of the log, the vote and the snapshots; set for control only. */
		readonly dataFolder: string | undefined;
	};
	readonly listen: {
		/** IP address of all listeners. */
		readonly address: string;
		/** Port of the PostgreSQL listener; set for proxies only. */
		readonly callersPort: number | undefined;
		readonly peersPort: number;
		readonly httpPort: number;
	};
	readonly control: {
		/** Control peers that a process knows at its start. */
		readonly peers: ReadonlyArray<{
			readonly id: PeerId;
			readonly address: string;
		}>;
	};
	readonly limits: {
		/** Maximum time that a drain waits for open transactions, in ms. */
		readonly drainDeadlineMs: number;
		/** Maximum number of caller connections at one proxy. */
		readonly maxConnections: number;
		/** Memory of the process; its buffers take a share of it. */
		readonly memoryBytes?: number;
		/** Space for the data folder of a control peer. */
		readonly diskBytes?: number;
	};
	readonly log: {
		readonly level: LogLevel;
		readonly format: 'json' | 'text';
	};
};
export type RunningDaemon = {
	/** Resolves with the exit code when the daemon has closed everything. */
	readonly finished: Promise<number>;
	/** Starts to drain; further calls have no effect. */
	startDrain(): void;
	/** Applies the control peers of changed settings. */
	setControlPeers(controlPeers: readonly PeerAddress[]): void;
};
/** Starts a proxy. Rejects with the system's error when a listener cannot be opened. */
export function startProxy(settings: Settings): Promise<RunningDaemon>;
/** Starts a control peer. Rejects when the data folder is damaged or in use, or a listener fails. */
export function startControl(settings: Settings): Promise<RunningDaemon>;
