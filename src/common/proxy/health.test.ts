import tap from 'tap';
import type * as ids from '../ids.js';
import type * as membership from '../membership/types.js';
import * as random from '../random.js';
import * as context from './context.js';
import * as proxyHealth from './health.js';

const self = 'p1' as ids.PeerId;

function buildPeer(peer: string): membership.PeerState {
	return {
		peer: peer as ids.PeerId,
		role: 'proxy',
		address: peer,
		dataCentre: 'a' as ids.DataCentre,
		incarnation: 1,
		condition: 'alive',
	};
}

function createHealth(timing: Partial<context.ProxyTiming> = {}) {
	const shared = new context.ProxyContext(
		{
			peer: self,
			vm: 'v1' as ids.VmId,
			address: 'p1',
			dataCentre: 'a' as ids.DataCentre,
			incarnation: 1,
			controlPeers: [],
			drainDeadlineMs: 5000,
			maxSessions: 10,
			timing: {
				grantLimitMs: 2000,
				isolationLimitMs: 2000,
				startGraceMs: 2500,
				...timing,
			},
		},
		random.createRandom(1),
	);
	const state = {
		lastGrantAt: 0,
		isDraining: false,
		lacksRoutes: false,
		refusesAllCallers: false,
	};
	const health = new proxyHealth.ProxyHealth(shared, {
		lease: state,
		membership: {
			listPeers: () => [self, 'p2', 'p3'].map((peer) => buildPeer(peer)),
		},
		isDraining: () => state.isDraining,
		lacksRoutes: () => state.lacksRoutes,
		refusesAllCallers: () => state.refusesAllCallers,
	});
	const update = (now: number) => {
		shared.now = now;
		health.update();
		return shared
			.takeEffects()
			.findLast((effect) => effect.type === 'setHealth')?.ready;
	};

	health.start(0);
	return {shared, state, health, update};
}

// Guards against a load balancer that finds a restarted proxy not ready and takes it out of service
// until its next check.
tap.test('a starting proxy is ready before its first grant', async (t) => {
	const {state, update} = createHealth();
	t.equal(update(10), true);
	state.lastGrantAt = 500;
	update(510);
	t.equal(update(4000), false, 'not ready long after the last grant');
});

// Guards against callers that stay connected to a proxy in a minority partition.
tap.test('a proxy without links is in a minority partition', async (t) => {
	const {shared, state, health, update} = createHealth();
	state.lastGrantAt = 3000;
	health.recordContact(5500);
	update(5600);
	t.ok(health.isInMinorityPartition);
	for (const peer of ['p2', 'p3'] as ids.PeerId[]) {
		shared.setLink(peer, true);
	}

	t.notOk(
		health.isInMinorityPartition,
		'the other proxies are reachable and have lost control too',
	);
});

// Guards against a proxy that accepts callers while it shuts down.
tap.test('a draining proxy is not ready, even while starting', async (t) => {
	const {state, update} = createHealth();
	update(10);
	state.isDraining = true;
	t.equal(update(20), false);
});

// Guards against a proxy in a minority partition that accepts callers until the longer limit has
// passed, and against one that refuses callers when all proxies have lost
// contact with control.
tap.test('a minority partition has a shorter grant limit', async (t) => {
	const {shared, state, health, update} = createHealth({
		minorityGrantLimitMs: 800,
	});
	state.lastGrantAt = 4000;
	health.recordContact(4700);
	t.equal(update(4700), true);
	t.equal(update(4900), false);
	t.ok(health.isInMinorityPartition);
	for (const peer of ['p2', 'p3'] as ids.PeerId[]) {
		shared.setLink(peer, true);
	}

	t.equal(update(4950), true);
	t.notOk(health.isInMinorityPartition);
});

// Guards against a load balancer that sends callers to a proxy which refuses all of them.
tap.test('a proxy that refuses all keys is not ready', async (t) => {
	const {state, health, update} = createHealth();
	state.lastGrantAt = 2900;
	health.recordContact(2900);
	t.equal(update(3000), true);
	state.refusesAllCallers = true;
	t.equal(update(3100), false);
});
