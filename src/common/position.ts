/**
 * Order and text form of log positions. The text form `<term>:<offset>` is the session token that
 * callers see.
 */
import * as neverthrow from 'neverthrow';
import type * as types from './types.js';

/** The position before any write. */
export const zeroPosition: types.Position = {term: 0, offset: 0};

/** Compares by term, then by offset; negative when `left` is earlier. */
export function comparePositions(
	left: types.Position,
	right: types.Position,
): number {
	return left.term - right.term || left.offset - right.offset;
}

/** Returns the later of two positions. */
export function maxPosition(
	left: types.Position,
	right: types.Position,
): types.Position {
	return comparePositions(left, right) >= 0 ? left : right;
}

/** Formats a position as a session token. */
export function formatPosition(position: types.Position): string {
	return `${position.term}:${position.offset}`;
}

/**
 * Parses a session token.
 *
 * @returns The position, or a sentence that describes the error in the text.
 */
export function parsePosition(
	text: string,
): neverthrow.Result<types.Position, string> {
	const match = /^(?<term>\d{1,15}):(?<offset>\d{1,15})$/v.exec(text);
	if (!match?.groups) {
		return neverthrow.err('a token has the form <term>:<offset>');
	}

	return neverthrow.ok({
		term: Number(match.groups.term),
		offset: Number(match.groups.offset),
	});
}

/**
 * Caps a floor of an earlier term at the start of the current term. Writes beyond it were discarded
 * by the promotion, so no server will ever hold them.
 */
export function capFloor(
	floor: types.Position,
	view: Pick<types.GroupView, 'term' | 'termStart'> | undefined,
): types.Position {
	return view && floor.term < view.term && floor.offset > view.termStart
		? {term: floor.term, offset: view.termStart}
		: floor;
}

/**
 * Tells whether a server has applied everything that a session may have seen.
 *
 * A floor of an earlier term cannot hold an acknowledged write beyond the start of the current
 * term, so it is capped there.
 */
export function isFloorReached(
	floor: types.Position,
	applied: types.Position,
	termStart: number,
): boolean {
	if (floor.term === applied.term) {
		return applied.offset >= floor.offset;
	}

	if (floor.term > applied.term) {
		return false;
	}

	return applied.offset >= Math.min(floor.offset, termStart);
}
