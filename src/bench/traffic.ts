/**
 * Measures in virtual time what a fleet of production reducers sends between its processes: during
 * its start, under load from the moment at which the sessions open, and while it is idle. Six data centres lie in three regions; each region has
 * one server of each of six groups. Prints one JSON line per fleet size and message type.
 *
 * Usage: node dist/bench/traffic.js [proxies...]
 */
import process from 'node:process';
import type * as ids from '../common/ids.js';
import type * as messages from '../common/messages.js';
import * as traffic from '../common/metrics/traffic.js';
import * as policyTesting from '../common/policy/testing.js';
import * as random from '../common/random.js';
import * as frameCodec from '../node/peer/frame-codec.js';
import * as controlProcess from '../scenario/fleet/control-process.js';
import * as fakeServer from '../scenario/fleet/fake-server.js';
import * as links from '../scenario/fleet/links.js';
import * as proxyProcess from '../scenario/fleet/proxy-process.js';
import * as smallFleet from '../scenario/fleet/small-fleet.js';
import * as timeline from '../scenario/fleet/timeline.js';

const defaultSizes = [7, 37, 74];
const groupCount = 6;
const regionCount = 3;
const dataCentresPerRegion = 2;
const controlCount = 6;
const sessionsPerProxy = 36;

/** One-way delays. */
const delaysMs: Readonly<Record<traffic.Distance, number>> = {
	dataCentre: 0.3,
	region: 4.9,
	otherRegion: 20,
	otherDataCentre: 20,
	unknown: 20,
};
const replicationLagMs = 150;
const serviceMs = 20;
const announcementIntervalMs = 1200;
const reportIntervalMs = 200;
const primaryReadPriceMs = 15;

const startMs = 16_000;
const loadMs = 12_000;
const settleMs = 30_000;
const idleMs = 30_000;
const statementsPerSecondPerProxy = 12;
const writeShare = 0.2;
const readStalenessMs = 2500;
const deadlineMs = 8000;
const requestBytes = 400;
const answerBytes = 1000;
const hourMs = 3_600_000;

const member = 'm' as ids.MemberId;

type Totals = Map<string, {messages: number; bytes: number}>;

class MeasuredLinks extends links.Links {
	counters = new traffic.TrafficCounters();

	constructor(
		measuredTimeline: timeline.Timeline,
		private readonly locations: ReadonlyMap<ids.PeerId, traffic.Location>,
	) {
		super(
			measuredTimeline,
			(from, to) => delaysMs[classify(this.locations, from, to)],
		);
	}

	override send(
		from: ids.PeerId,
		to: ids.PeerId,
		message: messages.PeerMessage,
	): void {
		this.counters.record(
			'sent',
			classify(this.locations, from, to),
			message.type,
			frameCodec.encodeFrame(message).length,
		);
		super.send(from, to, message);
	}
}

function classify(
	locations: ReadonlyMap<ids.PeerId, traffic.Location>,
	from: ids.PeerId,
	to: ids.PeerId,
): traffic.Distance {
	return traffic.classifyDistance(locations.get(from)!, locations.get(to)!);
}

class MeasuredFleet {
	readonly timeline = new timeline.Timeline();
	readonly links: MeasuredLinks;
	readonly servers = new Map<string, fakeServer.FakeServer>();
	readonly proxies: proxyProcess.ProxyProcess[] = [];
	readonly controls: controlProcess.ControlProcess[] = [];
	completed = 0;
	refused = 0;
	isLoaded = true;
	latenciesMs: number[] = [];
	private readonly locations = new Map<ids.PeerId, traffic.Location>();
	private readonly random = random.createRandom(7);

	constructor(private readonly proxyCount: number) {
		this.links = new MeasuredLinks(this.timeline, this.locations);
		this.createServers();
		const controlPeers = Array.from(
			{length: controlCount},
			(_, index) => `control-10.${index % 6}.0.10:7440` as ids.PeerId,
		);
		for (const [index, peer] of controlPeers.entries()) {
			this.addControl(peer, index, controlPeers);
		}

		for (let index = 0; index < this.proxyCount; index++) {
			this.addProxy(index, controlPeers);
		}

		this.announceAll();
		this.timeline.scheduleEvery(announcementIntervalMs, () => {
			this.announceAll();
		});
	}

	changeTemplate(): void {
		this.controls[0].requestChange(
			{
				member,
				text: '[member]\nmax_sessions = 1000\n',
				expectedVersion: 0,
				changeId: 'first' as ids.ChangeId,
			},
			() => undefined,
		);
	}

	/** Opens the sessions; each sends a statement some time after the answer to the last one. */
	startLoad(): void {
		const thinkMs =
			(sessionsPerProxy * 1000) / statementsPerSecondPerProxy - serviceMs;
		for (const proxy of this.proxies) {
			for (let index = 0; index < sessionsPerProxy; index++) {
				const session = proxy.openSession({
					member,
					group: `db-${index % groupCount}` as ids.GroupId,
					token: {term: 0, offset: 0},
					isFloorFromWrites: true,
				});
				this.scheduleStatement(proxy, session, thinkMs);
			}
		}
	}

	private scheduleStatement(
		proxy: proxyProcess.ProxyProcess,
		session: ids.SessionId,
		thinkMs: number,
	): void {
		this.timeline.schedule(2 * thinkMs * this.random.readFloat(), () => {
			if (!this.isLoaded) {
				return;
			}

			const sentAt = this.timeline.now;
			const isWrite = this.random.readFloat() < writeShare;
			const key = 'k'.repeat(isWrite ? 20 : requestBytes);
			proxy.send(
				session,
				isWrite
					? {type: 'put', key, value: 'v'.repeat(requestBytes)}
					: {type: 'get', key},
				{stalenessMs: readStalenessMs, deadlineMs},
				(answer) => {
					if (answer.type === 'answered') {
						this.completed++;
						this.latenciesMs.push(this.timeline.now - sentAt);
					} else {
						this.refused++;
					}

					this.scheduleStatement(proxy, session, thinkMs);
				},
			);
		});
	}

	private createServers(): void {
		for (let group = 0; group < groupCount; group++) {
			const members = Array.from({length: regionCount}, (_, region) => {
				const dataCentre = formatDataCentre(
					region * dataCentresPerRegion + (group % dataCentresPerRegion),
				);
				const server = new fakeServer.FakeServer(
					`db-${group}-${region}` as ids.UpstreamId,
					`db-${group}` as ids.GroupId,
					dataCentre as ids.DataCentre,
					this.timeline,
				);
				server.serviceMs = serviceMs;
				server.receiveLagMs = replicationLagMs;
				this.servers.set(server.id, server);
				return server;
			});
			const primary = members[group % regionCount];
			primary.setFence(1);
			primary.promote(1);
			for (const server of members) {
				if (server !== primary) {
					server.follow(1, primary);
				}
			}

			primary.log.push({
				term: 1,
				offset: 100,
				key: 'k'.repeat(requestBytes),
				value: 'v'.repeat(answerBytes),
			});
		}
	}

	private addControl(
		peer: ids.PeerId,
		index: number,
		controlPeers: readonly ids.PeerId[],
	): void {
		const dataCentre = formatDataCentre(index);
		this.locations.set(peer, {dataCentre, region: formatRegion(index)});
		const control = new controlProcess.ControlProcess(
			{
				peer,
				dataCentre: dataCentre as ids.DataCentre,
				controlPeers,
				seed: index + 1,
			},
			this.timeline,
			this.links,
			this.servers,
			() => undefined,
		);
		this.links.addProcess(control);
		this.controls.push(control);
	}

	private addProxy(index: number, controlPeers: readonly ids.PeerId[]): void {
		const dataCentre = formatDataCentre(index);
		const peer =
			`proxy-front-${dataCentre}-${index}-10.${index % 6}.0.${index}` as ids.PeerId;
		this.locations.set(peer, {dataCentre, region: formatRegion(index)});
		const proxy = new proxyProcess.ProxyProcess(
			peer,
			this.timeline,
			this.links,
			this.servers,
			(incarnation) =>
				smallFleet.createProxyReducer({
					peer,
					dataCentre: dataCentre as ids.DataCentre,
					incarnation: 1_796_000_000_000 + incarnation,
					controlPeers,
					parameters: policyTesting.buildParameters(),
					seed: 100 + index,
					timing: {reportIntervalMs},
					routing: {primaryReadPriceMs},
				}),
		);
		this.links.addProcess(proxy);
		this.proxies.push(proxy);
	}

	private announceAll(): void {
		for (const [index, server] of [...this.servers.values()].entries()) {
			this.proxies[index % this.proxies.length].announce(server);
		}
	}
}

function formatDataCentre(index: number): string {
	const place = index % (regionCount * dataCentresPerRegion);
	return `place-${place}`;
}

function formatRegion(index: number): string {
	const place = index % (regionCount * dataCentresPerRegion);
	return `region-${Math.floor(place / dataCentresPerRegion)}`;
}

/** Sums the counters by message type, and by message type and distance. */
function sumTraffic(counters: traffic.TrafficCounters): Totals {
	const totals: Totals = new Map();
	for (const {
		distance,
		type,
		messages: count,
		bytes,
	} of counters.getSnapshot()) {
		for (const key of [type, `${type} ${distance}`, 'all', `all ${distance}`]) {
			const known = totals.get(key) ?? {messages: 0, bytes: 0};
			totals.set(key, {
				messages: known.messages + count,
				bytes: known.bytes + bytes,
			});
		}
	}

	return totals;
}

function measureFleet(proxyCount: number): void {
	const fleet = new MeasuredFleet(proxyCount);
	const runPhase = (durationMs: number): Totals => {
		fleet.links.counters = new traffic.TrafficCounters();
		fleet.timeline.runUntil(fleet.timeline.now + durationMs);
		return sumTraffic(fleet.links.counters);
	};

	fleet.timeline.runUntil(3000);
	const early = sumTraffic(fleet.links.counters);
	fleet.changeTemplate();
	const late = runPhase(startMs - 3000);
	fleet.startLoad();
	const load = runPhase(loadMs);
	const statements = fleet.completed;
	fleet.isLoaded = false;
	fleet.timeline.runUntil(fleet.timeline.now + settleMs);
	const idle = runPhase(idleMs);
	const getBytes = (totals: Totals, key: string) => totals.get(key)?.bytes ?? 0;
	const types = new Set(
		[...early, ...late, ...idle, ...load].map(([key]) => key.split(' ')[0]),
	);
	const rows = [...types].map((type) => {
		const describe = (suffix: string) => {
			const key = `${type}${suffix}`;
			return {
				startKb: Math.round(
					(getBytes(early, key) + getBytes(late, key)) / 1000,
				),
				idleKbPerHour: Math.round(
					((getBytes(idle, key) / idleMs) * hourMs) / 1000,
				),
				bytesPerStatement: Math.round(getBytes(load, key) / statements),
			};
		};

		return {
			proxies: proxyCount,
			type,
			messagesPerStatement: Number(
				((load.get(type)?.messages ?? 0) / statements).toFixed(2),
			),
			total: describe(''),
			otherRegion: describe(' otherRegion'),
		};
	});
	rows.sort(
		(left, right) =>
			right.otherRegion.startKb +
			right.otherRegion.bytesPerStatement -
			left.otherRegion.startKb -
			left.otherRegion.bytesPerStatement,
	);
	for (const row of rows) {
		console.log(JSON.stringify(row));
	}

	const sorted = fleet.latenciesMs.sort((left, right) => left - right);
	console.log(
		JSON.stringify({
			proxies: proxyCount,
			statements,
			refused: fleet.refused,
			medianMs: Math.round(sorted[Math.floor(sorted.length / 2)] ?? 0),
			p99Ms: Math.round(sorted[Math.floor(sorted.length * 0.99)] ?? 0),
			otherRegionKb: Math.round(
				(getBytes(early, 'all otherRegion') +
					getBytes(late, 'all otherRegion') +
					getBytes(load, 'all otherRegion')) /
					1000,
			),
		}),
	);
}

const sizes = process.argv.slice(2).map(Number);
for (const size of sizes.length > 0 ? sizes : defaultSizes) {
	measureFleet(size);
}
