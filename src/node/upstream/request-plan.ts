/**
 * Plans the messages that one execution sends: missing prepared statements, the claim of a key and
 * the frames of the request.
 */
import {Buffer} from 'node:buffer';
import * as pgProtocol from 'pg-protocol/dist/serializer';
import * as messages from '../wire/messages.js';
import type * as types from './types.js';

/** A part of an execution whose answer ends with one ReadyForQuery. */
export type Segment = 'begin' | 'claim' | 'main' | 'commit';

export type RequestPlan = {
	readonly bytes: readonly Uint8Array[];
	readonly segments: readonly Segment[];
	/** Number of CloseComplete and ParseComplete messages that the caller must not see. */
	readonly hiddenAnswers: number;
	/**
	 * Number of messages that each complete the answer to one frame. Set when the request ends with
	 * Flush, because no ReadyForQuery then ends the answer.
	 */
	readonly flushAnswers: number | undefined;
	/** Prepared statements that exist on the connection once the request has succeeded. */
	readonly createdNames: readonly string[];
	readonly removedNames: readonly string[];
};

/** What the frames of an extended-protocol request contain. */
type FrameSummary = {
	parsedNames: string[];
	closedNames: string[];
	answerCount: number;
	endsWithFlush: boolean;
};

const beginMessage = pgProtocol.serialize.query('BEGIN');
const commitMessage = pgProtocol.serialize.query('COMMIT');
const claimQuery = 'SELECT hemlockarch.claim_key($1)';

function buildClaimMessages(key: string): Uint8Array[] {
	return [
		pgProtocol.serialize.parse({text: claimQuery}),
		pgProtocol.serialize.bind({values: [key]}),
		pgProtocol.serialize.execute(),
		pgProtocol.serialize.sync(),
	];
}

function summarizeFrames(frames: Buffer): FrameSummary {
	const summary: FrameSummary = {
		parsedNames: [],
		closedNames: [],
		answerCount: 0,
		endsWithFlush: false,
	};
	let offset = 0;
	while (offset + 5 <= frames.length) {
		const typeByte = frames[offset];
		const end = offset + 1 + frames.readUInt32BE(offset + 1);
		if (typeByte === messages.messageTypes.parse && frames[offset + 5] !== 0) {
			summary.parsedNames.push(messages.readString(frames, offset + 5) ?? '');
		} else if (
			typeByte === messages.messageTypes.close &&
			frames[offset + 5] === 0x53
		) {
			summary.closedNames.push(messages.readString(frames, offset + 6) ?? '');
		}

		summary.endsWithFlush = typeByte === messages.messageTypes.flush;
		if (!summary.endsWithFlush && typeByte !== messages.messageTypes.sync) {
			summary.answerCount++;
		}

		offset = end;
	}

	return summary;
}

const simpleQueryPlan = {
	segments: ['main'] as const,
	hiddenAnswers: 0,
	flushAnswers: undefined,
	createdNames: [],
	removedNames: [],
};

/** Checks whether the frames or the prepared statements that they use contain the word ROLLBACK. */
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

/** Lists up to `count` names that the request does not use, least recently used first. */
function listNamesToEvict(
	existingNames: ReadonlySet<string>,
	usedNames: ReadonlySet<string>,
	count: number,
): string[] {
	const evictedNames: string[] = [];
	for (const name of existingNames) {
		if (evictedNames.length >= count) {
			break;
		}

		if (!usedNames.has(name)) {
			evictedNames.push(name);
		}
	}

	return evictedNames;
}

/** Messages sent ahead of a request so that its prepared statements exist on the connection. */
type StatementSetup = {
	readonly bytes: readonly Uint8Array[];
	/** Number of CloseComplete and ParseComplete messages that answer `bytes`. */
	readonly hiddenAnswers: number;
	readonly createdNames: readonly string[];
	readonly removedNames: readonly string[];
};

/**
 * Prepares the statements that a request uses and the connection lacks, and closes the least
 * recently used ones beyond the limit.
 *
 * @param parsedNames - Names that the request itself prepares.
 */
function planStatementSetup(
	payload: types.ExecuteEffect['payload'],
	parsedNames: readonly string[],
	existingNames: ReadonlySet<string>,
	maxStatements: number,
): StatementSetup {
	const prepared = payload.prepared ?? [];
	const missing = prepared.filter(({name}) => !existingNames.has(name));
	const createdNames = [...missing.map(({name}) => name), ...parsedNames];
	const usedNames = new Set(prepared.map(({name}) => name));
	const evictedNames =
		createdNames.length === 0
			? []
			: listNamesToEvict(
					existingNames,
					usedNames,
					existingNames.size + createdNames.length - maxStatements,
				);
	const bytes: Uint8Array[] = evictedNames.map((name) =>
		pgProtocol.serialize.close({type: 'S', name}),
	);
	for (const {name, parse} of missing) {
		// The name may exist already, from an earlier Parse whose outcome is unknown.
		bytes.push(pgProtocol.serialize.close({type: 'S', name}), parse);
	}

	return {
		bytes,
		hiddenAnswers: evictedNames.length + 2 * missing.length,
		createdNames,
		removedNames: evictedNames,
	};
}

/**
 * Plans one execution.
 *
 * @param claimsKey - True when the request claims its key.
 * @param existingNames - Prepared statements of the connection, least recently used first.
 * @param maxStatements - Limit on the prepared statements of the connection.
 */
export function createPlan(
	effect: types.ExecuteEffect,
	claimsKey: boolean,
	existingNames: ReadonlySet<string>,
	maxStatements: number,
): RequestPlan {
	const {payload} = effect;
	const {frames} = payload;
	const isSimple = frames[0] === messages.messageTypes.query;
	if (isSimple && !claimsKey) {
		return {...simpleQueryPlan, bytes: [frames]};
	}

	const summary = isSimple
		? undefined
		: summarizeFrames(
				Buffer.from(frames.buffer, frames.byteOffset, frames.byteLength),
			);
	const segments: Segment[] = ['main'];
	const bytes: Uint8Array[] = [];
	if (claimsKey && !effect.inTransaction) {
		segments.unshift('begin');
		bytes.push(beginMessage);
	}

	if (claimsKey) {
		segments.splice(-1, 0, 'claim');
		bytes.push(...buildClaimMessages(effect.claimKey ?? ''));
	}

	const setup = planStatementSetup(
		payload,
		summary?.parsedNames ?? [],
		existingNames,
		maxStatements,
	);
	bytes.push(...setup.bytes, frames);
	if (claimsKey && !effect.inTransaction) {
		segments.push('commit');
		bytes.push(commitMessage);
	}

	return {
		bytes,
		segments,
		hiddenAnswers: setup.hiddenAnswers,
		flushAnswers: summary?.endsWithFlush ? summary.answerCount : undefined,
		createdNames: setup.createdNames,
		removedNames: [...setup.removedNames, ...(summary?.closedNames ?? [])],
	};
}
