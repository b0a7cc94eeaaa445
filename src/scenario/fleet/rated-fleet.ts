/**
 * A fleet whose processes have network links of limited rate, under load from its callers, for tests of
 * what a change of the configuration costs. Control peers and the proxies beside them have fast links,
 * all other proxies slow ones.
 */
import type * as ids from '../../common/ids.js';
import * as policyTesting from '../../common/policy/testing.js';
import * as random from '../../common/random.js';
import type * as types from '../../common/types.js';
import * as frameCodec from '../../node/peer/frame-codec.js';
import * as customerFleet from './customer-fleet.js';
import * as fleets from './fleet.js';
import type * as proxyProcess from './proxy-process.js';
import * as ratedLinks from './rated-links.js';

const controlCount = 6;
/** Bytes per ms. */
const fastRate = 12_500;
const localDelayMs = 0.5;
const remoteDelayMs = 20;
const silenceLimitMs = 700;
const startUpMs = 8000;
const sessionsPerProxy = 8;
const pauseMs = 500;
const deadlineMs = 800;
const changeTimeoutMs = 10_000;
/** Time after a change in which its bytes are counted. */
const settleMs = 8000;

const member = 'm' as ids.MemberId;
const group = 'ledger' as ids.GroupId;

export type RatedFleetOptions = {
	readonly proxies: number;
	/** Rate of the slow links in bytes per ms. */
	readonly slowRate: number;
	readonly seed: number;
	readonly packing?: types.TextPacking;
};

export type ChangeResult = {
	/** Size of the text of the configuration. */
	readonly textBytes: number;
	/** Time from the acknowledgement until the version was in force at all proxies. */
	readonly spreadMs: number;
};

type Caller = {
	readonly proxy: proxyProcess.ProxyProcess;
	readonly session: ids.SessionId;
	isOpen: boolean;
};

export class RatedFleet {
	readonly links: ratedLinks.RatedLinks;
	refused = 0;
	answered = 0;
	private readonly fleet: fleets.Fleet;
	private readonly waitingSince = new Map<Caller, number>();
	private longestWaitMs = 0;

	constructor(options: RatedFleetOptions) {
		const parameters = policyTesting.buildParameters();
		let created: ratedLinks.RatedLinks | undefined;
		this.fleet = new fleets.Fleet({
			proxies: options.proxies,
			controls: controlCount,
			seed: options.seed,
			parameters,
			...(options.packing ? {packing: options.packing} : {}),
			createLinks(timeline) {
				created = new ratedLinks.RatedLinks(timeline, {
					computeDelay: (from, to) =>
						getNumber(from) === getNumber(to) ? localDelayMs : remoteDelayMs,
					getRate: (peer) => (isFast(peer) ? fastRate : options.slowRate),
					measure: (message) => frameCodec.encodeFrame(message).length,
					silenceLimitMs,
				});
				return created;
			},
			createConfigurationParser: () => (text) =>
				customerFleet.buildRouteSet(
					[],
					parameters,
					(JSON.parse(text) as {routes: Array<{host: string}>}).routes.map(
						({host}) => host as ids.MemberId,
					),
				),
		});
		this.links = created!;
	}

	get now(): number {
		return this.fleet.timeline.now;
	}

	/** Number of control peers that have acted as leader. */
	get leaderCount(): number {
		return [...this.fleet.controls.values()]
			.flatMap(({logs}) => logs)
			.filter((line) => line.includes('acting as leader')).length;
	}

	/** Puts a first configuration in force and opens the sessions of the callers. */
	startUp(configuration: types.Configuration): void {
		this.runUntil(3000);
		this.change(configuration);
		this.runUntil(startUpMs);
		for (const proxy of this.fleet.proxies.values()) {
			for (let index = 0; index < sessionsPerProxy; index++) {
				const caller = this.openSession(proxy);
				this.fleet.timeline.schedule(
					(pauseMs * (index + 1)) / sessionsPerProxy,
					() => {
						this.sendNext(caller);
					},
				);
			}
		}
	}

	runFor(durationMs: number): void {
		this.runUntil(this.now + durationMs);
	}

	/** Makes a change and waits until it is acknowledged and in force, for a limited time. */
	change(configuration: types.Configuration): ChangeResult {
		let acknowledgedAt: number | undefined;
		this.fleet.controls
			.get('c2')!
			.requestChange({type: 'configuration', configuration}, ({type}) => {
				acknowledgedAt = type === 'accepted' ? this.now : undefined;
			});
		const deadlineAt = this.now + changeTimeoutMs;
		while (
			this.now < deadlineAt &&
			(acknowledgedAt === undefined || !this.isInForce(configuration.version))
		) {
			this.runFor(5);
		}

		return {
			textBytes: configuration.text.length,
			spreadMs: this.isInForce(configuration.version)
				? this.now - (acknowledgedAt ?? Number.NEGATIVE_INFINITY)
				: Infinity,
		};
	}

	/** Bytes that each process has received in the time after `from`. */
	countReceivedBytes(from: number): Map<ids.PeerId, number> {
		const counts = new Map<ids.PeerId, number>();
		for (const {at, to, bytes} of this.links.sent) {
			if (at >= from && at < from + settleMs) {
				counts.set(to, (counts.get(to) ?? 0) + bytes);
			}
		}

		return counts;
	}

	/** Longest time that a caller has waited, whether or not it was answered since. */
	computeLongestWait(): number {
		return Math.max(
			this.longestWaitMs,
			...[...this.waitingSince.values()].map((since) => this.now - since),
		);
	}

	private isInForce(version: number): boolean {
		return [...this.fleet.proxies.values()].every(
			({reducer}) => (reducer.templates.configuration?.version ?? 0) >= version,
		);
	}

	private runUntil(until: number): void {
		this.fleet.timeline.runUntil(until);
	}

	/** Opens a session of a caller, and another one when the proxy closes it. */
	private openSession(proxy: proxyProcess.ProxyProcess): Caller {
		const caller: Caller = {
			proxy,
			isOpen: true,
			session: proxy.openSession({member, group}, () => {
				caller.isOpen = false;
				this.fleet.timeline.schedule(pauseMs, () => {
					this.sendNext(this.openSession(proxy));
				});
			}),
		};
		return caller;
	}

	private sendNext(caller: Caller): void {
		if (!caller.isOpen) {
			return;
		}

		const {timeline} = this.fleet;
		const sentAt = timeline.now;
		this.waitingSince.set(caller, sentAt);
		caller.proxy.send(
			caller.session,
			{type: 'get', key: 'k'},
			{deadlineMs},
			({type}) => {
				this.waitingSince.delete(caller);
				this.longestWaitMs = Math.max(
					this.longestWaitMs,
					timeline.now - sentAt,
				);
				if (type === 'answered') {
					this.answered++;
				} else {
					this.refused++;
				}

				timeline.schedule(pauseMs, () => {
					this.sendNext(caller);
				});
			},
		);
	}
}

/** Control peers and the proxies with the same numbers run on VMs with fast links. */
function isFast(peer: ids.PeerId): boolean {
	return getNumber(peer) <= controlCount;
}

function getNumber(peer: ids.PeerId): number {
	return Number(peer.slice(1));
}

/** Builds a configuration with routes of the size that the users' have, about 190 bytes each. */
export function buildConfiguration(
	version: number,
	routeCount: number,
): types.Configuration {
	const source = random.createRandom(3);
	const drawName = (length: number): string =>
		Array.from({length}, () => source.readInteger(0, 35).toString(36)).join('');
	const routes = Array.from({length: routeCount}, (_, index) => ({
		name: `r-${drawName(7)}`,
		host: index === 0 ? member : drawName(9),
		pathPrefix: '/',
		routeKind: 'read_your_writes',
		timeoutMs: 1000,
		targetLatencyMs: 2000,
		priority: 2,
		service: drawName(7),
		maxAttempts: 2,
		maxStalenessMs: 2500,
	}));
	return {version, text: JSON.stringify({version, routes})};
}
