/**
 * A whole installation in virtual time: control peers, proxies and one group of three servers, all
 * with the production reducers, plus the record of what callers were told.
 */
import type * as ids from '../../common/ids.js';
import * as policyTesting from '../../common/policy/testing.js';
import type * as types from '../../common/types.js';
import * as controlProcess from './control-process.js';
import * as fakeServer from './fake-server.js';
import type * as fleetTypes from './fleet-types.js';
import * as links from './links.js';
import * as proxyProcess from './proxy-process.js';
import * as smallFleet from './small-fleet.js';
import * as timeline from './timeline.js';

const announcementMs = 1000;
const localDelayMs = 0.5;
const remoteDelayMs = 2;
const serverCount = 3;

export type FleetOptions = {
	readonly proxies: number;
	readonly controls: number;
	readonly seed: number;
	readonly parameters?: types.TemplateParameters;
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

	constructor(private readonly options: FleetOptions) {
		this.links = new links.Links(this.timeline, (from, to) =>
			from.at(-1) === to.at(-1) ? localDelayMs : remoteDelayMs,
		);
		this.servers = fakeServer.createGroup(this.group, this.timeline);
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

		this.timeline.scheduleEvery(announcementMs, () => {
			this.announceAll();
		});
		this.announceAll();
	}

	/** Lets the installation start: a template, owners for all servers, a write lease. */
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

	/** Ends the process of a server, and starts it as a replica later. */
	restartServer(server: fakeServer.FakeServer): void {
		server.restart();
		this.announceAll();
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
			(incarnation) =>
				smallFleet.createProxyReducer({
					peer,
					dataCentre: `dc${((index - 1) % serverCount) + 1}` as ids.DataCentre,
					incarnation,
					controlPeers,
					parameters:
						this.options.parameters ?? policyTesting.buildParameters(),
					seed: this.options.seed * 1000 + index,
				}),
		);
		this.links.addProcess(process);
		this.proxies.set(peer, process);
	}

	/** Each server announces itself to any proxy that lives. */
	private announceAll(): void {
		const live = [...this.proxies.values()].filter(
			({condition}) => condition === 'up',
		);
		for (const [index, server] of [...this.servers.values()].entries()) {
			if (server.isRunning && live.length > 0) {
				live[
					(index + Math.floor(this.timeline.now / 1000)) % live.length
				].announce(server);
			}
		}
	}
}
