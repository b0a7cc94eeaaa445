import tap from 'tap';
import type * as ids from '../ids.js';
import * as context from './context.js';
import type * as owner from './owner.js';
import * as owned from './owned-server.js';
import * as reportPublisher from './report-publisher.js';

const group = 'g1' as ids.GroupId;
const entry = 'p2' as ids.PeerId;
const renewalMs = 24_000;

/** The publisher of an owner with one subscribed entry whose link is up. */
class PublisherHarness {
	readonly publisher: reportPublisher.ReportPublisher;
	readonly #servers = new Map<ids.UpstreamId, owned.OwnedServer>();
	readonly #context = new context.ProxyContext(
		{
			peer: 'p1' as ids.PeerId,
			controlPeers: [],
		} as unknown as context.ProxyConfig,
		{readFloat: () => 0.5} as ConstructorParameters<
			typeof context.ProxyContext
		>[1],
	);

	constructor() {
		this.#context.setLink(entry, true);
		this.publisher = new reportPublisher.ReportPublisher(this.#context, {
			servers: this.#servers,
			rules: {computeStaleness: () => 0, isWritable: () => false},
		} as unknown as owner.Owner);
	}

	addServer(): void {
		const id = 's1' as ids.UpstreamId;
		const server = new owned.OwnedServer(
			id,
			group,
			{consensusTerm: 1, counter: 1},
			{
				group,
				server: id,
				address: '127.0.0.1:1',
				dataCentre: 'dc1' as ids.DataCentre,
				role: 'replica',
				term: 1,
				position: 0,
				slots: 3,
				connectionLimit: 25,
				departing: false,
				startedAt: 0,
			},
			{estimateWait: () => 0} as unknown as ConstructorParameters<
				typeof owned.OwnedServer
			>[4],
		);
		this.#servers.set(id, server);
	}

	subscribe(peer: ids.PeerId): void {
		this.#context.setLink(peer, true);
		this.publisher.handleSubscribe(peer, group);
	}

	removeServer(): void {
		this.#servers.clear();
	}

	/** Runs a step and a tick some time later; returns the number of reports to the entry. */
	countReports(stepMs: number, run: () => void = () => undefined): number {
		this.#context.now += stepMs;
		run();
		this.publisher.handleTick();
		return this.#context
			.takeEffects()
			.filter(
				(effect) =>
					effect.type === 'sendPeer' && effect.message.type === 'serverReports',
			).length;
	}
}

// Guards against an entry that routes by old reports after it has lost the link to an owner.
tap.test(
	'an entry that subscribes after a lost link is answered',
	async (t) => {
		const harness = new PublisherHarness();
		harness.addServer();
		const subscribe = () => {
			harness.publisher.handleSubscribe(entry, group);
		};

		harness.countReports(1000, subscribe);
		t.equal(harness.countReports(1, subscribe), 0, 'a renewal is not answered');
		harness.publisher.handleLinkDown(entry);
		t.equal(harness.countReports(1, subscribe), 1);
	},
);

// Guards against an entry that gets no reports on a server that its owner has lost and regained.
tap.test('a regained server is reported to its subscribers', async (t) => {
	const harness = new PublisherHarness();
	harness.addServer();
	harness.countReports(1000, () => {
		harness.publisher.handleSubscribe(entry, group);
	});
	harness.removeServer();
	t.equal(harness.countReports(1000), 0);
	harness.addServer();
	t.equal(harness.countReports(1000), 1);
});

// Guards against reports to entries that have not used a group for a long time, and against a
// subscription that ends before it is renewed.
tap.test('a subscription ends when it is not renewed', async (t) => {
	const harness = new PublisherHarness();
	harness.addServer();
	harness.countReports(1000, () => {
		harness.publisher.handleSubscribe(entry, group);
	});
	t.equal(harness.countReports(2 * renewalMs), 1);
	t.equal(harness.countReports(2 * renewalMs), 0);
});

// Guards against entries that count the reports as overdue, and read in other regions, because more
// entries have subscribed since they were told when the next report comes.
tap.test('a report comes when the last one said so', async (t) => {
	const harness = new PublisherHarness();
	harness.addServer();
	harness.countReports(1000, () => {
		harness.subscribe(entry);
	});
	harness.countReports(0, () => {
		for (let index = 0; index < 60; index++) {
			harness.subscribe(`p${index + 10}` as ids.PeerId);
		}
	});
	t.equal(harness.countReports(200), 61);
	t.equal(harness.countReports(200), 0, 'then with the longer interval');
});
