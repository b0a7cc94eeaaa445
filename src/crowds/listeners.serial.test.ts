/**
 * Crowds that stop before a request is complete, at every listener of the processes.
 */
import {Buffer} from 'node:buffer';
import tap from 'tap';
import * as callerMessages from './caller-messages.js';
import * as crowds from './crowd.js';
import * as smallCluster from './small-cluster.js';

const {mebibyte} = smallCluster;

tap.before(smallCluster.startCluster);

// Guards against connections without a startup that are not counted.
smallCluster.addCrowd('connections that stop half-way in the startup', {
	count: 400,
	limitMs: 3000,
	async behave(socket, index) {
		await crowds.writeAll(
			socket,
			callerMessages.startup.subarray(0, index % 8),
		);
		await crowds.waitForever();
	},
});

// Guards against descriptors and state that remain after connections end.
smallCluster.addCrowd('connections opened and closed in a storm', {
	count: 1500,
	limitMs: 5000,
	async behave(socket, index) {
		if (index % 2 === 0) {
			await callerMessages.sendStartup(socket);
		}

		socket.destroy();
	},
});

// Guards against request bodies of many connections without a common bound.
smallCluster.addCrowd('HTTP bodies that stop before their end', {
	target: ['proxy-1', 'http'],
	count: 300,
	limitMs: 4000,
	async behave(socket) {
		const head =
			'POST /announce HTTP/1.1\r\nHost: a\r\nContent-Length: 262144\r\n\r\n';
		await crowds.writeAll(socket, Buffer.from(head));
		await crowds.writeAll(socket, Buffer.alloc(262_143, ' '));
		await crowds.waitForever();
	},
});

// Guards against operators' connections that are opened and left.
smallCluster.addCrowd('HTTP headers that stop half-way', {
	target: ['proxy-1', 'http'],
	count: 400,
	limitMs: 3000,
	async behave(socket) {
		await crowds.writeAll(socket, Buffer.from('GET /status HTTP/1.1\r\nHo'));
		await crowds.waitForever();
	},
});

for (const name of ['proxy-1', 'control-1']) {
	// Guards against strangers that make a process buffer large frames of the peer protocol.
	smallCluster.addCrowd(`frames of strangers at the peer port of ${name}`, {
		target: [name, 'peers'],
		count: 24,
		limitMs: 4000,
		async behave(socket) {
			const prefix = Buffer.alloc(4);
			prefix.writeUInt32BE(60 * mebibyte);
			await crowds.writeAll(socket, prefix);
			await crowds.writeAll(socket, Buffer.alloc(32 * mebibyte, 'x'), mebibyte);
			await crowds.waitForever();
		},
	});
}
