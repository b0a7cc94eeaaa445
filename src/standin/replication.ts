/**
 * Asynchronous logical replication. A replica opens a connection to the PostgreSQL port of its
 * primary with the startup parameter `replication`, reports its position and terms, and receives
 * the records that follow; it acknowledges the offset that it has received and synced. Messages are
 * JSON in CopyData.
 */
import {Buffer} from 'node:buffer';
import * as net from 'node:net';
import {DelayQueue} from './delay-queue.js';
import * as gates from './gate.js';
import type * as log from './log.js';
import type * as types from './types.js';
import * as wire from './wire.js';

/** Delay before a replica reconnects to its primary. */
const reconnectDelayMs = 50;

export type ReplicaMessage =
	| {
			readonly type: 'hello';
			readonly server: string;
			/** Lowest term that the replica accepts from a primary. */
			readonly fence: number;
			readonly position: number;
			readonly terms: readonly types.TermStart[];
			/** Asks for a snapshot, because the divergent tail cannot be undone. */
			readonly needsSnapshot: boolean;
	  }
	| {readonly type: 'ack'; readonly position: number};

export type PrimaryMessage =
	| {
			readonly type: 'start';
			readonly term: number;
			/** The replica truncates its log after this offset. */
			readonly offset: number;
	  }
	| {
			readonly type: 'snapshot';
			readonly term: number;
			readonly position: number;
			readonly terms: readonly types.TermStart[];
			readonly tables: readonly types.TableSnapshot[];
	  }
	| {readonly type: 'record'; readonly record: types.LogRecord};

/** The server as replication uses it. */
export type ReplicationHost = {
	readonly server: string;
	readonly log: log.ReplicationLog;
	readonly fencedTerm: number;
	readonly networkGate: gates.Gate;
	/** False while the process is frozen. */
	readonly isRunning: boolean;
	readonly faults: Readonly<types.Faults>;
	readonly applier: Applier;
};

/** Applies received records after the apply lag. */
export class Applier {
	private readonly queue: DelayQueue<undefined>;

	constructor(
		private readonly log: log.ReplicationLog,
		getDelay: () => number | undefined,
	) {
		this.queue = new DelayQueue(getDelay, () => {
			this.log.applyNext();
		});
	}

	/** Schedules the record that was appended last. */
	scheduleNext(): void {
		this.queue.add(undefined);
	}

	/** Reschedules all records of the log that have not been applied. */
	reset(): void {
		this.queue.clear();
		const pendingCount = this.log.listFrom(this.log.applied)?.length ?? 0;
		for (let count = 0; count < pendingCount; count++) {
			this.scheduleNext();
		}
	}

	update(): void {
		this.queue.update();
	}

	/** Applies all received records without delay. */
	applyAll(): void {
		this.queue.clear();
		while (this.log.applyNext()) {
			// Each call applies one record.
		}
	}

	dispose(): void {
		this.queue.clear();
	}
}

/** Encodes the startup message of a replication connection. */
function encodeStartup(server: string): Buffer {
	const parameters = ['user', server, 'replication', 'true', '', ''].join('\0');
	const message = Buffer.alloc(8 + Buffer.byteLength(parameters));
	message.writeInt32BE(message.length, 0);
	message.writeInt32BE(wire.protocolVersion, 4);
	message.write(parameters, 8);
	return message;
}

function encodeMessage(message: ReplicaMessage | PrimaryMessage): Buffer {
	const writer = new wire.MessageWriter();
	writer.writeCopyData(JSON.stringify(message));
	return writer.take();
}

/** Replicates the log of a primary until it is disposed; reconnects when the connection is lost. */
export class Follower {
	private connection: gates.GatedSocket | undefined;
	private reconnectTimer: NodeJS.Timeout | undefined;
	private needsSnapshot = false;
	private isDisposed = false;
	private readonly receiveQueue: DelayQueue<PrimaryMessage>;

	constructor(
		private readonly host: ReplicationHost,
		private readonly address: string,
	) {
		const {faults} = host;
		this.receiveQueue = new DelayQueue(
			() => (host.isRunning ? faults.receiveLagMs : undefined),
			(message) => {
				this.handleMessage(message);
			},
		);
		this.connect();
	}

	/** Reschedules received messages after a change of the receive lag. */
	update(): void {
		this.receiveQueue.update();
	}

	dispose(): void {
		this.isDisposed = true;
		clearTimeout(this.reconnectTimer);
		this.receiveQueue.clear();
		this.connection?.dispose();
	}

	private connect(): void {
		const separator = this.address.lastIndexOf(':');
		const socket = net.connect({
			host: this.address.slice(0, separator),
			port: Number(this.address.slice(separator + 1)),
		});
		const connection = new gates.GatedSocket(socket, this.host.networkGate);
		this.connection = connection;
		const reader = new wire.MessageReader();
		reader.endStartupPhase();
		socket.on('connect', () => {
			connection.write(encodeStartup(this.host.server));
		});
		socket.on('data', (data) => {
			reader.add(data);
			this.readMessages(reader);
		});
		socket.on('error', () => {
			socket.destroy();
		});
		socket.on('close', () => {
			this.receiveQueue.clear();
			if (!this.isDisposed) {
				this.reconnectTimer = setTimeout(() => {
					this.connect();
				}, reconnectDelayMs);
			}
		});
	}

	private readMessages(reader: wire.MessageReader): void {
		for (;;) {
			const message = reader.take();
			if (!message) {
				return;
			}

			const code = String.fromCodePoint(message.typeByte);
			if (code === 'R') {
				this.sendHello();
			} else if (code === 'd') {
				this.receiveQueue.add(
					JSON.parse(message.body.toString('utf8')) as PrimaryMessage,
				);
			}
		}
	}

	private sendHello(): void {
		const {server, fencedTerm: fence, log} = this.host;
		this.send({
			type: 'hello',
			server,
			fence,
			position: log.position,
			terms: log.terms,
			needsSnapshot: this.needsSnapshot,
		});
	}

	private handleMessage(message: PrimaryMessage): void {
		if (this.isDisposed) {
			return;
		}

		const {log} = this.host;
		const term = message.type === 'record' ? message.record.term : message.term;
		// Records are not checked: a primary of an accepted term also sends records of earlier terms to
		// a replica that lacks them.
		if (message.type !== 'record' && term < this.host.fencedTerm) {
			this.connection?.dispose();
			return;
		}

		switch (message.type) {
			case 'start': {
				this.needsSnapshot = !log.truncateAfter(message.offset);
				if (this.needsSnapshot) {
					this.connection?.dispose();
					return;
				}

				this.host.applier.reset();
				break;
			}

			case 'snapshot': {
				this.needsSnapshot = false;
				log.restore(message.tables, message.position, message.terms);
				this.host.applier.reset();
				break;
			}

			case 'record': {
				if (message.record.start !== log.position) {
					this.connection?.dispose();
					return;
				}

				log.append(message.record);
				this.host.applier.scheduleNext();
				break;
			}
		}

		this.send({type: 'ack', position: log.position});
	}

	private send(message: ReplicaMessage): void {
		this.connection?.write(encodeMessage(message));
	}
}

/** The primary's side of one replication connection. */
export class ReplicaSender {
	/** Set by the `hello` message of the replica. */
	server: string | undefined;
	/** Offset that the replica has received and synced. */
	position = 0;
	private isStarted = false;

	private readonly host: ReplicationHost;
	private readonly connection: gates.GatedSocket;
	private readonly readSnapshot: () => types.TableSnapshot[];

	constructor(
		host: ReplicationHost,
		connection: gates.GatedSocket,
		readSnapshot: () => types.TableSnapshot[],
	) {
		this.host = host;
		this.connection = connection;
		this.readSnapshot = readSnapshot;
	}

	handleMessage(text: string): void {
		const message = JSON.parse(text) as ReplicaMessage;
		if (message.type === 'ack') {
			this.position = message.position;
			return;
		}

		const {log} = this.host;
		// A fenced primary continues to send to replicas of its own term; a replica with a higher
		// fence would refuse the records.
		if (message.fence > log.term) {
			this.connection.dispose();
			return;
		}

		this.server = message.server;
		const offset = log.findCommonOffset(message.terms, message.position);
		const records = message.needsSnapshot ? undefined : log.listFrom(offset);
		const {term} = log;
		if (records) {
			this.send({type: 'start', term, offset});
		} else {
			this.send({
				type: 'snapshot',
				term,
				position: log.position,
				terms: log.terms,
				tables: this.readSnapshot(),
			});
		}

		this.isStarted = true;
		for (const record of records ?? []) {
			this.sendRecord(record);
		}
	}

	/** Closes the connection; the replica reconnects. */
	dispose(): void {
		this.connection.dispose();
	}

	sendRecord(record: types.LogRecord): void {
		if (this.isStarted) {
			this.send({type: 'record', record});
		}
	}

	private send(message: PrimaryMessage): void {
		this.connection.write(encodeMessage(message));
	}
}
