/**
 * A proxy process: one proxy reducer with its adapters. The adapters for callers, servers and HTTP
 * clients are injected, so that the process does not depend on their protocols.
 */
import * as admission from '../common/policy/admission.js';
import * as hedgeDelay from '../common/policy/hedge-delay.js';
import type * as policy from '../common/policy/types.js';
import * as retryBudget from '../common/policy/retry-budget.js';
import * as routing from '../common/policy/routing.js';
import type * as ids from '../common/ids.js';
import type * as context from '../common/proxy/context.js';
import type * as proxy from '../common/proxy/types.js';
import * as metrics from '../common/metrics/metrics.js';
import * as proxyReducer from '../common/proxy/reducer.js';
import * as random from '../common/random.js';
import * as template from '../common/template/parse.js';
import type * as types from '../common/types.js';
import type * as callerAdapter from '../node/caller/caller-adapter.js';
import * as bodies from '../node/http/bodies.js';
import type * as http from '../node/http/types.js';
import * as resourceGuard from '../node/limits/resource-guard.js';
import * as peerLinks from '../node/peer/peer-links.js';
import type * as peerTypes from '../node/peer/types.js';
import type * as settings from '../node/settings/types.js';
import * as textPacking from '../node/text-packing.js';
import type * as node from '../node/types.js';
import type * as daemon from './types.js';
import * as clock from './clock.js';
import * as deferred from './deferred.js';
import * as proxyDriver from './proxy-driver.js';

const gaugeIntervalMs = 1000;

/** The parts of the process that its adapters use. */
export type AdapterContext = {
	readonly dispatch: node.Dispatch<proxy.ProxyEvent>;
	readonly reducer: proxyReducer.ProxyReducer;
	readonly logger: node.Logger;
	/** Unique to this run of the process. */
	readonly instanceId: string;
	readonly guard: resourceGuard.ResourceGuard;
	/** Adds to a counter of the metrics. */
	readonly countEvent: (name: proxy.CounterName, amount: number) => void;
};

/** The upstream adapter with its flow control. */
export type FlowControlledUpstreamAdapter = node.UpstreamAdapter & {
	resumeAttempt(attempt: ids.AttemptId): void;
	resumePeer(peer: ids.PeerId): void;
};

/** Factories of the adapters, and differences from the defaults. */
export type ProxyDaemonOptions = {
	/** Overrides values that come from the settings. */
	readonly config?: Partial<context.ProxyConfig>;
	readonly services?: Partial<proxyReducer.ProxyServices>;
	readonly admission?: Pick<policy.AdmissionOptions, 'usableDeadlineShare'>;
	readonly linkLimits?: Partial<peerTypes.LinkLimits>;
	createCallers(
		context: AdapterContext,
		handleDrain: (attempt: ids.AttemptId) => void,
	): callerAdapter.CallerAdapter;
	createUpstreams(
		context: AdapterContext,
		relay: {
			toSession(attempt: ids.AttemptId, data: Uint8Array): boolean;
			toPeer(
				peer: ids.PeerId,
				attempt: ids.AttemptId,
				data: Uint8Array,
			): boolean;
		},
	): FlowControlledUpstreamAdapter;
	createHttp(
		endpoints: http.DaemonEndpoints,
		guard: resourceGuard.ResourceGuard,
	): {
		listen(address: string, port: number): Promise<number>;
		dispose(): Promise<void>;
	};
};

/** A running proxy process. */
export class ProxyDaemon {
	readonly metrics = new metrics.Metrics();
	readonly reducer: proxyReducer.ProxyReducer;
	readonly guard: resourceGuard.ResourceGuard;
	/** Resolves when draining is complete. */
	readonly drained: Promise<undefined>;
	private readonly driver: proxyDriver.ProxyDriver;
	private readonly http: ReturnType<ProxyDaemonOptions['createHttp']>;
	private readonly callers: callerAdapter.CallerAdapter;
	private readonly upstreams: FlowControlledUpstreamAdapter;
	private readonly peers: peerLinks.FlowControlledPeerLinks;
	private readonly finishDrain: () => void;
	private gaugeTimer: NodeJS.Timeout | undefined;

	/** @param incarnation - Higher for each start of the process, for example the wall clock in ms. */
	constructor(
		private readonly settings: settings.Settings,
		private readonly logger: node.Logger,
		incarnation: number,
		private readonly options: ProxyDaemonOptions,
	) {
		const drained = deferred.createDeferred<undefined>();
		this.drained = drained.promise;
		this.finishDrain = () => {
			drained.resolve(undefined);
		};

		this.guard = new resourceGuard.ResourceGuard({
			memoryBytes: settings.limits.memoryBytes ?? resourceGuard.readHeapLimit(),
			clock: clock.systemClock,
			logger,
			countLimit: (limit) => {
				this.metrics.countEvent(`limit${limit}`);
			},
		});
		this.reducer = this.createReducer(incarnation);
		this.driver = new proxyDriver.ProxyDriver(this.reducer, () => {
			this.finishDrain();
		});
		this.peers = this.createPeerLinks(incarnation);
		const adapterContext: AdapterContext = {
			dispatch: this.driver.dispatch,
			reducer: this.reducer,
			logger,
			instanceId: `${settings.process.id}_${incarnation}`,
			guard: this.guard,
			countEvent: (name, amount) => {
				this.metrics.countEvent(name, amount);
			},
		};
		this.callers = options.createCallers(adapterContext, (attempt) => {
			this.upstreams.resumeAttempt(attempt);
		});
		this.upstreams = options.createUpstreams(adapterContext, {
			toSession: (attempt, data) => this.driver.relay(attempt, data),
			toPeer: (peer, attempt, data) => {
				this.peers.send(peer, {type: 'forwardChunk', attempt, data});
				return !this.peers.isCongested(peer);
			},
		});
		this.http = options.createHttp(this.createEndpoints(), this.guard);
	}

	/** Opens all listeners; rejects with the system's error when one cannot be opened. */
	async start(): Promise<void> {
		const {listen} = this.settings;
		await this.peers.listen(listen.address, listen.peersPort);
		await this.http.listen(listen.address, listen.httpPort);
		this.driver.start({
			callers: this.callers,
			upstreams: this.upstreams,
			peers: this.peers,
			clock: clock.systemClock,
			logger: this.logger,
			metrics: this.metrics,
		});
		this.gaugeTimer = setInterval(() => {
			this.updateGauges();
		}, gaugeIntervalMs);
		await this.callers.listen(listen.address, listen.callersPort ?? 0);
		this.logger.write({
			level: 'info',
			part: 'proxy',
			message: `Listening on ${listen.address}; port for callers: ${listen.callersPort}`,
		});
	}

	/** Starts to drain; `drained` resolves at the end. */
	startDrain(): void {
		this.driver.dispatch({
			type: 'drainRequested',
			now: clock.systemClock.now(),
		});
	}

	/** Applies the control peers of the current settings. */
	setControlPeers(controlPeers: readonly types.PeerAddress[]): void {
		this.driver.dispatch({
			type: 'controlPeersChanged',
			now: clock.systemClock.now(),
			controlPeers,
		});
	}

	/** Closes everything without draining. */
	async dispose(): Promise<void> {
		this.driver.stop();
		clearInterval(this.gaugeTimer);
		await this.http.dispose();
		await this.callers.dispose();
		await this.upstreams.dispose();
		await this.peers.dispose();
	}

	private createReducer(incarnation: number): proxyReducer.ProxyReducer {
		const {process, listen, control, limits} = this.settings;
		const getParameters = (
			member: ids.MemberId,
		): types.TemplateParameters | undefined =>
			this.reducer.templates.getParameters(member);
		return new proxyReducer.ProxyReducer(
			{
				peer: process.id,
				vm: process.vm,
				address: `${listen.address}:${listen.peersPort}`,
				dataCentre: process.dataCentre,
				incarnation,
				controlPeers: control.peers.map(({id, address}) => ({
					peer: id,
					address,
				})),
				drainDeadlineMs: limits.drainDeadlineMs,
				maxSessions: limits.maxConnections,
				...this.options.config,
			},
			{
				routing: new routing.LeastWaitRoutingPolicy(),
				retryBudget: new retryBudget.SuccessRetryBudget(),
				hedging: new hedgeDelay.HedgeDelayEstimator(),
				createScheduler: (slots) =>
					new admission.ServerAdmissionScheduler({
						slots,
						getParameters,
						getCustomerWeight: (customer) =>
							this.reducer.templates.getCustomerWeight(customer),
						...this.options.admission,
					}),
				parseTemplate: (text) =>
					template.parseTemplate(text).unwrapOr(undefined),
				packing: textPacking.zlibPacking,
				...this.options.services,
			},
			random.createRandom(Math.floor(Math.random() * 2 ** 31)),
		);
	}

	private createPeerLinks(
		incarnation: number,
	): peerLinks.FlowControlledPeerLinks {
		return peerLinks.createPeerLinks({
			hello: {
				type: 'hello',
				peer: this.settings.process.id,
				role: 'proxy',
				incarnation,
				protocol: peerLinks.protocolVersion,
				dataCentre: this.settings.process.dataCentre,
				region: this.settings.process.region,
			},
			traffic: this.metrics.traffic,
			listener: {
				handleMessage: this.driver.handlePeerMessage,
				handleLinkChange: (peer, up) => {
					this.driver.dispatch({
						type: 'peerLinkChanged',
						now: clock.systemClock.now(),
						peer,
						up,
					});
				},
				handleUnsentMessage: (peer, message) => {
					this.driver.dispatch({
						type: 'messageUnsent',
						now: clock.systemClock.now(),
						peer,
						message,
					});
				},
				handleDrain: (peer) => {
					this.upstreams.resumePeer(peer);
				},
			},
			clock: clock.systemClock,
			logger: this.logger,
			random: Math.random,
			...(this.options.linkLimits ? {limits: this.options.linkLimits} : {}),
		});
	}

	private createEndpoints(): http.DaemonEndpoints {
		const {templates} = this.reducer;
		return {
			handleAnnouncement: (announcement) => {
				this.driver.dispatch({
					type: 'announcementReceived',
					now: clock.systemClock.now(),
					wallClock: clock.systemClock.readWallClock(),
					announcement,
				});
			},
			metrics: this.metrics,
			readHealth: () => this.driver.health,
			readStatus: () => this.readStatus(),
			startDrain: () => {
				this.startDrain();
			},
			listTemplates: async () => templates.listTemplates(),
			fetchTemplate: async (member) => templates.getTemplate(member),
			async fetchHistory() {
				throw new bodies.HttpError(
					404,
					'notKept',
					'proxies keep only the newest version; ask a control peer',
				);
			},
			requestTemplateChange: async (change) =>
				this.driver.requestTemplateChange(change),
		};
	}

	/** Reports pool use and load as totals, so that the number of series does not grow. */
	private updateGauges(): void {
		const {reducer, metrics} = this;
		const servers = [...reducer.owner.servers.values()];
		const sum = (values: readonly number[]) => {
			let total = 0;
			for (const value of values) {
				total += value;
			}

			return total;
		};

		metrics.setGauge('buffered_bytes', this.guard.usedBytes);
		metrics.setGauge('sessions', reducer.entry.sessions.size);
		metrics.setGauge(
			'configuration_version',
			reducer.templates.configuration?.version ?? 0,
		);
		metrics.setGauge('requests_in_flight', reducer.entry.inFlight);
		metrics.setGauge('owned_servers', servers.length);
		metrics.setGauge(
			'write_leases',
			servers.filter(({writeTerm}) => writeTerm !== undefined).length,
		);
		metrics.setGauge(
			'departing_primaries',
			servers.filter(
				({writeTerm, departureAnnouncedAt}) =>
					writeTerm !== undefined && departureAnnouncedAt !== undefined,
			).length,
		);
		metrics.setGauge(
			'pool_connections',
			sum(servers.map(({connections}) => connections.size)),
		);
		metrics.setGauge(
			'pool_connections_bound',
			sum(servers.map((server) => server.countBoundConnections())),
		);
		metrics.setGauge(
			'slots_in_use',
			sum(servers.map(({runningCount}) => runningCount)),
		);
		metrics.setGauge(
			'requests_queued',
			sum(servers.map(({scheduler}) => scheduler.size)),
		);
	}

	private readStatus(): unknown {
		const {reducer} = this;
		const {process} = this.settings;
		return {
			peer: process.id,
			role: 'proxy',
			vm: process.vm,
			dataCentre: process.dataCentre,
			health: this.driver.health,
			sessions: reducer.entry.sessions.size,
			inFlight: reducer.entry.inFlight,
			leaseRemainingMs: Math.max(
				0,
				reducer.lease.expiresAt - clock.systemClock.now(),
			),
			groups: [...reducer.directory.groups.values()],
			owners: Object.fromEntries(reducer.directory.owners),
			owned: [...reducer.owner.servers.values()].map((server) => ({
				server: server.server,
				writeTerm: server.writeTerm,
				connections: server.connections.size,
				busy: server.runningCount,
				queued: server.scheduler.size,
				status: server.status,
			})),
			peers: reducer.membership.listPeers(),
			memory: this.guard.readStatus(),
		};
	}
}

/** Starts a proxy process; the daemon finishes when the process has drained. */
export async function runProxy(
	proxy: ProxyDaemon,
): Promise<daemon.RunningDaemon> {
	await proxy.start();
	return {
		finished: proxy.drained.then(async () => {
			await proxy.dispose();
			return 0;
		}),
		startDrain() {
			proxy.startDrain();
		},
		setControlPeers(controlPeers) {
			proxy.setControlPeers(controlPeers);
		},
	};
}
