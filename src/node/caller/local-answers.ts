/**
 * Executes SET, SHOW and RESET of `hemlockarch.*` settings in the adapter.
 */
import {Buffer} from 'node:buffer';
import * as position from '../../common/position.js';
import type * as proxy from '../../common/proxy/types.js';
import type * as commonTypes from '../../common/types.js';
import * as frameReader from '../wire/frame-reader.js';
import * as messages from '../wire/messages.js';
import type * as settings from './settings.js';
import type * as types from './types.js';

export const parseComplete = messages.buildMessage(
	messages.messageTypes.parseComplete,
	[],
);
export const bindComplete = messages.buildMessage(
	messages.messageTypes.bindComplete,
	[],
);
export const closeComplete = messages.buildMessage(
	messages.messageTypes.closeComplete,
	[],
);
const noData = messages.buildMessage(messages.messageTypes.noData, []);
const emptyParameterDescription = Buffer.from([0x74, 0, 0, 0, 6, 0, 0]);

export const abortedMessage =
	'current transaction is aborted, commands ignored until end of transaction block';

/** The response to one statement, or why it is refused. */
export type LocalResult =
	| {readonly type: 'answer'; readonly data: Uint8Array}
	| {readonly type: 'problem'; readonly problem: settings.SettingProblem};

/** Builds the response to Describe of a statement on a setting. */
export function buildDescription(
	setting: types.SettingStatement,
	isStatement: boolean,
): Buffer {
	const columns =
		setting.type === 'show'
			? messages.buildRowDescription(`hemlockarch.${setting.name}`)
			: noData;
	return isStatement
		? Buffer.concat([emptyParameterDescription, columns])
		: columns;
}

/** Executes a statement on a setting. */
export function runSetting(
	setting: types.SettingStatement,
	sessionSettings: settings.SessionSettings,
	isSimple: boolean,
	isInTransaction: boolean,
): LocalResult {
	switch (setting.type) {
		case 'set': {
			// PostgreSQL ignores SET LOCAL outside a transaction, after it has checked the value.
			const problem = sessionSettings.set(
				setting.name,
				setting.value,
				setting.isLocal,
			);
			if (setting.isLocal && !isInTransaction) {
				sessionSettings.clearLocal();
			}

			return createResult(problem, () => messages.buildCommandComplete('SET'));
		}

		case 'reset': {
			return createResult(sessionSettings.reset(setting.name), () =>
				messages.buildCommandComplete('RESET'),
			);
		}

		case 'show': {
			return runShow(setting.name, sessionSettings, isSimple);
		}

		case 'malformed': {
			return {
				type: 'problem',
				problem: {
					sqlState: '42601',
					message: "use SET hemlockarch.<name> = '<value>'",
				},
			};
		}
	}
}

function createResult(
	problem: settings.SettingProblem | undefined,
	buildResponse: () => Buffer,
): LocalResult {
	return problem
		? {type: 'problem', problem}
		: {type: 'answer', data: buildResponse()};
}

function runShow(
	name: string,
	sessionSettings: settings.SessionSettings,
	isSimple: boolean,
): LocalResult {
	const value = sessionSettings.get(name);
	if (value === undefined) {
		return {
			type: 'problem',
			problem: {
				sqlState: '42704',
				message: `unrecognized configuration parameter "hemlockarch.${name}"`,
			},
		};
	}

	const row = [
		messages.buildDataRow(value),
		messages.buildCommandComplete('SHOW'),
	];
	return {
		type: 'answer',
		data: Buffer.concat(
			isSimple
				? [messages.buildRowDescription(`hemlockarch.${name}`), ...row]
				: row,
		),
	};
}

/** Executes the steps of an item up to the first problem; `data` contains the responses so far. */
export function runSteps(
	steps: readonly types.LocalStep[],
	sessionSettings: settings.SessionSettings,
	status: proxy.TransactionStatus,
	handleToken: (token: commonTypes.Position) => void,
): {data: Buffer; problem: settings.SettingProblem | undefined} {
	const responses: Uint8Array[] = [];
	let problem: settings.SettingProblem | undefined;
	for (const step of steps) {
		const result = runStep(step, sessionSettings, status);
		if (result.type === 'problem') {
			problem = result.problem;
			break;
		}

		responses.push(result.data);
		if (
			step.type === 'run' &&
			step.setting.type === 'set' &&
			step.setting.name === 'token'
		) {
			handleToken(position.parsePosition(step.setting.value)._unsafeUnwrap());
		}
	}

	return {data: Buffer.concat(responses), problem};
}

function runStep(
	step: types.LocalStep,
	sessionSettings: settings.SessionSettings,
	status: proxy.TransactionStatus,
): LocalResult {
	switch (step.type) {
		case 'message': {
			return {type: 'answer', data: step.data};
		}

		case 'describe': {
			const data = buildDescription(step.setting, step.isStatement);
			return {type: 'answer', data};
		}

		case 'ready': {
			return {type: 'answer', data: messages.getReadyForQuery(status)};
		}

		case 'run': {
			return status === 'failed'
				? {
						type: 'problem',
						problem: {sqlState: '25P02', message: abortedMessage},
					}
				: runSetting(
						step.setting,
						sessionSettings,
						step.isSimple,
						status === 'inTransaction',
					);
		}
	}
}

/** Finds the error, or else the ParameterStatus messages, in the response to the startup SET. */
export function parseStartupSetResponse(tail: Uint8Array): {
	error: settings.SettingProblem | undefined;
	parameters: Buffer;
} {
	const reader = new frameReader.FrameReader(tail.length);
	const parameters: Buffer[] = [];
	reader.push(Buffer.from(tail));
	for (
		let message = reader.read();
		message instanceof Buffer;
		message = reader.read()
	) {
		if (message[0] === messages.messageTypes.error) {
			const error = {
				sqlState: messages.findErrorField(message, 'C') ?? '22023',
				message:
					messages.findErrorField(message, 'M') ?? 'invalid startup parameter',
			};
			return {error, parameters: Buffer.alloc(0)};
		}

		if (message[0] === messages.messageTypes.parameterStatus) {
			parameters.push(message);
		}
	}

	return {error: undefined, parameters: Buffer.concat(parameters)};
}
