/**
 * Decides as which customer the requests of a session run. Each request is checked against the
 * configuration in force, because a key may have been added, withdrawn or moved to another customer, and
 * a route may have become open or closed, since the session was opened.
 */
import type * as ids from '../ids.js';
import type * as types from '../types.js';
import type * as context from './context.js';
import type * as entryState from './entry-state.js';
import type * as templateStore from './template-store.js';

/** Why a caller is refused. */
export type AccessProblem = {
	readonly reason: types.RefusalReason;
	readonly message: string;
};

export type Identification =
	| {
			readonly type: 'accepted';
			/** Undefined on an open route whose caller presented no known key. */
			readonly customer: ids.CustomerId | undefined;
	  }
	| ({readonly type: 'refused'} & AccessProblem);

export class CallerAccess {
	constructor(
		private readonly context: context.ProxyContext,
		private readonly templates: templateStore.TemplateStore,
	) {}

	/** Identifies the customer that holds a key, on the route of a member. */
	identifyCustomer(
		member: ids.MemberId,
		key: ids.KeyDigest | undefined,
	): Identification {
		const {isOpen, customerByKey} = this.templates.getAccess(member);
		const customer = key === undefined ? undefined : customerByKey.get(key);
		if (customer === undefined && !isOpen) {
			this.context.count('unknownKeys');
			return {
				type: 'refused',
				reason: 'unknownKey',
				message: 'the key belongs to no customer',
			};
		}

		return {type: 'accepted', customer};
	}

	/**
	 * Identifies the customer of a request and records it in the session. A transaction stays with the
	 * customer that began it, and ends when the key is no longer that customer's. One that began without
	 * a customer goes on, because a change of the route applies from the next transaction.
	 */
	updateCustomer(session: entryState.Session): AccessProblem | undefined {
		const isInTransaction = session.binding?.inTransaction === true;
		if (isInTransaction && session.customer === undefined) {
			return undefined;
		}

		const identification = this.identifyCustomer(session.member, session.key);
		if (identification.type === 'refused') {
			return identification;
		}

		const {customer} = identification;
		if (session.binding && customer !== session.customer) {
			return {
				reason: 'unknownKey',
				message: 'the key no longer belongs to the customer of the transaction',
			};
		}

		session.customer = customer;
		return undefined;
	}
}
