import {Buffer} from 'node:buffer';
import * as net from 'node:net';
import tap, {type Test} from 'tap';
import * as directDriver from '../../bench/direct-driver.js';
import type * as ids from '../../common/ids.js';
import type * as messages from '../../common/messages.js';
import * as frameCodec from './frame-codec.js';
import * as peerLinks from './peer-links.js';
import type * as types from './types.js';

const host = '127.0.0.1';

type Peer = {
	readonly id: ids.PeerId;
	readonly links: peerLinks.FlowControlledPeerLinks;
	readonly address: string;
	readonly received: messages.PeerMessage[];
	/** Link changes as `+peer` and `-peer`. */
	readonly changes: string[];
	readonly logs: string[];
};

function createHello(name: string, incarnation = 1): types.Hello {
	return {
		type: 'hello',
		peer: name as ids.PeerId,
		role: 'proxy',
		incarnation,
		protocol: peerLinks.protocolVersion,
	};
}

async function startPeer(
	t: Test,
	name: string,
	options: Partial<types.PeerLinksOptions> = {},
): Promise<Peer> {
	const received: messages.PeerMessage[] = [];
	const changes: string[] = [];
	const logs: string[] = [];
	const links = peerLinks.createPeerLinks({
		hello: createHello(name),
		clock: directDriver.monotonicClock,
		logger: {
			write(record) {
				logs.push(record.message);
			},
		},
		random: () => 0.5,
		// On a busy test machine, timeouts must not close links.
		limits: {idleTimeoutMs: 60_000, connectTimeoutMs: 60_000},
		listener: {
			handleMessage(_from, message) {
				received.push(message);
			},
			handleLinkChange(peer, up) {
				changes.push(`${up ? '+' : '-'}${peer}`);
			},
		},
		...options,
	});
	const port = await links.listen(host, 0);
	t.teardown(async () => links.dispose());
	return {
		id: name as ids.PeerId,
		links,
		address: `${host}:${port}`,
		received,
		changes,
		logs,
	};
}

const probeMessage: messages.PeerMessage = {
	type: 'notLeader',
	sequence: 1,
	leader: undefined,
};

/** Opens the connection with a first message and waits until it has arrived. */
async function openLink(from: Peer, to: Peer): Promise<void> {
	from.links.connectPeer(to.id, to.address);
	await waitUntil(() => from.changes.length === 1);
	from.links.send(to.id, probeMessage);
	await waitUntil(() => to.received.length === 1);
}

async function waitUntil(check: () => boolean): Promise<void> {
	while (!check()) {
		await new Promise((resolve) => {
			setTimeout(resolve, 2);
		});
	}
}

// Guards against values that encoding changes: bytes, large numbers, Infinity, missing fields.
tap.test('messages arrive unchanged', async (t) => {
	const left = await startPeer(t, 'left');
	const right = await startPeer(t, 'right');
	await openLink(left, right);
	const chunk: messages.PeerMessage = {
		type: 'forwardChunk',
		attempt: 9_007_199_254_740_000 as ids.AttemptId,
		data: new Uint8Array([0, 255, 7]),
	};
	t.ok(left.links.send(right.id, chunk));
	t.ok(
		left.links.send(right.id, {
			type: 'floorAnswer',
			sequence: 3,
			position: {term: 2, offset: 123_456_789_012_345},
		}),
	);
	await waitUntil(() => right.received.length === 3);
	const [, first, second] = right.received;
	t.ok(first.type === 'forwardChunk' && first.data instanceof Uint8Array);
	t.strictSame(
		first.type === 'forwardChunk' && [first.attempt, ...first.data],
		[chunk.attempt, 0, 255, 7],
	);
	t.strictSame(second, {
		type: 'floorAnswer',
		sequence: 3,
		position: {term: 2, offset: 123_456_789_012_345},
	});
	const report: Partial<messages.ServerReport> = {stalenessMs: Infinity};
	t.strictSame(
		frameCodec
			.decodePayload(
				frameCodec
					.encodeFrame({
						type: 'serverReports',
						reports: [report as messages.ServerReport],
					})
					.subarray(frameCodec.prefixBytes),
			)
			._unsafeUnwrap(),
		{type: 'serverReports', reports: [{stalenessMs: Infinity}]},
	);
});

// Guards against a link that stays down after the peer has restarted at the same address.
tap.test('a link reconnects after the peer has restarted', async (t) => {
	const left = await startPeer(t, 'left');
	const right = await startPeer(t, 'right');
	await openLink(left, right);
	await right.links.dispose();
	await waitUntil(() => left.changes.length === 2);
	t.notOk(left.links.send(right.id, probeMessage));
	const port = Number(right.address.split(':')[1]);
	const restartedLinks = peerLinks.createPeerLinks({
		hello: createHello('right'),
		clock: directDriver.monotonicClock,
		logger: {write: () => undefined},
		random: () => 0.5,
		listener: {
			handleMessage: () => undefined,
			handleLinkChange: () => undefined,
		},
	});
	await restartedLinks.listen(host, port);
	t.teardown(async () => restartedLinks.dispose());
	await waitUntil(() => left.changes.length === 3);
	t.strictSame(left.changes, ['+right', '-right', '+right']);
});

// Guards against half-open connections, and against peers that accept but never answer.
tap.test('an idle link is closed and reconnected', async (t) => {
	let connectionCount = 0;
	let hasAnsweredHello = false;
	const silentServer = net.createServer((socket) => {
		connectionCount++;
		socket.on('error', () => undefined);
		socket.once('data', () => {
			socket.write(frameCodec.encodeFrame(createHello('mute')));
			hasAnsweredHello = true;
		});
	});
	await new Promise<void>((resolve) => {
		silentServer.listen(0, host, resolve);
	});
	t.teardown(() => silentServer.close());
	const left = await startPeer(t, 'left', {limits: {}});
	const {port} = silentServer.address() as net.AddressInfo;
	left.links.connectPeer('mute' as ids.PeerId, `${host}:${port}`);
	await waitUntil(() => left.changes.length === 1);
	left.links.watchPeer('mute' as ids.PeerId, true);
	await waitUntil(() => hasAnsweredHello && connectionCount >= 2);
	t.strictSame(left.changes.slice(0, 2), ['+mute', '-mute']);
	t.match(left.logs[0], /silent/v);
	left.links.disconnectPeer('mute' as ids.PeerId);
});

// Guards against a process that, after a suspension, keeps using a link that the peer has closed.
tap.test('a link is replaced after the process was suspended', async (t) => {
	let skippedMs = 0;
	const left = await startPeer(t, 'left', {
		clock: {
			now: () => directDriver.monotonicClock.now() + skippedMs,
			readWallClock: () => 0,
		},
	});
	const right = await startPeer(t, 'right');
	await openLink(left, right);
	skippedMs = 100_000;
	await waitUntil(() => left.changes.length === 3);
	t.strictSame(left.changes, ['+right', '-right', '+right']);
});

// Guards against memory that grows without bound when a peer stops reading.
tap.test('a full send buffer closes the link', async (t) => {
	const sockets: net.Socket[] = [];
	const stalledServer = net.createServer((socket) => {
		sockets.push(socket);
		socket.on('error', () => undefined);
		socket.once('data', () => {
			socket.write(frameCodec.encodeFrame(createHello('deaf')));
			socket.pause();
		});
	});
	await new Promise<void>((resolve) => {
		stalledServer.listen(0, host, resolve);
	});
	t.teardown(() => {
		stalledServer.close();
		for (const socket of sockets) {
			socket.destroy();
		}
	});
	const left = await startPeer(t, 'left', {
		limits: {
			sendBufferBytes: 1_000_000,
			congestionBytes: 100_000,
			idleTimeoutMs: 60_000,
		},
	});
	const peer = 'deaf' as ids.PeerId;
	const {port} = stalledServer.address() as net.AddressInfo;
	left.links.connectPeer(peer, `${host}:${port}`);
	await waitUntil(() => left.changes.length === 1);
	left.links.watchPeer(peer, true);
	await waitUntil(() => sockets.some((socket) => socket.isPaused()));
	// A chunk, unlike a request, is accepted only once the connection is in use.
	await waitUntil(() =>
		left.links.send(peer, {
			type: 'forwardChunk',
			attempt: 1 as ids.AttemptId,
			data: new Uint8Array(1),
		}),
	);
	const data = new Uint8Array(90_000);
	let sent = 0;
	let wasCongested = false;
	while (
		left.links.send(peer, {
			type: 'forwardChunk',
			attempt: 1 as ids.AttemptId,
			data,
		})
	) {
		sent++;
		wasCongested ||= left.links.isCongested(peer);
	}

	t.ok(wasCongested, 'producers are asked to pause first');
	t.ok(sent >= 10 && sent <= 12, 'the link closes at the configured limit');
	t.strictSame(left.changes, ['+deaf', '-deaf']);
	t.match(left.logs[0], /does not read/v);
});

// Guards against one message above the frame limit that closes the link for all others.
tap.test('an oversized message is dropped, the link stays up', async (t) => {
	const limits = {frameBytes: 1000, idleTimeoutMs: 60_000};
	const left = await startPeer(t, 'left', {limits});
	const right = await startPeer(t, 'right', {limits});
	await openLink(left, right);
	const attempt = 1 as ids.AttemptId;
	const large = new Uint8Array(1000);
	t.notOk(
		left.links.send(right.id, {type: 'forwardChunk', attempt, data: large}),
	);
	t.ok(left.links.send(right.id, {type: 'forwardCancel', attempt}));
	await waitUntil(() => right.received.length === 2);
	t.strictSame(left.changes, ['+right']);
	t.match(left.logs, [/frame limit/v]);
});

// Guards against a frame that declares a huge size, a peer that skips hello, and invalid CBOR.
tap.test('invalid frames close the connection', async (t) => {
	const right = await startPeer(t, 'right');
	const {port} = {port: Number(right.address.split(':')[1])};
	const invalidStarts = [
		Buffer.from([255, 255, 255, 255]),
		frameCodec.encodeFrame({type: 'linkPing', sequence: 1}),
		Buffer.from([0, 0, 0, 2, 0xff, 0xff]),
		Buffer.concat([
			frameCodec.encodeFrame(createHello('stranger')),
			frameCodec.encodeFrame({
				type: 'noSuchMessage',
			} as unknown as messages.PeerMessage),
		]),
	];
	for (const invalidStart of invalidStarts) {
		const socket = net.connect(port, host);
		socket.write(invalidStart);
		socket.resume();
		await new Promise((resolve) => {
			socket.once('close', resolve);
			socket.on('error', () => undefined);
		});
	}

	t.strictSame(right.received, []);
});

// Guards against a second connection for the answers, which would double the cost of each peer.
tap.test('both sides of a link send on one connection', async (t) => {
	const left = await startPeer(t, 'left');
	const right = await startPeer(t, 'right');
	let connectionCount = 0;
	const relay = net.createServer((socket) => {
		connectionCount++;
		const {port} = {port: Number(right.address.split(':')[1])};
		const onward = net.connect(port, host);
		socket.pipe(onward).pipe(socket);
		socket.on('error', () => undefined);
		onward.on('error', () => undefined);
	});
	await new Promise<void>((resolve) => {
		relay.listen(0, host, resolve);
	});
	t.teardown(() => relay.close());
	const {port} = relay.address() as net.AddressInfo;
	await openLink(left, {...right, address: `${host}:${port}`});
	t.strictSame(right.changes, ['+left'], 'the accepted peer is reachable');
	right.links.connectPeer(left.id, left.address);
	t.ok(right.links.send(left.id, probeMessage));
	await waitUntil(() => left.received.length === 1);
	t.equal(connectionCount, 1);
});

/**
 * Opens a connection from a silent peer to `left`, which already sends on another one, and returns its
 * socket once `left` has answered the hello.
 */
async function openSecondConnection(
	t: Test,
	left: Peer,
	incarnation?: number,
): Promise<net.Socket> {
	const hello = createHello('right', incarnation);
	let first: net.Socket | undefined;
	const silentServer = net.createServer((socket) => {
		first = socket;
		socket.on('error', () => undefined);
		socket.once('data', () => {
			socket.write(frameCodec.encodeFrame(createHello('right')));
		});
	});
	await new Promise<void>((resolve) => {
		silentServer.listen(0, host, resolve);
	});
	t.teardown(() => silentServer.close());
	const {port} = silentServer.address() as net.AddressInfo;
	left.links.connectPeer(hello.peer, `${host}:${port}`);
	await waitUntil(() => left.changes.length === 1);
	left.links.send(hello.peer, probeMessage);
	const helloBytes = frameCodec.encodeFrame(createHello('left')).length;
	await waitUntil(() => (first?.bytesRead ?? 0) > helloBytes);
	const [leftHost, leftPort] = left.address.split(':');
	const second = net.connect(Number(leftPort), leftHost);
	t.teardown(() => second.destroy());
	second.write(frameCodec.encodeFrame(hello));
	await waitUntil(() => second.bytesRead > 0);
	return second;
}

// Guards against a link whose loss only one side reports, when both had opened a connection and each
// sent on its own: the other side would keep the transactions and requests that the first has given up.
tap.test('the end of the connection of the peer ends the link', async (t) => {
	const left = await startPeer(t, 'left');
	const second = await openSecondConnection(t, left);
	second.write(frameCodec.encodeFrame(probeMessage));
	await waitUntil(() => left.received.length === 1);
	second.destroy();
	await waitUntil(() => left.changes.length > 1);
	t.equal(left.changes[1], '-right');
});

// Guards against messages that are lost because a spare connection has ended.
tap.test('the end of an unused connection is no loss', async (t) => {
	const left = await startPeer(t, 'left');
	const second = await openSecondConnection(t, left);
	second.destroy();
	await new Promise((resolve) => {
		setTimeout(resolve, 50);
	});
	t.strictSame(left.changes, ['+right']);
});

// Guards against a peer that restarted with its clock set back and whose new instance is taken for the
// earlier one, which keeps that one's transactions.
tap.test('a lower incarnation is another instance too', async (t) => {
	const left = await startPeer(t, 'left');
	await openSecondConnection(t, left, 0);
	t.strictSame(left.changes, ['+right', '-right', '+right']);
});

// Guards against connections to all peers at the start of a large fleet.
tap.test('a known peer is connected by the first message', async (t) => {
	const left = await startPeer(t, 'left');
	let connectionCount = 0;
	const server = net.createServer((socket) => {
		connectionCount++;
		socket.destroy();
	});
	await new Promise<void>((resolve) => {
		server.listen(0, host, resolve);
	});
	t.teardown(() => server.close());
	const {port} = server.address() as net.AddressInfo;
	left.links.connectPeer('right' as ids.PeerId, `${host}:${port}`);
	await waitUntil(() => left.changes.length === 1);
	t.equal(connectionCount, 0);
	left.links.send('right' as ids.PeerId, probeMessage);
	await waitUntil(() => connectionCount > 0);
});

// Guards against a request that was never sent and is reported to its caller as possibly run.
tap.test('messages without a connection are handed back', async (t) => {
	const unsent: messages.PeerMessage[] = [];
	const changes: string[] = [];
	const left = await startPeer(t, 'left', {
		listener: {
			handleMessage: () => undefined,
			handleLinkChange(peer, up) {
				changes.push(`${up ? '+' : '-'}${peer}`);
			},
			handleUnsentMessage(_peer, message) {
				unsent.push(message);
				changes.push('unsent');
			},
		},
	});
	left.links.connectPeer('gone' as ids.PeerId, `${host}:1`);
	await waitUntil(() => changes.length === 1);
	t.ok(left.links.send('gone' as ids.PeerId, probeMessage));
	await waitUntil(() => changes.length === 3);
	t.strictSame(unsent, [probeMessage]);
	t.strictSame(changes, ['+gone', 'unsent', '-gone']);
	t.notOk(left.links.send('gone' as ids.PeerId, probeMessage));
});

// Guards against answers that are lost on the connection of an instance that has died silently.
tap.test('a restarted peer gets answers on its new connection', async (t) => {
	const left = await startPeer(t, 'left');
	const oldSockets: net.Socket[] = [];
	const silentServer = net.createServer((socket) => {
		oldSockets.push(socket);
		socket.on('error', () => undefined);
		socket.once('data', () => {
			socket.write(frameCodec.encodeFrame(createHello('right')));
		});
	});
	await new Promise<void>((resolve) => {
		silentServer.listen(0, host, resolve);
	});
	t.teardown(() => silentServer.close());
	const {port} = silentServer.address() as net.AddressInfo;
	left.links.connectPeer('right' as ids.PeerId, `${host}:${port}`);
	await waitUntil(() => left.changes.length === 1);
	left.links.send('right' as ids.PeerId, probeMessage);
	await waitUntil(() => (oldSockets[0]?.bytesRead ?? 0) > 50);
	const restarted = await startPeer(t, 'right', {
		hello: createHello('right', 2),
	});
	restarted.links.connectPeer(left.id, left.address);
	await waitUntil(() => restarted.changes.length === 1);
	restarted.links.send(left.id, probeMessage);
	await waitUntil(() => left.received.length === 1);
	t.ok(left.links.send('right' as ids.PeerId, probeMessage));
	await waitUntil(() => restarted.received.length === 1);
	t.strictSame(left.changes, ['+right', '-right', '+right']);
});

// Guards against two versions that misread each other's messages, and against silence about it.
tap.test('another protocol version is refused with a log line', async (t) => {
	const left = await startPeer(t, 'left', {
		hello: {...createHello('left'), protocol: 1},
	});
	const right = await startPeer(t, 'right');
	left.links.connectPeer(right.id, right.address);
	await waitUntil(() => left.changes.length === 1);
	left.links.send(right.id, probeMessage);
	await waitUntil(() => left.logs.length > 0 && right.logs.length > 0);
	t.match(left.logs[0], /protocol 5/v);
	t.match(right.logs[0], /protocol 1, this process 5/v);
	t.strictSame(right.received, []);
});
