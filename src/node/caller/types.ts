/**
 * Interfaces inside the caller adapter.
 */
import type * as ids from '../../common/ids.js';
import type * as proxy from '../../common/proxy/types.js';
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

/** What the text of one or several statements says. */
export type StatementClass = {
	readonly kind: proxy.RequestKind;
	readonly isEmpty: boolean;
	/** Why the proxy does not pass the text on, if so. */
	readonly refusal: string | undefined;
	/** Several statements that cannot be claimed with one key; see `hasMixedControl`. */
	readonly mixesControl: boolean;
	/** Set when the text is one statement on a `hemlockarch.*` setting. */
	readonly setting: SettingStatement | undefined;
	/**
	 * `statements`: DISCARD ALL or DEALLOCATE ALL. `session`: what it does to the session is only to
	 * remove state, as RESET does.
	 */
	readonly clearing: 'none' | 'session' | 'statements';
	/** RESET ALL or DISCARD ALL. */
	readonly resetsSettings: boolean;
	/** The name in DEALLOCATE of one statement. */
	readonly deallocated: string | undefined;
	/** The text contains an SQL PREPARE. */
	readonly preparesStatement: boolean;
	/** Names and values of sqlcommenter comments, not checked yet. */
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
	/** Distinguishes the prepared statements of this process from those of all others. */
	readonly instanceId: string;
	/** The caller of `attempt` takes data again after `relay` returned false. */
	readonly handleDrain?: (attempt: ids.AttemptId) => void;
	/** Parameters that are reported to each new session, `server_version` among them. */
	readonly serverParameters?: Readonly<Record<string, string>>;
	readonly limits?: Partial<CallerLimits>;
};

/** Times in ms and sizes in bytes. */
export type CallerLimits = {
	readonly frameBytes: number;
	/** Requests of one session that may wait before reading pauses. */
	readonly queuedRequests: number;
	/** Bytes of waiting requests of one session before reading pauses. */
	readonly queuedBytes: number;
	/** Response bytes that may wait for a slow caller before its session is closed. */
	readonly sendBufferBytes: number;
	/** Idle time before the first TCP keep-alive probe. */
	readonly keepAliveMs: number;
	/** Time for the startup packet. */
	readonly startupMs: number;
	/** Prepared statements of one session. */
	readonly preparedStatements: number;
	/** Bytes of the prepared statements of one session. */
	readonly preparedBytes: number;
};

const mebibyte = 1024 * 1024;

/**
 * A request that goes to another proxy must fit, with its prepared statements, into one frame of
 * 64 MiB between peers.
 */
export const defaultLimits: CallerLimits = {
	frameBytes: 55 * mebibyte,
	queuedRequests: 128,
	queuedBytes: mebibyte,
	sendBufferBytes: 32 * mebibyte,
	keepAliveMs: 10_000,
	startupMs: 10_000,
	preparedStatements: 1000,
	preparedBytes: 8 * mebibyte,
};

/** One unit of work of a session, in the order in which the caller sent them. */
export type Item =
	| {
			readonly type: 'request';
			readonly kind: proxy.RequestKind;
			readonly payload: proxy.RequestPayload;
			readonly attributes: ReadonlyArray<readonly [string, string]>;
			/** Several statements that cannot be claimed with one key. */
			readonly mixesControl: boolean;
			readonly clearing?: StatementClass['clearing'];
			readonly resetsSettings?: boolean;
			/** Ends with Flush instead of Query or Sync: no ReadyForQuery follows. */
			readonly isFlush: boolean;
			/** Startup parameters as SET: the caller does not see the answer. */
			readonly isHidden?: boolean;
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

/** What the startup packet says. */
export type StartupParameters = {
	readonly member: string;
	readonly group: string;
	/** `hemlockarch.*` values without the prefix. */
	readonly settings: ReadonlyMap<string, string>;
	/** Parameters that the server has to set before the first request. */
	readonly remote: ReadonlyMap<string, string>;
};

/** One answer of the adapter, in the order of the frames. */
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
			/** Simple queries carry the row description in the answer. */
			readonly isSimple: boolean;
	  }
	| {readonly type: 'ready'};
