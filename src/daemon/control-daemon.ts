/**
 * The control daemon without its adapters: passes messages, timer ticks, synced writes and operators'
 * requests to the control reducer as events and executes the effects that the reducer returns.
 */
import {assertNever} from '../common/assert-never.js';
import type * as ids from '../common/ids.js';
import type * as types from '../common/types.js';
import type * as control from '../common/control/types.js';
import * as consensus from '../common/consensus/consensus.js';
import * as calls from '../common/control/calls.js';
import * as controlPeer from '../common/control/peer.js';
import * as storageLimits from '../common/control/storage-limits.js';
import * as random from '../common/random.js';
import * as textPacking from '../node/text-packing.js';
import type * as node from '../node/types.js';
import type * as daemon from './control-types.js';
import * as deferred from './deferred.js';

const tickIntervalMs = 25;
/** HTTP clients try another control peer after 1 s without an answer, so this must be shorter. */
const configurationReadTimeoutMs = 800;

/**
 * Starts a control daemon with the state that its storage holds.
 *
 * @throws An error when the storage is damaged or a listener cannot be opened.
 */
export async function startControlDaemon(
	settings: daemon.ControlSettings,
	adapters: daemon.ControlAdapters,
): Promise<daemon.ControlDaemon> {
	const stored = await adapters.storage.load();
	const incarnation = adapters.clock.readWallClock();
	const limits = storageLimits.computeStorageLimits(settings.diskBytes);
	const log = new consensus.Consensus<control.ControlCommand>({
		peer: settings.peer,
		initialVoters: settings.controlPeers.map(({peer}) => peer),
		stored:
			settings.mayBootstrap === false && stored.hardState.term === 0
				? {...stored, isDataLost: true}
				: stored,
		incarnation,
		maxPendingBytes: limits.pendingBytes,
		isFirstStart: settings.mayBootstrap ?? false,
		...(settings.startedAt === undefined
			? {}
			: {startedAt: settings.startedAt}),
	});
	const reducer = new controlPeer.ControlPeer({
		...settings,
		incarnation,
		log,
		recordsLeaseHolders: settings.recordsLeaseHolders ?? false,
		...(settings.wantedVoters === undefined
			? {}
			: {wantedVoters: settings.wantedVoters}),
		packing: textPacking.zlibPacking,
		storageLimits: limits,
		random: random.createRandom(Math.floor(adapters.random() * 2 ** 31)),
	});
	const instance = new ControlProcess(reducer, adapters);
	try {
		await instance.open(settings);
	} catch (error) {
		await instance.dispose();
		throw error;
	}

	return instance;
}

class ControlProcess implements daemon.ControlDaemon {
	readonly links: node.PeerLinks;
	readonly stopped: Promise<Error | undefined>;
	readonly #reducer: controlPeer.ControlPeer;
	readonly #adapters: daemon.ControlAdapters;
	readonly #http: daemon.ControlHttp;
	readonly #pendingChanges = new Map<
		number,
		(result: types.TemplateChangeResult) => void
	>();

	readonly #pendingQueries = new Map<
		number,
		(result: control.ControlQueryResult) => void
	>();

	readonly #pendingReads = new Map<
		number,
		(result: types.ConfigurationReading) => void
	>();

	readonly #drained = deferred.createDeferred<void>();
	readonly #stop = deferred.createDeferred<Error | undefined>();
	#timer: NodeJS.Timeout | undefined;
	#lastOperation = 0;
	#peerPort = 0;
	#httpPort = 0;
	#health = {ready: false, reason: 'starting'};
	#disposal: Promise<void> | undefined;

	constructor(
		reducer: controlPeer.ControlPeer,
		adapters: daemon.ControlAdapters,
	) {
		this.#reducer = reducer;
		this.#adapters = adapters;
		this.stopped = this.#stop.promise;
		this.links = adapters.createLinks({
			handleMessage: (from, message) => {
				const now = this.#adapters.clock.now();
				this.#dispatch({type: 'peerMessage', now, from, message});
			},
			handleLinkChange: (peer, up) => {
				const now = this.#adapters.clock.now();
				this.#dispatch({type: 'peerLinkChanged', now, peer, up});
			},
		});
		this.#http = adapters.createHttp(this);
	}

	get peerPort(): number {
		return this.#peerPort;
	}

	get httpPort(): number {
		return this.#httpPort;
	}

	async open(settings: daemon.ControlSettings): Promise<void> {
		const {peerListener, httpListener} = settings;
		this.#peerPort = await this.links.listen(
			peerListener.address,
			peerListener.port,
		);
		this.#httpPort = await this.#http.listen(
			httpListener.address,
			httpListener.port,
		);
		this.#adapters.storage.watchSpace?.((space) => {
			const now = this.#adapters.clock.now();
			this.#dispatch({type: 'spaceChanged', now, space});
		});
		for (const effect of this.#reducer.start(this.#adapters.clock.now())) {
			this.#handleEffect(effect);
		}

		this.#timer = setInterval(() => {
			this.#dispatch({
				type: 'tick',
				now: this.#adapters.clock.now(),
				random: this.#adapters.random(),
			});
		}, tickIntervalMs);
	}

	readHealth(): {readonly ready: boolean; readonly reason: string} {
		return this.#health;
	}

	async requestTemplateChange(
		change: types.TemplateChange,
	): Promise<types.TemplateChangeResult> {
		return this.#requestChange(change);
	}

	async runQuery(
		query: control.ControlQuery,
	): Promise<control.ControlQueryResult> {
		const operation = ++this.#lastOperation;
		return new Promise((resolve) => {
			this.#pendingQueries.set(operation, resolve);
			this.#dispatch({
				type: 'queryRequested',
				now: this.#adapters.clock.now(),
				operation,
				query,
			});
		});
	}

	async proposeConfiguration(
		configuration: types.Configuration,
	): Promise<types.TemplateChangeResult> {
		return this.#requestChange({type: 'configuration', configuration});
	}

	async readConfiguration(): Promise<types.ConfigurationReading> {
		const operation = ++this.#lastOperation;
		return new Promise((resolve) => {
			const timer = setTimeout(() => {
				this.#pendingReads.delete(operation);
				resolve({type: 'unavailable'});
			}, configurationReadTimeoutMs);
			this.#pendingReads.set(operation, (result) => {
				clearTimeout(timer);
				resolve(result);
			});
			this.#dispatch({
				type: 'configurationReadRequested',
				now: this.#adapters.clock.now(),
				operation,
			});
		});
	}

	getAppliedConfiguration(): types.Configuration | undefined {
		return this.#reducer.control.machine.configuration;
	}

	handleAnnouncement(announcement: types.Announcement, sequence: number): void {
		this.#dispatch({
			type: 'announcementReceived',
			now: this.#adapters.clock.now(),
			announcement,
			sequence,
		});
	}

	handleDeparture(server: ids.UpstreamId): boolean {
		if (!this.#reducer.findAnnouncement(server)) {
			return false;
		}

		this.#dispatch({
			type: 'departureReceived',
			now: this.#adapters.clock.now(),
			server,
		});
		return true;
	}

	readStatus(): control.ControlQueryResult | undefined {
		const operation = ++this.#lastOperation;
		let status: control.ControlQueryResult | undefined;
		this.#pendingQueries.set(operation, (result) => {
			status = result;
		});
		this.#dispatch({
			type: 'queryRequested',
			now: this.#adapters.clock.now(),
			operation,
			query: {type: 'status'},
		});
		return status;
	}

	setControlPeers(controlPeers: readonly types.PeerAddress[]): void {
		const now = this.#adapters.clock.now();
		this.#dispatch({type: 'controlPeersChanged', now, controlPeers});
	}

	async drain(): Promise<void> {
		this.#dispatch({type: 'drainRequested', now: this.#adapters.clock.now()});
		return this.#drained.promise;
	}

	async dispose(): Promise<void> {
		this.#disposal ??= this.#close();
		return this.#disposal;
	}

	async #requestChange(
		change: types.OperatorChange,
	): Promise<types.TemplateChangeResult> {
		const operation = ++this.#lastOperation;
		return new Promise((resolve) => {
			this.#pendingChanges.set(operation, resolve);
			this.#dispatch({
				type: 'templateChangeRequested',
				now: this.#adapters.clock.now(),
				operation,
				change,
			});
		});
	}

	async #close(): Promise<void> {
		clearInterval(this.#timer);
		for (const resolve of this.#pendingChanges.values()) {
			resolve({type: 'unavailable', mayHaveRun: true});
		}

		this.#pendingChanges.clear();
		await this.#http.dispose();
		await this.links.dispose();
		await this.#adapters.serverClient.dispose();
		await this.#adapters.storage.close();
		this.#stop.resolve(undefined);
	}

	#dispatch(event: controlPeer.ControlPeerEvent): void {
		if (this.#disposal) {
			return;
		}

		for (const effect of this.#reducer.step(event)) {
			this.#handleEffect(effect);
		}
	}

	#handleEffect(effect: controlPeer.ControlPeerEffect): void {
		switch (effect.type) {
			case 'sendPeer': {
				this.links.send(effect.to, effect.message);
				return;
			}

			case 'connectPeer': {
				this.links.connectPeer(effect.peer, effect.address);
				return;
			}

			case 'disconnectPeer': {
				this.links.disconnectPeer(effect.peer);
				return;
			}

			case 'write': {
				void this.#write(effect);
				return;
			}

			case 'callServer': {
				void this.#callServer(effect);
				return;
			}

			case 'answerTemplateChange': {
				this.#pendingChanges.get(effect.operation)?.(effect.result);
				this.#pendingChanges.delete(effect.operation);
				return;
			}

			case 'answerConfigurationRead': {
				this.#pendingReads.get(effect.operation)?.(effect.result);
				this.#pendingReads.delete(effect.operation);
				return;
			}

			case 'answerQuery': {
				this.#pendingQueries.get(effect.operation)?.(effect.result);
				this.#pendingQueries.delete(effect.operation);
				return;
			}

			case 'setHealth': {
				this.#health = {ready: effect.ready, reason: effect.reason};
				return;
			}

			case 'log': {
				this.#adapters.logger.write(effect.record);
				return;
			}

			case 'drained': {
				this.#drained.resolve();
				void this.dispose();
				return;
			}
		}

		assertNever(effect);
	}

	/**
	 * Stops the daemon after a failed write, because the content of the disk is then unknown. A write that a
	 * full disk refuses does not fail; the storage tries it again.
	 */
	async #write(
		effect: Extract<control.ControlEffect, {type: 'write'}>,
	): Promise<void> {
		try {
			await this.#adapters.storage.write(effect.data);
		} catch (error) {
			this.#fail(error);
			return;
		}

		this.#dispatch({
			type: 'written',
			now: this.#adapters.clock.now(),
			write: effect.write,
			...this.#adapters.storage.readStatus?.(),
		});
	}

	#fail(error: unknown): void {
		if (this.#disposal) {
			return;
		}

		const cause = error instanceof Error ? error : new Error(String(error));
		this.#adapters.logger.write({
			level: 'error',
			part: 'control',
			message: `A storage write failed; the daemon stops: ${cause.message}`,
		});
		this.#health = {ready: false, reason: 'storage failed'};
		this.#stop.resolve(cause);
		void this.dispose();
	}

	async #callServer(
		effect: Extract<control.ControlEffect, {type: 'callServer'}>,
	): Promise<void> {
		const {server, group, leaderTerm, request} = effect;
		const answer = await this.#adapters.serverClient.call(
			server,
			effect.address,
			request,
			{
				group,
				leaderTerm,
				isLeading: () =>
					this.#reducer.control.isLeading(
						leaderTerm,
						this.#adapters.clock.now(),
					),
			},
		);
		if (answer === calls.leadershipEnded) {
			this.#adapters.logger.write({
				level: 'warn',
				part: 'control',
				message: 'Withheld a call to a server: this peer no longer leads',
				fields: {group, server, leaderTerm, request: request.type},
			});
		}

		this.#dispatch({
			type: 'serverAnswered',
			now: this.#adapters.clock.now(),
			call: effect.call,
			answer,
		});
	}
}
