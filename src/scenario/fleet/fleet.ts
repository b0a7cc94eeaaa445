/**
 * A complete deployment in virtual time: control peers and proxies with the production reducers,
 * one group of three fake servers, and a record of the promotions.
 */
import type * as control from '../../common/control/types.js';
import type * as ids from '../../common/ids.js';
import * as policyTesting from '../../common/policy/testing.js';
import type * as reducer from '../../common/proxy/reducer.js';
import type * as templateStore from '../../common/proxy/template-store.js';
import type * as types from '../../common/types.js';
import type * as order from '../order/types.js';
import * as controlProcess from './control-process.js';
import * as fakeServer from './fake-server.js';
import type * as fleetTypes from './fleet-types.js';
import * as links from './links.js';
import * as proxyProcess from './proxy-process.js';
import * as selfAcknowledging from './self-acknowledging-server.js';
import * as smallFleet from './small-fleet.js';
import * as timeline from './timeline.js';

const announcementIntervalMs = 1000;
const localDelayMs = 0.5;
const remoteDelayMs = 2;
const dataCentreCount = 3;

export type FleetOptions = {
	readonly proxies: number;
	readonly controls: number;
	readonly seed: number;
	readonly parameters?: types.TemplateParameters;
	/** How the configuration is packed on its way; without it, its text is sent as it is. */
	readonly packing?: types.TextPacking;
	/** Without it, messages take a delay but no time to transmit. */
	readonly createLinks?: (timeline: timeline.Timeline) => links.Links;
	readonly rateLimits?: control.RateLimitOptions;
	/** Set when the servers acknowledge commits themselves; without it, they have fences. */
	readonly synchronousReplicas?: number;
	/** See `ControlProcessOptions`. */
	readonly ignoresEndOfLeadership?: boolean;
	/** See `ControlProcessOptions`. */
	readonly needsAllAtFirstStart?: boolean;
	/** See `ControlProcessOptions`. */
	readonly endsOnFullDisk?: boolean;
	/** The number that servers announce; `synchronousReplicas` by default. */
	readonly announcedSynchronousReplicas?: number;
	/** Creates the gate of the effects of all processes. */
	readonly createGate?: (timeline: timeline.Timeline) => order.StepGate;
	/** Without it, every template sets the parameters. */
	readonly parseTemplate?: templateStore.TemplateParser;
	/** Creates the parser of an instance of a proxy; without it, proxies take no configuration. */
	readonly createConfigurationParser?: (
		incarnation: number,
	) => templateStore.ConfigurationParser;
	/** Wraps the reducer of each instance of a proxy. */
	readonly wrapReducer?: (inner: reducer.ProxyReducer) => reducer.ProxyReducer;
};

export class Fleet implements fleetTypes.ScenarioFleet {
	readonly timeline = new timeline.Timeline();
	readonly links: links.Links;
	readonly servers: ReadonlyMap<string, fakeServer.FakeServer>;
	readonly proxies = new Map<string, proxyProcess.ProxyProcess>();
	readonly controls = new Map<string, controlProcess.ControlProcess>();
	readonly promotions: fleetTypes.PromotionRecord[] = [];
	readonly group = 'ledger' as ids.GroupId;
	readonly member = 'm' as ids.MemberId;
	private readonly gate: order.StepGate | undefined;

	constructor(private readonly options: FleetOptions) {
		this.links =
			options.createLinks?.(this.timeline) ??
			new links.Links(this.timeline, (from, to) =>
				from.at(-1) === to.at(-1) ? localDelayMs : remoteDelayMs,
			);
		this.gate = options.createGate?.(this.timeline);
		this.servers = this.createServers();
		const controlPeers = Array.from(
			{length: options.controls},
			(_, index) => `c${index + 1}` as ids.PeerId,
		);
		for (const [index, peer] of controlPeers.entries()) {
			this.addControl(peer, index + 1, controlPeers);
		}

		for (let index = 1; index <= options.proxies; index++) {
			this.addProxy(index, controlPeers);
		}

		this.timeline.scheduleEvery(announcementIntervalMs, () => {
			this.announceAll();
		});
		this.announceAll();
	}

	/** Stores a template and runs until all servers have an owner and the primary a write lease. */
	startUp(): void {
		this.timeline.runUntil(3000);
		this.changeTemplate('c1', 0, 'first', () => undefined);
		this.timeline.runUntil(8000);
	}

	getServer(name: string): fakeServer.FakeServer | undefined {
		return this.servers.get(name);
	}

	/** The server that is primary in the highest term. */
	findPrimary(): fakeServer.FakeServer | undefined {
		return [...this.servers.values()]
			.filter(({role}) => role === 'primary')
			.sort((left, right) => right.term - left.term)[0];
	}

	changeTemplate(
		control: string,
		expectedVersion: number,
		changeId: string,
		callback: (result: types.TemplateChangeResult) => void,
	): void {
		this.controls.get(control)!.requestChange(
			{
				member: this.member,
				text: `[member]\nmax_sessions = ${1000 + expectedVersion}\n`,
				expectedVersion,
				changeId: changeId as ids.ChangeId,
			},
			callback,
		);
	}

	/** Starts a server again, with its log and role, and announces all running servers. */
	restartServer(server: fakeServer.FakeServer): void {
		server.restart();
		this.announceAll();
	}

	private createServers(): ReadonlyMap<string, fakeServer.FakeServer> {
		const {synchronousReplicas} = this.options;
		if (synchronousReplicas === undefined) {
			return fakeServer.createGroup(
				(id, dataCentre) =>
					new fakeServer.FakeServer(id, this.group, dataCentre, this.timeline),
			);
		}

		const servers = fakeServer.createGroup(
			(id, dataCentre) =>
				new selfAcknowledging.SelfAcknowledgingServer(
					id,
					this.group,
					dataCentre,
					this.timeline,
					synchronousReplicas,
				),
		);
		for (const server of servers.values()) {
			server.peers = [...servers.values()];
			server.announcedSynchronousReplicas =
				this.options.announcedSynchronousReplicas ?? synchronousReplicas;
		}

		return servers;
	}

	private addControl(
		peer: ids.PeerId,
		index: number,
		controlPeers: readonly ids.PeerId[],
	): void {
		const process = new controlProcess.ControlProcess(
			{
				peer,
				dataCentre: `dc${index}` as ids.DataCentre,
				controlPeers,
				seed: this.options.seed * 100 + index,
				...(this.options.packing ? {packing: this.options.packing} : {}),
				ignoresEndOfLeadership: this.options.ignoresEndOfLeadership ?? false,
				needsAllAtFirstStart: this.options.needsAllAtFirstStart ?? false,
				endsOnFullDisk: this.options.endsOnFullDisk ?? false,
				gate: this.gate,
				...(this.options.rateLimits
					? {rateLimits: this.options.rateLimits}
					: {}),
			},
			this.timeline,
			this.links,
			this.servers,
			(id) => {
				const server = this.servers.get(id)!;
				this.promotions.push({
					at: this.timeline.now,
					term: server.term,
					server: id,
					values: new Set(server.log.map(({value}) => value)),
				});
			},
		);
		this.links.addProcess(process);
		this.controls.set(peer, process);
	}

	private addProxy(index: number, controlPeers: readonly ids.PeerId[]): void {
		const peer = `p${index}` as ids.PeerId;
		const process = new proxyProcess.ProxyProcess(
			peer,
			this.timeline,
			this.links,
			this.servers,
			(incarnation) => this.createReducer(index, incarnation, controlPeers),
			this.gate,
		);
		this.links.addProcess(process);
		this.proxies.set(peer, process);
	}

	private createReducer(
		index: number,
		incarnation: number,
		controlPeers: readonly ids.PeerId[],
	): reducer.ProxyReducer {
		const {options} = this;
		const inner = smallFleet.createProxyReducer({
			peer: `p${index}` as ids.PeerId,
			dataCentre: `dc${((index - 1) % dataCentreCount) + 1}` as ids.DataCentre,
			incarnation,
			controlPeers,
			parameters: options.parameters ?? policyTesting.buildParameters(),
			seed: options.seed * 1000 + index + 1_000_000 * (incarnation - 1),
			...(options.parseTemplate ? {parseTemplate: options.parseTemplate} : {}),
			...(options.packing ? {packing: options.packing} : {}),
			...(options.createConfigurationParser
				? {parseConfiguration: options.createConfigurationParser(incarnation)}
				: {}),
		});
		return options.wrapReducer?.(inner) ?? inner;
	}

	/** Announces each running server to one of the running proxies, in turn. */
	private announceAll(): void {
		const running = [...this.proxies.values()].filter(
			({condition}) => condition === 'up',
		);
		for (const [index, server] of [...this.servers.values()].entries()) {
			if (server.isRunning && running.length > 0) {
				running[
					(index + Math.floor(this.timeline.now / 1000)) % running.length
				].announce(server);
			}
		}
	}
}
