/**
 * Interfaces of template parsing: what is wrong with a text, and the limits of each parameter.
 */

/** One thing that is wrong with a template text. */
export type TemplateProblem = {
	/** Section name without brackets; empty for a key before the first section. */
	readonly section: string;
	/** Undefined when the section itself is not allowed. */
	readonly key?: string;
	/** What the text contains there. */
	readonly found: string;
	/** What may stand there. */
	readonly allowed: string;
};

/** Smallest and largest allowed value of a whole number. */
export type NumberLimits = {
	readonly min: number;
	readonly max: number;
};
