/**
 * The entry part of a proxy: sessions and requests of the callers that are connected to it.
 */
import {assertNever} from '../assert-never.js';
import type * as ids from '../ids.js';
import type * as messages from '../messages.js';
import * as positions from '../position.js';
import type * as policy from '../policy/types.js';
import type * as types from '../types.js';
import type * as allowanceClient from './allowance-client.js';
import * as attemptOutcomes from './attempt-outcomes.js';
import type * as callerAccess from './caller-access.js';
import type * as candidates from './candidates.js';
import type * as context from './context.js';
import type * as directory from './directory.js';
import * as entryReplies from './entry-replies.js';
import * as entryState from './entry-state.js';
import * as pendingRequests from './pending-requests.js';
import type * as positionClient from './position-client.js';
import * as rateLimiter from './rate-limiter.js';
import * as refusals from './refusals.js';
import * as requestRouter from './request-router.js';
import * as requestTable from './request-table.js';
import * as sessionAdmission from './session-admission.js';
import type * as templateStore from './template-store.js';
import type * as proxy from './types.js';

export type EntryServices = {
	readonly routing: policy.RoutingPolicy;
	readonly retryBudget: policy.RetryBudget;
	/** Computes the delay after which a second copy of a repeatable read is sent. */
	readonly hedging: {
		observe(latencyMs: number, now: number): void;
		computeDelay(now: number): number;
	};
};

export class Entry {
	readonly sessions = new Map<ids.SessionId, entryState.Session>();
	readonly pendingRequests: pendingRequests.PendingRequests;
	readonly rateLimiter: rateLimiter.RateLimiter;
	private readonly admission: sessionAdmission.SessionAdmission;
	private readonly table: requestTable.RequestTable;
	private readonly replies: entryReplies.EntryReplies;
	private readonly router: requestRouter.RequestRouter;
	private readonly outcomes: attemptOutcomes.AttemptOutcomeHandler;

	constructor(
		private readonly context: context.ProxyContext,
		private readonly directory: directory.Directory,
		private readonly templates: templateStore.TemplateStore,
		private readonly candidates: candidates.CandidateList,
		positionClient: positionClient.PositionClient,
		private readonly access: callerAccess.CallerAccess,
		allowances: allowanceClient.AllowanceClient,
		private readonly services: EntryServices,
	) {
		this.admission = new sessionAdmission.SessionAdmission(
			context,
			templates,
			access,
		);
		this.table = new requestTable.RequestTable(context);
		this.replies = new entryReplies.EntryReplies(
			context,
			this.table,
			(session) => {
				this.closeSession(session);
			},
		);
		this.rateLimiter = new rateLimiter.RateLimiter(
			context,
			allowances,
			this.replies,
			(request) => {
				this.router.routeRequest(request);
			},
		);
		this.router = new requestRouter.RequestRouter(
			context,
			directory,
			templates,
			candidates,
			positionClient,
			this.table,
			this.replies,
			{
				routing: services.routing,
				retryBudget: services.retryBudget,
				rateLimiter: this.rateLimiter,
			},
		);
		this.outcomes = new attemptOutcomes.AttemptOutcomeHandler(
			context,
			this.table,
			this.router,
			this.replies,
			services,
		);
		this.pendingRequests = new pendingRequests.PendingRequests(
			context,
			this.table,
			this.router,
			this.replies,
			{
				computeHedgeDelay: (now) => services.hedging.computeDelay(now),
				releaseBinding: (session) => {
					this.releaseBinding(session);
				},
			},
		);
	}

	get inFlight(): number {
		return this.table.size;
	}

	/** Lists the groups of the open sessions. */
	*listUsedGroups(): Iterable<ids.GroupId> {
		const seen = new Set<ids.GroupId>();
		for (const session of this.sessions.values()) {
			if (!seen.has(session.group)) {
				seen.add(session.group);
				yield session.group;
			}
		}
	}

	openSession(
		id: ids.SessionId,
		attributes: proxy.SessionAttributes,
		refusal: {reason: types.RefusalReason; message: string} | undefined,
	): void {
		const problem =
			refusal ?? this.admission.checkSession(attributes, this.sessions.size);
		if (problem) {
			this.context.emit({
				type: 'closeSession',
				session: id,
				sqlState: refusals.getRefusalSqlState(problem.reason),
				message: problem.message,
			});
			return;
		}

		this.admission.countSession(attributes.member, 1);
		this.sessions.set(id, {
			id,
			member: attributes.member,
			key: attributes.key,
			customer: undefined,
			group: this.templates.getGroup(attributes.member) ?? attributes.group,
			hasMonotonicReads: attributes.isFloorFromWrites !== true,
			parameters: undefined,
			floor: attributes.token,
			binding: undefined,
			request: undefined,
			idleSince: this.context.now,
		});
		this.candidates.subscribeToReports(this.sessions.get(id)!.group);
	}

	closeSession(id: ids.SessionId): void {
		const session = this.sessions.get(id);
		if (!session) {
			return;
		}

		this.sessions.delete(id);
		this.admission.countSession(session.member, -1);
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

			this.table.removeRequest(request);
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
			this.replies.refuseEndedSession(event);
			return;
		}

		const parameters = this.updateRoute(session);
		const request = entryState.createRequest(session, event, parameters);
		this.table.addRequest(request);
		const routeProblem = session.binding
			? undefined
			: this.access.findRouteProblem(session.member);
		const problem = routeProblem ?? this.access.updateCustomer(session);
		if (problem) {
			this.refuseCaller(request, problem);
			return;
		}

		const inFlight = this.table.countInFlight(session.member);
		if (inFlight > parameters!.maxInFlight && !session.binding) {
			this.replies.refuse(
				request,
				'memberLimit',
				`the member has more than ${parameters!.maxInFlight} requests in flight`,
			);
			return;
		}

		this.router.routeRequest(request);
	}

	/** Releases the connection of a transaction that its caller rolled back. */
	abandonTransaction(id: ids.SessionId): void {
		const session = this.sessions.get(id);
		if (session && !session.request) {
			this.releaseBinding(session);
		}
	}

	handleCancel(id: ids.SessionId): void {
		const request = this.sessions.get(id)?.request;
		if (!request) {
			return;
		}

		if (request.attempts.size === 0) {
			this.replies.refuse(
				request,
				'cancelled',
				'canceling statement on user request',
			);
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
		const request = this.table.getRequest(id);
		if (!request?.attempts.has(attempt)) {
			return;
		}

		request.relayedAttempt ??= attempt;
		this.table.cancelOtherAttempts(request, request.relayedAttempt);
	}

	handleDone(from: ids.PeerId, done: messages.ForwardDone): void {
		const request = this.table.findByAttempt(done.attempt);
		const attempt = request?.attempts.get(done.attempt);
		if (!request || attempt?.owner !== from) {
			return;
		}

		this.table.removeAttempt(request, done.attempt);
		if (
			request.relayedAttempt !== undefined &&
			request.relayedAttempt !== done.attempt
		) {
			return;
		}

		if (done.expectedWaitMs !== undefined) {
			this.candidates.placedWork.recordNews(attempt.server);
			this.directory.updateExpectedWait(
				from,
				attempt.server,
				request.rank,
				done.expectedWaitMs,
			);
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
				this.outcomes.handleCompleted(request, attempt, done, latencyMs);
				return;
			}

			case 'notRun': {
				this.outcomes.handleNotRun(request, attempt, done);
				return;
			}

			case 'unknown': {
				this.services.routing.recordOutcome(
					attempt.server,
					'failure',
					latencyMs,
					this.context.now,
				);
				this.outcomes.handleUnknown(
					request,
					attempt,
					done.message ?? 'no answer',
				);
				return;
			}

			default: {
				assertNever(done.verdict);
			}
		}
	}

	/** Handles an attempt that never reached its owner. */
	handleUnsent(owner: ids.PeerId, id: ids.AttemptId): void {
		const request = this.table.findByAttempt(id);
		const attempt = request?.attempts.get(id);
		if (!request || attempt?.owner !== owner) {
			return;
		}

		this.table.removeAttempt(request, id);
		this.outcomes.handleNotRun(request, attempt, {
			type: 'forwardDone',
			attempt: id,
			verdict: 'notRun',
			reason: 'noServer',
			message: 'the owner of the server cannot be reached',
			relayed: false,
			transactionStatus: 'idle',
			bound: false,
			queueMs: 0,
		});
	}

	/**
	 * Lists the owners to which this entry sent requests at `startedBefore` or earlier that still run,
	 * and those that hold its transactions.
	 */
	*listActiveOwners(startedBefore: number): Iterable<ids.PeerId> {
		for (const request of this.table.listRequests()) {
			for (const attempt of request.attempts.values()) {
				if (attempt.sentAt <= startedBefore) {
					yield attempt.owner;
				}
			}
		}

		for (const session of this.sessions.values()) {
			if (session.binding) {
				yield session.binding.owner;
			}
		}
	}

	/** Handles the loss of the connection that a session was bound to. */
	handleUnbound(
		from: ids.PeerId,
		id: ids.SessionId,
		binding: ids.AttemptId,
	): void {
		const session = this.sessions.get(id);
		if (session?.binding?.owner !== from || session.binding.id !== binding) {
			return;
		}

		session.binding = undefined;
		if (!session.request) {
			this.replies.endLostSession(session);
		}
	}

	handleLinkDown(peer: ids.PeerId): void {
		for (const request of this.table.listRequests()) {
			for (const attempt of request.attempts.values()) {
				if (attempt.owner === peer) {
					this.table.removeAttempt(request, attempt.id);
					this.outcomes.handleUnknown(
						request,
						attempt,
						'the link to a peer was lost',
					);
				}
			}
		}

		for (const session of this.sessions.values()) {
			if (session.binding?.owner === peer) {
				session.binding = undefined;
				if (!session.request) {
					this.replies.endLostSession(session);
				}
			}
		}
	}

	/** Closes the sessions that have no request and, unless `includeBound` is set, no transaction. */
	closeIdleSessions(includeBound: boolean): void {
		for (const session of this.sessions.values()) {
			if (!session.request && (includeBound || !session.binding)) {
				this.replies.closeSession(
					session,
					refusals.adminShutdownSqlState,
					'the proxy is shutting down; connect again',
				);
			}
		}
	}

	/** Applies the current route of the member, unless a transaction is open. */
	private updateRoute(
		session: entryState.Session,
	): types.TemplateParameters | undefined {
		if (!session.binding) {
			session.parameters = this.templates.getParameters(session.member);
			session.group = this.templates.getGroup(session.member) ?? session.group;
		}

		return session.parameters;
	}

	/**
	 * Refuses a request whose caller may not send it and rolls back its transaction. An unknown key also
	 * ends the session.
	 */
	private refuseCaller(
		request: entryState.EntryRequest,
		{reason, message}: callerAccess.AccessProblem,
	): void {
		const {session} = request;
		const wasBound = session.binding !== undefined;
		this.releaseBinding(session);
		this.replies.refuse(request, reason, message);
		if (reason !== 'unknownKey') {
			if (wasBound) {
				this.replies.endLostSession(session);
			}

			return;
		}

		this.replies.closeSession(
			session,
			refusals.getRefusalSqlState(reason),
			message,
		);
	}

	private releaseBinding(session: entryState.Session): void {
		if (session.binding) {
			this.context.send(session.binding.owner, {
				type: 'forwardRelease',
				session: session.id,
			});
			session.binding = undefined;
		}
	}
}
