/**
 * Which requests a server may run now: writes need a valid write lease, reads need data that is
 * fresh enough for the session and for the tolerated staleness.
 */
import {assertNever} from '../assert-never.js';
import * as positions from '../position.js';
import type * as types from '../types.js';
import type * as context from './context.js';
import type * as directory from './directory.js';
import type * as leaseClient from './lease-client.js';
import * as owned from './owned-server.js';
import type * as proxy from './types.js';

/** Time from the announcement of a server's departure until it gets no new reads. */
const departureGraceMs = 3000;

export class ServingRules {
	constructor(
		private readonly context: context.ProxyContext,
		private readonly directory: directory.Directory,
		private readonly lease: leaseClient.LeaseClient,
	) {}

	/** True once a departing server must not get new work of a kind. */
	hasDeparted(server: owned.OwnedServer, kind: 'read' | 'write'): boolean {
		const limitMs =
			kind === 'read'
				? departureGraceMs
				: this.context.timing.departingPrimaryLimitMs;
		return (
			server.departureAnnouncedAt !== undefined &&
			this.context.now - server.departureAnnouncedAt > limitMs
		);
	}

	/** True while no other proxy can send writes to the group or acknowledge them. */
	hasWriteLease(server: owned.OwnedServer): boolean {
		return (
			server.writeTerm !== undefined && this.lease.isValid(this.context.now)
		);
	}

	/**
	 * True while every acknowledged commit of the group is at or below the position that this proxy
	 * has seen: commits of the term are acknowledged through this proxy, after it received their
	 * positions with the answers. This also holds while the primary does not answer, so that replicas
	 * stay usable.
	 */
	hasLatestPosition(server: owned.OwnedServer): boolean {
		return (
			this.hasWriteLease(server) &&
			server.status?.role === 'primary' &&
			server.status.term === server.writeTerm
		);
	}

	/** True while this proxy may send writes to the server and acknowledge them. */
	isWritable(server: owned.OwnedServer): boolean {
		return (
			this.hasLatestPosition(server) &&
			server.writeReleaseStartedAt === undefined &&
			!this.hasDeparted(server, 'write') &&
			!server.isUnreachable
		);
	}

	/** Upper bound of the staleness of reads on the server now, in ms. */
	computeStaleness(server: owned.OwnedServer): number {
		const {now} = this.context;
		if (
			server.writeTerm !== undefined &&
			server.status?.role === 'primary' &&
			server.status.term === server.writeTerm
		) {
			return Math.max(0, now - this.lease.expiresAt);
		}

		return server.stalenessTracker.computeStaleness(now);
	}

	/** Returns why the server cannot run the request now, or undefined when it can. */
	checkServable(
		server: owned.OwnedServer,
		ownerRequest: owned.OwnerRequest,
	): types.RefusalReason | undefined {
		const {request} = ownerRequest;
		if (server.isUnreachable) {
			return 'noServer';
		}

		if (request.kind !== 'read' && request.kind !== 'beginReadOnly') {
			if (!this.isWritable(server)) {
				return 'noPrimary';
			}

			return this.checkBinding(server, request.kind);
		}

		if (this.hasDeparted(server, 'read')) {
			return 'noServer';
		}

		const applied = server.getAppliedPosition();
		if (!applied) {
			return 'tooStale';
		}

		const view = this.directory.groups.get(server.group);
		const floor = request.floor && positions.capFloor(request.floor, view);
		if (
			floor &&
			!positions.isFloorReached(floor, applied, view?.termStart ?? Infinity)
		) {
			return 'tooStale';
		}

		if (this.computeStaleness(server) > request.stalenessMs) {
			return 'tooStale';
		}

		return this.checkBinding(server, request.kind);
	}

	/** Returns why a session may not keep a connection of the server, or undefined when it may. */
	private checkBinding(
		server: owned.OwnedServer,
		kind: proxy.RequestKind,
	): types.RefusalReason | undefined {
		if (!owned.needsConnection(kind)) {
			return undefined;
		}

		if (server.ownershipReleaseRequestedAt !== undefined) {
			return 'noServer';
		}

		// Running requests count too: those that begin together would take all connections.
		return server.countHeldConnections() >= server.boundLimit
			? 'queueFull'
			: undefined;
	}
}

/** Describes in a sentence why a server cannot run a request. */
export function describeRefusal(reason: types.RefusalReason): string {
	switch (reason) {
		case 'noPrimary': {
			return 'no primary accepts writes at present';
		}

		case 'tooStale': {
			return 'the data of the server is too old for the request';
		}

		case 'deadline': {
			return 'the deadline has passed';
		}

		case 'queueFull': {
			return 'too many sessions hold connections of the server';
		}

		case 'draining':
		case 'noServer':
		case 'memberLimit':
		case 'keyUsed':
		case 'noTemplate':
		case 'unknownKey':
		case 'rateLimit':
		case 'readOnlyServer':
		case 'cancelled': {
			return 'the request cannot be served';
		}

		default: {
			return assertNever(reason);
		}
	}
}
