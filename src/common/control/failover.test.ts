import tap, {type Test} from 'tap';
import type * as ids from '../ids.js';
import * as simulations from './simulation.js';

/** Starts a simulation and runs it until its group serves writes. */
function startGroup(
	options: Partial<simulations.SimulationOptions> = {},
): simulations.Simulation {
	const simulation = new simulations.Simulation({seed: 1, ...options});
	simulation.run(8000);
	return simulation;
}

/**
 * Runs until a server other than `old` is the primary and its owner may write.
 *
 * @returns The duration in ms; undefined when that takes more than 20 s.
 */
function measureWriteGap(
	simulation: simulations.Simulation,
	old: string,
): number | undefined {
	return simulation.runUntil(() => {
		const {group} = simulation;
		return (
			group !== undefined &&
			group.primary !== old &&
			[...simulation.proxies].some(([peer, proxy]) =>
				proxy
					?.listValidLeases(simulation.readClock(peer))
					.some(({writeTerm}) => writeTerm === group.term),
			)
		);
	}, 20_000);
}

function checkHealthy(t: Test, simulation: simulations.Simulation): void {
	const {group} = simulation;
	t.ok(group);
	t.strictSame(simulation.problems, []);
	t.ok(simulation.acknowledgedWrites.length > 0);
	t.strictSame(
		simulation.listLostWrites(simulation.getServer(group!.primary)),
		[],
	);
}

// Guards against a group that never starts to serve writes.
tap.test('a new group gets all its servers and serves writes', async (t) => {
	const simulation = startGroup();
	t.match(simulation.group, {
		term: 1,
		primary: 's1',
		promotion: undefined,
	});
	t.strictSame(new Set(simulation.group?.servers), new Set(['s1', 's2', 's3']));
	t.strictSame(simulation.listOwners(), {s1: 'p1', s2: 'p2', s3: 'p3'});
	checkHealthy(t, simulation);
});

// Guards against a failover that loses acknowledged writes or never ends.
tap.test('a silent primary is replaced and follows on return', async (t) => {
	const simulation = startGroup();
	simulation.getServer('s1').isRunning = false;
	const gap = measureWriteGap(simulation, 's1');
	t.comment(`primary killed: gap ${gap} ms`);
	t.ok(gap !== undefined && gap <= 3000);
	simulation.run(2000);
	checkHealthy(t, simulation);
	t.equal(simulation.group?.term, 2);

	// The old primary comes back much later and has to follow.
	simulation.run(20_000);
	const old = simulation.getServer('s1');
	old.isRunning = true;
	simulation.run(10_000);
	t.match(old, {role: 'replica', term: 2, upstream: simulation.group?.primary});
	t.equal(simulation.group?.term, 2);
	checkHealthy(t, simulation);
});

// Guards against waiting too long for the lease of an owner that was lost with its primary.
tap.test('a primary lost together with its owner is replaced', async (t) => {
	const simulation = startGroup();
	simulation.getServer('s1').isRunning = false;
	simulation.crashProxy('p1' as ids.PeerId, 60_000);
	const gap = measureWriteGap(simulation, 's1');
	t.comment(`primary and owner killed: gap ${gap} ms`);
	t.ok(gap !== undefined && gap <= 3000);
	checkHealthy(t, simulation);
});

// Guards against a promotion that completes with one of three servers, against one that waits for an
// unreachable replica although it has a majority, and against promoting that replica later.
tap.test('a promotion waits for a majority, not for all servers', async (t) => {
	const simulation = startGroup();
	simulation.getServer('s3').isReplicationPaused = true;
	simulation.run(500);
	for (const peer of [...simulation.controlIds, ...simulation.proxies.keys()]) {
		simulation.cutLinks.add(`${peer} s2`);
	}

	simulation.cutLinks.add('s1 s2');
	simulation.getServer('s3').isReplicationPaused = false;
	simulation.run(1000);
	simulation.getServer('s1').isRunning = false;
	simulation.run(10_000);
	t.match(simulation.group, {primary: 's1', promotion: {planned: false}});
	simulation.getServer('s1').isRunning = true;
	simulation.run(5000);
	t.equal(simulation.group?.promotion, undefined);
	checkHealthy(t, simulation);
	simulation.cutLinks.clear();
	simulation.run(5000);
	t.equal(simulation.getServer('s2').term, simulation.group?.term);
	checkHealthy(t, simulation);
});

// Guards against promoting a replica that lacks acknowledged writes, when all replicas are behind.
tap.test('the most advanced of the lagging replicas is promoted', async (t) => {
	const simulation = startGroup();
	simulation.getServer('s2').isReplicationPaused = true;
	simulation.run(1000);
	simulation.getServer('s3').isReplicationPaused = true;
	simulation.run(1000);
	simulation.getServer('s1').isRunning = false;
	t.ok(measureWriteGap(simulation, 's1'));
	t.equal(simulation.group?.primary, 's3');
	simulation.getServer('s2').isReplicationPaused = false;
	simulation.getServer('s3').isReplicationPaused = false;
	simulation.getServer('s1').isRunning = true;
	simulation.run(5000);
	checkHealthy(t, simulation);
	t.equal(simulation.getServer('s1').role, 'replica');
});

// Guards against keeping a primary that its owner reaches but its replicas do not, so that no write can
// be acknowledged.
tap.test('a primary that only its owner reaches is replaced', async (t) => {
	const simulation = startGroup();
	for (const peer of [...simulation.controlIds, 's2', 's3']) {
		simulation.cutLinks.add(`${peer} s1`);
	}

	const gap = measureWriteGap(simulation, 's1');
	t.comment(`primary cut off: gap ${gap} ms`);
	t.ok(gap !== undefined && gap <= 3000);
	simulation.run(3000);
	simulation.cutLinks.clear();
	simulation.run(5000);
	t.equal(simulation.getServer('s1').role, 'replica');
	checkHealthy(t, simulation);
});

// Guards against promotions in quick succession when each new primary fails.
tap.test('the hold-down limits repeated promotions', async (t) => {
	const simulation = startGroup();
	const promotionTimes: number[] = [];
	let term = 1;
	simulation.runUntil(() => {
		const group = simulation.group ?? {term, promotion: undefined};
		const current = group.promotion?.term ?? group.term;
		if (current > term) {
			term = current;
			promotionTimes.push(simulation.now);
		}

		// Each primary fails 200 ms after its promotion; the others work.
		for (const server of simulation.servers) {
			const isPrimary = server.server === simulation.group?.primary;
			if (isPrimary && !simulation.group?.promotion && server.isRunning) {
				simulation.schedule(200, () => {
					server.isRunning = false;
				});
				simulation.schedule(2500, () => {
					server.isRunning = true;
				});
			}
		}

		return false;
	}, 30_000);
	t.comment(`promotions begin at ${promotionTimes.join(', ')}`);
	t.ok(promotionTimes.length >= 3 && promotionTimes.length <= 6);
	const intervals = promotionTimes
		.slice(1)
		.map((at, index) => at - promotionTimes[index]);
	t.ok(intervals.at(-1)! >= 8000);
	checkHealthy(t, simulation);
});

// Guards against completing a term in which the previous leader has promoted a server that the new
// leader does not know of.
tap.test('a new leader repeats the promotion in a new term', async (t) => {
	const simulation = startGroup();
	simulation.getServer('s1').isRunning = false;
	t.ok(
		simulation.runUntil(
			() =>
				simulation.servers.some(
					({role, term}) => role === 'primary' && term === 2,
				),
			5000,
		),
	);
	t.ok(simulation.group?.promotion);
	const promoted = simulation.servers.find(({term}) => term === 2)!;
	promoted.isRunning = false;
	simulation.getServer('s1').isRunning = true;
	simulation.crashControl(simulation.leader!, 500);
	simulation.run(8000);
	t.equal(simulation.group?.promotion, undefined);
	t.ok(simulation.group!.term > 2);
	t.not(simulation.group?.primary, promoted.server);
	promoted.isRunning = true;
	simulation.run(5000);
	t.match(promoted, {role: 'replica', term: simulation.group?.term});
	checkHealthy(t, simulation);
});

// Guards against a departing primary that keeps its role, and against a long interruption of writes.
tap.test('a departing primary is replaced as planned', async (t) => {
	const simulation = startGroup();
	simulation.getServer('s1').isDeparting = true;
	t.ok(
		simulation.runUntil(() => simulation.group?.promotion !== undefined, 5000),
	);
	t.equal(simulation.group?.promotion?.planned, true);
	const gap = measureWriteGap(simulation, 's1');
	t.comment(`planned change: gap ${gap} ms`);
	t.ok(gap !== undefined && gap <= 250);
	simulation.run(2000);
	simulation.getServer('s1').isRunning = false;
	simulation.run(15_000);
	t.strictSame(new Set(simulation.group?.servers), new Set(['s2', 's3']));
	checkHealthy(t, simulation);
});

// Guards against a planned change that loses writes which only the departing primary holds.
tap.test('a planned change waits for the only replica', async (t) => {
	const simulation = startGroup({servers: 2});
	simulation.getServer('s2').isReplicationPaused = true;
	simulation.run(300);
	simulation.getServer('s1').isDeparting = true;
	simulation.schedule(1500, () => {
		simulation.getServer('s2').isReplicationPaused = false;
	});
	t.ok(measureWriteGap(simulation, 's1'));
	simulation.run(1000);
	checkHealthy(t, simulation);
});
