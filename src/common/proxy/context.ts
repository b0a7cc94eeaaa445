/**
 * State that the parts of the proxy reducer share: the current time, the effects of the step, and
 * messages to peers. A message that the proxy sends to itself is handled in the same step, so that
 * a request to a server that it owns needs no link.
 */
import type * as ids from '../ids.js';
import type * as messages from '../messages.js';
import type * as random from '../random.js';
import type * as types from '../types.js';
import type * as proxy from './types.js';

/** Identity and limits of one proxy process. */
export type ProxyConfig = {
	readonly peer: ids.PeerId;
	readonly vm: ids.VmId;
	/** `ip:port` of the peer listener. */
	readonly address: string;
	readonly dataCentre: ids.DataCentre;
	/** Increases with each start of the process. */
	readonly incarnation: number;
	readonly controlPeers: readonly types.PeerAddress[];
	readonly drainDeadlineMs: number;
	/** Maximum number of open caller sessions. */
	readonly maxSessions: number;
	/**
	 * True when a session survives the loss of its transaction: the adapter receives
	 * `transactionLost` and refuses the rest of the transaction. Otherwise the session is closed.
	 */
	readonly keepsLostSessions?: boolean;
	readonly timing?: Partial<ProxyTiming>;
};

/** Times of the proxy that depend on the deployment, in ms. */
export type ProxyTiming = {
	/** Time that an execution may run past its deadline before its connection is closed. */
	readonly executionGraceMs: number;
	/** An attempt without an answer this long after the deadline is abandoned. */
	readonly answerGraceMs: number;
	/** Time that open transactions get to end when control revokes the ownership of a server. */
	readonly transactionReleaseMs: number;
	/** During a drain, new sessions are still accepted for this long. */
	readonly balancerGraceMs: number;
	/** During a drain, owned servers without work for this long are released. */
	readonly idleOwnerMs: number;
	/** Interval of the reports from owners to entries. */
	readonly reportIntervalMs: number;
	/** After this long without a message from any peer, templates may be out of date. */
	readonly isolationLimitMs: number;
	/** A proxy without a grant from control for this long is not ready. */
	readonly grantLimitMs: number;
	/** The same for a proxy that reaches only a minority of its peers. */
	readonly minorityGrantLimitMs: number;
	/**
	 * A proxy counts as ready for this long after its start, so that a load balancer that checks once
	 * a second does not take it out of service while it waits for its first grant.
	 */
	readonly startGraceMs: number;
	/** A transaction that holds a connection without any request for this long is rolled back. */
	readonly boundIdleLimitMs: number;
	/**
	 * A departing primary gets no new work after this time, also when control found no server that can take
	 * over. Before that, control decides when its writes stop.
	 */
	readonly departingPrimaryLimitMs: number;
	/**
	 * Keys of customers are accepted for this long after the last confirmation that the configuration is
	 * the newest. A withdrawn key works no longer than this anywhere.
	 */
	readonly keyConfirmationLimitMs: number;
	/**
	 * A route that is missing here is called unknown only for this long after the last confirmation, and
	 * requests run on the routes in force only for this long after control has named newer ones.
	 */
	readonly routeConfirmationLimitMs: number;
};

const defaultTiming: ProxyTiming = {
	executionGraceMs: 1000,
	answerGraceMs: 1500,
	transactionReleaseMs: 20_000,
	balancerGraceMs: 2000,
	idleOwnerMs: 3000,
	reportIntervalMs: 100,
	isolationLimitMs: 5000,
	grantLimitMs: Infinity,
	minorityGrantLimitMs: Infinity,
	startGraceMs: 0,
	boundIdleLimitMs: Infinity,
	departingPrimaryLimitMs: Infinity,
	keyConfirmationLimitMs: 4000,
	routeConfirmationLimitMs: 8000,
};

export class ProxyContext {
	/** The control peers that the settings currently name. */
	controlPeers: readonly types.PeerAddress[];
	now = 0;
	effects: proxy.ProxyEffect[] = [];
	readonly timing: ProxyTiming;
	private readonly connectedPeers = new Set<ids.PeerId>();
	private readonly loopback: messages.PeerMessage[] = [];

	constructor(
		readonly config: ProxyConfig,
		readonly random: random.RandomSource,
	) {
		this.controlPeers = config.controlPeers;
		this.timing = {...defaultTiming, ...config.timing};
	}

	emit(effect: proxy.ProxyEffect): void {
		this.effects.push(effect);
	}

	log(
		level: types.LogLevel,
		part: string,
		message: string,
		fields?: types.LogRecord['fields'],
	): void {
		this.effects.push({
			type: 'log',
			record: {level, part, message, ...(fields ? {fields} : {})},
		});
	}

	count(name: proxy.CounterName, amount = 1): void {
		this.effects.push({type: 'countEvent', name, amount});
	}

	/** Returns false when no link to the peer is up; the message is dropped then. */
	send(to: ids.PeerId, message: messages.PeerMessage): boolean {
		if (to === this.config.peer) {
			this.loopback.push(message);
			return true;
		}

		if (!this.connectedPeers.has(to)) {
			return false;
		}

		this.effects.push({type: 'sendPeer', to, message});
		return true;
	}

	isReachable(peer: ids.PeerId): boolean {
		return peer === this.config.peer || this.connectedPeers.has(peer);
	}

	setLink(peer: ids.PeerId, up: boolean): void {
		if (up) {
			this.connectedPeers.add(peer);
		} else {
			this.connectedPeers.delete(peer);
		}
	}

	listConnectedPeers(): Iterable<ids.PeerId> {
		return this.connectedPeers;
	}

	/** Removes and returns the next message that the proxy sent to itself. */
	takeLoopback(): messages.PeerMessage | undefined {
		return this.loopback.shift();
	}

	/** Returns the effects of the step and clears them. */
	takeEffects(): proxy.ProxyEffect[] {
		const {effects} = this;
		this.effects = [];
		return effects;
	}
}
