import tap from 'tap';
import * as fastCheck from 'fast-check';
import type * as ids from '../ids.js';
import type * as control from './types.js';
import * as simulations from './simulation.js';

/** A fault, the departure of a server or a template change. */
type Incident = {
	/** Time in ms after the network faults begin. */
	readonly at: number;
	readonly kind:
		| 'crashControl'
		| 'crashProxy'
		| 'stopPrimary'
		| 'disconnectOwner'
		| 'stopServer'
		| 'disconnectServer'
		| 'pauseReplication'
		| 'isolateControl'
		| 'isolateProxy'
		| 'depart'
		| 'change';
	readonly target: number;
	readonly durationMs: number;
};

const incidentArbitrary = fastCheck.record<Incident>({
	at: fastCheck.integer({min: 0, max: 20_000}),
	kind: fastCheck.constantFrom(
		'crashControl',
		'crashProxy',
		'stopPrimary',
		'stopPrimary',
		'disconnectOwner',
		'stopServer',
		'disconnectServer',
		'pauseReplication',
		'isolateControl',
		'isolateProxy',
		'depart',
		'change',
		'change',
	),
	target: fastCheck.integer({min: 0, max: 2}),
	durationMs: fastCheck.integer({min: 50, max: 4000}),
});

const planArbitrary = fastCheck.record({
	seed: fastCheck.integer({min: 1, max: 1_000_000}),
	lossRate: fastCheck.constantFrom(0, 0.05, 0.25),
	releaseDelayMs: fastCheck.constantFrom(20, 400),
	incidents: fastCheck.array(incidentArbitrary, {minLength: 6, maxLength: 20}),
});

const members = ['m1', 'm2'] as unknown as ids.MemberId[];

function requestChange(
	simulation: simulations.Simulation,
	number: number,
	target: number,
): void {
	const member = members[number % 2];
	const known = Math.max(
		0,
		...simulation.controlPeers.map(
			({reducer}) => reducer?.machine.getTemplate(member)?.version ?? 0,
		),
	);
	simulation.requestChange(`k${target + 1}`, {
		member,
		text: `; change ${number}\n`,
		expectedVersion: known,
		changeId: `c${number}` as ids.ChangeId,
	});
}

function startIncident(
	simulation: simulations.Simulation,
	{kind, target, durationMs}: Incident,
	number: number,
): void {
	const controlPeer = simulation.controlPeers[target];
	const proxy = `p${target + 1}` as ids.PeerId;
	const server =
		kind === 'stopPrimary'
			? simulation.getServer(simulation.group?.primary ?? 's1')
			: simulation.servers[target];
	const scheduleUndo = (run: () => void) => {
		simulation.schedule(durationMs, run);
	};

	switch (kind) {
		case 'crashControl': {
			simulation.crashControl(controlPeer, durationMs);
			break;
		}

		case 'crashProxy': {
			simulation.crashProxy(proxy, durationMs);
			break;
		}

		case 'stopPrimary':
		case 'stopServer': {
			server.isRunning = false;
			scheduleUndo(() => {
				server.isRunning = true;
			});
			break;
		}

		case 'disconnectOwner': {
			const primary = simulation.group?.primary ?? 's1';
			const cut = `${simulation.listOwners()[primary]} ${primary}`;
			simulation.cutLinks.add(cut);
			scheduleUndo(() => {
				simulation.cutLinks.delete(cut);
			});
			break;
		}

		case 'disconnectServer': {
			const cuts = [...simulation.controlIds, ...simulation.proxies.keys()].map(
				(peer) => `${peer} ${server.server}`,
			);
			for (const cut of cuts) {
				simulation.cutLinks.add(cut);
			}

			scheduleUndo(() => {
				for (const cut of cuts) {
					simulation.cutLinks.delete(cut);
				}
			});
			break;
		}

		case 'pauseReplication': {
			server.isReplicationPaused = true;
			scheduleUndo(() => {
				server.isReplicationPaused = false;
			});
			break;
		}

		case 'isolateControl':
		case 'isolateProxy': {
			const peer = kind === 'isolateProxy' ? proxy : controlPeer.peer;
			simulation.network.setPartition([[peer]]);
			scheduleUndo(() => {
				simulation.network.setPartition([]);
			});
			break;
		}

		case 'depart': {
			server.isDeparting = true;
			scheduleUndo(() => {
				server.isDeparting = false;
				server.startedAt++;
			});
			break;
		}

		case 'change': {
			requestChange(simulation, number, target);
			break;
		}
	}
}

/** Lists accepted changes that the history of a control peer lacks or has with other contents. */
function listLostChanges(
	simulation: simulations.Simulation,
	reducer: {readonly machine: {listHistory: ListHistory}},
): string[] {
	return simulation.answers
		.filter(({change, result}) => {
			if (result.type !== 'accepted') {
				return false;
			}

			const entry = reducer.machine
				.listHistory(change.member)
				.find(({version}) => version === result.version);
			return entry?.changeId !== change.changeId || entry.text !== change.text;
		})
		.map(({change}) => `${change.member} ${change.changeId}`);
}

type ListHistory = (member: ids.MemberId) => control.HistoryEntry[];

type Plan = {
	readonly seed: number;
	readonly lossRate: number;
	readonly releaseDelayMs: number;
	readonly incidents: readonly Incident[];
};

/** Runs a plan, ends all faults, and returns the violations. */
function runPlan(
	{seed, lossRate, releaseDelayMs, incidents}: Plan,
	faults?: control.FaultInjection,
): string[] {
	const simulation = new simulations.Simulation({
		seed,
		faults,
		maxReleaseDelayMs: releaseDelayMs,
		clockDrifts: {k1: 0.01, k2: -0.01, p1: -0.01, p2: 0.01},
	});
	simulation.network.faults = {
		...simulation.network.faults,
		maxDelayMs: 15,
	};
	simulation.run(6000);
	simulation.network.faults = {
		...simulation.network.faults,
		lossRate,
		duplicateRate: lossRate,
	};
	simulation.callLossRate = lossRate;
	for (const [number, entry] of incidents.entries()) {
		simulation.schedule(entry.at, () => {
			startIncident(simulation, entry, number);
		});
	}

	simulation.run(25_000);
	simulation.network.faults = {
		...simulation.network.faults,
		lossRate: 0,
		duplicateRate: 0,
	};
	simulation.callLossRate = 0;
	simulation.run(12_000);
	return listViolations(simulation);
}

function listViolations(simulation: simulations.Simulation): string[] {
	const violations = [...simulation.problems];
	const {group, leader} = simulation;
	if (!group || !leader?.reducer || group.promotion !== undefined) {
		return [...violations, 'the group did not recover'];
	}

	const lost = simulation.listLostWrites(simulation.getServer(group.primary));
	violations.push(...lost.map((write) => `write ${write} is lost`));
	for (const {reducer} of simulation.controlPeers) {
		violations.push(
			...listLostChanges(simulation, reducer!).map(
				(change) => `change ${change} is lost`,
			),
		);
	}

	const latest = leader.reducer.machine.listTemplates();
	for (const [peer, proxy] of simulation.proxies) {
		for (const {template} of latest) {
			if (proxy?.templates.get(template.member)?.version !== template.version) {
				violations.push(`${peer} lacks the template of ${template.member}`);
			}
		}
	}

	return violations;
}

// Guards against lost or reverted template changes, overlapping leases and lost writes, under random
// sequences of faults.
tap.test('random faults violate no guarantee', async (t) => {
	fastCheck.assert(
		fastCheck.property(planArbitrary, (value) => {
			t.strictSame(runPlan(value), []);
		}),
		{seed: 2024, numRuns: 40, endOnFailure: true},
	);
});

/** The primary stops while one replica lags and the other is unreachable for 3 s. */
const stoppedPrimaryPlan: Plan = {
	seed: 5,
	lossRate: 0,
	releaseDelayMs: 400,
	incidents: [
		{at: 1000, kind: 'pauseReplication', target: 1, durationMs: 1500},
		{at: 1500, kind: 'disconnectServer', target: 2, durationMs: 3000},
		{at: 1800, kind: 'stopServer', target: 0, durationMs: 6000},
	],
};

/**
 * The owner cannot reach the primary, and is isolated before it learns of the promotion. Returns the
 * violations.
 */
function runOwnerIsolation(faults?: control.FaultInjection): string[] {
	const simulation = new simulations.Simulation({seed: 3, faults});
	simulation.run(6000);
	simulation.cutLinks.add('p1 s1');
	simulation.runUntil(() => simulation.group?.promotion !== undefined, 5000);
	simulation.network.setPartition([['p1' as ids.PeerId]]);
	simulation.run(3000);
	simulation.network.setPartition([]);
	simulation.cutLinks.clear();
	simulation.run(3000);
	return listViolations(simulation);
}

// Guards against safety checks that detect nothing: without the fence quorum, the lease wait or both,
// they must find a violation.
tap.test('promotion without fence and lease wait is unsafe', async (t) => {
	t.strictSame(runPlan(stoppedPrimaryPlan), []);
	const withoutFenceQuorum = runPlan(stoppedPrimaryPlan, {
		isFenceQuorumDisabled: true,
	});
	t.match(withoutFenceQuorum.join('; '), /write \d+ is lost/v);
	t.strictSame(runOwnerIsolation(), []);
	const withoutLeaseWait = runOwnerIsolation({isLeaseWaitDisabled: true});
	t.match(withoutLeaseWait.join('; '), /write leases of terms 1, 2/v);
	const withoutChecks = fastCheck.check(
		fastCheck.property(
			planArbitrary,
			(value) =>
				runPlan(value, {isFenceQuorumDisabled: true, isLeaseWaitDisabled: true})
					.length === 0,
		),
		{seed: 2024, numRuns: 40, endOnFailure: true},
	);
	t.ok(withoutChecks.failed);
});
