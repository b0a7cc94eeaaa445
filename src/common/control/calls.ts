/**
 * Tracks the calls of database server functions by the control leader: which are pending, and when a
 * call may be retried.
 */
import type * as ids from '../ids.js';
import type * as control from './types.js';
import * as timing from './timing.js';

/**
 * Answer to a call that was not sent: between the decision and the open connection, another peer may
 * have become leader.
 */
export const leadershipEnded: control.ServerAnswer = {
	type: 'failed',
	message: 'this peer no longer leads; the call was not sent',
};

/** A call that is not answered yet. */
export type PendingCall = {
	readonly group: ids.GroupId;
	readonly server: ids.UpstreamId;
	readonly request: control.ServerRequest;
	readonly sentAt: number;
};

/** Passes a call to the adapter and returns the number of the call. */
export type CallServer = (
	server: ids.UpstreamId,
	address: string,
	request: control.ServerRequest,
	group: ids.GroupId,
) => number;

/** The calls of one leader. At most one call per server and function is pending. */
export class ServerCalls {
	readonly #pending = new Map<number, PendingCall>();
	/** Time of the last call, by server and request. */
	readonly #lastCallTimes = new Map<string, number>();
	readonly #callServer: CallServer;

	constructor(callServer: CallServer) {
		this.#callServer = callServer;
	}

	/**
	 * Calls a function unless a call of the same function is pending on the server, or the same request
	 * was sent less than `retryMs` ago.
	 */
	call(
		now: number,
		target: Readonly<{
			group: ids.GroupId;
			server: ids.UpstreamId;
			address: string;
		}>,
		request: control.ServerRequest,
		retryMs: number = timing.callRetryMs,
	): void {
		const {group, server, address} = target;
		const key = JSON.stringify([server, request]);
		const lastCallAt = this.#lastCallTimes.get(key);
		const isPending = [...this.#pending.values()].some(
			(call) => call.server === server && call.request.type === request.type,
		);
		if (isPending || (lastCallAt !== undefined && now - lastCallAt < retryMs)) {
			return;
		}

		this.#lastCallTimes.set(key, now);
		const number = this.#callServer(server, address, request, group);
		this.#pending.set(number, {group, server, request, sentAt: now});
	}

	/** Removes and returns a pending call; undefined when the call has timed out or is unknown. */
	take(number: number): PendingCall | undefined {
		const call = this.#pending.get(number);
		this.#pending.delete(number);
		return call;
	}

	/** Drops calls that have timed out, and call times older than `timing.holdDownWindowMs`. */
	expire(now: number): void {
		for (const [number, call] of this.#pending) {
			if (now - call.sentAt >= timing.callTimeoutMs) {
				this.#pending.delete(number);
			}
		}

		for (const [key, calledAt] of this.#lastCallTimes) {
			if (now - calledAt > timing.holdDownWindowMs) {
				this.#lastCallTimes.delete(key);
			}
		}
	}
}
