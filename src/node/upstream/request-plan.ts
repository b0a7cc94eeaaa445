/**
 * Decides which bytes one execution writes: missing prepared statements, the claim of a key and
 * the frames of the request.
 */
import {Buffer} from 'node:buffer';
import * as pgProtocol from 'pg-protocol/dist/serializer';
import * as messages from '../wire/messages.js';
import type * as types from './types.js';

/** A part of the exchange that ends with one ReadyForQuery. */
export type Segment = 'begin' | 'claim' | 'main' | 'commit';

export type RequestPlan = {
	readonly bytes: readonly Uint8Array[];
	readonly segments: readonly Segment[];
	/** CloseComplete and ParseComplete messages that the caller must not see. */
	readonly hidden: number;
	/** Set when the request ends with Flush: messages that complete a frame. */
	readonly flushAnswers: number | undefined;
	/** Statement names that exist on the connection when the request succeeds. */
	readonly created: readonly string[];
	readonly removed: readonly string[];
};

/** What the frames of an extended request contain. */
type FrameSummary = {
	parsed: string[];
	closed: string[];
	answers: number;
	isFlush: boolean;
};

const begin = pgProtocol.serialize.query('BEGIN');
const commit = pgProtocol.serialize.query('COMMIT');
const claimText = 'SELECT hemlockarch.claim_key($1)';

function buildClaim(key: string): Uint8Array[] {
	return [
		pgProtocol.serialize.parse({text: claimText}),
		pgProtocol.serialize.bind({values: [key]}),
		pgProtocol.serialize.execute(),
		pgProtocol.serialize.sync(),
	];
}

function readFrames(frames: Buffer): FrameSummary {
	const summary: FrameSummary = {
		parsed: [],
		closed: [],
		answers: 0,
		isFlush: false,
	};
	let offset = 0;
	while (offset + 5 <= frames.length) {
		const code = frames[offset];
		const end = offset + 1 + frames.readUInt32BE(offset + 1);
		if (code === messages.messageTypes.parse && frames[offset + 5] !== 0) {
			summary.parsed.push(messages.readString(frames, offset + 5) ?? '');
		} else if (
			code === messages.messageTypes.close &&
			frames[offset + 5] === 0x53
		) {
			summary.closed.push(messages.readString(frames, offset + 6) ?? '');
		}

		summary.isFlush = code === messages.messageTypes.flush;
		if (!summary.isFlush && code !== messages.messageTypes.sync) {
			summary.answers++;
		}

		offset = end;
	}

	return summary;
}

const plainPlan = {
	segments: ['main'] as const,
	hidden: 0,
	flushAnswers: undefined,
	created: [],
	removed: [],
};

/** Tells whether the frames or the statements that they use contain the word ROLLBACK. */
export function canRollBack(payload: types.ExecuteEffect['payload']): boolean {
	return [
		payload.frames,
		...(payload.prepared ?? []).map(({parse}) => parse),
	].some((bytes) =>
		/rollback/iv.test(
			Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength).toString(
				'latin1',
			),
		),
	);
}

/** Names that fall out of the connection's set to make room. */
function listOldest(
	known: ReadonlySet<string>,
	used: ReadonlySet<string>,
	excess: number,
): string[] {
	const oldest: string[] = [];
	for (const name of known) {
		if (oldest.length >= excess) {
			break;
		}

		if (!used.has(name)) {
			oldest.push(name);
		}
	}

	return oldest;
}

/** What goes ahead of a request so that the connection has its named statements. */
type StatementPreparation = {
	readonly bytes: readonly Uint8Array[];
	/** Number of answers that the caller must not see. */
	readonly hidden: number;
	readonly created: readonly string[];
	readonly removed: readonly string[];
};

/**
 * Prepares the statements that a request uses and the connection lacks, and closes the oldest ones
 * beyond the limit.
 *
 * @param parsed - Names that the request itself prepares.
 */
function planStatements(
	payload: types.ExecuteEffect['payload'],
	parsed: readonly string[],
	known: ReadonlySet<string>,
	limit: number,
): StatementPreparation {
	const prepared = payload.prepared ?? [];
	const missing = prepared.filter(({name}) => !known.has(name));
	const created = [...missing.map(({name}) => name), ...parsed];
	const used = new Set(prepared.map(({name}) => name));
	const oldest =
		created.length === 0
			? []
			: listOldest(known, used, known.size + created.length - limit);
	const bytes: Uint8Array[] = oldest.map((name) =>
		pgProtocol.serialize.close({type: 'S', name}),
	);
	for (const {name, parse} of missing) {
		// An earlier Parse whose outcome is not known may have left the name behind.
		bytes.push(pgProtocol.serialize.close({type: 'S', name}), parse);
	}

	return {
		bytes,
		hidden: oldest.length + 2 * missing.length,
		created,
		removed: oldest,
	};
}

/**
 * Plans one execution on a connection that has the statements `known`, oldest first. `isClaimed`
 * says that the request claims its key.
 */
export function createPlan(
	effect: types.ExecuteEffect,
	isClaimed: boolean,
	known: ReadonlySet<string>,
	limit: number,
): RequestPlan {
	const {payload} = effect;
	const {frames} = payload;
	const isSimple = frames[0] === messages.messageTypes.query;
	if (isSimple && !isClaimed) {
		return {...plainPlan, bytes: [frames]};
	}

	const summary = isSimple
		? undefined
		: readFrames(
				Buffer.from(frames.buffer, frames.byteOffset, frames.byteLength),
			);
	const segments: Segment[] = ['main'];
	const bytes: Uint8Array[] = [];
	if (isClaimed && !effect.inTransaction) {
		segments.unshift('begin');
		bytes.push(begin);
	}

	if (isClaimed) {
		segments.splice(-1, 0, 'claim');
		bytes.push(...buildClaim(effect.claimKey ?? ''));
	}

	const preparation = planStatements(
		payload,
		summary?.parsed ?? [],
		known,
		limit,
	);
	bytes.push(...preparation.bytes, frames);
	if (isClaimed && !effect.inTransaction) {
		segments.push('commit');
		bytes.push(commit);
	}

	return {
		bytes,
		segments,
		hidden: preparation.hidden,
		flushAnswers: summary?.isFlush ? summary.answers : undefined,
		created: preparation.created,
		removed: [...preparation.removed, ...(summary?.closed ?? [])],
	};
}
