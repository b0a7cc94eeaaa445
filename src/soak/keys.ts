/**
 * Customers with keys in a soak: an operator who rotates and withdraws the keys of one customer with the
 * commands of `ctl`, and callers that use valid and withdrawn keys.
 */
import * as fs from 'node:fs';
import * as stream from 'node:stream';
import * as timers from 'node:timers/promises';
import * as pg from 'pg';
import * as run from '../cli/run.js';
import * as random from '../common/random.js';
import * as keyDigest from '../node/key-digest.js';
import * as fleets from './fleet.js';
import type * as types from './types.js';

const member = 'okavango';
const customer = 'gaub';
const maxPauseMs = 50;
const errorPauseMs = 100;
const timeoutMs = 10_000;
const minRotationMs = 300;
const maxRotationMs = 1500;
const shownDigestLength = 12;
/** Callers try this many of the newest keys; all but one or two of them are withdrawn. */
const triedKeys = 4;

/** Rotates the keys of a customer while callers use them. */
export class KeyOperator {
	readonly keys: types.CustomerKey[] = [];
	readonly uses: types.KeyUse[] = [];
	readonly #source: random.RandomSource;
	#isStopped = false;

	constructor(
		seed: number,
		readonly fleet: fleets.SoakFleet,
	) {
		this.#source = random.createRandom(seed);
	}

	/** Adds the member and its customer. */
	async start(): Promise<void> {
		const template = fs.readFileSync(fleets.templateFile, 'utf8');
		const set = ['template', 'set', member, '-', '--expected-version', '0'];
		await this.#runCommand(set, template);
		await this.#createKey('add');
	}

	async run(): Promise<void> {
		while (!this.#isStopped) {
			await timers.setTimeout(this.#drawPause());
			await this.#createKey('rotate');
			await timers.setTimeout(this.#drawPause());
			const oldest = this.keys.find(
				({withdrawalStartedAt}) => withdrawalStartedAt === undefined,
			);
			if (oldest && oldest !== this.keys.at(-1)) {
				await this.#withdrawKey(oldest);
			}
		}
	}

	stop(): void {
		this.#isStopped = true;
	}

	async #createKey(command: 'add' | 'rotate'): Promise<void> {
		const output = await this.#runCommand([
			'customer',
			command,
			member,
			customer,
		]);
		if (output !== undefined) {
			this.keys.push({text: output.trim(), addedAt: Date.now()});
		}
	}

	async #withdrawKey(key: types.CustomerKey): Promise<void> {
		key.withdrawalStartedAt = Date.now();
		const digest = keyDigest.computeKeyDigest(key.text);
		const output = await this.#runCommand([
			'customer',
			'withdraw',
			member,
			customer,
			'--digest',
			digest.slice(0, shownDigestLength),
		]);
		if (output !== undefined) {
			key.withdrawnAt = Date.now();
		}
	}

	/** Resolves with the standard output; undefined when the command did not succeed. */
	async #runCommand(
		args: readonly string[],
		input = '',
	): Promise<string | undefined> {
		let output = '';
		const sink = (write: (text: string) => void) =>
			new stream.Writable({
				write(chunk, _encoding, done) {
					write(String(chunk));
					done();
				},
			});
		const peers = this.fleet.httpAddresses.flatMap((address) => [
			'--peer',
			address,
		]);
		const code = await run.runCommandLine(['ctl', ...args, ...peers], {
			stdin: stream.Readable.from([input]),
			stdout: sink((text) => {
				output += text;
			}),
			stderr: sink(() => undefined),
		});
		return code === 0 ? output : undefined;
	}

	#drawPause(): number {
		return this.#source.readInteger(minRotationMs, maxRotationMs);
	}
}

/** A caller that keeps a session with one key until it is refused. */
export class KeyedCaller {
	readonly #source: random.RandomSource;
	#isStopped = false;

	constructor(
		seed: number,
		private readonly operator: KeyOperator,
	) {
		this.#source = random.createRandom(seed);
	}

	async run(): Promise<void> {
		while (!this.#isStopped) {
			const {keys, fleet} = this.operator;
			const {proxies} = fleet;
			const first = Math.max(0, keys.length - triedKeys);
			await this.#useKey(
				keys[this.#source.readInteger(first, keys.length - 1)],
				proxies[this.#source.readInteger(0, proxies.length - 1)],
			);
			await timers.setTimeout(errorPauseMs);
		}
	}

	stop(): void {
		this.#isStopped = true;
	}

	async #useKey(key: types.CustomerKey, proxy: string): Promise<void> {
		const client = new pg.Client({
			host: '127.0.0.1',
			port: this.operator.fleet.getCallerPort(proxy),
			user: member,
			database: fleets.group,
			password: key.text,
			connectionTimeoutMillis: timeoutMs,
			query_timeout: timeoutMs,
		});
		client.on('error', () => undefined);
		let sentAt = Date.now();
		const recordUse = (outcome: string) => {
			const use = {key, proxy, sentAt, endedAt: Date.now(), outcome};
			this.operator.uses.push(use);
		};

		try {
			await client.connect();
			while (!this.#isStopped) {
				sentAt = Date.now();
				await client.query('SELECT id FROM events WHERE id = 1');
				recordUse('answered');
				await timers.setTimeout(this.#source.readInteger(0, maxPauseMs));
			}
		} catch (error) {
			recordUse((error as {code?: string}).code ?? String(error));
		} finally {
			void client.end().catch(() => undefined);
		}
	}
}
