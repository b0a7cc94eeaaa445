/**
 * Writes log records with winston, as JSON or as text. Each line of text begins with the time, the
 * level and the part of the program that wrote it, in columns of fixed width.
 */
import type * as stream from 'node:stream';
import * as winston from 'winston';
import type * as commonTypes from '../../common/types.js';
import type * as nodeTypes from '../types.js';
import type * as settings from '../settings/types.js';

/** Column width of the part, in characters; a longer name shifts the rest of its own line only. */
const partWidth = 14;
const levelWidth = 5;

export type LoggerOptions = {
	readonly level: commonTypes.LogLevel;
	readonly format: settings.LogFormat;
	/** Destination of the lines; standard error by default, as standard output is for results. */
	readonly output?: stream.Writable;
};

export function createLogger(options: LoggerOptions): nodeTypes.Logger {
	const {combine, timestamp, json, printf} = winston.format;
	const logger = winston.createLogger({
		level: options.level,
		levels: {error: 0, warn: 1, info: 2, debug: 3},
		format: combine(
			timestamp(),
			options.format === 'json'
				? json()
				: printf((info) =>
						formatLine({
							time: String(info.timestamp),
							level: info.level,
							part: String(info.part),
							message: String(info.message),
						}),
					),
		),
		transports: [
			options.output
				? new winston.transports.Stream({stream: options.output})
				: new winston.transports.Console({
						stderrLevels: ['error', 'warn', 'info', 'debug'],
					}),
		],
	});
	return {
		write({level, part, message, fields}) {
			logger.log({level, part, message, ...fields});
		},
	};
}

function formatLine(line: {
	readonly time: string;
	readonly level: string;
	readonly part: string;
	readonly message: string;
}): string {
	const part = `[${line.part}]`.padEnd(partWidth);
	// A line break in a message must not start a new line, which could pass for another record.
	const message = line.message.replaceAll(/\s*\n\s*/gv, ' ');
	return `${line.time} ${line.level.padEnd(levelWidth)} ${part} ${message}`;
}
