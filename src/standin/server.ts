/**
 * A stand-in for a PostgreSQL server: listens for clients, replicas and control connections, and
 * injects faults. Several servers can run in one process.
 */
import * as net from 'node:net';
import type * as ids from '../common/ids.js';
import type * as shared from '../common/types.js';
import {Announcer} from './announcer.js';
import * as engine from './engine.js';
import * as faults from './faults.js';
import * as gates from './gate.js';
import * as log from './log.js';
import {ReplicationRole} from './replication-role.js';
import type * as replication from './replication.js';
import * as functions from './server-functions.js';
import type * as sessionHost from './session-host.js';
import {Session} from './session.js';
import * as slots from './slots.js';
import * as store from './store.js';
import type * as transactions from './transaction.js';
import * as types from './types.js';

const defaultSlots = 3;
const defaultConnectionLimit = 25;

/** A server that is cut off, crashed or frozen can be reached through the control port only. */
export class StandInServer implements sessionHost.SessionHost {
	readonly engine: engine.Engine;
	readonly executionGate = new gates.Gate();
	readonly controlGate = new gates.Gate();
	readonly faults: types.Faults;
	/** Time of the last start in ms since the Unix epoch; changes at each restart. */
	startedAt = Date.now();
	slots: slots.SlotPool;
	private readonly networkGate = new gates.Gate();
	private readonly store = new store.Store();
	private readonly log: log.ReplicationLog;
	private readonly replicationRole: ReplicationRole;
	private readonly announcer: Announcer;
	private readonly sessions = new Set<Session>();
	private readonly senders = new Map<Session, replication.ReplicaSender>();
	private readonly sockets = new Set<net.Socket>();
	private readonly controlSockets = new Set<net.Socket>();
	private listener: net.Server | undefined;
	private controlListener: net.Server | undefined;
	private listenerPort: number;
	private lastProcessId = 0;

	constructor(private readonly options: types.StandInOptions) {
		this.faults = {...faults.defaultFaults, ...options.faults};
		this.listenerPort = options.port ?? 0;
		this.slots = new slots.SlotPool(options.slots ?? defaultSlots);
		this.engine = new engine.Engine(this.store);
		this.log = new log.ReplicationLog(this.store, options.term ?? 1);
		this.replicationRole = new ReplicationRole(
			options,
			this.log,
			this.store,
			this.faults,
			{
				networkGate: this.networkGate,
				executionGate: this.executionGate,
				handleChange: () => {
					this.announcer.send();
				},
			},
		);
		this.announcer = new Announcer(
			options.announceTo ?? [],
			() => this.readAnnouncement(),
			options.announceIntervalMs,
		);
	}

	get address(): string {
		return `${this.hostAddress}:${this.listenerPort}`;
	}

	get port(): number {
		return this.listenerPort;
	}

	/** Port of the control listener; 0 before `start`. */
	get controlPort(): number {
		const address = this.controlListener?.address();
		return typeof address === 'object' && address ? address.port : 0;
	}

	get isWritable(): boolean {
		return this.replicationRole.isWritable;
	}

	/** Opens the listeners and starts replication and announcements. */
	async start(): Promise<void> {
		this.controlListener = await listen(
			this.hostAddress,
			this.options.controlPort ?? 0,
			(socket) => {
				this.addSession(socket, true);
			},
		);
		await this.startInstance();
		this.announcer.start();
	}

	/** Stops announcements and closes the listeners and all connections. */
	async stop(): Promise<void> {
		this.announcer.stop();
		this.executionGate.setOpen(true);
		this.networkGate.setOpen(true);
		const {controlListener} = this;
		this.controlListener = undefined;
		const closed = Promise.all([
			this.stopInstance(),
			closeListener(controlListener),
		]);
		for (const socket of this.controlSockets) {
			socket.destroy();
		}

		await closed;
	}

	/** Sets faults; `crash` has taken effect when the promise resolves. */
	async setFaults(change: Partial<types.Faults>): Promise<void> {
		const wasCrashed = this.faults.crash;
		const wasDeparting = this.faults.departing;
		Object.assign(this.faults, change);
		this.networkGate.setOpen(!this.faults.freeze && !this.faults.cut);
		this.executionGate.setOpen(!this.faults.freeze);
		this.replicationRole.update();
		if (this.faults.departing !== wasDeparting) {
			this.announcer.send();
		}

		if (this.faults.crash && !wasCrashed) {
			await this.stopInstance();
		} else if (!this.faults.crash && wasCrashed) {
			this.startedAt = Date.now();
			this.faults.departing = false;
			try {
				await this.startInstance();
			} catch (error) {
				this.faults.crash = true;
				throw error;
			}
		}
	}

	/** The row of `hemlockarch.status()`. */
	readStatus(): shared.UpstreamStatus {
		return this.replicationRole.readStatus();
	}

	/** The state of the server for tests and for `standin.state()`. */
	readState(): Record<string, unknown> {
		return {
			...this.readStatus(),
			address: this.address,
			fence: this.replicationRole.fencedTerm,
			isWritable: this.isWritable,
			sessions: [...this.sessions].filter((session) => session.isReady).length,
			...this.slots.usage,
			faults: this.faults,
		};
	}

	promote(term: number): void {
		this.replicationRole.promote(term);
	}

	setFence(term: number): void {
		this.replicationRole.setFence(term);
	}

	follow(term: number, server: string, address: string): void {
		this.replicationRole.follow(term, server, address);
	}

	/** Ends sessions of owners with an epoch lower than `epoch`; returns their number. */
	closeSessionsBelowEpoch(epoch: string): number {
		const limit = functions.parseEpoch(epoch);
		const outdated = [...this.sessions].filter((session) =>
			functions.hasLowerEpoch(session.applicationName, limit),
		);
		for (const session of outdated) {
			session.stop('57P01', 'terminating connection: a newer owner took over');
		}

		return outdated.length;
	}

	commit(transaction: transactions.Transaction): void {
		if (transaction.operations.length === 0) {
			return;
		}

		if (!this.isWritable) {
			throw new types.SqlError(
				'25006',
				'cannot execute COMMIT in a read-only transaction',
			);
		}

		this.replicationRole.commit(transaction.operations);
	}

	callFunction(
		name: string,
		args: readonly types.SqlValue[],
		_transaction: transactions.Transaction,
		isControl: boolean,
	): types.SqlValue {
		return functions.callFunction(this, name, args, isControl);
	}

	findFunctionFields(name: string): readonly types.ResultField[] | undefined {
		return functions.findFields(name);
	}

	callTableFunction(
		name: string,
		args: readonly types.SqlValue[],
	): Iterable<types.Row> {
		return functions.callTableFunction(this, name, args);
	}

	checkConnectionLimit(): types.SqlError | undefined {
		const openCount = [...this.sessions].filter(
			(session) => session.isReady,
		).length;
		return openCount < (this.options.connectionLimit ?? defaultConnectionLimit)
			? undefined
			: new types.SqlError('53300', 'sorry, too many clients already');
	}

	cancelStatement(processId: number, secretKey: number): void {
		for (const session of this.sessions) {
			if (session.processId === processId && session.secretKey === secretKey) {
				session.cancel();
			}
		}
	}

	addReplica(session: Session, connection: gates.GatedSocket): void {
		const sender = this.replicationRole.addReplica(connection);
		if (sender) {
			this.senders.set(session, sender);
		}
	}

	handleReplicaMessage(session: Session, text: string): void {
		this.senders.get(session)?.handleMessage(text);
	}

	removeSession(session: Session): void {
		this.sessions.delete(session);
		const sender = this.senders.get(session);
		if (sender) {
			this.senders.delete(session);
			this.replicationRole.removeReplica(sender);
		}
	}

	private get hostAddress(): string {
		return this.options.host ?? '127.0.0.1';
	}

	private readAnnouncement(): shared.Announcement | undefined {
		const {faults: activeFaults, options} = this;
		if (activeFaults.freeze || activeFaults.cut || activeFaults.crash) {
			return undefined;
		}

		return {
			group: options.group as ids.GroupId,
			server: options.server as ids.UpstreamId,
			address: options.announcedAddress ?? this.address,
			dataCentre: options.dataCentre as ids.DataCentre,
			role: this.replicationRole.role,
			term: this.log.term,
			position: this.log.position,
			slots: options.slots ?? defaultSlots,
			connectionLimit: options.connectionLimit ?? defaultConnectionLimit,
			departing: activeFaults.departing,
			startedAt: this.startedAt,
		};
	}

	/** Starts the simulated process, when the server starts or restarts after a crash. */
	private async startInstance(): Promise<void> {
		this.listener = await listen(
			this.hostAddress,
			this.listenerPort,
			(socket) => {
				this.addSession(socket, false);
			},
		);
		const address = this.listener.address();
		if (typeof address === 'object' && address) {
			this.listenerPort = address.port;
		}

		this.replicationRole.start();
		this.announcer.send();
	}

	/** Stops the simulated process; the stored data and the control port remain. */
	private async stopInstance(): Promise<void> {
		this.replicationRole.stop();
		const {listener} = this;
		this.listener = undefined;
		const closed = closeListener(listener);
		for (const session of this.sessions) {
			session.dispose();
		}

		for (const socket of this.sockets) {
			socket.destroy();
		}

		this.slots = new slots.SlotPool(this.options.slots ?? defaultSlots);
		await closed;
	}

	private addSession(socket: net.Socket, isControl: boolean): void {
		const sockets = isControl ? this.controlSockets : this.sockets;
		sockets.add(socket);
		socket.on('close', () => {
			sockets.delete(socket);
		});
		const gate = isControl ? this.controlGate : this.networkGate;
		const session = new Session(
			this,
			new gates.GatedSocket(socket, gate),
			++this.lastProcessId,
			isControl,
		);
		if (!isControl) {
			this.sessions.add(session);
		}
	}
}

async function listen(
	address: string,
	port: number,
	accept: (socket: net.Socket) => void,
): Promise<net.Server> {
	const listener = net.createServer(accept);
	return new Promise((resolve, reject) => {
		listener.on('error', reject);
		listener.listen({host: address, port, backlog: 512}, () => {
			resolve(listener);
		});
	});
}

async function closeListener(listener: net.Server | undefined): Promise<void> {
	await new Promise<void>((resolve) => {
		if (listener) {
			listener.close(() => {
				resolve();
			});
		} else {
			resolve();
		}
	});
}
