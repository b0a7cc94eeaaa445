import tap from 'tap';
import type * as ids from '../ids.js';
import * as random from '../random.js';
import * as membership from './membership.js';
import type * as types from './types.js';

const hopMs = 1;
const tickMs = 100;

/** Peers whose messages arrive after `hopMs`, unless the network is cut. */
class Network {
	sent = 0;
	/** Deltas in full exchanges. */
	exchangedDeltas = 0;
	isCut = false;
	now = 0;
	readonly #inFlight: Array<{
		readonly at: number;
		readonly from: ids.PeerId;
		readonly to: ids.PeerId;
		readonly message: types.MembershipMessage;
	}> = [];

	readonly #peers = new Map<ids.PeerId, membership.Membership>();

	constructor(count: number) {
		const names = Array.from(
			{length: count},
			(_, index) => `p${index}` as ids.PeerId,
		);
		for (const name of names) {
			this.#peers.set(name, this.#createPeer(name));
		}

		// They learn of each other as from a control peer.
		for (const peer of this.#peers.values()) {
			peer.handleMessage(
				names[0],
				{
					type: 'sync',
					reply: false,
					deltas: names.map((name) => ({
						type: 'peer',
						state: {...buildIdentity(name), condition: 'alive'},
					})),
				},
				0,
			);
		}
	}

	run(durationMs: number): void {
		const end = this.now + durationMs;
		for (; this.now < end; this.now++) {
			if (this.now % tickMs === 0) {
				for (const peer of this.#peers.values()) {
					peer.handleTick(this.now);
				}
			}

			for (
				let next = this.#inFlight[0];
				next !== undefined && next.at <= this.now;
				next = this.#inFlight[0]
			) {
				this.#inFlight.shift();
				this.#peers
					.get(next.to)!
					.handleMessage(next.from, next.message, this.now);
			}
		}
	}

	/** Delivers a probe of each peer to the next one, sent before the peers gave each other up. */
	deliverLateProbes(): void {
		const names = [...this.#peers.keys()];
		for (const [index, name] of names.entries()) {
			this.#inFlight.push({
				at: this.now,
				from: name,
				to: names[(index + 1) % names.length],
				message: {type: 'ping', sequence: 1_000_000, deltas: []},
			});
		}
	}

	listMemberships(): membership.Membership[] {
		return [...this.#peers.values()];
	}

	/** Counts the pairs in which one peer does not consider the other one alive. */
	countDisagreements(): number {
		let count = 0;
		for (const peer of this.#peers.values()) {
			for (const {condition} of peer.listPeers()) {
				count += condition === 'alive' ? 0 : 1;
			}
		}

		return count;
	}

	#createPeer(name: ids.PeerId): membership.Membership {
		return new membership.Membership({
			self: buildIdentity(name),
			random: random.createRandom(Number(name.slice(1)) + 1),
			send: (to, message) => {
				this.sent++;
				this.exchangedDeltas +=
					message.type === 'sync' ? message.deltas.length : 0;
				if (!this.isCut) {
					this.#inFlight.push({at: this.now + hopMs, from: name, to, message});
				}

				return true;
			},
			listener: {
				handlePeerChange: () => undefined,
				handleDeadPeerMessage: () => undefined,
				handleAnnouncement: () => false,
				handleTemplateVersion: () => undefined,
				listDeltas: () => [],
			},
		});
	}
}

function buildIdentity(name: ids.PeerId): Omit<types.PeerState, 'condition'> {
	return {
		peer: name,
		role: 'proxy',
		address: name,
		dataCentre: 'a' as ids.DataCentre,
		incarnation: 1,
	};
}

/** Cuts all peers off from each other until each considers the others dead, and heals the network. */
function createHealedNetwork(count: number): Network {
	const network = new Network(count);
	network.run(1000);
	network.isCut = true;
	network.run(5000 + count * 600);
	network.isCut = false;
	return network;
}

// Guards against peers that consider each other dead and answer each message of the other one with
// that news, without end, which keeps both from any other work.
tap.test('peers that consider each other dead do not loop', async (t) => {
	for (const count of [2, 7, 32]) {
		const network = createHealedNetwork(count);
		t.equal(network.countDisagreements(), count * (count - 1));
		network.sent = 0;
		network.deliverLateProbes();
		network.run(1000);
		t.ok(
			network.sent <= count * 24,
			`${network.sent} messages of ${count} peers in a second`,
		);
		network.run(10_000);
		t.equal(network.countDisagreements(), 0, `${count} peers agree again`);
	}
});

// Guards against reads that cross regions because most owners were not probed yet: with 74 peers, a
// round of probes takes 37 s.
tap.test('one probe tells how far its data centre is', async (t) => {
	const network = new Network(3);
	network.run(400);
	const [peer] = network.listMemberships();
	t.equal(peer.getRoundTrip('p1' as ids.PeerId), 2 * hopMs);
	t.equal(peer.getRoundTrip('p2' as ids.PeerId), 2 * hopMs);
});

// Guards against exchanges that send the whole view to peers that have it: most of the bytes of a
// fleet's start, and twice as many for each process with every doubling of the fleet.
tap.test('peers with equal views exchange only themselves', async (t) => {
	const count = 32;
	const network = new Network(count);
	network.run(10_000);
	const rounds = 4;
	t.ok(
		network.exchangedDeltas <= count * rounds,
		`${network.exchangedDeltas} deltas`,
	);
});
