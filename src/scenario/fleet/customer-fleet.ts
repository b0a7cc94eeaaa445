/**
 * A small fleet whose one route needs keys of customers, for tests. A configuration is the JSON text of
 * the keys of each customer.
 */
import type * as ids from '../../common/ids.js';
import * as policyTesting from '../../common/policy/testing.js';
import type * as context from '../../common/proxy/context.js';
import type * as types from '../../common/types.js';
import * as smallFleet from './small-fleet.js';

/** The keys of each customer; a digest is as good as any text for the reducer. */
export type CustomerKeys = Readonly<Record<string, readonly string[]>>;

const settleMs = 1000;
/** Reads are served without control for this long, unless the key of their caller prevents it. */
const toleratedStalenessMs = 600_000;

export class CustomerFleet extends smallFleet.SmallFleet {
	private version = 0;

	constructor(
		proxyCount: number,
		keys: CustomerKeys,
		timing: Partial<context.ProxyTiming> = {},
	) {
		const parameters = {
			...policyTesting.buildParameters(),
			stalenessMs: toleratedStalenessMs,
		};
		super(proxyCount, parameters, timing, (text) =>
			buildUnlimitedRouteSet(JSON.parse(text) as CustomerKeys, parameters),
		);
		this.setKeys(keys);
		this.timeline.runUntil(this.timeline.now + settleMs);
	}

	/** Puts a configuration in force at control; proxies get it with their next renewals. */
	setKeys(keys: CustomerKeys): void {
		this.version++;
		this.control.configuration = {
			version: this.version,
			text: JSON.stringify(keys),
		};
	}

	openKeyedSession(proxyIndex: number, key: string): ids.SessionId {
		return this.openSession(proxyIndex, {key: key as ids.KeyDigest});
	}
}

function buildUnlimitedRouteSet(
	keys: CustomerKeys,
	parameters: types.TemplateParameters,
): types.RouteSet {
	return buildRouteSet(
		Object.entries(keys).map(([name, digests]) => ({
			customer: name as ids.CustomerId,
			keys: new Set(digests as readonly ids.KeyDigest[]),
			ratePerS: Infinity,
			burst: Infinity,
		})),
		parameters,
	);
}

/** Builds the routes of members, which need keys when there are customers. */
export function buildRouteSet(
	customers: readonly types.Customer[],
	parameters: types.TemplateParameters,
	members: readonly ids.MemberId[] = ['m' as ids.MemberId],
): types.RouteSet {
	return {
		members: new Map(
			members.map((member) => [
				member,
				{
					group: 'ledger' as ids.GroupId,
					parameters,
					isOpen: customers.length === 0,
				},
			]),
		),
		idleTransactionMs: Infinity,
		customers: new Map(
			customers.map((customer) => [customer.customer, customer]),
		),
		customerByKey: new Map(
			customers.flatMap((customer) =>
				[...customer.keys].map((key) => [key, customer.customer] as const),
			),
		),
	};
}
