/**
 * Builds the plan of faults and planned work of a soak from its seed. Faults overlap, but at any time
 * they affect at most one control peer, one database server and half of the proxies, which is what the
 * system promises to bear. Even seeds have planned work alone, where no fault excuses a cut request.
 */
import * as random from '../common/random.js';
import type * as types from './types.js';

const minGapMs = 200;
const maxGapMs = 2500;
const minFaultMs = 100;
const maxFaultMs = 4000;
/** Time after a fault in which its target still counts as affected, in ms. */
const recoveryMs = 3000;
const maxDelayMs = 120;
/** A usual time from SIGTERM to the end of a process. */
const stopMs = 4000;
const maxWorkGapMs = 1500;
const maxReloads = 3;
/** Keeps the faults of a seed independent of its planned work. */
const workSeedOffset = 1_000_000;
/** Largest replication lag of a server, in ms. */
const maxLagMs = 1500;

type Role = 'proxy' | 'control' | 'ledger';

type PlanNames = Readonly<Record<Role, readonly string[]>>;

type AffectedTarget = {
	readonly role: Role;
	readonly target: string;
	readonly untilMs: number;
};

/** Lists the faults and the planned work of a run. */
export function buildPlan(
	seed: number,
	durationMs: number,
	names: PlanNames,
): types.PlannedFault[] {
	const hasFaults = seed % 2 === 1;
	return [
		...(hasFaults ? buildFaults(seed, durationMs, names) : []),
		...buildWork(seed, durationMs, names, !hasFaults),
	];
}

/** Lists reloads and changes of the template, and stops in series that overlap. */
function buildWork(
	seed: number,
	durationMs: number,
	names: PlanNames,
	hasStops: boolean,
): types.PlannedFault[] {
	const source = random.createRandom(seed + workSeedOffset);
	const stops = hasStops
		? [
				...buildStops(source, durationMs, names.control),
				...buildStops(
					source,
					durationMs,
					names.proxy.filter((_, index) => index % 2 === 0),
				),
				...buildStops(
					source,
					durationMs,
					names.proxy.filter((_, index) => index % 2 === 1),
				),
			]
		: [];
	const changes: types.PlannedFault[] = [];
	for (
		let atMs = source.readInteger(0, maxWorkGapMs);
		atMs < durationMs;
		atMs += source.readInteger(0, maxWorkGapMs)
	) {
		const forMs = 0;
		changes.push({
			atMs,
			fault:
				source.readFloat() < 0.5
					? {type: 'template', target: drawItem(source, names.proxy), forMs}
					: {
							type: 'reload',
							target: drawItem(source, [...names.proxy, ...names.control]),
							times: source.readInteger(1, maxReloads),
							forMs,
						},
		});
	}

	return [...stops, ...changes];
}

/** Lists planned stops of processes, one after the other. */
function buildStops(
	source: random.RandomSource,
	durationMs: number,
	targets: readonly string[],
): types.PlannedFault[] {
	const stops: types.PlannedFault[] = [];
	for (
		let atMs = source.readInteger(0, maxGapMs);
		atMs < durationMs;
		atMs += stopMs + source.readInteger(0, maxGapMs)
	) {
		const target = drawItem(source, targets);
		stops.push({atMs, fault: {type: 'stop', target, forMs: stopMs}});
	}

	return stops;
}

function buildFaults(
	seed: number,
	durationMs: number,
	names: PlanNames,
): types.PlannedFault[] {
	const source = random.createRandom(seed);
	const limits: Readonly<Record<Role, number>> = {
		proxy: Math.max(1, Math.floor(names.proxy.length / 2)),
		control: 1,
		ledger: 1,
	};
	const plan: types.PlannedFault[] = [];
	let affected: AffectedTarget[] = [];
	let atMs = source.readInteger(minGapMs, maxGapMs);
	while (atMs < durationMs) {
		const now = atMs;
		affected = affected.filter(({untilMs}) => untilMs > now);
		const role = drawItem<Role>(source, [
			'proxy',
			'proxy',
			'control',
			'ledger',
		]);
		const target = drawItem(source, names[role]);
		const fault = drawFault(source, role, target);
		const count = affected.filter((other) => other.role === role).length;
		if (
			count < limits[role] &&
			affected.every((other) => other.target !== target)
		) {
			plan.push({atMs, fault});
			affected.push({
				role,
				target,
				untilMs: atMs + fault.forMs + recoveryMs,
			});
		}

		atMs += source.readInteger(minGapMs, maxGapMs);
	}

	return plan;
}

function drawFault(
	source: random.RandomSource,
	role: Role,
	target: string,
): types.Fault {
	const forMs = source.readInteger(minFaultMs, maxFaultMs);
	if (source.readFloat() < 0.4) {
		return {type: 'relay', target, mode: drawRelayMode(source), forMs};
	}

	if (role === 'ledger') {
		return drawServerFault(source, target, forMs);
	}

	return {
		type: drawItem(source, ['kill', 'freeze', 'stop'] as const),
		target,
		forMs,
	};
}

function drawServerFault(
	source: random.RandomSource,
	target: string,
	forMs: number,
): types.Fault {
	const type = 'server';
	if (source.readFloat() < 0.4) {
		const value = String(source.readInteger(1, maxLagMs));
		const name = 'apply_lag_ms';
		return {type, target, name, value, endValue: '0', forMs};
	}

	const name = drawItem(source, ['freeze', 'cut', 'crash']);
	return {type, target, name, value: 'true', endValue: 'false', forMs};
}

function drawRelayMode(source: random.RandomSource): types.RelayMode {
	const type = drawItem(source, ['delay', 'cut', 'silence', 'reset'] as const);
	switch (type) {
		case 'delay': {
			return {type, delayMs: source.readInteger(1, maxDelayMs)};
		}

		case 'cut': {
			const direction = drawItem(source, ['toTarget', 'toClient'] as const);
			return {type, direction};
		}

		case 'silence':
		case 'reset': {
			return {type};
		}
	}
}

function drawItem<Item>(
	source: random.RandomSource,
	items: readonly Item[],
): Item {
	return items[source.readInteger(0, items.length - 1)];
}
