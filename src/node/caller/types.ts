/**
 * Types that the modules of the caller adapter share.
 */
import type * as ids from '../../common/ids.js';
import type * as proxy from '../../common/proxy/types.js';
import type * as resourceGuard from '../limits/resource-guard.js';
import type * as node from '../types.js';

/** A statement on a `hemlockarch.*` setting, answered by the adapter. */
export type SettingStatement =
	| {
			readonly type: 'set';
			readonly name: string;
			readonly value: string;
			/** SET LOCAL: ends with the transaction. */
			readonly isLocal: boolean;
	  }
	| {readonly type: 'show' | 'reset'; readonly name: string}
	| {readonly type: 'malformed'};

/** Classification of a text of one or several statements. */
export type StatementClass = {
	readonly kind: proxy.RequestKind;
	readonly isEmpty: boolean;
	/** Error message when the proxy refuses the text. */
	readonly refusal: string | undefined;
	/**
	 * The statements cannot share a transaction with the claim of an idempotency key; see
	 * `classify.preventsKeyClaim`.
	 */
	readonly preventsKeyClaim: boolean;
	/** Set when the text is one statement on a `hemlockarch.*` setting. */
	readonly setting: SettingStatement | undefined;
	/**
	 * `statements`: DISCARD ALL or DEALLOCATE ALL. `session`: all its statements on session state
	 * only remove state, as RESET does.
	 */
	readonly clearing: 'none' | 'session' | 'statements';
	/** RESET ALL or DISCARD ALL. */
	readonly resetsSettings: boolean;
	/** Name of the statement when the text is a single DEALLOCATE. */
	readonly deallocatedName: string | undefined;
	/** The text contains an SQL PREPARE. */
	readonly preparesStatement: boolean;
	/** Names and values from sqlcommenter comments, not validated yet. */
	readonly attributes: ReadonlyArray<readonly [string, string]>;
};

export type CallerOptions = {
	readonly dispatch: node.Dispatch<
		Extract<
			proxy.ProxyEvent,
			{
				type:
					| 'sessionOpened'
					| 'tokenSet'
					| 'sessionClosed'
					| 'requestArrived'
					| 'cancelRequested';
			}
		>
	>;
	readonly clock: node.Clock;
	readonly logger: node.Logger;
	/** Makes the names of prepared statements unique among all instances. */
	readonly instanceId: string;
	/** After `relay` returned false: the caller can receive data again, or its session is closed. */
	readonly handleDrain?: (attempt: ids.AttemptId) => void;
	/** Tells whether callers of a member identify themselves with the key of a customer. */
	readonly needsKey?: (member: ids.MemberId) => boolean;
	/** Parameters that are reported to each new session, including `server_version`. */
	readonly serverParameters?: Readonly<Record<string, string>>;
	readonly limits?: Partial<CallerLimits>;
	/** The memory budget of the process; by default one of its own. */
	readonly guard?: resourceGuard.ResourceGuard;
	readonly maxConnections?: number;
	/** Adds to a counter of the metrics. */
	readonly countEvent?: (name: proxy.CounterName, amount: number) => void;
};

/** Times in ms and sizes in bytes. */
export type CallerLimits = {
	readonly frameBytes: number;
	/** Queued requests of one session above which reading from its socket pauses. */
	readonly queuedRequests: number;
	/** Bytes of queued requests of one session above which reading from its socket pauses. */
	readonly queuedBytes: number;
	/** Response bytes buffered for a slow caller above which its session is closed. */
	readonly sendBufferBytes: number;
	/** Idle time before the first TCP keep-alive probe. */
	readonly keepAliveDelayMs: number;
	/** Time within which the startup packet must arrive. */
	readonly startupTimeoutMs: number;
	/** Prepared statements of one session. */
	readonly preparedStatements: number;
	/** Bytes of the prepared statements of one session. */
	readonly preparedBytes: number;
};

const mebibyte = 1024 * 1024;

/**
 * A request that is forwarded to another proxy must fit, together with its prepared statements,
 * into one peer frame of 64 MiB.
 */
export const defaultLimits: CallerLimits = {
	frameBytes: 55 * mebibyte,
	queuedRequests: 128,
	queuedBytes: mebibyte,
	sendBufferBytes: 32 * mebibyte,
	keepAliveDelayMs: 10_000,
	startupTimeoutMs: 10_000,
	preparedStatements: 1000,
	preparedBytes: 8 * mebibyte,
};

/** One unit of work of a session; items are processed in the order in which the caller sent them. */
export type WorkItem =
	| {
			readonly type: 'request';
			readonly kind: proxy.RequestKind;
			readonly payload: proxy.RequestPayload;
			readonly attributes: ReadonlyArray<readonly [string, string]>;
			/** The statements cannot share a transaction with the claim of an idempotency key. */
			readonly preventsKeyClaim: boolean;
			readonly clearing?: StatementClass['clearing'];
			readonly resetsSettings?: boolean;
			/** Ends with Flush instead of Query or Sync: no ReadyForQuery follows. */
			readonly isFlush: boolean;
			/** Sets the startup parameters on the server; its response is not relayed to the caller. */
			readonly isStartupSet?: boolean;
	  }
	| {
			/** Answered by the adapter. */
			readonly type: 'local';
			readonly steps: readonly LocalStep[];
			readonly size: number;
	  }
	| {
			readonly type: 'refusal';
			readonly sqlState: string;
			readonly message: string;
			readonly isFlush: boolean;
	  };

export type StartupParameters = {
	readonly member: string;
	readonly group: string;
	/** Values of `hemlockarch.*` settings by name without the prefix. */
	readonly settings: ReadonlyMap<string, string>;
	/** Parameters to set on the server before the first request. */
	readonly parametersToSet: ReadonlyMap<string, string>;
};

/** One step of a response of the adapter itself, in the order of the frames. */
export type LocalStep =
	| {readonly type: 'message'; readonly data: Uint8Array}
	| {
			readonly type: 'describe';
			readonly setting: SettingStatement;
			readonly isStatement: boolean;
	  }
	| {
			readonly type: 'run';
			readonly setting: SettingStatement;
			/** The response to a simple query includes the row description. */
			readonly isSimple: boolean;
	  }
	| {readonly type: 'ready'};
