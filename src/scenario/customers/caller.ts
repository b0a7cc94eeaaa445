/**
 * A caller with a key. It connects to a ready proxy, as through a load balancer, and sends statements in
 * turns. Every statement is recorded with what became of it.
 */
import type * as ids from '../../common/ids.js';
import * as refusals from '../../common/proxy/refusals.js';
import type * as random from '../../common/random.js';
import type * as fakeServer from '../fleet/fake-server.js';
import type * as fleetTypes from '../fleet/fleet-types.js';
import type * as proxyProcess from '../fleet/proxy-process.js';
import type * as types from './types.js';

const reconnectDelayMs = 5;
const deadlineMs = 1000;

export type StatementRecord = {
	readonly caller: types.CallerSpec;
	readonly type: fakeServer.FakeStatement['type'];
	/** The value that a write stores. */
	readonly value: string | undefined;
	readonly sentAt: number;
	/** How long the key had been withdrawn when a proxy read the statement; `undefined` if none did. */
	withdrawnMs: number | undefined;
	answeredAt: number | undefined;
	answer: proxyProcess.CallerAnswer | undefined;
	answerCount: number;
	/** The statement before it in its turn. */
	readonly previous: StatementRecord | undefined;
};

export type CallerEnvironment = {
	readonly fleet: fleetTypes.ScenarioFleet;
	readonly records: StatementRecord[];
	readonly random: random.RandomSource;
	computeWithdrawnTime(key: ids.KeyDigest): number;
	/** The pause before the next turn; `undefined` when there is none. */
	computePause(spec: types.CallerSpec): number | undefined;
};

export class Caller {
	private proxy: fleetTypes.FleetProxy | undefined;
	private session: ids.SessionId | undefined;
	/** Statements of the turn without an answer. */
	private openCount = 0;
	private turn = 0;

	constructor(
		private readonly environment: CallerEnvironment,
		private readonly spec: types.CallerSpec,
	) {}

	start(): void {
		this.scheduleTurn();
	}

	private scheduleTurn(): void {
		const pauseMs = this.environment.computePause(this.spec);
		if (pauseMs !== undefined) {
			this.environment.fleet.timeline.schedule(pauseMs, () => {
				this.runTurn();
			});
		}
	}

	private runTurn(): void {
		if (!this.connect()) {
			this.environment.fleet.timeline.schedule(reconnectDelayMs, () => {
				this.runTurn();
			});
			return;
		}

		this.turn++;
		const statements = this.buildStatements();
		// The statements of a turn keep it open until the last of them is answered.
		this.openCount = statements.length;
		this.sendFrom(statements, 0);
	}

	private buildStatements(): fakeServer.FakeStatement[] {
		const key = this.spec.name;
		const value = `${this.spec.name}-${this.turn}`;
		if (this.spec.usesTransactions) {
			return [{type: 'begin'}, {type: 'put', key, value}, {type: 'commit'}];
		}

		return this.environment.random.readInteger(0, 1) === 0
			? [
					{type: 'get', key},
					{type: 'get', key},
				]
			: [
					{type: 'put', key, value},
					{type: 'get', key},
				];
	}

	private sendFrom(
		statements: readonly fakeServer.FakeStatement[],
		index: number,
		previous?: StatementRecord,
	): void {
		const statement = statements[index];
		if (!statement) {
			return;
		}

		const {pace} = this.spec;
		const record = this.send(statement, previous, (answered) => {
			this.openCount--;
			if (this.openCount === 0) {
				this.scheduleTurn();
			} else if (pace === 'atOnce') {
				this.sendFrom(statements, index + 1, answered);
			} else if (pace === 'paced') {
				this.environment.fleet.timeline.schedule(this.spec.pauseMs, () => {
					this.sendFrom(statements, index + 1, answered);
				});
			}
		});
		if (pace === 'ahead') {
			this.sendFrom(statements, index + 1, record);
		}
	}

	private send(
		statement: fakeServer.FakeStatement,
		previous: StatementRecord | undefined,
		handleAnswer: (record: StatementRecord) => void,
	): StatementRecord {
		const {fleet, records} = this.environment;
		const record: StatementRecord = {
			caller: this.spec,
			type: statement.type,
			value: statement.type === 'put' ? statement.value : undefined,
			previous,
			sentAt: fleet.timeline.now,
			withdrawnMs: undefined,
			answeredAt: undefined,
			answer: undefined,
			answerCount: 0,
		};
		records.push(record);
		const handle = (answer: proxyProcess.CallerAnswer) => {
			record.answerCount++;
			record.answer ??= answer;
			record.answeredAt ??= fleet.timeline.now;
			if (record.answerCount === 1) {
				handleAnswer(record);
			}
		};

		this.proxy!.send(this.session!, statement, {deadlineMs}, handle, () => {
			record.withdrawnMs = this.environment.computeWithdrawnTime(this.spec.key);
		});
		return record;
	}

	/** Connects if necessary; false when no proxy is ready. */
	private connect(): boolean {
		if (this.session !== undefined) {
			return true;
		}

		const {fleet} = this.environment;
		const ready = [...fleet.proxies.values()].filter(
			({condition, isReady}) => condition !== 'dead' && isReady,
		);
		if (ready.length === 0) {
			return false;
		}

		const proxy =
			ready[this.environment.random.readInteger(0, ready.length - 1)];
		let isOpen = true;
		let session: ids.SessionId | undefined;
		// The connection may be refused before its number is known.
		// eslint-disable-next-line prefer-const
		session = proxy.openSession(
			{member: fleet.member, group: fleet.group, key: this.spec.key},
			() => {
				isOpen = false;
				if (this.session === session) {
					this.session = undefined;
				}
			},
		);
		if (isOpen) {
			this.proxy = proxy;
			this.session = session;
		}

		return isOpen;
	}
}

/** Returns whether an answer says that the statement did not run. */
export function isNotRun(answer: proxyProcess.CallerAnswer): boolean {
	switch (answer.type) {
		case 'answered': {
			return answer.answer.type === 'error';
		}

		case 'refused': {
			return answer.sqlState !== refusals.unknownOutcomeSqlState;
		}

		case 'closed': {
			return false;
		}
	}
}
