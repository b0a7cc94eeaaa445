/**
 * Creates the items of a session and reads their properties.
 */
import {Buffer} from 'node:buffer';
import * as messages from '../wire/messages.js';
import type * as statements from './statements.js';
import type * as types from './types.js';

/** SQLSTATE of a feature that the proxy refuses. */
export const notSupported = '0A000';

/** A violation of the protocol; the session cannot go on. */
export type ProtocolProblem = {
	readonly type: 'problem';
	readonly sqlState: string;
	readonly message: string;
};

/** Tells whether no ReadyForQuery follows the item. */
export function isFlushItem(item: types.Item): boolean {
	return item.type === 'local'
		? item.steps.at(-1)?.type !== 'ready'
		: item.isFlush;
}

/** Size of a waiting item in bytes. */
export function measureItem(item: types.Item): number {
	switch (item.type) {
		case 'request': {
			return item.payload.frames.length;
		}

		case 'local': {
			return item.size;
		}

		case 'refusal': {
			return 0;
		}
	}
}

/** A request that every server refuses because it cannot parse its text. */
export function createFailingRequest(
	message: string,
	isFlush: boolean,
): Extract<types.Item, {type: 'request'}> {
	const end = isFlush
		? messages.messageTypes.flush
		: messages.messageTypes.sync;
	return {
		type: 'request',
		kind: 'write',
		payload: {
			frames: Buffer.concat([
				messages.buildMessage(messages.messageTypes.parse, [
					`\0refused: ${message}\0\0\0`,
				]),
				messages.buildMessage(end, []),
			]),
		},
		attributes: [],
		mixesControl: false,
		isFlush,
	};
}

export function createProblem(
	sqlState: string,
	message: string,
): ProtocolProblem {
	return {type: 'problem', sqlState, message};
}

export function createMalformed(): ProtocolProblem {
	return createProblem('08P01', 'a string of the message has no end');
}

export function createRefusal(message: string): types.Item {
	return {type: 'refusal', sqlState: notSupported, message, isFlush: false};
}

/** Answers a simple query with a command tag. */
function createLocal(tag: string, size: number): types.Item {
	return {
		type: 'local',
		steps: [
			{type: 'message', data: messages.buildCommandComplete(tag)},
			{type: 'ready'},
		],
		size,
	};
}

/** Creates the item of a simple query; DEALLOCATE and DISCARD change the table of statements. */
export function createQueryItem(
	frame: Buffer,
	statementClass: types.StatementClass,
	table: statements.StatementTable,
): types.Item {
	const {refusal, setting, deallocated, clearing} = statementClass;
	if (refusal !== undefined) {
		return createRefusal(refusal);
	}

	if (setting) {
		return {
			type: 'local',
			steps: [{type: 'run', setting, isSimple: true}, {type: 'ready'}],
			size: frame.length,
		};
	}

	if (deallocated !== undefined && table.get(deallocated)) {
		table.remove(deallocated);
		return createLocal('DEALLOCATE', frame.length);
	}

	if (clearing === 'statements') {
		table.clear();
	}

	return {
		type: 'request',
		clearing,
		resetsSettings: statementClass.resetsSettings,
		kind: statementClass.kind,
		payload: {frames: frame},
		attributes: statementClass.attributes,
		mixesControl: statementClass.mixesControl,
		isFlush: false,
	};
}
