import tap from 'tap';
import * as fastCheck from 'fast-check';
import type * as ids from '../ids.js';
import type * as control from './types.js';
import * as safetyPlan from './safety-plan.js';
import * as simulations from './simulation.js';

// Guards against lost or reverted template changes, overlapping leases and lost writes, under random
// sequences of faults.
tap.test('random faults violate no guarantee', async (t) => {
	fastCheck.assert(
		fastCheck.property(safetyPlan.planArbitrary, (value) => {
			t.strictSame(safetyPlan.runPlan(value), []);
		}),
		{seed: 2024, numRuns: 40, endOnFailure: true},
	);
});

// Guards against the promotion of a server without acknowledged commits, where the servers acknowledge
// commits themselves, under random sequences of faults.
tap.test('self-acknowledging servers lose no commit', async (t) => {
	fastCheck.assert(
		fastCheck.property(safetyPlan.selfAcknowledgingPlanArbitrary, (value) => {
			t.strictSame(safetyPlan.runPlan(value), []);
		}),
		{seed: 1, numRuns: 60, endOnFailure: true},
	);
});

/** The primary stops while one replica lags and the other is unreachable for 3 s. */
const stoppedPrimaryPlan: safetyPlan.Plan = {
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
	return safetyPlan.listViolations(simulation);
}

// Guards against safety checks that detect nothing: without the fence quorum, the lease wait or both,
// they must find a violation.
tap.test('promotion without fence and lease wait is unsafe', async (t) => {
	t.strictSame(safetyPlan.runPlan(stoppedPrimaryPlan), []);
	const withoutFenceQuorum = safetyPlan.runPlan(stoppedPrimaryPlan, {
		isFenceQuorumDisabled: true,
	});
	t.match(withoutFenceQuorum.join('; '), /write \d+ is lost/v);
	t.strictSame(runOwnerIsolation(), []);
	const withoutLeaseWait = runOwnerIsolation({isLeaseWaitDisabled: true});
	t.match(withoutLeaseWait.join('; '), /write leases of terms 1, 2/v);
	const withoutChecks = fastCheck.check(
		fastCheck.property(
			safetyPlan.planArbitrary,
			(value) =>
				safetyPlan.runPlan(value, {
					isFenceQuorumDisabled: true,
					isLeaseWaitDisabled: true,
				}).length === 0,
		),
		{seed: 2024, numRuns: 40, endOnFailure: true},
	);
	t.ok(withoutChecks.failed);
});
