/**
 * Measures the cost that the caller and upstream adapters add to a simple read, without a reducer.
 * The server and the adapters have a thread each; the load runs in the main thread. Run as
 * `node dist/bench/wire.js`.
 */
import {Buffer} from 'node:buffer';
import * as net from 'node:net';
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import * as threads from 'node:worker_threads';
import * as serializer from 'pg-protocol/dist/serializer';
import * as frameReader from '../node/wire/frame-reader.js';
import * as messages from '../node/wire/messages.js';
import * as standin from '../standin/index.js';
import * as directDriver from './direct-driver.js';

const host = '127.0.0.1';
const warmUpStatementCount = 2000;
const latencyStatementCount = 10_000;
const throughputWindowMs = 4000;
const callerCount = 48;
const pooledConnectionCount = 16;
const query = serializer.serialize.query('SELECT 1 AS one');

type Role = 'standIn' | 'responder' | 'adapters';
type Setup = {readonly role: Role; readonly address: string};

/** Figures of one target; times in ms. */
type Figures = {
	readonly median: number;
	readonly p99: number;
	readonly perSecond: number;
};

/** A caller that sends each query when the answer to the previous one is complete. */
class LoadCaller {
	statements = 0;
	latencies: number[] = [];
	isStopped = false;
	readonly #socket: net.Socket;
	#sentAt = 0;
	#finish: (() => void) | undefined;
	#limit = Infinity;

	constructor(port: number) {
		this.#socket = net.connect(port, host);
		this.#socket.setNoDelay(true);
		this.#socket.write(
			serializer.serialize.startup({user: 'bench', database: 'ledger'}),
		);
	}

	async waitReady(): Promise<void> {
		await new Promise<void>((resolve) => {
			const receive = (chunk: Buffer): void => {
				if (chunk.at(-6) === messages.messageTypes.readyForQuery) {
					this.#socket.off('data', receive);
					resolve();
				}
			};

			this.#socket.on('data', receive);
		});
	}

	/** Sends `limit` statements one after the other. */
	async run(limit: number): Promise<void> {
		this.#limit = limit;
		this.statements = 0;
		this.latencies = [];
		this.isStopped = false;
		await new Promise<void>((resolve) => {
			this.#finish = resolve;
			this.#socket.on('data', this.#receive);
			this.#send();
		});
		this.#socket.off('data', this.#receive);
	}

	dispose(): void {
		this.#socket.destroy();
	}

	readonly #receive = (chunk: Buffer): void => {
		if (chunk.at(-6) !== messages.messageTypes.readyForQuery) {
			return;
		}

		this.latencies.push(performance.now() - this.#sentAt);
		this.statements++;
		if (this.isStopped || this.statements >= this.#limit) {
			this.#finish?.();
		} else {
			this.#send();
		}
	};

	#send(): void {
		this.#sentAt = performance.now();
		this.#socket.write(query);
	}
}

/**
 * Starts a server that answers every query with the same bytes, so that the adapters themselves are
 * the limit.
 */
async function startResponder(): Promise<number> {
	const answer = Buffer.concat([
		messages.buildRowDescription('one'),
		messages.buildDataRow('1'),
		messages.buildCommandComplete('SELECT 1'),
		messages.getReadyForQuery('idle'),
	]);
	const startupResponse = Buffer.concat([
		messages.buildMessage(messages.messageTypes.authentication, [
			new Uint8Array(4),
		]),
		messages.getReadyForQuery('idle'),
	]);
	const server = net.createServer((socket) => {
		const reader = new frameReader.FrameReader(1_000_000);
		socket.setNoDelay(true);
		socket.on('error', () => undefined);
		socket.once('data', () => {
			socket.write(startupResponse);
			socket.on('data', (chunk: Buffer) => {
				reader.push(chunk);
				while (reader.read()) {
					socket.write(answer);
				}
			});
		});
	});
	return new Promise((resolve) => {
		server.listen(0, host, () => {
			resolve((server.address() as net.AddressInfo).port);
		});
	});
}

async function startRole(setup: Setup): Promise<number> {
	switch (setup.role) {
		case 'standIn': {
			const server = new standin.StandInServer({
				group: 'ledger',
				server: 's1',
				dataCentre: 'khomas-a',
				slots: 64,
				connectionLimit: 256,
				faults: {connectTimeMs: 0},
			});
			await server.start();
			return server.port;
		}

		case 'responder': {
			return startResponder();
		}

		case 'adapters': {
			const driver = new directDriver.DirectDriver({
				address: setup.address,
				connections: pooledConnectionCount,
			});
			return driver.start();
		}
	}
}

async function runThread(setup: Setup): Promise<void> {
	const port = await startRole(setup);
	let last = performance.eventLoopUtilization();
	threads.parentPort?.on('message', () => {
		const now = performance.eventLoopUtilization();
		threads.parentPort?.postMessage(
			performance.eventLoopUtilization(now, last).utilization,
		);
		last = now;
	});
	threads.parentPort?.postMessage(port);
}

type Thread = {
	readonly port: number;
	/** Returns the share of time since the last call in which the thread's event loop was busy. */
	readUtilization(): Promise<number>;
	stop(): Promise<void>;
};

async function startThread(role: Role, address = ''): Promise<Thread> {
	const worker = new threads.Worker(new URL(import.meta.url), {
		workerData: {role, address} satisfies Setup,
	});
	const receive = async (): Promise<number> =>
		new Promise((resolve, reject) => {
			worker.once('message', resolve);
			worker.once('error', reject);
		});
	return {
		port: await receive(),
		async readUtilization() {
			const answer = receive();
			worker.postMessage('utilization');
			return answer;
		},
		async stop() {
			await worker.terminate();
		},
	};
}

function computeQuantile(sorted: readonly number[], quantile: number): number {
	return sorted[Math.floor(sorted.length * quantile)] ?? Number.NaN;
}

async function openCallers(port: number, count: number): Promise<LoadCaller[]> {
	const opened = Array.from({length: count}, () => new LoadCaller(port));
	await Promise.all(opened.map(async (caller) => caller.waitReady()));
	return opened;
}

async function measureTarget(
	port: number,
	handleWindowStart: () => Promise<unknown>,
): Promise<Figures> {
	const [single] = await openCallers(port, 1);
	await single.run(warmUpStatementCount);
	await single.run(latencyStatementCount);
	const sorted = single.latencies.sort((left, right) => left - right);
	single.dispose();
	const loadCallers = await openCallers(port, callerCount);
	const runs = loadCallers.map(async (caller) => caller.run(Infinity));
	await wait(throughputWindowMs / 4);
	await handleWindowStart();
	const before = countStatements(loadCallers);
	const startedAt = performance.now();
	await wait(throughputWindowMs);
	const perSecond =
		((countStatements(loadCallers) - before) * 1000) /
		(performance.now() - startedAt);
	for (const caller of loadCallers) {
		caller.isStopped = true;
	}

	await Promise.all(runs);
	for (const caller of loadCallers) {
		caller.dispose();
	}

	return {
		median: computeQuantile(sorted, 0.5),
		p99: computeQuantile(sorted, 0.99),
		perSecond,
	};
}

function countStatements(loadCallers: readonly LoadCaller[]): number {
	let sum = 0;
	for (const caller of loadCallers) {
		sum += caller.statements;
	}

	return sum;
}

async function wait(durationMs: number): Promise<void> {
	await new Promise((resolve) => {
		setTimeout(resolve, durationMs);
	});
}

function formatFigures(name: string, figures: Figures): string {
	return `${name}: median ${figures.median.toFixed(3)} ms, p99 ${figures.p99.toFixed(3)} ms, ${Math.round(figures.perSecond)} statements/s with ${callerCount} callers`;
}

function print(line: string): void {
	process.stdout.write(`${line}\n`);
}

/** Measures one kind of server directly and through the adapters, and prints the figures. */
async function runMeasurement(role: 'standIn' | 'responder'): Promise<void> {
	const server = await startThread(role);
	const adapters = await startThread('adapters', `${host}:${server.port}`);
	const direct = await measureTarget(server.port, async () => undefined);
	const viaAdapters = await measureTarget(adapters.port, async () =>
		Promise.all([adapters.readUtilization(), server.readUtilization()]),
	);
	const adapterShare = await adapters.readUtilization();
	const serverShare = await server.readUtilization();
	print(formatFigures(`${role} directly`, direct));
	print(formatFigures(`${role} through the adapters`, viaAdapters));
	print(
		`added median latency ${(viaAdapters.median - direct.median).toFixed(3)} ms; adapter thread busy ${Math.round(adapterShare * 100)} %, server thread ${Math.round(serverShare * 100)} %`,
	);
	await adapters.stop();
	await server.stop();
}

if (threads.isMainThread) {
	await runMeasurement('standIn');
	await runMeasurement('responder');
} else {
	await runThread(threads.workerData as Setup);
}
