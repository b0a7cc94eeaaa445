/**
 * Types of the soak: faults and their plan, what callers did, and what was found.
 */

/** How a relay treats the connections through it. */
export type RelayMode =
	| {readonly type: 'pass'}
	| {readonly type: 'delay'; readonly delayMs: number}
	/** Bytes in one direction are dropped; the connections stay open. */
	| {readonly type: 'cut'; readonly direction: 'toTarget' | 'toClient'}
	/** Open connections stay silent for good, also later; new connections work. */
	| {readonly type: 'silence'}
	/** Open connections are reset; new connections work. */
	| {readonly type: 'reset'};

/** A fault of one process, server or relay. Durations are in ms. */
export type Fault =
	| {readonly type: 'kill'; readonly target: string; readonly forMs: number}
	| {readonly type: 'freeze'; readonly target: string; readonly forMs: number}
	/** A planned stop with SIGTERM, followed by a start. */
	| {readonly type: 'stop'; readonly target: string; readonly forMs: number}
	/** SIGHUP, several times without a pause. */
	| {
			readonly type: 'reload';
			readonly target: string;
			readonly times: number;
			readonly forMs: 0;
	  }
	/** A change of the member's template through a proxy. */
	| {readonly type: 'template'; readonly target: string; readonly forMs: 0}
	| {
			readonly type: 'relay';
			readonly target: string;
			readonly mode: RelayMode;
			readonly forMs: number;
	  }
	/** A fault that the stand-in itself simulates, such as a crash that keeps its log. */
	| {
			readonly type: 'server';
			readonly target: string;
			readonly name: string;
			readonly value: string;
			/** The value that ends the fault. */
			readonly endValue: string;
			readonly forMs: number;
	  };

export type PlannedFault = {
	/** Time since the beginning of the load, in ms. */
	readonly atMs: number;
	readonly fault: Fault;
};

/** What a caller knows of a write. */
export type WriteOutcome = 'acknowledged' | 'notRun' | 'unknown';

export type WriteRecord = {
	readonly id: number;
	/** The same for all writes of one transaction. */
	readonly transaction: number | undefined;
	readonly outcome: WriteOutcome;
};

/** A request whose connection ended without an answer. */
export type BrokenRequest = {
	readonly proxy: string;
	/** Wall clock, in ms. */
	readonly sentAt: number;
	readonly endedAt: number;
};

/** A key of a customer; times are wall clock in ms. */
export type CustomerKey = {
	readonly text: string;
	/** When the command that added it had succeeded. */
	readonly addedAt: number;
	withdrawalStartedAt?: number;
	/** When the command that withdrew it had succeeded. */
	withdrawnAt?: number;
};

/** A request or the beginning of a session with a key; times are wall clock in ms. */
export type KeyUse = {
	readonly key: CustomerKey;
	readonly proxy: string;
	readonly sentAt: number;
	readonly endedAt: number;
	/** `answered`, an SQLSTATE or the text of another error. */
	readonly outcome: string;
};

/** Wall clock, in ms. */
export type TimeSpan = {readonly at: number; readonly endAt: number};

/** A promise that was not kept. */
export type Violation = {
	readonly promise:
		| 'acknowledgedWriteLost'
		| 'refusedWriteRan'
		| 'writeRanTwice'
		| 'transactionMixed'
		| 'ownWriteNotRead'
		| 'foreignAnswer'
		| 'requestCutByStop'
		| 'requestUnanswered'
		| 'stopTooLong'
		| 'withdrawnKeyAccepted'
		| 'validKeyRefused'
		| 'processEnded'
		| 'memoryExceeded'
		| 'notRecovered';
	readonly detail: string;
};

export type SoakOptions = {
	readonly seed: number;
	/** Time during which faults are injected, in ms. */
	readonly durationMs: number;
	readonly proxies: number;
	readonly callers: number;
	/** Callers without pauses. */
	readonly senders: number;
	/** Callers with keys of a customer. */
	readonly keyedCallers: number;
};

export type SoakReport = {
	readonly seed: number;
	readonly faults: number;
	readonly writes: Readonly<Record<WriteOutcome, number>>;
	readonly reads: number;
	/** Requests of callers without pauses. */
	readonly sent: number;
	/** Keys that were created, and answered requests with them. */
	readonly keys: number;
	readonly keyedRequests: number;
	/** The longest planned stop of a proxy, in ms. */
	readonly longestStopMs: number;
	/**
	 * The longest time in ms for which a daemon did not run; without a freeze in the plan, it shows how
	 * busy the machine was.
	 */
	readonly longestStallMs: number;
	/** Largest peak of the resident memory of a daemon, in MB. */
	readonly peakMemoryMb: number;
	readonly violations: readonly Violation[];
	/** Folder with the logs of the processes; it is kept when there are violations. */
	readonly logs: string | undefined;
};
