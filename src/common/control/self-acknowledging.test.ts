import tap, {type Test} from 'tap';
import type * as ids from '../ids.js';
import type * as selfAcknowledging from './self-acknowledging-servers.js';
import * as simulations from './simulation.js';

/** Starts a group with one synchronous replica, which has writes every 10 ms. */
function startGroup(
	options: Partial<simulations.SimulationOptions> = {},
): simulations.Simulation {
	const simulation = new simulations.Simulation({
		seed: 1,
		synchronousReplicas: 1,
		writeIntervalMs: 10,
		...options,
	});
	simulation.run(8000);
	return simulation;
}

function getServer(
	simulation: simulations.Simulation,
	server: string,
): selfAcknowledging.SelfAcknowledgingServer {
	return simulation.selfAcknowledging!.servers.find(
		(candidate) => candidate.server === server,
	)!;
}

function findOwner(
	simulation: simulations.Simulation,
	server: string,
): {readonly owner: ids.PeerId} {
	return {owner: simulation.listOwners()[server] as ids.PeerId};
}

/** Counts the writes that are acknowledged while the simulation runs. */
function countWrites(
	simulation: simulations.Simulation,
	durationMs: number,
): number {
	const before = simulation.acknowledgedWrites.length;
	simulation.run(durationMs);
	return simulation.acknowledgedWrites.length - before;
}

/** Returns the longest time in ms between two acknowledged writes while the simulation runs. */
function measureWriteGap(
	simulation: simulations.Simulation,
	durationMs: number,
): number {
	let lastCount = simulation.acknowledgedWrites.length;
	let lastWriteAt = simulation.now;
	let longestMs = 0;
	simulation.runUntil(() => {
		const count = simulation.acknowledgedWrites.length;
		if (count > lastCount) {
			lastCount = count;
			lastWriteAt = simulation.now;
		}

		longestMs = Math.max(longestMs, simulation.now - lastWriteAt);
		return false;
	}, durationMs);
	return longestMs;
}

function checkHealthy(t: Test, simulation: simulations.Simulation): void {
	t.strictSame(simulation.problems, []);
	t.ok(countWrites(simulation, 1000) > 50);
	const primary = simulation.getServer(simulation.group!.primary);
	t.equal(simulation.listLostWrites(primary).length, 0);
}

// Guards against a stand-in in which nothing is written, replicated or promoted.
tap.test('a silent primary is replaced by a replica', async (t) => {
	const simulation = startGroup();
	checkHealthy(t, simulation);
	getServer(simulation, 's1').isRunning = false;
	simulation.run(4000);
	t.not(simulation.group?.primary, 's1');
	checkHealthy(t, simulation);
	getServer(simulation, 's1').isRunning = true;
	simulation.run(2000);
	t.match(getServer(simulation, 's1'), {role: 'replica', term: 2});
	checkHealthy(t, simulation);
});

// Guards against the promotion of a replica that lacks acknowledged commits while only the departing
// primary, which is known to hold them, and not the synchronous replica, answers.
tap.test('a deaf replica is not promoted for a busy one', async (t) => {
	const simulation = startGroup();
	getServer(simulation, 's3').isReplicationPaused = true;
	simulation.run(1000);
	getServer(simulation, 's2').isBusy = true;
	getServer(simulation, 's1').isDeparting = true;
	simulation.run(3000);
	t.strictSame(simulation.problems, []);
	getServer(simulation, 's2').isBusy = false;
	simulation.run(6000);
	t.equal(simulation.group?.primary, 's2');
	checkHealthy(t, simulation);
});

// Guards against a target that was chosen by positions from before the end of the write lease, so that
// commits which its holder had acknowledged meanwhile were not in them.
tap.test('positions are read after the write lease has ended', async (t) => {
	const simulation = startGroup();
	const {owner} = findOwner(simulation, 's1');
	getServer(simulation, 's1').isRunning = false;
	for (const peer of simulation.controlIds) {
		simulation.network.setLinkCut(peer, owner, true);
	}

	simulation.runUntil(() => simulation.group?.promotion !== undefined, 3000);
	simulation.run(50);
	getServer(simulation, 's2').isReplicationPaused = true;
	getServer(simulation, 's1').isRunning = true;
	t.ok(countWrites(simulation, 300) > 10);
	simulation.run(4000);
	t.equal(simulation.group?.promotion, undefined);
	for (const peer of simulation.controlIds) {
		simulation.network.setLinkCut(peer, owner, false);
	}

	simulation.run(2000);
	checkHealthy(t, simulation);
});

// Guards against a replica that lacks acknowledged commits and is chosen because it stays, while the one
// that holds them is departing.
tap.test('a departing replica that holds all commits is chosen', async (t) => {
	const simulation = startGroup();
	getServer(simulation, 's3').isReplicationPaused = true;
	getServer(simulation, 's2').isDeparting = true;
	simulation.run(3000);
	getServer(simulation, 's1').isRunning = false;
	simulation.run(4000);
	t.equal(simulation.group?.primary, 's2');
	getServer(simulation, 's3').isReplicationPaused = false;
	simulation.run(6000);
	checkHealthy(t, simulation);
});

// Guards against comparing logs by the newest term that a server has heard of, which may be above that
// of its last record.
tap.test('a log is not newer because its server knows the term', async (t) => {
	const simulation = startGroup();
	getServer(simulation, 's3').isReplicationPaused = true;
	simulation.run(500);
	getServer(simulation, 's1').isRunning = false;
	t.ok(simulation.runUntil(() => simulation.group?.primary === 's2', 6000));
	simulation.run(200);
	t.match(getServer(simulation, 's3'), {role: 'replica', term: 2});
	getServer(simulation, 's2').isRunning = false;
	getServer(simulation, 's1').isRunning = true;
	simulation.run(8000);
	t.strictSame(simulation.problems, []);
	getServer(simulation, 's2').isRunning = true;
	getServer(simulation, 's3').isReplicationPaused = false;
	simulation.run(4000);
	checkHealthy(t, simulation);
});

// Guards against a group whose primary is chosen again in its term, but never gets its write lease again.
tap.test('a primary that is chosen again takes writes', async (t) => {
	const simulation = startGroup({servers: 1, synchronousReplicas: 0});
	checkHealthy(t, simulation);
	getServer(simulation, 's1').isRunning = false;
	simulation.runUntil(() => simulation.group?.promotion !== undefined, 3000);
	getServer(simulation, 's1').isRunning = true;
	simulation.run(4000);
	t.match(simulation.group, {promotion: undefined, primary: 's1', term: 1});
	checkHealthy(t, simulation);
});

// Guards against a planned change that stops writes while no replica can take over.
tap.test('a departing primary serves until it can be replaced', async (t) => {
	const simulation = startGroup();
	getServer(simulation, 's3').isReplicationPaused = true;
	simulation.run(1000);
	getServer(simulation, 's2').isBusy = true;
	getServer(simulation, 's1').isDeparting = true;
	const written = countWrites(simulation, 4000);
	t.comment(`writes acknowledged in 4 s: ${written}`);
	t.ok(written > 350);
	getServer(simulation, 's2').isBusy = false;
	const writeGap = measureWriteGap(simulation, 2000);
	t.comment(`longest time without a write: ${writeGap} ms`);
	t.ok(writeGap < 1000);
	t.match(simulation.group, {primary: 's2', term: 2});
	checkHealthy(t, simulation);
});

// Guards against a promotion by the count of an announcement that a peer without the configuration made.
tap.test('the configuration says how many replicas count', async (t) => {
	const simulation = startGroup({announcedSynchronousReplicas: 0});
	simulation.requestChange('k1', {
		type: 'configuration',
		configuration: {version: 1, text: '1'},
	});
	simulation.run(500);
	getServer(simulation, 's3').isReplicationPaused = true;
	simulation.run(500);
	getServer(simulation, 's2').isBusy = true;
	getServer(simulation, 's1').isRunning = false;
	simulation.run(2500);
	getServer(simulation, 's2').isBusy = false;
	simulation.run(4000);
	t.equal(simulation.group?.primary, 's2');
	getServer(simulation, 's3').isReplicationPaused = false;
	simulation.run(500);
	checkHealthy(t, simulation);
});

// Guards against a quorum over the servers that are left, where a server that has left held the commits.
tap.test('a holder leaves the set when others hold as much', async (t) => {
	const simulation = startGroup();
	getServer(simulation, 's3').isReplicationPaused = true;
	simulation.run(500);
	getServer(simulation, 's2').isDeparting = true;
	simulation.run(2000);
	getServer(simulation, 's2').isRunning = false;
	simulation.run(14_000);
	t.match(simulation.group, {servers: ['s1', 's2', 's3']});
	getServer(simulation, 's1').isRunning = false;
	simulation.run(6000);
	t.strictSame(simulation.problems, []);
	getServer(simulation, 's1').isRunning = true;
	getServer(simulation, 's3').isReplicationPaused = false;
	simulation.run(14_000);
	t.match(simulation.group, {servers: ['s1', 's3'], promotion: undefined});
	checkHealthy(t, simulation);
});

// Guards against counting a server that has lost its log among those of which one must hold each commit.
tap.test('a server without its log does not count', async (t) => {
	const simulation = startGroup();
	getServer(simulation, 's3').isReplicationPaused = true;
	simulation.run(1000);
	getServer(simulation, 's2').isReplicationPaused = true;
	getServer(simulation, 's2').restartWithoutLog();
	simulation.run(1500);
	getServer(simulation, 's1').isRunning = false;
	simulation.run(5000);
	t.strictSame(simulation.problems, []);
	getServer(simulation, 's1').isRunning = true;
	getServer(simulation, 's2').isReplicationPaused = false;
	getServer(simulation, 's3').isReplicationPaused = false;
	simulation.run(6000);
	checkHealthy(t, simulation);
	getServer(simulation, simulation.group!.primary).isRunning = false;
	simulation.run(5000);
	t.equal(simulation.group?.promotion, undefined);
	checkHealthy(t, simulation);
});
