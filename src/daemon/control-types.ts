/**
 * Settings and adapters of the control daemon.
 */
import type * as ids from '../common/ids.js';
import type * as types from '../common/types.js';
import type * as consensus from '../common/consensus/types.js';
import type * as control from '../common/control/types.js';
import type * as node from '../node/types.js';

/** An `ip:port` and the port to listen on; port 0 lets the system choose. */
export type ListenSettings = {
	readonly address: string;
	readonly port: number;
};

/** How control logs in at the database servers. */
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
	/** False when the installation exists already, so that an empty disk must not found a new one. */
	readonly mayBootstrap?: boolean;
	/** Number of voters that the installation wants; a larger one tolerates more lost disks. */
	readonly wantedVoters?: number;
	/** Monotonic time of the start of the process, in ms; the time of the first event by default. */
	readonly startedAt?: number;
	/** See `ControlPeerOptions`. */
	readonly recordsLeaseHolders?: boolean;
	/** The control peers of a new installation, this one included, with their peer addresses. */
	readonly controlPeers: readonly types.PeerAddress[];
	readonly peerListener: ListenSettings;
	readonly httpListener: ListenSettings;
};

/** Calls functions of database servers. Answers within a second, also when a server is silent. */
export type ServerClient = {
	call(
		server: ids.UpstreamId,
		address: string,
		request: control.ServerRequest,
		context: Pick<
			Extract<control.ControlEffect, {type: 'callServer'}>,
			'group' | 'leaderTerm'
		>,
	): Promise<control.ServerAnswer>;
	dispose(): Promise<void>;
};

/** What an operator can ask of a control daemon; the HTTP adapter calls it. */
export type ControlHandler = {
	/** What `GET /health` answers. */
	readHealth(): {readonly ready: boolean; readonly reason: string};
	requestTemplateChange(
		change: types.TemplateChange,
	): Promise<types.TemplateChangeResult>;
	/** Proposes a configuration; the highest version is in force. */
	proposeConfiguration(
		configuration: types.Configuration,
	): Promise<types.TemplateChangeResult>;
	/** Resolves with `unavailable` when no leader answers in time. */
	readConfiguration(): Promise<types.ConfigurationReading>;
	/** The configuration that this peer has applied; a newer one may be in force. */
	getAppliedConfiguration(): types.Configuration | undefined;
	/** Takes what a server says of itself. */
	handleAnnouncement(announcement: types.Announcement, sequence: number): void;
	runQuery(query: control.ControlQuery): Promise<control.ControlQueryResult>;
	/** What `GET /status` answers; undefined once the daemon is closed. */
	readStatus(): control.ControlQueryResult | undefined;
	/** Starts to drain and then closes everything; resolves when every operator has an answer. */
	drain(): Promise<void>;
};

/** The HTTP listener of a control daemon. */
export type ControlHttp = {
	listen(address: string, port: number): Promise<number>;
	dispose(): Promise<void>;
};

/** Adapters of a control daemon, made by the caller. */
export type ControlAdapters = {
	readonly clock: node.Clock;
	readonly logger: node.Logger;
	readonly storage: consensus.LogStorage<control.ControlCommand>;
	readonly serverClient: ServerClient;
	createLinks(listener: node.PeerLinkListener): node.PeerLinks;
	createHttp(handler: ControlHandler): ControlHttp;
	/** Uniform in [0, 1). */
	random(): number;
};

/** A running control daemon. */
export type ControlDaemon = ControlHandler & {
	readonly peerPort: number;
	readonly httpPort: number;
	/** Resolves when the daemon has stopped; with an error when its storage failed. */
	readonly stopped: Promise<Error | undefined>;
	/** Takes the control peers that the settings name now. */
	setControlPeers(controlPeers: readonly types.PeerAddress[]): void;
	/** Closes everything. The storage may be opened again afterwards. */
	dispose(): Promise<void>;
};
