/**
 * Calls of database server functions by the control leader: which are under way, and when one may be
 * repeated.
 */
import type * as ids from '../ids.js';
import type * as control from './types.js';
import * as timing from './timing.js';

/** A call without answer yet. */
export type PendingCall = {
	readonly group: ids.GroupId;
	readonly server: ids.UpstreamId;
	readonly request: control.ServerRequest;
	readonly sentAt: number;
};

/** Hands a call to the adapter and returns its number. */
export type CallServer = (
	server: ids.UpstreamId,
	address: string,
	request: control.ServerRequest,
	group: ids.GroupId,
) => number;

/** The calls of one leader. At most one call per server and function is under way. */
export class ServerCalls {
	readonly #pending = new Map<number, PendingCall>();
	/** Time of the last call, by server and function. */
	readonly #lastCalls = new Map<string, number>();
	readonly #callServer: CallServer;

	constructor(callServer: CallServer) {
		this.#callServer = callServer;
	}

	/**
	 * Calls a function unless the same one is under way, or was called less than `repeatMs` ago.
	 */
	call(
		now: number,
		target: Readonly<{
			group: ids.GroupId;
			server: ids.UpstreamId;
			address: string;
		}>,
		request: control.ServerRequest,
		repeatMs: number = timing.callRetryMs,
	): void {
		const {group, server, address} = target;
		const key = JSON.stringify([server, request]);
		const lastCall = this.#lastCalls.get(key);
		const isPending = [...this.#pending.values()].some(
			(call) => call.server === server && call.request.type === request.type,
		);
		if (isPending || (lastCall !== undefined && now - lastCall < repeatMs)) {
			return;
		}

		this.#lastCalls.set(key, now);
		const number = this.#callServer(server, address, request, group);
		this.#pending.set(number, {group, server, request, sentAt: now});
	}

	/** Takes a call off the list when its answer arrives. */
	take(number: number): PendingCall | undefined {
		const call = this.#pending.get(number);
		this.#pending.delete(number);
		return call;
	}

	/** Gives up calls whose answer is overdue, and forgets old times. */
	expire(now: number): void {
		for (const [number, call] of this.#pending) {
			if (now - call.sentAt >= timing.callTimeoutMs) {
				this.#pending.delete(number);
			}
		}

		for (const [key, at] of this.#lastCalls) {
			if (now - at > timing.holdDownWindowMs) {
				this.#lastCalls.delete(key);
			}
		}
	}
}
