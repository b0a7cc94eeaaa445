/**
 * Measures the cost of the control leader by the number of proxies: a lease renewal, a tick and the
 * heap. There are 3.5 servers per proxy, as at the design scale. Prints one JSON line per size.
 */
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import * as consensus from '../common/consensus/consensus.js';
import * as fakeNetwork from '../common/consensus/fake-network.js';
import * as controlReducer from '../common/control/reducer.js';
import type * as control from '../common/control/types.js';
import type * as ids from '../common/ids.js';
import type * as messages from '../common/messages.js';
import type * as types from '../common/types.js';

const proxyCounts = [7, 100, 550, 1100, 2000];
const serversPerProxy = 3.5;
const serversPerGroup = 3;
const dataCentreCount = 12;
const renewalIntervalMs = 250;
const tickIntervalMs = 25;
const warmUpRounds = 40;
const measuredRounds = 8;
const measuredTicks = 200;

type Grant = Extract<messages.ControlMessage, {type: 'leaseGranted'}>;

class LeaderModel {
	now = 0;
	private sequence = 0;
	private readonly grants = new Map<ids.PeerId, Grant>();
	private readonly announcements: types.VersionedAnnouncement[];
	private readonly statuses = new Map<ids.UpstreamId, types.UpstreamStatus>();
	private readonly reducer: controlReducer.ControlReducer;

	constructor(private readonly proxyCount: number) {
		const peer = 'c1' as ids.PeerId;
		this.reducer = new controlReducer.ControlReducer({
			peer,
			log: new consensus.Consensus<control.ControlCommand>({
				peer,
				initialVoters: [peer],
				stored: fakeNetwork.makeEmptyStoredLog(),
				incarnation: 1,
			}),
		});
		this.announcements = buildAnnouncements(proxyCount);
		for (const announcement of this.announcements) {
			this.statuses.set(announcement.server, buildStatus(announcement));
		}
	}

	get serverCount(): number {
		return this.announcements.length;
	}

	/** Runs until the leader is elected, all servers have owners and all groups are registered. */
	startUp(): void {
		for (let tick = 0; tick < 120; tick++) {
			this.runTick();
		}

		this.renew(0, this.announcements);
		for (let round = 0; round < warmUpRounds; round++) {
			this.renewAll();
			for (let tick = 0; tick < renewalIntervalMs / tickIntervalMs; tick++) {
				this.runTick();
			}
		}
	}

	renewAll(): void {
		for (let proxy = 0; proxy < this.proxyCount; proxy++) {
			this.renew(proxy, []);
		}
	}

	runTick(): void {
		this.now += tickIntervalMs;
		this.step({type: 'tick', now: this.now, random: 0.5});
	}

	private renew(
		proxy: number,
		announcements: readonly types.VersionedAnnouncement[],
	): void {
		const peer = `p${proxy}` as ids.PeerId;
		const grant = this.grants.get(peer);
		this.sequence++;
		this.step({
			type: 'peerMessage',
			now: this.now,
			from: peer,
			message: {
				type: 'renewLease',
				sequence: this.sequence,
				dataCentre: `dc${proxy % dataCentreCount}` as ids.DataCentre,
				incarnation: 1,
				draining: false,
				owned: (grant?.owned ?? []).map((owned) => ({
					...owned,
					answerAgeMs: 10,
					status: this.statuses.get(owned.server),
				})),
				announcements,
				templateVersions: [],
				knownIndex: grant?.appliedIndex ?? 0,
				...(grant?.ownersVersion ? {knownOwners: grant.ownersVersion} : {}),
			},
		});
	}

	private step(event: control.ControlEvent): void {
		for (const effect of this.reducer.step(event)) {
			if (effect.type === 'write') {
				this.step({type: 'written', now: this.now, write: effect.write});
			} else if (
				effect.type === 'sendPeer' &&
				effect.message.type === 'leaseGranted'
			) {
				this.grants.set(effect.to, effect.message);
			}
		}
	}
}

function buildAnnouncements(proxies: number): types.VersionedAnnouncement[] {
	const groups = Math.max(
		1,
		Math.round((proxies * serversPerProxy) / serversPerGroup),
	);
	return Array.from({length: groups * serversPerGroup}, (_, index) => {
		const group = Math.floor(index / serversPerGroup);
		const position = index % serversPerGroup;
		return {
			group: `g${group}` as ids.GroupId,
			server: `g${group}s${position}` as ids.UpstreamId,
			address: '127.0.0.1:5432',
			dataCentre: `dc${(group + position) % dataCentreCount}` as ids.DataCentre,
			role: position === 0 ? 'primary' : 'replica',
			term: 1,
			position: 0,
			slots: 3,
			connectionLimit: 25,
			departing: false,
			startedAt: 1,
			version: 1,
		};
	});
}

function buildStatus(announcement: types.Announcement): types.UpstreamStatus {
	const {server, role} = announcement;
	const replicas =
		role === 'primary'
			? [1, 2].map((position) => ({
					server: `${server.slice(0, -1)}${position}` as ids.UpstreamId,
					position: 100,
				}))
			: [];
	return {server, role, term: 1, position: 100, applied: 100, replicas};
}

for (const proxies of proxyCounts) {
	const model = new LeaderModel(proxies);
	model.startUp();
	globalThis.gc?.();
	const {heapUsed} = process.memoryUsage();
	const renewalsStartedAt = performance.now();
	for (let round = 0; round < measuredRounds; round++) {
		model.renewAll();
		model.now += renewalIntervalMs;
	}

	const renewalTimeMs = performance.now() - renewalsStartedAt;
	model.renewAll();
	const ticksStartedAt = performance.now();
	for (let tick = 0; tick < measuredTicks; tick++) {
		// Time advances by 1 ms per tick, so that no lease expires during the measurement.
		model.now += 1 - tickIntervalMs;
		model.runTick();
	}

	const tickTimeMs = performance.now() - ticksStartedAt;
	console.log(
		JSON.stringify({
			subject: 'control leader, by proxies',
			size: proxies,
			servers: model.serverCount,
			microsPerRenewal: Number(
				((renewalTimeMs * 1000) / (measuredRounds * proxies)).toFixed(1),
			),
			microsPerTick: Number(((tickTimeMs * 1000) / measuredTicks).toFixed(1)),
			heapMegabytes: Number((heapUsed / 1e6).toFixed(1)),
		}),
	);
}
