/**
 * Validates an operator's template change before it is proposed.
 */
import * as zod from 'zod';
import type * as types from '../types.js';
import * as template from '../template/parse.js';

/** Maximum length of a member and of a change id, in characters; bounds the replicated state. */
const maxIdLength = 128;

const changeSchema = zod.object({
	member: zod.string().min(1).max(maxIdLength),
	text: zod.string(),
	expectedVersion: zod.int().min(0),
	changeId: zod.string().min(1).max(maxIdLength),
});

/**
 * Validates a change without regard to the replicated state.
 *
 * @returns The result to answer with when the change is invalid; undefined otherwise.
 */
export function validateChange(
	change: types.TemplateChange,
): types.TemplateChangeResult | undefined {
	const checked = changeSchema.safeParse(change);
	if (!checked.success) {
		return {
			type: 'invalid',
			problems: checked.error.issues.map(
				(issue) => `${issue.path.join('.')}: ${issue.message}`,
			),
		};
	}

	const parsed = template.parseTemplate(checked.data.text);
	return parsed.isErr()
		? {
				type: 'invalid',
				problems: parsed.error.map((problem) =>
					template.formatProblem(problem),
				),
			}
		: undefined;
}
