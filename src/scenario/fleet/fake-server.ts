/**
 * An in-memory database server: a log of key-value writes with terms, asynchronous replication with
 * adjustable lag, fencing, promotion, and the faults freeze, cut and crash.
 */
import type * as ids from '../../common/ids.js';
import type * as types from '../../common/types.js';
import type * as timeline from './timeline.js';

const offsetStep = 100;

/** One committed write. */
export type LogRecord = {
	readonly term: number;
	readonly offset: number;
	readonly key: string;
	readonly value: string;
};

/** A statement of the fake server: reads and writes of single keys, and transaction commands. */
export type FakeStatement =
	| {readonly type: 'get'; readonly key: string}
	| {readonly type: 'put'; readonly key: string; readonly value: string}
	| {readonly type: 'begin' | 'commit' | 'rollback'};

export type FakeAnswer =
	| {
			readonly type: 'ok';
			/** The value that a `get` found. */
			readonly value?: string;
			readonly inTransaction: boolean;
	  }
	| {
			readonly type: 'error';
			readonly sqlState: string;
			readonly inTransaction: boolean;
	  };

/** State of one connection on the server. */
export type ServerSession = {
	pendingWrites: Array<{key: string; value: string}> | undefined;
	isOpen: boolean;
	readonly customer?: ids.CustomerId | undefined;
};

export class FakeServer {
	log: LogRecord[] = [];
	role: types.UpstreamRole = 'replica';
	term = 1;
	fencedTerm = 0;
	isFrozen = false;
	isDown = false;
	departing = false;
	receiveLagMs = 1;
	applyLagMs = 0;
	serviceMs = 1;
	/** Set when the server acknowledges commits itself; see `Announcement`. */
	readonly synchronousReplicas: number | undefined;
	/** What its announcements say of it. */
	announcedSynchronousReplicas: number | undefined;
	/** Stands for the start time in announcements; increases with each start. */
	startedAt = 1;
	/** Values that this server committed as a primary, including those that a promotion dropped. */
	readonly committedValues: string[] = [];
	/** The log records of the same writes. */
	readonly committedRecords: LogRecord[] = [];
	/** Times of the same commits, by value. */
	readonly committedAt = new Map<string, number>();
	/** Times at which statements were executed. */
	readonly executedAt: number[] = [];
	/** The customers that the connections of these statements named. */
	readonly executedBy: Array<ids.CustomerId | undefined> = [];
	/** The primary that this replica follows. */
	source: FakeServer | undefined;
	readonly sessions = new Set<ServerSession>();
	/** Peers that cannot reach the server. */
	readonly cutPeers = new Set<string>();
	protected readonly replicaPositions = new Map<ids.UpstreamId, number>();
	private appliedCount = 0;
	/** Times at which the records were received, by index in the log. */
	private receivedAt: number[] = [];

	constructor(
		readonly id: ids.UpstreamId,
		readonly group: ids.GroupId,
		readonly dataCentre: ids.DataCentre,
		protected readonly timeline: timeline.Timeline,
	) {
		timeline.scheduleEvery(1, () => {
			this.replicate();
			this.applyReceived();
		});
	}

	get position(): number {
		return this.log.at(-1)?.offset ?? 0;
	}

	get applied(): number {
		return this.appliedCount === 0 ? 0 : this.log[this.appliedCount - 1].offset;
	}

	/** Position of the newest record that reads see. */
	get appliedPosition(): types.Position {
		const count = this.role === 'primary' ? this.log.length : this.appliedCount;
		const {term, offset} = this.log[count - 1] ?? {term: 0, offset: 0};
		return {term, offset};
	}

	get isRunning(): boolean {
		return !this.isDown && !this.isFrozen;
	}

	isReachableFrom(peer: string): boolean {
		return !this.cutPeers.has(peer) && !this.cutPeers.has('*');
	}

	readStatus(): types.UpstreamStatus {
		return {
			server: this.id,
			role: this.role,
			term: this.term,
			position: this.position,
			applied: this.role === 'primary' ? this.position : this.applied,
			replicas:
				this.role === 'primary'
					? [...this.replicaPositions].map(([server, position]) => ({
							server,
							position,
						}))
					: [],
		};
	}

	/** True when the answer to a commit at this offset may leave the server. */
	isAcknowledged(_offset: number): boolean {
		return true;
	}

	/** Returns false when the server has, or is fenced for, a higher term. */
	setFence(term: number): boolean {
		if (term < this.fencedTerm || term < this.term) {
			return false;
		}

		this.fencedTerm = term;
		if (this.role === 'primary' && term > this.term) {
			this.abortTransactions();
		}

		return true;
	}

	promote(term: number): boolean {
		if (this.fencedTerm !== term) {
			return false;
		}

		this.beginTerm(term);
		return true;
	}

	/** Follows a primary, and truncates the tail of the log that the primary does not have. */
	follow(term: number, source: FakeServer): boolean {
		if (term < this.fencedTerm) {
			return false;
		}

		this.abortTransactions();
		this.role = 'replica';
		this.term = term;
		this.fencedTerm = term;
		this.source = source;
		let commonLength = 0;
		while (
			commonLength < this.log.length &&
			commonLength < source.log.length &&
			this.log[commonLength].term === source.log[commonLength].term &&
			this.log[commonLength].offset === source.log[commonLength].offset
		) {
			commonLength++;
		}

		this.log.length = commonLength;
		this.receivedAt.length = Math.min(this.receivedAt.length, commonLength);
		this.appliedCount = Math.min(this.appliedCount, commonLength);
		return true;
	}

	crash(): void {
		this.isDown = true;
		for (const session of this.sessions) {
			session.isOpen = false;
			session.pendingWrites = undefined;
		}

		this.sessions.clear();
	}

	restart(): void {
		this.isDown = false;
		this.startedAt++;
	}

	/** Runs a statement. The claim of `claimKey` is part of the same commit. */
	execute(
		session: ServerSession,
		statement: FakeStatement,
		claimKey?: string,
	): FakeAnswer | 'keyUsed' {
		this.executedAt.push(this.timeline.now);
		this.executedBy.push(session.customer);
		if (claimKey !== undefined) {
			const key = `claim/${claimKey}`;
			if (this.readValue(key) !== undefined) {
				return 'keyUsed';
			}

			if (statement.type === 'put' && !session.pendingWrites) {
				return this.commit([
					{key, value: ''},
					{key: statement.key, value: statement.value},
				]);
			}

			session.pendingWrites?.push({key, value: ''});
		}

		return this.runStatement(session, statement);
	}

	/** Leads a term with the records that the server holds. */
	protected beginTerm(term: number): void {
		this.role = 'primary';
		this.term = term;
		this.source = undefined;
		this.appliedCount = this.log.length;
		this.replicaPositions.clear();
	}

	protected abortTransactions(): void {
		for (const session of this.sessions) {
			session.pendingWrites = undefined;
		}
	}

	/** Copies the missing records from the primary, which arrive after the receive lag. */
	protected replicate(): void {
		const {source} = this;
		if (
			!source ||
			!this.isRunning ||
			!source.isRunning ||
			this.role !== 'replica' ||
			source.role !== 'primary' ||
			source.term !== this.term ||
			source.term < this.fencedTerm ||
			source.fencedTerm > source.term ||
			!source.isReachableFrom(this.id) ||
			!this.isReachableFrom(source.id)
		) {
			return;
		}

		const copied = source.log.slice(this.log.length);
		this.timeline.schedule(this.receiveLagMs, () => {
			this.receive(source, copied);
		});
	}

	private runStatement(
		session: ServerSession,
		statement: FakeStatement,
	): FakeAnswer {
		switch (statement.type) {
			case 'begin': {
				session.pendingWrites = [];
				return {type: 'ok', inTransaction: true};
			}

			case 'rollback': {
				session.pendingWrites = undefined;
				return {type: 'ok', inTransaction: false};
			}

			case 'commit': {
				const {pendingWrites: pending} = session;
				session.pendingWrites = undefined;
				return pending && pending.length > 0
					? this.commit(pending)
					: {type: 'ok', inTransaction: false};
			}

			case 'get': {
				const own = session.pendingWrites?.findLast(
					({key}) => key === statement.key,
				);
				const value = own?.value ?? this.readValue(statement.key);
				return {
					type: 'ok',
					inTransaction: session.pendingWrites !== undefined,
					...(value === undefined ? {} : {value}),
				};
			}

			case 'put': {
				const write = {key: statement.key, value: statement.value};
				if (session.pendingWrites) {
					session.pendingWrites.push(write);
					return {type: 'ok', inTransaction: true};
				}

				return this.commit([write]);
			}
		}
	}

	private readValue(key: string): string | undefined {
		const visible =
			this.role === 'primary' ? this.log.length : this.appliedCount;
		for (let index = visible - 1; index >= 0; index--) {
			if (this.log[index].key === key) {
				return this.log[index].value;
			}
		}

		return undefined;
	}

	private commit(
		writes: ReadonlyArray<{key: string; value: string}>,
	): FakeAnswer {
		if (this.role !== 'primary' || this.fencedTerm > this.term) {
			return {type: 'error', sqlState: '25006', inTransaction: false};
		}

		for (const {key, value} of writes) {
			const record = {
				term: this.term,
				offset: this.position + offsetStep,
				key,
				value,
			};
			this.log.push(record);
			this.committedValues.push(value);
			this.committedRecords.push(record);
			this.committedAt.set(value, this.timeline.now);
		}

		return {type: 'ok', inTransaction: false};
	}

	private receive(source: FakeServer, records: readonly LogRecord[]): void {
		if (
			!this.isRunning ||
			// Records that a crashed primary has not sent yet are lost.
			source.isDown ||
			this.source !== source ||
			this.fencedTerm > source.term
		) {
			return;
		}

		for (const record of records) {
			if (record.offset === this.position + offsetStep) {
				this.log.push(record);
				this.receivedAt[this.log.length - 1] = this.timeline.now;
			}
		}

		source.replicaPositions.set(this.id, this.position);
	}

	private applyReceived(): void {
		if (!this.isRunning || this.role === 'primary') {
			return;
		}

		while (
			this.appliedCount < this.log.length &&
			this.timeline.now - (this.receivedAt[this.appliedCount] ?? 0) >=
				this.applyLagMs
		) {
			this.appliedCount++;
		}
	}
}

/** Creates the servers s1 to s3 in the data centres dc1 to dc3; s1 is the primary of term 1. */
export function createGroup<Server extends FakeServer>(
	create: (id: ids.UpstreamId, dataCentre: ids.DataCentre) => Server,
): Map<string, Server> {
	const servers = new Map<string, Server>();
	for (const index of [1, 2, 3]) {
		const id = `s${index}` as ids.UpstreamId;
		servers.set(id, create(id, `dc${index}` as ids.DataCentre));
	}

	const primary = servers.get('s1')!;
	primary.setFence(1);
	primary.promote(1);
	for (const server of servers.values()) {
		if (server !== primary) {
			server.follow(1, primary);
		}
	}

	return servers;
}
