/**
 * Chooses a server for a request and sends an attempt to its owner. A request that no server can
 * currently run waits here until its deadline.
 */
import {assertNever} from '../assert-never.js';
import type * as ids from '../ids.js';
import * as positions from '../position.js';
import * as routeRetry from '../policy/route-retry.js';
import type * as policy from '../policy/types.js';
import type * as candidates from './candidates.js';
import type * as context from './context.js';
import type * as directory from './directory.js';
import type * as entryReplies from './entry-replies.js';
import * as entryState from './entry-state.js';
import type * as positionClient from './position-client.js';
import type * as rateLimiter from './rate-limiter.js';
import type * as requestTable from './request-table.js';
import type * as templateStore from './template-store.js';

/** Time after which a session asks for the current position again. */
const floorRetryDelayMs = 20;

export class RequestRouter {
	constructor(
		private readonly context: context.ProxyContext,
		private readonly directory: directory.Directory,
		private readonly templates: templateStore.TemplateStore,
		private readonly candidates: candidates.CandidateList,
		private readonly positionClient: positionClient.PositionClient,
		private readonly table: requestTable.RequestTable,
		private readonly replies: entryReplies.EntryReplies,
		private readonly services: {
			readonly routing: policy.RoutingPolicy;
			readonly retryBudget: policy.RetryBudget;
			readonly rateLimiter: rateLimiter.RateLimiter;
		},
	) {}

	/** The proxy that owns a server, if one is known. */
	getOwner(server: ids.UpstreamId): ids.PeerId | undefined {
		return this.candidates.getOwner(server);
	}

	routeRequest(request: entryState.EntryRequest): void {
		const {session} = request;
		if (request.isBound && !session.binding) {
			this.replies.refuse(
				request,
				'noServer',
				'the transaction was rolled back',
			);
			this.replies.endLostSession(session);
			return;
		}

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
					this.sendAttempt(request, decision.server, owner, decision.maxWaitMs);
				}

				return;
			}

			case 'wait': {
				request.waitState = {
					type: 'until',
					retryAt: this.context.now + decision.delayMs,
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

	chooseServer(request: entryState.EntryRequest): policy.RoutingDecision {
		const {session} = request;
		const view = this.directory.groups.get(session.group);
		return this.services.routing.chooseServer(
			{
				group: session.group,
				needsPrimary: entryState.needsPrimary(request.kind),
				rank: request.rank,
				floor: positions.capFloor(
					session.floor ?? positions.zeroPosition,
					view,
				),
				termStart: view?.termStart ?? 0,
				stalenessMs: request.stalenessMs,
				dataCentre: this.context.config.dataCentre,
				remainingMs: request.deadlineAt - this.context.now,
				excluded: request.excludedServers,
			},
			this.candidates.list(session.group, request.rank),
			this.context.now,
			this.context.random.readFloat(),
		);
	}

	/**
	 * Keeps a request that no server can currently run waiting until its deadline, because a failover
	 * or a new owner may make a server available.
	 */
	waitForServer(request: entryState.EntryRequest): void {
		request.excludedServers.clear();
		this.waitForRetry(request);
	}

	/** Keeps a request waiting; the servers that refused it stay excluded. */
	waitForRetry(request: entryState.EntryRequest): void {
		request.waitState = {
			type: 'until',
			retryAt:
				this.context.now + routeRetry.computeRouteRetryDelay(request.waits),
		};
		request.waits++;
	}

	sendAttempt(
		request: entryState.EntryRequest,
		server: ids.UpstreamId,
		owner: ids.PeerId,
		maxWaitMs?: number,
	): void {
		const {session} = request;
		const {now} = this.context;
		if (!this.context.isReachable(owner)) {
			if (session.binding) {
				session.binding = undefined;
				this.replies.refuse(
					request,
					'noServer',
					'the transaction was rolled back',
				);
				this.replies.endLostSession(session);
				return;
			}

			request.lastReason = 'noServer';
			this.waitForServer(request);
			return;
		}

		if (!this.services.rateLimiter.admit(request)) {
			return;
		}

		const {id} = this.table.addAttempt(request, server, owner);
		request.waitState = {type: 'attempt'};
		this.candidates.placedWork.recordPlacement(server);
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
			deadlineMs: Math.floor(request.deadlineAt - now),
			stalenessMs: request.stalenessMs,
			templateVersion: this.templates.getVersion(session.member),
			payload: request.payload,
			...(session.customer === undefined ? {} : {customer: session.customer}),
			...(session.binding ? {binding: session.binding.id} : {}),
			...(session.floor ? {floor: session.floor} : {}),
			...(request.key === undefined ? {} : {key: request.key}),
			...(maxWaitMs === undefined || request.isReturned
				? {}
				: {maxWaitMs: Math.round(maxWaitMs)}),
		});
	}

	/** Routes a request again that an owner returned; no owner returns it once more. */
	routeReturnedRequest(request: entryState.EntryRequest): void {
		request.isReturned = true;
		this.context.count('returns');
		this.routeRequest(request);
	}

	/** Records how long a read ran, from the answer to its attempt. */
	recordRead(attempt: entryState.Attempt, durationMs: number): void {
		this.candidates.recordRead(attempt, durationMs);
	}

	/** Sends a second copy of a slow read to another server. */
	startHedge(
		request: entryState.EntryRequest,
		attempt: entryState.Attempt,
	): void {
		request.isHedged = true;
		request.excludedServers.add(attempt.server);
		const decision = this.chooseServer(request);
		const owner =
			decision.type === 'server'
				? this.candidates.getOwner(decision.server)
				: undefined;
		if (
			decision.type === 'server' &&
			owner !== undefined &&
			this.services.retryBudget.trySpend(this.context.now) &&
			this.services.rateLimiter.tryCountCopy(request)
		) {
			this.context.count('hedges');
			this.sendAttempt(request, decision.server, owner);
		}
	}

	private requestFloor(request: entryState.EntryRequest): void {
		request.waitState = {type: 'floor'};
		this.positionClient.requestPosition(request.session.group, (reading) => {
			if (this.table.getRequest(request.id) !== request) {
				return;
			}

			if (!reading) {
				request.lastReason = 'tooStale';
				request.waitState = {
					type: 'until',
					retryAt: this.context.now + floorRetryDelayMs,
				};
				return;
			}

			request.session.floor = reading.position;
			this.routeRequest(request);
		});
	}
}
