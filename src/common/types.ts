/**
 * Data types that several folders share: ranks, positions, verdicts, announcements and views of
 * groups and servers. All times are milliseconds; `now` values are monotonic.
 */
import type * as ids from './ids.js';

/** The priority ranks of requests, most urgent first. */
export const ranks = ['urgent', 'normal', 'background'] as const;

/** The priority rank of a request. */
export type Rank = (typeof ranks)[number];

/** A peer and the `ip:port` of its peer listener. */
export type PeerAddress = {
	readonly peer: ids.PeerId;
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
	readonly server: ids.UpstreamId;
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
		readonly server: ids.UpstreamId;
		readonly position: number;
	}>;
};

/** The state that a server announces about once a second. */
export type Announcement = {
	readonly group: ids.GroupId;
	readonly server: ids.UpstreamId;
	/** `ip:port` of its PostgreSQL listener. */
	readonly address: string;
	readonly dataCentre: ids.DataCentre;
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
	readonly group: ids.GroupId;
	readonly term: number;
	/** Offset at which the term began. */
	readonly termStart: number;
	readonly primary: ids.UpstreamId | undefined;
	/** The replicated server set, from which majorities are computed. */
	readonly servers: readonly ids.UpstreamId[];
	/** True from the commit of `beginPromotion` to the commit of `completePromotion`. */
	readonly promoting: boolean;
};

/** Identifies one grant of ownership; compared by `consensusTerm` first, then by `counter`. */
export type Epoch = {
	readonly consensusTerm: number;
	readonly counter: number;
};

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
	readonly customers?: ReadonlyMap<ids.CustomerId, Customer>;
};

/** One version of a member's template. */
export type Template = {
	readonly member: ids.MemberId;
	/** Counts from 1. */
	readonly version: number;
	/** The INI text as the operator sent it. */
	readonly text: string;
	readonly changeId: ids.ChangeId;
};

/** An operator's request to change a template. */
export type TemplateChange = {
	readonly member: ids.MemberId;
	readonly text: string;
	/** The version that the operator saw; 0 when the member has no template. */
	readonly expectedVersion: number;
	readonly changeId: ids.ChangeId;
};

/** The answer to a template change. A retry with the same `changeId` gets the same answer. */
export type TemplateChangeResult =
	| {readonly type: 'accepted'; readonly version: number}
	| {readonly type: 'versionConflict'; readonly currentVersion: number}
	| {readonly type: 'invalid'; readonly problems: readonly string[]}
	| {
			/**
			 * `mayHaveRun` is true when the change may still be accepted later; retry with the same
			 * `changeId`.
			 */
			readonly type: 'unavailable';
			readonly mayHaveRun: boolean;
			/** Set when the disks of the control peers are full; otherwise there was no leader in time. */
			readonly reason?: 'storageExhausted';
	  };

/** The routes of all customers as an operator sent them. The highest version is in force. */
export type Configuration = {
	readonly version: number;
	/** The text as the operator sent it. */
	readonly text: string;
};

/** Converts texts to the form in which peers exchange them, and back. */
export type TextPacking = {
	pack(text: string): Uint8Array;
	/** Returns undefined when the bytes are damaged. */
	unpack(bytes: Uint8Array): string | undefined;
};

/** An operator's request to put a configuration in force. */
export type ConfigurationChange = {
	readonly type: 'configuration';
	readonly configuration: Configuration;
};

/** Any request of an operator to change the replicated state. */
export type OperatorChange = TemplateChange | ConfigurationChange;

/** The answer to a read of the configuration. */
export type ConfigurationReading =
	| {
			readonly type: 'read';
			/** Undefined before the first one was accepted. */
			readonly configuration: Configuration | undefined;
	  }
	/** No leader answered, so a newer version may exist. */
	| {readonly type: 'unavailable'};

/** The route of one customer in a configuration. */
export type MemberRoute = {
	readonly group: ids.GroupId;
	readonly parameters: TemplateParameters;
	/** True when requests need no key of a customer. */
	readonly isOpen: boolean;
};

/** A customer of a configuration. */
export type Customer = {
	readonly customer: ids.CustomerId;
	readonly keys: ReadonlySet<ids.KeyDigest>;
	/** Operations per second over all proxies; `Infinity` without a limit. */
	readonly ratePerS: number;
	/** Operations that may run at once after a pause, beyond the rate. */
	readonly burst: number;
};

/** A parsed and validated configuration. */
export type RouteSet = {
	readonly members: ReadonlyMap<ids.MemberId, MemberRoute>;
	/** Time after which an idle transaction is rolled back, in ms; `Infinity` without a limit. */
	readonly idleTransactionMs: number;
	/** Empty when the configuration has no customers; then no route needs a key. */
	readonly customers: ReadonlyMap<ids.CustomerId, Customer>;
	/** The customer that holds each key. */
	readonly customerByKey: ReadonlyMap<ids.KeyDigest, ids.CustomerId>;
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
