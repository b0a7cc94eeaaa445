/**
 * Plays a plan on a fleet of production reducers and checks the guarantees of customers.
 */
import type * as ids from '../../common/ids.js';
import * as policyTesting from '../../common/policy/testing.js';
import type * as reducer from '../../common/proxy/reducer.js';
import type * as proxy from '../../common/proxy/types.js';
import * as random from '../../common/random.js';
import type * as common from '../../common/types.js';
import * as customerFleet from '../fleet/customer-fleet.js';
import * as fleets from '../fleet/fleet.js';
import type * as fleetTypes from '../fleet/fleet-types.js';
import * as callers from './caller.js';
import * as checks from './checks.js';
import * as operators from './operator.js';
import * as randomPlan from './random-plan.js';
import type * as types from './types.js';

/** In each of these intervals, limited customers send at full speed after a pause. */
const floodIntervalMs = 4000;
const floodStartMs = 1500;
const idlePauseMs = 500;
/** Time after the faults in which links, leaders and allowances recover. */
const recoveryMs = 8000;
const settleMs = 15_000;
const exitCheckMs = 50;
const startUpMs = 8000;

class PlanRun {
	private readonly fleet: fleets.Fleet;
	private readonly operator: operators.Operator;
	private readonly records: callers.StatementRecord[] = [];
	private readonly startedAt: number;
	private cutProcess: string | undefined;

	constructor(
		private readonly plan: types.Plan,
		mistake: types.Mistake | undefined,
	) {
		this.fleet = createFleet(plan, mistake);
		const {timeline} = this.fleet;
		this.operator = new operators.Operator(this.fleet, plan.customers);
		timeline.runUntil(startUpMs / 2);
		this.operator.start();
		timeline.runUntil(startUpMs);
		this.startedAt = timeline.now;
	}

	run(): types.Result {
		const {plan, fleet, records, operator} = this;
		const {timeline} = fleet;
		const environment = {
			fleet,
			records,
			random: random.createRandom(plan.seed + 1),
			computeWithdrawnTime: (key: ids.KeyDigest) =>
				operator.computeWithdrawnTime(key),
			computePause: (spec: types.CallerSpec) => this.computePause(spec),
		};
		for (const spec of plan.callers) {
			new callers.Caller(environment, spec).start();
		}

		for (const {at, action} of plan.actions) {
			timeline.schedule(at, () => {
				this.runAction(action);
			});
		}

		timeline.runUntil(this.startedAt + randomPlan.planEndMs + settleMs);
		const servers = [...fleet.servers.values()];
		const count = (
			isCounted: (record: callers.StatementRecord) => boolean,
		): number => records.filter((record) => isCounted(record)).length;
		return {
			unanswered: count(({answerCount}) => answerCount === 0),
			cut: [...fleet.proxies.values()].reduce(
				(sum, {cutCalls}) => sum + cutCalls,
				0,
			),
			answeredTwice: count(({answerCount}) => answerCount > 1),
			lateRuns: checks.countLateRuns(records, servers),
			falseRefusals: checks.countFalseRefusals(records, servers),
			exceededWindows: plan.customers.reduce(
				(sum, {customer}) =>
					sum +
					checks.countExceededWindows(
						customer,
						operator.getLimits(customer),
						servers,
					),
				0,
			),
			calmRefusals: checks.countCalmRefusals(
				records,
				this.startedAt + randomPlan.faultsEndMs + recoveryMs,
			),
			pendingChanges: operator.pendingCount,
			statements: records.length,
			withdrawals: operator.withdrawals,
			limitChanges: operator.limitChanges,
		};
	}

	private computePause(spec: types.CallerSpec): number | undefined {
		const elapsedMs = this.fleet.timeline.now - this.startedAt;
		if (elapsedMs >= randomPlan.planEndMs) {
			return undefined;
		}

		if (elapsedMs >= randomPlan.faultsEndMs) {
			return spec.calmPauseMs;
		}

		const pause = this.plan.pauses.find(
			({from, until}) => from <= elapsedMs && elapsedMs < until,
		);
		if (pause && this.isLimited(spec)) {
			return pause.until - elapsedMs;
		}

		const isIdle =
			this.isLimited(spec) && elapsedMs % floodIntervalMs < floodStartMs;
		return isIdle ? idlePauseMs : spec.pauseMs;
	}

	private isLimited({key}: types.CallerSpec): boolean {
		return this.plan.customers.some(
			({keys, ratePerS}) => ratePerS !== undefined && keys.includes(key),
		);
	}

	private runAction(action: types.PlanAction): void {
		switch (action.type) {
			case 'addKey': {
				this.operator.addKey(action.customer, action.key);
				return;
			}

			case 'withdrawKey': {
				this.operator.withdrawKey(action.customer, action.key);
				return;
			}

			case 'changeLimit': {
				const {customer, ratePerS, burst} = action;
				this.operator.changeLimit(customer, ratePerS, burst);
				return;
			}

			case 'crash': {
				this.crash(action.server, action.forMs);
				return;
			}

			case 'kill':
			case 'drain':
			case 'freeze':
			case 'cut': {
				this.runFault(action);
			}
		}
	}

	private crash(name: string, forMs: number): void {
		const servers = [...this.fleet.servers.values()];
		const server = this.fleet.getServer(name)!;
		if (servers.every(({isDown}) => !isDown)) {
			server.crash();
			this.fleet.timeline.schedule(forMs, () => {
				this.fleet.restartServer(server);
			});
		}
	}

	/** Runs the fault, unless the process has one already or another control peer has. */
	private runFault({type, process, forMs}: types.ProcessFault): void {
		const {proxies, controls, timeline} = this.fleet;
		const target: fleetTypes.FleetProcess =
			proxies.get(process) ?? controls.get(process)!;
		const isControl = controls.has(process);
		const candidates = isControl ? [...controls.values()] : [target];
		const isControlCut =
			this.cutProcess !== undefined && controls.has(this.cutProcess);
		if (
			candidates.some(({condition}) => condition !== 'up') ||
			(isControl && isControlCut)
		) {
			return;
		}

		switch (type) {
			case 'kill': {
				target.kill();
				this.restartAfterExit(target, forMs);
				return;
			}

			case 'freeze': {
				target.freeze();
				timeline.schedule(forMs, () => {
					if (target.condition === 'frozen') {
						target.thaw();
					}
				});
				return;
			}

			case 'drain': {
				proxies.get(process)!.drain();
				this.restartAfterExit(target, forMs);
				return;
			}

			case 'cut': {
				this.cut(process, forMs);
			}
		}
	}

	/** Cuts a process off from all others; one at a time. */
	private cut(process: string, forMs: number): void {
		if (this.cutProcess !== undefined) {
			return;
		}

		const {fleet} = this;
		this.cutProcess = process;
		for (const other of [...fleet.proxies.keys(), ...fleet.controls.keys()]) {
			if (other !== process) {
				fleet.links.cut(process as ids.PeerId, other as ids.PeerId);
			}
		}

		fleet.timeline.schedule(forMs, () => {
			this.cutProcess = undefined;
			fleet.links.heal();
		});
	}

	/** Starts a process again when its planned stop, or a kill during it, has ended it. */
	private restartAfterExit(
		target: fleetTypes.FleetProcess,
		forMs: number,
	): void {
		const {timeline} = this.fleet;
		if (target.condition !== 'dead') {
			timeline.schedule(exitCheckMs, () => {
				this.restartAfterExit(target, forMs);
			});
			return;
		}

		timeline.schedule(forMs, () => {
			if (target.condition === 'dead') {
				target.restart();
			}
		});
	}
}

/** Plays a plan with a fresh fleet, with a seeded mistake if one is named. */
export function runPlan(
	plan: types.Plan,
	mistake?: types.Mistake,
): types.Result {
	return new PlanRun(plan, mistake).run();
}

/** Describes the violated guarantees of a result; empty when all hold. */
export function listViolations(result: types.Result): string[] {
	const {statements, withdrawals, limitChanges, ...counts} = result;
	return Object.entries(counts).flatMap(([name, count]) =>
		count === 0 ? [] : [`${name}: ${count}`],
	);
}

function createFleet(
	{seed, customers}: types.Plan,
	mistake: types.Mistake | undefined,
): fleets.Fleet {
	const parameters = policyTesting.buildParameters();
	return new fleets.Fleet({
		proxies: randomPlan.proxyCount,
		controls: randomPlan.controlCount,
		seed,
		parameters,
		rateLimits: {
			bound: checks.rateBound,
			parseCustomers:
				mistake === 'ignoresLoweredLimits'
					? createHighestLimitParser()
					: operators.parseCustomers,
		},
		createConfigurationParser: (incarnation) => (text) => {
			const parsed = operators.parseCustomers(text);
			return customerFleet.buildRouteSet(
				mistake === 'keepsKeysAfterRestart' && incarnation > 1
					? restoreKeys(parsed, customers)
					: parsed,
				parameters,
			);
		},
		...(mistake === 'dropsLateRequests' ? {wrapReducer: dropLateRequests} : {}),
	});
}

/** Creates a parser that returns the highest limit which each customer has ever had. */
function createHighestLimitParser(): typeof operators.parseCustomers {
	const highest = new Map<ids.CustomerId, number>();
	return (text) =>
		operators.parseCustomers(text).map((customer) => {
			const ratePerS = Math.max(
				customer.ratePerS,
				highest.get(customer.customer) ?? 0,
			);
			highest.set(customer.customer, ratePerS);
			return {...customer, ratePerS};
		});
}

function restoreKeys(
	parsed: readonly common.Customer[],
	initial: readonly types.CustomerSpec[],
): common.Customer[] {
	return parsed.map((customer, index) => ({
		...customer,
		keys: new Set(initial[index].keys),
	}));
}

/** Removes the refusals of requests whose session the reducer has ended. */
function dropLateRequests(inner: reducer.ProxyReducer): reducer.ProxyReducer {
	const step = inner.step.bind(inner);
	inner.step = (event: proxy.ProxyEvent) => {
		const effects = step(event);
		return event.type === 'requestArrived'
			? effects.filter(
					(effect) =>
						effect.type !== 'refuseRequest' ||
						effect.message !== 'not run: the session has ended',
				)
			: effects;
	};

	return inner;
}
