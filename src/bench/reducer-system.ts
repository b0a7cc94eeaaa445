/**
 * The measured proxies: one production `ProxyReducer` per entry VM, connected by emulated links to
 * each other, to the emulated servers and to a control stub.
 */
import {assertNever} from '../common/assert-never.js';
import {HedgeDelayEstimator} from '../common/policy/hedge-delay.js';
import {LeastWaitRoutingPolicy} from '../common/policy/routing.js';
import {ServerAdmissionScheduler} from '../common/policy/admission.js';
import {SuccessRetryBudget} from '../common/policy/retry-budget.js';
import type * as ids from '../common/ids.js';
import type * as messages from '../common/messages.js';
import * as proxyReducer from '../common/proxy/reducer.js';
import type * as proxy from '../common/proxy/types.js';
import {createRandom} from '../common/random.js';
import type * as types from '../common/types.js';
import {ControlStub} from './control-stub.js';
import type {ExecutionResult, EmulatedServer} from './database.js';
import {getLatency, type Deployment} from './deployment.js';
import {EmulatedUpstream} from './emulated-upstream.js';
import type {Simulation} from './simulation.js';
import type {
	BenchOutcome,
	BenchRequest,
	BenchSession,
	BenchSystem,
} from './types.js';

const tickIntervalMs = 10;

/** Idle timeout of the links between proxies. */
const linkIdleTimeoutMs = 1000;

/** The term of all groups; it stays the same because runs have no failovers. */
const groupTerm = 1;

const controlPeer = 'control-1' as ids.PeerId;

type PendingRequest = {
	readonly benchRequest: BenchRequest;
	readonly done: (outcome: BenchOutcome) => void;
};

/** One entry VM. */
type ProxyNode = {
	readonly vm: number;
	readonly peer: ids.PeerId;
	readonly dataCentre: number;
	readonly reducer: proxyReducer.ProxyReducer;
	readonly upstream: EmulatedUpstream;
	readonly links: Set<ids.PeerId>;
	readonly sessions: Map<
		BenchSession,
		{readonly id: ids.SessionId; readonly reconnects: number}
	>;
	readonly pending: Map<ids.RequestId, PendingRequest>;
	/** Results of this entry's attempts, kept until their request ends. */
	readonly results: Map<
		ids.AttemptId,
		ExecutionResult & {role: types.UpstreamRole}
	>;
	nextId: number;
	isRemoved: boolean;
};

/** The production reducers in virtual time. */
export class ReducerSystem implements BenchSystem {
	readonly #simulation: Simulation;
	readonly #deployment: Deployment;
	readonly #servers: readonly EmulatedServer[][];
	readonly #nodes = new Map<ids.PeerId, ProxyNode>();
	readonly #control: ControlStub;
	/** Running requests by the `frames` of their payload, by which the emulated upstream finds them. */
	readonly #requestsByFrames = new WeakMap<Uint8Array, BenchRequest>();

	constructor(options: {
		readonly simulation: Simulation;
		readonly deployment: Deployment;
		readonly servers: readonly EmulatedServer[][];
		readonly parameters: types.TemplateParameters;
		readonly seed: number;
	}) {
		this.#simulation = options.simulation;
		this.#deployment = options.deployment;
		this.#servers = options.servers;
		this.#control = this.#createControl(options.seed);
		for (const [vm, dataCentre] of options.deployment.vms.entries()) {
			const node = this.#createNode(
				vm,
				dataCentre,
				options.parameters,
				options.seed,
			);
			this.#nodes.set(node.peer, node);
		}

		this.#start();
	}

	submit(request: BenchRequest, done: (outcome: BenchOutcome) => void): void {
		const {session} = request;
		const node = this.#getNode(session.vm);
		if (node.isRemoved) {
			return;
		}

		const id = node.nextId++ as ids.RequestId;
		const sessionId = this.#openSession(node, session);
		const frames = new Uint8Array(0);
		this.#requestsByFrames.set(frames, request);
		node.pending.set(id, {benchRequest: request, done});
		this.#step(node, {
			type: 'requestArrived',
			now: this.#simulation.now,
			session: sessionId,
			request: id,
			kind: request.kind,
			attributes: {
				rank: request.rank,
				stalenessMs: request.stalenessMs,
				deadlineMs: request.deadlineAt - this.#simulation.now,
			},
			payload: {frames},
		});
	}

	removeVm(vm: number): void {
		const removed = this.#getNode(vm);
		removed.isRemoved = true;
		this.#simulation.schedule(linkIdleTimeoutMs, () => {
			for (const node of this.#nodes.values()) {
				if (node.links.delete(removed.peer)) {
					this.#step(node, {
						type: 'peerLinkChanged',
						now: this.#simulation.now,
						peer: removed.peer,
						up: false,
					});
				}
			}
		});
	}

	#start(): void {
		const {now} = this.#simulation;
		for (const node of this.#nodes.values()) {
			this.#handleEffects(node, node.reducer.start(now));
			this.#simulation.scheduleEvery(tickIntervalMs, () => {
				this.#step(node, {type: 'tick', now: this.#simulation.now});
				return !node.isRemoved;
			});
		}

		this.#simulation.scheduleEvery(tickIntervalMs, () => {
			this.#control.handleTick(this.#simulation.now);
			return true;
		});
		this.#simulation.scheduleEvery(1000, () => {
			this.#sendAnnouncements();
			return true;
		});
	}

	#getNode(vm: number): ProxyNode {
		return this.#nodes.get(makePeerId(vm))!;
	}

	#makeServerId(groupIndex: number, dataCentre: number): ids.UpstreamId {
		return `${this.#deployment.groups[groupIndex]}-${dataCentre}` as ids.UpstreamId;
	}

	#createControl(seed: number): ControlStub {
		const deployment = this.#deployment;
		const servers = this.#servers.flatMap((group, groupIndex) =>
			group.map((server) => ({
				server: this.#makeServerId(groupIndex, server.dataCentre),
				dataCentre: deployment.dataCentres[server.dataCentre],
				writeTerm: server.role === 'primary' ? groupTerm : undefined,
			})),
		);
		const groups = this.#servers.map((group, groupIndex) => ({
			group: deployment.groups[groupIndex],
			term: groupTerm,
			termStart: 0,
			primary: this.#makeServerId(
				groupIndex,
				group.find(({role}) => role === 'primary')!.dataCentre,
			),
			servers: group.map(({dataCentre}) =>
				this.#makeServerId(groupIndex, dataCentre),
			),
			promoting: false,
		}));
		return new ControlStub(
			{
				peer: controlPeer,
				address: controlPeer,
				dataCentre: deployment.dataCentres[0],
			},
			createRandom(seed),
			{
				servers,
				groups,
				templates: deployment.members.map((member) => ({
					member,
					version: 1,
					text: member,
					changeId: 'initial' as ids.ChangeId,
				})),
				send: (to, message) => {
					this.#sendMessage(controlPeer, 0, to, message);
					return true;
				},
			},
		);
	}

	#createNode(
		vm: number,
		dataCentre: number,
		parameters: types.TemplateParameters,
		seed: number,
	): ProxyNode {
		const simulation = this.#simulation;
		const hedge = new HedgeDelayEstimator();
		const peer = makePeerId(vm);
		const reducer: proxyReducer.ProxyReducer = new proxyReducer.ProxyReducer(
			{
				peer,
				vm: `vm-${vm}` as ids.VmId,
				address: peer,
				dataCentre: this.#deployment.dataCentres[dataCentre],
				incarnation: 1,
				controlPeers: [{peer: controlPeer, address: controlPeer}],
				drainDeadlineMs: 30_000,
				maxSessions: Infinity,
			},
			{
				routing: new LeastWaitRoutingPolicy(),
				retryBudget: new SuccessRetryBudget(),
				hedging: hedge,
				createScheduler: (slots) =>
					new ServerAdmissionScheduler({
						slots,
						getParameters: (member) => reducer.templates.getParameters(member),
						getCustomerWeight: (customer) =>
							reducer.templates.getCustomerWeight(customer),
					}),
				parseTemplate: () => parameters,
			},
			createRandom(seed + vm + 1),
		);
		const node: ProxyNode = {
			vm,
			peer,
			dataCentre,
			reducer,
			upstream: new EmulatedUpstream({
				simulation,
				deployment: this.#deployment,
				dataCentre,
				groupTerm,
				findServer: (id) => this.#findServer(id),
				findRequest: (frames) => this.#requestsByFrames.get(frames)!,
				dispatch: (event) => {
					this.#step(node, event);
				},
				recordResult: (entry, attempt, result) => {
					(entry === undefined ? node : this.#nodes.get(entry)!).results.set(
						attempt,
						result,
					);
				},
			}),
			links: new Set(),
			sessions: new Map(),
			pending: new Map(),
			results: new Map(),
			nextId: 1,
			isRemoved: false,
		};
		return node;
	}

	#findServer(id: ids.UpstreamId): {
		server: EmulatedServer;
		replicas: Array<{server: ids.UpstreamId; dataCentre: number}>;
	} {
		const separator = id.lastIndexOf('-');
		const groupIndex = this.#deployment.groups.indexOf(
			id.slice(0, separator) as ids.GroupId,
		);
		const group = this.#servers[groupIndex];
		return {
			server: group[Number(id.slice(separator + 1))],
			replicas: group
				.filter(({role}) => role === 'replica')
				.map(({dataCentre}) => ({
					server: this.#makeServerId(groupIndex, dataCentre),
					dataCentre,
				})),
		};
	}

	#openSession(node: ProxyNode, session: BenchSession): ids.SessionId {
		const existing = node.sessions.get(session);
		if (existing?.reconnects === session.reconnects) {
			return existing.id;
		}

		const {now} = this.#simulation;
		if (existing) {
			this.#step(node, {type: 'sessionClosed', now, session: existing.id});
		}

		const id = node.nextId++ as ids.SessionId;
		node.sessions.set(session, {id, reconnects: session.reconnects});
		this.#step(node, {
			type: 'sessionOpened',
			now,
			session: id,
			attributes: {
				member: session.member,
				group: this.#deployment.groups[session.groupIndex],
				...(session.floor > 0 && {
					token: {term: groupTerm, offset: session.floor},
				}),
			},
		});
		return id;
	}

	#sendAnnouncements(): void {
		for (const [groupIndex, group] of this.#servers.entries()) {
			for (const server of group) {
				const node = [...this.#nodes.values()].find(
					({isRemoved}) => !isRemoved,
				)!;
				this.#step(node, {
					type: 'announcementReceived',
					now: this.#simulation.now,
					wallClock: this.#simulation.now,
					announcement: {
						group: this.#deployment.groups[groupIndex],
						server: this.#makeServerId(groupIndex, server.dataCentre),
						address: '127.0.0.1:5432',
						dataCentre: this.#deployment.dataCentres[server.dataCentre],
						role: server.role,
						term: groupTerm,
						position: server.log.offset,
						slots: this.#deployment.slots,
						connectionLimit: this.#deployment.connectionLimit,
						departing: false,
						startedAt: 1,
					},
				});
			}
		}
	}

	#step(node: ProxyNode, event: proxy.ProxyEvent): void {
		if (!node.isRemoved) {
			this.#handleEffects(node, node.reducer.step(event));
		}
	}

	#handleEffects(node: ProxyNode, effects: readonly proxy.ProxyEffect[]): void {
		for (const effect of effects) {
			switch (effect.type) {
				case 'finishRequest': {
					const result = node.results.get(effect.attempt)!;
					node.results.delete(effect.attempt);
					this.#finish(node, effect.request, {
						type: 'completed',
						servedBy: result.role,
						offset: result.offset,
						stalenessMs: result.stalenessMs,
					});

					break;
				}

				case 'refuseRequest': {
					this.#finish(node, effect.request, {
						type: 'refused',
						sqlState: effect.sqlState,
					});

					break;
				}

				case 'sendPeer': {
					const {to, message} = effect;
					this.#sendMessage(node.peer, node.dataCentre, to, message);

					break;
				}

				case 'connectPeer': {
					this.#connect(node, effect.peer);

					break;
				}

				case 'openConnection':
				case 'closeConnection':
				case 'resetConnection':
				case 'execute':
				case 'poll': {
					node.upstream.handle(effect);
					break;
				}

				case 'startAttempt':
				case 'closeSession':
				case 'cancelExecution':
				case 'stopPolling':
				case 'disconnectPeer':
				case 'watchPeer':
				case 'transactionLost':
				case 'answerTemplateChange':
				case 'setHealth':
				case 'recordRequest':
				case 'countEvent':
				case 'countCustomer':
				case 'log':
				case 'drained': {
					// Callers of a closed session time out by themselves; the other effects change no outcome.
					break;
				}

				default: {
					assertNever(effect);
				}
			}
		}
	}

	#finish(node: ProxyNode, id: ids.RequestId, outcome: BenchOutcome): void {
		node.pending.get(id)?.done(outcome);
		node.pending.delete(id);
	}

	#connect(node: ProxyNode, peer: ids.PeerId): void {
		if (node.links.has(peer) || this.#nodes.get(peer)?.isRemoved) {
			return;
		}

		node.links.add(peer);
		const latencyMs = this.#getPeerLatency(node.dataCentre, peer);
		this.#simulation.schedule(2 * latencyMs, () => {
			this.#step(node, {
				type: 'peerLinkChanged',
				now: this.#simulation.now,
				peer,
				up: true,
			});
		});
	}

	#getPeerLatency(from: number, peer: ids.PeerId): number {
		return getLatency(
			this.#deployment,
			from,
			this.#nodes.get(peer)?.dataCentre ?? 0,
		);
	}

	#sendMessage(
		from: ids.PeerId,
		fromDataCentre: number,
		to: ids.PeerId,
		message: messages.PeerMessage,
	): void {
		const latencyMs = this.#getPeerLatency(fromDataCentre, to);
		this.#simulation.schedule(latencyMs, () => {
			const {now} = this.#simulation;
			const node = this.#nodes.get(to);
			if (node) {
				this.#step(node, {type: 'peerMessage', now, from, message});
			} else if (!this.#nodes.get(from)?.isRemoved) {
				this.#control.handleMessage(from, message, now);
			}
		});
	}
}

function makePeerId(vm: number): ids.PeerId {
	return `proxy-${vm}` as ids.PeerId;
}
