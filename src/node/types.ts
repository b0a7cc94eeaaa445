/**
 * Interfaces between the daemons and the adapters. An adapter turns what happens outside into
 * events and carries out effects; it takes no decision.
 */
import type * as ids from '../common/ids.js';
import type * as messages from '../common/messages.js';
import type * as types from '../common/types.js';
import type * as proxy from '../common/proxy/types.js';

/** Hands an event to the reducer. Never throws. */
export type Dispatch<Event> = (event: Event) => void;

/** Readings of the process's clocks. */
export type Clock = {
	/** Monotonic time in ms, fractions included. It goes on while the process is frozen. */
	now(): number;
	/** Wall clock, ms since the Unix epoch. */
	readWallClock(): number;
};

/** Listens for callers and speaks PostgreSQL with them. */
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
	/** Response bytes of a running attempt; unknown attempts are dropped. */
	relay(attempt: ids.AttemptId, data: Uint8Array): void;
	/** Stops accepting; open sessions go on. */
	stopAccepting(): Promise<void>;
	/** Closes everything. */
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

/** Links to other peers: one TCP connection per pair and direction, reconnected with backoff. */
export type PeerLinks = {
	listen(address: string, port: number): Promise<number>;
	/** Tells where a peer listens; opens the link. */
	connectPeer(peer: ids.PeerId, address: string): void;
	/** Closes the link to a peer and forgets its address. */
	disconnectPeer(peer: ids.PeerId): void;
	/** Sends when the link is up; otherwise drops the message and returns false. */
	send(to: ids.PeerId, message: messages.PeerMessage): boolean;
	dispose(): Promise<void>;
};

/** What the links report. */
export type PeerLinkListener = {
	handleMessage(from: ids.PeerId, message: messages.PeerMessage): void;
	/** `up` is true once messages can be sent to the peer. */
	handleLinkChange(peer: ids.PeerId, up: boolean): void;
	/** A peer introduced itself on an incoming link. */
	handleHello(hello: Extract<messages.LinkMessage, {type: 'hello'}>): void;
};

/** Writes log records. */
export type Logger = {
	write(record: types.LogRecord): void;
};
