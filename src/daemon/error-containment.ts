/**
 * What a proxy gives up after an unexpected error in its reducer, so that one message or bug costs a
 * session or a link and not all callers of the process. What is given up is ended without a statement
 * about its outcome: its state may be incomplete. Errors that keep coming show that the state as a whole
 * is damaged; the process then exits.
 */
import {assertNever} from '../common/assert-never.js';
import type * as ids from '../common/ids.js';
import type * as proxy from '../common/proxy/types.js';

export type Containment =
	| {readonly type: 'session'; readonly session: ids.SessionId}
	| {readonly type: 'link'; readonly peer: ids.PeerId}
	| {readonly type: 'connection'; readonly connection: ids.ConnectionId}
	| {readonly type: 'event'};

/** Errors within `windowMs` after which the next one ends the process. */
export const maxErrors = 20;
export const windowMs = 60_000;

/** Chooses what to end after the reducer failed on an event. */
export function chooseContainment(event: proxy.ProxyEvent): Containment {
	switch (event.type) {
		case 'sessionOpened':
		case 'tokenSet':
		case 'sessionClosed':
		case 'transactionAbandoned':
		case 'requestArrived':
		case 'cancelRequested': {
			return {type: 'session', session: event.session};
		}

		case 'peerMessage': {
			return {type: 'link', peer: event.from};
		}

		case 'messageUnsent': {
			return {type: 'link', peer: event.peer};
		}

		case 'connectionOpened':
		case 'connectionReset':
		case 'executionFinished': {
			return {type: 'connection', connection: event.connection};
		}

		case 'connectionClosed':
		case 'relayStarted':
		case 'peerLinkChanged':
		case 'pollAnswered':
		case 'pollRefused':
		case 'pollFailed':
		case 'announcementReceived':
		case 'templateChangeRequested':
		case 'controlPeersChanged':
		case 'drainRequested':
		case 'tick': {
			return {type: 'event'};
		}

		default: {
			return assertNever(event);
		}
	}
}

/** Counts errors and tells when there are too many to continue. */
export class ErrorBudget {
	private times: number[] = [];

	/** Records an error; false when the process should exit. */
	tryCharge(now: number): boolean {
		this.times = this.times.filter((time) => now - time < windowMs);
		this.times.push(now);
		return this.times.length <= maxErrors;
	}
}
