/**
 * Replays choices of many entries among the servers of one database without a network. Each entry knows
 * the load of a server from a report that is up to one interval old and from the answers of its own
 * requests.
 */
import * as random from './random.js';

/** What an entry knows of a server when it chooses. */
export type KnownServer = {
	/** The wait as of the last report or answer. */
	readonly waitMs: number;
	readonly waitAgeMs: number;
	/** The entry's requests that were sent after that and have not been answered. */
	readonly placed: number;
	/** The entry's requests since the last report, and how many the report granted it. */
	readonly sinceReport: number;
	readonly share: number;
	/** Round trip from the entry. */
	readonly distanceMs: number;
};

export type Chosen = {
	readonly server: number;
	/** The server returns the request at once when it would wait longer. */
	readonly maxWaitMs: number;
};

/** Chooses a server; `trueWaitsMs` is for a choice with perfect knowledge. */
export type Choice = (
	servers: readonly KnownServer[],
	source: random.RandomStream,
	trueWaitsMs: readonly number[],
) => Chosen;

export type ReplayOptions = {
	readonly chooserCount: number;
	readonly reportIntervalMs: number;
	/** Round trip between a region and another one; each region has one server. */
	readonly remoteRoundTripMs: number;
	/** Share of the demand of each region. */
	readonly regionDemand: readonly number[];
	/** Demand as a share of all slots. */
	readonly load: number;
	/** A server sends a request on once when its wait is longer than that of another one by this. */
	readonly passOnAboveMs?: number;
	readonly untilMs: number;
	readonly seed: number;
};

export type ReplayResult = {
	readonly longestQueue: number;
	/** Slots that were idle while requests waited elsewhere, on average. */
	readonly idleBesideWaiting: number;
	/** From the choice to the answer, in ms. */
	readonly meanMs: number;
	readonly percentile99Ms: number;
	/** Share of requests that ran in another region. */
	readonly remoteShare: number;
	/** Share of requests that a server returned. */
	readonly returnedShare: number;
	readonly reports: number;
};

const slots = 4;
const serviceMs = 14;
const warmUpMs = 1000;
const nearRoundTripMs = 1;

type Request = {
	readonly chooser: number;
	readonly sentAt: number;
	readonly serviceMs: number;
	/** Wait above which the server returns the request; infinite once it was returned. */
	readonly maxWaitMs: number;
	isPassedOn: boolean;
};

type Server = {
	readonly queue: Request[];
	running: Array<{readonly request: Request; readonly endsAt: number}>;
};

type View = {
	waitMs: number;
	heardAt: number;
	placed: number;
	sinceReport: number;
	share: number;
};

type Transit = {
	readonly at: number;
	readonly server: number;
	readonly request: Request;
	/** The wait that the answer tells; undefined on the way to the server. */
	readonly waitMs?: number;
	readonly isReturned?: boolean;
};

/** Replays a choice in steps of 1 ms. */
export function runChoiceReplay(
	options: ReplayOptions,
	choose: Choice,
): ReplayResult {
	const replay = new ChoiceReplay(options, choose);
	for (let now = 0; now < options.untilMs; now++) {
		replay.step(now);
	}

	return replay.summarize();
}

class ChoiceReplay {
	private readonly source: random.RandomStream;
	private readonly servers: Server[];
	private readonly views: View[][];
	private readonly phases: number[];
	private readonly arrivalsPerMs: number;
	private readonly latencies: number[] = [];
	private transits: Transit[] = [];
	private longestQueue = 0;
	private idleSum = 0;
	private remote = 0;
	private reports = 0;
	private returned = 0;
	private nextArrivalAt = 0;

	constructor(
		private readonly options: ReplayOptions,
		private readonly choose: Choice,
	) {
		const {chooserCount, regionDemand, reportIntervalMs, load, seed} = options;
		this.source = new random.RandomStream(seed);
		this.servers = regionDemand.map(() => ({queue: [], running: []}));
		this.views = Array.from({length: chooserCount}, () =>
			regionDemand.map(() => ({
				waitMs: 0,
				heardAt: 0,
				placed: 0,
				sinceReport: 0,
				share: 0,
			})),
		);
		this.phases = this.views.map(() => this.source.drawIndex(reportIntervalMs));
		this.arrivalsPerMs = (load * regionDemand.length * slots) / serviceMs;
	}

	step(now: number): void {
		this.sendReports(now);
		for (const [index, server] of this.servers.entries()) {
			this.completeRequests(server, index, now);
		}

		const due = this.transits.filter(({at}) => at <= now);
		this.transits = this.transits.filter(({at}) => at > now);
		for (const transit of due) {
			if (transit.waitMs === undefined) {
				this.acceptRequest(transit, now);
			} else {
				this.handleAnswer(transit, transit.waitMs, now);
			}
		}

		while (this.nextArrivalAt <= now) {
			this.sendNewRequest(now);
			this.nextArrivalAt += this.source.drawExponential(1 / this.arrivalsPerMs);
		}

		for (const {queue, running} of this.servers) {
			while (running.length < slots && queue.length > 0) {
				const request = queue.shift()!;
				running.push({request, endsAt: now + request.serviceMs});
			}
		}

		if (now >= warmUpMs) {
			this.observeQueues();
		}
	}

	summarize(): ReplayResult {
		const {latencies, options} = this;
		latencies.sort((left, right) => left - right);
		const count = latencies.length;
		return {
			longestQueue: this.longestQueue,
			idleBesideWaiting: this.idleSum / (options.untilMs - warmUpMs),
			meanMs: latencies.reduce((sum, latency) => sum + latency, 0) / count,
			percentile99Ms: latencies[Math.floor(0.99 * count)],
			remoteShare: this.remote / count,
			returnedShare: this.returned / count,
			reports: this.reports,
		};
	}

	private sendReports(now: number): void {
		const {chooserCount, reportIntervalMs} = this.options;
		for (const [chooser, phase] of this.phases.entries()) {
			if ((now + phase) % reportIntervalMs !== 0) {
				continue;
			}

			for (const [index, view] of this.views[chooser].entries()) {
				const server = this.servers[index];
				const room = (slots * reportIntervalMs) / serviceMs;
				const share = Math.max(0, room - server.queue.length) / chooserCount;
				this.reports++;
				Object.assign(view, {
					waitMs: computeWait(server),
					heardAt: now,
					placed: 0,
					sinceReport: 0,
					share: Math.floor(share + this.source.drawUniform()),
				});
			}
		}
	}

	private completeRequests(server: Server, index: number, now: number): void {
		const ended = server.running.filter(({endsAt}) => endsAt <= now);
		server.running = server.running.filter(({endsAt}) => endsAt > now);
		for (const {request} of ended) {
			this.transits.push({
				at: now + this.computeRoundTrip(request.chooser, index) / 2,
				server: index,
				request,
				waitMs: computeWait(server),
			});
		}
	}

	private handleAnswer(transit: Transit, waitMs: number, now: number): void {
		const {request, server, isReturned} = transit;
		const view = this.views[request.chooser][server];
		Object.assign(view, {waitMs, heardAt: now, placed: 0});
		if (isReturned) {
			this.returned++;
			this.sendRequest(request, now);
		} else if (request.sentAt >= warmUpMs) {
			this.latencies.push(now - request.sentAt);
			this.remote += this.isNear(request.chooser, server) ? 0 : 1;
		}
	}

	private acceptRequest({server, request}: Transit, now: number): void {
		const {passOnAboveMs = Infinity, remoteRoundTripMs} = this.options;
		const waits = this.servers.map((each) => computeWait(each));
		const best = waits.indexOf(Math.min(...waits));
		if (waits[server] > request.maxWaitMs) {
			this.transits.push({
				at: now + this.computeRoundTrip(request.chooser, server) / 2,
				server,
				request: {...request, maxWaitMs: Infinity},
				waitMs: waits[server],
				isReturned: true,
			});
		} else if (
			!request.isPassedOn &&
			waits[server] > waits[best] + passOnAboveMs
		) {
			this.transits.push({
				at: now + remoteRoundTripMs / 2,
				server: best,
				request: {...request, isPassedOn: true},
			});
		} else {
			this.servers[server].queue.push(request);
		}
	}

	private sendNewRequest(now: number): void {
		const {chooserCount, regionDemand} = this.options;
		const regionCount = regionDemand.length;
		const region = drawRegion(regionDemand, this.source.drawUniform());
		const member = this.source.drawIndex(Math.ceil(chooserCount / regionCount));
		this.sendRequest(
			{
				chooser: (member * regionCount + region) % chooserCount,
				sentAt: now,
				serviceMs: this.source.drawServiceTime(serviceMs),
				maxWaitMs: 0,
				isPassedOn: false,
			},
			now,
		);
	}

	/** Sends a new request, or one that was returned, which no server returns again. */
	private sendRequest(request: Request, now: number): void {
		const {chooser} = request;
		const {server, maxWaitMs} = this.choose(
			this.views[chooser].map(({heardAt, ...view}, index) => ({
				...view,
				waitAgeMs: now - heardAt,
				distanceMs: this.computeRoundTrip(chooser, index),
			})),
			this.source,
			this.servers.map((each) => computeWait(each)),
		);
		const view = this.views[chooser][server];
		view.placed++;
		view.sinceReport++;
		this.transits.push({
			at: now + this.computeRoundTrip(chooser, server) / 2,
			server,
			request: {
				...request,
				maxWaitMs: request.maxWaitMs === Infinity ? Infinity : maxWaitMs,
			},
		});
	}

	private observeQueues(): void {
		for (const {queue, running} of this.servers) {
			this.longestQueue = Math.max(this.longestQueue, queue.length);
			this.idleSum += this.servers.some((other) => other.queue.length > 0)
				? slots - running.length
				: 0;
		}
	}

	private isNear(chooser: number, server: number): boolean {
		return chooser % this.options.regionDemand.length === server;
	}

	private computeRoundTrip(chooser: number, server: number): number {
		return this.isNear(chooser, server)
			? nearRoundTripMs
			: this.options.remoteRoundTripMs;
	}
}

function computeWait({queue, running}: Server): number {
	return running.length < slots && queue.length === 0
		? 0
		: ((queue.length + 1) * serviceMs) / slots;
}

function drawRegion(demand: readonly number[], uniform: number): number {
	const total = demand.reduce((sum, share) => sum + share, 0);
	let left = uniform * total;
	return Math.max(
		0,
		demand.findIndex((share) => {
			left -= share;
			return left < 0;
		}),
	);
}
