/**
 * Stand-ins for the database servers of one service: one primary and its replicas, as PROTOCOL.md
 * describes them. A commit gets the next number, reaches the replicas after a delay and is applied there.
 */
import * as http from 'node:http';
import * as net from 'node:net';
import * as crypto from 'node:crypto';
import {call, now, ports, readLines, sleep} from './harness.mjs';

/** Statements that wait for a slot; more are refused. */
const maxQueued = 24;

function delay(ms, action) {
	if (ms > 0) {
		setTimeout(action, ms);
	} else {
		action();
	}
}

export class Group {
	/**
	 * @param options.lagMs - Time until a replica has applied a commit.
	 * @param options.synchronousReplicas - Replicas that must have received a commit before it is
	 * acknowledged.
	 * @param options.computeLatencyMs - One way between two zones.
	 * @param options.computeWorkMs - Draws the time for which a read occupies a slot.
	 */
	constructor(
		world,
		service,
		{
			lagMs = 8,
			synchronousReplicas = 0,
			slots = 3,
			computeWorkMs = () => 2,
			computeLatencyMs = () => 0,
		} = {},
	) {
		Object.assign(this, {
			world,
			service,
			lagMs,
			synchronousReplicas,
			slots,
			computeWorkMs,
			computeLatencyMs,
		});
		this.servers = [];
		world.groups.push(this);
	}

	addServer(options) {
		const server = new Server(this, options);
		this.servers.push(server);
		return server;
	}

	get primary() {
		return this.servers.find(({role, isUp}) => isUp && role === 'primary');
	}

	/** Makes a server the primary of the next term, with what it has received and nothing more. */
	promote(server) {
		const term = Math.max(...this.servers.map((each) => each.term)) + 1;
		server.role = 'primary';
		server.term = term;
		for (const other of this.servers) {
			if (other === server || !other.isUp) {
				continue;
			}

			const common = other.log.findIndex(
				(commit, index) => server.log[index] !== commit,
			);
			if (common !== -1) {
				other.log.length = common;
			}

			other.term = term;
			// The old primary becomes a replica as it can reach the new one.
			if (other.role === 'primary') {
				setTimeout(() => {
					if (other.term === term) {
						other.role = 'replica';
					}
				}, 1000);
			}
		}
	}
}

/** The platform's API for promotions. */
export class Platform {
	constructor(world, {promoteMs = 300, handlePromotion = () => undefined}) {
		Object.assign(this, {world, promoteMs, handlePromotion});
		/** Promotion calls in order: `{service, id, holder, token, at}`. */
		this.calls = [];
	}

	async start() {
		const host = `${this.world.prefix}.201`;
		this.address = `${host}:18790`;
		this.world.platform = this;
		this.server = http.createServer(async (request, response) => {
			let text = '';
			for await (const chunk of request) {
				text += chunk;
			}

			response.writeHead(this.handle(request, text)).end();
		});
		await new Promise((resolve) => {
			this.server.listen(18_790, host, resolve);
		});
	}

	handle({method, url, headers}, text) {
		if (method !== 'POST' || url !== '/promotion') {
			return 404;
		}

		const {Service: service, Id: id} = JSON.parse(text);
		const group = this.world.groups.find((each) => each.service === service);
		const server = group?.servers.find((each) => each.id === id);
		const promotion = {
			service,
			id,
			holder: headers['lease-holder'],
			token: Number(headers['fencing-token']),
			at: now(),
		};
		this.calls.push(promotion);
		this.world.recorder.write(
			`platform: ${promotion.holder} with token ${promotion.token} promotes ${id} of ${service}`,
		);
		if (!server?.isUp) {
			return 409;
		}

		if (server.role !== 'primary') {
			setTimeout(() => {
				if (server.isUp) {
					this.handlePromotion(group, server);
					group.promote(server);
				}
			}, this.promoteMs);
		}

		return 200;
	}

	dispose() {
		this.server?.close();
	}
}

export class Server {
	constructor(group, {id, zone, host, port, role}) {
		Object.assign(this, {group, id, zone, host, port, role});
		this.term = 1;
		/** Commits in order: `{term, number, item, data}`. */
		this.log = [];
		this.isUp = false;
		this.state = 'ready';
		/** True while the replica receives nothing. */
		this.isDeaf = false;
		this.usedSlots = 0;
		this.waiting = [];
		this.sockets = new Set();
		/** Every read that ran here: `{id, item, at, number}`. */
		this.reads = [];
	}

	get position() {
		const last = this.log.at(-1);
		return last ? `${last.term}.${last.number}` : `${this.term}.0`;
	}

	async start() {
		this.isUp = true;
		this.born = Date.now();
		this.sequence = 0;
		this.listener = net.createServer((socket) => this.accept(socket));
		await new Promise((resolve) => {
			this.listener.listen(this.port, this.host, resolve);
		});
		this.sendHeartbeats(this.born);
	}

	/** Ends the process: no listener, all connections reset. */
	stop() {
		this.isUp = false;
		this.listener?.close();
		for (const socket of this.sockets) {
			socket.resetAndDestroy();
		}
	}

	/** Takes over the log of the primary in steps, as a server that begins with an empty log. */
	async transferLog(durationMs) {
		const steps = 20;
		const {born} = this;
		for (let step = 1; step <= steps; step++) {
			await sleep(durationMs / steps);
			if (!this.isUp || this.born !== born) {
				return;
			}

			const source = this.group.primary?.log ?? [];
			const count =
				step === steps
					? source.length
					: Math.floor((source.length * step) / steps);
			if (count > this.log.length) {
				this.log = source.slice(0, count);
			}
		}

		this.isTransferring = false;
	}

	/** Takes over what the primary has beyond this server's log; calls back once it has the commit. */
	receive(primary, commit, handleReceived) {
		const {born} = this;
		setTimeout(() => {
			const canReceive =
				this.isUp &&
				primary.isUp &&
				primary.role === 'primary' &&
				this.role === 'replica' &&
				this.born === born &&
				!this.isTransferring &&
				!this.isDeaf;
			if (!canReceive) {
				return;
			}

			for (let index = this.log.length; index < primary.log.length; index++) {
				this.log.push(primary.log[index]);
				if (primary.log[index] === commit) {
					break;
				}
			}

			if (this.log.includes(commit)) {
				handleReceived();
			}
		}, this.group.lagMs);
	}

	/** Runs work in a slot; returns false when too many statements wait already. */
	async useSlot(work) {
		if (this.usedSlots >= this.group.slots) {
			if (this.waiting.length >= maxQueued) {
				return false;
			}

			await new Promise((resolve) => {
				this.waiting.push(resolve);
			});
		} else {
			this.usedSlots++;
		}

		try {
			await work();
		} finally {
			const next = this.waiting.shift();
			if (next) {
				next();
			} else {
				this.usedSlots--;
			}
		}

		return true;
	}

	async sendHeartbeats(born) {
		const {world} = this.group;
		while (this.isUp && this.born === born) {
			const body = {
				Service: this.group.service,
				Addr: `${this.host}:${this.port}`,
				Zone: this.zone,
				Version: 'v1',
				Slots: 3,
				State: this.state,
				ColdLeftMs: 0,
				DbRole: this.role,
				Seq: ++this.sequence,
				born,
			};
			for (const machine of world.controls) {
				const {status} = await call(
					machine.host,
					ports.control,
					'POST',
					`/api/Instances.Heartbeat/${this.id}`,
					body,
				);
				if (status === 200) {
					break;
				}
			}

			await sleep(this.sequence < 3 ? 300 : 1200);
		}
	}

	accept(socket) {
		const session = {
			values: new Map(),
			prepared: new Map(),
			state: 'I',
			writes: [],
			isReadOnly: false,
		};
		this.sockets.add(socket);
		socket.setNoDelay(true);
		socket.on('error', () => undefined);
		socket.on('close', () => this.sockets.delete(socket));
		let queue = Promise.resolve();
		const receive = (line) => {
			queue = queue.then(async () => {
				if (!socket.destroyed) {
					await this.handle(socket, session, line);
				}
			});
		};

		readLines(socket, (line) => {
			if (line.startsWith('STARTUP')) {
				session.latencyMs = this.findLatencyMs(line.split(' ')[2]);
				// The round trip that opened the connection comes on top.
				delay(3 * session.latencyMs, () => receive(line));
			} else {
				delay(session.latencyMs, () => receive(line));
			}
		});
	}

	/** One way to the machine of this name, or to the server's own zone. */
	findLatencyMs(name) {
		const machine = this.group.world.machines.find(
			(each) => each.name === name,
		);
		return this.group.computeLatencyMs(machine?.zone ?? this.zone, this.zone);
	}

	async handle(socket, session, line) {
		const send = (...lines) => {
			delay(session.latencyMs ?? 0, () => {
				if (!socket.destroyed) {
					socket.write(lines.map((text) => `${text}\r\n`).join(''), 'latin1');
				}
			});
		};

		const [word, first, ...rest] = line.split(' ');
		if (word === 'STARTUP') {
			const id = rest[1];
			if (
				first !== this.group.service ||
				(id !== undefined && id !== this.id)
			) {
				send(`ERROR WRONGNODE ${this.id}`);
				delay(session.latencyMs + 1, () => socket.end());
				return;
			}

			send(`READY I ${this.position}`);
			return;
		}

		if (word !== 'QUERY') {
			socket.destroy();
			return;
		}

		const answer = await this.run(session, first, rest);
		send(...answer, `READY ${session.state} ${this.position}`);
	}

	sign() {
		return `COMPLETE ${crypto.randomBytes(8).toString('hex')}`;
	}

	async run(session, id, words) {
		let [verb, ...rest] = words;
		if (verb === 'AFTER') {
			const [term, number] = rest[0].split('.').map(Number);
			const [ownTerm, ownNumber] = this.position.split('.').map(Number);
			if (ownTerm < term || (ownTerm === term && ownNumber < number)) {
				return ['ERROR LAGGING behind'];
			}

			[verb, ...rest] = rest.slice(1);
		}

		switch (verb) {
			case 'STATUS': {
				if (this.usedSlots >= this.group.slots) {
					return ['ERROR BUSY all slots are in use'];
				}

				return [
					`ROW ${this.role} ${this.term} ${this.position} ${this.term} 0 ${this.usedSlots} ${this.sockets.size}`,
					'COMPLETE -',
				];
			}

			case 'DEMOTE': {
				if (this.role === 'primary' && this.term < Number(rest[0])) {
					this.role = 'replica';
				}

				return this.run(session, id, ['STATUS']);
			}

			case 'RESET': {
				session.values.clear();
				session.prepared.clear();
				return ['COMPLETE -'];
			}

			case 'SET': {
				session.values.set(rest[0], rest.slice(1).join(' '));
				return ['COMPLETE -'];
			}

			case 'PREPARE': {
				session.prepared.set(rest[0], rest[1]);
				return ['COMPLETE -'];
			}

			case 'DEALLOC': {
				session.prepared.delete(rest[0]);
				return ['COMPLETE -'];
			}

			case 'BEGIN': {
				if (rest[0] !== 'READ' && this.role !== 'primary') {
					return [`ERROR READONLY ${this.id}`];
				}

				session.state = 'T';
				session.isReadOnly = rest[0] === 'READ';
				return ['COMPLETE -'];
			}

			case 'ROLLBACK': {
				session.state = 'I';
				session.writes = [];
				return ['COMPLETE -'];
			}

			case 'COMMIT': {
				const {writes} = session;
				session.state = 'I';
				session.writes = [];
				return this.commit(id, writes);
			}

			case 'EXECUTE': {
				const kind = session.prepared.get(rest[0]);
				return kind === undefined
					? ['ERROR NOSTMT unknown']
					: this.run(session, id, [kind, ...rest.slice(1)]);
			}

			case 'READ': {
				let row;
				const hasRun = await this.useSlot(async () => {
					row = this.log.findLast(({item}) => item === rest[0]);
					this.reads.push({
						id,
						item: rest[0],
						at: now(),
						number: this.log.at(-1)?.number ?? 0,
						data: row?.data,
					});
					await sleep(this.group.computeWorkMs());
				});
				return hasRun
					? [`ROW ${row?.data ?? ''}`, this.sign()]
					: ['ERROR BUSY too many statements wait'];
			}

			case 'WRITE': {
				if (this.role !== 'primary') {
					return [`ERROR READONLY ${this.id}`];
				}

				session.writes.push({item: rest[0], data: rest.slice(1).join(' ')});
				return session.state === 'I'
					? this.commit(id, session.writes.splice(0))
					: [this.sign()];
			}

			default: {
				return ['ERROR MALFORMED'];
			}
		}
	}

	/** Commits; where there are synchronous replicas, answers once that many have received the commit. */
	async commit(id, writes) {
		if (writes.length > 0 && this.role !== 'primary') {
			return [`ERROR READONLY ${this.id}`];
		}

		const received = [];
		for (const write of writes) {
			const number = (this.log.at(-1)?.number ?? 0) + 1;
			const commit = {term: this.term, number, id, ...write};
			this.log.push(commit);
			received.push(this.replicate(commit));
		}

		await Promise.all(received);
		return [this.sign()];
	}

	async replicate(commit) {
		return new Promise((resolve) => {
			let missing = this.group.synchronousReplicas;
			if (missing === 0) {
				resolve();
			}

			for (const server of this.group.servers) {
				if (server !== this) {
					server.receive(this, commit, () => {
						missing--;
						if (missing === 0) {
							resolve();
						}
					});
				}
			}
		});
	}
}
