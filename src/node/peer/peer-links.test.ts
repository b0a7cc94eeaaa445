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

function createHello(name: string): types.Hello {
	return {
		type: 'hello',
		peer: name as ids.PeerId,
		role: 'proxy',
		incarnation: 1,
		protocol: 1,
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
			handleHello: () => undefined,
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
	left.links.connectPeer(right.id, right.address);
	await waitUntil(() => left.changes.length === 1);
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
	t.notOk(right.links.send(left.id, chunk), 'no link in that direction');
	await waitUntil(() => right.received.length === 2);
	const [first, second] = right.received;
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
	left.links.connectPeer(right.id, right.address);
	await waitUntil(() => left.changes.length === 1);
	await right.links.dispose();
	await waitUntil(() => left.changes.length === 2);
	t.notOk(
		left.links.send(right.id, {
			type: 'notLeader',
			sequence: 1,
			leader: undefined,
		}),
	);
	const port = Number(right.address.split(':')[1]);
	const restartedLinks = peerLinks.createPeerLinks({
		hello: createHello('right'),
		clock: directDriver.monotonicClock,
		logger: {write: () => undefined},
		random: () => 0.5,
		listener: {
			handleMessage: () => undefined,
			handleLinkChange: () => undefined,
			handleHello: () => undefined,
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
	left.links.connectPeer(right.id, right.address);
	await waitUntil(() => left.changes.length === 1);
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
	left.links.connectPeer(right.id, right.address);
	await waitUntil(() => left.changes.length === 1);
	const attempt = 1 as ids.AttemptId;
	const large = new Uint8Array(1000);
	t.notOk(
		left.links.send(right.id, {type: 'forwardChunk', attempt, data: large}),
	);
	t.ok(left.links.send(right.id, {type: 'forwardCancel', attempt}));
	await waitUntil(() => right.received.length === 1);
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
	];
	for (const invalidStart of invalidStarts) {
		const socket = net.connect(port, host);
		socket.write(invalidStart);
		await new Promise((resolve) => {
			socket.once('close', resolve);
			socket.on('error', () => undefined);
		});
	}

	t.strictSame(right.received, []);
});
