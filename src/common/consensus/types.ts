/**
 * Interfaces of the replicated log. The log is generic in its command type; commands are plain data.
 */
import type * as ids from '../ids.js';

/** A command, or the change of one voter, or the no-op that a new leader appends. */
export type LogPayload<Command> =
	| {readonly type: 'command'; readonly command: Command}
	| {
			readonly type: 'voters';
			readonly voters: readonly ids.PeerId[];
			/** Peers that receive the log and are added as voters once they caught up. */
			readonly learners?: readonly ids.PeerId[];
			/** The learner that this entry makes a voter; names the process start when it had no state. */
			readonly joined?: {
				readonly peer: ids.PeerId;
				readonly incarnation: number | undefined;
			};
	  }
	| {readonly type: 'noop'};

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
	readonly voters: readonly ids.PeerId[];
	readonly learners?: readonly ids.PeerId[];
	readonly state: State;
};

/** What must be synced before any answer that depends on it. */
export type HardState = {
	readonly term: number;
	readonly votedFor: ids.PeerId | undefined;
};

/** Messages between voters (and to a learner that catches up). */
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
			/** Counts the leader's rounds; the reply echoes it, so that the leader knows the send time. */
			readonly round: number;
			/** A peer without state accepts the message only when this is its own incarnation. */
			readonly joining?: number;
	  }
	| {
			readonly type: 'appendReply';
			readonly term: number;
			readonly success: boolean;
			/** On success the last matching index, else a hint where to go on. */
			readonly matchIndex: number;
			readonly round: number;
	  }
	| {
			readonly type: 'installSnapshot';
			readonly term: number;
			readonly snapshot: Snapshot;
			readonly round: number;
			/** A peer without state accepts the message only when this is its own incarnation. */
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
			 * A peer without state founds the group when every other initial voter says so.
			 */
			readonly type: 'joinReply';
			readonly incarnation: number;
	  };

/** What is on disk at start. */
export type StoredLog<Command = unknown, State = unknown> = {
	readonly hardState: HardState;
	readonly snapshot: Snapshot<State> | undefined;
	readonly entries: ReadonlyArray<LogEntry<Command>>;
	/** The folder held a log before and does not any more; the peer must not found a new group. */
	readonly isDataLost?: boolean;
};

/** One batch of writes, carried out in the order of the fields and synced as a whole. */
export type StorageWrite<Command = unknown, State = unknown> = {
	readonly hardState?: HardState;
	/** Replaces everything up to its index. */
	readonly snapshot?: Snapshot<State>;
	/** Entries from this index on are removed before `append`. */
	readonly truncateFrom?: number;
	readonly append?: ReadonlyArray<LogEntry<Command>>;
};

/** Durable storage of one control peer. */
export type LogStorage<Command = unknown, State = unknown> = {
	/**
	 * Reads what is on disk. Cuts a torn last record.
	 *
	 * @throws An error that names the file and offset for any other damage.
	 */
	load(): Promise<StoredLog<Command, State>>;
	/** Resolves after the write is synced. Calls are carried out in order. */
	write(write: StorageWrite<Command, State>): Promise<void>;
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
			/** The state machine gives its state at its last applied index, so that the log can be cut. */
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
			/** A committed entry, in order, exactly once per process start. */
			readonly type: 'applied';
			readonly entry: LogEntry<Command>;
			/** Set on the peer that proposed it. */
			readonly proposal?: number;
	  }
	| {
			/** Replace the state of the state machine. */
			readonly type: 'restore';
			readonly snapshot: Snapshot;
	  }
	| {
			/** The proposal was not accepted, or its outcome is not known here. */
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
