/**
 * Stand-ins for the platform's database servers and its promotion call, as PROTOCOL.md describes them:
 * one service of three servers with asynchronous replication, and what they ran, in order.
 */
import {Buffer} from 'node:buffer';
import * as http from 'node:http';
import * as net from 'node:net';
import process from 'node:process';

const lineEnd = '\r\n';
const handshakeMs = 12;
const beatMs = 1200;

/** Splits the messages of a connection into lines. */
export class Lines {
	rest = '';

	push(chunk) {
		const lines = (this.rest + chunk.toString('latin1')).split(lineEnd);
		this.rest = lines.pop();
		return lines;
	}
}

function wait(ms) {
	return new Promise((resolve) => {
		setTimeout(resolve, ms);
	});
}

/** Sends a call with a JSON body; resolves with its status, 0 when there was no response. */
export async function call({
	host,
	port,
	method,
	path,
	body,
	headers,
	timeoutMs,
}) {
	return new Promise((resolve) => {
		const request = http.request(
			{
				host,
				port,
				method,
				path,
				agent: false,
				headers: {'content-type': 'application/json', ...headers},
			},
			(response) => {
				const chunks = [];
				response.on('data', (chunk) => chunks.push(chunk));
				response.on('end', () => {
					resolve({
						status: response.statusCode,
						text: Buffer.concat(chunks).toString('utf8'),
					});
				});
				response.on('error', () => {
					resolve({status: 0, text: ''});
				});
			},
		);
		request.setTimeout(timeoutMs ?? 1000, () =>
			request.destroy(new Error('no response')),
		);
		request.on('error', () => {
			resolve({status: 0, text: ''});
		});
		request.end(body === undefined ? undefined : JSON.stringify(body));
	});
}

/** One connection at a server, with its session state and open transaction. */
class Connection {
	state = 'I';
	values = new Map();
	prepared = new Map();
	readOnly = false;
	/** Statements of the open transaction. */
	statements = [];
	chain = Promise.resolve();

	constructor(server, socket, number) {
		this.server = server;
		this.socket = socket;
		this.name = `${server.id}#${number}`;
	}

	send(lines) {
		if (!this.socket.destroyed) {
			this.socket.write(lines.map((line) => line + lineEnd).join(''), 'latin1');
		}
	}

	ready() {
		return `READY ${this.state} ${this.server.position()}`;
	}

	fail(code, text) {
		if (this.state === 'T') {
			this.state = 'E';
		}

		return [`ERROR ${code} ${text}`, this.ready()];
	}
}

/** A database server; `service.servers` are its peers. */
export class Server {
	connections = new Set();
	/** Commits in the log: {term, number, queries}. */
	log = [];
	/** How many of them are applied here; a replica applies later. */
	applied = 0;
	sequence = 0;
	running = 0;
	counter = 0;
	beats = [];

	constructor(service, {id, host, port, zone, role}) {
		Object.assign(this, {
			service,
			id,
			host,
			port,
			zone,
			role,
			term: 1,
			born: Date.now(),
		});
	}

	/** Last commit that is applied here. */
	position() {
		const last = this.log[this.applied - 1];
		return last ? `${last.term}.${last.number}` : '1.0';
	}

	received() {
		const last = this.log.at(-1);
		return last ? `${last.term}.${last.number}` : '1.0';
	}

	async listen() {
		this.listener = net.createServer((socket) => {
			this.accept(socket);
		});
		await new Promise((resolve, reject) => {
			this.listener.on('error', reject);
			this.listener.listen(
				{host: this.host, port: this.port, backlog: 512},
				resolve,
			);
		});
		this.isUp = true;
		this.timer = setInterval(() => {
			this.beat();
		}, beatMs);
		this.beat();
	}

	/** Ends as a killed process does: nothing of its sessions is kept. */
	stop() {
		this.isUp = false;
		clearInterval(this.timer);
		this.listener?.close();
		for (const connection of this.connections) {
			connection.socket.destroy();
		}
	}

	async beat() {
		const {service} = this;
		this.sequence++;
		const start = Math.floor(Math.random() * service.controls.length);
		for (let index = 0; index < service.controls.length && this.isUp; index++) {
			const {host, port} =
				service.controls[(start + index) % service.controls.length];
			const {status} = await call({
				host,
				port,
				method: 'POST',
				path: `/api/Instances.Heartbeat/${this.id}`,
				body: {
					Service: service.name,
					Addr: `${this.host}:${this.port}`,
					Zone: this.zone,
					Version: 'v1',
					Slots: 3,
					State: this.draining ? 'draining' : 'ready',
					ColdLeftMs: 0,
					DbRole: this.role,
					Seq: this.sequence,
					born: this.born,
				},
			});
			if (status === 200) {
				return;
			}
		}
	}

	accept(socket) {
		const connection = new Connection(this, socket, ++this.counter);
		const reader = new Lines();
		this.connections.add(connection);
		socket.setNoDelay(true);
		socket.on('error', () => undefined);
		socket.on('close', () => {
			this.connections.delete(connection);
			if (connection.statements.length > 0) {
				this.service.record(
					'rolled back by a close',
					connection,
					connection.statements.map(({id}) => id).join(' '),
				);
				connection.statements = [];
			}
		});
		socket.on('data', (chunk) => {
			for (const line of reader.push(chunk)) {
				connection.chain = connection.chain.then(() =>
					this.handle(connection, line),
				);
			}
		});
	}

	async handle(connection, line) {
		const [word, id, ...rest] = line.split(' ');
		if (word === 'STARTUP') {
			await wait(handshakeMs);
			const isOurs =
				id === this.service.name && (rest.length < 2 || rest[1] === this.id);
			connection.send(
				isOurs ? [connection.ready()] : [`ERROR WRONGNODE ${this.id}`],
			);
			if (!isOurs) {
				connection.socket.end();
			}

			return;
		}

		if (word !== 'QUERY') {
			connection.socket.destroy();
			return;
		}

		const text = rest.join(' ');
		const answer = await this.run(connection, id, text);
		const lateMs = this.service.chooseLateness?.(this, id, text) ?? 0;
		if (lateMs > 0) {
			await wait(lateMs);
		}

		connection.send(answer);
	}

	/** Runs a statement and returns the messages of its answer. */
	async run(connection, id, fullText) {
		let words = fullText.split(' ');
		if (words[0] === 'AFTER') {
			if (!this.holds(words[1])) {
				return connection.fail('LAGGING', this.id);
			}

			words = words.slice(2);
		}

		const [command, name] = words;
		const done = (signature = '-') => [
			`COMPLETE ${signature}`,
			connection.ready(),
		];
		switch (command) {
			case 'STATUS': {
				return this.status(connection);
			}

			case 'DEMOTE': {
				if (this.role === 'primary' && Number(name) > this.term) {
					this.service.follow(this);
				}

				return this.status(connection);
			}

			case 'RESET': {
				connection.values.clear();
				connection.prepared.clear();
				return done();
			}

			case 'SET': {
				connection.values.set(name, words.slice(2).join(' '));
				return done();
			}

			case 'PREPARE': {
				connection.prepared.set(name, words[2]);
				return done();
			}

			case 'DEALLOC': {
				connection.prepared.delete(name);
				return done();
			}

			case 'BEGIN': {
				if (this.role !== 'primary' && name !== 'READ') {
					return connection.fail('READONLY', this.id);
				}

				connection.state = 'T';
				connection.readOnly = name === 'READ';
				connection.statements = [];
				return done();
			}

			case 'ROLLBACK': {
				connection.state = 'I';
				this.service.record(
					'rolled back',
					connection,
					connection.statements.map((statement) => statement.id).join(' '),
				);
				connection.statements = [];
				return done();
			}

			default: {
				return this.runData(connection, id, words, fullText);
			}
		}
	}

	async runData(connection, id, words, fullText) {
		const {service} = this;
		const isExecute = words[0] === 'EXECUTE';
		if (isExecute && !connection.prepared.has(words[1])) {
			return connection.fail('NOSTMT', words[1]);
		}

		const command = isExecute ? connection.prepared.get(words[1]) : words[0];
		const [item, ...data] = isExecute ? words.slice(2) : words.slice(1);
		if (
			!['READ', 'WRITE', 'COMMIT'].includes(command) ||
			connection.state === 'E'
		) {
			return connection.fail('MALFORMED', command);
		}

		if (
			this.role !== 'primary' &&
			!connection.readOnly &&
			(command !== 'READ' || connection.state === 'T')
		) {
			return connection.fail('READONLY', this.id);
		}

		const signature = `${service.nextSignature()}.${id}`;
		const statement = {id, command, item, data: data.join(' ')};
		await wait(service.workMs);
		if (connection.socket.destroyed) {
			return [];
		}

		if (command === 'READ') {
			service.record(
				'ran',
				connection,
				`${id} ${fullText} at ${this.position()}`,
			);
			if (connection.state === 'T') {
				connection.statements.push(statement);
			}

			return [
				`ROW ${this.read(item, connection)}`,
				`COMPLETE ${signature}`,
				connection.ready(),
			];
		}

		if (command === 'WRITE') {
			service.record('ran', connection, `${id} ${fullText}`);
			connection.statements.push(statement);
			if (connection.state === 'I') {
				this.commit(connection, id);
			}

			return [`COMPLETE ${signature}`, connection.ready()];
		}

		service.record('ran', connection, `${id} COMMIT`);
		connection.state = 'I';
		this.commit(connection, id);
		return [`COMPLETE ${signature}`, connection.ready()];
	}

	commit(connection, id) {
		const queries = connection.statements;
		connection.statements = [];
		const writes = queries.filter(({command}) => command === 'WRITE');
		if (writes.length === 0) {
			return;
		}

		const entry = {
			term: this.term,
			number: (this.log.at(-1)?.number ?? 0) + 1,
			queries,
			by: id,
			at: Date.now(),
		};
		this.log.push(entry);
		this.applied = this.log.length;
		this.service.record(
			'committed',
			connection,
			`${entry.term}.${entry.number}: ${queries.map((query) => query.id).join(' ')} by ${id}`,
		);
		this.service.replicate(this);
	}

	read(item) {
		for (let index = this.applied - 1; index >= 0; index--) {
			const write = this.log[index].queries.findLast(
				(query) => query.command === 'WRITE' && query.item === item,
			);
			if (write) {
				return write.data;
			}
		}

		return 'none';
	}

	holds(position) {
		const [term, number] = position.split('.').map(Number);
		return (
			number === 0 ||
			this.log
				.slice(0, this.applied)
				.some((entry) => entry.number === number && entry.term === term)
		);
	}

	status(connection) {
		return [
			`ROW ${this.role} ${this.term} ${this.received()} 0 0 ${this.running} ${this.connections.size}`,
			'COMPLETE -',
			connection.ready(),
		];
	}
}

/** A service of three servers, and the platform's call that promotes one of them. */
export class Service {
	servers = [];
	workMs = 6;
	lagMs = 8;
	promoteMs = 300;
	signatures = 0;
	/** Returns by how many ms the answer to a statement is late. */
	chooseLateness = undefined;
	promotions = [];

	constructor(name, controls, recorder) {
		this.name = name;
		this.controls = controls;
		this.recorder = recorder;
	}

	nextSignature() {
		this.signatures++;
		return `7.${this.signatures.toString(16)}`;
	}

	record(what, connection, text) {
		this.recorder(`server ${connection.name} ${what}: ${text}`);
	}

	/** The primary of the newest term. */
	get primary() {
		const [newest] = this.servers
			.filter(({role}) => role === 'primary')
			.toSorted((left, right) => right.term - left.term);
		return newest;
	}

	replicate(source) {
		for (const replica of this.servers) {
			if (
				replica !== source &&
				replica.role === 'replica' &&
				replica.term === source.term
			) {
				setTimeout(() => {
					if (replica.isUp && replica.role === 'replica') {
						replica.log = [...source.log];
						replica.applied = replica.log.length;
					}
				}, this.lagMs);
			}
		}
	}

	follow(server) {
		server.role = 'replica';
		const {primary} = this;
		if (primary) {
			server.term = primary.term;
			server.log = [...primary.log];
			server.applied = server.log.length;
		}

		server.beat();
	}

	/** Starts the platform's `POST /promotion`. */
	async listenPlatform(host, port) {
		this.platform = http.createServer(async (request, response) => {
			const chunks = [];
			for await (const chunk of request) {
				chunks.push(chunk);
			}

			const {Id: id} = JSON.parse(Buffer.concat(chunks).toString('utf8'));
			const server = this.servers.find((candidate) => candidate.id === id);
			const status = server?.isUp ? 200 : 409;
			const {'lease-holder': holder, 'fencing-token': token} = request.headers;
			this.recorder(
				`platform promotes ${id}: ${status}, holder ${holder}, token ${token}`,
			);
			this.promotions.push({
				id,
				holder,
				token: Number(token),
				at: Date.now(),
				status,
			});
			response.writeHead(status, {'content-type': 'application/json'});
			response.end('{}');
			if (status === 200 && server.role !== 'primary') {
				await wait(this.promoteMs);
				for (const other of this.servers) {
					if (other.role === 'primary' && other !== server) {
						setTimeout(() => {
							if (other.role === 'primary' && other.term < server.term) {
								this.follow(other);
							}
						}, 1000);
					}
				}

				server.term = Math.max(...this.servers.map(({term}) => term)) + 1;
				server.role = 'primary';
				this.recorder(`server ${id} leads term ${server.term}`);
				for (const other of this.servers) {
					if (other !== server && other.isUp && other.role === 'replica') {
						this.follow(other);
					}
				}

				server.beat();
			}
		});
		await new Promise((resolve, reject) => {
			this.platform.on('error', reject);
			this.platform.listen({host, port}, resolve);
		});
	}

	stop() {
		this.platform?.close();
		for (const server of this.servers) {
			server.stop();
		}
	}
}

process.on('unhandledRejection', (error) => {
	console.error(error);
	process.exit(2);
});
