/**
 * Creates the work items of a session and reads their properties.
 */
import {Buffer} from 'node:buffer';
import * as messages from '../wire/messages.js';
import * as startupParameters from './startup-parameters.js';
import type * as statements from './statements.js';
import type * as types from './types.js';

/** Bytes of the objects that hold one message or one queued item. */
export const overheadBytes = 512;

/** SQLSTATE of a feature that the proxy refuses. */
export const featureNotSupportedSqlState = '0A000';

/** A protocol violation, after which the session is closed. */
export type ProtocolProblem = {
	readonly type: 'problem';
	readonly sqlState: string;
	readonly message: string;
};

/** Tells whether no ReadyForQuery follows the item. */
export function isFlushItem(item: types.WorkItem): boolean {
	return item.type === 'local'
		? item.steps.at(-1)?.type !== 'ready'
		: item.isFlush;
}

/** Size of a queued item in bytes, with the objects that hold it. */
export function measureItem(item: types.WorkItem): number {
	switch (item.type) {
		case 'request': {
			return overheadBytes + item.payload.frames.length;
		}

		case 'local': {
			return overheadBytes + item.size;
		}

		case 'refusal': {
			return overheadBytes;
		}
	}
}

/** Creates the request that sets startup parameters on the server; undefined when there are none. */
export function createStartupSetRequest(
	parametersToSet: ReadonlyMap<string, string>,
): types.WorkItem | undefined {
	if (parametersToSet.size === 0) {
		return undefined;
	}

	return {
		type: 'request',
		kind: 'sessionState',
		payload: {
			frames: messages.buildMessage(messages.messageTypes.query, [
				`${startupParameters.formatSetStatements(parametersToSet)}\0`,
			]),
		},
		attributes: [],
		preventsKeyClaim: false,
		isFlush: false,
		isStartupSet: true,
	};
}

/** Creates a request that every server refuses because the text is not valid SQL. */
export function createFailingRequest(
	message: string,
	isFlush: boolean,
): Extract<types.WorkItem, {type: 'request'}> {
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
		preventsKeyClaim: false,
		isFlush,
	};
}

export function createProblem(
	sqlState: string,
	message: string,
): ProtocolProblem {
	return {type: 'problem', sqlState, message};
}

export function createInvalidStringProblem(): ProtocolProblem {
	return createProblem(
		'08P01',
		'a string of the message has no end, or a name is not UTF-8',
	);
}

export function createRefusal(message: string): types.WorkItem {
	return {
		type: 'refusal',
		sqlState: featureNotSupportedSqlState,
		message,
		isFlush: false,
	};
}

/** Creates an item that answers a simple query with a command tag. */
function createCommandCompleteItem(tag: string, size: number): types.WorkItem {
	return {
		type: 'local',
		steps: [
			{type: 'message', data: messages.buildCommandComplete(tag)},
			{type: 'ready'},
		],
		size,
	};
}

/** Creates the item of a simple query; DEALLOCATE and DISCARD also change the table of statements. */
export function createQueryItem(
	frame: Buffer,
	statementClass: types.StatementClass,
	table: statements.StatementTable,
): types.WorkItem {
	const {refusal, setting, deallocatedName, clearing} = statementClass;
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

	if (deallocatedName !== undefined && table.get(deallocatedName)) {
		table.remove(deallocatedName);
		return createCommandCompleteItem('DEALLOCATE', frame.length);
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
		preventsKeyClaim: statementClass.preventsKeyClaim,
		isFlush: false,
	};
}
