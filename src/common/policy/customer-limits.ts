/**
 * The rate limits of customers that several templates may name. A customer has one limit for all members:
 * the lowest rate and the lowest burst that any template gives it, so that no template is exceeded and
 * lowering one takes effect whatever the others say. A template without a rate for the customer neither
 * limits it nor lifts the limit of another one.
 */
import type * as ids from '../ids.js';
import type * as types from '../types.js';

/** The limit of a customer over all proxies. */
export type CustomerLimit = Pick<
	types.Customer,
	'customer' | 'ratePerS' | 'burst'
>;

export type LimitMap = ReadonlyMap<ids.CustomerId, CustomerLimit>;

/** The limits of the templates of all members. */
export class CustomerLimits {
	private readonly byMember = new Map<ids.MemberId, readonly CustomerLimit[]>();

	/** Undefined until it is needed after a change. */
	private merged: LimitMap | undefined;

	/** Replaces the limits of one template. */
	setMember(member: ids.MemberId, customers: Iterable<CustomerLimit>): void {
		const limits = [...customers].filter(({ratePerS}) =>
			Number.isFinite(ratePerS),
		);
		if (limits.length === 0) {
			if (this.byMember.delete(member)) {
				this.merged = undefined;
			}

			return;
		}

		this.byMember.set(member, limits);
		this.merged = undefined;
	}

	/** Returns the customers that have a limit. */
	getLimits(): LimitMap {
		this.merged ??= mergeLimits([...this.byMember.values()].flat());
		return this.merged;
	}
}

function mergeLimits(limits: Iterable<CustomerLimit>): LimitMap {
	const merged = new Map<ids.CustomerId, CustomerLimit>();
	for (const {customer, ratePerS, burst} of limits) {
		const known = merged.get(customer);
		merged.set(customer, {
			customer,
			ratePerS: Math.min(ratePerS, known?.ratePerS ?? Infinity),
			burst: Math.min(burst, known?.burst ?? Infinity),
		});
	}

	return merged;
}
