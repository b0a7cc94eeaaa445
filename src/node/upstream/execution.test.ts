import {Buffer} from 'node:buffer';
import * as fc from 'fast-check';
import tap from 'tap';
import type * as ids from '../../common/ids.js';
import type * as proxy from '../../common/proxy/types.js';
import * as messages from '../wire/messages.js';
import * as executions from './execution.js';
import * as messageStream from './message-stream.js';
import * as requestPlan from './request-plan.js';
import * as types from './types.js';

const propertyOptions = {seed: 20_261_204, numRuns: 150};

type AnswerResult = {
	relayed: Buffer;
	outcome: proxy.ExecutionOutcome | undefined;
};

/** Feeds an answer in chunks whose sizes repeat `sizes` until the answer ends. */
function runAnswer(
	answer: Buffer,
	sizes: readonly number[],
	kind: proxy.RequestKind,
): AnswerResult {
	const effect: types.ExecuteEffect = {
		type: 'execute',
		connection: 1 as ids.ConnectionId,
		attempt: 1 as ids.AttemptId,
		kind,
		payload: {
			frames: messages.buildMessage(messages.messageTypes.query, ['x\0']),
		},
		inTransaction: false,
		sink: {type: 'session', attempt: 1 as ids.AttemptId},
	};
	const parts: Buffer[] = [];
	let outcome: proxy.ExecutionOutcome | undefined;
	const execution = new executions.Execution(
		effect,
		requestPlan.createPlan(effect, false, new Set(), 10),
		types.defaultLimits,
		{
			relay(data) {
				parts.push(Buffer.from(data));
			},
			handleFinished(finished) {
				outcome = finished;
			},
			handleFailure(message) {
				throw new Error(message);
			},
		},
	);
	const stream = new messageStream.MessageStream({
		handleMessage(typeByte, chunk, start, end) {
			execution.handleMessage(typeByte, chunk, start, end);
		},
		handlePart(part, remainingBytes) {
			execution.handlePart(part, remainingBytes);
		},
		handleInvalidStream() {
			throw new Error('invalid stream');
		},
	});
	let index = 0;
	for (let offset = 0; offset < answer.length;) {
		const end = offset + sizes[index++ % sizes.length];
		stream.receive(Buffer.from(answer.subarray(offset, end)));
		offset = end;
	}

	return {relayed: Buffer.concat(parts), outcome};
}

/** Reads the type letters of whole messages; throws when the bytes do not end with one. */
function readLetters(bytes: Uint8Array): string {
	const buffer = Buffer.from(bytes);
	let letters = '';
	let offset = 0;
	while (offset < buffer.length) {
		letters += String.fromCodePoint(buffer[offset]);
		offset += 1 + buffer.readUInt32BE(offset + 1);
	}

	if (offset !== buffer.length) {
		throw new Error('the bytes end inside a message');
	}

	return letters;
}

// Guards against lost, repeated or reordered bytes, and a tail that begins inside a message.
tap.test('answers in chunks of any size arrive unchanged', async (t) => {
	const rows = fc.array(
		fc.oneof(
			fc.integer({min: 0, max: 300}),
			fc.constantFrom(16_000, 33_000, 70_000, 200_000),
		),
		{maxLength: 8},
	);
	const sizes = fc.array(
		fc.oneof(
			{weight: 1, arbitrary: fc.integer({min: 1, max: 7})},
			{weight: 3, arbitrary: fc.integer({min: 1000, max: 90_000})},
		),
		{minLength: 1, maxLength: 5},
	);
	const kinds = fc.constantFrom<proxy.RequestKind>('read', 'write');
	fc.assert(
		fc.property(rows, sizes, kinds, (lengths, chunkSizes, kind) => {
			const row = (length: number): Buffer =>
				messages.buildDataRow(
					String.fromCodePoint(97 + (length % 26)).repeat(length),
				);
			const answer = Buffer.concat([
				messages.buildRowDescription('a'),
				...lengths.map((length) => row(length)),
				messages.buildCommandComplete('SELECT 1'),
				row(40_000),
				messages.buildCommandComplete('SELECT 1'),
				messages.getReadyForQuery('inTransaction'),
			]);
			const {relayed, outcome} = runAnswer(answer, chunkSizes, kind);
			if (outcome?.type !== 'answered') {
				return false;
			}

			const letters = readLetters(outcome.tail);
			return (
				Buffer.concat([relayed, outcome.tail]).equals(answer) &&
				outcome.relayed === relayed.length > 0 &&
				outcome.transactionStatus === 'inTransaction' &&
				(kind === 'write'
					? letters.endsWith('CDCZ') && !relayed.includes('SELECT 1')
					: letters.endsWith('Z'))
			);
		}),
		propertyOptions,
	);
	t.pass('every generated answer is passed on unchanged');
});
