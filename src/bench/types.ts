/** What the parts of the measurement tool exchange. Times are virtual, in ms. */
import type * as ids from '../common/ids.js';
import type * as types from '../common/types.js';

/** A caller's session; `floor` is the offset of its last acknowledged write. */
export type BenchSession = {
	readonly member: ids.MemberId;
	readonly groupIndex: number;
	/** Index of the entry VM. */
	vm: number;
	floor: number;
	/** Counts connections: a reconnect makes a new session at the entry. */
	connection: number;
};

/** One request of a caller. */
export type BenchRequest = {
	readonly session: BenchSession;
	readonly rank: types.Rank;
	readonly kind: 'read' | 'write';
	/** Tolerated staleness of a read. */
	readonly stalenessMs: number;
	/** Time at which the caller sent it. */
	readonly issuedAt: number;
	readonly deadlineAt: number;
	/** The time that it holds a slot; drawn once so that all systems run the same work. */
	readonly serviceMs: number;
	/** Floor of the session when the request was sent; its answer must not be older. */
	readonly floor: number;
};

/** What the caller gets. */
export type BenchOutcome =
	| {
			readonly type: 'completed';
			readonly servedBy: types.UpstreamRole;
			/** Offset of the write, or the offset that the read saw. */
			readonly offset: number;
			/** True age of the data of a read when it ran. */
			readonly stalenessMs: number;
	  }
	| {readonly type: 'refused'; readonly sqlState: string}
	| {readonly type: 'lost'};

/** A system under measurement: everything between the callers and the database servers. */
export type BenchSystem = {
	/** Hands a request to the entry of its session; `done` runs when the answer leaves the entry. */
	submit(request: BenchRequest, done: (outcome: BenchOutcome) => void): void;
	/** Takes a VM away without notice. */
	removeVm(vm: number): void;
};
