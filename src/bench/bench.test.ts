import tap from 'tap';
import {GroupLog} from './database.js';
import {deployments} from './deployment.js';
import {buildWorkloads, runLoad, type SystemName} from './run.js';
import {Simulation} from './simulation.js';

const deployment = deployments[0];

function measureShortRun(system: SystemName, seed: number) {
	const {recorder, slotTimeMs} = runLoad(
		deployment,
		system,
		{
			workloads: buildWorkloads(deployment.members, 300, {
				rank: 'urgent',
				writeShare: 0.2,
				stalenessMs: 1000,
				thinkMs: 200,
				fromMs: 0,
				untilMs: 1000,
			}),
			lagMs: 100,
			measureFromMs: 200,
			measureUntilMs: 1000,
		},
		seed,
	);
	return {
		ranks: recorder.ranks,
		slotTimeMs,
		replicaReads: recorder.replicaReads,
		readYourWritesViolations: recorder.readYourWritesViolations,
		staleReads: recorder.staleReads,
	};
}

// Guards against events that run out of order, which would make runs irreproducible.
tap.test('events run by time, then in order of scheduling', async (t) => {
	const simulation = new Simulation();
	const log: string[] = [];
	for (const [delayMs, name] of [
		[5, 'c'],
		[1, 'a'],
		[5, 'd'],
		[2, 'b'],
	] as const) {
		simulation.schedule(delayMs, () => {
			log.push(`${name}${simulation.now}`);
		});
	}

	simulation.runUntil(4);
	t.same(log, ['a1', 'b2']);
	simulation.runUntil(10);
	t.same(log, ['a1', 'b2', 'c5', 'd5']);
	t.equal(simulation.now, 10);
});

// Guards against a replica model that shows commits before their lag, or reports old data as fresh.
tap.test('the log returns past offsets and staleness', async (t) => {
	const log = new GroupLog();
	t.equal(log.appendCommit(10), 1);
	t.equal(log.appendCommit(20), 2);
	t.same(
		[5, 10, 19, 20].map((at) => log.findOffset(at)),
		[0, 1, 1, 2],
	);
	t.equal(log.computeStaleness(2, 50), 0);
	t.equal(log.computeStaleness(1, 50), 30);
	t.equal(log.computeStaleness(0, 50), 40);
});

// Guards against unseeded randomness, and against stale reads and read-your-writes violations.
tap.test('equal seeds give equal runs without stale reads', async (t) => {
	for (const system of ['policy', 'naive'] as const) {
		const first = measureShortRun(system, 3);
		t.same(measureShortRun(system, 3), first);
		t.not(
			measureShortRun(system, 4).slotTimeMs.urgent,
			first.slotTimeMs.urgent,
		);
		t.ok(first.ranks.urgent.onTime > 0.95 * first.ranks.urgent.offered);
		t.equal(first.readYourWritesViolations, 0);
		t.equal(first.staleReads, 0);
		t.equal(first.replicaReads > 0, system === 'policy');
	}
});
