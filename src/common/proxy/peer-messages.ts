/**
 * Messages of other peers to a proxy: passes each to the part of the reducer that it concerns, and takes
 * over what control grants.
 */
import {assertNever} from '../assert-never.js';
import type * as ids from '../ids.js';
import type * as membershipService from '../membership/membership.js';
import type * as messages from '../messages.js';
import type * as types from '../types.js';
import type * as callerAccess from './caller-access.js';
import type * as configurationClient from './configuration-client.js';
import type * as context from './context.js';
import type * as candidates from './candidates.js';
import type * as directory from './directory.js';
import type * as entry from './entry.js';
import type * as leaseClient from './lease-client.js';
import type * as operatorClient from './operator-client.js';
import type * as owner from './owner.js';
import type * as ownership from './ownership.js';
import type * as poller from './poller.js';
import type * as positionClient from './position-client.js';
import type * as reportPublisher from './report-publisher.js';
import type * as templateStore from './template-store.js';

const part = 'proxy';

/** The parts of the reducer that messages concern. */
export type MessageRecipients = {
	readonly access: callerAccess.CallerAccess;
	readonly candidates: candidates.CandidateList;
	readonly configurations: configurationClient.ConfigurationClient;
	readonly directory: directory.Directory;
	readonly entry: entry.Entry;
	readonly lease: leaseClient.LeaseClient;
	readonly membership: membershipService.Membership;
	readonly operators: operatorClient.OperatorClient;
	readonly owner: owner.Owner;
	readonly ownership: ownership.OwnershipManager;
	readonly poller: poller.Poller;
	readonly positionClient: positionClient.PositionClient;
	readonly reports: reportPublisher.ReportPublisher;
	readonly templates: templateStore.TemplateStore;
};

export class PeerMessageHandler {
	constructor(
		private readonly context: context.ProxyContext,
		private readonly parts: MessageRecipients,
	) {}

	handleMessage(from: ids.PeerId, message: messages.PeerMessage): void {
		switch (message.type) {
			case 'forwardRequest': {
				this.parts.owner.handleRequest(from, message);
				this.pollServerIfNeeded(message.server);
				return;
			}

			case 'forwardDone': {
				this.parts.entry.handleDone(from, message);
				return;
			}

			case 'forwardCancel': {
				this.parts.owner.handleCancel(from, message.attempt);
				return;
			}

			case 'forwardRelease': {
				this.parts.owner.handleRelease(from, message.session);
				return;
			}

			case 'forwardUnbound': {
				this.parts.entry.handleUnbound(from, message.session, message.binding);
				return;
			}

			case 'floorRequest': {
				this.parts.owner.handleFloorRequest(
					from,
					message.sequence,
					message.server,
				);
				this.pollServerIfNeeded(message.server);
				return;
			}

			case 'floorAnswer': {
				this.parts.positionClient.handleAnswer(
					message.sequence,
					message.position,
				);
				return;
			}

			case 'reportSubscribe': {
				this.parts.reports.handleSubscribe(from, message.group);
				return;
			}

			case 'serverReports': {
				this.handleReports(from, message.reports);
				return;
			}

			case 'leaseGranted': {
				this.handleGrant(from, message);
				return;
			}

			case 'allowanceGranted': {
				this.parts.entry.rateLimiter.handleGrant(message.grant);
				return;
			}

			case 'revokeLease': {
				this.parts.ownership.handleRevocation(from, message);
				return;
			}

			case 'notLeader': {
				this.parts.lease.handleNotLeader(message);
				return;
			}

			case 'leaderAnnounced': {
				this.parts.lease.handleLeader(from, message.term);
				return;
			}

			case 'templatePush': {
				this.mergeTemplate(message.template);
				return;
			}

			case 'templateFetch': {
				const template = this.parts.templates.getTemplate(message.member);
				if (template) {
					this.context.send(from, {type: 'templatePush', template});
				}

				return;
			}

			case 'configurationChanged': {
				this.parts.configurations.handleNotice(message);
				return;
			}

			case 'configurationPart': {
				this.parts.configurations.handlePart(from, message);
				return;
			}

			case 'configurationMissing': {
				this.parts.configurations.handleMissing(from, message);
				return;
			}

			case 'changeResult': {
				this.parts.operators.handleResult(message);
				return;
			}

			case 'ping':
			case 'pingRequest':
			case 'ack':
			case 'sync': {
				this.parts.membership.handleMessage(from, message, this.context.now);
				return;
			}

			case 'renewLease':
			case 'allowanceRequest':
			case 'leaseReleased':
			case 'proposeChange':
			case 'configurationFetch':
			case 'readConfiguration':
			case 'configurationRead':
			case 'preVote':
			case 'vote':
			case 'preVoteReply':
			case 'voteReply':
			case 'append':
			case 'appendReply':
			case 'installSnapshot':
			case 'joinRequest':
			case 'joinReply': {
				this.context.log(
					'warn',
					part,
					`Ignored an unexpected ${message.type} message from ${from}`,
				);
				return;
			}

			case 'hello':
			case 'linkPing':
			case 'linkPong':
			case 'forwardChunk': {
				// The adapters handle these messages.
				return;
			}

			default: {
				assertNever(message);
			}
		}
	}

	private handleReports(
		from: ids.PeerId,
		reports: readonly messages.ServerReport[],
	): void {
		for (const report of reports) {
			this.parts.directory.addReports(from, [report]);
			this.parts.candidates.placedWork.recordNews(report.server);
			this.parts.entry.pendingRequests.handleGroupChanged(report.group);
		}
	}

	private handleGrant(
		from: ids.PeerId,
		grant: Extract<messages.ControlMessage, {type: 'leaseGranted'}>,
	): void {
		if (grant.allowances) {
			// The report and its answer have an order of their own.
			this.parts.entry.rateLimiter.handleGrant(grant.allowances);
		}

		if (
			grant.appliedIndex < this.parts.lease.knownIndex ||
			this.parts.lease.isOutdated(grant)
		) {
			return;
		}

		const isNewLeader = this.parts.lease.handleGrant(from, grant);
		this.parts.lease.knownIndex = grant.appliedIndex;
		const changedGroups = this.parts.directory.applyGrant(grant);
		for (const [server, version] of grant.confirmed) {
			this.parts.directory.confirmAnnouncement(server, version);
		}

		for (const template of grant.templates) {
			this.mergeTemplate(template);
		}

		if (grant.configuration) {
			this.parts.configurations.handleNotice(grant.configuration);
		}

		this.parts.access.recordGrant(grant, this.parts.lease.answeredRenewalAt);
		this.parts.ownership.applyGrants(from, grant.owned);
		for (const server of this.parts.owner.servers.values()) {
			this.parts.owner.dispatcher.dispatchRequests(server);
		}

		for (const view of changedGroups) {
			this.parts.entry.pendingRequests.handleGroupChanged(view.group);
		}

		if (isNewLeader) {
			// A new leader waits for the claims of this proxy, so they are sent at once.
			this.parts.lease.sendRenewal();
		}
	}

	private mergeTemplate(template: types.Template): void {
		if (!this.parts.templates.mergeTemplate(template)) {
			return;
		}

		this.context.count('templateUpdates');
		this.parts.membership.disseminate({
			type: 'templateVersion',
			member: template.member,
			version: template.version,
		});
	}

	private pollServerIfNeeded(id: ids.UpstreamId): void {
		const server = this.parts.owner.servers.get(id);
		if (server) {
			this.parts.poller.pollIfNeeded(server);
		}
	}
}
