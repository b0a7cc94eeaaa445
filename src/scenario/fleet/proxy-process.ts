/**
 * Runs a proxy reducer as a process of the simulated fleet, with the connections of its callers. It
 * can be frozen, killed and restarted. What arrives while it is frozen waits.
 */
import {assertNever} from '../../common/assert-never.js';
import type * as ids from '../../common/ids.js';
import type * as messages from '../../common/messages.js';
import type * as reducer from '../../common/proxy/reducer.js';
import type * as proxy from '../../common/proxy/types.js';
import * as gatedEffects from '../order/gated-effects.js';
import type * as order from '../order/types.js';
import * as fakeProcess from './fake-process.js';
import type * as fakeServer from './fake-server.js';
import * as fakeUpstreams from './fake-upstreams.js';
import type * as links from './links.js';
import type * as timeline from './timeline.js';

/** Ticks come at the interval that the reducer asks for, rounded up to a multiple of this. */
const tickResolutionMs = 10;

/** Outcome of a statement as its caller sees it. */
export type CallerAnswer =
	| {
			readonly type: 'answered';
			readonly answer: fakeServer.FakeAnswer;
			readonly token: string | undefined;
	  }
	| {readonly type: 'refused'; readonly sqlState: string}
	| {readonly type: 'closed'; readonly sqlState: string};

type PendingCall = {
	readonly session: ids.SessionId;
	readonly callback: (answer: CallerAnswer) => void;
	/** False while the call waits in the socket of a frozen process. */
	isRead: boolean;
};

/** A call behind another one of its session. */
type QueuedCall = {
	readonly begin: () => void;
	readonly callback: (answer: CallerAnswer) => void;
};

export class ProxyProcess
	extends fakeProcess.FakeProcess
	implements links.LinkedProcess
{
	isReady = false;
	readonly records: proxy.RequestRecord[] = [];
	readonly logs: string[] = [];
	/** Calls that the process had read and whose connection it closed without an answer. */
	cutCalls = 0;
	reducer: reducer.ProxyReducer;
	private upstreams: fakeUpstreams.FakeUpstreams;
	/** Counts kills and restarts, so that events of an earlier instance are discarded. */
	private generation = 0;
	private nextSession = 1;
	private nextRequest = 1;
	private readonly pendingCalls = new Map<ids.RequestId, PendingCall>();
	/** The calls behind the running one, of each session that has a running call. */
	private readonly queuedCalls = new Map<ids.SessionId, QueuedCall[]>();
	/** Called when the proxy closes a connection; has an entry for each open session. */
	private readonly closeHandlers = new Map<ids.SessionId, () => void>();

	private lastTickAt = 0;

	constructor(
		readonly peer: ids.PeerId,
		private readonly timeline: timeline.Timeline,
		private readonly links: links.Links,
		private readonly servers: ReadonlyMap<string, fakeServer.FakeServer>,
		private readonly createReducer: (
			incarnation: number,
		) => reducer.ProxyReducer,
		/** Lets the effects of the process happen; without it they happen at once. */
		private readonly gate?: order.StepGate,
	) {
		super();
		this.reducer = createReducer(1);
		this.upstreams = this.createUpstreams();
		this.start();
		timeline.scheduleEvery(tickResolutionMs, () => {
			const isDue =
				timeline.now - this.lastTickAt >= this.reducer.tickIntervalMs;
			if (this.condition === 'up' && isDue) {
				this.lastTickAt = timeline.now;
				this.step({type: 'tick', now: timeline.now});
			}
		});
	}

	get instance(): number {
		return this.generation;
	}

	/** Version of the template in force; 0 without one. */
	get templateVersion(): number {
		return this.reducer.templates.listVersions()[0]?.[1] ?? 0;
	}

	handleMessage(from: ids.PeerId, message: messages.PeerMessage): void {
		this.receive(() => {
			this.step({
				type: 'peerMessage',
				now: this.timeline.now,
				from,
				message,
			});
		});
	}

	handleLinkChange(peer: ids.PeerId, up: boolean): void {
		this.receive(() => {
			this.step({type: 'peerLinkChanged', now: this.timeline.now, peer, up});
		});
	}

	override kill(): void {
		super.kill();
		this.generation++;
		this.upstreams.closeAll();
		this.links.handleProcessExit(this.peer);
		const calls = [
			...this.pendingCalls.values(),
			...[...this.queuedCalls.values()].flat(),
		];
		this.pendingCalls.clear();
		this.queuedCalls.clear();
		for (const {callback} of calls) {
			callback({type: 'closed', sqlState: '08006'});
		}

		const handlers = [...this.closeHandlers.values()];
		this.closeHandlers.clear();
		for (const handleClose of handlers) {
			handleClose();
		}
	}

	override restart(): void {
		super.restart();
		this.generation++;
		// Like the caller adapters, an instance numbers its sessions and requests from 1.
		this.nextSession = 1;
		this.nextRequest = 1;
		this.reducer = this.createReducer(this.generation + 1);
		this.upstreams = this.createUpstreams();
		this.start();
	}

	openSession(
		attributes: proxy.SessionAttributes,
		handleClose: () => void = () => undefined,
	): ids.SessionId {
		const session = this.nextSession++ as ids.SessionId;
		if (this.condition === 'dead') {
			// A dead process refuses the connection.
			handleClose();
			return session;
		}

		this.closeHandlers.set(session, handleClose);
		this.receive(() => {
			this.step({
				type: 'sessionOpened',
				now: this.timeline.now,
				session,
				attributes,
			});
		});
		return session;
	}

	closeSession(session: ids.SessionId): void {
		this.closeHandlers.delete(session);
		this.queuedCalls.delete(session);
		this.receive(() => {
			this.step({type: 'sessionClosed', now: this.timeline.now, session});
		});
	}

	/**
	 * Sends a statement. Like the caller adapters, the process begins it when the statements before it
	 * in its session have ended.
	 *
	 * @param handleRead - Called when the reducer is about to receive the statement.
	 */
	send(
		session: ids.SessionId,
		statement: fakeServer.FakeStatement,
		attributes: proxy.RequestAttributes,
		callback: (answer: CallerAnswer) => void,
		handleRead: () => void = () => undefined,
	): void {
		if (this.condition === 'dead' || !this.closeHandlers.has(session)) {
			callback({type: 'closed', sqlState: '08006'});
			return;
		}

		const begin = () => {
			const request = this.nextRequest++ as ids.RequestId;
			const call: PendingCall = {session, callback, isRead: false};
			this.pendingCalls.set(request, call);
			this.receive(() => {
				call.isRead = true;
				handleRead();
				this.step({
					type: 'requestArrived',
					now: this.timeline.now,
					session,
					request,
					kind: classify(statement),
					attributes,
					payload: {frames: fakeUpstreams.encodeStatement(statement)},
				});
			});
		};

		const queue = this.queuedCalls.get(session);
		if (queue) {
			queue.push({begin, callback});
		} else {
			this.queuedCalls.set(session, []);
			begin();
		}
	}

	drain(): void {
		this.step({type: 'drainRequested', now: this.timeline.now});
	}

	/** Delivers an announcement of the server to this proxy. */
	announce(server: fakeServer.FakeServer): void {
		this.receive(() => {
			this.step({
				type: 'announcementReceived',
				now: this.timeline.now,
				wallClock: Math.floor(this.timeline.now) + 1_000_000,
				announcement: {
					group: server.group,
					server: server.id,
					address: server.id,
					dataCentre: server.dataCentre,
					role: server.role,
					term: server.term,
					position: server.position,
					slots: 3,
					connectionLimit: 25,
					departing: server.departing,
					startedAt: server.startedAt,
					...(server.announcedSynchronousReplicas === undefined
						? {}
						: {synchronousReplicas: server.announcedSynchronousReplicas}),
				},
			});
		});
	}

	step(event: proxy.ProxyEvent): void {
		this.handleEffects(this.reducer.step(event));
	}

	private start(): void {
		this.handleEffects(this.reducer.start(this.timeline.now));
	}

	private createUpstreams(): fakeUpstreams.FakeUpstreams {
		const {generation} = this;
		return new fakeUpstreams.FakeUpstreams(
			this.peer,
			this.timeline,
			this.servers,
			(event) => {
				if (generation === this.generation) {
					this.receive(() => {
						this.step({...event, now: this.timeline.now});
					});
				}
			},
		);
	}

	private handleEffects(effects: readonly proxy.ProxyEffect[]): void {
		for (const effect of effects) {
			gatedEffects.handleEffect(
				this.gate,
				this,
				gatedEffects.describeProxyEffect(effect),
				() => {
					this.handleEffect(effect);
				},
			);
		}
	}

	private handleEffect(effect: proxy.ProxyEffect): void {
		switch (effect.type) {
			case 'finishRequest': {
				this.answerCall(effect.request, {
					type: 'answered',
					answer: fakeUpstreams.decodeAnswer(effect.tail),
					token: effect.token
						? `${effect.token.term}:${effect.token.offset}`
						: undefined,
				});
				return;
			}

			case 'refuseRequest': {
				this.answerCall(effect.request, {
					type: 'refused',
					sqlState: effect.sqlState,
				});
				return;
			}

			case 'closeSession': {
				this.closeCallerConnection(effect.session, effect.sqlState);
				return;
			}

			case 'openConnection':
			case 'closeConnection':
			case 'resetConnection':
			case 'execute':
			case 'cancelExecution':
			case 'poll':
			case 'stopPolling': {
				this.upstreams.handleEffect(effect);
				return;
			}

			case 'sendPeer': {
				this.links.send(this.peer, effect.to, effect.message);
				return;
			}

			case 'connectPeer': {
				this.links.connect(this.peer, effect.peer);
				return;
			}

			case 'disconnectPeer': {
				this.links.disconnect(this.peer, effect.peer);
				return;
			}

			case 'setHealth': {
				this.isReady = effect.ready;
				return;
			}

			case 'recordRequest': {
				this.records.push(effect.record);
				return;
			}

			case 'log': {
				this.logs.push(
					`${this.timeline.now} ${effect.record.part}: ${effect.record.message}`,
				);
				return;
			}

			case 'drained': {
				this.cutCalls += this.pendingCalls.size;
				this.kill();
				return;
			}

			case 'startAttempt':
			case 'transactionLost':
			case 'watchPeer':
			case 'countEvent':
			case 'countCustomer':
			case 'answerTemplateChange': {
				return;
			}

			default: {
				assertNever(effect);
			}
		}
	}

	/** Answers a call and begins the next one of its session, in the same turn. */
	private answerCall(request: ids.RequestId, answer: CallerAnswer): void {
		const call = this.pendingCalls.get(request);
		if (!call) {
			return;
		}

		this.pendingCalls.delete(request);
		const next = this.queuedCalls.get(call.session)?.shift();
		if (!next) {
			this.queuedCalls.delete(call.session);
		}

		call.callback(answer);
		next?.begin();
	}

	/** Refuses the calls that were not begun; a call in flight gets no answer any more. */
	private closeCallerConnection(
		session: ids.SessionId,
		sqlState: string,
	): void {
		const handleClose = this.closeHandlers.get(session);
		this.closeHandlers.delete(session);
		const queued = this.queuedCalls.get(session) ?? [];
		this.queuedCalls.delete(session);
		for (const [request, call] of this.pendingCalls) {
			if (call.session === session) {
				this.pendingCalls.delete(request);
				this.cutCalls += Number(call.isRead);
				call.callback(
					call.isRead
						? {type: 'closed', sqlState}
						: {type: 'refused', sqlState},
				);
			}
		}

		for (const {callback} of queued) {
			callback({type: 'refused', sqlState});
		}

		handleClose?.();
	}
}

function classify(statement: fakeServer.FakeStatement): proxy.RequestKind {
	switch (statement.type) {
		case 'get': {
			return 'read';
		}

		case 'put': {
			return 'write';
		}

		case 'begin':
		case 'commit':
		case 'rollback': {
			return statement.type;
		}
	}
}
