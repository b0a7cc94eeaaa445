/**
 * Decides whether a new session is accepted: its member needs a template, its caller a key where the
 * route needs one, and the number of sessions is limited.
 */
import type * as ids from '../ids.js';
import type * as callerAccess from './caller-access.js';
import type * as context from './context.js';
import * as requestTable from './request-table.js';
import type * as templateStore from './template-store.js';
import type * as proxy from './types.js';

export class SessionAdmission {
	private readonly counts = new Map<ids.MemberId, number>();

	constructor(
		private readonly context: context.ProxyContext,
		private readonly templates: templateStore.TemplateStore,
		private readonly access: callerAccess.CallerAccess,
	) {}

	/** Counts a session that was opened (1) or closed (-1). */
	countSession(member: ids.MemberId, amount: 1 | -1): void {
		requestTable.addCount(this.counts, member, amount);
	}

	/** Returns why a session is refused, or undefined. `openCount` is the number of open sessions. */
	checkSession(
		{member, key}: proxy.SessionAttributes,
		openCount: number,
	): callerAccess.AccessProblem | undefined {
		const problem = this.access.findRouteProblem(member);
		if (problem) {
			return problem;
		}

		const parameters = this.templates.getParameters(member)!;

		const identification = this.access.identifyCustomer(member, key);
		if (identification.type === 'refused') {
			return identification;
		}

		const count = this.counts.get(member) ?? 0;
		return count >= parameters.maxSessions ||
			openCount >= this.context.config.maxSessions
			? {reason: 'memberLimit', message: 'too many sessions at this proxy'}
			: undefined;
	}
}
