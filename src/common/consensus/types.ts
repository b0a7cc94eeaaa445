/**
 * Interfaces of the replicated log. The log is generic in its command type; commands are plain data.
 */
import type * as ids from '../ids.js';

/** A peer that has become a voter, with its incarnation when it started without state. */
export type JoinedVoter = {
	readonly peer: ids.PeerId;
	readonly incarnation: number | undefined;
};

/** A command, a change of the configuration, or the no-op that a new leader appends. */
export type LogPayload<Command> =
	| {readonly type: 'command'; readonly command: Command}
	| {
			readonly type: 'voters';
			readonly voters: readonly ids.PeerId[];
			/** Peers that receive the log and are added as voters once they have caught up. */
			readonly learners?: readonly ids.PeerId[];
			/** The learner that this entry makes a voter. */
			readonly joined?: JoinedVoter;
	  }
	| {readonly type: 'noop'};

export type LogEntry<Command = unknown> = {
	/** Starts at 1. */
	readonly index: number;
	/** Consensus term in which the entry was appended. */
	readonly term: number;
	readonly payload: LogPayload<Command>;
};

/** State of the state machine after the entries up to and including `index`. */
export type Snapshot<State = unknown> = {
	readonly index: number;
	readonly term: number;
	readonly voters: readonly ids.PeerId[];
	readonly learners?: readonly ids.PeerId[];
	/** The last join of each voter that has joined. */
	readonly joined?: readonly JoinedVoter[];
	readonly state: State;
};

/** Term and vote, which must be synced before any message that depends on them is sent. */
export type HardState = {
	readonly term: number;
	readonly votedFor: ids.PeerId | undefined;
};

/** Messages between voters, and between the leader and a learner that catches up. */
export type ConsensusMessage =
	| {
			readonly type: 'preVote' | 'vote';
			readonly term: number;
			readonly lastIndex: number;
			readonly lastTerm: number;
	  }
	| {
			readonly type: 'preVoteReply' | 'voteReply';
			readonly term: number;
			readonly granted: boolean;
	  }
	| {
			readonly type: 'append';
			readonly term: number;
			readonly previousIndex: number;
			readonly previousTerm: number;
			readonly entries: readonly LogEntry[];
			readonly commitIndex: number;
			/** Number of the leader's send round; echoed in the reply, so that the leader knows the send time. */
			readonly round: number;
			/** A peer without state accepts the message only if this is its own incarnation. */
			readonly joining?: number;
	  }
	| {
			readonly type: 'appendReply';
			readonly term: number;
			readonly success: boolean;
			/** On success, the last index that matches the leader's log; otherwise the index to retry after. */
			readonly matchIndex: number;
			readonly round: number;
			/** The disk of the sender is full: it has not taken the entries or the snapshot. */
			readonly isStorageFull?: boolean;
	  }
	| {
			readonly type: 'installSnapshot';
			readonly term: number;
			readonly snapshot: Snapshot;
			readonly round: number;
			/** A peer without state accepts the message only if this is its own incarnation. */
			readonly joining?: number;
	  }
	| {
			/** A control peer without state asks to be added as a voter. */
			readonly type: 'joinRequest';
			readonly incarnation: number;
	  }
	| {
			/**
			 * Answers a join request of that incarnation: the sender has no log entry and never voted.
			 * A peer without state bootstraps the group once every other initial voter has sent this reply.
			 */
			readonly type: 'joinReply';
			readonly incarnation: number;
	  };

/** What a peer without state waits for before it votes. */
export type JoinWait =
	| {
			/** Reports of these initial voters that they have no state either. */
			readonly type: 'firstStart';
			readonly missingVoters: readonly ids.PeerId[];
	  }
	/** A leader that adds it to the group. */
	| {readonly type: 'leader'};

/** Content of the disk when the process starts. */
export type StoredLog<Command = unknown, State = unknown> = {
	readonly hardState: HardState;
	readonly snapshot: Snapshot<State> | undefined;
	readonly entries: ReadonlyArray<LogEntry<Command>>;
	/** The folder held a log that is now missing; the peer must not bootstrap a new group. */
	readonly isDataLost?: boolean;
};

/** One batch of writes, applied in the order of the fields and synced as a whole. */
export type StorageWrite<Command = unknown, State = unknown> = {
	readonly hardState?: HardState;
	/** Replaces everything up to its index. */
	readonly snapshot?: Snapshot<State>;
	/** Entries from this index on are removed before `append`. */
	readonly truncateFrom?: number;
	readonly append?: ReadonlyArray<LogEntry<Command>>;
};

/**
 * The space that the storage has: enough, little free space left on the disk, or none: a write is refused
 * and tried again until the disk takes it.
 */
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
	 * Reads the stored log. Drops a torn last record.
	 *
	 * @throws An error that names the file and offset for any other damage.
	 */
	load(): Promise<StoredLog<Command, State>>;
	/**
	 * Resolves after the write is synced. Calls are carried out in order. A write that a full disk refuses
	 * is tried again until there is room; rejects when it is unknown what the disk holds.
	 */
	write(write: StorageWrite<Command, State>): Promise<void>;
	/** Without it, the log is compacted by its number of entries only. */
	readStatus?(): StorageStatus;
	/** Calls the listener after each change of the space. */
	watchSpace?(listener: (space: StorageSpace) => void): void;
	close(): Promise<void>;
};

export type ConsensusRole = 'follower' | 'candidate' | 'leader';

/** Inputs of the consensus reducer. `now` is monotonic, in ms. */
export type ConsensusEvent<Command = unknown> =
	| {
			readonly type: 'tick';
			readonly now: number;
			/** Uniform in [0, 1). */
			readonly random: number;
	  }
	| {
			readonly type: 'message';
			readonly now: number;
			readonly from: ids.PeerId;
			readonly message: ConsensusMessage;
	  }
	| {
			readonly type: 'propose';
			readonly now: number;
			/** Returned in `applied` or `proposalLost`. */
			readonly proposal: number;
			readonly command: Command;
	  }
	| {
			readonly type: 'changeVoters';
			readonly now: number;
			readonly voters: readonly ids.PeerId[];
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
	  }
	| {
			/** The space of the storage has changed; `sufficient` before the first event. */
			readonly type: 'spaceChanged';
			readonly now: number;
			readonly space: StorageSpace;
	  }
	| {
			/** State of the state machine at its last applied index, so that the log can be compacted. */
			readonly type: 'compact';
			readonly now: number;
			readonly index: number;
			readonly state: unknown;
	  };

/** Outputs of the consensus reducer. */
export type ConsensusEffect<Command = unknown> =
	| {
			readonly type: 'send';
			readonly to: ids.PeerId;
			readonly message: ConsensusMessage;
	  }
	| {
			/** Messages that depend on the write are emitted only after its `written` event. */
			readonly type: 'write';
			readonly write: number;
			readonly data: StorageWrite<Command>;
	  }
	| {
			/** A committed entry; emitted in order and exactly once per instance. */
			readonly type: 'applied';
			readonly entry: LogEntry<Command>;
			/** Set on the peer that proposed it. */
			readonly proposal?: number;
	  }
	| {
			/** Replaces the state of the state machine. */
			readonly type: 'restore';
			readonly snapshot: Snapshot;
	  }
	| {
			/** The proposal was rejected (`mayHaveRun` is false), or this peer does not know its outcome. */
			readonly type: 'proposalLost';
			readonly proposal: number;
			readonly mayHaveRun: boolean;
	  }
	| {
			readonly type: 'roleChanged';
			readonly role: ConsensusRole;
			readonly term: number;
			readonly leader: ids.PeerId | undefined;
	  };
