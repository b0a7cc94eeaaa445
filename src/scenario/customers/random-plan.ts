/**
 * Random plans of a fleet with customers. Changes of keys come in pairs with planned stops, freezes and
 * restarts, so that their effects overlap. At most one control peer and one server are lost at a time.
 */
import type * as ids from '../../common/ids.js';
import * as random from '../../common/random.js';
import type * as types from './types.js';

export const proxyCount = 4;
export const controlCount = 3;

/** Faults end and all processes are up some time after this. */
export const faultsEndMs = 20_000;
export const planEndMs = 34_000;

const proxies = Array.from({length: proxyCount}, (_, index) => `p${index + 1}`);
const controls = Array.from(
	{length: controlCount},
	(_, index) => `c${index + 1}`,
);
const servers = ['s1', 's2', 's3'];
const changeIntervalMs = 1500;
const firstActionMs = 1000;
const callersPerKey = 2;
const limitedCallers = 6;
/** Share of its limit that a customer uses while faults are over. */
const calmUse = 0.5;
const firstLimitChangeMs = 3000;
/** Leaves whole windows between the grace after a change and the next one. */
const limitChangeIntervalMs = 12_000;
const limitFactors = [0.1, 0.3, 3];
/** A bucket fills before a change, and what it keeps from then is used after the grace of the check. */
const pauseBeforeMs = 2500;
const pauseAfterMs = 3500;
/** Plans without changes of limits stay the same when this part changes. */
const limitSeedOffset = 1_000_000;

type TimedAction = types.Plan['actions'][number];

/** Builds a plan; equal seeds give equal plans. */
export function buildPlan(seed: number): types.Plan {
	const source = random.createRandom(seed);
	const ratePerS = choose(source, [5, 20, 60]);
	const limited: types.CustomerSpec = {
		customer: 'limited' as ids.CustomerId,
		keys: ['limited-1' as ids.KeyDigest],
		ratePerS,
		burst: ratePerS * choose(source, [0.5, 1, 3]),
	};
	const others = ['a', 'b'].map((name) => ({
		customer: name as ids.CustomerId,
		keys: [`${name}-1`, `${name}-2`] as ids.KeyDigest[],
		ratePerS: undefined,
		burst: 0,
	}));
	const limitSource = random.createRandom(seed + limitSeedOffset);
	const changes = buildLimitChanges(limitSource, limited, ratePerS);
	return {
		seed,
		pauses: changes
			.filter(
				({action}) =>
					action.type === 'changeLimit' && limitSource.readInteger(0, 1) === 0,
			)
			.map(({at}) => ({from: at - pauseBeforeMs, until: at + pauseAfterMs})),
		customers: [limited, ...others],
		callers: [
			...others.flatMap(({keys}) =>
				keys.flatMap((key) => buildCallers(source, key)),
			),
			...Array.from({length: limitedCallers}, (_, index) => ({
				name: `limited/${index}`,
				key: limited.keys[0],
				pace: 'paced' as const,
				usesTransactions: false,
				pauseMs: source.readInteger(5, 40),
				calmPauseMs: (2 * limitedCallers * 1000) / (ratePerS * calmUse),
			})),
		],
		actions: [...buildActions(source, others), ...changes].sort(
			(left, right) => left.at - right.at,
		),
	};
}

function buildCallers(
	source: random.RandomSource,
	key: ids.KeyDigest,
): types.CallerSpec[] {
	return Array.from({length: callersPerKey}, (_, index) => ({
		name: `${key}/${index}`,
		key,
		pace: choose(source, ['paced', 'atOnce', 'ahead'] as const),
		usesTransactions: source.readInteger(0, 3) === 0,
		pauseMs: source.readInteger(10, 80),
		calmPauseMs: 80,
	}));
}

function buildActions(
	source: random.RandomSource,
	customers: readonly types.CustomerSpec[],
): TimedAction[] {
	const actions: TimedAction[] = [];
	const keysByCustomer = new Map(
		customers.map(({customer, keys}) => [customer, new Set(keys)] as const),
	);
	for (
		let at = firstActionMs;
		at < faultsEndMs - changeIntervalMs;
		at += changeIntervalMs
	) {
		const {customer, keys} = choose(source, customers);
		const key = choose(source, keys);
		const current = keysByCustomer.get(customer)!;
		const isWithdrawal = current.delete(key);
		if (!isWithdrawal) {
			current.add(key);
		}

		actions.push(
			{
				at: at + source.readInteger(0, 600),
				action: {
					type: isWithdrawal ? 'withdrawKey' : 'addKey',
					customer,
					key,
				},
			},
			{at: at + source.readInteger(0, 600), action: buildFault(source)},
		);
	}

	return actions;
}

/** Changes the limit of a customer while a proxy may be frozen; the first limit is the last one again. */
function buildLimitChanges(
	source: random.RandomSource,
	{customer, burst}: types.CustomerSpec,
	ratePerS: number,
): TimedAction[] {
	const times: number[] = [];
	for (
		let at = firstLimitChangeMs;
		at < faultsEndMs;
		at += limitChangeIntervalMs
	) {
		times.push(at + source.readInteger(0, 1500));
	}

	return times.flatMap((at, index) => {
		const factor =
			index === times.length - 1 ? 1 : choose(source, limitFactors);
		const freeze: TimedAction = {
			at: at - source.readInteger(0, 300),
			action: {
				type: 'freeze',
				process: choose(source, proxies),
				forMs: source.readInteger(300, 3000),
			},
		};
		const change: TimedAction = {
			at,
			action: {
				type: 'changeLimit',
				customer,
				ratePerS: ratePerS * factor,
				burst: burst * factor,
			},
		};
		return [freeze, change];
	});
}

function buildFault(source: random.RandomSource): types.PlanAction {
	const forMs = source.readInteger(100, 1200);
	const process = choose(source, proxies);
	const control = choose(source, controls);
	switch (source.readInteger(0, 7)) {
		case 0: {
			return {type: 'kill', process, forMs};
		}

		case 1:
		case 2: {
			return {type: 'drain', process, forMs};
		}

		case 3: {
			return {type: 'freeze', process, forMs: forMs * 5};
		}

		case 4: {
			return {type: 'cut', process, forMs: forMs * 5};
		}

		case 5: {
			return {type: 'kill', process: control, forMs};
		}

		case 6: {
			return {type: choose(source, ['freeze', 'cut']), process: control, forMs};
		}

		default: {
			return {type: 'crash', server: choose(source, servers), forMs};
		}
	}
}

function choose<Item>(
	source: random.RandomSource,
	items: readonly Item[],
): Item {
	return items[source.readInteger(0, items.length - 1)];
}
