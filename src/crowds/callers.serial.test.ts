/**
 * Crowds of misbehaving PostgreSQL callers.
 */
import {Buffer} from 'node:buffer';
import tap from 'tap';
import * as callerMessages from './caller-messages.js';
import * as crowds from './crowd.js';
import * as smallCluster from './small-cluster.js';

const {mebibyte} = smallCluster;

tap.before(smallCluster.startCluster);

// Guards against limits that refuse what the pages allow.
tap.test('one message of 1 MiB is served', async (t) => {
	const body = 'y'.repeat(mebibyte - 200);
	await smallCluster.runStatement(
		`INSERT INTO notes (id, body) VALUES (3, '${body}')`,
	);
	const [row] = await smallCluster.runStatement(
		'SELECT body FROM notes WHERE id = 3',
	);
	t.equal((row as {body: string}).body.length, body.length);
});

// Guards against input buffers without a common bound.
smallCluster.addCrowd('large messages that stop before their end', {
	count: 140,
	limitMs: 4000,
	async behave(socket) {
		await callerMessages.sendStartup(socket);
		for (let sent = 0; sent < 3; sent++) {
			await crowds.writeAll(socket, callerMessages.largeQuery);
		}

		await crowds.writeAll(socket, callerMessages.largeQuery.subarray(0, -1));
		await crowds.waitForever();
	},
});

// Guards against an overhead that grows with the number of pieces.
smallCluster.addCrowd('large messages in small pieces', {
	count: 140,
	limitMs: 8000,
	async behave(socket) {
		await callerMessages.sendStartup(socket);
		await crowds.writeAll(
			socket,
			callerMessages.largeQuery.subarray(0, -1),
			2048,
		);
		await crowds.waitForever();
	},
});

// Guards against buffering a message because its declared length is allowed.
smallCluster.addCrowd('declared messages of 50 MiB', {
	count: 16,
	limitMs: 4000,
	async behave(socket) {
		await callerMessages.sendStartup(socket);
		await crowds.writeAll(
			socket,
			callerMessages.buildHeader(0x51, 50 * mebibyte),
		);
		await crowds.writeAll(socket, Buffer.alloc(30 * mebibyte, 'x'), mebibyte);
		await crowds.waitForever();
	},
});

// Guards against frames that are collected without a bound while no Sync arrives.
smallCluster.addCrowd('sequences that no Sync ends', {
	count: 16,
	limitMs: 4000,
	async behave(socket) {
		await callerMessages.sendStartup(socket);
		const parse = callerMessages.buildParse(
			'',
			`SELECT 1 /*${'x'.repeat(mebibyte / 2)}*/`,
		);
		for (let sent = 0; sent < 60; sent++) {
			await crowds.writeAll(socket, parse);
		}

		await crowds.waitForever();
	},
});
