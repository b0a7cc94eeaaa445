/**
 * A small deployment on loopback: machines with the programs of the deploy file as processes of their
 * own, one service of three stand-ins, the platform's calls, and clients. What is sent, answered and run
 * goes to `record.txt` in the folder of the case.
 */
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as net from 'node:net';
import * as os from 'node:os';
import * as path from 'node:path';
import process from 'node:process';
import * as standIns from './servers.mjs';

const {call, Lines, Server, Service} = standIns;
const zones = {
	'khomas-a': 'khomas',
	'erongo-a': 'erongo',
	'otjo-a': 'otjozondjupa',
};
const ports = {
	front: 8784,
	ready: 8785,
	control: 8782,
	platform: 8783,
	database: 8080,
};
const flags = [
	'--v8-pool-size=1',
	'--single-threaded-gc',
	'--no-memory-reducer',
	'target/start-platform.cjs',
];

export function wait(ms) {
	return new Promise((resolve) => {
		setTimeout(resolve, ms);
	});
}

/** Resolves when `check` is true; the case could not run when that takes too long. */
export async function waitFor(what, timeoutMs, check) {
	const endsAt = Date.now() + timeoutMs;
	for (;;) {
		if (await check()) {
			return;
		}

		if (Date.now() > endsAt) {
			throw new Error(`no ${what} within ${timeoutMs} ms`);
		}

		await wait(10);
	}
}

/** A session of a client; one statement at a time. */
export class Client {
	answers = [];
	isClosed = false;
	lines = [];

	constructor(deployment, name, machine) {
		this.deployment = deployment;
		this.name = name;
		this.machine = machine;
	}

	/** Opens the session; false when it was refused or ended. */
	async open(database, timeoutMs = 2000) {
		const reader = new Lines();
		this.socket = net.connect({
			host: this.machine.ip,
			port: ports.front,
			noDelay: true,
		});
		this.socket.on('error', () => undefined);
		this.socket.on('close', () => {
			this.isClosed = true;
			this.wake?.();
		});
		this.socket.on('data', (chunk) => {
			this.lines.push(...reader.push(chunk));
			this.wake?.();
		});
		this.socket.write(`STARTUP ${database} ${this.name}\r\n`);
		const answer = await this.receive(timeoutMs);
		this.isOpen = answer?.ready !== undefined;
		if (!this.isOpen && this.socket.bytesRead > 0) {
			this.deployment.record(
				`client ${this.name} is refused: ${answer?.error ?? 'closed'}`,
			);
		}

		return this.isOpen;
	}

	/** Resolves with the next answer; undefined when the session ended or nothing came. */
	async receive(timeoutMs) {
		const answer = {rows: []};
		const endsAt = Date.now() + timeoutMs;
		for (;;) {
			while (this.lines.length > 0) {
				const line = this.lines.shift();
				const [word] = line.split(' ', 1);
				const rest = line.slice(word.length + 1);
				switch (word) {
					case 'ROW': {
						answer.rows.push(rest);
						break;
					}

					case 'COMPLETE': {
						answer.signature = rest;
						break;
					}

					case 'ERROR': {
						[answer.error] = rest.split(' ', 1);
						break;
					}

					case 'READY': {
						[answer.ready] = rest.split(' ', 1);
						return answer;
					}

					default: {
						break;
					}
				}
			}

			if (this.isClosed || Date.now() >= endsAt) {
				return undefined;
			}

			await new Promise((resolve) => {
				const timer = setTimeout(resolve, Math.max(1, endsAt - Date.now()));
				this.wake = () => {
					clearTimeout(timer);
					resolve();
				};
			});
		}
	}

	async query(text, timeoutMs = 4000) {
		const id = this.deployment.nextQueryId();
		this.deployment.record(`client ${this.name} sends ${id} ${text}`);
		this.socket.write(`QUERY ${id} ${text}\r\n`);
		const answer = await this.receive(timeoutMs);
		const shown = answer
			? `${answer.rows.join(',')} ${answer.signature ?? ''} ${answer.error ?? ''} ${answer.ready}`
			: 'no answer';
		this.deployment.record(`client ${this.name} gets ${id}: ${shown}`);
		return {id, text, ...answer, isAnswered: answer !== undefined};
	}

	close() {
		this.socket?.destroy();
	}
}

export class Deployment {
	machines = [];
	lines = [];
	startedAt = Date.now();
	queryCounter = 0;
	children = new Set();

	/** @param options.diskless - Zones of the machines that have no disk and run no control. */
	constructor(
		folder,
		{
			diskless = ['khomas-a', 'khomas-a', 'erongo-a', 'otjo-a'],
			settings = {},
		} = {},
	) {
		this.folder = folder;
		this.settings = settings;
		this.temporary = fs.mkdtempSync(path.join(os.tmpdir(), 'review-'));
		this.network = `127.${20 + (process.pid % 200)}.${(process.pid >> 8) % 250}`;
		for (const [index, zone] of Object.keys(zones).entries()) {
			this.machines.push({
				name: `front-${zone}-1`,
				zone,
				ip: `${this.network}.${index + 1}`,
				roles: ['control', 'proxy'],
			});
		}

		for (const [index, zone] of diskless.entries()) {
			this.machines.push({
				name: `front-${zone}-${index + 2}`,
				zone,
				ip: `${this.network}.${index + 11}`,
				roles: ['proxy'],
			});
		}

		const controls = this.machines.filter(({roles}) =>
			roles.includes('control'),
		);
		this.seeds = controls.map(({ip}) => `${ip}:${ports.control}`);
		this.service = new Service(
			'huvo11a',
			controls.map(({ip}) => ({host: ip, port: ports.control})),
			(line) => {
				this.record(line);
			},
		);
	}

	record(line) {
		this.lines.push(
			`${String(Date.now() - this.startedAt).padStart(6)} ${line}`,
		);
	}

	/** Writes the record, ends all processes and removes the temporary folder. */
	async finish() {
		fs.writeFileSync(
			path.join(this.folder, 'record.txt'),
			this.lines.join('\n') + '\n',
		);
		for (const machine of this.machines) {
			machine.isStopped = true;
		}

		for (const child of this.children) {
			child.kill('SIGCONT');
			child.kill('SIGKILL');
		}

		this.service.stop();
		await wait(100);
		fs.rmSync(this.temporary, {recursive: true, force: true});
	}

	nextQueryId() {
		this.queryCounter++;
		return `5c0e${this.queryCounter.toString(16).padStart(12, '0')}`;
	}

	buildSettings(machine, role, isFirstStart) {
		const {ip} = machine;
		const hasDisk = machine.roles.includes('control');
		// JSON is valid YAML.
		return JSON.stringify({
			Node: machine.name,
			Role: role,
			MachineClass: 'front',
			Serves: [role === 'proxy' ? 'front' : 'control'],
			Ip: ip,
			Zone: machine.zone,
			Region: zones[machine.zone],
			Zones: zones,
			Listen:
				role === 'proxy'
					? {Front: `${ip}:${ports.front}`, Ready: `${ip}:${ports.ready}`}
					: {Control: `${ip}:${ports.control}`},
			InternalPorts: [7440, 7455],
			Seeds: this.seeds,
			Bootstrap: isFirstStart,
			InTolerance: hasDisk,
			Limits: {
				CpuShare: 0.608,
				Cores: 2,
				MemoryMb: 350,
				MaxFds: 4200,
				LinkMbps: 1000,
				DiskMb: hasDisk ? 64 : 0,
			},
			...(hasDisk
				? {DataDir: path.join(this.temporary, machine.name, role)}
				: {}),
			Discovery: 'registry',
			Entry: 'vip',
			HeartbeatMs: 1200,
			Contracts: ['base', 'drain', 'config', 'cost', 'recover', 'sql'],
			FaultTolerance: {Machines: 1, Zones: 0, Regions: 0},
			Bounds: {
				SeedLagS: 3,
				AddrReuseS: 2,
				StabilityWindowMs: 5000,
				AckMs: 6000,
				CatchUpS: 4,
				DrainMs: 7000,
				GraceS: 6,
				LossSlackMs: 200,
				ConfigApplyMs: 4000,
				RollbackSlackMs: 250,
				MaxSkewMs: 15_000,
				RecoveryS: 12,
				FencingRequired: false,
				ThawSlackMs: 300,
			},
			Cloud: {
				Addr: `${this.network}.200:${ports.platform}`,
				RatePerS: 50,
				Duties: ['promote'],
				DutyPerS: 50,
			},
			...this.settings,
		});
	}

	startProcess(machine, role, isFirstStart) {
		const file = path.join(this.temporary, `${machine.name}-${role}.yaml`);
		fs.writeFileSync(file, this.buildSettings(machine, role, isFirstStart));
		const log = fs.openSync(
			path.join(this.temporary, `${machine.name}-${role}.log`),
			'a',
		);
		const child = childProcess.spawn(process.execPath, [...flags, role], {
			env: {
				PATH: process.env.PATH,
				HOME: this.temporary,
				HEMLOCKARCH_CONFIG: file,
			},
			stdio: ['ignore', log, log],
		});
		fs.closeSync(log);
		this.children.add(child);
		machine[role] = child;
		this.record(`${machine.name} ${role} starts`);
		child.on('exit', (code, signal) => {
			this.children.delete(child);
			this.record(`${machine.name} ${role} ends: ${code ?? signal}`);
		});
	}

	readLog(machine, role) {
		return fs.readFileSync(
			path.join(this.temporary, `${machine.name}-${role}.log`),
			'utf8',
		);
	}

	/** Name of the proxy that owns a server last, from the logs. */
	findOwner(server) {
		let owner;
		let latest = '';
		for (const machine of this.machines) {
			for (const line of this.readLog(machine, 'proxy').split('\n')) {
				if (line.includes(`Now owns server ${server.id}`)) {
					const {timestamp = ''} = JSON.parse(line);
					if (timestamp >= latest) {
						latest = timestamp;
						owner = machine;
					}
				}
			}
		}

		return owner;
	}

	/** A machine without a disk whose proxy owns none of the servers. */
	findMachineWithoutServers(servers) {
		const owners = new Set(servers.map((server) => this.findOwner(server)));
		const machine = this.machines.find(
			(candidate) =>
				!candidate.roles.includes('control') && !owners.has(candidate),
		);
		if (!machine) {
			throw new Error('every machine without a disk owns a server');
		}

		this.record(`${machine.name} owns none of the servers`);
		return machine;
	}

	buildConfiguration(version, routes) {
		const {name} = this.service;
		return {
			Version: version,
			Routes: routes.map((route, index) => ({
				Name: `r-${index}`,
				PathPrefix: '/',
				TimeoutMs: 800,
				TargetLatencyMs: 500,
				Priority: 0,
				Service: name,
				MaxAttempts: 2,
				...route,
			})),
			Services: [
				{
					Name: name,
					HealthPath: '/health',
					MaxConns: 25,
					Protocol: 'h1',
					Tls: false,
					SyncReplicas: 0,
				},
			],
			Limits: {
				MaxHeaderBytes: 16_384,
				MaxBodyBytes: 262_144,
				HeaderTimeoutMs: 3000,
				IdleTimeoutMs: 15_000,
				TxIdleMs: 3000,
			},
		};
	}

	async put(configuration, machine = this.machines[0]) {
		return call({
			host: machine.ip,
			port: ports.control,
			method: 'POST',
			path: '/api/Config.Put',
			body: configuration,
		});
	}

	async get(machine = this.machines[0]) {
		return call({
			host: machine.ip,
			port: ports.control,
			method: 'GET',
			path: '/api/Config.Get',
		});
	}

	async isReady(machine) {
		const {status} = await call({
			host: machine.ip,
			port: ports.ready,
			method: 'GET',
			path: '/api/readiness',
			timeoutMs: 500,
		});
		return status === 200;
	}

	/** Starts everything and waits until a write is served through every machine. */
	async start(routes) {
		const zoneNames = Object.keys(zones);
		for (const [index, zone] of zoneNames.entries()) {
			this.service.servers.push(
				new Server(this.service, {
					id: `i-7f3a91c${index}`,
					host: `${this.network}.${101 + index}`,
					port: ports.database,
					zone,
					role: index === 0 ? 'primary' : 'replica',
				}),
			);
		}

		await this.service.listenPlatform(`${this.network}.200`, ports.platform);
		for (const machine of this.machines) {
			for (const role of machine.roles) {
				this.startProcess(machine, role, true);
			}
		}

		await waitFor('first configuration', 15_000, async () => {
			const {status} = await this.put(this.buildConfiguration(1, routes));
			return status === 200;
		});
		this.record('the first configuration is acknowledged');
		for (const server of this.service.servers) {
			await server.listen();
		}
	}

	/** Waits until a write through the machine succeeds. */
	async waitForService(machine, database, timeoutMs = 20_000) {
		await waitFor(`service through ${machine.name}`, timeoutMs, async () => {
			const client = new Client(this, 'probe', machine);
			try {
				const isOpen = await client.open(database);
				const answer = isOpen
					? await client.query('WRITE probe x', 2000)
					: undefined;
				return answer?.signature !== undefined;
			} finally {
				client.close();
			}
		});
	}
}

/** Runs a case: exits with 1 when it returns a broken rule, 0 when it returns none, 2 when it cannot run. */
export async function runCase(folder, options, run) {
	const deployment = new Deployment(folder, options);
	const hasTrouble = process.env.TROUBLE !== '0';
	let code = 2;
	const timer = setTimeout(() => {
		deployment.record('the case took too long');
		deployment.finish().then(() => process.exit(2));
	}, 110_000);
	for (const signal of ['SIGINT', 'SIGTERM']) {
		process.once(signal, async () => {
			deployment.record(`ended by ${signal}`);
			await deployment.finish();
			process.exit(2);
		});
	}

	try {
		const problems = await run(deployment, hasTrouble);
		for (const problem of problems) {
			deployment.record(`BROKEN ${problem}`);
			console.log(`BROKEN ${problem}`);
		}

		code = problems.length > 0 ? 1 : 0;
	} catch (error) {
		deployment.record(`could not run: ${error.stack}`);
		console.log(`could not run: ${error.message}`);
	}

	clearTimeout(timer);
	await deployment.finish();
	process.exit(code);
}
