/**
 * The proxy reducer: takes every event of a proxy process and returns the effects that its adapters
 * carry out. It updates its own state in place. It is deterministic: equal configurations, seeds and
 * events give equal effects.
 */
import {assertNever} from '../assert-never.js';
import type * as ids from '../ids.js';
import type * as membershipService from '../membership/membership.js';
import * as packing from '../packing.js';
import type * as random from '../random.js';
import type * as types from '../types.js';
import * as allowanceClient from './allowance-client.js';
import * as callerAccess from './caller-access.js';
import * as candidates from './candidates.js';
import * as configurationClient from './configuration-client.js';
import * as context from './context.js';
import * as directory from './directory.js';
import * as drain from './drain.js';
import * as entry from './entry.js';
import * as proxyHealth from './health.js';
import * as leaseClient from './lease-client.js';
import * as operatorClient from './operator-client.js';
import * as owner from './owner.js';
import * as ownership from './ownership.js';
import * as peerMessages from './peer-messages.js';
import * as peerView from './peer-view.js';
import * as peerWatch from './peer-watch.js';
import * as poller from './poller.js';
import * as positionClient from './position-client.js';
import * as reportPublisher from './report-publisher.js';
import * as templateStore from './template-store.js';
import type * as proxy from './types.js';

const part = 'proxy';
/** Ticks are much closer, so a gap longer than this means that the process was frozen. */
const freezeThresholdMs = 1000;
/** Interval of the ticks while requests wait for a server. */
const waitingTickIntervalMs = 20;
/** Interval of the ticks while requests run, or while the proxy has no valid lease. */
const runningTickIntervalMs = 50;
/** Each tick wakes the process, which costs more than the tick while there is nothing to do. */
const idleTickIntervalMs = 100;

/** Policies and parsers that the driver supplies. */
export type ProxyServices = entry.EntryServices &
	owner.OwnerServices & {
		readonly parseTemplate: templateStore.TemplateParser;
		readonly parseConfiguration?: templateStore.ConfigurationParser;
		readonly packing?: types.TextPacking;
	};

export class ProxyReducer {
	readonly templates: templateStore.TemplateStore;
	readonly directory: directory.Directory;
	readonly owner: owner.Owner;
	readonly entry: entry.Entry;
	readonly membership: membershipService.Membership;
	readonly lease: leaseClient.LeaseClient;
	readonly access: callerAccess.CallerAccess;
	private readonly context: context.ProxyContext;
	private readonly peerView: peerView.PeerView;
	private readonly ownership: ownership.OwnershipManager;
	private readonly allowances: allowanceClient.AllowanceClient;
	private readonly positionClient: positionClient.PositionClient;
	private readonly candidates: candidates.CandidateList;
	private readonly reports: reportPublisher.ReportPublisher;
	private readonly poller: poller.Poller;
	private readonly drain: drain.DrainController;
	private readonly operators: operatorClient.OperatorClient;
	private readonly configurations: configurationClient.ConfigurationClient;
	private lastEventAt: number | undefined;
	private readonly health: proxyHealth.ProxyHealth;
	private readonly peerWatch: peerWatch.PeerWatch;
	private readonly peerMessages: peerMessages.PeerMessageHandler;

	constructor(
		config: context.ProxyConfig,
		services: ProxyServices,
		randomSource: random.RandomSource,
	) {
		this.context = new context.ProxyContext(config, randomSource);
		this.templates = new templateStore.TemplateStore(
			services.parseTemplate,
			services.parseConfiguration,
		);
		this.directory = new directory.Directory(this.context);
		this.peerView = new peerView.PeerView(
			this.context,
			this.directory,
			this.templates,
		);
		this.membership = this.peerView.membership;
		this.lease = new leaseClient.LeaseClient(this.context, {
			listOwnedServers: () =>
				this.ownership.listOwnedServers(this.lease.isValid(this.context.now)),
			listAnnouncements: () => this.directory.listUnconfirmed(),
			listTemplateVersions: () => this.templates.listVersions(),
			getConfigurationVersion: () => this.templates.configuration?.version ?? 0,
			listControlPeers: () => this.peerView.listControlPeers(),
			isDraining: () => this.drain.isDraining,
			buildAllowanceReport: () => this.allowances.buildReport(),
		});
		this.allowances = new allowanceClient.AllowanceClient(this.context, {
			getLimits: () => this.templates.getLimits(),
			countWaiting: (customer) => this.entry.rateLimiter.countWaiting(customer),
			getLeader: () => this.lease.getLeader(),
		});
		this.owner = new owner.Owner(
			this.context,
			this.directory,
			this.templates,
			this.lease,
			services,
		);
		this.ownership = new ownership.OwnershipManager(
			this.context,
			this.directory,
			this.owner,
		);
		this.positionClient = new positionClient.PositionClient(
			this.context,
			this.directory,
		);
		this.candidates = new candidates.CandidateList(
			this.context,
			this.directory,
			this.owner,
			this.membership,
		);
		this.reports = new reportPublisher.ReportPublisher(
			this.context,
			this.owner,
		);
		this.configurations = new configurationClient.ConfigurationClient(
			this.context,
			this.templates,
			this.lease,
			services.packing ?? packing.plainPacking,
		);
		this.access = new callerAccess.CallerAccess(
			this.context,
			this.templates,
			this.configurations,
		);
		this.entry = new entry.Entry(
			this.context,
			this.directory,
			this.templates,
			this.candidates,
			this.positionClient,
			this.access,
			this.allowances,
			services,
		);
		this.poller = new poller.Poller(
			this.context,
			this.directory,
			this.owner,
			this.lease,
			this.positionClient,
		);
		this.drain = new drain.DrainController(
			this.context,
			this.entry,
			this.owner,
			this.lease,
			() => {
				this.membership.leave();
			},
		);
		this.health = new proxyHealth.ProxyHealth(this.context, {
			lease: this.lease,
			membership: this.membership,
			isDraining: () => this.drain.isDraining,
			lacksRoutes: () =>
				services.parseConfiguration !== undefined &&
				this.templates.routes === undefined,
			refusesAllCallers: () => this.access.refusesAllCallers,
		});
		this.operators = new operatorClient.OperatorClient(
			this.context,
			this.lease,
		);
		this.peerWatch = new peerWatch.PeerWatch(this.context, [
			(startedBefore) => this.entry.listActiveOwners(startedBefore),
			(startedBefore) => this.owner.listActiveOrigins(startedBefore),
			() => this.health.listSampledPeers(),
		]);
		this.peerMessages = new peerMessages.PeerMessageHandler(this.context, {
			access: this.access,
			candidates: this.candidates,
			configurations: this.configurations,
			directory: this.directory,
			entry: this.entry,
			lease: this.lease,
			membership: this.membership,
			operators: this.operators,
			owner: this.owner,
			ownership: this.ownership,
			poller: this.poller,
			positionClient: this.positionClient,
			reports: this.reports,
			templates: this.templates,
		});
	}

	/** Time until the next tick, in ms. */
	get tickIntervalMs(): number {
		if (this.entry.pendingRequests.hasWaitingRequests()) {
			return waitingTickIntervalMs;
		}

		return this.entry.inFlight > 0 ||
			this.owner.hasRequests() ||
			!this.lease.isValid(this.context.now)
			? runningTickIntervalMs
			: idleTickIntervalMs;
	}

	/** Returns the effects that start the process, such as links to the control peers. */
	start(now: number): proxy.ProxyEffect[] {
		this.context.now = now;
		this.health.start(now);
		this.connectControlPeers();
		this.health.update();
		return this.context.takeEffects();
	}

	/** Handles one event and the messages that it sends to this proxy itself. */
	step(event: proxy.ProxyEvent): proxy.ProxyEffect[] {
		this.checkFreeze(event.now);
		this.context.now = event.now;
		this.handleEvent(event);
		for (
			let message = this.context.takeLoopback();
			message !== undefined;
			message = this.context.takeLoopback()
		) {
			this.peerMessages.handleMessage(this.context.config.peer, message);
		}

		this.drain.closeIdleSessions();
		return this.context.takeEffects();
	}

	private handleEvent(event: proxy.ProxyEvent): void {
		switch (event.type) {
			case 'tick': {
				this.handleTick();
				return;
			}

			case 'controlPeersChanged': {
				this.context.controlPeers = event.controlPeers;
				this.connectControlPeers();
				return;
			}

			case 'sessionOpened': {
				this.entry.openSession(
					event.session,
					event.attributes,
					this.checkSessionAcceptance(),
				);
				return;
			}

			case 'tokenSet': {
				this.entry.setToken(event.session, event.token);
				return;
			}

			case 'sessionClosed': {
				this.entry.closeSession(event.session);
				return;
			}

			case 'transactionAbandoned': {
				this.entry.abandonTransaction(event.session);
				return;
			}

			case 'requestArrived': {
				this.entry.handleRequest(event);
				return;
			}

			case 'relayStarted': {
				this.entry.handleRelayStarted(event.request, event.attempt);
				return;
			}

			case 'cancelRequested': {
				this.entry.handleCancel(event.session);
				return;
			}

			case 'peerMessage': {
				this.health.recordContact(event.now);
				this.peerMessages.handleMessage(event.from, event.message);
				return;
			}

			case 'peerLinkChanged': {
				this.handleLinkChange(event.peer, event.up);
				return;
			}

			case 'messageUnsent': {
				if (event.message.type === 'forwardRequest') {
					this.entry.handleUnsent(event.peer, event.message.attempt);
				}

				return;
			}

			case 'connectionOpened': {
				this.owner.handleConnectionOpened(event.connection);
				return;
			}

			case 'connectionClosed': {
				this.owner.handleConnectionClosed(event.connection, event.message);
				return;
			}

			case 'connectionReset': {
				this.owner.handleConnectionReset(event.connection);
				return;
			}

			case 'executionFinished': {
				this.handleExecutionFinished(event);
				return;
			}

			case 'pollAnswered': {
				this.handlePollAnswered(event);
				return;
			}

			case 'pollRefused': {
				this.poller.handleRefused(event.server);
				return;
			}

			case 'pollFailed': {
				this.poller.handleFailed(event.server);
				return;
			}

			case 'announcementReceived': {
				this.handleAnnouncement(event);
				return;
			}

			case 'templateChangeRequested': {
				this.operators.requestChange(event.operation, event.change);
				return;
			}

			case 'drainRequested': {
				this.drain.start();
				this.health.update();
				this.lease.sendRenewal();
				return;
			}

			default: {
				assertNever(event);
			}
		}
	}

	private connectControlPeers(): void {
		for (const {peer, address} of this.context.controlPeers) {
			this.context.emit({type: 'connectPeer', peer, address});
		}
	}

	private handleTick(): void {
		this.membership.handleTick(this.context.now);
		this.lease.handleTick();
		this.ownership.handleTick();
		this.positionClient.handleTick();
		this.poller.handleTick();
		this.owner.handleTick();
		this.entry.pendingRequests.handleTick();
		this.entry.rateLimiter.handleTick();
		this.candidates.handleTick(this.entry.listUsedGroups());
		this.reports.handleTick();
		this.operators.handleTick();
		this.configurations.handleTick();
		this.directory.expireAnnouncements();
		this.drain.handleTick();
		this.health.update();
		this.peerWatch.handleTick();
		if (this.health.isInMinorityPartition) {
			// Callers are served sooner through a proxy that is not in the minority partition.
			this.entry.pendingRequests.refuseUnroutableRequests(
				'the proxy is cut off from its peers',
			);
			this.entry.closeIdleSessions(false);
		}
	}

	private handleExecutionFinished(
		event: Extract<proxy.ProxyEvent, {type: 'executionFinished'}>,
	): void {
		const server = this.owner.findServerByConnection(event.connection);
		this.owner.handleExecutionFinished(event.connection, event.outcome);
		if (server) {
			this.poller.pollIfNeeded(server);
		}
	}

	private handlePollAnswered(
		event: Extract<proxy.ProxyEvent, {type: 'pollAnswered'}>,
	): void {
		const server = this.owner.servers.get(event.server);
		const wasWritable =
			server !== undefined && this.owner.rules.isWritable(server);
		this.poller.handleAnswered(event.server, event.sentAt, event.status);
		if (server && !wasWritable && this.owner.rules.isWritable(server)) {
			this.reports.sendReport(server);
			this.entry.pendingRequests.handleGroupChanged(server.group);
		}
	}

	private handleAnnouncement(
		event: Extract<proxy.ProxyEvent, {type: 'announcementReceived'}>,
	): void {
		const versioned = this.directory.addLocalAnnouncement(
			event.announcement,
			event.wallClock,
		);
		if (versioned) {
			this.membership.disseminate({
				type: 'announcement',
				announcement: versioned,
			});
			this.lease.sendRenewal();
		}
	}

	private handleLinkChange(peer: ids.PeerId, up: boolean): void {
		this.context.setLink(peer, up);
		if (up) {
			this.peerView.handleLinkUp(peer);
			return;
		}

		this.membership.handleLinkDown(peer, this.context.now);
		this.peerWatch.handleLinkDown(peer);
		this.candidates.handleLinkDown(peer);
		this.reports.handleLinkDown(peer);
		this.peerView.handleLinkDown(peer);
		this.lease.handleLinkDown(peer);
		this.configurations.handleLinkDown(peer);
		this.owner.handleLinkDown(peer);
		this.entry.handleLinkDown(peer);
	}

	private checkSessionAcceptance():
		{reason: types.RefusalReason; message: string} | undefined {
		if (this.drain.isRefusingSessions) {
			return {reason: 'draining', message: 'the proxy is shutting down'};
		}

		if (this.health.isIsolated) {
			return {
				reason: 'noServer',
				message: 'the proxy hears no other peer',
			};
		}

		return undefined;
	}

	private checkFreeze(now: number): void {
		const gap = now - (this.lastEventAt ?? now);
		this.lastEventAt = now;
		if (gap > freezeThresholdMs) {
			this.context.log(
				'warn',
				part,
				`The process did not run for ${Math.round(gap)} ms`,
			);
			this.entry.pendingRequests.handleFreeze();
		}
	}
}
