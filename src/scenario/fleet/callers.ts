/**
 * Callers of a scenario. Each name is one user, who may move from one proxy to another; statements
 * of one user run one at a time. The outcomes of writes and the results of reads are recorded in the
 * history.
 */
import type * as ids from '../../common/ids.js';
import * as positions from '../../common/position.js';
import type * as proxy from '../../common/proxy/types.js';
import type * as fakeServer from './fake-server.js';
import type * as fleetTypes from './fleet-types.js';
import type * as history from './history.js';
import type * as proxyProcess from './proxy-process.js';

/** Longer than the longest deadline of a scenario. */
const answerTimeoutMs = 8000;
const reconnectDelayMs = 5;

/** SQLSTATE codes of refusals that say that the request did not run. */
const notRunSqlStates = /^(?:HK0\d\d|28000|57014|25006)$/v;

type User = {
	readonly name: string;
	proxy: string;
	/** Undefined while the user has no connection. */
	session: ids.SessionId | undefined;
	connection: {isCurrent: boolean};
	token: string | undefined;
	/** Newest acknowledged value per key. */
	readonly acknowledgedValues: Map<string, string>;
	readonly queue: Array<() => void>;
	isBusy: boolean;
	transaction: string | undefined;
	pendingWrites: history.WriteRecord[];
};

export class Callers {
	duplicateAnswers = 0;
	keysUsed = 0;
	closedInFlight = 0;
	private readonly users = new Map<string, User>();
	/** Times at which the unanswered statements were sent, by statement number. */
	private readonly pendingStatements = new Map<number, number>();
	private lastNumber = 0;

	constructor(
		private readonly fleet: fleetTypes.ScenarioFleet,
		private readonly history: history.History,
	) {}

	/** Counts the statements that have not been answered within the timeout. */
	countUnanswered(): number {
		const sentBefore = this.fleet.timeline.now - answerTimeoutMs;
		return [...this.pendingStatements.values()].filter(
			(sentAt) => sentAt < sentBefore,
		).length;
	}

	addUser(name: string, proxyName: string): void {
		const user: User = {
			name,
			proxy: proxyName,
			session: undefined,
			connection: {isCurrent: false},
			token: undefined,
			acknowledgedValues: new Map(),
			queue: [],
			isBusy: false,
			transaction: undefined,
			pendingWrites: [],
		};
		this.openSession(user, undefined);
		this.users.set(name, user);
	}

	/** Connects the user to another proxy, with or without its token. */
	move(name: string, proxyName: string, keepsToken: boolean): void {
		const user = this.getUser(name);
		this.enqueue(user, () => {
			this.disconnect(user);
			this.abandonTransaction(user);
			user.proxy = proxyName;
			this.openSession(user, keepsToken ? user.token : undefined);
			this.finishCurrent(user);
		});
	}

	/** Closes the user's connection, even while a statement is pending, and drops queued ones. */
	vanish(name: string): void {
		const user = this.getUser(name);
		this.disconnect(user);
		user.queue.length = 0;
	}

	write(
		name: string,
		key: string,
		attributes: proxy.RequestAttributes,
		reusedValue?: string,
	): void {
		const user = this.getUser(name);
		this.enqueue(user, () => {
			const value = reusedValue ?? `${name}-${++this.lastNumber}`;
			const record: history.WriteRecord = {
				user: name,
				key,
				value,
				sentAt: this.fleet.timeline.now,
				transaction: user.transaction,
				outcome: undefined,
				answeredAt: undefined,
				term: undefined,
			};
			this.history.writes.push(record);
			this.send(user, {type: 'put', key, value}, attributes, (answer) => {
				this.handleWriteAnswer(user, record, answer);
			});
		});
	}

	read(name: string, key: string, attributes: proxy.RequestAttributes): void {
		const user = this.getUser(name);
		this.enqueue(user, () => {
			const acknowledgedValue = user.acknowledgedValues.get(key);
			this.send(user, {type: 'get', key}, attributes, (answer) => {
				if (answer.type === 'answered' && answer.answer.type === 'ok') {
					const returnedValue = answer.answer.value;
					this.history.reads.push({
						user: name,
						key,
						acknowledgedValue,
						returnedValue,
					});
				}
			});
		});
	}

	sendTransactionCommand(
		name: string,
		type: 'begin' | 'commit' | 'rollback',
	): void {
		const user = this.getUser(name);
		this.enqueue(user, () => {
			if (type === 'begin') {
				user.transaction = `${name}/${++this.lastNumber}`;
				user.pendingWrites = [];
			}

			this.send(user, {type}, {deadlineMs: 2000}, (answer) => {
				if (type !== 'begin') {
					this.finishTransaction(user, type, answer);
				} else if (answer.type !== 'answered') {
					// What follows runs outside of a transaction.
					user.transaction = undefined;
				}
			});
		});
	}

	private abandonTransaction(user: User): void {
		for (const record of user.pendingWrites) {
			record.outcome = 'unknown';
		}

		user.pendingWrites = [];
		user.transaction = undefined;
	}

	private disconnect(user: User): void {
		user.connection.isCurrent = false;
		if (user.session !== undefined) {
			this.fleet.proxies.get(user.proxy)!.closeSession(user.session);
		}
	}

	private handleWriteAnswer(
		user: User,
		record: history.WriteRecord,
		answer: proxyProcess.CallerAnswer,
	): void {
		const isOk = answer.type === 'answered' && answer.answer.type === 'ok';
		if (isOk && user.transaction !== undefined) {
			user.pendingWrites.push(record);
			return;
		}

		record.answeredAt = this.fleet.timeline.now;
		if (isOk) {
			this.acknowledge(user, record, answer.token);
			return;
		}

		record.outcome = classifyFailure(answer);
		if (answer.type === 'refused' && answer.sqlState === 'HK008') {
			this.keysUsed++;
			// Another request with this key ran, so the value may be in the log.
			record.outcome = undefined;
		}

		if (answer.type === 'closed') {
			this.closedInFlight++;
		}
	}

	private finishTransaction(
		user: User,
		type: 'commit' | 'rollback',
		answer: proxyProcess.CallerAnswer,
	): void {
		const isOk = answer.type === 'answered' && answer.answer.type === 'ok';
		for (const record of user.pendingWrites) {
			record.answeredAt = this.fleet.timeline.now;
			if (isOk && type === 'commit') {
				this.acknowledge(user, record, answer.token);
			} else {
				record.outcome = isOk ? 'notRun' : classifyFailure(answer);
			}
		}

		user.transaction = undefined;
		user.pendingWrites = [];
	}

	private acknowledge(
		user: User,
		record: history.WriteRecord,
		token: string | undefined,
	): void {
		record.outcome = 'acknowledged';
		user.acknowledgedValues.set(record.key, record.value);
		if (token !== undefined) {
			user.token = token;
			record.term = positions
				.parsePosition(token)
				.unwrapOr(positions.zeroPosition).term;
		}
	}

	private send(
		user: User,
		statement: fakeServer.FakeStatement,
		attributes: proxy.RequestAttributes,
		callback: (answer: proxyProcess.CallerAnswer) => void,
	): void {
		let isAnswered = false;
		const statementNumber = ++this.lastNumber;
		this.pendingStatements.set(statementNumber, this.fleet.timeline.now);
		this.fleet.proxies
			.get(user.proxy)!
			.send(user.session!, statement, attributes, (answer) => {
				if (isAnswered) {
					this.duplicateAnswers++;
					return;
				}

				isAnswered = true;
				this.pendingStatements.delete(statementNumber);
				callback(answer);
				this.finishCurrent(user);
			});
	}

	/** Connects a user whose connection was closed to a ready proxy, as a load balancer does. */
	private reconnect(user: User): void {
		this.abandonTransaction(user);
		user.session = undefined;
		this.fleet.timeline.schedule(reconnectDelayMs, () => {
			this.tryConnect(user);
		});
	}

	private tryConnect(user: User): void {
		const ready = [...this.fleet.proxies].find(
			([, process]) => process.condition === 'up' && process.isReady,
		);
		if (!ready) {
			this.fleet.timeline.schedule(reconnectDelayMs, () => {
				this.tryConnect(user);
			});
			return;
		}

		[user.proxy] = ready;
		this.openSession(user, undefined);
		if (!user.isBusy) {
			this.startNext(user);
		}
	}

	private openSession(user: User, token: string | undefined): void {
		const position =
			token === undefined
				? undefined
				: positions.parsePosition(token).unwrapOr(undefined);
		const connection = {isCurrent: true};
		user.connection.isCurrent = false;
		user.connection = connection;
		user.session = this.fleet.proxies.get(user.proxy)!.openSession(
			{
				member: this.fleet.member,
				group: this.fleet.group,
				...(position ? {token: position} : {}),
			},
			() => {
				if (connection.isCurrent) {
					connection.isCurrent = false;
					this.reconnect(user);
				}
			},
		);
		if (!connection.isCurrent) {
			user.session = undefined;
		}
	}

	private enqueue(user: User, run: () => void): void {
		user.queue.push(run);
		if (!user.isBusy) {
			this.startNext(user);
		}
	}

	private startNext(user: User): void {
		const next = user.session === undefined ? undefined : user.queue.shift();
		user.isBusy = next !== undefined;
		next?.();
	}

	private finishCurrent(user: User): void {
		this.startNext(user);
	}

	private getUser(name: string): User {
		const user = this.users.get(name);
		if (!user) {
			throw new Error(
				`unknown session "${name}": no session step has opened it`,
			);
		}

		return user;
	}
}

function classifyFailure(
	answer: proxyProcess.CallerAnswer,
): history.WriteOutcome {
	if (answer.type === 'refused') {
		return notRunSqlStates.test(answer.sqlState) ? 'notRun' : 'unknown';
	}

	if (answer.type === 'answered' && answer.answer.type === 'error') {
		return 'notRun';
	}

	return 'unknown';
}
