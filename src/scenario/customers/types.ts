/**
 * Plans of the fleet with customers: callers with keys, changes of the configuration, faults and planned
 * stops. Times are in ms after the fleet is ready.
 */
import type * as ids from '../../common/ids.js';

/** A customer at the start of a plan. */
export type CustomerSpec = {
	readonly customer: ids.CustomerId;
	readonly keys: readonly ids.KeyDigest[];
	/** `undefined` without a limit. */
	readonly ratePerS: number | undefined;
	readonly burst: number;
};

/** A limit and the time in which a control leader may have applied it. */
export type LimitPeriod = {
	readonly ratePerS: number;
	readonly burst: number;
	/** Time at which the change to it was first sent. */
	readonly from: number;
	/** Time at which the next change was accepted; `Infinity` before. */
	until: number;
};

/** How a caller sends the two statements of a turn. */
export type Pace =
	/** One after the other, with a pause. */
	| 'paced'
	/** The second one in the turn in which the first is answered. */
	| 'atOnce'
	/** The second one before the first is answered. */
	| 'ahead';

export type CallerSpec = {
	readonly name: string;
	readonly key: ids.KeyDigest;
	readonly pace: Pace;
	/** True when its turns are transactions. */
	readonly usesTransactions: boolean;
	readonly pauseMs: number;
	/** Pause between its turns after the faults. */
	readonly calmPauseMs: number;
};

/** `kill` and `drain` end the process, which starts again `forMs` after its end; the others end after `forMs`. */
export type ProcessFault = {
	readonly type: 'kill' | 'drain' | 'freeze' | 'cut';
	readonly process: string;
	readonly forMs: number;
};

export type PlanAction =
	| {
			readonly type: 'addKey' | 'withdrawKey';
			readonly customer: ids.CustomerId;
			readonly key: ids.KeyDigest;
	  }
	| {
			readonly type: 'changeLimit';
			readonly customer: ids.CustomerId;
			readonly ratePerS: number;
			readonly burst: number;
	  }
	| ProcessFault
	| {
			readonly type: 'crash';
			readonly server: string;
			readonly forMs: number;
	  };

export type Plan = {
	readonly seed: number;
	readonly customers: readonly CustomerSpec[];
	readonly callers: readonly CallerSpec[];
	/** Times in which limited customers begin no turn, so that their buckets fill. */
	readonly pauses: ReadonlyArray<{
		readonly from: number;
		readonly until: number;
	}>;
	readonly actions: ReadonlyArray<{
		readonly at: number;
		readonly action: PlanAction;
	}>;
};

/** A mistake that a check has to find. */
export type Mistake =
	/** The reducer does not answer a request whose session it has ended. */
	| 'dropsLateRequests'
	/** A proxy that was started again accepts every key that has ever existed. */
	| 'keepsKeysAfterRestart'
	/** The leader raises the limit of a customer, but does not lower it. */
	| 'ignoresLoweredLimits';

/** What the callers and the operator of a plan observed; all counts but the last three must be 0. */
export type Result = {
	/** Statements without an answer, a refusal or the close of a killed process. */
	readonly unanswered: number;
	/** Statements that a process had read when it closed their connection. */
	readonly cut: number;
	readonly answeredTwice: number;
	/** Statements that were accepted when their key had been withdrawn for too long. */
	readonly lateRuns: number;
	/** Writes that were refused as not run and that a server committed. */
	readonly falseRefusals: number;
	/** Windows in which a customer ran more than its limit allows. */
	readonly exceededWindows: number;
	/** Refusals of callers with a key in force, below the limit of their customer, after the faults. */
	readonly calmRefusals: number;
	/** Changes that no control peer has accepted. */
	readonly pendingChanges: number;
	readonly statements: number;
	readonly withdrawals: number;
	readonly limitChanges: number;
};
