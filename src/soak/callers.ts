/**
 * The callers of a soak: sessions that write, read their own writes and run transactions through all
 * proxies, and record what they were told. They keep their connections until they are lost.
 */
import * as timers from 'node:timers/promises';
import * as pg from 'pg';
import * as random from '../common/random.js';
import * as fleets from './fleet.js';
import type * as types from './types.js';

const pauseMs = 20;
/** Pause after an error, so that callers do not press on a fleet in trouble. */
const errorPauseMs = 50;
const connectTimeoutMs = 4000;
/** Longer than the deadline of every rank in the template. */
const answerTimeoutMs = 25_000;

/** SQLSTATEs with which the proxy says that a request has not run. */
const notRunPattern = /^(?:HK00[1-79]|28000)$/v;

/** What all callers of a run have seen. */
export class CallerRecord {
	readonly writes: types.WriteRecord[] = [];
	readonly brokenRequests: types.BrokenRequest[] = [];
	/** Requests of callers without a relay that got neither an answer nor a refusal. */
	readonly unansweredRequests: types.BrokenRequest[] = [];
	readonly violations: types.Violation[] = [];
	reads = 0;
	/** Requests of callers without pauses. */
	sent = 0;
	#lastId = 0;

	/** Returns an id that no other write has. */
	takeId(): number {
		return ++this.#lastId;
	}

	countWrites(outcome: types.WriteOutcome): number {
		return this.writes.filter((write) => write.outcome === outcome).length;
	}
}

/** The text of the row that a write inserts. */
export function buildBody(id: number): string {
	return `body-${id}`;
}

export class Caller {
	readonly #source: random.RandomSource;
	readonly #acknowledged: number[] = [];
	#client: pg.Client | undefined;
	#proxy = '';
	#isStopped = false;

	constructor(
		seed: number,
		private readonly fleet: fleets.SoakFleet,
		private readonly record: CallerRecord,
	) {
		this.#source = random.createRandom(seed);
	}

	async run(): Promise<void> {
		while (!this.#isStopped) {
			const client = await this.#connect();
			if (client) {
				await this.#runOperation(client);
			}

			await timers.setTimeout(client ? pauseMs : errorPauseMs);
		}

		await this.#disconnect();
	}

	stop(): void {
		this.#isStopped = true;
	}

	async #runOperation(client: pg.Client): Promise<void> {
		const draw = this.#source.readFloat();
		if (draw < 0.4 && this.#acknowledged.length > 0) {
			await this.#readOwnWrite(client);
		} else if (draw < 0.55) {
			await this.#insertWithKey();
		} else if (draw < 0.75) {
			await this.#runTransaction(client);
		} else {
			const id = this.record.takeId();
			this.#finishWrites(
				[id],
				undefined,
				await this.#write(client, buildInsert(id)),
			);
		}
	}

	async #readOwnWrite(client: pg.Client): Promise<void> {
		const id =
			this.#acknowledged[
				this.#source.readInteger(
					Math.max(0, this.#acknowledged.length - 5),
					this.#acknowledged.length - 1,
				)
			];
		const sentAt = Date.now();
		try {
			const {rows} = await client.query<{id: number; body: string}>(
				`SELECT id, body FROM events WHERE id = ${id}`,
			);
			this.record.reads++;
			if (rows.length === 0) {
				this.#report('ownWriteNotRead', `write ${id} through ${this.#proxy}`);
			}

			if (
				rows.some((row) => Number(row.id) !== id || row.body !== buildBody(id))
			) {
				this.#report('foreignAnswer', `read of ${id}: ${JSON.stringify(rows)}`);
			}
		} catch (error) {
			await this.#handleError(error, sentAt);
		}
	}

	/** Sends a write again, through any proxy, until its outcome is known. */
	async #insertWithKey(): Promise<void> {
		const id = this.record.takeId();
		const sql = `${buildInsert(id)} /*hemlockarch_key='write-${id}'*/`;
		let mayHaveRun = false;
		for (;;) {
			const client = await this.#connect();
			const outcome = client ? await this.#write(client, sql) : 'notRun';
			if (outcome === 'acknowledged') {
				this.#finishWrites([id], undefined, outcome);
				return;
			}

			mayHaveRun ||= outcome === 'unknown';
			if (this.#isStopped || this.#source.readFloat() < 0.05) {
				this.#finishWrites([id], undefined, mayHaveRun ? 'unknown' : 'notRun');
				return;
			}

			await timers.setTimeout(errorPauseMs);
		}
	}

	async #runTransaction(client: pg.Client): Promise<void> {
		const writes = [this.record.takeId(), this.record.takeId()];
		let outcome: types.WriteOutcome = 'notRun';
		let sentAt = Date.now();
		try {
			await client.query('BEGIN');
			for (const id of writes) {
				sentAt = Date.now();
				await client.query(buildInsert(id));
				await timers.setTimeout(this.#source.readInteger(0, pauseMs));
			}

			sentAt = Date.now();
			outcome = 'unknown';
			const {command} = await client.query('COMMIT');
			outcome = command === 'COMMIT' ? 'acknowledged' : 'notRun';
		} catch (error) {
			if (outcome === 'unknown' && isNotRun(error)) {
				outcome = 'notRun';
			}

			// Ends the transaction whatever state it is in.
			await this.#disconnect();
			this.#recordBroken(error, sentAt);
		}

		this.#finishWrites(writes, writes[0], outcome);
	}

	async #write(client: pg.Client, sql: string): Promise<types.WriteOutcome> {
		const sentAt = Date.now();
		try {
			await client.query(sql);
			return 'acknowledged';
		} catch (error) {
			const code = getSqlState(error);
			if (code === 'HK008') {
				return 'acknowledged';
			}

			await this.#handleError(error, sentAt);
			return isNotRun(error) ? 'notRun' : 'unknown';
		}
	}

	#finishWrites(
		writes: readonly number[],
		transaction: number | undefined,
		outcome: types.WriteOutcome,
	): void {
		for (const id of writes) {
			this.record.writes.push({id, transaction, outcome});
			if (outcome === 'acknowledged') {
				this.#acknowledged.push(id);
			}
		}
	}

	async #handleError(error: unknown, sentAt: number): Promise<void> {
		this.#recordBroken(error, sentAt);
		if (!isNotRun(error)) {
			await this.#disconnect();
		}

		await timers.setTimeout(errorPauseMs);
	}

	/** Records a request whose connection ended instead of an answer. */
	#recordBroken(error: unknown, sentAt: number): void {
		if (!/^[0-9A-Z]{5}$/v.test(getSqlState(error))) {
			this.record.brokenRequests.push({
				proxy: this.#proxy,
				sentAt,
				endedAt: Date.now(),
			});
		}
	}

	#report(promise: types.Violation['promise'], detail: string): void {
		this.record.violations.push({promise, detail});
	}

	async #connect(): Promise<pg.Client | undefined> {
		if (this.#client) {
			return this.#client;
		}

		const {proxies} = this.fleet;
		this.#proxy = proxies[this.#source.readInteger(0, proxies.length - 1)];
		const client = new pg.Client({
			host: '127.0.0.1',
			port: this.fleet.getCallerPort(this.#proxy),
			user: fleets.member,
			database: fleets.group,
			connectionTimeoutMillis: connectTimeoutMs,
			query_timeout: answerTimeoutMs,
		});
		client.on('error', () => {
			if (this.#client === client) {
				this.#client = undefined;
			}
		});
		try {
			await client.connect();
			this.#client = client;
			return client;
		} catch {
			void client.end().catch(() => undefined);
			return undefined;
		}
	}

	async #disconnect(): Promise<void> {
		const client = this.#client;
		this.#client = undefined;
		// A silent connection would delay the end for as long as it is silent.
		void client?.end().catch(() => undefined);
	}
}

export function buildInsert(id: number): string {
	return `INSERT INTO events (id, body) VALUES (${id}, '${buildBody(id)}')`;
}

function getSqlState(error: unknown): string {
	return (error as {code?: string}).code ?? String(error);
}

function isNotRun(error: unknown): boolean {
	return isNotRunState(getSqlState(error));
}

/** True for an SQLSTATE with which the proxy says that a request has not run. */
export function isNotRunState(sqlState: string): boolean {
	return notRunPattern.test(sqlState);
}
