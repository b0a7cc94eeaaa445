/**
 * Simulates the rate limit of one customer in virtual time, for tests: a leader, proxies with clocks
 * of their own, and messages that are delayed or lost. Every used token is recorded.
 */
import type * as ids from '../ids.js';
import type * as messages from '../messages.js';
import type * as rateBound from '../policy/rate-bound.js';
import * as rateWait from '../policy/rate-wait.js';
import * as allowanceClient from '../proxy/allowance-client.js';
import * as context from '../proxy/context.js';
import * as random from '../random.js';
import type * as types from '../types.js';
import * as allowances from './allowances.js';

/** Time limit of the operations, in ms. */
const deadlineMs = 2000;
const stepMs = 10;
const renewalIntervalMs = 250;
const leader = 'k1' as ids.PeerId;

export type SimulationOptions = {
	readonly proxies: number;
	readonly customers: readonly types.Customer[];
	readonly bound: rateBound.RateBound;
	readonly seed: number;
	readonly delayMs: number;
	/** Share of the messages that are lost. */
	readonly loss: number;
	/** Largest relative error of the proxies' clocks. */
	readonly drift: number;
	/** Seeded mistakes, which the checks must find. */
	readonly mistake?: 'fullAfterElection' | 'noExpiry';
};

export type Use = {readonly at: number; readonly customer: ids.CustomerId};

export type SentMessage = {
	readonly message: messages.AllowanceReport | messages.AllowanceGrant;
	readonly isRenewal: boolean;
};

type Delivery = {readonly at: number; readonly run: () => void};

class SimulatedProxy {
	context: context.ProxyContext;
	client: allowanceClient.AllowanceClient;
	readonly waiting = new Map<ids.CustomerId, number[]>();
	frozenUntil = 0;
	cutUntil = 0;
	renewAt: number;
	private incarnation = 0;

	constructor(
		readonly peer: ids.PeerId,
		private readonly clockRate: number,
		private readonly simulation: AllowanceSimulation,
	) {
		this.renewAt = simulation.random.readFloat() * renewalIntervalMs;
		[this.context, this.client] = this.createClient();
	}

	/** Starts a new instance, which knows nothing of the tokens of the old one. */
	restart(): void {
		this.waiting.clear();
		[this.context, this.client] = this.createClient();
	}

	setClock(now: number): void {
		this.context.now = 1000 + now * this.clockRate;
	}

	getIncarnation(): number {
		return this.incarnation;
	}

	/** Serves a request, lets it wait or refuses it. */
	submit(now: number, customer: ids.CustomerId): void {
		this.client.recordDemand(customer);
		if (this.client.tryTake(customer)) {
			this.simulation.recordUse(now, customer, 0);
			return;
		}

		const waiting = this.waiting.get(customer) ?? [];
		this.waiting.set(customer, waiting);
		const emptyMs = this.client.findEmptyWait(customer);
		const mayWait = rateWait.mayWait({
			isEmpty: emptyMs !== undefined,
			silentMs: this.client.computeSilence(),
			waiting: waiting.length,
			usePerS: this.client.readUsePerS(customer),
			nextTokenMs: emptyMs ?? 0,
			remainingMs: deadlineMs,
		});
		if (mayWait) {
			waiting.push(now);
		} else {
			this.simulation.refused++;
		}
	}

	serveWaiting(now: number, customer: ids.CustomerId): void {
		const waiting = this.waiting.get(customer) ?? [];
		while (waiting.length > 0 && this.client.tryTake(customer)) {
			this.simulation.recordUse(now, customer, now - waiting.shift()!);
		}
	}

	/** Refuses requests that have waited for too long and sends what is due. */
	step(now: number): void {
		for (const [customer, waiting] of this.waiting) {
			const isEmpty = this.client.findEmptyWait(customer) !== undefined;
			while (
				waiting.length > 0 &&
				now - waiting[0] >= rateWait.computeWaitLimit(isEmpty, deadlineMs)
			) {
				waiting.shift();
				this.simulation.refused++;
			}
		}

		this.client.requestIfNeeded();
		for (const effect of this.context.takeEffects()) {
			if (
				effect.type === 'sendPeer' &&
				effect.message.type === 'allowanceRequest'
			) {
				this.simulation.sendReport(now, this, effect.message.report, false);
			}
		}

		if (now >= this.renewAt) {
			this.renewAt = now + renewalIntervalMs;
			const report = this.client.buildReport();
			if (report) {
				this.simulation.sendReport(now, this, report, true);
			}
		}
	}

	private createClient(): [
		context.ProxyContext,
		allowanceClient.AllowanceClient,
	] {
		this.incarnation++;
		const created = new context.ProxyContext(
			{
				peer: this.peer,
				vm: this.peer as string as ids.VmId,
				address: this.peer,
				dataCentre: 'a' as ids.DataCentre,
				incarnation: this.incarnation,
				controlPeers: [],
				drainDeadlineMs: 0,
				maxSessions: 0,
			},
			this.simulation.random,
		);
		created.setLink(leader, true);
		const client = new allowanceClient.AllowanceClient(created, {
			getLimits: () => this.simulation.customers,
			countWaiting: (customer) => this.waiting.get(customer)?.length ?? 0,
			getLeader: () => leader,
		});
		return [created, client];
	}
}

export class AllowanceSimulation {
	readonly random: random.RandomSource;
	readonly proxies: readonly SimulatedProxy[];
	readonly uses: Use[] = [];
	customers: ReadonlyMap<ids.CustomerId, types.Customer>;
	now = 0;
	refused = 0;
	maxWaitMs = 0;
	waited = 0;
	/** Reports and answers that were sent, and whether they travelled with lease renewals. */
	readonly sent: SentMessage[] = [];
	private table: allowances.AllowanceTable | undefined;
	private term = 0;
	private leaderlessUntil = 0;
	private deliveries: Delivery[] = [];

	constructor(private readonly options: SimulationOptions) {
		this.random = random.createRandom(options.seed);
		this.customers = indexCustomers(options.customers);
		this.proxies = Array.from(
			{length: options.proxies},
			(_, index) =>
				new SimulatedProxy(
					`p${index}` as ids.PeerId,
					1 + (this.random.readFloat() * 2 - 1) * options.drift,
					this,
				),
		);
	}

	setCustomers(customers: readonly types.Customer[]): void {
		this.customers = indexCustomers(customers);
		this.table?.setCustomers(this.now, customers);
	}

	/** Ends the term of the leader; another one acts after the given time. */
	elect(afterMs: number): void {
		this.table = undefined;
		this.leaderlessUntil = this.now + afterMs;
	}

	/** Runs until a time; `submit` is called in each step of 10 ms. */
	run(untilMs: number, submit: (now: number) => void): void {
		for (; this.now < untilMs; this.now += stepMs) {
			// A process may handle a request before its timer when it runs again.
			submit(this.now);
			this.stepLeader();
			const due = this.deliveries.filter(({at}) => at <= this.now);
			this.deliveries = this.deliveries.filter(({at}) => at > this.now);
			for (const {run} of due) {
				run();
			}

			for (const proxy of this.proxies) {
				if (this.now >= proxy.frozenUntil) {
					proxy.setClock(this.now);
					proxy.step(this.now);
				}
			}
		}
	}

	submit(index: number, customer: ids.CustomerId): void {
		const proxy = this.proxies[index % this.proxies.length];
		if (this.now >= proxy.frozenUntil) {
			proxy.setClock(this.now);
			if (this.options.mistake === 'noExpiry') {
				Reflect.set(proxy.client, 'expiresAt', Infinity);
			}

			proxy.submit(this.now, customer);
		}
	}

	recordUse(at: number, customer: ids.CustomerId, waitMs: number): void {
		this.uses.push({at, customer});
		this.maxWaitMs = Math.max(this.maxWaitMs, waitMs);
		this.waited += Number(waitMs > 0);
	}

	sendReport(
		now: number,
		proxy: SimulatedProxy,
		report: messages.AllowanceReport,
		isRenewal: boolean,
	): void {
		const {client} = proxy;
		const incarnation = proxy.getIncarnation();
		this.deliver(now, proxy, {message: report, isRenewal}, () => {
			const grant = this.table?.handleReport(
				this.now,
				proxy.peer,
				incarnation,
				report,
			);
			if (grant) {
				this.deliver(this.now, proxy, {message: grant, isRenewal}, () => {
					this.handleGrant(proxy, client, grant);
				});
			}
		});
	}

	/** Returns the largest number of uses in a window that starts at `from` or later. */
	countMaxUses(
		customer: ids.CustomerId,
		windowMs: number,
		from: number,
	): number {
		const times = this.uses
			.filter((use) => use.customer === customer && use.at >= from)
			.map(({at}) => at);
		let start = 0;
		let max = 0;
		for (const [index, at] of times.entries()) {
			while (at - times[start] > windowMs) {
				start++;
			}

			max = Math.max(max, index - start + 1);
		}

		return max;
	}

	private handleGrant(
		proxy: SimulatedProxy,
		client: allowanceClient.AllowanceClient,
		grant: messages.AllowanceGrant,
	): void {
		if (proxy.client !== client) {
			return;
		}

		if (this.now < proxy.frozenUntil) {
			// The socket keeps it until the process runs again.
			this.deliveries.push({
				at: proxy.frozenUntil,
				run: () => {
					this.handleGrant(proxy, client, grant);
				},
			});
			return;
		}

		proxy.setClock(this.now);
		for (const customer of client.handleGrant(grant)) {
			proxy.serveWaiting(this.now, customer);
		}
	}

	private stepLeader(): void {
		if (!this.table && this.now >= this.leaderlessUntil) {
			this.term++;
			const isMistaken =
				this.options.mistake === 'fullAfterElection' && this.term > 1;
			this.table = new allowances.AllowanceTable(
				this.term,
				isMistaken ? Number.NEGATIVE_INFINITY : this.now,
				this.options.bound,
			);
			this.table.setCustomers(this.now, this.customers.values());
		}

		for (const {peer, grant} of this.table?.step(this.now) ?? []) {
			const proxy = this.proxies.find((item) => item.peer === peer)!;
			const {client} = proxy;
			this.deliver(this.now, proxy, {message: grant, isRenewal: false}, () => {
				this.handleGrant(proxy, client, grant);
			});
		}
	}

	private deliver(
		now: number,
		proxy: SimulatedProxy,
		sent: SentMessage,
		run: () => void,
	): void {
		this.sent.push(sent);
		const isLost =
			now < proxy.cutUntil || this.random.readFloat() < this.options.loss;
		if (!isLost) {
			const delayMs = this.options.delayMs * (0.5 + this.random.readFloat());
			this.deliveries.push({at: now + delayMs, run});
		}
	}
}

function indexCustomers(
	customers: readonly types.Customer[],
): ReadonlyMap<ids.CustomerId, types.Customer> {
	return new Map(customers.map((customer) => [customer.customer, customer]));
}
