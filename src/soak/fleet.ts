/**
 * The processes of a soak: a cluster of real daemons and stand-ins on loopback, with relays before
 * the control peers, the servers and the callers' ports of the proxies. Applies faults and ends them.
 */
import type * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as path from 'node:path';
import process from 'node:process';
import * as timers from 'node:timers/promises';
import * as pg from 'pg';
import {assertNever} from '../common/assert-never.js';
import * as testing from '../daemon/testing.js';
import * as relays from './relay.js';
import type * as types from './types.js';

export const member = 'sanna';
export const group = 'ledger';
export const templateFile = 'samples/kalahari/templates/bloom-member.ini';
const controls = 3;
const servers = 3;
const startTimeoutMs = 30_000;
/** A process that has not exited this long after SIGTERM is killed. */
const stopTimeoutMs = 26_000;
const changeTimeoutMs = 5000;

/** Grace period of a planned stop: the shortest that settings allow. */
export const drainDeadlineMs = 21_000;

/** A planned stop of a proxy, wall clock in ms. */
export type PlannedStop = {
	readonly proxy: string;
	readonly at: number;
	readonly endAt: number;
};

export class SoakFleet {
	static async start(proxyCount: number): Promise<SoakFleet> {
		const quickstart = await testing.loadQuickstart();
		const fleet = new SoakFleet(quickstart, proxyCount);
		await fleet.#start();
		return fleet;
	}

	readonly proxies: readonly string[];
	readonly controls = buildNames('control', controls);
	readonly servers = buildNames('ledger', servers);
	readonly plannedStops: PlannedStop[] = [];
	/** Processes that ended without a fault of the plan. */
	readonly unexpectedEnds: string[] = [];
	peakMemoryMb = 0;
	readonly #cluster: testing.Cluster;
	readonly #relays = new Map<string, relays.Relay>();
	/** Processes that a fault is ending. */
	readonly #ending = new Set<childProcess.ChildProcess>();
	/** The last fault of each process; the next one waits for it. */
	readonly #lastFaults = new Map<string, Promise<void>>();
	#handleExit: (() => void) | undefined;

	private constructor(
		private readonly quickstart: Awaited<
			ReturnType<typeof testing.loadQuickstart>
		>,
		proxyCount: number,
	) {
		this.proxies = buildNames('proxy', proxyCount);
		this.#cluster = new quickstart.Cluster({
			group,
			controls,
			proxies: proxyCount,
			standIn: ['--service-time-ms', '2'],
			drainDeadlineS: drainDeadlineMs / 1000,
			openRelay: async (name: string, port: number) =>
				this.#openRelay(name, port),
		});
	}

	get folder(): string {
		return this.#cluster.folder;
	}

	/** The addresses of all proxies for the commands of operators. */
	get httpAddresses(): string[] {
		return this.proxies.map(
			(proxy) => `127.0.0.1:${this.#cluster.ports.get(proxy)!.http}`,
		);
	}

	/** The port at which callers reach a proxy. */
	getCallerPort(proxy: string): number {
		return this.#relays.get(proxy)!.port;
	}

	/** The port of a proxy without a relay. */
	getProxyPort(proxy: string): number {
		return this.#cluster.ports.get(proxy)!.callers;
	}

	/** Applies a fault and ends it; faults of one process that need its signals take turns. */
	async applyFault(fault: types.Fault): Promise<void> {
		const {target, type} = fault;
		if (type !== 'kill' && type !== 'freeze' && type !== 'stop') {
			return this.#runFault(fault);
		}

		const earlier = this.#lastFaults.get(target) ?? Promise.resolve();
		const run = earlier.then(async () => this.#runFault(fault));
		this.#lastFaults.set(target, run);
		return run;
	}

	/** Resolves when every daemon reports itself ready; rejects after the timeout. */
	async waitUntilReady(): Promise<void> {
		const daemons = [...this.proxies, ...this.controls];
		await this.quickstart.waitFor('the daemons', startTimeoutMs, async () => {
			const ready = await Promise.all(
				daemons.map(async (name) => this.#cluster.isReady(name)),
			);
			return ready.every(Boolean);
		});
	}

	/** Records the peak of the resident memory of each running daemon. */
	recordMemory(): void {
		for (const name of [...this.proxies, ...this.controls]) {
			const pid = this.#cluster.children.get(name)?.pid;
			try {
				const status = fs.readFileSync(`/proc/${pid}/status`, 'utf8');
				const match = /^VmHWM:\s+(?<kilobytes>\d+) kB$/mv.exec(status);
				const megabytes = Number(match?.groups?.kilobytes ?? 0) / 1024;
				this.peakMemoryMb = Math.max(this.peakMemoryMb, Math.round(megabytes));
			} catch {
				// The process has just ended.
			}
		}
	}

	/** Returns the longest time in ms for which a daemon did not run, as the daemons log it. */
	readLongestStallMs(): number {
		const stalls = fs
			.readdirSync(this.folder)
			.filter((name) => name.endsWith('.log'))
			.flatMap((name) => {
				const log = fs.readFileSync(path.join(this.folder, name), 'utf8');
				return [...log.matchAll(/The process did not run for (\d+) ms/gv)];
			});
		return Math.max(0, ...stalls.map(([, ms]) => Number(ms)));
	}

	/** Ends all processes; removes their logs unless they are kept. */
	async dispose(keepsLogs: boolean): Promise<void> {
		for (const child of this.#cluster.children.values()) {
			this.#ending.add(child);
		}

		await Promise.all(
			[...this.#cluster.children.keys()].map(async (name) =>
				this.#cluster.kill(name),
			),
		);
		await this.#cluster.releasePorts();
		if (this.#handleExit) {
			process.off('exit', this.#handleExit);
		}

		for (const relay of this.#relays.values()) {
			relay.dispose();
		}

		if (!keepsLogs) {
			fs.rmSync(this.folder, {recursive: true, force: true});
		}
	}

	async #runFault(fault: types.Fault): Promise<void> {
		const {target, forMs} = fault;
		switch (fault.type) {
			case 'kill': {
				this.#ending.add(this.#cluster.children.get(target)!);
				await this.#cluster.kill(target);
				await timers.setTimeout(Math.min(forMs, 1000));
				this.#startDaemon(target);
				return;
			}

			case 'freeze': {
				this.#cluster.signal(target, 'SIGSTOP');
				await timers.setTimeout(forMs);
				this.#cluster.signal(target, 'SIGCONT');
				return;
			}

			case 'stop': {
				await this.#stopDaemon(target);
				this.#startDaemon(target);
				return;
			}

			case 'reload': {
				await this.#reload(target, fault.times);
				return;
			}

			case 'template': {
				await this.#changeTemplate(target).catch(() => undefined);
				return;
			}

			case 'relay': {
				const relay = this.#relays.get(target)!;
				relay.setMode(fault.mode);
				await timers.setTimeout(forMs);
				relay.setMode({type: 'pass'});
				return;
			}

			case 'server': {
				await this.#setServerFault(target, fault.name, fault.value);
				await timers.setTimeout(forMs);
				await this.#setServerFault(target, fault.name, fault.endValue);
				return;
			}

			default: {
				assertNever(fault);
			}
		}
	}

	async #start(): Promise<void> {
		this.#handleExit = () => {
			for (const child of this.#cluster.children.values()) {
				child.kill('SIGKILL');
			}
		};

		process.once('exit', this.#handleExit);
		await this.#cluster.start();
		for (const proxy of this.proxies) {
			const {callers} = this.#cluster.ports.get(proxy)!;
			await this.#openRelay(proxy, callers);
		}

		for (const name of this.#cluster.children.keys()) {
			this.#watchEnd(name);
		}

		await this.waitUntilReady();
		await this.quickstart.waitFor('the template', startTimeoutMs, async () =>
			this.#putTemplate(
				this.proxies[0],
				fs.readFileSync(templateFile, 'utf8'),
				0,
			),
		);
	}

	async #putTemplate(
		proxy: string,
		text: string,
		expectedVersion: number,
	): Promise<boolean> {
		const response = await fetch(this.#buildTemplateUrl(proxy), {
			method: 'PUT',
			headers: {'content-type': 'application/json'},
			body: JSON.stringify({
				text,
				expectedVersion,
				changeId: `soak-${expectedVersion}`,
			}),
			signal: AbortSignal.timeout(changeTimeoutMs),
		});
		return response.ok;
	}

	/** Changes a limit that the load of a soak does not reach. */
	async #changeTemplate(proxy: string): Promise<void> {
		const response = await fetch(this.#buildTemplateUrl(proxy), {
			signal: AbortSignal.timeout(changeTimeoutMs),
		});
		const {text, version} = (await response.json()) as {
			text: string;
			version: number;
		};
		const limitLine = `max_in_flight = ${300 + (version % 100)}`;
		await this.#putTemplate(
			proxy,
			text.replace(/^max_in_flight = \d+$/mv, limitLine),
			version,
		);
	}

	#buildTemplateUrl(proxy: string): string {
		const {http} = this.#cluster.ports.get(proxy)!;
		return `http://127.0.0.1:${http}/templates/${member}`;
	}

	/** Sends SIGHUP to a daemon that has started. */
	async #reload(name: string, times: number): Promise<void> {
		const isReady = await this.#cluster.isReady(name).catch(() => false);
		for (let sent = 0; isReady && sent < times; sent++) {
			this.#cluster.children.get(name)?.kill('SIGHUP');
		}
	}

	async #openRelay(name: string, port: number): Promise<number> {
		const relay = await relays.Relay.open(port);
		this.#relays.set(name, relay);
		return relay.port;
	}

	#startDaemon(name: string): void {
		this.#cluster.startDaemon(name);
		this.#watchEnd(name);
	}

	#watchEnd(name: string): void {
		const child = this.#cluster.children.get(name)!;
		child.once('exit', (code, signal) => {
			if (!this.#ending.has(child)) {
				this.unexpectedEnds.push(`${name} ended with ${code ?? signal}`);
			}
		});
	}

	async #stopDaemon(name: string): Promise<void> {
		const child = this.#cluster.children.get(name)!;
		this.#ending.add(child);
		const at = Date.now();
		const exited = new Promise<void>((resolve) => {
			child.once('exit', () => {
				resolve();
			});
		});
		child.kill('SIGTERM');
		const timer = setTimeout(() => {
			child.kill('SIGKILL');
		}, stopTimeoutMs);
		await exited;
		clearTimeout(timer);
		if (child.exitCode !== null && child.exitCode !== 0) {
			this.unexpectedEnds.push(`${name} stopped with ${child.exitCode}`);
		}

		if (name.startsWith('proxy')) {
			this.plannedStops.push({proxy: name, at, endAt: Date.now()});
		}
	}

	async #setServerFault(
		server: string,
		name: string,
		value: string,
	): Promise<void> {
		const client = new pg.Client({
			host: '127.0.0.1',
			port: this.#cluster.ports.get(server)!.control,
			user: 'soak',
		});
		await client.connect();
		await client.query(`SELECT standin.set('${name}', '${value}')`);
		await client.end();
	}
}

function buildNames(role: string, count: number): string[] {
	return Array.from({length: count}, (_, index) => `${role}-${index + 1}`);
}
