/**
 * Interfaces between the daemons and the adapters. An adapter turns I/O into events and carries
 * out effects; it makes no decisions.
 */
import type * as ids from '../common/ids.js';
import type * as messages from '../common/messages.js';
import type * as types from '../common/types.js';
import type * as proxy from '../common/proxy/types.js';

/** Passes an event to the reducer. Never throws. */
export type Dispatch<Event> = (event: Event) => void;

/** Readings of the process's clocks. */
export type Clock = {
	/** Monotonic time in ms, with fractions. It advances while the process is suspended. */
	now(): number;
	/** Wall clock, ms since the Unix epoch. */
	readWallClock(): number;
};

/** Listens for callers and serves them in the PostgreSQL protocol. */
export type CallerAdapter = {
	/** Opens the listener; resolves with the port. */
	listen(address: string, port: number): Promise<number>;
	handle(
		effect: Extract<
			proxy.ProxyEffect,
			{
				type:
					| 'startAttempt'
					| 'finishRequest'
					| 'refuseRequest'
					| 'transactionLost'
					| 'closeSession';
			}
		>,
	): void;
	/** Sends response bytes of a running attempt; bytes of unknown attempts are dropped. */
	relay(attempt: ids.AttemptId, data: Uint8Array): void;
	/** Stops accepting connections; open sessions continue. */
	stopAccepting(): Promise<void>;
	/** Closes the listener and all sessions. */
	dispose(): Promise<void>;
};

/** Opens connections to servers and executes requests on them. */
export type UpstreamAdapter = {
	handle(
		effect: Extract<
			proxy.ProxyEffect,
			{
				type:
					| 'openConnection'
					| 'closeConnection'
					| 'resetConnection'
					| 'execute'
					| 'cancelExecution'
					| 'poll'
					| 'stopPolling';
			}
		>,
	): void;
	dispose(): Promise<void>;
};

/** Links to other peers: one TCP connection per pair, opened on use and reconnected with backoff. */
export type PeerLinks = {
	listen(address: string, port: number): Promise<number>;
	/** Makes the peer at `address` reachable; the connection is opened by the first message. */
	connectPeer(peer: ids.PeerId, address: string): void;
	/** Closes the link to a peer and forgets its address. */
	disconnectPeer(peer: ids.PeerId): void;
	/** Closes the connections to a peer and opens a new one. */
	resetPeer(peer: ids.PeerId): void;
	/** Probes the peer at the short interval while `isWatched`; opens the connection if needed. */
	watchPeer(peer: ids.PeerId, isWatched: boolean): void;
	/** Sends a message; returns false when it was dropped, as while the link is down. */
	send(to: ids.PeerId, message: messages.PeerMessage): boolean;
	dispose(): Promise<void>;
};

/** Receives the messages and state changes of the links. */
export type PeerLinkListener = {
	handleMessage(from: ids.PeerId, message: messages.PeerMessage): void;
	/** `up` is true when messages are accepted for the peer, false once it cannot be reached. */
	handleLinkChange(peer: ids.PeerId, up: boolean): void;
};

/** Writes log records. */
export type Logger = {
	write(record: types.LogRecord): void;
};
