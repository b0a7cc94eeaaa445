/**
 * Rendering of template parameters as INI text that `parseTemplate` parses to equal parameters.
 */
import * as ini from 'ini';
import * as types from '../types.js';

function renderRankPolicy(policy: types.RankPolicy): Record<string, string> {
	return {
		deadline_ms: String(policy.deadlineMs),
		floor_percent: String(policy.floorPercent),
		queue_limit: String(policy.queueLimit),
		weight: String(policy.weight),
	};
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

	return ini.stringify(sections, {whitespace: true, platform: 'linux'});
}
