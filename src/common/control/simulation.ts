/**
 * Simulates a control group with proxies and database servers for tests. After each step of simulated
 * time it checks that leases are exclusive; `problems` collects the violations.
 */
import type * as ids from '../ids.js';
import type * as messages from '../messages.js';
import type * as types from '../types.js';
import * as consensus from '../consensus/consensus.js';
import * as network from '../consensus/fake-network.js';
import type * as control from './types.js';
import * as fakeProxies from './fake-proxy.js';
import type * as fakeServers from './fake-server.js';
import * as reducers from './reducer.js';
import * as selfAcknowledging from './self-acknowledging-servers.js';
import * as simulatedServers from './simulated-servers.js';
import * as checks from './simulation-checks.js';

/** Simulated time of one step. */
const stepMs = 5;
const tickMs = 25;
const replicationIntervalMs = 20;
/** Maximum number of records that a replica receives per interval. */
const replicationBatchRecords = 50;
/** Time after which a call fails whose server is unreachable or whose answer is lost. */
const callTimeoutMs = 300;

export type SimulationOptions = {
	readonly seed: number;
	readonly faults?: control.FaultInjection;
	/** Relative clock drift by peer; 0 for peers that are not listed. */
	readonly clockDrifts?: Readonly<Record<string, number>>;
	readonly proxies?: number;
	readonly servers?: number;
	/** See `FakeProxyEnvironment`; 100 by default. */
	readonly maxReleaseDelayMs?: number;
	/** See `FakeProxyEnvironment`; 100 by default. */
	readonly writeIntervalMs?: number;
	/**
	 * Set when the servers acknowledge commits themselves: the number of replicas that have received a
	 * commit by then. Such servers have no fences.
	 */
	readonly synchronousReplicas?: number;
	/** The number that announcements carry; `synchronousReplicas` by default. */
	readonly announcedSynchronousReplicas?: number;
};

type SimulatedControlPeer = {
	readonly peer: ids.PeerId;
	readonly disk: network.FakeDisk<control.ControlCommand>;
	log: consensus.Consensus<control.ControlCommand> | undefined;
	reducer: reducers.ControlReducer | undefined;
	nextTickAt: number;
	/** Number of the current instance of the process. */
	incarnation: number;
};

type Timer = {readonly at: number; readonly run: () => void};

/** An answered template change. */
export type ChangeAnswer = {
	readonly change: types.TemplateChange;
	readonly result: types.TemplateChangeResult;
};

/** Three control peers, proxies and the servers of one group. */
export class Simulation {
	now = 0;
	readonly random: network.Random;
	readonly network: network.FakeNetwork<messages.PeerMessage>;
	readonly controlPeers: SimulatedControlPeer[];
	readonly proxies = new Map<ids.PeerId, fakeProxies.FakeProxy | undefined>();
	readonly servers: fakeServers.FakeServer[];
	/** The servers as a group that acknowledges commits itself; undefined for servers with fences. */
	readonly selfAcknowledging:
		selfAcknowledging.SelfAcknowledgingServers | undefined;

	readonly answers: ChangeAnswer[] = [];
	/** Pairs that cannot reach each other, as `peer server` or `server server`. */
	readonly cutLinks = new Set<string>();
	/** Share of server calls whose answer is lost. */
	callLossRate = 0;
	readonly #options: SimulationOptions;
	readonly #checks = new checks.SimulationChecks(
		() => this.now,
		(peer) => this.readClock(peer),
	);

	readonly #changes = new Map<number, types.TemplateChange>();
	#timers: Timer[] = [];
	#counter = 0;

	constructor(options: SimulationOptions) {
		this.#options = options;
		this.random = network.makeRandom(options.seed);
		this.network = new network.FakeNetwork(this.random);
		const controlIds = ['k1', 'k2', 'k3'] as unknown as ids.PeerId[];
		this.controlPeers = controlIds.map((peer) => ({
			peer,
			disk: new network.FakeDisk(this.random),
			log: undefined,
			reducer: undefined,
			nextTickAt: 0,
			incarnation: 0,
		}));
		const {servers, group} = simulatedServers.createServers(
			options.servers ?? 3,
			options.synchronousReplicas,
			{
				readNow: () => this.now,
				schedule: (delayMs, run) => {
					this.schedule(delayMs, run);
				},
				canReach: (from, to) => !this.cutLinks.has(`${from} ${to}`),
				handlePromotion: (server) => {
					this.#checks.checkPromotion(server);
				},
			},
		);
		this.servers = servers;
		this.selfAcknowledging = group;
		for (const controlPeer of this.controlPeers) {
			this.startControl(controlPeer);
		}

		for (let index = 1; index <= (options.proxies ?? 3); index++) {
			this.startProxy(`p${index}` as ids.PeerId);
		}
	}

	get acknowledgedWrites(): readonly number[] {
		return this.#checks.acknowledgedWrites;
	}

	get problems(): readonly string[] {
		return this.#checks.problems;
	}

	get controlIds(): ids.PeerId[] {
		return this.controlPeers.map(({peer}) => peer);
	}

	/** The control peer that holds a valid leader lease. */
	get leader(): SimulatedControlPeer | undefined {
		return this.controlPeers.find((controlPeer) =>
			controlPeer.log?.isLeaderLeaseValid(this.readClock(controlPeer.peer)),
		);
	}

	get group(): control.GroupState | undefined {
		return this.leader?.reducer?.machine.getGroup('g1' as ids.GroupId);
	}

	/** Reads the peer's own clock, which may drift. */
	readClock(peer: ids.PeerId): number {
		return this.now * (1 + (this.#options.clockDrifts?.[peer] ?? 0));
	}

	getServer(server: string): fakeServers.FakeServer {
		return this.servers.find((candidate) => candidate.server === server)!;
	}

	getProxy(peer: string): fakeProxies.FakeProxy | undefined {
		return this.proxies.get(peer as ids.PeerId);
	}

	/** Owners with a valid lease, by server. */
	listOwners(): Record<string, string> {
		const owners: Record<string, string> = {};
		for (const [peer, proxy] of this.proxies) {
			for (const {server} of proxy?.listValidLeases(this.readClock(peer)) ??
				[]) {
				owners[server] = peer;
			}
		}

		return owners;
	}

	run(durationMs: number): void {
		const end = this.now + durationMs;
		while (this.now < end) {
			this.#runStep();
		}
	}

	/** Runs until the condition holds; returns the time it took in ms, or undefined after the timeout. */
	runUntil(condition: () => boolean, timeoutMs: number): number | undefined {
		const start = this.now;
		while (this.now < start + timeoutMs) {
			if (condition()) {
				return this.now - start;
			}

			this.#runStep();
		}

		return undefined;
	}

	/** Sends an operator's change to one control peer. */
	requestChange(peer: string, change: types.OperatorChange): void {
		const controlPeer = this.controlPeers.find(
			(candidate) => candidate.peer === peer,
		)!;
		const operation = ++this.#counter;
		if (!('type' in change)) {
			this.#changes.set(operation, change);
		}

		this.#stepControl(controlPeer, {
			type: 'templateChangeRequested',
			now: this.readClock(controlPeer.peer),
			operation,
			change,
		});
	}

	startControl(controlPeer: SimulatedControlPeer): void {
		controlPeer.incarnation++;
		controlPeer.nextTickAt = this.now;
		controlPeer.log = new consensus.Consensus<control.ControlCommand>({
			peer: controlPeer.peer,
			initialVoters: this.controlIds,
			stored: structuredClone(controlPeer.disk.load()),
			incarnation: controlPeer.incarnation,
		});
		controlPeer.reducer = new reducers.ControlReducer({
			peer: controlPeer.peer,
			log: controlPeer.log,
			faults: this.#options.faults,
			...(this.selfAcknowledging
				? {
						parseSynchronousReplicas: (text: string) =>
							new Map([['g1' as ids.GroupId, Number(text)]]),
					}
				: {}),
		});
	}

	/** Ends a control process; it starts again after `downMs`. */
	crashControl(controlPeer: SimulatedControlPeer, downMs: number): void {
		if (!controlPeer.reducer) {
			return;
		}

		controlPeer.reducer = undefined;
		controlPeer.log = undefined;
		controlPeer.disk.crash();
		this.schedule(downMs, () => {
			this.startControl(controlPeer);
		});
	}

	startProxy(peer: ids.PeerId): void {
		const number = Number(peer.slice(1));
		const identity = {
			peer,
			dataCentre: `d${((number - 1) % 3) + 1}` as ids.DataCentre,
			incarnation: this.now + 1,
		};
		this.proxies.set(
			peer,
			new fakeProxies.FakeProxy(identity, {
				controlPeers: this.controlIds,
				send: (to, message) => {
					this.#send(peer, to, message);
				},
				findServer: (server) => this.#findServer(peer, server),
				listServers: () =>
					this.servers.filter(({server}) => this.#findServer(peer, server)),
				createWriteNumber: () => ++this.#counter,
				acknowledge: (write, server) => {
					this.#checks.recordAcknowledgement(
						write,
						server,
						this.selfAcknowledging?.primary,
					);
				},
				canAcknowledge: (server, offset, group) =>
					this.#canAcknowledge(server, offset, group),
				...(this.selfAcknowledging
					? {
							synchronousReplicas:
								this.#options.announcedSynchronousReplicas ??
								this.selfAcknowledging.synchronousReplicas,
						}
					: {}),
				writeIntervalMs: this.#options.writeIntervalMs ?? 100,
				random: this.random,
				maxReleaseDelayMs: this.#options.maxReleaseDelayMs ?? 100,
			}),
		);
	}

	/** Ends a proxy process; it starts again after `downMs`. */
	crashProxy(peer: ids.PeerId, downMs: number): void {
		if (this.proxies.get(peer)) {
			this.proxies.set(peer, undefined);
			this.schedule(downMs, () => {
				this.startProxy(peer);
			});
		}
	}

	schedule(delayMs: number, run: () => void): void {
		this.#timers.push({at: this.now + delayMs, run});
	}

	/** Lists the acknowledged writes that a server does not hold. */
	listLostWrites(server: fakeServers.FakeServer): number[] {
		return this.#checks.listLostWrites(server);
	}

	#runStep(): void {
		this.now += stepMs;
		const due = this.#timers.filter(({at}) => at <= this.now);
		this.#timers = this.#timers.filter(({at}) => at > this.now);
		for (const timer of due) {
			timer.run();
		}

		for (const {from, to, message} of this.network.takeDueDeliveries(
			this.now,
		)) {
			this.#deliver(from, to, message);
		}

		for (const controlPeer of this.controlPeers) {
			this.#runControl(controlPeer);
		}

		for (const [peer, proxy] of this.proxies) {
			proxy?.tick(this.readClock(peer));
		}

		if (this.now % replicationIntervalMs === 0) {
			this.#replicate();
		}

		this.#checks.checkLeases(this.proxies);
	}

	#runControl(controlPeer: SimulatedControlPeer): void {
		for (const write of controlPeer.disk.takeSynced(this.now)) {
			this.#stepControl(controlPeer, {
				type: 'written',
				now: this.readClock(controlPeer.peer),
				write,
			});
		}

		if (controlPeer.reducer && this.now >= controlPeer.nextTickAt) {
			controlPeer.nextTickAt += tickMs;
			this.#stepControl(controlPeer, {
				type: 'tick',
				now: this.readClock(controlPeer.peer),
				random: this.random(),
			});
		}
	}

	#deliver(
		from: ids.PeerId,
		to: ids.PeerId,
		message: messages.PeerMessage,
	): void {
		const now = this.readClock(to);
		const controlPeer = this.controlPeers.find(({peer}) => peer === to);
		if (controlPeer) {
			this.#stepControl(controlPeer, {type: 'peerMessage', now, from, message});
		} else {
			this.proxies.get(to)?.handleMessage(now, message);
		}
	}

	#stepControl(
		controlPeer: SimulatedControlPeer,
		event: control.ControlEvent,
	): void {
		for (const effect of controlPeer.reducer?.step(event) ?? []) {
			this.#handleEffect(controlPeer, effect);
		}
	}

	#handleEffect(
		controlPeer: SimulatedControlPeer,
		effect: control.ControlEffect,
	): void {
		if (effect.type === 'sendPeer') {
			this.#send(controlPeer.peer, effect.to, effect.message);
		}

		if (effect.type === 'write') {
			controlPeer.disk.write(
				this.now,
				effect.write,
				structuredClone(effect.data),
			);
		}

		if (effect.type === 'callServer') {
			this.#callServer(controlPeer, effect);
		}

		if (effect.type === 'answerTemplateChange') {
			const change = this.#changes.get(effect.operation);
			if (change) {
				this.answers.push({change, result: effect.result});
			}
		}
	}

	#send(from: ids.PeerId, to: ids.PeerId, message: messages.PeerMessage): void {
		this.network.send(this.now, from, to, structuredClone(message));
	}

	#callServer(
		controlPeer: SimulatedControlPeer,
		effect: Extract<control.ControlEffect, {type: 'callServer'}>,
	): void {
		const {incarnation} = controlPeer;
		const scheduleAnswer = (delayMs: number, answer: control.ServerAnswer) => {
			this.schedule(delayMs, () => {
				if (controlPeer.incarnation === incarnation) {
					this.#stepControl(controlPeer, {
						type: 'serverAnswered',
						now: this.readClock(controlPeer.peer),
						call: effect.call,
						answer,
					});
				}
			});
		};

		const {minDelayMs, maxDelayMs} = this.network.faults;
		const delayMs = minDelayMs + this.random() * (maxDelayMs - minDelayMs);
		this.schedule(delayMs, () => {
			const server = this.#findServer(controlPeer.peer, effect.server);
			const handleAnswer = (answer?: control.ServerAnswer) => {
				if (!answer || this.random() < this.callLossRate) {
					scheduleAnswer(callTimeoutMs, {type: 'failed', message: 'timeout'});
				} else {
					scheduleAnswer(delayMs, answer);
				}
			};

			if (server instanceof selfAcknowledging.SelfAcknowledgingServer) {
				this.selfAcknowledging?.call(server, effect.request, handleAnswer);
			} else {
				handleAnswer(server?.run(effect.request));
			}
		});
	}

	/** True when the caller of a write at this offset may be told that it is kept. */
	#canAcknowledge(
		server: fakeServers.FakeServer,
		offset: number,
		group: types.GroupView,
	): boolean {
		if (this.selfAcknowledging) {
			return this.selfAcknowledging.isAcknowledged(server, offset);
		}

		const holders = group.servers.filter(
			(id) => id === server.server || (server.replicas.get(id) ?? 0) >= offset,
		);
		return holders.length > group.servers.length / 2;
	}

	#findServer(
		peer: ids.PeerId,
		server: ids.UpstreamId,
	): fakeServers.FakeServer | undefined {
		const found = this.servers.find((candidate) => candidate.server === server);
		return found?.isRunning && !this.cutLinks.has(`${peer} ${server}`)
			? found
			: undefined;
	}

	#replicate(): void {
		if (this.selfAcknowledging) {
			this.selfAcknowledging.replicate(replicationBatchRecords);
			return;
		}

		for (const replica of this.servers) {
			const primary = this.servers.find(
				({server}) => server === replica.upstream,
			);
			const isDisconnected =
				!primary ||
				this.cutLinks.has(`${replica.server} ${primary.server}`) ||
				this.cutLinks.has(`${primary.server} ${replica.server}`);
			if (!isDisconnected && primary.isRunning && replica.isRunning) {
				replica.replicateFrom(primary, replicationBatchRecords);
			}
		}
	}
}
