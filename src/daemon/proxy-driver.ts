/**
 * Connects the proxy reducer to its adapters: passes their events to the reducer and executes the
 * effects in order.
 */
import {assertNever} from '../common/assert-never.js';
import type * as ids from '../common/ids.js';
import type * as messages from '../common/messages.js';
import type * as metrics from '../common/metrics/types.js';
import type * as reducer from '../common/proxy/reducer.js';
import type * as proxy from '../common/proxy/types.js';
import type * as types from '../common/types.js';
import * as alignedTimer from '../node/aligned-timer.js';
import type * as callerAdapter from '../node/caller/caller-adapter.js';
import type * as node from '../node/types.js';
import * as errorContainment from './error-containment.js';

const internalErrorSqlState = 'XX000';

/** Receives the measurements of the reducer. */
export type MetricsSink = {
	recordRequest(record: proxy.RequestRecord): void;
	countEvent(name: proxy.CounterName, amount: number): void;
	countCustomer(counts: metrics.CustomerCounts): void;
};

export type ProxyAdapters = {
	readonly callers: Pick<callerAdapter.CallerAdapter, 'handle' | 'relay'>;
	readonly upstreams: node.UpstreamAdapter;
	readonly peers: node.PeerLinks;
	readonly clock: node.Clock;
	readonly logger: node.Logger;
	readonly metrics: MetricsSink;
};

export type Health = {readonly ready: boolean; readonly reason: string};

type ActiveRequest = {
	readonly request: ids.RequestId;
	readonly attempts: ids.AttemptId[];
	/** The attempt whose response the caller gets; undefined until the first bytes arrive. */
	relayedAttempt: ids.AttemptId | undefined;
};

export class ProxyDriver {
	health: Health = {ready: false, reason: 'starting'};
	/** A session has at most one request at a time. */
	private readonly requests = new Map<ids.SessionId, ActiveRequest>();
	private readonly attempts = new Map<ids.AttemptId, ActiveRequest>();
	private readonly pendingChanges = new Map<
		number,
		(result: types.TemplateChangeResult) => void
	>();

	private nextOperation = 1;
	private adapters: ProxyAdapters | undefined;
	private readonly errorBudget = new errorContainment.ErrorBudget();
	private isDispatching = false;
	private readonly pendingEvents: proxy.ProxyEvent[] = [];
	private readonly ticks = new alignedTimer.AlignedTimer(
		() => this.reducer.tickIntervalMs,
		() => {
			if (this.adapters) {
				this.dispatch({type: 'tick', now: this.adapters.clock.now()});
			}
		},
	);

	/** @param handleDrained - Called once when the drain is complete. */
	constructor(
		private readonly reducer: reducer.ProxyReducer,
		private readonly handleDrained: () => void,
	) {}

	start(adapters: ProxyAdapters): void {
		this.adapters = adapters;
		this.handleEffects(this.reducer.start(adapters.clock.now()));
		this.ticks.start();
	}

	/** Handles an event. Events that adapters dispatch during its effects are handled after them. */
	readonly dispatch = (event: proxy.ProxyEvent): void => {
		this.pendingEvents.push(event);
		if (this.isDispatching) {
			return;
		}

		this.isDispatching = true;
		try {
			for (
				let next = this.pendingEvents.shift();
				next !== undefined;
				next = this.pendingEvents.shift()
			) {
				this.stepReducer(next);
				if (next.type === 'sessionClosed') {
					this.removeRequest(next.session);
				}
			}
		} finally {
			this.isDispatching = false;
		}

		this.ticks.update();
	};

	/**
	 * Passes response bytes of an attempt to the caller, unless those of another attempt came first.
	 *
	 * @returns False when the producer should pause.
	 */
	readonly relay = (attempt: ids.AttemptId, data: Uint8Array): boolean => {
		const active = this.attempts.get(attempt);
		if (!active || !this.adapters) {
			return true;
		}

		if (active.relayedAttempt === undefined) {
			active.relayedAttempt = attempt;
			this.dispatch({
				type: 'relayStarted',
				now: this.adapters.clock.now(),
				request: active.request,
				attempt,
			});
		}

		return active.relayedAttempt === attempt
			? this.adapters.callers.relay(attempt, data)
			: true;
	};

	readonly handlePeerMessage = (
		from: ids.PeerId,
		message: messages.PeerMessage,
	): void => {
		if (message.type === 'forwardChunk') {
			this.relay(message.attempt, message.data);
		} else if (this.adapters) {
			this.dispatch({
				type: 'peerMessage',
				now: this.adapters.clock.now(),
				from,
				message,
			});
		}
	};

	/** Resolves with the answer of control, or with `unavailable` after 5 s without one. */
	async requestTemplateChange(
		change: types.TemplateChange,
	): Promise<types.TemplateChangeResult> {
		const operation = this.nextOperation++;
		return new Promise((resolve) => {
			this.pendingChanges.set(operation, resolve);
			this.dispatch({
				type: 'templateChangeRequested',
				now: this.adapters?.clock.now() ?? 0,
				operation,
				change,
			});
		});
	}

	stop(): void {
		this.ticks.stop();
	}

	private stepReducer(event: proxy.ProxyEvent): void {
		let effects: readonly proxy.ProxyEffect[];
		try {
			effects = this.reducer.step(event);
		} catch (error) {
			this.containError(event.type, error);
			this.endAffected(errorContainment.chooseContainment(event));
			return;
		}

		this.handleEffects(effects);
	}

	/** Logs an unexpected error; throws it when there were too many. */
	private containError(source: string, error: unknown): void {
		const {adapters} = this;
		if (!adapters || !this.errorBudget.tryCharge(adapters.clock.now())) {
			throw error;
		}

		adapters.metrics.countEvent('internalErrors', 1);
		adapters.logger.write({
			level: 'error',
			part: 'proxy',
			message: 'Contained an unexpected error',
			fields: {
				source,
				stack: error instanceof Error ? error.stack : String(error),
			},
		});
	}

	/** Ends what an error may have left incomplete. The adapters report each end as an event. */
	private endAffected(containment: errorContainment.Containment): void {
		const {adapters} = this;
		switch (containment.type) {
			case 'session': {
				const {session} = containment;
				adapters?.callers.handle({
					type: 'closeSession',
					session,
					sqlState: internalErrorSqlState,
					message: 'an internal error ended the session',
				});
				return;
			}

			case 'link': {
				adapters?.peers.resetPeer(containment.peer);
				return;
			}

			case 'connection': {
				const {connection} = containment;
				adapters?.upstreams.handle({type: 'closeConnection', connection});
				this.dispatch({
					type: 'connectionClosed',
					now: adapters?.clock.now() ?? 0,
					connection,
					message: 'an internal error',
				});
				return;
			}

			case 'event': {
				return;
			}

			default: {
				assertNever(containment);
			}
		}
	}

	private handleEffects(effects: readonly proxy.ProxyEffect[]): void {
		for (const effect of effects) {
			if (!this.adapters) {
				return;
			}

			try {
				this.handleEffect(effect, this.adapters);
			} catch (error) {
				// The other effects still have to be carried out, as the reducer assumes.
				this.containError(effect.type, error);
			}
		}
	}

	private handleEffect(
		effect: proxy.ProxyEffect,
		adapters: ProxyAdapters,
	): void {
		switch (effect.type) {
			case 'startAttempt': {
				this.addAttempt(effect);
				adapters.callers.handle(effect);
				return;
			}

			case 'finishRequest':
			case 'refuseRequest': {
				this.removeRequest(effect.session);
				adapters.callers.handle(effect);
				return;
			}

			case 'transactionLost': {
				adapters.callers.handle(effect);
				return;
			}

			case 'closeSession': {
				this.removeRequest(effect.session);
				adapters.callers.handle(effect);
				return;
			}

			case 'openConnection':
			case 'closeConnection':
			case 'resetConnection':
			case 'execute':
			case 'cancelExecution':
			case 'stopPolling': {
				adapters.upstreams.handle(effect);
				return;
			}

			case 'poll': {
				this.startPoll(effect, adapters);
				return;
			}

			case 'sendPeer': {
				adapters.peers.send(effect.to, effect.message);
				return;
			}

			case 'connectPeer': {
				adapters.peers.connectPeer(effect.peer, effect.address);
				return;
			}

			case 'disconnectPeer': {
				adapters.peers.disconnectPeer(effect.peer);
				return;
			}

			case 'watchPeer': {
				adapters.peers.watchPeer(effect.peer, effect.isWatched);
				return;
			}

			case 'answerTemplateChange': {
				this.pendingChanges.get(effect.operation)?.(effect.result);
				this.pendingChanges.delete(effect.operation);
				return;
			}

			case 'setHealth': {
				this.health = {ready: effect.ready, reason: effect.reason};
				return;
			}

			case 'recordRequest': {
				adapters.metrics.recordRequest(effect.record);
				return;
			}

			case 'countEvent': {
				adapters.metrics.countEvent(effect.name, effect.amount);
				return;
			}

			case 'countCustomer': {
				adapters.metrics.countCustomer(effect);
				return;
			}

			case 'log': {
				adapters.logger.write(effect.record);
				return;
			}

			case 'drained': {
				this.handleDrained();
				return;
			}

			default: {
				assertNever(effect);
			}
		}
	}

	private startPoll(
		effect: Extract<proxy.ProxyEffect, {type: 'poll'}>,
		adapters: ProxyAdapters,
	): void {
		if (effect.delayMs === 0) {
			adapters.upstreams.handle(effect);
			return;
		}

		setTimeout(() => {
			adapters.upstreams.handle(effect);
		}, effect.delayMs);
	}

	private addAttempt(
		effect: Extract<proxy.ProxyEffect, {type: 'startAttempt'}>,
	): void {
		let active = this.requests.get(effect.session);
		if (active?.request !== effect.request) {
			this.removeRequest(effect.session);
			active = {
				request: effect.request,
				attempts: [],
				relayedAttempt: undefined,
			};
			this.requests.set(effect.session, active);
		}

		active.attempts.push(effect.attempt);
		this.attempts.set(effect.attempt, active);
	}

	private removeRequest(session: ids.SessionId): void {
		const active = this.requests.get(session);
		if (!active) {
			return;
		}

		this.requests.delete(session);
		for (const attempt of active.attempts) {
			this.attempts.delete(attempt);
		}
	}
}
