/**
 * Reports the end of requests and sessions to callers, and records each request.
 */
import type * as ids from '../ids.js';
import type * as messages from '../messages.js';
import type * as types from '../types.js';
import type * as context from './context.js';
import type * as entryState from './entry-state.js';
import type * as proxy from './types.js';
import * as refusals from './refusals.js';
import type * as requestTable from './request-table.js';

const part = 'entry';

export class EntryReplies {
	/** @param forgetSession - Removes a session after its caller was told that it ended. */
	constructor(
		private readonly context: context.ProxyContext,
		private readonly table: requestTable.RequestTable,
		private readonly forgetSession: (session: ids.SessionId) => void,
	) {}

	refuse(
		request: entryState.EntryRequest,
		reason: types.RefusalReason,
		message: string,
	): void {
		this.context.emit({
			type: 'refuseRequest',
			session: request.session.id,
			request: request.id,
			sqlState: refusals.getRefusalSqlState(reason),
			message: `not run: ${message}`,
			transactionStatus: request.session.binding ? 'failed' : 'idle',
			trace: buildTrace(request),
		});
		this.recordRequest(request, 'notRun', reason, undefined);
		this.table.removeRequest(request);
	}

	/**
	 * Refuses a request whose session this proxy has ended. An adapter may begin it while it carries out
	 * the effects of the step that ends the session.
	 */
	refuseEndedSession({
		session,
		request,
	}: Extract<proxy.ProxyEvent, {type: 'requestArrived'}>): void {
		this.context.emit({
			type: 'refuseRequest',
			session,
			request,
			sqlState: refusals.getRefusalSqlState('draining'),
			message: 'not run: the session has ended',
			transactionStatus: 'idle',
		});
	}

	finishWithUnknownOutcome(
		request: entryState.EntryRequest,
		message: string,
	): void {
		this.context.emit({
			type: 'refuseRequest',
			session: request.session.id,
			request: request.id,
			sqlState: refusals.unknownOutcomeSqlState,
			message: `the outcome is unknown: ${message}`,
			transactionStatus: 'idle',
			trace: buildTrace(request),
		});
		this.recordRequest(request, 'unknown', undefined, undefined);
		this.table.removeRequest(request);
	}

	/**
	 * Closes a session whose transaction or session state was lost, so that the caller notices. With
	 * `keepsLostSessions`, the session stays open and only the adapter is told.
	 */
	endLostSession(session: entryState.Session): void {
		if (this.context.config.keepsLostSessions === true) {
			this.context.emit({
				type: 'transactionLost',
				session: session.id,
				message:
					'the transaction was rolled back because its connection is gone',
			});
			return;
		}

		this.context.log(
			'info',
			part,
			'Closed a session whose transaction was lost',
		);
		this.closeSession(
			session,
			refusals.connectionLostSqlState,
			'the transaction was rolled back because its connection is gone',
		);
	}

	/** Ends a session and tells its caller why. */
	closeSession(
		session: entryState.Session,
		sqlState: string,
		message: string,
	): void {
		this.context.emit({
			type: 'closeSession',
			session: session.id,
			sqlState,
			message,
		});
		this.forgetSession(session.id);
	}

	recordRequest(
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
}

function buildTrace(request: entryState.EntryRequest): proxy.RequestTrace {
	const {lastTarget, lastReason, session} = request;
	return {
		attempts: request.attemptCount,
		retries: request.retries,
		...lastTarget,
		...(lastReason === undefined ? {} : {lastReason}),
		limitMs: Math.round(request.deadlineAt - request.arrivedAt),
		stalenessMs: request.stalenessMs,
		...(session.floor ? {floor: session.floor} : {}),
	};
}
