/**
 * Default parameters and their limits. A key that is missing from a template gets the value from
 * here.
 */
import type * as types from '../types.js';
import type * as templateTypes from './types.js';

/** Maximum template text length in characters; bounds the replicated state and its snapshots. */
export const maxTemplateLength = 8192;

/** Maximum `deadline_ms`. It is below the drain deadline of 30 s, so a drain aborts no request. */
export const maxDeadlineMs = 20_000;

/** Limits of the integer parameters of a template. */
export const limits = {
	stalenessMs: {min: 0, max: 86_400_000},
	maxSessions: {min: 1, max: 10_000_000},
	maxInFlight: {min: 1, max: 1_000_000},
	deadlineMs: {min: 1, max: maxDeadlineMs},
	floorPercent: {min: 0, max: 100},
	queueLimit: {min: 0, max: 1_000_000},
	weight: {min: 1, max: 1000},
	ratePerS: {min: 1, max: 10_000_000},
	burst: {min: 0, max: 10_000_000},
} as const satisfies Record<string, templateTypes.NumberLimits>;

/** Parameters of an empty template. */
export const defaultParameters: types.TemplateParameters = {
	defaultRank: 'normal',
	stalenessMs: 0,
	maxSessions: 10_000,
	maxInFlight: 1000,
	ranks: {
		urgent: {deadlineMs: 2000, floorPercent: 30, queueLimit: 500, weight: 1},
		normal: {deadlineMs: 5000, floorPercent: 20, queueLimit: 500, weight: 1},
		background: {
			deadlineMs: 15_000,
			floorPercent: 5,
			queueLimit: 200,
			weight: 1,
		},
	},
};
