/**
 * The entry part of a proxy: sessions and requests of the callers that are connected to it. It
 * chooses a server for each request, sends the request to the server's owner, and decides about
 * retries, hedged reads and the verdict.
 */
import {assertNever} from '../assert-never.js';
import type * as ids from '../ids.js';
import type * as messages from '../messages.js';
import * as positions from '../position.js';
import type * as policy from '../policy/types.js';
import type * as types from '../types.js';
import type * as candidates from './candidates.js';
import type * as context from './context.js';
import type * as directory from './directory.js';
import * as entryState from './entry-state.js';
import type * as positionClient from './position-client.js';
import * as refusals from './refusals.js';
import type * as templateStore from './template-store.js';
import type * as proxy from './types.js';

const part = 'entry';
/** How long a request waits before it looks for a primary again. */
const primaryRetryMs = 20;
/** How long a session waits before it asks for the current position again. */
const floorRetryMs = 20;
/** An attempt without an answer this long after the deadline is given up. */
const answerGraceMs = 1500;

export type EntryServices = {
	readonly routing: policy.RoutingPolicy;
	readonly retryBudget: policy.RetryBudget;
	/** Time after which a second copy of a repeatable read is sent; `Infinity` for never. */
	readonly hedging: {
		observe(latencyMs: number, now: number): void;
		computeDelay(now: number): number;
	};
};

export class Entry {
	readonly sessions = new Map<ids.SessionId, entryState.Session>();
	private readonly requests = new Map<ids.RequestId, entryState.EntryRequest>();
	private readonly attempts = new Map<ids.AttemptId, entryState.EntryRequest>();

	private readonly sessionCounts = new Map<ids.MemberId, number>();
	private readonly inFlightCounts = new Map<ids.MemberId, number>();
	private nextAttempt = 1;

	constructor(
		private readonly context: context.ProxyContext,
		private readonly directory: directory.Directory,
		private readonly templates: templateStore.TemplateStore,
		private readonly candidates: candidates.CandidateList,
		private readonly positionClient: positionClient.PositionClient,
		private readonly services: EntryServices,
	) {}

	get inFlight(): number {
		return this.requests.size;
	}

	openSession(
		id: ids.SessionId,
		attributes: proxy.SessionAttributes,
		refusal: {reason: types.RefusalReason; message: string} | undefined,
	): void {
		const problem = refusal ?? this.checkSession(attributes);
		if (problem) {
			this.context.emit({
				type: 'closeSession',
				session: id,
				sqlState: refusals.getRefusalState(problem.reason),
				message: problem.message,
			});
			return;
		}

		addCount(this.sessionCounts, attributes.member, 1);
		this.sessions.set(id, {
			id,
			member: attributes.member,
			group: attributes.group,
			floor: attributes.token,
			binding: undefined,
			request: undefined,
			idleSince: this.context.now,
		});
		this.candidates.subscribe(attributes.group);
	}

	closeSession(id: ids.SessionId): void {
		const session = this.sessions.get(id);
		if (!session) {
			return;
		}

		this.sessions.delete(id);
		addCount(this.sessionCounts, session.member, -1);
		const {request} = session;
		if (request) {
			for (const attempt of request.attempts.values()) {
				this.context.send(attempt.owner, {
					type: 'forwardCancel',
					attempt: attempt.id,
				});
				this.context.send(attempt.owner, {
					type: 'forwardRelease',
					session: id,
				});
			}

			this.removeRequest(request);
		}

		if (session.binding) {
			this.context.send(session.binding.owner, {
				type: 'forwardRelease',
				session: id,
			});
		}
	}

	setToken(id: ids.SessionId, token: types.Position): void {
		const session = this.sessions.get(id);
		if (session) {
			session.floor = session.floor
				? positions.maxPosition(session.floor, token)
				: token;
		}
	}

	handleRequest(
		event: Extract<proxy.ProxyEvent, {type: 'requestArrived'}>,
	): void {
		const session = this.sessions.get(event.session);
		if (!session) {
			return;
		}

		const parameters = this.templates.getParameters(session.member);
		const request = this.createRequest(session, event, parameters);
		session.request = request;
		this.requests.set(request.id, request);
		addCount(this.inFlightCounts, session.member, 1);
		if (!parameters) {
			this.refuse(request, 'noTemplate', describeMissing(session.member));
			return;
		}

		const inFlight = this.inFlightCounts.get(session.member) ?? 0;
		if (inFlight > parameters.maxInFlight && !session.binding) {
			this.refuse(
				request,
				'memberLimit',
				`the member has more than ${parameters.maxInFlight} requests in flight`,
			);
			return;
		}

		this.routeRequest(request);
	}

	handleCancel(id: ids.SessionId): void {
		const request = this.sessions.get(id)?.request;
		if (!request) {
			return;
		}

		if (request.attempts.size === 0) {
			this.refuse(request, 'cancelled', 'canceling statement on user request');
			return;
		}

		for (const attempt of request.attempts.values()) {
			this.context.send(attempt.owner, {
				type: 'forwardCancel',
				attempt: attempt.id,
			});
		}
	}

	handleRelayStarted(id: ids.RequestId, attempt: ids.AttemptId): void {
		const request = this.requests.get(id);
		if (!request?.attempts.has(attempt)) {
			return;
		}

		request.relayedBy ??= attempt;
		this.cancelOthers(request, request.relayedBy);
	}

	handleDone(from: ids.PeerId, done: messages.ForwardDone): void {
		const request = this.attempts.get(done.attempt);
		const attempt = request?.attempts.get(done.attempt);
		if (!request || attempt?.owner !== from) {
			return;
		}

		this.attempts.delete(done.attempt);
		request.attempts.delete(done.attempt);
		if (request.relayedBy !== undefined && request.relayedBy !== done.attempt) {
			return;
		}

		const latencyMs = this.context.now - attempt.sentAt;
		switch (done.verdict) {
			case 'completed': {
				this.services.routing.recordOutcome(
					attempt.server,
					'success',
					latencyMs,
					this.context.now,
				);
				this.handleCompleted(request, attempt, done, latencyMs);
				return;
			}

			case 'notRun': {
				this.handleNotRun(request, attempt, done);
				return;
			}

			case 'unknown': {
				this.services.routing.recordOutcome(
					attempt.server,
					'failure',
					latencyMs,
					this.context.now,
				);
				this.handleUnknown(request, attempt, done.message ?? 'no answer');
				return;
			}

			default: {
				assertNever(done.verdict);
			}
		}
	}

	/** The connection that a session was bound to is gone. */
	handleUnbound(
		from: ids.PeerId,
		id: ids.SessionId,
		server: ids.UpstreamId,
	): void {
		const session = this.sessions.get(id);
		if (session?.binding?.owner !== from || session.binding.server !== server) {
			return;
		}

		session.binding = undefined;
		if (!session.request) {
			this.endLostSession(session);
		}
	}

	handleLinkDown(peer: ids.PeerId): void {
		for (const request of this.requests.values()) {
			for (const attempt of request.attempts.values()) {
				if (attempt.owner === peer) {
					this.attempts.delete(attempt.id);
					request.attempts.delete(attempt.id);
					this.handleUnknown(request, attempt, 'the link to a peer was lost');
				}
			}
		}

		for (const session of this.sessions.values()) {
			if (session.binding?.owner === peer) {
				session.binding = undefined;
				if (!session.request) {
					this.endLostSession(session);
				}
			}
		}
	}

	/** Marks what is in flight after the process was frozen for a while. */
	handleFreeze(): void {
		for (const request of this.requests.values()) {
			request.isSuspect = true;
		}
	}

	handleTick(): void {
		const {now} = this.context;
		const hedgeDelay = this.services.hedging.computeDelay(now);
		for (const request of this.requests.values()) {
			if (request.attempts.size > 0) {
				this.checkRunning(request, hedgeDelay);
			} else if (now >= request.deadlineAt) {
				this.refuse(
					request,
					getDeadlineReason(request.lastReason),
					'the deadline has passed',
				);
			} else if (request.wait.type === 'until' && now >= request.wait.at) {
				this.routeRequest(request);
			}
		}
	}

	/** Looks again for a server for the waiting requests of a group. */
	handleGroupChanged(group: ids.GroupId): void {
		for (const request of this.requests.values()) {
			if (
				request.session.group === group &&
				request.wait.type === 'until' &&
				request.attempts.size === 0
			) {
				this.routeRequest(request);
			}
		}
	}

	/** Ends the sessions that have no request and no transaction. */
	closeIdleSessions(includeBound: boolean): void {
		for (const session of this.sessions.values()) {
			if (!session.request && (includeBound || !session.binding)) {
				this.context.emit({
					type: 'closeSession',
					session: session.id,
					sqlState: refusals.adminShutdownState,
					message: 'the proxy is shutting down; connect again',
				});
				this.closeSession(session.id);
			}
		}
	}

	private checkSession(
		attributes: proxy.SessionAttributes,
	): {reason: types.RefusalReason; message: string} | undefined {
		const parameters = this.templates.getParameters(attributes.member);
		if (!parameters) {
			return {
				reason: 'noTemplate',
				message: describeMissing(attributes.member),
			};
		}

		const count = this.sessionCounts.get(attributes.member) ?? 0;
		if (
			count >= parameters.maxSessions ||
			this.sessions.size >= this.context.config.maxSessions
		) {
			return {
				reason: 'memberLimit',
				message: 'too many sessions at this proxy',
			};
		}

		return undefined;
	}

	private createRequest(
		session: entryState.Session,
		event: Extract<proxy.ProxyEvent, {type: 'requestArrived'}>,
		parameters: types.TemplateParameters | undefined,
	): entryState.EntryRequest {
		const {attributes, kind} = event;
		const rank = attributes.rank ?? parameters?.defaultRank ?? 'normal';
		const deadlineMs =
			attributes.deadlineMs ?? parameters?.ranks[rank].deadlineMs ?? 0;
		return {
			id: event.request,
			session,
			kind,
			rank,
			arrivedAt: event.now,
			deadlineAt: event.now + deadlineMs,
			stalenessMs: attributes.stalenessMs ?? parameters?.stalenessMs ?? 0,
			repeatable: attributes.repeatable ?? kind === 'read',
			key: attributes.key,
			payload: event.payload,
			attempts: new Map(),
			excluded: new Set(),
			wait: {type: 'attempt'},
			retries: 0,
			isHedged: false,
			relayedBy: undefined,
			lastReason: undefined,
			isSuspect: false,
		};
	}

	private routeRequest(request: entryState.EntryRequest): void {
		const {session} = request;
		if (session.binding) {
			this.sendAttempt(request, session.binding.server, session.binding.owner);
			return;
		}

		if (!entryState.needsPrimary(request.kind) && !session.floor) {
			this.requestFloor(request);
			return;
		}

		const decision = this.chooseServer(request);
		switch (decision.type) {
			case 'server': {
				const owner = this.candidates.getOwner(decision.server);
				if (owner === undefined) {
					this.waitForServer(request);
				} else {
					this.sendAttempt(request, decision.server, owner);
				}

				return;
			}

			case 'wait': {
				request.wait = {
					type: 'until',
					at: this.context.now + decision.delayMs,
				};
				return;
			}

			case 'refused': {
				request.lastReason = decision.reason;
				this.waitForServer(request);
				return;
			}

			default: {
				assertNever(decision);
			}
		}
	}

	private chooseServer(
		request: entryState.EntryRequest,
	): policy.RoutingDecision {
		const {session} = request;
		const view = this.directory.groups.get(session.group);
		return this.services.routing.chooseServer(
			{
				group: session.group,
				needsPrimary: entryState.needsPrimary(request.kind),
				rank: request.rank,
				floor: session.floor ?? positions.zeroPosition,
				termStart: view?.termStart ?? 0,
				stalenessMs: request.stalenessMs,
				dataCentre: this.context.config.dataCentre,
				remainingMs: request.deadlineAt - this.context.now,
				excluded: request.excluded,
			},
			this.candidates.list(session.group, request.rank),
			this.context.now,
			this.context.random.readFloat(),
		);
	}

	/**
	 * No server can take the request now. It waits at the entry until its deadline, because a failover
	 * or a new owner may bring one.
	 */
	private waitForServer(request: entryState.EntryRequest): void {
		request.excluded.clear();
		request.wait = {type: 'until', at: this.context.now + primaryRetryMs};
	}

	private requestFloor(request: entryState.EntryRequest): void {
		request.wait = {type: 'floor'};
		this.positionClient.requestPosition(request.session.group, (reading) => {
			if (this.requests.get(request.id) !== request) {
				return;
			}

			if (!reading) {
				request.lastReason = 'tooStale';
				request.wait = {type: 'until', at: this.context.now + floorRetryMs};
				return;
			}

			request.session.floor = reading.position;
			this.routeRequest(request);
		});
	}

	private sendAttempt(
		request: entryState.EntryRequest,
		server: ids.UpstreamId,
		owner: ids.PeerId,
	): void {
		const {session} = request;
		const {now} = this.context;
		const id = this.nextAttempt++ as ids.AttemptId;
		const attempt: entryState.Attempt = {id, server, owner, sentAt: now};
		if (!this.context.isReachable(owner)) {
			if (session.binding) {
				session.binding = undefined;
				this.refuse(request, 'noServer', 'the transaction was rolled back');
				this.endLostSession(session);
				return;
			}

			request.lastReason = 'noServer';
			this.waitForServer(request);
			return;
		}

		request.attempts.set(id, attempt);
		request.wait = {type: 'attempt'};
		this.attempts.set(id, request);
		this.context.emit({
			type: 'startAttempt',
			session: session.id,
			request: request.id,
			attempt: id,
		});
		this.context.send(owner, {
			type: 'forwardRequest',
			attempt: id,
			session: session.id,
			member: session.member,
			group: session.group,
			server,
			rank: request.rank,
			kind: request.kind,
			deadlineMs: request.deadlineAt - now,
			stalenessMs: request.stalenessMs,
			bound: session.binding !== undefined,
			templateVersion: this.templates.getVersion(session.member),
			payload: request.payload,
			...(session.floor ? {floor: session.floor} : {}),
			...(request.key === undefined ? {} : {key: request.key}),
		});
	}

	private handleCompleted(
		request: entryState.EntryRequest,
		attempt: entryState.Attempt,
		done: messages.ForwardDone,
		latencyMs: number,
	): void {
		const {session} = request;
		if (request.isSuspect && entryState.needsPrimary(request.kind)) {
			this.updateBinding(session, attempt, done.bound);
			this.finishUnknown(request, 'this proxy was frozen meanwhile');
			return;
		}

		if (request.kind === 'read') {
			this.services.hedging.observe(latencyMs, this.context.now);
		}

		this.services.retryBudget.recordSuccess(this.context.now);
		this.cancelOthers(request, done.attempt);
		this.updateBinding(session, attempt, done.bound);
		const isCommit = request.kind !== 'read' && done.position !== undefined;
		if (done.position) {
			session.floor = session.floor
				? positions.maxPosition(session.floor, done.position)
				: done.position;
		}

		this.context.emit({
			type: 'finishRequest',
			session: session.id,
			request: request.id,
			attempt: done.attempt,
			tail: done.tail ?? new Uint8Array(),
			...(isCommit && session.floor ? {token: session.floor} : {}),
		});
		this.recordRequest(request, 'completed', undefined, done);
		this.removeRequest(request);
	}

	private updateBinding(
		session: entryState.Session,
		attempt: entryState.Attempt,
		isBound: boolean,
	): void {
		session.binding = isBound
			? {server: attempt.server, owner: attempt.owner}
			: undefined;
	}

	private handleNotRun(
		request: entryState.EntryRequest,
		attempt: entryState.Attempt,
		done: messages.ForwardDone,
	): void {
		const {session} = request;
		const reason = done.reason ?? 'noServer';
		const message = done.message ?? 'the request was refused';
		request.lastReason = reason;
		if (session.binding) {
			this.handleBoundRefusal(request, done, reason, message);
			return;
		}

		if (request.attempts.size > 0) {
			return;
		}

		switch (reason) {
			case 'keyUsed':
			case 'cancelled':
			case 'memberLimit':
			case 'noTemplate':
			case 'draining':
			case 'deadline': {
				this.refuse(request, reason, message);
				return;
			}

			case 'queueFull': {
				this.retryAfterQueueFull(request, attempt, message);
				return;
			}

			case 'noServer': {
				if (entryState.needsPrimary(request.kind)) {
					this.waitForServer(request);
				} else {
					request.excluded.add(attempt.server);
					this.routeRequest(request);
				}

				return;
			}

			case 'noPrimary': {
				request.wait = {type: 'until', at: this.context.now + primaryRetryMs};
				return;
			}

			case 'readOnlyServer':
			case 'tooStale': {
				request.excluded.add(attempt.server);
				this.routeRequest(request);
				return;
			}

			default: {
				assertNever(reason);
			}
		}
	}

	/** A full queue of one server sends a read to another one, within the retry budget. */
	private retryAfterQueueFull(
		request: entryState.EntryRequest,
		attempt: entryState.Attempt,
		message: string,
	): void {
		request.excluded.add(attempt.server);
		if (
			entryState.needsPrimary(request.kind) ||
			!this.services.retryBudget.trySpend(this.context.now)
		) {
			this.refuse(request, 'queueFull', message);
			return;
		}

		this.context.count('retries');
		const decision = this.chooseServer(request);
		const owner =
			decision.type === 'server'
				? this.candidates.getOwner(decision.server)
				: undefined;
		if (decision.type === 'server' && owner !== undefined) {
			this.sendAttempt(request, decision.server, owner);
		} else {
			this.refuse(request, 'queueFull', message);
		}
	}

	private handleBoundRefusal(
		request: entryState.EntryRequest,
		done: messages.ForwardDone,
		reason: types.RefusalReason,
		message: string,
	): void {
		const {session} = request;
		if (done.bound) {
			this.refuse(request, reason, message);
			return;
		}

		session.binding = undefined;
		this.refuse(request, reason, `${message}; the transaction was rolled back`);
		this.endLostSession(session);
	}

	private handleUnknown(
		request: entryState.EntryRequest,
		attempt: entryState.Attempt,
		message: string,
	): void {
		const {session} = request;
		const wasBound = session.binding !== undefined;
		if (request.attempts.size > 0 && request.relayedBy === undefined) {
			return;
		}

		const mayRetry =
			request.repeatable &&
			!wasBound &&
			request.relayedBy === undefined &&
			request.kind !== 'begin' &&
			request.kind !== 'beginReadOnly' &&
			this.context.now < request.deadlineAt &&
			this.services.retryBudget.trySpend(this.context.now);
		if (mayRetry) {
			this.context.count('retries');
			request.excluded.add(attempt.server);
			request.wait = {
				type: 'until',
				at:
					this.context.now +
					this.services.retryBudget.computeDelay(
						request.retries,
						this.context.random.readFloat(),
					),
			};
			request.retries++;
			return;
		}

		session.binding = undefined;
		this.finishUnknown(request, message);
		if (wasBound) {
			this.endLostSession(session);
		}
	}

	private finishUnknown(
		request: entryState.EntryRequest,
		message: string,
	): void {
		this.context.emit({
			type: 'refuseRequest',
			session: request.session.id,
			request: request.id,
			sqlState: refusals.unknownOutcomeState,
			message: `the outcome is unknown: ${message}`,
			transactionStatus: 'idle',
		});
		this.recordRequest(request, 'unknown', undefined, undefined);
		this.removeRequest(request);
	}

	private refuse(
		request: entryState.EntryRequest,
		reason: types.RefusalReason,
		message: string,
	): void {
		this.context.emit({
			type: 'refuseRequest',
			session: request.session.id,
			request: request.id,
			sqlState: refusals.getRefusalState(reason),
			message: `not run: ${message}`,
			transactionStatus: request.session.binding ? 'failed' : 'idle',
		});
		this.recordRequest(request, 'notRun', reason, undefined);
		this.removeRequest(request);
	}

	private checkRunning(
		request: entryState.EntryRequest,
		hedgeDelay: number,
	): void {
		const {now} = this.context;
		if (now > request.deadlineAt + answerGraceMs) {
			for (const attempt of request.attempts.values()) {
				this.attempts.delete(attempt.id);
				request.attempts.delete(attempt.id);
				this.context.send(attempt.owner, {
					type: 'forwardCancel',
					attempt: attempt.id,
				});
			}

			const wasBound = request.session.binding !== undefined;
			this.releaseRemote(request.session);
			this.finishUnknown(request, 'no answer before the deadline');
			if (wasBound) {
				this.endLostSession(request.session);
			}

			return;
		}

		const [attempt] = request.attempts.values();
		if (
			attempt &&
			!request.isHedged &&
			request.kind === 'read' &&
			request.repeatable &&
			!request.session.binding &&
			request.relayedBy === undefined &&
			now - attempt.sentAt > hedgeDelay
		) {
			this.startHedge(request, attempt);
		}
	}

	/** Sends a second copy of a slow read to another server. */
	private startHedge(
		request: entryState.EntryRequest,
		attempt: entryState.Attempt,
	): void {
		request.isHedged = true;
		request.excluded.add(attempt.server);
		const decision = this.chooseServer(request);
		const owner =
			decision.type === 'server'
				? this.candidates.getOwner(decision.server)
				: undefined;
		if (
			decision.type === 'server' &&
			owner !== undefined &&
			this.services.retryBudget.trySpend(this.context.now)
		) {
			this.context.count('hedges');
			this.sendAttempt(request, decision.server, owner);
		}
	}

	private cancelOthers(
		request: entryState.EntryRequest,
		kept: ids.AttemptId,
	): void {
		for (const attempt of request.attempts.values()) {
			if (attempt.id !== kept) {
				request.attempts.delete(attempt.id);
				this.attempts.delete(attempt.id);
				this.context.send(attempt.owner, {
					type: 'forwardCancel',
					attempt: attempt.id,
				});
			}
		}
	}

	private releaseRemote(session: entryState.Session): void {
		if (session.binding) {
			this.context.send(session.binding.owner, {
				type: 'forwardRelease',
				session: session.id,
			});
			session.binding = undefined;
		}
	}

	/** Ends a session whose transaction or session state is gone, so that the caller notices. */
	private endLostSession(session: entryState.Session): void {
		this.context.emit({
			type: 'closeSession',
			session: session.id,
			sqlState: refusals.connectionLostState,
			message: 'the transaction was rolled back because its connection is gone',
		});
		this.context.log('info', part, 'Ended a session whose transaction is gone');
		this.closeSession(session.id);
	}

	private recordRequest(
		request: entryState.EntryRequest,
		verdict: types.Verdict,
		reason: types.RefusalReason | undefined,
		done: messages.ForwardDone | undefined,
	): void {
		const {now} = this.context;
		this.context.emit({
			type: 'recordRequest',
			record: {
				member: request.session.member,
				rank: request.rank,
				kind: request.kind,
				verdict,
				latencyMs: now - request.arrivedAt,
				queueMs: done?.queueMs ?? 0,
				onTime: verdict === 'completed' && now <= request.deadlineAt,
				...(reason === undefined ? {} : {reason}),
				...(done?.stalenessMs === undefined
					? {}
					: {stalenessMs: done.stalenessMs}),
				...(done?.servedBy === undefined ? {} : {servedBy: done.servedBy}),
			},
		});
	}

	private removeRequest(request: entryState.EntryRequest): void {
		this.cancelOthers(request, -1 as ids.AttemptId);
		this.requests.delete(request.id);
		addCount(this.inFlightCounts, request.session.member, -1);
		if (request.session.request === request) {
			request.session.request = undefined;
			request.session.idleSince = this.context.now;
		}
	}
}

function addCount(
	counts: Map<ids.MemberId, number>,
	member: ids.MemberId,
	amount: number,
): void {
	const count = (counts.get(member) ?? 0) + amount;
	if (count === 0) {
		counts.delete(member);
	} else {
		counts.set(member, count);
	}
}

function describeMissing(member: ids.MemberId): string {
	return `member "${member.slice(0, 64)}" has no template`;
}

/** A request that ran out of time while nothing could serve it names that cause. */
function getDeadlineReason(
	last: types.RefusalReason | undefined,
): types.RefusalReason {
	return last === 'noPrimary' || last === 'tooStale' || last === 'noServer'
		? last
		: 'deadline';
}
