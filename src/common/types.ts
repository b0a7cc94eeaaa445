/**
 * Data types that several folders share: ranks, positions, verdicts, announcements and views of
 * groups and servers. All times are milliseconds; `now` values are monotonic.
 */
import type * as ids from './ids.js';

/** The ranks of work, most urgent first. */
export const ranks = ['urgent', 'normal', 'background'] as const;

/** A rank of work. */
export type Rank = (typeof ranks)[number];

/** A peer and the `ip:port` of its listener for peers. */
export type PeerAddress = {
	readonly peer: ids.PeerId;
	readonly address: string;
};

/** A place in a group's log. Compared by `term` first, then by `offset`. */
export type Position = {
	/** Group term; one promotion adds at least one. */
	readonly term: number;
	/** Log offset (LSN) in bytes. */
	readonly offset: number;
};

/** The role of a database server. */
export type UpstreamRole = 'primary' | 'replica';

/** What is known of the execution of a request. */
export type Verdict = 'completed' | 'notRun' | 'unknown';

/** Why a request was refused without having run. */
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
	| 'readOnlyServer'
	| 'cancelled';

/** The newest position that a server was seen at, as the server itself reports it. */
export type UpstreamStatus = {
	readonly server: ids.UpstreamId;
	readonly role: UpstreamRole;
	readonly term: number;
	/** Received and synced offset. */
	readonly position: number;
	/** Offset that reads see. */
	readonly applied: number;
	/** Term of the last log record, where it can be below `term`; otherwise the same. */
	readonly logTerm?: number;
	/** On the primary: synced offset per replica. */
	readonly replicas: ReadonlyArray<{
		readonly server: ids.UpstreamId;
		readonly position: number;
	}>;
};

/** What a server says of itself about once a second. */
export type Announcement = {
	readonly group: ids.GroupId;
	readonly server: ids.UpstreamId;
	/** `ip:port` of its PostgreSQL listener. */
	readonly address: string;
	readonly dataCentre: ids.DataCentre;
	readonly role: UpstreamRole;
	readonly term: number;
	readonly position: number;
	/** Statements that it executes at once. */
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

/** A group as the replicated state of control knows it. */
export type GroupView = {
	readonly group: ids.GroupId;
	readonly term: number;
	/** The offset at which the term began. */
	readonly termStart: number;
	readonly primary: ids.UpstreamId | undefined;
	/** The replicated server set; majorities count it. */
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
	/** Share of each server's slot time that the rank keeps under any flood, 0 to 100. */
	readonly floorPercent: number;
	/** Requests of the member and rank that may wait at one server. */
	readonly queueLimit: number;
	/** Weight of the member among the members of the rank. */
	readonly weight: number;
};

/** The checked parameters of one member's template. */
export type TemplateParameters = {
	readonly defaultRank: Rank;
	/** Tolerated staleness of reads; `Infinity` for `any`. */
	readonly stalenessMs: number;
	/** Sessions of the member at one entry proxy. */
	readonly maxSessions: number;
	/** Requests of the member in flight at one entry proxy. */
	readonly maxInFlight: number;
	readonly ranks: Readonly<Record<Rank, RankPolicy>>;
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

/** The answer to a template change. A resend with the same `changeId` gets the same answer. */
export type TemplateChangeResult =
	| {readonly type: 'accepted'; readonly version: number}
	| {readonly type: 'versionConflict'; readonly currentVersion: number}
	| {readonly type: 'invalid'; readonly problems: readonly string[]}
	| {
			/** `mayHaveRun` is true when the change may still be accepted later; resend with the same `changeId`. */
			readonly type: 'unavailable';
			readonly mayHaveRun: boolean;
	  };

/** The complete set of customers' routes as an operator sent it. The highest version is in force. */
export type Configuration = {
	readonly version: number;
	/** The text as the operator sent it. */
	readonly text: string;
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
	/** No leader can be asked, so a newer version may exist. */
	| {readonly type: 'unavailable'};

/** What a configuration says of one customer. */
export type MemberRoute = {
	readonly group: ids.GroupId;
	readonly parameters: TemplateParameters;
};

/** A configuration after its checks. */
export type RouteSet = {
	readonly members: ReadonlyMap<ids.MemberId, MemberRoute>;
	/** Time after which an idle transaction is rolled back, in ms; `Infinity` without a limit. */
	readonly idleTransactionMs: number;
};

/** Levels of log records. */
export type LogLevel = 'error' | 'warn' | 'info' | 'debug';

/** A log record as data; the adapter adds the time and writes it. */
export type LogRecord = {
	readonly level: LogLevel;
	/** The part that speaks; becomes the prefix. */
	readonly part: string;
	/** A short sentence. */
	readonly message: string;
	/** Structured fields: the inputs of a decision, with their age or version. */
	readonly fields?: Readonly<Record<string, LogValue>>;
};

/** A value of a structured log field. */
export type LogValue = string | number | boolean | undefined;
