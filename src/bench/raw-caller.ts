/**
 * A caller for tests that writes frames itself and collects whole messages.
 */
import {type Buffer} from 'node:buffer';
import * as net from 'node:net';
import type pg from 'pg';
import * as serializer from 'pg-protocol/dist/serializer';
import * as frameReader from '../node/wire/frame-reader.js';

const {serialize} = serializer;
const host = '127.0.0.1';

/** Returns the SQLSTATE with which a query failed, or `none`. */
export async function findSqlState(run: Promise<unknown>): Promise<string> {
	try {
		await run;
		return 'none';
	} catch (error) {
		return (error as pg.DatabaseError).code ?? String(error);
	}
}

/** A caller that writes frames itself and collects whole messages. */
export class RawCaller {
	readonly socket: net.Socket;
	readonly #reader = new frameReader.FrameReader(100_000_000);
	readonly #received: Buffer[] = [];
	#notify: (() => void) | undefined;

	constructor(port: number) {
		this.socket = net.connect(port, host);
		this.socket.on('error', () => undefined);
		this.socket.on('data', (chunk: Buffer) => {
			this.#reader.push(chunk);
			for (
				let message = this.#reader.read();
				message;
				message = this.#reader.read()
			) {
				this.#received.push(message as Buffer);
			}

			this.#notify?.();
		});
		this.socket.on('close', () => {
			this.#notify?.();
		});
	}

	/**
	 * Waits until `count` ReadyForQuery messages have arrived; returns the type letters of all messages
	 * received so far.
	 */
	async waitReady(count: number): Promise<string> {
		let letters = '';
		for (;;) {
			letters = this.#received
				.map((message) => String.fromCodePoint(message[0]))
				.join('');
			if (letters.split('Z').length > count || this.socket.destroyed) {
				break;
			}

			await new Promise<void>((resolve) => {
				this.#notify = resolve;
			});
		}

		return letters;
	}

	/** Waits for `count` messages and removes them from the received ones. */
	async takeMessages(count: number): Promise<Buffer[]> {
		while (this.#received.length < count && !this.socket.destroyed) {
			await new Promise<void>((resolve) => {
				this.#notify = resolve;
			});
		}

		return this.#received.splice(0, count);
	}

	clear(): void {
		this.#received.length = 0;
	}

	async startUp(parameters: Record<string, string> = {}): Promise<void> {
		this.socket.write(
			serialize.startup({user: 'sanna', database: 'ledger', ...parameters}),
		);
		await this.waitReady(1);
		this.clear();
	}
}
