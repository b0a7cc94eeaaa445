/** Builders of policy inputs, shared by tests and the simulated fleet. */
import type * as ids from '../ids.js';
import type * as types from '../types.js';

/** Values by rank that differ from the defaults of `buildParameters`. */
export type RankOverrides = Partial<
	Record<types.Rank, Partial<types.RankPolicy>>
>;

const defaultRankPolicies: Readonly<Record<types.Rank, types.RankPolicy>> = {
	urgent: {deadlineMs: 250, floorPercent: 40, queueLimit: 1000, weight: 1},
	normal: {deadlineMs: 1000, floorPercent: 20, queueLimit: 1000, weight: 1},
	background: {
		deadlineMs: 5000,
		floorPercent: 10,
		queueLimit: 1000,
		weight: 1,
	},
};

/** Builds the parameters of one member's template. */
export function buildParameters(
	overrides: RankOverrides = {},
): types.TemplateParameters {
	return {
		defaultRank: 'normal',
		stalenessMs: 0,
		maxSessions: 100_000,
		maxInFlight: 100_000,
		ranks: {
			urgent: {...defaultRankPolicies.urgent, ...overrides.urgent},
			normal: {...defaultRankPolicies.normal, ...overrides.normal},
			background: {
				...defaultRankPolicies.background,
				...overrides.background,
			},
		},
	};
}

/** Builds a lookup of template parameters by member name. */
export function buildLookup(
	members: Readonly<Record<string, types.TemplateParameters>>,
): (member: ids.MemberId) => types.TemplateParameters | undefined {
	return (member) => members[member];
}
