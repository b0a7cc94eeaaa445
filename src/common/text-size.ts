/**
 * Sizes of texts as they are stored and sent.
 */

const encoder = new TextEncoder();

/** Counts the bytes of a text in UTF-8. */
export function countBytes(text: string): number {
	return encoder.encode(text).length;
}
