/**
 * Messages between peers. Each is one CBOR frame; the `type` field selects the variant. Fields are
 * plain data so that any codec can carry them.
 */
import type * as ids from './ids.js';
import type * as types from './types.js';
import type * as proxy from './proxy/types.js';
import type * as consensus from './consensus/types.js';
import type * as membership from './membership/types.js';

/** A request that an entry forwards to the owner of a server. */
export type ForwardRequest = {
	readonly type: 'forwardRequest';
	readonly attempt: ids.AttemptId;
	readonly session: ids.SessionId;
	readonly member: ids.MemberId;
	/** The customer as which the request runs; undefined on an open route. */
	readonly customer?: ids.CustomerId;
	readonly group: ids.GroupId;
	readonly server: ids.UpstreamId;
	readonly rank: types.Rank;
	readonly kind: proxy.RequestKind;
	/** Remaining time when the message was sent, in ms. */
	readonly deadlineMs: number;
	/** The session floor; undefined when the owner of the primary must read the current position. */
	readonly floor?: types.Position;
	readonly stalenessMs: number;
	/**
	 * The attempt that bound the session to a connection of this owner. Undefined for a request outside
	 * of transactions and pinned connections.
	 */
	readonly binding?: ids.AttemptId;
	readonly key?: string;
	readonly templateVersion: number;
	/**
	 * The owner returns the request when its expected wait is longer, because then another server costs
	 * less as far as the entry knows. Undefined when no other server can run it.
	 */
	readonly maxWaitMs?: number;
	readonly payload: proxy.RequestPayload;
};

/** The result of an attempt. */
export type ForwardDone = {
	readonly type: 'forwardDone';
	readonly attempt: ids.AttemptId;
	readonly verdict: types.Verdict;
	readonly reason?: types.RefusalReason;
	readonly message?: string;
	/** The rest of the response when the verdict is `completed`. */
	readonly tail?: Uint8Array;
	readonly relayed: boolean;
	readonly transactionStatus: proxy.TransactionStatus;
	/** True when the session keeps its connection at this owner. */
	readonly bound: boolean;
	/** New floor of the session: the position of its commit, or that of the data it read. */
	readonly position?: types.Position;
	readonly queueMs: number;
	/** Upper bound of the staleness of the data, in ms. */
	readonly stalenessMs?: number;
	readonly servedBy?: types.UpstreamRole;
	/** Expected wait of another request of this rank at the server, in ms. */
	readonly expectedWaitMs?: number;
	/** The owner did not queue the request, because its wait exceeds `maxWaitMs`. */
	readonly isReturned?: boolean;
};

/** State of one server as known to its owner. */
export type ServerReport = {
	readonly server: ids.UpstreamId;
	readonly group: ids.GroupId;
	readonly role: types.UpstreamRole;
	readonly term: number;
	readonly applied: number;
	/** Term of the last log record, where it can be below `term`. */
	readonly logTerm?: number;
	/** Time since the last answer to a status poll, in ms. */
	readonly answerAgeMs: number;
	/** Upper bound of the staleness of its data, in ms; `Infinity` when it is unknown. */
	readonly stalenessMs: number;
	/** Estimated queueing time of a new request, per rank, in ms. */
	readonly expectedWaitMs: Readonly<Record<types.Rank, number>>;
	/** The owner holds a valid write lease for the server's group and term. */
	readonly writable: boolean;
	/** Time until the next report while nothing notable changes, in ms. */
	readonly nextReportMs: number;
};

/** Health of an owned server in a lease renewal. */
export type OwnershipClaim = {
	readonly server: ids.UpstreamId;
	readonly epoch: types.Epoch;
	/** Term of the write lease that the owner claims to hold, if any. */
	readonly writeTerm?: number;
	/**
	 * On a primary: time for which commits have waited while no further log position reached a
	 * majority, in ms; 0 when nothing waits.
	 */
	readonly stalledMs?: number;
	/** Time since the last answer to a poll, in ms; undefined when it never answered. */
	readonly answerAgeMs?: number;
	readonly status?: types.UpstreamStatus;
};

/** Ownership of one server that control granted to the proxy. */
export type OwnershipGrant = {
	readonly server: ids.UpstreamId;
	readonly epoch: types.Epoch;
	/** Set when the grant includes the write lease of the group for this term. */
	readonly writeTerm?: number;
};

/**
 * Identifies the tokens that one leader has granted to one instance of a proxy. Compared by the
 * consensus term first, then by the counter.
 */
export type AllowanceStream = readonly [consensusTerm: number, counter: number];

/** What a proxy has done with the tokens of its customers' rate limits. */
export type AllowanceReport = {
	/** Echoed in the answer; the proxy keeps the send time by sequence. */
	readonly sequence: number;
	/** Number of the last grant of the stream that the proxy received; 0 before the first one. */
	readonly received: number;
	/** Absent before the first grant. */
	readonly stream?: AllowanceStream;
	/**
	 * The customers with changes. `spent` and `returned` are totals of the stream; `waiting` is the
	 * number of requests without a token, `stock` the number of tokens to hold beyond them.
	 */
	readonly customers: ReadonlyArray<
		readonly [
			customer: ids.CustomerId,
			spent: number,
			returned: number,
			waiting: number,
			stock: number,
		]
	>;
};

/**
 * The leader's answer to an `AllowanceReport`, or tokens for requests that have waited since. It
 * confirms all tokens of the stream.
 */
export type AllowanceGrant = {
	/** Sequence of the last report. */
	readonly sequence: number;
	/** Counts the grants of the stream. */
	readonly number: number;
	readonly stream: AllowanceStream;
	/**
	 * Customers with changes. `granted` is the total of the stream; `waitMs` is above 0 while a
	 * request waits for a token that the customer's limit does not allow yet.
	 */
	readonly customers: ReadonlyArray<
		readonly [customer: ids.CustomerId, granted: number, waitMs: number]
	>;
};

/** Names a configuration that is committed. */
export type ConfigurationNotice = {
	readonly version: number;
	/** The control peer from which this proxy should fetch the text. */
	readonly source: ids.PeerId;
};

export type ControlMessage =
	| {
			/** Proxy to control leader, every 250 ms. */
			readonly type: 'renewLease';
			/** Echoed in the answer; the proxy keeps the send time by sequence. */
			readonly sequence: number;
			readonly dataCentre: ids.DataCentre;
			readonly incarnation: number;
			readonly draining: boolean;
			readonly owned: readonly OwnershipClaim[];
			/** Announcements that changed since the leader last confirmed them. */
			readonly announcements: readonly types.VersionedAnnouncement[];
			readonly templateVersions: ReadonlyArray<readonly [ids.MemberId, number]>;
			/** Version of the configuration that is in force at the proxy; 0 without one. */
			readonly configurationVersion?: number;
			/** Highest log index of group views and templates that the proxy has applied. */
			readonly knownIndex: number;
			/** `ownersVersion` of the last grant that the proxy applied. */
			readonly knownOwners?: types.Epoch;
			/** Absent while the proxy holds no tokens and needs none. */
			readonly allowances?: AllowanceReport;
	  }
	| {
			readonly type: 'leaseGranted';
			readonly sequence: number;
			readonly durationMs: number;
			/** All servers that the proxy owns; it no longer owns a server that is missing here. */
			readonly owned: readonly OwnershipGrant[];
			/** Group views that changed since `knownIndex`. */
			readonly groups: readonly types.GroupView[];
			/** Identifies the state of `owners`; the proxy returns it in `knownOwners`. */
			readonly ownersVersion?: types.Epoch;
			/** Owners of servers that changed since `knownOwners` (all, when it is absent). */
			readonly owners: ReadonlyArray<{
				readonly server: ids.UpstreamId;
				readonly owner: ids.PeerId | undefined;
			}>;
			/** Templates that are newer than the proxy's. */
			readonly templates: readonly types.Template[];
			/** The version of the configuration in force, when it is newer than the proxy's. */
			readonly configuration?: ConfigurationNotice;
			/** Announcement versions that the leader has stored. */
			readonly confirmed: ReadonlyArray<readonly [ids.UpstreamId, number]>;
			readonly appliedIndex: number;
			/** The answer to the report in the renewal. */
			readonly allowances?: AllowanceGrant;
	  }
	| {
			/** Proxy to control leader, when requests wait for tokens. */
			readonly type: 'allowanceRequest';
			readonly incarnation: number;
			readonly report: AllowanceReport;
	  }
	| {
			readonly type: 'allowanceGranted';
			readonly grant: AllowanceGrant;
	  }
	| {
			readonly type: 'revokeLease';
			readonly server: ids.UpstreamId;
			readonly epoch: types.Epoch;
			readonly scope: 'write' | 'ownership';
			/** Term of the write lease; set when the scope is `write`. */
			readonly writeTerm?: number;
	  }
	| {
			readonly type: 'leaseReleased';
			readonly server: ids.UpstreamId;
			readonly epoch: types.Epoch;
			readonly scope: 'write' | 'ownership';
			/** Term of the write lease; set when the scope is `write`. */
			readonly writeTerm?: number;
	  }
	| {
			/**
			 * The sender is the leader: proxies renew their leases with it at once instead of searching for
			 * a leader, and control peers that are no voters forward changes to it. It is sent to known
			 * lease holders and control peers after an election, and to each peer whose link is connected
			 * later.
			 */
			readonly type: 'leaderAnnounced';
			readonly term: number;
	  }
	| {
			readonly type: 'notLeader';
			readonly sequence: number;
			readonly leader: ids.PeerId | undefined;
	  };

export type TemplateMessage =
	| {readonly type: 'templatePush'; readonly template: types.Template}
	| {readonly type: 'templateFetch'; readonly member: ids.MemberId}
	| ({
			/** The leader has committed a configuration. */
			readonly type: 'configurationChanged';
	  } & ConfigurationNotice)
	| {
			/**
			 * Proxy to control: asks for the part of the packed text that begins at this byte. The source
			 * may answer with the first part of a newer version.
			 */
			readonly type: 'configurationFetch';
			readonly version: number;
			readonly offset: number;
	  }
	| {
			readonly type: 'configurationPart';
			readonly version: number;
			/** Size of the whole packed text, in bytes. */
			readonly size: number;
			readonly offset: number;
			readonly data: Uint8Array;
	  }
	| {
			/** The sender has neither the version that was asked for nor a newer one. */
			readonly type: 'configurationMissing';
			readonly version: number;
	  };

export type OperatorMessage =
	| {
			readonly type: 'proposeChange';
			readonly operation: number;
			readonly change: types.OperatorChange;
	  }
	| {
			readonly type: 'changeResult';
			readonly operation: number;
			readonly result: types.TemplateChangeResult;
			/** Set when the receiver is not the leader. */
			readonly leader?: ids.PeerId;
	  }
	| {
			/** Asks the leader for the configuration in force. */
			readonly type: 'readConfiguration';
			readonly operation: number;
	  }
	| {
			readonly type: 'configurationRead';
			readonly operation: number;
			readonly result: types.ConfigurationReading;
	  };

export type ForwardMessage =
	| ForwardRequest
	| ForwardDone
	| {
			/** Response bytes; handled by the adapters, never by the reducer. */
			readonly type: 'forwardChunk';
			readonly attempt: ids.AttemptId;
			readonly data: Uint8Array;
	  }
	| {readonly type: 'forwardCancel'; readonly attempt: ids.AttemptId}
	| {
			/** The session ended: drop its requests, roll back and release its connection. */
			readonly type: 'forwardRelease';
			readonly session: ids.SessionId;
	  }
	| {
			/**
			 * Owner to entry: the connection that the session was bound to is lost and its transaction
			 * rolled back.
			 */
			readonly type: 'forwardUnbound';
			readonly session: ids.SessionId;
			readonly binding: ids.AttemptId;
			readonly server: ids.UpstreamId;
	  }
	| {
			/** Entry to owner: send `serverReports` for the owned servers of the group for the next 60 s. */
			readonly type: 'reportSubscribe';
			readonly group: ids.GroupId;
	  }
	| {
			/** Asks the owner of the primary for the current position, read after this request arrived. */
			readonly type: 'floorRequest';
			readonly sequence: number;
			readonly group: ids.GroupId;
			readonly server: ids.UpstreamId;
	  }
	| {
			/** `position` is undefined when the owner holds no valid write lease. */
			readonly type: 'floorAnswer';
			readonly sequence: number;
			readonly position?: types.Position;
	  }
	| {
			readonly type: 'serverReports';
			readonly reports: readonly ServerReport[];
	  };

/** Link frames, handled by the peer adapter. */
export type LinkMessage =
	| {
			readonly type: 'hello';
			readonly peer: ids.PeerId;
			readonly role: 'proxy' | 'control';
			readonly incarnation: number;
			readonly protocol: number;
			readonly dataCentre?: string;
			/** Empty when it is not known. */
			readonly region?: string;
	  }
	| {readonly type: 'linkPing'; readonly sequence: number}
	| {readonly type: 'linkPong'; readonly sequence: number};

export type PeerMessage =
	| ForwardMessage
	| ControlMessage
	| TemplateMessage
	| OperatorMessage
	| LinkMessage
	| membership.MembershipMessage
	| consensus.ConsensusMessage;
