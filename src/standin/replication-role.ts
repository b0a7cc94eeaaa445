/**
 * The replication role of a server in its group: primary or replica, fencing, promotion, and
 * following a primary (docs/design.md, "SQL functions").
 */
import type * as ids from '../common/ids.js';
import type * as shared from '../common/types.js';
import type * as gates from './gate.js';
import type * as log from './log.js';
import * as replication from './replication.js';
import type * as store from './store.js';
import * as types from './types.js';

/** SQLSTATE of a request to fence, promote or follow in a term lower than the server's. */
const higherTermSqlState = 'HK101';
/** PostgreSQL's `object_not_in_prerequisite_state`. */
const wrongStateSqlState = '55000';

type FollowedPrimary = {
	readonly term: number;
	readonly server: string;
	readonly address: string;
};

export class ReplicationRole implements replication.ReplicationHost {
	readonly server: string;
	readonly applier: replication.Applier;
	/** Highest term that this server was fenced for or told to follow; 0 before the first of them. */
	fencedTerm = 0;
	private currentRole: shared.UpstreamRole;
	private followedPrimary: FollowedPrimary | undefined;
	private follower: replication.Follower | undefined;
	private readonly senders = new Set<replication.ReplicaSender>();

	constructor(
		options: types.StandInOptions,
		readonly log: log.ReplicationLog,
		private readonly store: store.Store,
		readonly faults: Readonly<types.Faults>,
		private readonly environment: {
			readonly networkGate: gates.Gate;
			readonly executionGate: gates.Gate;
			/** Called after a promotion and when the server follows another primary or term. */
			readonly handleChange: () => void;
		},
	) {
		this.server = options.server;
		this.currentRole =
			options.role ?? (options.primary ? 'replica' : 'primary');
		this.followedPrimary = options.primary && {
			term: options.term ?? 1,
			...options.primary,
		};
		this.applier = new replication.Applier(log, () =>
			this.isRunning ? faults.applyLagMs : undefined,
		);
	}

	get networkGate(): gates.Gate {
		return this.environment.networkGate;
	}

	get isRunning(): boolean {
		return this.environment.executionGate.isOpen;
	}

	get role(): shared.UpstreamRole {
		return this.currentRole;
	}

	get isWritable(): boolean {
		return this.currentRole === 'primary' && this.log.term >= this.fencedTerm;
	}

	/** Starts replication, when the server starts or restarts after a crash. */
	start(): void {
		this.applier.reset();
		this.openFollower();
	}

	/** Stops replication in both directions; received records stay in the log. */
	stop(): void {
		this.closeFollower();
		this.applier.dispose();
		this.senders.clear();
	}

	/** Reschedules delayed records when a lag has changed or a freeze has ended. */
	update(): void {
		this.applier.update();
		this.follower?.update();
	}

	readStatus(): shared.UpstreamStatus {
		return {
			server: this.server as ids.UpstreamId,
			role: this.currentRole,
			term: this.log.term,
			position: this.log.position,
			applied: this.log.applied,
			replicas: [...this.senders]
				.filter((sender) => sender.server !== undefined)
				.map((sender) => ({
					server: sender.server as ids.UpstreamId,
					position: sender.position,
				})),
		};
	}

	/**
	 * Refuses writes and replication of terms lower than `term` from now on; throws HK101 when
	 * `term` is lower than the server's.
	 */
	setFence(term: number): void {
		if (term < this.log.term || term < this.fencedTerm) {
			throw this.makeTermError(term);
		}

		this.fencedTerm = term;
		if (term > this.log.term) {
			this.closeFollower();
		}
	}

	/**
	 * Becomes the primary of the term; does nothing when the server already is. Throws HK101 for a
	 * term lower than the server's, and 55000 unless the server is fenced for that term and its log
	 * has no record of it.
	 */
	promote(term: number): void {
		if (this.currentRole === 'primary' && this.log.term === term) {
			return;
		}

		if (term < this.fencedTerm || term < this.log.term) {
			throw this.makeTermError(term);
		}

		if (this.fencedTerm !== term || this.log.term === term) {
			throw new types.SqlError(
				wrongStateSqlState,
				`not fenced for term ${term}`,
			);
		}

		this.closeFollower();
		this.followedPrimary = undefined;
		this.applier.applyAll();
		this.currentRole = 'primary';
		// An empty first record marks the start of the term, so that a position never refers to a
		// term whose start the server does not have.
		this.log.appendAndApply([], term);
		this.environment.handleChange();
	}

	/** Replicates from the primary of the term; throws HK101 for a term lower than the server's. */
	follow(term: number, server: string, address: string): void {
		if (term < this.fencedTerm || term < this.log.term) {
			throw this.makeTermError(term);
		}

		const isPrimary = this.currentRole === 'primary' && this.log.term === term;
		if (isPrimary || server === this.server) {
			throw new types.SqlError(
				wrongStateSqlState,
				`${this.server} cannot follow ${server} in term ${term}`,
			);
		}

		const {followedPrimary} = this;
		const isSame =
			followedPrimary?.term === term &&
			followedPrimary.server === server &&
			followedPrimary.address === address;
		if (isSame && this.follower) {
			return;
		}

		this.closeFollower();
		for (const sender of this.senders) {
			sender.dispose();
		}

		this.senders.clear();
		this.fencedTerm = term;
		this.currentRole = 'replica';
		this.followedPrimary = {term, server, address};
		this.openFollower();
		this.environment.handleChange();
	}

	/** Applies the writes of a transaction here and sends them to the replicas. */
	commit(operations: readonly types.LogOperation[]): void {
		const record = this.log.appendAndApply(operations);
		for (const sender of this.senders) {
			sender.sendRecord(record);
		}
	}

	/** Accepts a replica; a server that is not the primary closes the connection. */
	addReplica(
		connection: gates.GatedSocket,
	): replication.ReplicaSender | undefined {
		if (this.currentRole !== 'primary') {
			connection.dispose();
			return undefined;
		}

		const sender = new replication.ReplicaSender(this, connection, () =>
			this.store.readSnapshot(),
		);
		this.senders.add(sender);
		return sender;
	}

	removeReplica(sender: replication.ReplicaSender): void {
		this.senders.delete(sender);
	}

	private openFollower(): void {
		if (
			this.currentRole === 'replica' &&
			this.followedPrimary &&
			this.followedPrimary.term >= this.fencedTerm
		) {
			this.follower = new replication.Follower(
				this,
				this.followedPrimary.address,
			);
		}
	}

	private closeFollower(): void {
		this.follower?.dispose();
		this.follower = undefined;
	}

	private makeTermError(term: number): types.SqlError {
		const highest = Math.max(this.log.term, this.fencedTerm);
		return new types.SqlError(
			higherTermSqlState,
			`term ${term} is lower than term ${highest} of ${this.server}`,
		);
	}
}
