/**
 * Asks the owner of a group's primary for the current position. At most one request per group is in
 * flight; everyone who asked before it was sent shares its answer. The position was read after the
 * request was sent, so every commit before the send time lies at or below it.
 */
import type * as ids from '../ids.js';
import * as random from '../random.js';
import type * as types from '../types.js';
import type * as context from './context.js';
import type * as directory from './directory.js';

/** A request without an answer fails after this time. */
const answerTimeoutMs = 250;

/** The position of the primary at some time after `sentAt`. */
export type PositionReading = {
	readonly sentAt: number;
	readonly position: types.Position;
};

type GroupRequests = {
	sequence: number;
	sentAt: number | undefined;
	inFlight: Array<(reading: PositionReading | undefined) => void>;
	pending: Array<(reading: PositionReading | undefined) => void>;
};

export class PositionClient {
	private sequence: number;
	private readonly groups = new Map<ids.GroupId, GroupRequests>();
	private readonly groupsBySequence = new Map<number, ids.GroupId>();

	constructor(
		private readonly context: context.ProxyContext,
		private readonly directory: directory.Directory,
	) {
		this.sequence = random.drawSequenceStart(context.random);
	}

	/** Calls back once, with `undefined` when the position cannot be read now. */
	requestPosition(
		group: ids.GroupId,
		callback: (reading: PositionReading | undefined) => void,
	): void {
		let requests = this.groups.get(group);
		if (!requests) {
			requests = {sequence: 0, sentAt: undefined, inFlight: [], pending: []};
			this.groups.set(group, requests);
		}

		requests.pending.push(callback);
		if (requests.sentAt === undefined) {
			this.sendRequest(group, requests);
		}
	}

	handleAnswer(sequence: number, position: types.Position | undefined): void {
		const group = this.groupsBySequence.get(sequence);
		this.groupsBySequence.delete(sequence);
		const requests = group === undefined ? undefined : this.groups.get(group);
		if (
			group === undefined ||
			requests?.sentAt === undefined ||
			requests.sequence !== sequence
		) {
			return;
		}

		this.finishRequest(group, requests, position);
	}

	handleTick(): void {
		for (const [group, requests] of this.groups) {
			if (
				requests.sentAt !== undefined &&
				this.context.now - requests.sentAt > answerTimeoutMs
			) {
				this.groupsBySequence.delete(requests.sequence);
				this.finishRequest(group, requests, undefined);
			}
		}
	}

	private sendRequest(group: ids.GroupId, requests: GroupRequests): void {
		const primary = this.directory.groups.get(group)?.primary;
		const owner =
			primary === undefined ? undefined : this.directory.owners.get(primary);
		requests.inFlight = requests.pending;
		requests.pending = [];
		if (primary === undefined || owner === undefined) {
			this.finishRequest(group, requests, undefined);
			return;
		}

		this.sequence++;
		requests.sequence = this.sequence;
		requests.sentAt = this.context.now;
		this.groupsBySequence.set(this.sequence, group);
		const sent = this.context.send(owner, {
			type: 'floorRequest',
			sequence: this.sequence,
			group,
			server: primary,
		});
		if (!sent) {
			this.groupsBySequence.delete(this.sequence);
			this.finishRequest(group, requests, undefined);
		}
	}

	private finishRequest(
		group: ids.GroupId,
		requests: GroupRequests,
		position: types.Position | undefined,
	): void {
		const callbacks = requests.inFlight;
		const reading =
			position === undefined || requests.sentAt === undefined
				? undefined
				: {sentAt: requests.sentAt, position};
		requests.inFlight = [];
		requests.sentAt = undefined;
		for (const callback of callbacks) {
			callback(reading);
		}

		if (requests.pending.length > 0 && reading !== undefined) {
			this.sendRequest(group, requests);
		} else if (requests.pending.length > 0 && requests.sentAt === undefined) {
			// Pending requests fail at once too, so that each requester retries on its own schedule.
			const pending = requests.pending.splice(0);
			for (const callback of pending) {
				callback(undefined);
			}
		}
	}
}
