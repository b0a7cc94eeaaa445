/**
 * Commands, events and effects of the control role, and the replicated state it keeps.
 */
import type * as ids from '../ids.js';
import type * as types from '../types.js';
import type * as messages from '../messages.js';
import type * as consensus from '../consensus/types.js';

/** An entry of the replicated log. Applying one never fails; a command that lost a race has no effect. */
export type ControlCommand =
	| {readonly type: 'changeTemplate'; readonly change: types.TemplateChange}
	| {
			/** Without effect unless its version is above that of the configuration in force. */
			readonly type: 'setConfiguration';
			readonly configuration: types.Configuration;
	  }
	| {
			/**
			 * A proxy may hold leases from the commit of `addLeaseHolder` on. A new leader that has heard
			 * all of them knows every lease that an earlier one granted.
			 */
			readonly type: 'addLeaseHolder' | 'removeLeaseHolder';
			readonly peer: ids.PeerId;
	  }
	| {
			/** Keeps what a server said of itself, so that a restart of all peers does not lose it. */
			readonly type: 'storeAnnouncement';
			readonly announcement: types.VersionedAnnouncement;
	  }
	| {
			/** First primary of a group; without effect when the group exists. */
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
			/** Without effect unless `term` is above the group's term and every promotion begun. */
			readonly type: 'beginPromotion';
			readonly group: ids.GroupId;
			readonly term: number;
			/** True for the planned change of a departing primary. */
			readonly planned: boolean;
	  }
	| {
			/** Without effect unless the promotion of exactly this term is in progress. */
			readonly type: 'completePromotion';
			readonly group: ids.GroupId;
			readonly term: number;
			readonly primary: ids.UpstreamId;
			readonly termStart: number;
			/** The term that the server reports, when the group's servers count terms themselves. */
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
	/** The voters of the latest configuration; a log without them keeps its voters. */
	readonly voters?: readonly ids.PeerId[];
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

/** Switches off a safety rule; only for tests that show that the checks find the fault. */
export type FaultInjection = {
	/** A promotion does not wait for the end of the write lease, nor does the next write lease. */
	readonly isLeaseWaitOff?: boolean;
	/** A promotion is content with one fenced server. */
	readonly isFenceMajorityOff?: boolean;
};

/** A question of an operator that changes nothing. */
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

/** What `GET /status` of a control peer shows. */
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
			/** Membership brought an announcement, which a new leader may not get from renewals. */
			readonly type: 'announcementHeard';
			readonly now: number;
			readonly announcement: types.VersionedAnnouncement;
	  }
	| {
			/** Messages to the peer arrive from now on. */
			readonly type: 'peerConnected';
			readonly now: number;
			readonly peer: ids.PeerId;
	  }
	| {
			/** The storage write with this number is synced. */
			readonly type: 'written';
			readonly now: number;
			readonly write: number;
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
			/** Chosen by the adapter to match the answer. */
			readonly operation: number;
			readonly change: types.OperatorChange;
	  }
	| {
			/** An operator reads the configuration; answered by the leader only. */
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
			/** Every operator has its answer; the process may exit with 0. */
			readonly type: 'drained';
	  };
