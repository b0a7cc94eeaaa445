/**
 * An in-memory database server that acknowledges commits itself, once n replicas have received them. It
 * has no fence. A promotion is requested from the platform and takes effect later, with the records that
 * the server holds by then. The old primary continues until control tells it of the new term, or until
 * it could reach the new primary for a second; servers that were ahead are rolled back.
 */
import * as promotion from '../../common/control/promotion.js';
import type * as control from '../../common/control/types.js';
import type * as ids from '../../common/ids.js';
import type * as types from '../../common/types.js';
import * as fakeServer from './fake-server.js';
import type * as timeline from './timeline.js';

/** Time from the request of a promotion until it takes effect, in ms. */
const promotionDelayMs = 300;
/** A server that is not primary yet is asked again after this time, in ms. */
const retryIntervalMs = 40;
/** A call without a final answer fails after this time, in ms. */
const callTimeoutMs = 1400;
/** An old primary that reaches the new one for this long becomes its replica, in ms. */
const demotionDelayMs = 1000;

export class SelfAcknowledgingServer extends fakeServer.FakeServer {
	override readonly synchronousReplicas: number;
	/** All servers of the group, this one included. */
	peers: readonly SelfAcknowledgingServer[] = [];
	private reachesNewPrimarySince: number | undefined;

	constructor(
		id: ids.UpstreamId,
		group: ids.GroupId,
		dataCentre: ids.DataCentre,
		timeline: timeline.Timeline,
		synchronousReplicas: number,
	) {
		super(id, group, dataCentre, timeline);
		this.synchronousReplicas = synchronousReplicas;
		this.announcedSynchronousReplicas = synchronousReplicas;
	}

	override readStatus(): types.UpstreamStatus {
		return {
			...super.readStatus(),
			receivedTerm: this.log.at(-1)?.term ?? this.term,
			logTerm: this.appliedPosition.term,
			replicas: [],
		};
	}

	override isAcknowledged(offset: number): boolean {
		const receivers = [...this.replicaPositions.values()].filter(
			(position) => position >= offset,
		);
		return (
			this.role === 'primary' && receivers.length >= this.synchronousReplicas
		);
	}

	/** Asks the platform for a promotion; false when the server is not running. */
	requestPromotion(handlePromotion: (server: ids.UpstreamId) => void): boolean {
		if (this.isDown) {
			return false;
		}

		if (this !== this.findNewestPrimary()) {
			this.timeline.schedule(promotionDelayMs, () => {
				if (!this.isDown && this !== this.findNewestPrimary()) {
					this.beginTerm(Math.max(...this.peers.map(({term}) => term)) + 1);
					handlePromotion(this.id);
				}
			});
		}

		return true;
	}

	/** Runs a call of control that reaches this server; `canReach` tells whether later attempts do. */
	runCall(
		request: control.ServerRequest,
		canReach: () => boolean,
		answer: (answer: control.ServerAnswer) => void,
		deadline: number = this.timeline.now + callTimeoutMs,
	): void {
		const canAnswer = this.isRunning && canReach();
		const isDone =
			canAnswer && (request.type !== 'promote' || this.role === 'primary');
		if (!isDone && this.timeline.now < deadline) {
			this.timeline.schedule(retryIntervalMs, () => {
				this.runCall(request, canReach, answer, deadline);
			});
			return;
		}

		if (!isDone) {
			answer({type: 'failed', message: 'no answer in time'});
			return;
		}

		if (
			request.type === 'follow' &&
			this.role === 'primary' &&
			this.term < request.term
		) {
			this.becomeReplica();
		}

		answer({type: 'answered', status: this.readStatus()});
	}

	/** Follows the primary of the newest term that it reaches, and receives from it. */
	protected override replicate(): void {
		const source = this.peers
			.filter(
				(other) =>
					other !== this &&
					other.isRunning &&
					other.role === 'primary' &&
					other.term >= this.term &&
					other.isReachableFrom(this.id) &&
					this.isReachableFrom(other.id),
			)
			.sort((left, right) => right.term - left.term)
			.at(0);
		if (!source || !this.isRunning) {
			return;
		}

		if (this.role === 'primary') {
			this.reachesNewPrimarySince ??= this.timeline.now;
			if (this.timeline.now - this.reachesNewPrimarySince >= demotionDelayMs) {
				this.becomeReplica();
			}

			return;
		}

		if (source.term > this.term || this.source !== source) {
			this.follow(source.term, source);
		}

		super.replicate();
	}

	private findNewestPrimary(): SelfAcknowledgingServer | undefined {
		return this.peers
			.filter(({role}) => role === 'primary')
			.sort((left, right) => right.term - left.term)
			.at(0);
	}

	private becomeReplica(): void {
		this.role = 'replica';
		this.source = undefined;
		this.reachesNewPrimarySince = undefined;
		this.abortTransactions();
	}
}

/** Answer of the platform when the server that is to lead is not running. */
export const refusedPromotion: control.ServerAnswer = {
	type: 'failed',
	sqlState: promotion.promotionRefusedSqlState,
	message: 'the server is not running',
};
