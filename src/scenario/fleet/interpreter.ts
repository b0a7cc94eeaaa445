/**
 * Implements the scenario steps for a fleet: callers, faults, template changes, and the measures of
 * the guarantees. Time 0 of a scenario is the time at which the fleet is ready.
 */
import * as neverthrow from 'neverthrow';
import type * as proxy from '../../common/proxy/types.js';
import type * as ids from '../../common/ids.js';
import * as parser from '../parser.js';
import type * as scenario from '../types.js';
import * as callers from './callers.js';
import type * as fakeServer from './fake-server.js';
import type * as fleetTypes from './fleet-types.js';
import * as history from './history.js';

/** Time after the last step in which pending statements may still be answered. */
const settleMs = 15_000;

type Result = neverthrow.Result<undefined, string>;
type Handler = (action: scenario.ActionStep) => Result;

export class FleetInterpreter implements scenario.Interpreter {
	readonly verbs: readonly string[];
	private readonly startedAt: number;
	private readonly history = new history.History();
	private readonly callers: callers.Callers;
	private readonly handlers: ReadonlyMap<string, Handler>;
	private readonly changeCounts = {accepted: 0, conflicts: 0, unavailable: 0};
	/** Start of the period that `write gap` and `work on` measure. */
	private markedAt: number;
	private isFinished = false;

	constructor(private readonly fleet: fleetTypes.ScenarioFleet) {
		fleet.startUp();
		this.startedAt = fleet.timeline.now;
		this.markedAt = this.startedAt;
		this.callers = new callers.Callers(fleet, this.history);
		this.handlers = new Map<string, Handler>([
			['session', (action) => this.openSession(action)],
			['move', (action) => this.moveSession(action)],
			['vanish', (action) => this.vanish(action)],
			['write', (action) => this.write(action)],
			['read', (action) => this.read(action)],
			['begin', (action) => this.sendTransactionCommand(action, 'begin')],
			['commit', (action) => this.sendTransactionCommand(action, 'commit')],
			['rollback', (action) => this.sendTransactionCommand(action, 'rollback')],
			['set', (action) => this.setServer(action)],
			['crash', (action) => this.crash(action)],
			['start', (action) => this.start(action)],
			['freeze', (action) => this.setFrozen(action, true)],
			['thaw', (action) => this.setFrozen(action, false)],
			['kill', (action) => this.kill(action)],
			['drain', (action) => this.drain(action)],
			['depart', (action) => this.depart(action)],
			['cut', (action) => this.cut(action)],
			['heal', () => this.heal()],
			['change', (action) => this.changeTemplate(action)],
			['mark', () => this.mark()],
		]);
		this.verbs = [...this.handlers.keys()];
	}

	runAction(action: scenario.ActionStep): Result {
		return this.handlers.get(action.verb)!(action);
	}

	runUntil(now: number): void {
		this.fleet.timeline.runUntil(this.startedAt + now);
	}

	finish(): void {
		if (!this.isFinished) {
			this.isFinished = true;
			this.fleet.timeline.runUntil(this.fleet.timeline.now + settleMs);
		}
	}

	findMeasure(subject: readonly string[]): number | undefined {
		const name = subject.join(' ');
		const primary = this.fleet.findPrimary()!;
		const servers = [...this.fleet.servers.values()];
		switch (name) {
			case 'acknowledged writes': {
				return this.history.countWrites('acknowledged');
			}

			case 'refused writes': {
				return this.history.countWrites('notRun');
			}

			case 'unknown writes': {
				return this.history.countWrites('unknown');
			}

			case 'answered reads': {
				return this.history.reads.length;
			}

			case 'stale reads': {
				return this.history.countReadYourWritesViolations(servers);
			}

			case 'foreign reads': {
				return this.history.countForeignReads();
			}

			case 'lost writes': {
				return this.history.countLostWrites(primary, this.fleet.promotions);
			}

			case 'duplicated writes': {
				return this.history.countDuplicatedWrites(servers);
			}

			case 'false refusals': {
				return this.history.countFalseRefusals(servers);
			}

			case 'late acknowledgements': {
				return this.history.countLateAcknowledgements(
					this.fleet.promotions,
					primary,
					servers,
				);
			}

			case 'commits after a promotion': {
				return this.history.countCommitsAfterPromotion(
					this.fleet.promotions,
					servers,
				);
			}

			case 'mixed transactions': {
				return this.history.countMixedTransactions([primary]);
			}

			case 'unanswered statements': {
				return this.callers.countUnanswered();
			}

			case 'second answers': {
				return this.callers.duplicateAnswers;
			}

			case 'broken statements': {
				return this.callers.closedInFlight;
			}

			case 'used keys': {
				return this.callers.keysUsed;
			}

			case 'promotions': {
				return this.fleet.promotions.filter(({at}) => at > this.startedAt)
					.length;
			}

			case 'write gap': {
				return this.history.computeWriteGap(
					this.markedAt,
					this.fleet.timeline.now,
				);
			}

			case 'replica share': {
				return this.computeReplicaShare();
			}

			case 'accepted changes': {
				return this.changeCounts.accepted;
			}

			case 'conflicting changes': {
				return this.changeCounts.conflicts;
			}

			default: {
				return this.findProcessMeasure(subject);
			}
		}
	}

	/** Measures with the name of a process: `work on s1`, `version at p1`. */
	private findProcessMeasure(subject: readonly string[]): number | undefined {
		const [measure, , name = ''] = subject;
		const server = this.fleet.servers.get(name);
		if (measure === 'work' && server) {
			return server.executedAt.filter((at) => at > this.markedAt).length;
		}

		const process = this.fleet.proxies.get(name);
		return measure === 'version' && process
			? process.templateVersion
			: undefined;
	}

	private computeReplicaShare(): number {
		const reads = [...this.fleet.proxies.values()].flatMap(({records}) =>
			records.filter(
				({kind, verdict}) => kind === 'read' && verdict === 'completed',
			),
		);
		const replicaReads = reads.filter(({servedBy}) => servedBy === 'replica');
		return reads.length === 0 ? 0 : replicaReads.length / reads.length;
	}

	private openSession(action: scenario.ActionStep): Result {
		return this.withSession(action, (name) => {
			this.callers.addUser(name, action.options.get('proxy') ?? 'p1');
		});
	}

	private moveSession(action: scenario.ActionStep): Result {
		return this.withSession(action, (name) => {
			this.callers.move(
				name,
				action.options.get('proxy') ?? 'p1',
				action.options.get('token') !== 'no',
			);
		});
	}

	private vanish(action: scenario.ActionStep): Result {
		return this.withSession(action, (name) => {
			this.callers.vanish(name);
		});
	}

	private write(action: scenario.ActionStep): Result {
		return this.withSession(action, (name) => {
			const count = Number(action.options.get('count') ?? 1);
			for (let index = 0; index < count; index++) {
				this.callers.write(
					name,
					action.options.get('key') ?? 'a',
					parseAttributes(action),
					action.options.get('value'),
				);
			}
		});
	}

	private read(action: scenario.ActionStep): Result {
		return this.withSession(action, (name) => {
			this.callers.read(
				name,
				action.options.get('key') ?? 'a',
				parseAttributes(action),
			);
		});
	}

	private sendTransactionCommand(
		action: scenario.ActionStep,
		type: 'begin' | 'commit' | 'rollback',
	): Result {
		return this.withSession(action, (name) => {
			this.callers.sendTransactionCommand(name, type);
		});
	}

	private setServer(action: scenario.ActionStep): Result {
		return this.withServer(action, (server) => {
			server.applyLagMs =
				readNumberOption(action, 'apply') ?? server.applyLagMs;
			server.receiveLagMs =
				readNumberOption(action, 'receive') ?? server.receiveLagMs;
			server.serviceMs =
				readNumberOption(action, 'service') ?? server.serviceMs;
		});
	}

	private crash(action: scenario.ActionStep): Result {
		return this.withServer(action, (server) => {
			server.crash();
		});
	}

	private start(action: scenario.ActionStep): Result {
		const server = this.findServer(action);
		if (server) {
			this.fleet.restartServer(server);
			return neverthrow.ok(undefined);
		}

		return this.withProcess(action, (process) => {
			process.restart(action.options.get('disk') === 'lost');
		});
	}

	private setFrozen(action: scenario.ActionStep, isFrozen: boolean): Result {
		const server = this.findServer(action);
		if (server) {
			server.isFrozen = isFrozen;
			return neverthrow.ok(undefined);
		}

		return this.withProcess(action, (process) => {
			if (isFrozen) {
				process.freeze();
			} else {
				process.thaw();
			}
		});
	}

	private kill(action: scenario.ActionStep): Result {
		return this.withProcess(action, (process) => {
			process.kill();
		});
	}

	private drain(action: scenario.ActionStep): Result {
		const process = this.fleet.proxies.get(action.words[0] ?? '');
		if (!process) {
			return neverthrow.err('drain needs the name of a proxy');
		}

		process.drain();
		return neverthrow.ok(undefined);
	}

	private depart(action: scenario.ActionStep): Result {
		return this.withServer(action, (server) => {
			server.departing = true;
		});
	}

	/** `cut s1 p2` or `cut c1 *`: drops everything sent between the two, or to and from all others. */
	private cut(action: scenario.ActionStep): Result {
		const [left = '', right = ''] = action.words;
		for (const other of right === '*' ? this.listOtherNames(left) : [right]) {
			this.cutPair(left, other);
		}

		return neverthrow.ok(undefined);
	}

	private cutPair(left: string, right: string): void {
		const leftServer = this.fleet.servers.get(left);
		const rightServer = this.fleet.servers.get(right);
		leftServer?.cutPeers.add(right);
		rightServer?.cutPeers.add(left);
		if (!leftServer && !rightServer) {
			this.fleet.links.cut(left as ids.PeerId, right as ids.PeerId);
		}
	}

	private heal(): Result {
		this.fleet.links.heal();
		for (const server of this.fleet.servers.values()) {
			server.cutPeers.clear();
		}

		return neverthrow.ok(undefined);
	}

	private changeTemplate(action: scenario.ActionStep): Result {
		this.fleet.changeTemplate(
			action.words[0] ?? 'c1',
			Number(action.options.get('expected') ?? 0),
			action.options.get('id') ?? 'change',
			(result) => {
				if (result.type === 'accepted') {
					this.changeCounts.accepted++;
				} else if (result.type === 'versionConflict') {
					this.changeCounts.conflicts++;
				} else {
					this.changeCounts.unavailable++;
				}
			},
		);
		return neverthrow.ok(undefined);
	}

	private mark(): Result {
		this.markedAt = this.fleet.timeline.now;
		return neverthrow.ok(undefined);
	}

	private listOtherNames(excludedName: string): string[] {
		return [
			...this.fleet.servers.keys(),
			...this.fleet.proxies.keys(),
			...this.fleet.controls.keys(),
		].filter((name) => name !== excludedName);
	}

	/** The named server; `primary` is the current primary. */
	private findServer(
		action: scenario.ActionStep,
	): fakeServer.FakeServer | undefined {
		const [name = ''] = action.words;
		return name === 'primary'
			? this.fleet.findPrimary()
			: this.fleet.servers.get(name);
	}

	private withServer(
		action: scenario.ActionStep,
		run: (server: fakeServer.FakeServer) => void,
	): Result {
		const server = this.findServer(action);
		if (!server) {
			return neverthrow.err(`${action.verb} needs the name of a server`);
		}

		run(server);
		return neverthrow.ok(undefined);
	}

	private withProcess(
		action: scenario.ActionStep,
		run: (process: fleetTypes.FleetProcess) => void,
	): Result {
		const [name = ''] = action.words;
		const process =
			this.fleet.proxies.get(name) ?? this.fleet.controls.get(name);
		if (!process) {
			return neverthrow.err(`${action.verb} needs the name of a process`);
		}

		run(process);
		return neverthrow.ok(undefined);
	}

	private withSession(
		action: scenario.ActionStep,
		run: (name: string) => void,
	): Result {
		const [name] = action.words;
		if (name === undefined) {
			return neverthrow.err(`${action.verb} needs the name of a session`);
		}

		run(name);
		return neverthrow.ok(undefined);
	}
}

function readNumberOption(
	action: scenario.ActionStep,
	name: string,
): number | undefined {
	const text = action.options.get(name);
	return text === undefined
		? undefined
		: parser.parseNumber(text).unwrapOr(Number.NaN);
}

function parseAttributes(action: scenario.ActionStep): proxy.RequestAttributes {
	const stalenessMs = readNumberOption(action, 'staleness');
	const deadlineMs = readNumberOption(action, 'deadline');
	const key = action.options.get('id');
	return {
		...(stalenessMs === undefined ? {} : {stalenessMs}),
		...(deadlineMs === undefined ? {} : {deadlineMs}),
		...(key === undefined ? {} : {key}),
		...(action.options.get('repeatable') === 'yes' ? {repeatable: true} : {}),
	};
}
