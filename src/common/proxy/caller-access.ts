/**
 * Decides as which customer the requests of a session run. Each request is checked against the
 * configuration in force, because a key may have been added, withdrawn or moved to another customer, and
 * a route may have become open or closed, since the session was opened.
 *
 * A proxy that is out of touch with control cannot know whether a key was withdrawn. It accepts keys only
 * for `keyConfirmationLimitMs` after the control leader has confirmed that no newer configuration is
 * committed. The confirmation dates from the time at which the renewal that it answers was sent, so
 * whatever was acknowledged to an operator before is in force. The clock includes the time in which the
 * process or its VM did not run.
 *
 * The same confirmation decides whether a member without a route is called unknown. A proxy that cannot
 * know refuses the caller as not served here, so that it tries another proxy.
 */
import type * as ids from '../ids.js';
import type * as messages from '../messages.js';
import type * as types from '../types.js';
import type * as configurationClient from './configuration-client.js';
import type * as context from './context.js';
import type * as entryState from './entry-state.js';
import type * as templateStore from './template-store.js';

const part = 'access';

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

/**
 * What a proxy knows about the route of a member: it has one, it has none, a newer configuration that
 * may contain it is under way, or the proxy has been out of touch with control for too long to know.
 */
export type RouteState = 'present' | 'absent' | 'pending' | 'unconfirmed';

export class CallerAccess {
	/** Monotonic time from which the configuration in force is known to be the newest. */
	private confirmedAt = Number.NEGATIVE_INFINITY;
	private isRefusingKeys = false;

	constructor(
		private readonly context: context.ProxyContext,
		private readonly templates: templateStore.TemplateStore,
		private readonly configurations: Pick<
			configurationClient.ConfigurationClient,
			'delayMs'
		>,
	) {}

	/** True while a withdrawal of a key would be known here, or is too recent to matter. */
	get canConfirmKeys(): boolean {
		return (
			this.context.now - this.confirmedAt <
			this.context.timing.keyConfirmationLimitMs
		);
	}

	/** True while every request needs a key and none is accepted. */
	get refusesAllCallers(): boolean {
		return !this.canConfirmKeys && !this.templates.hasOpenRoutes();
	}

	/** Tells what this proxy knows about the route of a member. */
	findRouteState(member: ids.MemberId): RouteState {
		if (this.templates.getParameters(member)) {
			return 'present';
		}

		const isUnderWay =
			this.confirmedAt === Number.NEGATIVE_INFINITY ||
			this.configurations.delayMs > 0;
		if (isUnderWay) {
			return 'pending';
		}

		const ageMs = this.context.now - this.confirmedAt;
		return ageMs < this.context.timing.routeConfirmationLimitMs
			? 'absent'
			: 'unconfirmed';
	}

	/**
	 * Returns why a request of a member cannot be routed; undefined when it can. Requests of a
	 * transaction keep the route with which it began.
	 */
	findRouteProblem(member: ids.MemberId): AccessProblem | undefined {
		switch (this.findRouteState(member)) {
			case 'absent': {
				return {
					reason: 'noTemplate',
					message: `member "${member.slice(0, 64)}" has no template`,
				};
			}

			case 'pending': {
				return {
					reason: 'noServer',
					message: 'a newer configuration is under way',
				};
			}

			case 'unconfirmed': {
				return {
					reason: 'noServer',
					message: 'control has not confirmed the routes for too long',
				};
			}

			case 'present': {
				const isOutdated =
					this.configurations.delayMs >
					this.context.timing.routeConfirmationLimitMs;
				return isOutdated
					? {
							reason: 'noServer',
							message: 'a newer configuration is not in force here yet',
						}
					: undefined;
			}
		}
	}

	/**
	 * Records a grant of a leader whose lease is valid. It carries the configuration and the templates
	 * that are newer than those that its renewal named; when one of them is not in force, the grant
	 * confirms nothing.
	 *
	 * @param renewalSentAt - Time at which the latest answered renewal was sent.
	 */
	recordGrant(
		grant: Extract<messages.ControlMessage, {type: 'leaseGranted'}>,
		renewalSentAt: number,
	): void {
		const {templates} = this;
		const isConfigurationInForce =
			(grant.configuration?.version ?? 0) <=
			(templates.configuration?.version ?? 0);
		const areTemplatesInForce = grant.templates.every(
			({member, version}) => version <= templates.getVersion(member),
		);
		if (isConfigurationInForce && areTemplatesInForce) {
			this.confirmedAt = Math.max(this.confirmedAt, renewalSentAt);
		}
	}

	/** Identifies the customer that holds a key, on the route of a member. */
	identifyCustomer(
		member: ids.MemberId,
		key: ids.KeyDigest | undefined,
	): Identification {
		const {isOpen, customerByKey} = this.templates.getAccess(member);
		if (!this.canConfirmKeys) {
			return isOpen
				? {type: 'accepted', customer: undefined}
				: {type: 'refused', ...this.buildUnconfirmedProblem()};
		}

		this.isRefusingKeys = false;
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
			return this.canConfirmKeys
				? {
						reason: 'unknownKey',
						message:
							'the key no longer belongs to the customer of the transaction',
					}
				: this.buildUnconfirmedProblem();
		}

		session.customer = customer;
		return undefined;
	}

	/** The caller may be served elsewhere, so its key does not count as unknown. */
	private buildUnconfirmedProblem(): AccessProblem {
		this.context.count('unconfirmedKeys');
		if (!this.isRefusingKeys) {
			this.isRefusingKeys = true;
			this.context.log('warn', part, 'Keys of customers are refused', {
				confirmationAgeMs: Number.isFinite(this.confirmedAt)
					? Math.round(this.context.now - this.confirmedAt)
					: undefined,
				limitMs: this.context.timing.keyConfirmationLimitMs,
			});
		}

		return {
			reason: 'noServer',
			message: 'control has not confirmed the keys of customers for too long',
		};
	}
}
