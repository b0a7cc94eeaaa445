/**
 * The requests in flight at an entry, their running attempts, and how many each member has.
 */
import type * as ids from '../ids.js';
import * as random from '../random.js';
import type * as context from './context.js';
import type * as entryState from './entry-state.js';

export class RequestTable {
	private readonly requests = new Map<ids.RequestId, entryState.EntryRequest>();

	private readonly attempts = new Map<ids.AttemptId, entryState.EntryRequest>();

	private readonly inFlightCounts = new Map<ids.MemberId, number>();
	private nextAttemptId: number;

	constructor(private readonly context: context.ProxyContext) {
		this.nextAttemptId = random.drawSequenceStart(context.random);
	}

	get size(): number {
		return this.requests.size;
	}

	addRequest(request: entryState.EntryRequest): void {
		request.session.request = request;
		this.requests.set(request.id, request);
		addCount(this.inFlightCounts, request.session.member, 1);
	}

	getRequest(id: ids.RequestId): entryState.EntryRequest | undefined {
		return this.requests.get(id);
	}

	findByAttempt(id: ids.AttemptId): entryState.EntryRequest | undefined {
		return this.attempts.get(id);
	}

	listRequests(): Iterable<entryState.EntryRequest> {
		return this.requests.values();
	}

	countInFlight(member: ids.MemberId): number {
		return this.inFlightCounts.get(member) ?? 0;
	}

	addAttempt(
		request: entryState.EntryRequest,
		server: ids.UpstreamId,
		owner: ids.PeerId,
	): entryState.Attempt {
		const id = this.nextAttemptId++ as ids.AttemptId;
		const attempt = {id, server, owner, sentAt: this.context.now};
		request.attempts.set(id, attempt);
		this.attempts.set(id, request);
		request.attemptCount++;
		request.lastTarget = {server, owner};
		return attempt;
	}

	removeAttempt(request: entryState.EntryRequest, id: ids.AttemptId): void {
		request.attempts.delete(id);
		this.attempts.delete(id);
	}

	/** Cancels all attempts of a request except the kept one. */
	cancelOtherAttempts(
		request: entryState.EntryRequest,
		keptAttempt: ids.AttemptId | undefined,
	): void {
		for (const attempt of request.attempts.values()) {
			if (attempt.id !== keptAttempt) {
				request.attempts.delete(attempt.id);
				this.attempts.delete(attempt.id);
				this.context.send(attempt.owner, {
					type: 'forwardCancel',
					attempt: attempt.id,
				});
			}
		}
	}

	removeRequest(request: entryState.EntryRequest): void {
		this.cancelOtherAttempts(request, undefined);
		this.requests.delete(request.id);
		addCount(this.inFlightCounts, request.session.member, -1);
		if (request.session.request === request) {
			request.session.request = undefined;
			request.session.idleSince = this.context.now;
		}
	}
}

/** Adds to a count and removes it at zero, so that the map stays bounded. */
export function addCount(
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
