/**
 * Logs and counts the requests that a session leaves without an answer or an error.
 */
import type * as ids from '../../common/ids.js';
import type * as proxy from '../../common/proxy/types.js';
import type * as node from '../types.js';

/** Requests without an answer when their session was closed. */
export type UnansweredRequests = {
	readonly running: number;
	readonly queued: number;
};

export type RequestLogOptions = {
	readonly logger: node.Logger;
	/** Adds to a counter of the metrics. */
	readonly countEvent: (name: proxy.CounterName, amount: number) => void;
};

export class RequestLog {
	constructor(private readonly options: RequestLogOptions) {
		// Fields are set by the parameters.
	}

	/** Reports the requests by their stage; `cause` tells why the session was closed. */
	reportUnanswered(
		session: ids.SessionId,
		member: string,
		requests: UnansweredRequests,
		cause: string,
	): void {
		for (const stage of ['running', 'queued'] as const) {
			const count = requests[stage];
			if (count > 0) {
				this.options.countEvent('unansweredRequests', count);
				this.options.logger.write({
					level: 'warn',
					part: 'request',
					message: 'Left without an answer',
					fields: {session, member, count, stage, cause},
				});
			}
		}
	}
}
