/**
 * Starts the programs of the deploy file on loopback addresses, with stand-ins for database servers,
 * the platform's promotion API, clients and the operator. The stand-ins do what the pages say; where
 * the pages are silent, they behave like a sound server.
 */
import {spawn} from 'node:child_process';
import * as fs from 'node:fs';
import * as http from 'node:http';
import * as net from 'node:net';
import * as os from 'node:os';
import * as path from 'node:path';
import process from 'node:process';
import * as timers from 'node:timers/promises';

export const sleep = timers.setTimeout;
export const repository = path.resolve(import.meta.dirname, '../..');
const startedAt = performance.now();

/** Monotonic ms since the start of the script; all parts of a test share this clock. */
export const now = () => performance.now() - startedAt;

/** The record of a test: what was sent, answered and run. */
export class Recorder {
	#lines = [];

	constructor(folder) {
		this.file = path.join(folder, 'record.txt');
	}

	write(text) {
		this.#lines.push(`${(now() / 1000).toFixed(3)} ${text}`);
	}

	say(text) {
		this.write(text);
		console.log(text);
	}

	save() {
		fs.writeFileSync(this.file, this.#lines.join('\n') + '\n');
	}
}

export const ports = {front: 18_784, ready: 18_785, control: 18_782};
const peerPorts = [17_440, 17_455];

/** A machine with its own loopback address. */
export class Machine {
	constructor(world, {name, zone, host, hasDisk}) {
		Object.assign(this, {world, name, zone, host, hasDisk});
		this.processes = new Map();
	}

	/** Starts a role with the command of the deploy file. */
	start(role, {bootstrap}) {
		const {world} = this;
		const file = path.join(world.folder, `${this.name}-${role}.yaml`);
		const dataFolder = path.join(world.folder, `${this.name}-data`);
		if (role === 'control') {
			fs.mkdirSync(dataFolder, {recursive: true});
		}

		fs.writeFileSync(
			file,
			// JSON is valid YAML.
			JSON.stringify({
				Node: this.name,
				Role: role,
				MachineClass: 'front',
				Ip: this.host,
				Zone: this.zone,
				Region: this.zone,
				Zones: Object.fromEntries(world.zones.map((zone) => [zone, zone])),
				Listen:
					role === 'proxy'
						? {
								Front: `${this.host}:${ports.front}`,
								Ready: `${this.host}:${ports.ready}`,
							}
						: {Control: `${this.host}:${ports.control}`},
				InternalPorts: peerPorts,
				Seeds: world.machines
					.filter(({hasDisk}) => hasDisk)
					.map(({host}) => `${host}:${ports.control}`),
				Bootstrap: bootstrap,
				InTolerance: this.hasDisk,
				Limits: {MemoryMb: 350, MaxFds: 4200, DiskMb: 64},
				...(role === 'control' ? {DataDir: dataFolder} : {}),
				HeartbeatMs: 1200,
				FaultTolerance: {Machines: 1, Zones: 0, Regions: 0},
				Bounds: {
					StabilityWindowMs: 5000,
					AckMs: 6000,
					DrainMs: 7000,
					GraceS: 6,
					ConfigApplyMs: 4000,
					RecoveryS: 12,
					FencingRequired: false,
				},
				...(world.platform
					? {Cloud: {Addr: world.platform.address, Duties: ['promote']}}
					: {}),
			}),
		);
		const [program, ...args] = world.commands[role];
		const log = fs.openSync(
			path.join(world.folder, `${this.name}-${role}.log`),
			'a',
		);
		const child = spawn(program, args, {
			cwd: repository,
			env: {PATH: process.env.PATH, HEMLOCKARCH_CONFIG: file},
			stdio: ['ignore', log, log],
		});
		fs.closeSync(log);
		this.processes.set(role, child);
		child.on('exit', (code, signal) => {
			child.hasEnded = true;
			world.recorder.write(
				`${this.name}/${role} ended (code ${code}, signal ${signal})`,
			);
		});
		world.recorder.write(
			`${this.name}/${role} started, Bootstrap ${bootstrap}`,
		);
		return child;
	}

	kill(role, signal = 'SIGKILL') {
		this.processes.get(role)?.kill(signal);
	}
}

export class World {
	constructor(folder, {zones, machines}) {
		this.recorder = new Recorder(folder);
		this.folder = fs.mkdtempSync(path.join(os.tmpdir(), 'review-'));
		this.zones = zones;
		const second = 64 + (process.pid % 128);
		const third = (process.pid >> 7) % 250;
		this.prefix = `127.${second}.${third}`;
		this.machines = machines.map(
			(machine, index) =>
				new Machine(this, {
					...machine,
					host: `${this.prefix}.${11 + index}`,
				}),
		);
		const deploy = fs.readFileSync(
			path.join(repository, 'deploy/system.toml'),
			'utf8',
		);
		this.commands = {};
		const roles = deploy.matchAll(
			/^\[roles\.(?<role>\w+)\]\nrun = "(?<run>[^"]*)"$/gmv,
		);
		for (const {groups} of roles) {
			this.commands[groups.role] = groups.run.split(' ');
		}

		this.groups = [];
	}

	get controls() {
		return this.machines.filter(({hasDisk}) => hasDisk);
	}

	/** Ends everything that the test started. */
	async dispose() {
		for (const machine of this.machines) {
			for (const child of machine.processes.values()) {
				if (!child.hasEnded) {
					child.kill('SIGCONT');
					child.kill('SIGKILL');
				}
			}
		}

		for (const group of this.groups) {
			for (const server of group.servers) {
				server.stop();
			}
		}

		this.platform?.dispose();
		this.recorder.save();
		await sleep(200);
		fs.rmSync(this.folder, {recursive: true, force: true});
	}
}

/** Sends a call; resolves with status 0 when there is no answer in time. */
export async function call(
	host,
	port,
	method,
	callPath,
	body,
	timeoutMs = 1000,
) {
	return new Promise((resolve) => {
		const request = http.request(
			{host, port, path: callPath, method, agent: false},
			(response) => {
				let text = '';
				response.setEncoding('utf8');
				response.on('data', (chunk) => {
					text += chunk;
				});
				response.on('end', () => resolve({status: response.statusCode, text}));
				response.on('error', () => resolve({status: 0, text: ''}));
			},
		);
		const timer = setTimeout(() => request.destroy(), timeoutMs);
		request.on('error', () => resolve({status: 0, text: ''}));
		request.on('close', () => {
			clearTimeout(timer);
			resolve({status: 0, text: ''});
		});
		if (body !== undefined) {
			request.setHeader('Content-Type', 'application/json');
			request.write(typeof body === 'string' ? body : JSON.stringify(body));
		}

		request.end();
	});
}

/** The operator: sends one configuration to the control machines in turn until it is acknowledged. */
export async function putConfiguration(world, configuration, limitMs) {
	const deadline = now() + limitMs;
	const {controls, recorder} = world;
	for (let attempt = 0; now() < deadline; attempt++) {
		const machine = controls[attempt % controls.length];
		const {status} = await call(
			machine.host,
			ports.control,
			'POST',
			'/api/Config.Put',
			configuration,
		);
		recorder.write(
			`operator: version ${configuration.Version} to ${machine.name}: ${status || 'no answer'}`,
		);
		if (status === 200) {
			return true;
		}

		await sleep(200);
	}

	return false;
}

export function buildConfiguration(
	version,
	routes,
	services,
	synchronousReplicas = 0,
) {
	return {
		Version: version,
		Routes: routes.map(
			({host, kind, service, staleness, timeoutMs = 1000}) => ({
				Name: `r-${host}`,
				Host: host,
				PathPrefix: '/',
				RouteKind: kind,
				TimeoutMs: timeoutMs,
				TargetLatencyMs: 1000,
				Priority: 1,
				Service: service,
				MaxAttempts: 2,
				...(staleness === undefined ? {} : {MaxStalenessMs: staleness}),
			}),
		),
		Services: services.map((name) => ({
			Name: name,
			HealthPath: '/health',
			MaxConns: 41,
			Protocol: 'h1',
			Tls: false,
			SyncReplicas: synchronousReplicas,
		})),
		Limits: {
			MaxHeaderBytes: 16_384,
			MaxBodyBytes: 262_144,
			HeaderTimeoutMs: 3000,
			IdleTimeoutMs: 15_000,
			TxIdleMs: 3000,
		},
	};
}

/** Splits a stream into lines that end with CR LF. */
export function readLines(socket, handle) {
	let rest = '';
	socket.setEncoding('latin1');
	socket.on('data', (chunk) => {
		const lines = (rest + chunk).split('\r\n');
		rest = lines.pop();
		for (const line of lines) {
			handle(line);
		}
	});
}

/** A client session on one connection; one query at a time. */
export class Client {
	static async connect(host, database, port = ports.front) {
		const client = new Client();
		client.socket = net.connect({host, port});
		client.socket.setNoDelay(true);
		client.socket.on('error', () => undefined);
		client.isClosed = false;
		client.socket.on('close', () => {
			client.isClosed = true;
			client.finish?.({closed: true, rows: [], error: undefined});
		});
		readLines(client.socket, (line) => client.handle(line));
		const answer = await client.exchange(`STARTUP ${database} client`, 2000);
		return answer.closed || answer.error ? undefined : client;
	}

	handle(line) {
		const [word, ...fields] = line.split(' ');
		this.answer ??= {rows: []};
		switch (word) {
			case 'ROW': {
				this.answer.rows.push(fields.join(' '));
				break;
			}

			case 'COMPLETE': {
				this.answer.signature = fields.join(' ');
				break;
			}

			case 'ERROR': {
				this.answer.error = fields.join(' ');
				if (this.isStarting) {
					this.finish?.(this.answer);
				}

				break;
			}

			case 'READY': {
				[this.answer.state, this.answer.position] = fields;
				this.finish?.(this.answer);
				break;
			}

			default: {
				this.close();
			}
		}
	}

	async exchange(message, timeoutMs = 5000) {
		this.isStarting = message.startsWith('STARTUP');
		return new Promise((resolve) => {
			const timer = setTimeout(
				() => this.finish?.({closed: true, rows: []}),
				timeoutMs,
			);
			this.finish = (answer) => {
				clearTimeout(timer);
				this.finish = undefined;
				this.answer = undefined;
				resolve(answer);
			};

			if (this.isClosed) {
				this.finish({closed: true, rows: []});
				return;
			}

			this.socket.write(message + '\r\n', 'latin1');
		});
	}

	async query(id, text) {
		return this.exchange(`QUERY ${id} ${text}`);
	}

	close() {
		this.socket.destroy();
	}
}
