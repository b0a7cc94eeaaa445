import {Buffer} from 'node:buffer';
import * as fc from 'fast-check';
import tap from 'tap';
import * as messages from '../wire/messages.js';
import * as classify from './classify.js';
import * as items from './items.js';
import * as requestSplitter from './request-splitter.js';
import * as statements from './statements.js';
import type * as types from './types.js';

const {messageTypes} = messages;
const maxRequestBytes = 2000;
const end = Buffer.alloc(1);
const noParameters = Buffer.alloc(2);
const unit = fc.constantFrom('', 'a', 'b', '\u00E9', '\u00FF', '\u00E2\u0082');
const name = fc
	.array(unit, {maxLength: 3})
	.map((parts) => Buffer.from(parts.join(''), 'latin1'));
const text = fc
	.constantFrom(
		'SELECT 1',
		'INSERT INTO t SELECT 1',
		'BEGIN',
		'COMMIT',
		'',
		"SET a = 'b'",
		'SHOW hemlockarch.rank',
		'PREPARE a AS SELECT 1',
		'COPY t FROM stdin',
		"SELECT 1 /*hemlockarch_key='a'*/",
		'DEALLOCATE a',
		'DISCARD ALL',
	)
	.map((sql) => Buffer.from(sql));

const valid = fc.oneof(
	text.map((sql) => messages.buildMessage(messageTypes.query, [sql, end])),
	fc
		.tuple(name, text)
		.map(([statement, sql]) =>
			messages.buildMessage(messageTypes.parse, [
				statement,
				end,
				sql,
				end,
				noParameters,
			]),
		),
	fc
		.tuple(name, name)
		.map(([portal, statement]) =>
			messages.buildMessage(messageTypes.bind, [
				portal,
				end,
				statement,
				end,
				Buffer.alloc(6),
			]),
		),
	fc
		.tuple(
			fc.constantFrom(messageTypes.describe, messageTypes.close),
			fc.constantFrom('S', 'P', 'x'),
			name,
		)
		.map(([type, kind, object]) =>
			messages.buildMessage(type, [kind, object, end]),
		),
	name.map((portal) =>
		messages.buildMessage(messageTypes.execute, [portal, end, Buffer.alloc(4)]),
	),
	fc
		.constantFrom(messageTypes.sync, messageTypes.flush)
		.map((type) => messages.buildMessage(type, [])),
);
const type = fc.oneof(
	fc.constantFrom(...Object.values(messageTypes)),
	fc.nat(255),
);
const frame = fc.oneof(
	{weight: 8, arbitrary: valid},
	fc
		.tuple(type, fc.uint8Array({maxLength: 40}))
		.map(([typeByte, body]) => messages.buildMessage(typeByte, [body])),
	fc.tuple(valid, fc.nat(20), fc.nat(255)).map(([whole, offset, value]) => {
		const body = Buffer.from(whole.subarray(5));
		body.set(
			body.length > offset ? [value] : [],
			Math.min(offset, body.length),
		);
		return messages.buildMessage(whole[0], [body]);
	}),
	fc
		.tuple(valid, fc.nat(30))
		.map(([whole, length]) =>
			messages.buildMessage(whole[0], [whole.subarray(5, 5 + length)]),
		),
	fc.constant(
		messages.buildMessage(messageTypes.parse, [
			'a\0SELECT 1',
			'x'.repeat(3000),
		]),
	),
);

/** Reads the texts of the Parse and Query messages as a server does. */
function listTexts(frames: Uint8Array): string[] {
	const buffer = Buffer.from(frames);
	const found: string[] = [];
	let offset = 0;
	while (offset < buffer.length) {
		const size = 1 + buffer.readUInt32BE(offset + 1);
		const body = buffer.subarray(offset + 5, offset + size).toString('latin1');
		if (buffer[offset] === messageTypes.parse) {
			found.push(body.split('\0')[1]);
		} else if (buffer[offset] === messageTypes.query) {
			found.push(body.split('\0', 1)[0]);
		}

		offset += size;
	}

	if (offset !== buffer.length) {
		throw new Error('the frames end inside a message');
	}

	return found;
}

/** Returns why a request must not be sent to a server; undefined when it may be. */
function findFault(
	item: Extract<types.WorkItem, {type: 'request'}>,
	sent: ReadonlySet<string>,
): string | undefined {
	const prepared = (item.payload.prepared ?? []).map(({parse}) => parse);
	const texts = listTexts(Buffer.concat([...prepared, item.payload.frames]));
	const altered = texts.find((sql) => !sent.has(sql));
	if (altered !== undefined) {
		return `the server gets a text that nobody sent: ${altered}`;
	}

	const isQuery = item.payload.frames[0] === messageTypes.query;
	return isQuery && classify.classifyText(texts[0]).kind !== item.kind
		? `a query of another kind than ${item.kind}`
		: undefined;
}

// Guards against a message of a caller that ends the process, or of which servers read another text than
// was classified.
tap.test('any messages are split or refused', async (t) => {
	fc.assert(
		fc.property(fc.array(frame, {maxLength: 20}), (frames) => {
			const table = new statements.StatementTable('p', 5, 500);
			const splitter = new requestSplitter.RequestSplitter(
				table,
				maxRequestBytes,
			);
			const sent = new Set<string>();
			for (const [index, received] of frames.entries()) {
				for (const sql of listTexts(received)) {
					sent.add(sql);
				}

				const item = splitter.add(received);
				if (item?.type === 'problem') {
					break;
				}

				const fault =
					item?.type === 'request' ? findFault(item, sent) : undefined;
				if (fault !== undefined) {
					throw new Error(fault);
				}

				if (
					table.size > 2 * (500 + 64 * 1024) ||
					splitter.size > maxRequestBytes + (index + 1) * items.overheadBytes
				) {
					throw new Error('more is kept than allowed');
				}
			}
		}),
		{seed: 20_261_206, numRuns: 3000},
	);
	t.pass('for all messages');
});

// Guards against a name whose decoded length differs from its bytes, which shifts the text behind it.
tap.test('names that are not UTF-8 are refused', async (t) => {
	const splitter = new requestSplitter.RequestSplitter(
		new statements.StatementTable('p', 5, 500),
		maxRequestBytes,
	);
	const parse = messages.buildMessage(messageTypes.parse, [
		Buffer.alloc(7, 0xff),
		'\0INSERT INTO t SELECT 1\0\0\0',
	]);
	t.match(splitter.add(parse), {type: 'problem', sqlState: '08P01'});
});

// Guards against attributes that are multiplied by each use of a statement.
tap.test('attributes are kept once a statement', async (t) => {
	const splitter = new requestSplitter.RequestSplitter(
		new statements.StatementTable('p', 5, 100_000),
		100_000,
	);
	const comment = (count: number) =>
		`\0SELECT 1 /*${"hemlockarch_key='a',".repeat(count)}*/\0\0\0`;
	const parse = messages.buildMessage(messageTypes.parse, [comment(3)]);
	const bind = messages.buildMessage(messageTypes.bind, [Buffer.alloc(8)]);
	const sync = messages.buildMessage(messageTypes.sync, []);
	for (const message of [parse, ...Array.from({length: 100}, () => bind)]) {
		t.equal(splitter.add(message), undefined);
	}

	const item = splitter.add(sync) as types.WorkItem;
	t.match(item, {type: 'request', attributes: {length: 3}});
	splitter.add(messages.buildMessage(messageTypes.parse, [comment(33)]));
	t.match(splitter.add(sync), {type: 'refusal', message: /more than 32/v});
});
