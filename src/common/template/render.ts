/**
 * Rendering of template parameters as INI text that `parseTemplate` parses to equal parameters.
 */
import * as ini from 'ini';
import * as types from '../types.js';
import * as customers from './customers.js';

function renderRankPolicy(policy: types.RankPolicy): Record<string, string> {
	return {
		deadline_ms: String(policy.deadlineMs),
		floor_percent: String(policy.floorPercent),
		queue_limit: String(policy.queueLimit),
		weight: String(policy.weight),
	};
}

function renderCustomer(customer: types.Customer): Record<string, string> {
	const limits = {
		...(Number.isFinite(customer.ratePerS)
			? {rate_per_s: String(customer.ratePerS)}
			: {}),
		...(Number.isFinite(customer.burst) ? {burst: String(customer.burst)} : {}),
	};
	return {key_digests: customers.formatDigests(customer.keys), ...limits};
}

/** Renders all parameters as template text, including defaults. */
export function renderTemplate(parameters: types.TemplateParameters): string {
	const sections: Record<string, Record<string, string>> = {
		member: {
			default_rank: parameters.defaultRank,
			staleness_ms: Number.isFinite(parameters.stalenessMs)
				? String(parameters.stalenessMs)
				: 'any',
			max_sessions: String(parameters.maxSessions),
			max_in_flight: String(parameters.maxInFlight),
		},
	};
	for (const rank of types.ranks) {
		sections[`rank ${rank}`] = renderRankPolicy(parameters.ranks[rank]);
	}

	for (const customer of parameters.customers?.values() ?? []) {
		sections[customers.formatSectionName(customer.customer)] =
			renderCustomer(customer);
	}

	return ini.stringify(sections, {whitespace: true, platform: 'linux'});
}
