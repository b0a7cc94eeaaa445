/**
 * Random plans of faults for the control group, and the check of the guarantees after each. Servers have
 * fences, or acknowledge commits themselves.
 */
import * as fastCheck from 'fast-check';
import type * as ids from '../ids.js';
import type * as control from './types.js';
import * as selfAcknowledging from './self-acknowledging-servers.js';
import * as simulations from './simulation.js';

/** Incidents of servers that acknowledge commits themselves. */
type SelfAcknowledgingIncident = 'occupyServer' | 'partitionServer';

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
		| 'change'
		| SelfAcknowledgingIncident;
	readonly target: number;
	readonly durationMs: number;
};

const commonKinds = [
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
] as const;

function makeIncidentArbitrary(
	kinds: ReadonlyArray<Incident['kind']>,
): fastCheck.Arbitrary<Incident> {
	return fastCheck.record<Incident>({
		at: fastCheck.integer({min: 0, max: 20_000}),
		kind: fastCheck.constantFrom(...kinds),
		target: fastCheck.integer({min: 0, max: 2}),
		durationMs: fastCheck.integer({min: 50, max: 4000}),
	});
}

/** Plans for three servers with fences. */
export const planArbitrary: fastCheck.Arbitrary<Plan> = fastCheck.record({
	seed: fastCheck.integer({min: 1, max: 1_000_000}),
	lossRate: fastCheck.constantFrom(0, 0.05, 0.25),
	releaseDelayMs: fastCheck.constantFrom(20, 400),
	incidents: fastCheck.array(makeIncidentArbitrary(commonKinds), {
		minLength: 6,
		maxLength: 20,
	}),
});

/** Plans for two to four servers that acknowledge commits themselves. */
export const selfAcknowledgingPlanArbitrary: fastCheck.Arbitrary<Plan> =
	fastCheck.record({
		seed: fastCheck.integer({min: 1, max: 1_000_000}),
		lossRate: fastCheck.constantFrom(0, 0.05, 0.25),
		releaseDelayMs: fastCheck.constantFrom(20, 400),
		servers: fastCheck.constantFrom(2, 3, 3, 4),
		synchronousReplicas: fastCheck.constantFrom(1, 1, 2),
		incidents: fastCheck.array(
			makeIncidentArbitrary([
				...commonKinds,
				'stopPrimary',
				'depart',
				'depart',
				'pauseReplication',
				'pauseReplication',
				'pauseReplication',
				'occupyServer',
				'occupyServer',
				'occupyServer',
				'partitionServer',
			]),
			{minLength: 10, maxLength: 30},
		),
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
			: simulation.servers[target % simulation.servers.length];
	const scheduleUndo = (run: () => void) => {
		simulation.schedule(durationMs, run);
	};

	const cutLinks = (links: readonly string[]) => {
		for (const link of links) {
			simulation.cutLinks.add(link);
		}

		scheduleUndo(() => {
			for (const link of links) {
				simulation.cutLinks.delete(link);
			}
		});
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
			cutLinks([`${simulation.listOwners()[primary]} ${primary}`]);
			break;
		}

		case 'disconnectServer': {
			cutLinks(
				[...simulation.controlIds, ...simulation.proxies.keys()].map(
					(peer) => `${peer} ${server.server}`,
				),
			);
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

		case 'occupyServer': {
			if (server instanceof selfAcknowledging.SelfAcknowledgingServer) {
				server.isBusy = true;
				scheduleUndo(() => {
					server.isBusy = false;
				});
			}

			break;
		}

		case 'partitionServer': {
			cutLinks(
				simulation.servers.flatMap((other) => [
					`${other.server} ${server.server}`,
					`${server.server} ${other.server}`,
				]),
			);
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

export type Plan = {
	readonly seed: number;
	readonly lossRate: number;
	readonly releaseDelayMs: number;
	readonly incidents: readonly Incident[];
	readonly servers?: number;
	/** Set when the servers acknowledge commits themselves. */
	readonly synchronousReplicas?: number;
};

/** Runs a plan, ends all faults, and returns the violations. */
export function runPlan(
	{seed, lossRate, releaseDelayMs, incidents, ...group}: Plan,
	faults?: control.FaultInjection,
): string[] {
	const simulation = new simulations.Simulation({
		...group,
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

/** Lists what a run that has ended its faults has violated. */
export function listViolations(simulation: simulations.Simulation): string[] {
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
