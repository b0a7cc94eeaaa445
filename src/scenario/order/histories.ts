/**
 * Short histories of a fleet for the search by order, and what must hold at their end, judged by what
 * callers, operators, servers and their platform see. Each history has one fault of its own, within what
 * the fleet bears together with one more loss.
 */
import type * as ids from '../../common/ids.js';
import * as fleets from '../fleet/fleet.js';
import * as interpreter from '../fleet/interpreter.js';
import * as promotionRequests from '../fleet/promotion-requests.js';
import * as parser from '../parser.js';
import * as runner from '../runner.js';
import * as scheduleGate from './schedule-gate.js';
import type * as order from './types.js';

/** Fixes that can be switched off. */
export const fixes = [
	'leadershipCheck',
	'majorityStart',
	'holderCount',
	'fullDiskRetry',
] as const;

/** Switches off a fix; only to show that the search finds the fault that it mends. */
export type MissingFix = (typeof fixes)[number];

export type History = {
	readonly name: string;
	/** Steps are counted from this time of the scenario on, in ms; from the start when it is absent. */
	readonly armedAt?: number;
	/** Without a scenario, the history is the first start. */
	readonly scenario?: string;
	readonly synchronousReplicas?: number;
	/** The servers that a schedule may deafen. */
	readonly replicas: readonly ids.UpstreamId[];
};

/**
 * True when a fleet must bear the schedule: at most one disk is lost, and at most one process ends during
 * the first start (see "First start of control" in docs/design.md).
 */
export function isTolerated(
	history: History,
	schedule: order.Schedule,
): boolean {
	const kills = schedule
		.map(({act}) => act)
		.filter((act) => act.type === 'kill');
	const isFirstStart = history.scenario === undefined;
	return (
		kills.filter(({losesDisk}) => losesDisk).length <= 1 &&
		(!isFirstStart || kills.length <= 1)
	);
}

export type HistoryRun = {
	/** What does not hold. */
	readonly problems: readonly string[];
	readonly seen: scheduleGate.ScheduleGate['seen'];
};

const seed = 1;
const proxies = 3;
const controls = 3;
const normalReceiveLagMs = 1;
const deafReceiveLagMs = 60_000;
/** Steps are counted for this long, in ms. */
const armedMs = 6000;
/** Time after which everything that a schedule may have stopped runs again, in ms. */
const recoveryMs = 12_000;
const changeTimeoutMs = 6000;

const load = [
	'session a proxy=p1',
	'session b proxy=p2',
	'at 10ms every 20ms until 9s write a key=a deadline=1s',
	'at 15ms every 20ms until 9s write b key=b deadline=1s',
	'at 20ms every 40ms until 9s read a key=a staleness=1s deadline=1s',
];
const expectations = [
	'expect stale reads = 0',
	'expect lost writes = 0',
	'expect duplicated writes = 0',
	'expect false refusals = 0',
	'expect commits after a promotion = 0',
	'expect mixed transactions = 0',
	'expect second answers = 0',
	'expect unanswered statements = 0',
];

function buildScenario(name: string, ...faults: readonly string[]): string {
	return [`scenario ${name}`, ...load, ...faults, ...expectations].join('\n');
}

const replicas = ['s2', 's3'] as ids.UpstreamId[];
const crash = buildScenario(
	'a primary crashes',
	'at 1s crash s1',
	'at 6s start s1',
);

export const histories: readonly History[] = [
	{name: 'first start', replicas: []},
	{name: 'fenced crash', armedAt: 1000, scenario: crash, replicas},
	{
		name: 'crash',
		armedAt: 1000,
		scenario: crash,
		synchronousReplicas: 0,
		replicas: [],
	},
	{
		name: 'synchronous crash',
		armedAt: 900,
		scenario: buildScenario(
			'a primary crashes while a replica does not answer',
			'at 1s crash s1',
			'at 1010ms freeze s2',
			'at 4s thaw s2',
			'at 6s start s1',
		),
		synchronousReplicas: 1,
		replicas,
	},
	{
		name: 'synchronous departure',
		armedAt: 1000,
		scenario: buildScenario('a primary departs', 'at 1s depart s1'),
		synchronousReplicas: 1,
		replicas,
	},
];

/** Plays a history with a schedule. */
export function runHistory(
	history: History,
	schedule: order.Schedule,
	missingFix?: MissingFix,
): HistoryRun {
	const {armedAt = 0, scenario, synchronousReplicas} = history;
	const gates: scheduleGate.ScheduleGate[] = [];
	const fleet = new fleets.Fleet({
		proxies,
		controls,
		seed,
		...(synchronousReplicas === undefined ? {} : {synchronousReplicas}),
		...(missingFix === 'holderCount' ? {announcedSynchronousReplicas: 0} : {}),
		ignoresEndOfLeadership: missingFix === 'leadershipCheck',
		needsAllAtFirstStart: missingFix === 'majorityStart',
		endsOnFullDisk: missingFix === 'fullDiskRetry',
		createGate(timeline) {
			const gate = new scheduleGate.ScheduleGate({
				schedule,
				timeline,
				disturbDisk(process, kind, forMs) {
					fleet.controls.get(process)?.disturbDisk(kind, forMs);
				},
				deafen(server, forMs) {
					deafenServer(fleet, server, forMs);
				},
			});
			timeline.schedule(armedMs, () => {
				gate.isArmed = false;
			});
			gate.isArmed = scenario === undefined;
			gates.push(gate);
			return gate;
		},
	});
	const [gate] = gates;
	const problems =
		scenario === undefined ? [] : runScenario(fleet, scenario, gate, armedAt);
	fleet.timeline.runUntil(fleet.timeline.now + recoveryMs);
	return {
		problems: [...problems, ...listEndProblems(fleet)],
		seen: gate.seen,
	};
}

function deafenServer(
	fleet: fleets.Fleet,
	id: ids.UpstreamId,
	forMs: number,
): void {
	const server = fleet.servers.get(id);
	if (server) {
		server.receiveLagMs = deafReceiveLagMs;
		fleet.timeline.schedule(forMs, () => {
			server.receiveLagMs = normalReceiveLagMs;
		});
	}
}

function runScenario(
	fleet: fleets.Fleet,
	text: string,
	gate: scheduleGate.ScheduleGate,
	armedAt: number,
): string[] {
	const [scenario] = parser.parseScenarios(text)._unsafeUnwrap();
	const fleetInterpreter = new interpreter.FleetInterpreter(fleet);
	fleet.timeline.schedule(armedAt, () => {
		gate.isArmed = true;
	});
	fleet.timeline.schedule(armedAt + armedMs, () => {
		gate.isArmed = false;
	});
	return runner
		.runScenario(scenario, [fleetInterpreter])
		.map(({message}) => message);
}

/** Lists what does not hold at the end: a leader, a change that is accepted, promotions in order. */
function listEndProblems(fleet: fleets.Fleet): string[] {
	const controlProcesses = [...fleet.controls.values()];
	const problems: string[] = [];
	const leader = controlProcesses.find(({isLeader}) => isLeader);
	if (!leader) {
		problems.push('no control peer leads');
	}

	for (const {peer, ownExits} of controlProcesses) {
		if (ownExits > 0) {
			problems.push(`${peer} ended by itself`);
		}
	}

	const late = promotionRequests.findLateRequests(
		promotionRequests.listPromotionRequests(controlProcesses),
	);
	for (const {peer, server, at, leaderTerm} of late) {
		problems.push(
			`${peer} promoted ${server} at ${at} in consensus term ${leaderTerm}, after a request of a higher term`,
		);
	}

	const version = leader?.machine.listTemplates()[0]?.template.version ?? 0;
	const results: string[] = [];
	for (const {peer} of controlProcesses) {
		fleet.changeTemplate(peer, version, 'last', ({type}) => {
			results.push(type);
		});
	}

	fleet.timeline.runUntil(fleet.timeline.now + changeTimeoutMs);
	if (!results.includes('accepted')) {
		problems.push('no change is accepted');
	}

	return problems;
}
