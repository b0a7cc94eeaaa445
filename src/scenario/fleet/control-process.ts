/**
 * Runs a control reducer as a process of the simulated fleet, with a disk that survives restarts
 * and with calls to the fake servers.
 */
import * as consensus from '../../common/consensus/consensus.js';
import * as fakeNetwork from '../../common/consensus/fake-network.js';
import * as calls from '../../common/control/calls.js';
import * as controlPeer from '../../common/control/peer.js';
import type * as control from '../../common/control/types.js';
import type * as ids from '../../common/ids.js';
import type * as messages from '../../common/messages.js';
import * as random from '../../common/random.js';
import type * as types from '../../common/types.js';
import * as gatedEffects from '../order/gated-effects.js';
import type * as order from '../order/types.js';
import * as fakeProcess from './fake-process.js';
import type * as fakeServer from './fake-server.js';
import * as selfAcknowledging from './self-acknowledging-server.js';
import type * as links from './links.js';
import type * as timeline from './timeline.js';

const tickIntervalMs = 25;
const callDelayMs = 2;
/** Longest time that a write takes, in ms. */
const normalWriteMs = 2;
/** The same on a slow disk. */
const slowWriteMs = 700;
/** Delay after which a process that has ended by itself starts again, in ms. */
const restartDelayMs = 1000;

type CallEffect = Extract<control.ControlEffect, {type: 'callServer'}>;

export type ControlProcessOptions = {
	readonly peer: ids.PeerId;
	readonly dataCentre: ids.DataCentre;
	/** The control peers that the settings name at the first start. */
	readonly controlPeers: readonly ids.PeerId[];
	readonly seed: number;
	readonly wantedVoters?: number;
	readonly rateLimits?: control.RateLimitOptions;
	readonly packing?: types.TextPacking;
	/** False for a process that joins a group which has started before. */
	readonly mayBootstrap?: boolean;
	/** Sends calls also when the process no longer leads; only to show that the checks detect it. */
	readonly ignoresEndOfLeadership?: boolean;
	/** Waits for all control peers at the first start; only to show that the checks detect it. */
	readonly needsAllAtFirstStart?: boolean;
	/** Ends when the disk refuses a write; only to show that the checks detect it. */
	readonly endsOnFullDisk?: boolean;
	/** Lets the effects of the process happen; without it they happen at once. */
	readonly gate?: order.StepGate | undefined;
};

/** A promotion that a process requested from the servers or their platform. */
export type PromotionRequest = {
	readonly at: number;
	readonly server: ids.UpstreamId;
	readonly leaderTerm: number;
};

export class ControlProcess
	extends fakeProcess.FakeProcess
	implements links.LinkedProcess
{
	readonly peer: ids.PeerId;
	readonly logs: string[] = [];
	readonly promotionRequests: PromotionRequest[] = [];
	/** How often the process has ended although nothing killed it. */
	ownExits = 0;
	/** The control peers that the settings name at the next start. */
	controlPeers: readonly ids.PeerId[];
	/** Like the platform's setting: true only at the first start of the whole system. */
	private mayBootstrap: boolean;
	private readonly disk: fakeNetwork.FakeDisk<control.ControlCommand>;
	private readonly random: random.RandomSource;
	private reducer: controlPeer.ControlPeer | undefined;
	private consensus: consensus.Consensus<control.ControlCommand> | undefined;
	/** Counts kills and restarts, so that answers to an earlier instance are discarded. */
	private generation = 0;
	private nextOperation = 1;
	/** Calls whose connection is not open yet. */
	private readonly openingCalls = new Set<CallEffect>();
	private readonly pendingChanges = new Map<
		number,
		(result: types.TemplateChangeResult) => void
	>();

	constructor(
		private readonly options: ControlProcessOptions,
		private readonly timeline: timeline.Timeline,
		private readonly links: links.Links,
		private readonly servers: ReadonlyMap<string, fakeServer.FakeServer>,
		/** Called after a server was promoted. */
		private readonly handlePromotion: (server: ids.UpstreamId) => void,
	) {
		super();
		this.peer = options.peer;
		this.controlPeers = options.controlPeers;
		this.mayBootstrap = options.mayBootstrap ?? true;
		this.random = random.createRandom(options.seed);
		this.disk = new fakeNetwork.FakeDisk(() => this.random.readFloat());
		this.start();
		timeline.scheduleEvery(1, () => {
			this.syncDisk();
		});
		timeline.scheduleEvery(tickIntervalMs, () => {
			if (this.condition === 'up') {
				this.step({
					type: 'tick',
					now: timeline.now,
					random: this.random.readFloat(),
				});
			}
		});
	}

	get instance(): number {
		return this.generation;
	}

	get isLeader(): boolean {
		return (
			this.condition === 'up' &&
			this.consensus!.isLeaderLeaseValid(this.timeline.now)
		);
	}

	/** True between the decision on a promotion and the time at which its request can be sent. */
	get isOpeningPromotion(): boolean {
		return [...this.openingCalls].some(
			({request}) => request.type === 'promote',
		);
	}

	get machine(): controlPeer.ControlPeer['control']['machine'] {
		return this.reducer!.control.machine;
	}

	handleMessage(from: ids.PeerId, message: messages.PeerMessage): void {
		this.receive(() => {
			this.step({type: 'peerMessage', now: this.timeline.now, from, message});
		});
	}

	handleLinkChange(peer: ids.PeerId, up: boolean): void {
		this.receive(() => {
			this.step({type: 'peerLinkChanged', now: this.timeline.now, peer, up});
		});
	}

	/** Lets the disk refuse or delay writes for some time. */
	disturbDisk(kind: 'fill' | 'slow', forMs: number): void {
		const {disk} = this;
		if (kind === 'fill') {
			disk.isFull = true;
			this.timeline.schedule(forMs, () => {
				disk.isFull = false;
			});
		} else {
			disk.maxDelayMs = slowWriteMs;
			this.timeline.schedule(forMs, () => {
				disk.maxDelayMs = normalWriteMs;
			});
		}
	}

	override kill(): void {
		super.kill();
		this.generation++;
		this.disk.crash();
		this.links.handleProcessExit(this.peer);
		for (const answer of this.pendingChanges.values()) {
			answer({type: 'unavailable', mayHaveRun: true});
		}

		this.pendingChanges.clear();
		this.openingCalls.clear();
	}

	/** Starts a new instance of the process, with an empty disk when `isDiskLost`. */
	override restart(isDiskLost = false): void {
		if (isDiskLost) {
			this.disk.clear();
		}

		super.restart();
		this.generation++;
		this.mayBootstrap = false;
		this.start();
	}

	requestChange(
		change: types.OperatorChange,
		callback: (result: types.TemplateChangeResult) => void,
	): void {
		const operation = this.nextOperation++;
		this.pendingChanges.set(operation, callback);
		this.receive(() => {
			this.step({
				type: 'templateChangeRequested',
				now: this.timeline.now,
				operation,
				change,
			});
		});
	}

	private start(): void {
		const {peer, dataCentre, wantedVoters, rateLimits, packing} = this.options;
		const {controlPeers, mayBootstrap} = this;
		const stored = this.disk.load();
		this.consensus = new consensus.Consensus<control.ControlCommand>({
			peer,
			initialVoters: controlPeers,
			stored:
				!mayBootstrap && stored.hardState.term === 0
					? {...stored, isDataLost: true}
					: stored,
			incarnation: this.generation + 1,
			isFirstStart: mayBootstrap && this.options.needsAllAtFirstStart !== true,
		});
		this.reducer = new controlPeer.ControlPeer({
			peer,
			address: peer,
			dataCentre,
			incarnation: this.generation + 1,
			controlPeers: controlPeers.map((id) => ({peer: id, address: id})),
			log: this.consensus,
			random: this.random,
			...(wantedVoters === undefined ? {} : {wantedVoters}),
			...(rateLimits ? {rateLimits} : {}),
			...(packing ? {packing} : {}),
		});
		this.handleEffects(this.reducer.start(this.timeline.now));
	}

	private step(event: controlPeer.ControlPeerEvent): void {
		this.handleEffects(this.reducer!.step(event));
	}

	private syncDisk(): void {
		if (this.condition !== 'up') {
			return;
		}

		const {now} = this.timeline;
		const space = this.disk.takeSpaceChange();
		if (space === 'exhausted' && this.options.endsOnFullDisk === true) {
			this.crash();
			return;
		}

		if (space !== undefined) {
			this.step({type: 'spaceChanged', now, space});
		}

		for (const write of this.disk.takeSynced(now)) {
			this.step({type: 'written', now, write});
		}
	}

	private crash(): void {
		this.ownExits++;
		this.kill();
		this.timeline.schedule(restartDelayMs, () => {
			if (this.condition === 'dead') {
				this.restart();
			}
		});
	}

	private handleEffects(
		effects: readonly controlPeer.ControlPeerEffect[],
	): void {
		for (const effect of effects) {
			gatedEffects.handleEffect(
				this.options.gate,
				this,
				gatedEffects.describeControlEffect(effect),
				() => {
					this.handleEffect(effect);
				},
			);
		}
	}

	private handleEffect(effect: controlPeer.ControlPeerEffect): void {
		switch (effect.type) {
			case 'sendPeer': {
				this.links.send(this.peer, effect.to, effect.message);
				return;
			}

			case 'write': {
				this.disk.write(this.timeline.now, effect.write, effect.data);
				return;
			}

			case 'callServer': {
				this.callServer(effect);
				return;
			}

			case 'answerTemplateChange': {
				this.pendingChanges.get(effect.operation)?.(effect.result);
				this.pendingChanges.delete(effect.operation);
				return;
			}

			case 'connectPeer': {
				this.links.connect(this.peer, effect.peer);
				return;
			}

			case 'disconnectPeer': {
				this.links.disconnect(this.peer, effect.peer);
				return;
			}

			case 'log': {
				this.logs.push(`${this.timeline.now} ${effect.record.message}`);
				return;
			}

			case 'answerConfigurationRead':
			case 'answerQuery':
			case 'setHealth':
			case 'drained': {
				break;
			}
		}
	}

	/** Sends the call once its connection is open; a frozen process sends it at the thaw. */
	private callServer(effect: CallEffect): void {
		const {generation} = this;
		this.openingCalls.add(effect);
		this.timeline.schedule(callDelayMs, () => {
			if (generation === this.generation) {
				this.receive(() => {
					this.openingCalls.delete(effect);
					this.sendCall(effect);
				});
			}
		});
	}

	private sendCall(effect: CallEffect): void {
		const {generation} = this;
		const {request, leaderTerm} = effect;
		const {now} = this.timeline;
		const server = this.servers.get(effect.server);
		const answer = (result: control.ServerAnswer) => {
			this.timeline.schedule(callDelayMs, () => {
				if (generation === this.generation) {
					this.receive(() => {
						this.step({
							type: 'serverAnswered',
							now: this.timeline.now,
							call: effect.call,
							answer: result,
						});
					});
				}
			});
		};

		if (
			request.type !== 'status' &&
			this.options.ignoresEndOfLeadership !== true &&
			!this.reducer!.control.isLeading(leaderTerm, now)
		) {
			answer(calls.leadershipEnded);
			return;
		}

		if (request.type === 'promote') {
			this.promotionRequests.push({
				at: now,
				server: effect.server,
				leaderTerm,
			});
		}

		if (server instanceof selfAcknowledging.SelfAcknowledgingServer) {
			this.callSelfAcknowledging(server, request, answer);
		} else if (!server || server.isDown) {
			answer({type: 'failed', message: 'connection refused'});
		} else if (server.isFrozen || !server.isReachableFrom(this.peer)) {
			this.timeline.schedule(500, () => {
				answer({type: 'failed', message: 'timeout'});
			});
		} else {
			answer(this.runServerRequest(server, request));
		}
	}

	/** A promotion goes to the platform of the servers, which control always reaches. */
	private callSelfAcknowledging(
		server: selfAcknowledging.SelfAcknowledgingServer,
		request: control.ServerRequest,
		answer: (answer: control.ServerAnswer) => void,
	): void {
		if (
			request.type === 'promote' &&
			!server.requestPromotion(this.handlePromotion)
		) {
			answer(selfAcknowledging.refusedPromotion);
			return;
		}

		server.runCall(request, () => server.isReachableFrom(this.peer), answer);
	}

	private runServerRequest(
		server: fakeServer.FakeServer,
		request: control.ServerRequest,
	): control.ServerAnswer {
		switch (request.type) {
			case 'status': {
				return {type: 'answered', status: server.readStatus()};
			}

			case 'fence': {
				return server.setFence(request.term)
					? {type: 'answered', status: server.readStatus()}
					: {
							type: 'failed',
							sqlState: 'HK101',
							message: 'server has a higher term',
						};
			}

			case 'promote': {
				if (!server.promote(request.term)) {
					return {
						type: 'failed',
						sqlState: 'HK101',
						message: 'not fenced for this term',
					};
				}

				this.handlePromotion(server.id);
				return {type: 'answered', status: server.readStatus()};
			}

			case 'follow': {
				const source = this.servers.get(request.server);
				return source && server.follow(request.term, source)
					? {type: 'answered', status: server.readStatus()}
					: {
							type: 'failed',
							sqlState: 'HK101',
							message: 'server has a higher term',
						};
			}
		}
	}
}
