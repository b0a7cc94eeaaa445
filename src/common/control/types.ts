/**
 * Commands, events and effects of the control role, and the replicated state it keeps.
 */
import type * as ids from '../ids.js';
import type * as types from '../types.js';
import type * as messages from '../messages.js';
import type * as consensus from '../consensus/types.js';
import type * as rateBound from '../policy/rate-bound.js';

/**
 * Reads from a configuration how many replicas of each group have received a commit before a server
 * acknowledges it; undefined when its text is not valid.
 */
export type SynchronousReplicasParser = (
	text: string,
) => ReadonlyMap<ids.GroupId, number> | undefined;

/** How the leader learns the rate limits of customers, and what it tolerates above them. */
export type RateLimitOptions = {
	readonly bound: rateBound.RateBound;
	/** Reads the customers of a configuration; undefined when its text is not valid. */
	parseCustomers?(text: string): Iterable<types.Customer> | undefined;
	/** Reads the customers of a template; its limits hold while there is no configuration. */
	parseTemplateCustomers?(text: string): Iterable<types.Customer> | undefined;
};

/**
 * An entry of the replicated log. Applying one never fails; a command that conflicts with an earlier
 * entry has no effect.
 */
export type ControlCommand =
	| {readonly type: 'changeTemplate'; readonly change: types.TemplateChange}
	| {
			/** Has no effect unless its version is above that of the configuration in force. */
			readonly type: 'setConfiguration';
			readonly configuration: types.Configuration;
	  }
	| {
			/**
			 * A proxy may hold leases once `addLeaseHolder` is committed. A new leader that has heard from
			 * all lease holders knows every lease that earlier leaders granted.
			 */
			readonly type: 'addLeaseHolder' | 'removeLeaseHolder';
			readonly peer: ids.PeerId;
	  }
	| {
			/** Stores a server's announcement, so that it survives a restart of all peers. */
			readonly type: 'storeAnnouncement';
			readonly announcement: types.VersionedAnnouncement;
	  }
	| {
			/** Creates a group with its first primary; has no effect when the group exists. */
			readonly type: 'registerGroup';
			readonly group: ids.GroupId;
			readonly primary: ids.UpstreamId;
			readonly term: number;
			readonly termStart: number;
	  }
	| {
			readonly type: 'addServer' | 'removeServer';
			readonly group: ids.GroupId;
			readonly server: ids.UpstreamId;
	  }
	| {
			/** Has no effect unless `term` is above the group's term and that of a promotion in progress. */
			readonly type: 'beginPromotion';
			readonly group: ids.GroupId;
			readonly term: number;
			/**
			 * True for a planned change: the primary is departing and usually still answers, so its writes
			 * in flight may be acknowledged first.
			 */
			readonly planned: boolean;
	  }
	| {
			/** Has no effect unless the promotion to exactly this term is in progress. */
			readonly type: 'completePromotion';
			readonly group: ids.GroupId;
			readonly term: number;
			readonly primary: ids.UpstreamId;
			readonly termStart: number;
			/** The term that the new primary reports, when the group's servers number terms themselves. */
			readonly serverTerm?: number;
	  };

/** Commands about one group, which the leader proposes. */
export type GroupCommand = Exclude<
	ControlCommand,
	{
		type:
			| 'changeTemplate'
			| 'setConfiguration'
			| 'addLeaseHolder'
			| 'removeLeaseHolder'
			| 'storeAnnouncement';
	}
>;

/** A promotion between the commits of `beginPromotion` and `completePromotion`. */
export type Promotion = {
	readonly term: number;
	readonly planned: boolean;
};

/** A group in the replicated state. */
export type GroupState = {
	readonly group: ids.GroupId;
	readonly term: number;
	readonly termStart: number;
	readonly primary: ids.UpstreamId;
	readonly servers: readonly ids.UpstreamId[];
	readonly promotion: Promotion | undefined;
	/** Log index of the last change of the group. */
	readonly changedAt: number;
	/** Log index of the last change of `servers`. */
	readonly serversChangedAt: number;
};

/** A template with the log index at which it was accepted. */
export type StoredTemplate = {
	readonly template: types.Template;
	readonly changedAt: number;
};

/** An answered template change. */
export type AnsweredChange = {
	readonly member: ids.MemberId;
	readonly changeId: ids.ChangeId;
	readonly index: number;
	readonly result: types.TemplateChangeResult;
	/** The accepted text. */
	readonly text?: string;
};

/** The state machine's state as plain data, for snapshots. */
export type MachineState = {
	readonly appliedIndex: number;
	readonly templates: readonly StoredTemplate[];
	/** Oldest first. */
	readonly changes: readonly AnsweredChange[];
	readonly groups: readonly GroupState[];
	readonly configuration?: types.Configuration;
	readonly leaseHolders?: readonly ids.PeerId[];
	readonly announcements?: readonly types.VersionedAnnouncement[];
};

/** The replicated log as the control reducer uses it; the consensus reducer implements it. */
export type ReplicatedLog = {
	readonly role: consensus.ConsensusRole;
	/** Consensus term. */
	readonly term: number;
	readonly leader: ids.PeerId | undefined;
	/** Voters of the latest configuration; undefined when the log has a fixed set of voters. */
	readonly voters?: readonly ids.PeerId[];
	/** True while this peer leads and the disks of so many voters are full that no entry is committed. */
	readonly isStorageExhausted: boolean;
	/** What this peer waits for before it votes; undefined when it votes. */
	readonly joinWait?: consensus.JoinWait | undefined;
	step(
		event: consensus.ConsensusEvent<ControlCommand>,
	): ReadonlyArray<consensus.ConsensusEffect<ControlCommand>>;
	/** True while no other peer can have become leader. */
	isLeaderLeaseValid(now: number): boolean;
};

/** A function of a database server that control calls on its own connection. */
export type ServerRequest =
	| {readonly type: 'status'}
	| {readonly type: 'fence' | 'promote'; readonly term: number}
	| {
			readonly type: 'follow';
			readonly term: number;
			/** The primary to replicate from. */
			readonly server: ids.UpstreamId;
			readonly address: string;
	  };

/** How a call to a server ended. */
export type ServerAnswer =
	| {
			readonly type: 'answered';
			/** Absent when the function returned no status row. */
			readonly status?: types.UpstreamStatus;
	  }
	| {
			readonly type: 'failed';
			/** SQLSTATE of the server's error; undefined when it did not answer. */
			readonly sqlState?: string;
			readonly message: string;
	  };

/** Disables safety rules; only for tests that show that the safety checks detect the fault. */
export type FaultInjection = {
	/** Neither a promotion nor the next write lease waits for the end of the current write lease. */
	readonly isLeaseWaitDisabled?: boolean;
	/** A promotion proceeds as soon as one server is fenced. */
	readonly isFenceQuorumDisabled?: boolean;
};

/** A read-only query of an operator. */
export type ControlQuery =
	| {readonly type: 'status' | 'templates'}
	| {readonly type: 'template' | 'history'; readonly member: ids.MemberId};

/** A version in a member's template history. */
export type HistoryEntry = types.Template & {
	/** Log index of the change. */
	readonly index: number;
};

/** The answer to a `ControlQuery`. */
export type ControlQueryResult =
	| {readonly type: 'status'; readonly status: ControlStatus}
	| {readonly type: 'templates'; readonly templates: readonly types.Template[]}
	| {
			readonly type: 'template';
			/** Undefined when the member has none. */
			readonly template: types.Template | undefined;
	  }
	| {readonly type: 'history'; readonly history: readonly HistoryEntry[]};

/** What `GET /status` of a control peer returns. */
export type ControlStatus = {
	readonly peer: ids.PeerId;
	readonly role: consensus.ConsensusRole;
	readonly consensusTerm: number;
	readonly leader: ids.PeerId | undefined;
	readonly appliedIndex: number;
	readonly groups: readonly types.GroupView[];
	/** Known on the leader only. */
	readonly owners: ReadonlyArray<{
		readonly server: ids.UpstreamId;
		readonly owner: ids.PeerId | undefined;
	}>;
};

/** Inputs of the control reducer. `now` is monotonic, in ms. */
export type ControlEvent =
	| {
			/** Sent every 25 ms. */
			readonly type: 'tick';
			readonly now: number;
			/** Uniform in [0, 1). */
			readonly random: number;
	  }
	| {
			readonly type: 'peerMessage';
			readonly now: number;
			readonly from: ids.PeerId;
			readonly message: messages.PeerMessage;
	  }
	| {
			/** Membership delivered an announcement; renewals might not bring it to a new leader. */
			readonly type: 'announcementHeard';
			readonly now: number;
			readonly announcement: types.VersionedAnnouncement;
	  }
	| {
			/** A link to the peer is connected, so that messages now reach it. */
			readonly type: 'peerConnected';
			readonly now: number;
			readonly peer: ids.PeerId;
	  }
	| {
			/** The storage write with this number is synced. */
			readonly type: 'written';
			readonly now: number;
			readonly write: number;
			/** Size of the stored log after the write, in bytes; undefined when the storage reports none. */
			readonly logBytes?: number;
	  }
	| {
			/** The space of the storage has changed; `sufficient` before the first event. */
			readonly type: 'spaceChanged';
			readonly now: number;
			readonly space: consensus.StorageSpace;
	  }
	| {
			readonly type: 'serverAnswered';
			readonly now: number;
			readonly call: number;
			readonly answer: ServerAnswer;
	  }
	| {
			readonly type: 'templateChangeRequested';
			readonly now: number;
			/** Number chosen by the adapter; the answer carries the same number. */
			readonly operation: number;
			readonly change: types.OperatorChange;
	  }
	| {
			/** An operator reads the configuration; only the leader can answer. */
			readonly type: 'configurationReadRequested';
			readonly now: number;
			readonly operation: number;
	  }
	| {
			readonly type: 'queryRequested';
			readonly now: number;
			readonly operation: number;
			readonly query: ControlQuery;
	  }
	| {readonly type: 'drainRequested'; readonly now: number};

/** Outputs of the control reducer, carried out by adapters in order. */
export type ControlEffect =
	| {
			readonly type: 'sendPeer';
			readonly to: ids.PeerId;
			readonly message: messages.PeerMessage;
	  }
	| {
			/** Sync the data, then report `written` with the same number. */
			readonly type: 'write';
			readonly write: number;
			readonly data: consensus.StorageWrite<ControlCommand>;
	  }
	| {
			/** Call a function of the server and report `serverAnswered` with the same number. */
			readonly type: 'callServer';
			readonly call: number;
			readonly server: ids.UpstreamId;
			readonly address: string;
			readonly request: ServerRequest;
			readonly group: ids.GroupId;
			/** Consensus term of the calling leader; every later leader has a higher one. */
			readonly leaderTerm: number;
	  }
	| {
			readonly type: 'answerTemplateChange';
			readonly operation: number;
			readonly result: types.TemplateChangeResult;
	  }
	| {
			readonly type: 'answerConfigurationRead';
			readonly operation: number;
			readonly result: types.ConfigurationReading;
	  }
	| {
			readonly type: 'answerQuery';
			readonly operation: number;
			readonly result: ControlQueryResult;
	  }
	| {
			/** What `GET /health` answers. */
			readonly type: 'setHealth';
			readonly ready: boolean;
			readonly reason: string;
	  }
	| {readonly type: 'log'; readonly record: types.LogRecord}
	| {
			/** All operators' changes are answered; the process may exit with code 0. */
			readonly type: 'drained';
	  };
