/**
 * Answers of the adapter itself: SET, SHOW and RESET of `hemlockarch.*` settings.
 */
import {Buffer} from 'node:buffer';
import * as messages from '../wire/messages.js';
import type * as settings from './settings.js';
import type * as types from './types.js';

export const parseComplete = messages.buildMessage(
	messages.codes.parseComplete,
	[],
);
export const bindComplete = messages.buildMessage(
	messages.codes.bindComplete,
	[],
);
export const closeComplete = messages.buildMessage(
	messages.codes.closeComplete,
	[],
);
const noData = messages.buildMessage(messages.codes.noData, []);
const noParameters = Buffer.from([0x74, 0, 0, 0, 6, 0, 0]);

/** The answer to one statement, or why it is refused. */
export type LocalResult =
	| {readonly type: 'answer'; readonly data: Buffer}
	| {readonly type: 'problem'; readonly problem: settings.SettingProblem};

/** Answers Describe of a statement on a setting. */
export function buildDescription(
	setting: types.SettingStatement,
	isStatement: boolean,
): Buffer {
	const columns =
		setting.type === 'show'
			? messages.buildTextColumn(`hemlockarch.${setting.name}`)
			: noData;
	return isStatement ? Buffer.concat([noParameters, columns]) : columns;
}

/** Carries out a statement on a setting. */
export function runSetting(
	setting: types.SettingStatement,
	values: settings.SessionSettings,
	isSimple: boolean,
	isInTransaction: boolean,
): LocalResult {
	switch (setting.type) {
		case 'set': {
			// PostgreSQL ignores SET LOCAL outside a transaction, after it has checked the value.
			const problem = values.set(setting.name, setting.value, setting.isLocal);
			if (setting.isLocal && !isInTransaction) {
				values.clearLocal();
			}

			return createResult(problem, () => messages.buildCommandComplete('SET'));
		}

		case 'reset': {
			return createResult(values.reset(setting.name), () =>
				messages.buildCommandComplete('RESET'),
			);
		}

		case 'show': {
			return runShow(setting.name, values, isSimple);
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
	buildAnswer: () => Buffer,
): LocalResult {
	return problem
		? {type: 'problem', problem}
		: {type: 'answer', data: buildAnswer()};
}

function runShow(
	name: string,
	values: settings.SessionSettings,
	isSimple: boolean,
): LocalResult {
	const value = values.get(name);
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
		messages.buildTextRow(value),
		messages.buildCommandComplete('SHOW'),
	];
	return {
		type: 'answer',
		data: Buffer.concat(
			isSimple
				? [messages.buildTextColumn(`hemlockarch.${name}`), ...row]
				: row,
		),
	};
}
