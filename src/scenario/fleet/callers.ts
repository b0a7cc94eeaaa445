/**
 * Callers of a scenario. Each name is one user, who may move from one proxy to another; statements
 * of one user run one after the other. Everything that they are told goes into the history.
 */
import type * as ids from '../../common/ids.js';
import * as positions from '../../common/position.js';
import type * as proxy from '../../common/proxy/types.js';
import type * as fakeServer from './fake-server.js';
import type * as fleetTypes from './fleet-types.js';
import type * as history from './history.js';
import type * as proxyProcess from './proxy-process.js';

/** The longest deadline of a scenario and some more. */
const answerLimitMs = 8000;
/** Time until a client connects again. */
const reconnectMs = 5;

/** States that say that the request did not run. */
const notRunStates = /^(?:HK0\d\d|28000|57014|25006)$/v;

type User = {
	readonly name: string;
	proxy: string;
	/** Undefined while the user has no connection. */
	session: ids.SessionId | undefined;
	connection: {isCurrent: boolean};
	token: string | undefined;
	/** Newest acknowledged value per key. */
	readonly own: Map<string, string>;
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
	/** Statements without an answer, with the times at which they were sent. */
	private readonly outstanding = new Map<number, number>();
	private counter = 0;

	constructor(
		private readonly fleet: fleetTypes.ScenarioFleet,
		private readonly history: history.History,
	) {}

	/** Statements that should have been answered long ago. */
	countUnanswered(): number {
		const limit = this.fleet.timeline.now - answerLimitMs;
		return [...this.outstanding.values()].filter((at) => at < limit).length;
	}

	addUser(name: string, proxyName: string): void {
		const user: User = {
			name,
			proxy: proxyName,
			session: undefined,
			connection: {isCurrent: false},
			token: undefined,
			own: new Map(),
			queue: [],
			isBusy: false,
			transaction: undefined,
			pendingWrites: [],
		};
		this.openSession(user, undefined);
		this.users.set(name, user);
	}

	/** The user connects to another proxy, with or without its token. */
	move(name: string, proxyName: string, keepsToken: boolean): void {
		const user = this.getUser(name);
		this.enqueue(user, () => {
			this.disconnect(user);
			user.proxy = proxyName;
			this.openSession(user, keepsToken ? user.token : undefined);
			this.finish(user);
		});
	}

	/** The user's connection vanishes, whatever is in flight. */
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
			const value = reusedValue ?? `${name}-${++this.counter}`;
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
			const own = user.own.get(key);
			this.send(user, {type: 'get', key}, attributes, (answer) => {
				if (answer.type === 'answered' && answer.answer.type === 'ok') {
					const found = answer.answer.value;
					this.history.reads.push({
						user: name,
						key,
						acknowledgedValue: own,
						returnedValue: found,
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
				user.transaction = `${name}/${++this.counter}`;
				user.pendingWrites = [];
			}

			this.send(user, {type}, {deadlineMs: 2000}, (answer) => {
				if (type !== 'begin') {
					this.finishTransaction(user, type, answer);
				}
			});
		});
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
		user.own.set(record.key, record.value);
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
		const number = ++this.counter;
		this.outstanding.set(number, this.fleet.timeline.now);
		this.fleet.proxies
			.get(user.proxy)!
			.send(user.session!, statement, attributes, (answer) => {
				if (isAnswered) {
					this.duplicateAnswers++;
					return;
				}

				isAnswered = true;
				this.outstanding.delete(number);
				callback(answer);
				this.finish(user);
			});
	}

	/** A client whose connection broke connects again, through the load balancer. */
	private reconnect(user: User): void {
		for (const record of user.pendingWrites) {
			record.outcome = 'unknown';
		}

		user.pendingWrites = [];
		user.transaction = undefined;
		user.session = undefined;
		this.fleet.timeline.schedule(reconnectMs, () => {
			this.tryConnect(user);
		});
	}

	private tryConnect(user: User): void {
		const ready = [...this.fleet.proxies].find(
			([, process]) => process.condition === 'up' && process.isReady,
		);
		if (!ready) {
			this.fleet.timeline.schedule(reconnectMs, () => {
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

	private finish(user: User): void {
		this.startNext(user);
	}

	private getUser(name: string): User {
		const user = this.users.get(name);
		if (!user) {
			throw new Error(`no session "${name}"`);
		}

		return user;
	}
}

function classifyFailure(
	answer: proxyProcess.CallerAnswer,
): history.WriteOutcome {
	if (answer.type === 'refused') {
		return notRunStates.test(answer.sqlState) ? 'notRun' : 'unknown';
	}

	if (answer.type === 'answered' && answer.answer.type === 'error') {
		return 'notRun';
	}

	return 'unknown';
}
