/**
 * Types for template parsing: the problems of a text, and the limits of each parameter.
 */

/** A problem in a template text. */
export type TemplateProblem = {
	/** Section name without brackets; empty for a key before the first section. */
	readonly section: string;
	/** Undefined when the section itself is not allowed. */
	readonly key?: string;
	/** What the text contains at this place. */
	readonly found: string;
	/** What is allowed at this place. */
	readonly allowed: string;
};

/** Smallest and largest allowed value of an integer. */
export type NumberLimits = {
	readonly min: number;
	readonly max: number;
};
