/**
 * Crowds of PostgreSQL callers that stop half-way in a transaction.
 */
import {Buffer} from 'node:buffer';
import type * as net from 'node:net';
import tap from 'tap';
import * as callerMessages from './caller-messages.js';
import * as crowds from './crowd.js';
import * as smallCluster from './small-cluster.js';

tap.before(smallCluster.startCluster);

/** Begins a transaction and stops: after an answer, inside a message, or before a Sync. */
async function leaveTransaction(
	socket: net.Socket,
	index: number,
	statements: readonly string[],
): Promise<void> {
	socket.resume();
	await callerMessages.sendStartup(socket);
	for (const sql of ['BEGIN', ...statements]) {
		await crowds.writeAll(socket, callerMessages.buildQuery(sql));
	}

	const rest = [
		Buffer.alloc(0),
		callerMessages.buildQuery('SELECT id FROM notes').subarray(0, -3),
		callerMessages.buildParse('', 'SELECT id FROM notes WHERE id = 1'),
	];
	await crowds.writeAll(socket, rest[index % rest.length]);
	await crowds.waitForever();
}

// Guards against reads at rest that keep all connections of a server from ordinary callers.
smallCluster.addCrowd('reading transactions that stop half-way', {
	count: 100,
	limitMs: 5000,
	async behave(socket, index) {
		await leaveTransaction(socket, index, [
			'SELECT id FROM notes WHERE id = 1',
			'SELECT id FROM notes WHERE id = 2',
		]);
	},
});

// Guards against writes at rest that keep all connections of a server from ordinary callers.
smallCluster.addCrowd('writing transactions that stop half-way', {
	count: 100,
	limitMs: 5000,
	async behave(socket, index) {
		await leaveTransaction(socket, index, [
			`INSERT INTO notes (id, body) VALUES (${1000 + index}, 'a')`,
		]);
	},
});

// Guards against transactions at rest whose callers fill the memory with large statements.
smallCluster.addCrowd('large statements in transactions that stop', {
	count: 60,
	limitMs: 5000,
	async behave(socket, index) {
		await leaveTransaction(socket, index, [
			`SELECT id FROM notes WHERE id = 1 /*${'x'.repeat(smallCluster.mebibyte / 2)}*/`,
		]);
	},
});
