/**
 * Messages of PostgreSQL callers, for tests with crowds.
 */
import {Buffer} from 'node:buffer';
import type * as net from 'node:net';
import * as messages from '../node/wire/messages.js';
import * as crowds from './crowd.js';

/** The database group of the crowds. */
export const group = 'ledger';
const mebibyte = 1024 * 1024;

export const startup = buildStartup();

function buildStartup(): Buffer {
	const body = Buffer.from(
		`\0\u0003\0\0user\0sanna\0database\0${group}\0\0`,
		'latin1',
	);
	const length = Buffer.alloc(4);
	length.writeUInt32BE(body.length + 4);
	return Buffer.concat([length, body]);
}

export function buildQuery(sql: string): Buffer {
	return messages.buildMessage(messages.messageTypes.query, [`${sql}\0`]);
}

export function buildParse(name: string, sql: string): Buffer {
	return messages.buildMessage(messages.messageTypes.parse, [
		`${name}\0${sql}\0\0\0`,
	]);
}

export function buildHeader(type: number, length: number): Buffer {
	const header = Buffer.alloc(5);
	header[0] = type;
	header.writeUInt32BE(length, 1);
	return header;
}

export async function sendStartup(socket: net.Socket): Promise<void> {
	await crowds.writeAll(socket, startup);
}

/** A message of almost 1 MiB; the last byte is left out by those who stop half-way. */
export const largeQuery = buildQuery(
	`SELECT id FROM notes WHERE id = 1 /*${'x'.repeat(mebibyte - 100)}*/`,
);
