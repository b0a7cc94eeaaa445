/**
 * The operator of a plan, who changes the keys of customers one change at a time and sends each again
 * until a control peer accepts it. It knows which keys have been withdrawn since when.
 */
import type * as ids from '../../common/ids.js';
import type * as common from '../../common/types.js';
import type * as fleetTypes from '../fleet/fleet-types.js';
import type * as types from './types.js';

const retryDelayMs = 100;
/** A change that a silent control peer holds is sent to another one after this time. */
const answerTimeoutMs = 2000;

export class Operator {
	withdrawals = 0;
	limitChanges = 0;
	private readonly keysByCustomer: ReadonlyMap<
		ids.CustomerId,
		Set<ids.KeyDigest>
	>;

	private readonly limitsByCustomer: ReadonlyMap<
		ids.CustomerId,
		types.LimitPeriod[]
	>;

	/** Times since which no change with the key has been sent or is in force. */
	private readonly withdrawnAt = new Map<ids.KeyDigest, number>();
	private readonly queue: Array<() => void> = [];
	private version = 0;
	private isBusy = false;
	private attempt = 0;

	constructor(
		private readonly fleet: fleetTypes.ScenarioFleet,
		private readonly customers: readonly types.CustomerSpec[],
	) {
		this.keysByCustomer = new Map(
			customers.map(({customer, keys}) => [customer, new Set(keys)]),
		);
		this.limitsByCustomer = new Map(
			customers.map(({customer, ratePerS, burst}) => [
				customer,
				ratePerS === undefined
					? []
					: [{ratePerS, burst, from: 0, until: Infinity}],
			]),
		);
	}

	/** Number of changes that were not accepted yet. */
	get pendingCount(): number {
		return this.queue.length + Number(this.isBusy);
	}

	/** Puts the keys at the start of the plan in force. */
	start(): void {
		this.submit(() => undefined);
	}

	addKey(customer: ids.CustomerId, key: ids.KeyDigest): void {
		this.submit(() => {
			this.keysByCustomer.get(customer)!.add(key);
			this.withdrawnAt.delete(key);
		});
	}

	withdrawKey(customer: ids.CustomerId, key: ids.KeyDigest): void {
		this.submit(
			() => {
				this.keysByCustomer.get(customer)!.delete(key);
			},
			() => {
				this.withdrawals++;
				this.withdrawnAt.set(key, this.fleet.timeline.now);
			},
		);
	}

	changeLimit(customer: ids.CustomerId, ratePerS: number, burst: number): void {
		const limits = this.getLimits(customer);
		this.submit(
			() => {
				const from = this.fleet.timeline.now;
				limits.push({ratePerS, burst, from, until: Infinity});
			},
			() => {
				this.limitChanges++;
				limits.at(-2)!.until = this.fleet.timeline.now;
			},
		);
	}

	/** Returns the limits that a customer has had. */
	getLimits(customer: ids.CustomerId): types.LimitPeriod[] {
		return this.limitsByCustomer.get(customer)!;
	}

	/** Returns the time for which a key has been withdrawn; 0 while it may be in force. */
	computeWithdrawnTime(key: ids.KeyDigest): number {
		const {now} = this.fleet.timeline;
		return now - (this.withdrawnAt.get(key) ?? now);
	}

	private submit(
		change: () => void,
		handleAccepted: () => void = () => undefined,
	): void {
		this.queue.push(() => {
			change();
			this.version++;
			const text = this.buildText();
			this.send({version: this.version, text}, handleAccepted);
		});
		this.startNext();
	}

	private startNext(): void {
		if (!this.isBusy) {
			const next = this.queue.shift();
			this.isBusy = next !== undefined;
			next?.();
		}
	}

	private send(
		configuration: common.Configuration,
		handleAccepted: () => void,
	): void {
		const running = [...this.fleet.controls.values()].filter(
			({condition}) => condition === 'up',
		);
		const attempt = ++this.attempt;
		const retry = () => {
			if (attempt === this.attempt) {
				this.send(configuration, handleAccepted);
			}
		};

		this.fleet.timeline.schedule(answerTimeoutMs, retry);
		running[attempt % running.length]?.requestChange(
			{type: 'configuration', configuration},
			({type}) => {
				if (attempt !== this.attempt) {
					return;
				}

				if (type === 'accepted') {
					this.attempt++;
					handleAccepted();
					this.isBusy = false;
					this.startNext();
				} else {
					this.fleet.timeline.schedule(retryDelayMs, retry);
				}
			},
		);
	}

	private buildText(): string {
		return JSON.stringify(
			this.customers.map((spec) => ({
				...spec,
				ratePerS: this.getLimits(spec.customer).at(-1)?.ratePerS,
				burst: this.getLimits(spec.customer).at(-1)?.burst ?? 0,
				keys: [...this.keysByCustomer.get(spec.customer)!],
			})),
		);
	}
}

/** Reads the text of a configuration. */
export function parseCustomers(text: string): common.Customer[] {
	return (JSON.parse(text) as types.CustomerSpec[]).map((spec) => ({
		customer: spec.customer,
		keys: new Set(spec.keys),
		ratePerS: spec.ratePerS ?? Infinity,
		burst: spec.ratePerS === undefined ? Infinity : spec.burst,
	}));
}
