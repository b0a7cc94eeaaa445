/**
 * Crowds of PostgreSQL callers that send more messages than bytes.
 */
import {Buffer} from 'node:buffer';
import tap from 'tap';
import * as messages from '../node/wire/messages.js';
import * as callerMessages from './caller-messages.js';
import * as crowds from './crowd.js';
import * as smallCluster from './small-cluster.js';

tap.before(smallCluster.startCluster);

// Guards against an overhead for each message that the memory budget does not count.
smallCluster.addCrowd('small messages that no Sync ends', {
	count: 24,
	limitMs: 5000,
	async behave(socket) {
		await callerMessages.sendStartup(socket);
		const execute = messages.buildMessage(messages.messageTypes.execute, [
			'\0\0\0\0\0',
		]);
		const batch = Buffer.concat(Array.from({length: 6000}, () => execute));
		for (let sent = 0; sent < 60; sent++) {
			await crowds.writeAll(socket, batch);
		}

		await crowds.waitForever();
	},
});

// Guards against an overhead for each queued statement that the memory budget does not count.
smallCluster.addCrowd('small statements sent ahead', {
	count: 140,
	limitMs: 5000,
	async behave(socket) {
		await callerMessages.sendStartup(socket);
		const batch = Buffer.concat(
			Array.from({length: 9000}, () => callerMessages.buildQuery(';')),
		);
		for (let sent = 0; sent < 10; sent++) {
			await crowds.writeAll(socket, batch);
		}

		await crowds.waitForever();
	},
});
