/**
 * The processes of a soak: a cluster of real daemons and stand-ins on loopback, with relays before
 * the control peers, the servers and the callers' ports of the proxies. Applies faults and ends them.
 */
import type * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import process from 'node:process';
import * as timers from 'node:timers/promises';
import * as pg from 'pg';
import {assertNever} from '../common/assert-never.js';
import * as testing from '../daemon/testing.js';
import * as relays from './relay.js';
import type * as types from './types.js';

export const member = 'sanna';
export const group = 'ledger';
const templateFile = 'samples/kalahari/templates/bloom-member.ini';
const controls = 3;
const servers = 3;
const startTimeoutMs = 30_000;
/** A process that has not exited this long after SIGTERM is killed. */
const stopTimeoutMs = 20_000;

/** When a planned stop of a proxy began, wall clock in ms. */
export type PlannedStop = {readonly proxy: string; readonly at: number};

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
			openRelay: async (name: string, port: number) =>
				this.#openRelay(name, port),
		});
	}

	get folder(): string {
		return this.#cluster.folder;
	}

	/** The port at which callers reach a proxy. */
	getCallerPort(proxy: string): number {
		return this.#relays.get(proxy)!.port;
	}

	async applyFault(fault: types.Fault): Promise<void> {
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
		for (const relay of this.#relays.values()) {
			relay.dispose();
		}

		if (!keepsLogs) {
			fs.rmSync(this.folder, {recursive: true, force: true});
		}
	}

	async #start(): Promise<void> {
		process.once('exit', () => {
			for (const child of this.#cluster.children.values()) {
				child.kill('SIGKILL');
			}
		});
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
			this.#setTemplate(),
		);
	}

	async #setTemplate(): Promise<boolean> {
		const {http} = this.#cluster.ports.get(this.proxies[0])!;
		const response = await fetch(
			`http://127.0.0.1:${http}/templates/${member}`,
			{
				method: 'PUT',
				headers: {'content-type': 'application/json'},
				body: JSON.stringify({
					text: fs.readFileSync(templateFile, 'utf8'),
					expectedVersion: 0,
					changeId: 'soak',
				}),
			},
		);
		return response.ok;
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
		if (name.startsWith('proxy')) {
			this.plannedStops.push({proxy: name, at: Date.now()});
		}

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
