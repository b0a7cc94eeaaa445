/**
 * Settings and adapters of the control daemon.
 */
import type * as ids from '../common/ids.js';
import type * as types from '../common/types.js';
import type * as consensus from '../common/consensus/types.js';
import type * as control from '../common/control/types.js';
import type * as node from '../node/types.js';

/** Address and port to listen on; with port 0 the system chooses a port. */
export type ListenSettings = {
	readonly address: string;
	readonly port: number;
};

/** Credentials with which control logs in to the database servers. */
export type ServerLogin = {
	readonly user: string;
	readonly database: string;
	readonly password?: string;
};

/** Settings of a control daemon. */
export type ControlSettings = {
	readonly peer: ids.PeerId;
	readonly dataCentre: ids.DataCentre;
	/** `ip:port` at which other peers reach the peer listener. */
	readonly address: string;
	/**
	 * False when the control group exists already; an empty disk must then not bootstrap a new one. True when
	 * it is certain that the group starts for the first time; a majority of empty disks is then enough.
	 */
	readonly mayBootstrap?: boolean;
	/** Space for the data folder; see `storage-limits.ts` for its default. */
	readonly diskBytes?: number;
	/** Target number of voters; a larger number tolerates more lost disks. */
	readonly wantedVoters?: number;
	/** Monotonic time of the start of the process, in ms; the time of the first event by default. */
	readonly startedAt?: number;
	/** See `ControlPeerOptions`. */
	readonly recordsLeaseHolders?: boolean;
	/** Rate limits of customers; none when it is not set. */
	readonly rateLimits?: control.RateLimitOptions;
	/** Set when configurations say how many replicas receive a commit before it is acknowledged. */
	readonly parseSynchronousReplicas?: control.SynchronousReplicasParser;
	/** The control peers of a new installation, including this one, with their peer addresses. */
	readonly controlPeers: readonly types.PeerAddress[];
	readonly peerListener: ListenSettings;
	readonly httpListener: ListenSettings;
};

/** The decision of the control leader that a call to a server carries out. */
export type ServerCallContext = Pick<
	Extract<control.ControlEffect, {type: 'callServer'}>,
	'group' | 'leaderTerm'
> & {
	/**
	 * True while the leader that decided on the call still leads. The process may have been suspended since
	 * the decision, so a client reads it when its connection is open, right before it writes a command that
	 * changes a server, and answers `calls.leadershipEnded` when it is false.
	 */
	readonly isLeading: () => boolean;
};

/** Calls functions of database servers. Answers within 1 s, even when a server does not respond. */
export type ServerClient = {
	call(
		server: ids.UpstreamId,
		address: string,
		request: control.ServerRequest,
		context: ServerCallContext,
	): Promise<control.ServerAnswer>;
	dispose(): Promise<void>;
};

/** Operations of a control daemon for operators; called by the HTTP adapter. */
export type ControlHandler = {
	/** The answer to `GET /health`. */
	readHealth(): {readonly ready: boolean; readonly reason: string};
	requestTemplateChange(
		change: types.TemplateChange,
	): Promise<types.TemplateChangeResult>;
	/** Proposes a configuration; the one with the highest version is in force. */
	proposeConfiguration(
		configuration: types.Configuration,
	): Promise<types.TemplateChangeResult>;
	/** Resolves with `unavailable` when no leader answers in time. */
	readConfiguration(): Promise<types.ConfigurationReading>;
	/** The configuration that this peer has applied; a newer one may be in force. */
	getAppliedConfiguration(): types.Configuration | undefined;
	/** Processes what a server announces about itself. */
	handleAnnouncement(announcement: types.Announcement, sequence: number): void;
	/**
	 * Processes that a server has left.
	 *
	 * @returns False when this peer does not know the server; another one may.
	 */
	handleDeparture(server: ids.UpstreamId): boolean;
	runQuery(query: control.ControlQuery): Promise<control.ControlQueryResult>;
	/** The answer to `GET /status`; undefined once the daemon is closed. */
	readStatus(): control.ControlQueryResult | undefined;
	/** Drains, then closes everything; resolves when every request of an operator is answered. */
	drain(): Promise<void>;
};

/** The HTTP listener of a control daemon. */
export type ControlHttp = {
	listen(address: string, port: number): Promise<number>;
	dispose(): Promise<void>;
};

/** Adapters of a control daemon, created by the code that starts it. */
export type ControlAdapters = {
	readonly clock: node.Clock;
	readonly logger: node.Logger;
	readonly storage: consensus.LogStorage<control.ControlCommand>;
	readonly serverClient: ServerClient;
	createLinks(listener: node.PeerLinkListener): node.PeerLinks;
	createHttp(handler: ControlHandler): ControlHttp;
	/** Returns a uniformly distributed number in [0, 1). */
	random(): number;
};

/** A running control daemon. */
export type ControlDaemon = ControlHandler & {
	readonly peerPort: number;
	readonly httpPort: number;
	/** Resolves when the daemon has stopped, with the error if its storage failed. */
	readonly stopped: Promise<Error | undefined>;
	/** Applies the control peers of the current settings. */
	setControlPeers(controlPeers: readonly types.PeerAddress[]): void;
	/** Closes everything. The storage may be opened again afterwards. */
	dispose(): Promise<void>;
};
