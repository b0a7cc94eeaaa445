/**
 * Crowds of PostgreSQL callers that do not read their answers or fill their sessions.
 */
import {Buffer} from 'node:buffer';
import tap from 'tap';
import * as messages from '../node/wire/messages.js';
import * as callerMessages from './caller-messages.js';
import * as crowds from './crowd.js';
import * as smallCluster from './small-cluster.js';

const {mebibyte} = smallCluster;

tap.before(smallCluster.startCluster);

// Guards against answers of the proxy itself that pile up for a caller that does not read.
smallCluster.addCrowd('statements sent ahead without reading answers', {
	count: 8,
	limitMs: 5000,
	async behave(socket) {
		await callerMessages.sendStartup(socket);
		const batch = Buffer.concat(
			Array.from({length: 1000}, () =>
				callerMessages.buildQuery('SHOW hemlockarch.rank'),
			),
		);
		for (let sent = 0; sent < 300; sent++) {
			await crowds.writeAll(socket, batch);
		}

		await crowds.waitForever();
	},
});

// Guards against results that are buffered for callers that do not read.
smallCluster.addCrowd('large results that nobody reads', {
	count: 24,
	limitMs: 5000,
	async behave(socket) {
		await callerMessages.sendStartup(socket);
		const query = callerMessages.buildQuery(
			'SELECT body FROM notes WHERE id = 2',
		);
		for (let sent = 0; sent < 40; sent++) {
			await crowds.writeAll(socket, query);
		}

		await crowds.waitForever();
	},
});

// Guards against prepared statements that many sessions keep.
smallCluster.addCrowd('prepared statements without end', {
	count: 60,
	limitMs: 5000,
	async behave(socket) {
		socket.resume();
		await callerMessages.sendStartup(socket);
		for (let sent = 0; sent < 40; sent++) {
			const sql = `SELECT 1 /*${sent}${'x'.repeat(mebibyte / 4)}*/`;
			await crowds.writeAll(
				socket,
				Buffer.concat([
					callerMessages.buildParse(`s${sent}`, sql),
					messages.buildMessage(0x53, []),
				]),
			);
		}

		await crowds.waitForever();
	},
});
