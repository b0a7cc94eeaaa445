import * as perfHooks from 'node:perf_hooks';
import * as timers from 'node:timers/promises';
import tap from 'tap';
import type * as ids from '../common/ids.js';
import type * as types from '../common/types.js';
import type * as consensusTypes from '../common/consensus/types.js';
import * as network from '../common/consensus/fake-network.js';
import type * as control from '../common/control/types.js';
import * as fakeDisk from '../node/storage/fake-disk.js';
import * as logStorage from '../node/storage/log-storage.js';
import type * as node from '../node/types.js';
import * as controlDaemon from './control-daemon.js';
import type * as daemon from './control-types.js';

/** In-memory storage that a test hands to the restarted daemon. */
class MemoryStorage implements consensusTypes.LogStorage<control.ControlCommand> {
	stored = network.makeEmptyStoredLog<control.ControlCommand>();
	isBroken = false;

	async load() {
		return this.stored;
	}

	async write(
		write: consensusTypes.StorageWrite<control.ControlCommand>,
	): Promise<void> {
		await timers.setImmediate();
		if (this.isBroken) {
			throw new Error('no space left');
		}

		this.stored = network.applyWrite(this.stored, structuredClone(write));
	}

	async close() {
		// Nothing to close.
	}
}

/** Delivers messages between the daemons of one test, in memory. */
class PeerNetwork {
	readonly listeners = new Map<ids.PeerId, node.PeerLinkListener>();
	readonly #addresses = new Map<ids.PeerId, string>();

	createLinks(
		self: ids.PeerId,
		listener: node.PeerLinkListener,
	): node.PeerLinks {
		const {listeners} = this;
		const addresses = this.#addresses;
		return {
			async listen(_address, port) {
				listeners.set(self, listener);
				return port;
			},
			connectPeer(peer, address) {
				addresses.set(peer, address);
			},
			watchPeer() {
				// These links are never silent.
			},
			disconnectPeer(peer) {
				addresses.delete(peer);
			},
			resetPeer() {
				// No test resets a link.
			},
			send(to, message) {
				const receiver = addresses.has(to) ? listeners.get(to) : undefined;
				setImmediate(() => {
					receiver?.handleMessage(self, structuredClone(message));
				});
				return receiver !== undefined;
			},
			async dispose() {
				listeners.delete(self);
			},
		};
	}
}

const controlPeers = ['k1', 'k2', 'k3'].map((peer, index) => ({
	peer: peer as ids.PeerId,
	address: `127.0.0.1:${index + 1}`,
}));

type Storage = consensusTypes.LogStorage<control.ControlCommand>;

type Started<Kind extends Storage = MemoryStorage> = {
	readonly daemon: daemon.ControlDaemon;
	readonly storage: Kind;
};

async function startDaemon<Kind extends Storage>(
	peerNetwork: PeerNetwork,
	peer: ids.PeerId,
	storage: Kind,
): Promise<Started<Kind>> {
	const started = await controlDaemon.startControlDaemon(
		{
			peer,
			dataCentre: 'a' as ids.DataCentre,
			address: controlPeers.find((known) => known.peer === peer)!.address,
			controlPeers,
			peerListener: {address: '127.0.0.1', port: 4},
			httpListener: {address: '127.0.0.1', port: 5},
		},
		{
			clock: {
				now: () => perfHooks.performance.now(),
				readWallClock: () => Date.now(),
			},
			logger: {
				write() {
					// The tests do not check the log.
				},
			},
			storage,
			serverClient: {
				async call() {
					return {type: 'failed', message: 'no server'};
				},
				async dispose() {
					// Nothing to close.
				},
			},
			createLinks: (listener) => peerNetwork.createLinks(peer, listener),
			createHttp: () => ({
				listen: async (_address, port) => port,
				async dispose() {
					// Nothing to close.
				},
			}),
			random: network.makeRandom(peer.codePointAt(1) ?? 0),
		},
	);
	return {daemon: started, storage};
}

async function startAll(peerNetwork: PeerNetwork): Promise<Started[]> {
	return Promise.all(
		controlPeers.map(async ({peer}) =>
			startDaemon(peerNetwork, peer, new MemoryStorage()),
		),
	);
}

function makeChange(number: number): types.TemplateChange {
	return {
		member: 'm1' as ids.MemberId,
		text: `; ${number}\n`,
		expectedVersion: number - 1,
		changeId: `c${number}` as ids.ChangeId,
	};
}

async function waitUntil(condition: () => boolean): Promise<void> {
	while (!condition()) {
		await timers.setTimeout(10);
	}
}

async function readHistory(
	source: daemon.ControlDaemon,
): Promise<readonly control.HistoryEntry[]> {
	const result = await source.runQuery({
		type: 'history',
		member: 'm1' as ids.MemberId,
	});
	return result.type === 'history' ? result.history : [];
}

// Guards against events and effects that get lost between the reducer and its adapters, and against
// state that is lost in a restart.
tap.test('three daemons keep accepted changes across a restart', async (t) => {
	const peerNetwork = new PeerNetwork();
	const started = await startAll(peerNetwork);
	t.equal(started[0].daemon.peerPort, 4);
	t.equal(started[0].daemon.httpPort, 5);
	for (const [index, {daemon}] of started.entries()) {
		t.strictSame(await daemon.requestTemplateChange(makeChange(index + 1)), {
			type: 'accepted',
			version: index + 1,
		});
	}

	// Health is updated by ticks of the reducer, and an election may occur on a loaded machine.
	for (
		let poll = 0;
		poll < 200 && !started[1].daemon.readHealth().ready;
		poll++
	) {
		await timers.setTimeout(20);
	}

	t.strictSame(started[1].daemon.readHealth(), {ready: true, reason: 'ready'});
	await Promise.all(started.map(async ({daemon}) => daemon.dispose()));
	const restarted = await Promise.all(
		controlPeers.map(async ({peer}, index) =>
			startDaemon(peerNetwork, peer, started[index].storage),
		),
	);
	t.strictSame(await restarted[2].daemon.requestTemplateChange(makeChange(1)), {
		type: 'accepted',
		version: 1,
	});
	// A follower answers from its own state, which may lag behind the leader's.
	let history = await readHistory(restarted[2].daemon);
	for (let poll = 0; poll < 100 && history.length < 3; poll++) {
		await timers.setTimeout(20);
		history = await readHistory(restarted[2].daemon);
	}

	t.match(history, [{version: 1}, {version: 2}, {version: 3}]);
	await Promise.all(restarted.map(async ({daemon}) => daemon.dispose()));
	t.equal(await restarted[0].daemon.stopped, undefined);
});

// Guards against a daemon that keeps running after its storage failed.
tap.test('a storage failure stops the daemon', async (t) => {
	const peerNetwork = new PeerNetwork();
	const started = await startAll(peerNetwork);
	await started[0].daemon.requestTemplateChange(makeChange(1));
	for (const {storage} of started) {
		storage.isBroken = true;
	}

	const answer = await started[0].daemon.requestTemplateChange(makeChange(2));
	t.strictSame(answer, {type: 'unavailable', mayHaveRun: true});
	const failures = await Promise.race(
		started.map(async ({daemon}) => daemon.stopped),
	);
	t.match(failures, {message: 'no space left'});
	await Promise.all(started.map(async ({daemon}) => daemon.dispose()));
});

// Guards against control processes that end, keep an operator waiting or lose their leader while the disks
// of all of them are full.
tap.test('daemons with full disks stay up and refuse changes', async (t) => {
	const peerNetwork = new PeerNetwork();
	const disks = controlPeers.map(() => new fakeDisk.FakeDisk());
	const started = await Promise.all(
		controlPeers.map(async ({peer}, index) =>
			startDaemon(
				peerNetwork,
				peer,
				await logStorage.openLogStorage<control.ControlCommand, unknown>(
					'/data',
					{skipsLock: true, fileSystem: disks[index]},
				),
			),
		),
	);
	const [{daemon: first}] = started as [Started<Storage>];
	t.match(await first.requestTemplateChange(makeChange(1)), {
		type: 'accepted',
	});
	for (const disk of disks) {
		disk.capacity = disk.usedBytes;
	}

	// The first change meets the full disks; it may take effect once there is space.
	const pending = first.requestTemplateChange(makeChange(2));
	await waitUntil(() =>
		started.every(({daemon}) => daemon.readHealth().reason === 'disk full'),
	);
	// A follower tells the leader with its answer to the next heartbeat.
	await timers.setTimeout(300);
	t.strictSame(await first.requestTemplateChange(makeChange(3)), {
		type: 'unavailable',
		mayHaveRun: false,
		reason: 'storageExhausted',
	});
	for (const disk of disks) {
		disk.capacity = Number.POSITIVE_INFINITY;
	}

	t.strictSame(await pending, {type: 'accepted', version: 2});
	await waitUntil(() => started.every(({daemon}) => daemon.readHealth().ready));
	t.strictSame(await first.requestTemplateChange(makeChange(3)), {
		type: 'accepted',
		version: 3,
	});
	await Promise.all(started.map(async ({daemon}) => daemon.dispose()));
	t.equal(await first.stopped, undefined);
});

// Guards against a drain that never ends, or after which the health check still passes.
tap.test('a drain ends and makes the health check fail', async (t) => {
	const peerNetwork = new PeerNetwork();
	const started = await startAll(peerNetwork);
	await started[1].daemon.requestTemplateChange(makeChange(1));
	await started[1].daemon.drain();
	t.strictSame(started[1].daemon.readHealth(), {
		ready: false,
		reason: 'draining',
	});
	await Promise.all(started.map(async ({daemon}) => daemon.dispose()));
});
