/**
 * The proxy's side of the customers' rate limits: holds the tokens that the control leader granted,
 * reports what was used of them, and asks for more. Reports travel with lease renewals; while requests
 * wait, they are sent at once.
 */
import type * as ids from '../ids.js';
import type * as messages from '../messages.js';
import type * as customerLimits from '../policy/customer-limits.js';
import * as rateBound from '../policy/rate-bound.js';
import * as tokenStock from '../policy/token-stock.js';
import * as random from '../random.js';
import type * as context from './context.js';

/** A request to the leader is sent again after this time without an answer. */
const requestTimeoutMs = 250;
/** Interval of the requests while a bucket is empty; the leader serves earlier ones by itself. */
const emptyRetryMs = 200;
/** The leader's word that a bucket is empty holds for this long. */
const emptyMemoryMs = 500;
/** The bucket of a new leader is empty although the customer may be below its limit. */
const recoveryMs = 3000;
const sequenceRetentionMs = 5000;

type ReportEntry = messages.AllowanceReport['customers'][number];

type CustomerState = {
	readonly stock: tokenStock.TokenStock;
	/** The entry of the last report that had one, until the leader has confirmed it. */
	unconfirmed: {entry: ReportEntry; sequence: number} | undefined;
	confirmed: ReportEntry | undefined;
	/** When the next token is expected and until when this is believed; set by the leader. */
	empty: {nextTokenAt: number; until: number} | undefined;
	/** Tokens granted since the last reading of the counters. */
	newlyGranted: number;
	newlyUsed: number;
};

export type AllowanceSource = {
	getLimits(): customerLimits.LimitMap;
	/** Number of requests of a customer that wait for a token. */
	countWaiting(customer: ids.CustomerId): number;
	getLeader(): ids.PeerId | undefined;
};

export class AllowanceClient {
	private readonly states = new Map<ids.CustomerId, CustomerState>();
	private stream: messages.AllowanceStream | undefined;
	/** Monotonic time at which the tokens of the stream expire. */
	private expiresAt = 0;
	private streamStartedAt = Number.NEGATIVE_INFINITY;
	private received = 0;
	private sequence: number;
	private readonly sentAtBySequence = new Map<number, number>();
	private requestSentAt = Number.NEGATIVE_INFINITY;
	private requestSequence: number | undefined;
	/** Time of the first request since the leader last answered. */
	private unansweredSince: number | undefined;

	constructor(
		private readonly context: context.ProxyContext,
		private readonly source: AllowanceSource,
	) {
		this.sequence = random.drawSequenceStart(context.random);
	}

	/** Returns whether the operations of a customer are limited. */
	isLimited(customer: ids.CustomerId): boolean {
		const ratePerS = this.source.getLimits().get(customer)?.ratePerS;
		return ratePerS !== undefined && Number.isFinite(ratePerS);
	}

	recordDemand(customer: ids.CustomerId): void {
		this.ensureState(customer).stock.recordDemand(this.context.now);
	}

	/** Uses a token of the customer; false when there is none. */
	tryTake(customer: ids.CustomerId): boolean {
		const state = this.ensureState(customer);
		const isTaken = state.stock.tryTake(this.context.now, this.expiresAt);
		state.newlyUsed += Number(isTaken);
		return isTaken;
	}

	readUsePerS(customer: ids.CustomerId): number {
		return this.states.get(customer)?.stock.readUsePerS(this.context.now) ?? 0;
	}

	/** Returns the time until the next token when the customer is at its limit, in ms. */
	findEmptyWait(customer: ids.CustomerId): number | undefined {
		const {now} = this.context;
		const empty = this.states.get(customer)?.empty;
		return empty &&
			now < empty.until &&
			now - this.streamStartedAt >= recoveryMs
			? Math.max(0, empty.nextTokenAt - now)
			: undefined;
	}

	/** Returns the time for which the leader has left requests unanswered, in ms. */
	computeSilence(): number {
		return this.context.now - (this.unansweredSince ?? this.context.now);
	}

	/** Builds the report for a renewal; undefined when there is nothing to report or to extend. */
	buildReport(): messages.AllowanceReport | undefined {
		const {now} = this.context;
		this.removeUnlimited();
		const entries: ReportEntry[] = [];
		let isHolding = false;
		for (const [customer, state] of this.states) {
			const {stock} = state;
			stock.returnExcess(now);
			isHolding ||= stock.held > 0;
			const entry: ReportEntry = [
				customer,
				stock.spent,
				stock.returned,
				this.source.countWaiting(customer),
				stock.computeTarget(now),
			];
			if (hasChanged(state.unconfirmed?.entry ?? state.confirmed, entry)) {
				state.unconfirmed = {entry, sequence: this.sequence + 1};
			}

			if (state.unconfirmed) {
				entries.push(entry);
			}
		}

		if (!isHolding && entries.length === 0) {
			return undefined;
		}

		this.sequence++;
		this.sentAtBySequence.set(this.sequence, now);
		this.removeOldSequences();
		return {
			sequence: this.sequence,
			received: this.received,
			...(this.stream ? {stream: this.stream} : {}),
			customers: entries,
		};
	}

	/** Asks the leader for tokens at once when requests wait that may get some. */
	requestIfNeeded(): void {
		const {now} = this.context;
		if (
			this.requestSequence !== undefined &&
			now - this.requestSentAt < requestTimeoutMs
		) {
			return;
		}

		const mayGetTokens = [...this.states].some(
			([customer, {empty}]) =>
				(!empty || now >= Math.min(empty.until, empty.nextTokenAt)) &&
				this.source.countWaiting(customer) > 0,
		);
		if (mayGetTokens) {
			this.unansweredSince ??= now;
		}

		const leader = mayGetTokens ? this.source.getLeader() : undefined;
		const report = leader === undefined ? undefined : this.buildReport();
		if (leader === undefined || !report) {
			return;
		}

		this.requestSentAt = now;
		this.requestSequence = report.sequence;
		this.context.send(leader, {
			type: 'allowanceRequest',
			incarnation: this.context.config.incarnation,
			report,
		});
	}

	/** Takes over a grant; returns the customers that it names. */
	handleGrant(grant: messages.AllowanceGrant): ids.CustomerId[] {
		const {now} = this.context;
		const sentAt = this.sentAtBySequence.get(grant.sequence);
		const order = this.stream ? compareStreams(grant.stream, this.stream) : 1;
		if (sentAt === undefined || order < 0) {
			return [];
		}

		if (order > 0) {
			for (const state of this.states.values()) {
				state.stock.startStream(this.expiresAt);
				state.confirmed = undefined;
				state.unconfirmed = undefined;
			}

			this.stream = grant.stream;
			this.streamStartedAt = now;
			this.expiresAt = 0;
			this.received = 0;
		}

		if (this.requestSequence !== undefined) {
			this.requestSequence =
				grant.sequence >= this.requestSequence
					? undefined
					: this.requestSequence;
		}

		this.unansweredSince = undefined;
		this.received = Math.max(this.received, grant.number);
		this.expiresAt = Math.max(
			this.expiresAt,
			sentAt + rateBound.holderValidityMs,
		);
		for (const state of this.states.values()) {
			if (state.unconfirmed && state.unconfirmed.sequence <= grant.sequence) {
				state.confirmed = state.unconfirmed.entry;
				state.unconfirmed = undefined;
			}
		}

		for (const [customer, granted, waitMs] of grant.customers) {
			const state = this.ensureState(customer);
			const added = Math.max(0, granted - state.stock.granted);
			state.stock.granted += added;
			state.newlyGranted += added;
			state.empty =
				waitMs > 0
					? {
							nextTokenAt: now + Math.max(waitMs, emptyRetryMs),
							until: now + emptyMemoryMs,
						}
					: undefined;
		}

		return grant.customers.map(([customer]) => customer);
	}

	/** Returns what each customer was granted and has used since the last call. */
	takeCounts(): Array<{
		customer: ids.CustomerId;
		granted: number;
		used: number;
	}> {
		const counts = [...this.states].flatMap(([customer, state]) =>
			state.newlyGranted + state.newlyUsed > 0
				? [{customer, granted: state.newlyGranted, used: state.newlyUsed}]
				: [],
		);
		for (const state of this.states.values()) {
			state.newlyGranted = 0;
			state.newlyUsed = 0;
		}

		return counts;
	}

	private ensureState(customer: ids.CustomerId): CustomerState {
		let state = this.states.get(customer);
		if (!state) {
			state = {
				stock: new tokenStock.TokenStock(),
				unconfirmed: undefined,
				confirmed: undefined,
				empty: undefined,
				newlyGranted: 0,
				newlyUsed: 0,
			};
			this.states.set(customer, state);
		}

		return state;
	}

	/** Forgets customers without a limit once nothing is held of them. */
	private removeUnlimited(): void {
		for (const [customer, {stock}] of this.states) {
			if (stock.held === 0 && !this.isLimited(customer)) {
				this.states.delete(customer);
			}
		}
	}

	private removeOldSequences(): void {
		for (const [sequence, sentAt] of this.sentAtBySequence) {
			if (this.context.now - sentAt > sequenceRetentionMs) {
				this.sentAtBySequence.delete(sequence);
			}
		}
	}
}

function hasChanged(
	known: ReportEntry | undefined,
	entry: ReportEntry,
): boolean {
	return known
		? entry.some((value, index) => value !== known[index])
		: entry.some((value, index) => index > 0 && value !== 0);
}

function compareStreams(
	left: messages.AllowanceStream,
	right: messages.AllowanceStream,
): number {
	return left[0] - right[0] || left[1] - right[1];
}
