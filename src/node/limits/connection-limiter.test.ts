import {once} from 'node:events';
import * as net from 'node:net';
import tap from 'tap';
import * as connectionLimiter from './connection-limiter.js';
import type * as resourceLimits from './types.js';

function createSockets(count: number): net.Socket[] {
	return Array.from({length: count}, () => new net.Socket());
}

// Guards against clients without a first message that keep ordinary callers out.
tap.test('half-open connections give way, the oldest first', async (t) => {
	const reports: resourceLimits.LimitReport[] = [];
	const limiter = new connectionLimiter.ConnectionLimiter('a', 4, (report) => {
		reports.push(report);
	});
	const sockets = createSockets(6);
	limiter.add(sockets[0]);
	limiter.markOpen(sockets[0]);
	for (const socket of sockets.slice(1, 4)) {
		t.ok(limiter.add(socket));
	}

	t.same(
		sockets.map(({destroyed}) => destroyed),
		[false, true, false, false, false, false],
	);
	limiter.markOpen(sockets[2]);
	limiter.add(sockets[4]);
	limiter.add(sockets[5]);
	t.ok(sockets[3].destroyed);
	t.match(reports, [{limit: 'HalfOpenConnections'}, {limit: 'Connections'}]);
});

// Guards against open connections that are closed for a new one, and against slots that are not freed.
tap.test('a new connection is refused when all are open', async (t) => {
	const limiter = new connectionLimiter.ConnectionLimiter(
		'a',
		2,
		() => undefined,
	);
	const sockets = createSockets(4);
	for (const socket of sockets.slice(0, 2)) {
		limiter.add(socket);
		limiter.markOpen(socket);
	}

	t.notOk(limiter.add(sockets[2]));
	t.ok(sockets[2].destroyed);
	sockets[0].destroy();
	await once(sockets[0], 'close');
	t.ok(limiter.add(sockets[3]));
});
