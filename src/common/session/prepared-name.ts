/**
 * Names of prepared statements on server connections. Equal definitions get equal names, so that
 * sessions that share a connection share the statement.
 */
import type * as session from './types.js';

/** Builds the name from the definition; escapes all characters but ASCII letters and digits. */
export function buildPreparedStatementName(
	definition: session.PreparedStatementDefinition,
): string {
	const shape = definition.shape.replaceAll(
		/[^A-Za-z0-9]/gv,
		(character) => `_${character.codePointAt(0)!.toString(16)}_`,
	);
	return `${definition.kind}_${shape}`;
}
