/** Types that the parts of the load tool share. Times are virtual, in ms. */
import type * as ids from '../common/ids.js';
import type * as types from '../common/types.js';

/** A caller's session; `floor` is the offset of its last acknowledged write. */
export type BenchSession = {
	readonly member: ids.MemberId;
	readonly groupIndex: number;
	/** Index of the entry VM. */
	vm: number;
	floor: number;
	/** Number of reconnects so far; each one opens a new session at the entry. */
	reconnects: number;
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
	/** How long the request holds a slot; drawn once, so that all systems run the same work. */
	readonly serviceMs: number;
	/** Floor of the session when the request was sent; the answer must not be older. */
	readonly floor: number;
};

/** How a request ends for its caller. */
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
	/**
	 * Passes a request to the entry of its session; `done` is called when the answer leaves the entry.
	 */
	submit(request: BenchRequest, done: (outcome: BenchOutcome) => void): void;
	/** Removes a VM without notice; its proxy answers nothing from then on. */
	removeVm(vm: number): void;
};
