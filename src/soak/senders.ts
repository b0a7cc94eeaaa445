/**
 * Callers without pauses: each sends its next queries as soon as earlier ones are answered, some ahead
 * of the answers, and uses its connection until the proxy has ended it. They connect to the proxies
 * without a relay, so that only the proxy can cut a connection.
 */
import {type Buffer} from 'node:buffer';
import * as net from 'node:net';
import * as timers from 'node:timers/promises';
import * as serializer from 'pg-protocol/dist/serializer';
import * as random from '../common/random.js';
import * as frameReader from '../node/wire/frame-reader.js';
import * as messages from '../node/wire/messages.js';
import * as callers from './callers.js';
import * as fleets from './fleet.js';
import type * as types from './types.js';

const {serialize} = serializer;
const reconnectPauseMs = 20;
const maxSentAhead = 4;
const writeShare = 0.1;
const maxFrameBytes = 1_000_000;
/** Longer than the deadline of every rank in the template. */
const answerTimeoutMs = 25_000;

/** A request that was written and has no answer yet. */
type SentRequest = {
	/** The write that it makes; undefined for a read. */
	readonly write: number | undefined;
	/** Wall clock, in ms. */
	readonly sentAt: number;
	sqlState?: string;
};

export class Sender {
	readonly #source: random.RandomSource;
	#connection: Connection | undefined;
	#isStopped = false;

	constructor(
		seed: number,
		private readonly fleet: fleets.SoakFleet,
		private readonly record: callers.CallerRecord,
	) {
		this.#source = random.createRandom(seed);
	}

	async run(): Promise<void> {
		while (!this.#isStopped) {
			const {proxies} = this.fleet;
			const proxy = proxies[this.#source.readInteger(0, proxies.length - 1)];
			this.#connection = new Connection(
				proxy,
				this.fleet.getProxyPort(proxy),
				this.#source,
				this.record,
			);
			await this.#connection.closed;
			await timers.setTimeout(reconnectPauseMs);
		}
	}

	/** Sends nothing more; the connection ends after the last answer. */
	stop(): void {
		this.#isStopped = true;
		this.#connection?.stop();
	}
}

class Connection {
	readonly closed: Promise<void>;
	readonly #socket: net.Socket;
	readonly #reader = new frameReader.FrameReader(maxFrameBytes);
	readonly #sent: SentRequest[] = [];
	readonly #sentAhead: number;
	#isReady = false;
	#isStopped = false;
	/** SQLSTATE of the error that ends the connection. */
	#fatalSqlState: string | undefined;

	constructor(
		private readonly proxy: string,
		port: number,
		private readonly source: random.RandomSource,
		private readonly record: callers.CallerRecord,
	) {
		this.#sentAhead =
			source.readFloat() < 0.5 ? 1 : source.readInteger(2, maxSentAhead);
		this.#socket = net.connect(port, '127.0.0.1');
		this.#socket.setNoDelay(true);
		this.#socket.setTimeout(answerTimeoutMs, () => {
			this.#socket.destroy();
		});
		this.#socket.on('error', () => undefined);
		this.#socket.on('data', (chunk: Buffer) => {
			this.#receive(chunk);
		});
		this.closed = new Promise((resolve) => {
			this.#socket.once('close', () => {
				this.#finish();
				resolve();
			});
		});
		this.#socket.write(
			serialize.startup({user: fleets.member, database: fleets.group}),
		);
	}

	stop(): void {
		this.#isStopped = true;
		this.#send();
	}

	#receive(chunk: Buffer): void {
		this.#reader.push(chunk);
		for (
			let message = this.#reader.read();
			typeof message === 'object';
			message = this.#reader.read()
		) {
			this.#handleMessage(message);
		}

		this.#send();
	}

	#handleMessage(message: Buffer): void {
		switch (String.fromCodePoint(message[0])) {
			case 'E': {
				const sqlState = messages.findErrorField(message, 'C');
				if (messages.findErrorField(message, 'S') === 'FATAL') {
					this.#fatalSqlState = sqlState;
				} else if (this.#sent.length > 0) {
					this.#sent[0].sqlState = sqlState;
				}

				return;
			}

			case 'Z': {
				if (this.#isReady) {
					const request = this.#sent.shift();
					this.#recordWrite(request!, request!.sqlState ?? 'done');
				}

				this.#isReady = true;
				break;
			}

			default: {
				break;
			}
		}
	}

	#send(): void {
		if (!this.#isReady || this.#fatalSqlState !== undefined) {
			return;
		}

		if (this.#isStopped) {
			if (this.#sent.length === 0) {
				this.#socket.end(serialize.end());
			}

			return;
		}

		while (this.#sent.length < this.#sentAhead && this.#socket.writable) {
			const write =
				this.source.readFloat() < writeShare ? this.record.takeId() : undefined;
			this.#sent.push({write, sentAt: Date.now()});
			this.#socket.write(
				serialize.query(
					write === undefined ? 'SELECT 1' : callers.buildInsert(write),
				),
			);
		}
	}

	/** Records what is left at the end of the connection; its last error refuses all of it. */
	#finish(): void {
		for (const request of this.#sent) {
			if (this.#fatalSqlState === undefined) {
				this.record.unansweredRequests.push({
					proxy: this.proxy,
					sentAt: request.sentAt,
					endedAt: Date.now(),
				});
			}

			this.#recordWrite(request, this.#fatalSqlState ?? '');
		}
	}

	#recordWrite({write}: SentRequest, sqlState: string): void {
		this.record.sent++;
		if (write === undefined) {
			return;
		}

		let outcome: types.WriteOutcome = 'unknown';
		if (sqlState === 'done') {
			outcome = 'acknowledged';
		} else if (
			callers.isNotRunState(sqlState) ||
			(sqlState === '57P01' && this.#fatalSqlState === sqlState)
		) {
			outcome = 'notRun';
		}

		this.record.writes.push({id: write, transaction: undefined, outcome});
	}
}
