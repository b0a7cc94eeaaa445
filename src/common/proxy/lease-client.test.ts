import tap from 'tap';
import type * as ids from '../ids.js';
import * as random from '../random.js';
import * as context from './context.js';
import * as leaseClient from './lease-client.js';

const [k1, k2] = ['k1', 'k2'] as ids.PeerId[];

function createClient(seed = 1) {
	const shared = new context.ProxyContext(
		{
			peer: 'p1' as ids.PeerId,
			vm: 'v1' as ids.VmId,
			address: 'p1',
			dataCentre: 'a' as ids.DataCentre,
			incarnation: 1,
			controlPeers: [],
			drainDeadlineMs: 5000,
			maxSessions: 10,
		},
		random.createRandom(seed),
	);
	const client = new leaseClient.LeaseClient(shared, {
		listOwnedServers: () => [],
		listAnnouncements: () => [],
		listTemplateVersions: () => [],
		getConfigurationVersion: () => 0,
		listControlPeers: () => [k1, k2],
		isDraining: () => false,
		buildAllowanceReport: () => undefined,
	});
	for (const peer of [k1, k2]) {
		shared.setLink(peer, true);
	}

	const listRenewals = (): ids.PeerId[] =>
		shared
			.takeEffects()
			.flatMap((effect) =>
				effect.type === 'sendPeer' && effect.message.type === 'renewLease'
					? [effect.to]
					: [],
			);
	return {shared, client, listRenewals};
}

const buildGrant = (sequence: number) =>
	({
		type: 'leaseGranted',
		sequence,
		durationMs: 1500,
		appliedIndex: 1,
		owned: [],
		groups: [],
		owners: [],
		templates: [],
		confirmed: [],
	}) as const;

// Guards against a proxy that keeps asking the control peers in turn although a new leader has
// announced itself, which leaves its servers without an owner for longer.
tap.test('a renewal is sent to an announced leader at once', async (t) => {
	const {shared, client, listRenewals} = createClient();
	shared.now = 1000;
	client.handleTick();
	listRenewals();
	client.handleLeader(k2, 5);
	t.same(listRenewals(), [k2]);
	t.equal(client.getLeader(), k2);
});

// Guards against a deposed leader that resumes after a freeze, announces itself and gets renewals.
tap.test('the announcement of an earlier leader is ignored', async (t) => {
	const {shared, client, listRenewals} = createClient();
	shared.now = 1000;
	client.handleLeader(k2, 5);
	client.handleGrant(k2, {
		...buildGrant(1),
		ownersVersion: {consensusTerm: 5, counter: 1},
	});
	listRenewals();
	client.handleLeader(k1, 4);
	client.handleLeader(k2, 5);
	t.same(listRenewals(), []);
	t.equal(client.getLeader(), k2);
});

// Guards against a restarted proxy that takes over the log index of a grant to its predecessor, so that
// it is never sent the groups and owners before it, or that extends its lease by that grant.
tap.test('a grant to an earlier instance is ignored', async (t) => {
	const [earlier, later] = [createClient(1), createClient(2)].map(
		({shared, client}) => {
			client.sendRenewal();
			const [effect] = shared.takeEffects();
			const sequence =
				effect.type === 'sendPeer' && effect.message.type === 'renewLease'
					? effect.message.sequence
					: undefined;
			return {client, sequence: sequence!};
		},
	);
	t.ok(later.client.isOutdated(buildGrant(earlier.sequence)));
	later.client.handleGrant(k1, buildGrant(earlier.sequence));
	t.equal(later.client.expiresAt, 0);
	t.notOk(later.client.isOutdated(buildGrant(later.sequence)));
	later.client.handleGrant(k1, buildGrant(later.sequence));
	t.ok(later.client.expiresAt > 0);
});

// Guards against links that are full without a trace in the log and the metrics.
tap.test('late grants are counted and the first is logged', async (t) => {
	const {shared, client} = createClient();
	const counted: string[] = [];
	const logged: string[] = [];
	for (const latencyMs of [100, 900, 700, 100]) {
		shared.now += 1000;
		client.sendRenewal();
		const sequence = shared
			.takeEffects()
			.flatMap((effect) =>
				effect.type === 'sendPeer' && effect.message.type === 'renewLease'
					? [effect.message.sequence]
					: [],
			)[0];
		shared.now += latencyMs;
		client.handleGrant(k1, buildGrant(sequence));
		for (const effect of shared.takeEffects()) {
			if (effect.type === 'countEvent') {
				counted.push(effect.name);
			} else if (effect.type === 'log') {
				logged.push(`${effect.record.message} ${latencyMs}`);
			}
		}
	}

	t.same(counted, ['lateGrants', 'lateGrants']);
	t.same(logged, ['A grant of control came late 900']);
});
