/**
 * The rate limits in the replicated templates, as the leader knows them. A new leader parses the templates
 * in steps, so that thousands of them do not hold up its heartbeats.
 */
import type * as ids from '../ids.js';
import * as customerLimits from '../policy/customer-limits.js';
import type * as control from './types.js';
import type * as machines from './machine.js';

const maxTemplatesPerStep = 40;

export class TemplateLimits {
	readonly limits = new customerLimits.CustomerLimits();
	readonly #unread: Set<ids.MemberId>;

	/** @param parse - Undefined when templates set no limits. */
	constructor(
		private readonly machine: machines.ControlMachine,
		private readonly parse: control.RateLimitOptions['parseTemplateCustomers'],
	) {
		this.#unread = new Set(
			parse ? machine.listTemplates().map(({template}) => template.member) : [],
		);
	}

	/** True once all templates have been read. */
	get isComplete(): boolean {
		return this.#unread.size === 0;
	}

	/** Reads some of the templates that were not read yet. */
	step(): void {
		for (const member of [...this.#unread].slice(0, maxTemplatesPerStep)) {
			this.updateMember(member);
		}
	}

	/** Reads the template of a member. */
	updateMember(member: ids.MemberId): void {
		this.#unread.delete(member);
		const template = this.machine.getTemplate(member);
		const customers = template && this.parse?.(template.text);
		if (customers) {
			this.limits.setMember(member, customers);
		}
	}
}
