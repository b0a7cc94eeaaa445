/**
 * Starts the processes of a cluster on loopback and stops them again. Only scripts start processes;
 * daemons never do.
 */
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import process from 'node:process';
import * as portBlock from './port-block.mjs';

const programFile = path.join('dist', 'cli', 'main.js');
const defaultGroup = 'bloom-ledger';
const dataCentres = ['khomas-a', 'erongo-a', 'otjo-a'];
const regions = ['khomas', 'erongo', 'otjozondjupa'];
/** Longer than the drain deadline of the daemons. */
const stopTimeoutMs = 40_000;

/** Resolves when `check` resolves with a truthy value; rejects after the timeout. */
export async function waitFor(description, timeoutMs, check) {
	const expiresAt = Date.now() + timeoutMs;
	for (;;) {
		try {
			const value = await check();
			if (value) {
				return value;
			}
		} catch {
			// Not ready yet.
		}

		if (Date.now() > expiresAt) {
			throw new Error(
				`waiting for ${description} timed out after ${timeoutMs / 1000} s`,
			);
		}

		await new Promise((resolve) => {
			setTimeout(resolve, 20);
		});
	}
}

export class Cluster {
	/** Running child processes by name. */
	children = new Map();
	/** Ports by name of the process. */
	ports = new Map();

	/**
	 * @param options - `controls`, `proxies`: number of processes; `group`: name of the group; `log`: log level of the daemons;
	 * `standIn`: further arguments of the stand-ins; `openRelay(name, port)`: opens a relay to a
	 * control peer or stand-in and resolves with the port that the other processes use instead;
	 * `nodeOptions`: options of Node.js for the daemons; `maxConnections`: limit on the callers of one
	 * proxy; `drainDeadlineS`: grace period of a planned stop of a daemon.
	 */
	constructor(options) {
		this.options = options;
		this.folder = fs.mkdtempSync(path.join(os.tmpdir(), 'hemlockarch-'));
	}

	/** Starts control peers and proxies, then one group of three stand-ins. */
	async start() {
		const {controls, proxies} = this.options;
		this.portBlock = await portBlock.reservePortBlock(process.pid);
		for (let index = 1; index <= controls; index++) {
			const [peers, http] = this.portBlock.takePorts(2);
			const relay = await this.openRelay(`control-${index}`, peers);
			this.ports.set(`control-${index}`, {peers, http, relay});
		}

		for (let index = 1; index <= proxies; index++) {
			const [callers, peers, http] = this.portBlock.takePorts(3);
			this.ports.set(`proxy-${index}`, {callers, peers, http});
		}

		for (const name of this.ports.keys()) {
			this.startDaemon(name);
		}

		const first = await this.startStandIn(1, undefined);
		for (const index of [2, 3]) {
			await this.startStandIn(index, first.port);
		}
	}

	startDaemon(name) {
		const [role, index] = name.split('-');
		const file = path.join(this.folder, `${name}.ini`);
		fs.writeFileSync(file, this.formatSettings(name, role, Number(index) - 1));
		this.startProcess(
			name,
			[role, '--settings', file],
			this.options.nodeOptions,
		);
	}

	/** Starts a stand-in; with `primaryPort` it is a replica of the server on that port. */
	async startStandIn(index, primaryPort, primary = 'ledger-1') {
		const name = `ledger-${index}`;
		const announce = [...this.ports]
			.filter(([other]) => other.startsWith('proxy'))
			.flatMap(([, {http}]) => ['--announce', `127.0.0.1:${http}`]);
		const [port] = this.portBlock.takePorts(1);
		const relay = await this.openRelay(name, port);
		const child = this.startProcess(name, [
			'stand-in',
			'--json',
			'--group',
			this.options.group ?? defaultGroup,
			'--server',
			name,
			'--data-centre',
			dataCentres[index - 1],
			'--port',
			String(port),
			...(relay === port ? [] : ['--announced-address', `127.0.0.1:${relay}`]),
			...(primaryPort === undefined
				? []
				: ['--primary', `${primary}@127.0.0.1:${primaryPort}`]),
			...(this.options.standIn ?? []),
			...announce,
		]);
		const line = await readFirstLine(child.stdout);
		const ports = JSON.parse(line);
		this.ports.set(name, {callers: ports.port, control: ports.controlPort});
		return ports;
	}

	async openRelay(name, port) {
		return this.options.openRelay?.(name, port) ?? port;
	}

	/** Kills a process with SIGKILL. */
	async kill(name) {
		const child = this.children.get(name);
		this.children.delete(name);
		const exited = waitForExit(child);
		child.kill('SIGKILL');
		await exited;
	}

	signal(name, signal) {
		this.children.get(name).kill(signal);
	}

	async readStatus(name) {
		const {http} = this.ports.get(name);
		const response = await fetch(`http://127.0.0.1:${http}/status`);
		return response.json();
	}

	async isReady(name) {
		const {http} = this.ports.get(name);
		const response = await fetch(`http://127.0.0.1:${http}/health`);
		return response.status === 200;
	}

	/** Runs the command-line client; resolves with its exit code and output. */
	async runClient(args) {
		const child = childProcess.spawn(process.execPath, [programFile, ...args], {
			stdio: ['ignore', 'pipe', 'pipe'],
		});
		let output = '';
		child.stdout.on('data', (data) => {
			output += data;
		});
		child.stderr.on('data', (data) => {
			output += data;
		});
		const code = await waitForExit(child);
		return {code, output};
	}

	/** Stops everything; resolves with the exit codes by name. */
	async stop() {
		const codes = new Map();
		const order = ['proxy', 'control', 'ledger'];
		for (const prefix of order) {
			await Promise.all(
				[...this.children]
					.filter(([name]) => name.startsWith(prefix))
					.map(async ([name, child]) => {
						codes.set(name, await stopChild(child));
					}),
			);
		}

		this.children.clear();
		await this.releasePorts();
		fs.rmSync(this.folder, {recursive: true, force: true});
		return codes;
	}

	/** Gives the ports back; only after all processes have ended. */
	async releasePorts() {
		await this.portBlock?.release();
	}

	startProcess(name, args, nodeOptions = []) {
		const logFile = fs.openSync(path.join(this.folder, `${name}.log`), 'a');
		const child = childProcess.spawn(
			process.execPath,
			[...nodeOptions, programFile, ...args],
			{stdio: ['ignore', 'pipe', logFile]},
		);
		fs.closeSync(logFile);
		this.children.set(name, child);
		return child;
	}

	formatSettings(name, role, index) {
		const ports = this.ports.get(name);
		const peers = [...this.ports]
			.filter(([other]) => other.startsWith('control'))
			.map(([other, {peers: port, relay}]) => {
				const usedPort = other === name ? port : relay;
				return `${other}@127.0.0.1:${usedPort}`;
			})
			.join(', ');
		const lines = [
			'[process]',
			`id = ${name}`,
			`role = ${role}`,
			`vm = entry-${index + 1}`,
			`data_centre = ${dataCentres[index % 3]}`,
			`region = ${regions[index % 3]}`,
			...(role === 'control'
				? [`data_folder = ${path.join(this.folder, name)}`]
				: []),
			'[listen]',
			'address = 127.0.0.1',
			...(role === 'proxy' ? [`callers_port = ${ports.callers}`] : []),
			`peers_port = ${ports.peers}`,
			`http_port = ${ports.http}`,
			'[control]',
			`peers = ${peers}`,
			'[limits]',
			`drain_deadline_s = ${this.options.drainDeadlineS ?? 30}`,
			...(this.options.maxConnections === undefined
				? []
				: [`max_connections = ${this.options.maxConnections}`]),
			'[log]',
			`level = ${this.options.log ?? 'info'}`,
			'format = text',
		];
		return `${lines.join('\n')}\n`;
	}
}

async function readFirstLine(stream) {
	return new Promise((resolve, reject) => {
		let text = '';
		stream.setEncoding('utf8');
		stream.on('data', (data) => {
			text += data;
			const end = text.indexOf('\n');
			if (end !== -1) {
				resolve(text.slice(0, end));
			}
		});
		stream.once('close', () => {
			reject(new Error('the process exited before it printed its ports'));
		});
	});
}

async function waitForExit(child) {
	if (child.exitCode !== null || child.signalCode !== null) {
		return child.exitCode ?? child.signalCode;
	}

	return new Promise((resolve) => {
		child.once('exit', (code, signal) => {
			resolve(code ?? signal);
		});
	});
}

async function stopChild(child) {
	const exited = waitForExit(child);
	child.kill('SIGCONT');
	child.kill('SIGTERM');
	const timer = setTimeout(() => {
		child.kill('SIGKILL');
	}, stopTimeoutMs);
	const code = await exited;
	clearTimeout(timer);
	return code;
}
