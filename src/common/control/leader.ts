/**
 * The part of the control role that only the leader performs: answers to lease renewals, placement of
 * servers and proposals about groups. Each term of leadership has its own instance, which acts only
 * while the leader lease is valid.
 */
import * as announcementRules from '../announcement.js';
import type * as ids from '../ids.js';
import type * as messages from '../messages.js';
import type * as customerLimits from '../policy/customer-limits.js';
import * as rateBound from '../policy/rate-bound.js';
import * as allowances from './allowances.js';
import * as configurationHolders from './configuration-holders.js';
import type * as control from './types.js';
import type * as leases from './leases.js';
import type * as machines from './machine.js';
import type * as calls from './calls.js';
import * as failovers from './failover.js';
import * as grants from './grants.js';
import * as ownership from './ownership.js';
import * as placement from './placement.js';
import * as synchronousReplicas from './synchronous-replicas.js';
import * as serverSets from './server-sets.js';
import * as templateLimits from './template-limits.js';
import * as timing from './timing.js';

/** What the leader needs from the control reducer. */
export type LeaderEnvironment = {
	/** True when lease holders and announcements are stored in the replicated log. */
	readonly recordsLeaseHolders: boolean;
	readonly machine: machines.ControlMachine;
	/** Consensus term. */
	readonly term: number;
	readonly callServer: calls.CallServer;
	readonly faults: control.FaultInjection;
	/** Undefined when no customer has a limit. */
	readonly rateLimits: control.RateLimitOptions | undefined;
	/** Undefined when the configuration doesn't say it. */
	readonly parseSynchronousReplicas:
		control.SynchronousReplicasParser | undefined;

	readonly self: ids.PeerId;
	/** Lists the running control peers that hold the replicated log. */
	listHolders(): readonly configurationHolders.Holder[];
	send(to: ids.PeerId, message: messages.PeerMessage): void;
	/** Proposes a command; `hasProposal` of its group is true until the outcome is known. */
	propose(command: control.GroupCommand): void;
	/** Proposes a command that is not about a group. */
	proposeRecord(command: RecordCommand): void;
	hasProposal(group: ids.GroupId): boolean;
	/** Writes a log record of level info. */
	log(message: string): void;
};

/** Commands that store what the leader knows about proxies and servers. */
export type RecordCommand = Extract<
	control.ControlCommand,
	{type: 'addLeaseHolder' | 'removeLeaseHolder' | 'storeAnnouncement'}
>;

/** The leader's state that is not in the replicated log, and the actions that are based on it. */
export class Leader {
	readonly table: ownership.OwnershipTable;
	readonly #serverSets: serverSets.ServerSets;
	readonly #failover: failovers.Failover;
	/** Created when this leader first acts, because its predecessor may have granted until then. */
	#allowances: allowances.AllowanceTable | undefined;
	readonly #templateLimits: templateLimits.TemplateLimits;
	/** Set by changes that are not urgent: the grants wait for the next tick and carry all of them. */
	#isGrantDue = false;
	#lastMoveCheckAt = Number.NEGATIVE_INFINITY;
	/** Time of the last proposal of each record that is not committed yet. */
	readonly #pendingRecords = new Map<string, number>();

	constructor(
		private readonly environment: LeaderEnvironment,
		now: number,
	) {
		const {machine, term} = environment;
		this.table = new ownership.OwnershipTable(
			term,
			now,
			environment.faults,
			environment.recordsLeaseHolders ? machine.leaseHolders : undefined,
		);
		this.#templateLimits = new templateLimits.TemplateLimits(
			machine,
			environment.rateLimits?.parseTemplateCustomers,
		);
		const replicaCounts = new synchronousReplicas.SynchronousReplicas(
			this.table,
			machine,
			environment.parseSynchronousReplicas,
		);
		this.#serverSets = new serverSets.ServerSets(
			this.table,
			machine,
			replicaCounts,
			(group) => environment.hasProposal(group),
		);
		this.#failover = new failovers.Failover({
			machine,
			table: this.table,
			synchronousReplicas: replicaCounts,
			callServer: environment.callServer,
			faults: environment.faults,
			propose(command) {
				environment.propose(command);
			},
			hasProposal: (group) => environment.hasProposal(group),
			log(message) {
				environment.log(message);
			},
		});
	}

	/** Handles a server's answer to the call with this number. */
	handleAnswer(now: number, call: number, answer: control.ServerAnswer): void {
		this.#failover.handleAnswer(now, call, answer);
	}

	/** Applies a renewal and answers it with a grant; ignores an outdated one. */
	handleRenewal(now: number, from: ids.PeerId, renewal: leases.Renewal): void {
		if (this.table.handleRenewal(now, from, renewal)) {
			this.#updateRecords(now);
			const {incarnation, allowances: report} = renewal;
			const grant =
				report &&
				this.#getAllowances(now)?.handleReport(now, from, incarnation, report);
			if (!this.#sendGrant(now, from, grant) && grant) {
				this.environment.send(from, {type: 'allowanceGranted', grant});
			}
		}
	}

	/** Answers a proxy at which requests wait for tokens. */
	handleAllowance(
		now: number,
		from: ids.PeerId,
		{
			incarnation,
			report,
		}: Extract<messages.ControlMessage, {type: 'allowanceRequest'}>,
	): void {
		const grant = this.#getAllowances(now)?.handleReport(
			now,
			from,
			incarnation,
			report,
		);
		if (grant) {
			this.environment.send(from, {type: 'allowanceGranted', grant});
		}
	}

	handleRelease(from: ids.PeerId, message: leases.Release): void {
		this.table.handleRelease(from, message);
	}

	/** Advances promotions, which may have waited for a lease that was just released. */
	stepFailover(now: number): void {
		this.#failover.step(now);
	}

	/** Runs the periodic work that is due. Called every tick. */
	step(now: number): void {
		this.table.expire(now);
		this.#templateLimits.step();
		for (const {peer, grant} of this.#allowances?.step(now) ?? []) {
			this.environment.send(peer, {type: 'allowanceGranted', grant});
		}

		for (const command of this.#serverSets.step(now)) {
			this.environment.propose(command);
		}

		this.#failover.step(now);
		this.#placeServers(now);
		this.#updateRecords(now);
		if (this.#isGrantDue) {
			this.#sendGrants(now);
		}

		for (const {to, message} of this.table.takeDueRevocations(now)) {
			this.environment.send(to, message);
		}
	}

	/** Handles a committed command; `isOwn` when this leader proposed it. */
	handleApplied(
		now: number,
		command: control.ControlCommand,
		isOwn: boolean,
	): void {
		if (command.type === 'changeTemplate') {
			this.#pushTemplate(command.change.member);
			this.#templateLimits.updateMember(command.change.member);
			this.#updateCustomers(now);
			return;
		}

		if (command.type === 'setConfiguration') {
			this.#announceConfiguration();
			this.#updateCustomers(now);
			return;
		}

		if (!('group' in command)) {
			this.#pendingRecords.delete(formatRecordKey(command));
			return;
		}

		if (command.type === 'registerGroup' && isOwn) {
			this.#serverSets.recordRegistration(now, command.group);
		}

		this.#failover.handleApplied(now, command, isOwn);
		if (
			command.type === 'beginPromotion' ||
			command.type === 'completePromotion'
		) {
			this.#sendGrants(now);
		} else {
			this.#isGrantDue = true;
		}
	}

	#sendGrants(now: number): void {
		this.#isGrantDue = false;
		for (const peer of this.table.proxies.keys()) {
			this.#sendGrant(now, peer);
		}
	}

	/** Proposes changes to the lease holders and announcements in the replicated log. */
	#updateRecords(now: number): void {
		if (!this.environment.recordsLeaseHolders) {
			return;
		}

		const {leaseHolders, announcements} = this.environment.machine;
		for (const {peer} of this.table.proxies.values()) {
			if (!leaseHolders.has(peer)) {
				this.#proposeRecord(now, {type: 'addLeaseHolder', peer});
			}
		}

		if (now - this.table.startedAt > timing.proxyExpiryMs) {
			for (const peer of leaseHolders) {
				if (!this.table.proxies.has(peer)) {
					this.#proposeRecord(now, {type: 'removeLeaseHolder', peer});
				}
			}
		}

		for (const {announcement} of this.table.servers.values()) {
			const stored = announcement && announcements.get(announcement.server);
			if (
				announcement &&
				(!stored || announcementRules.hasChanged(stored, announcement))
			) {
				this.#proposeRecord(now, {type: 'storeAnnouncement', announcement});
			}
		}
	}

	#proposeRecord(now: number, command: RecordCommand): void {
		const key = formatRecordKey(command);
		const proposedAt = this.#pendingRecords.get(key);
		if (
			proposedAt === undefined ||
			now - proposedAt >= timing.proposalRetryMs
		) {
			this.#pendingRecords.set(key, now);
			this.environment.proposeRecord(command);
		}
	}

	#placeServers(now: number): void {
		placement.revokeFromDraining(now, this.table);
		if (now - this.#lastMoveCheckAt >= timing.moveIntervalMs) {
			this.#lastMoveCheckAt = now;
			const moved = placement.chooseMove(
				now,
				this.table,
				(server) =>
					this.environment.machine.findGroupByServer(server)?.promotion ===
					undefined,
			);
			if (moved !== undefined) {
				this.table.revokeOwnership(now, moved);
			}
		}

		for (const peer of placement.assignServers(now, this.table)) {
			this.#sendGrant(now, peer);
		}
	}

	/** Pushes a template when its change is committed, so that it takes effect before the next renewal. */
	#pushTemplate(member: ids.MemberId): void {
		const template = this.environment.machine.getTemplate(member);
		for (const peer of template ? this.table.proxies.keys() : []) {
			this.environment.send(peer, {type: 'templatePush', template: template!});
		}
	}

	/** Names a committed configuration to the proxies, which then fetch it. */
	#announceConfiguration(): void {
		const {configuration} = this.environment.machine;
		if (!configuration) {
			return;
		}

		this.environment.log(
			`configuration ${configuration.version} of ${configuration.text.length} characters goes to ${this.table.proxies.size} proxies`,
		);
		const holders = this.environment.listHolders();
		for (const proxy of this.table.proxies.values()) {
			this.environment.send(proxy.peer, {
				type: 'configurationChanged',
				version: configuration.version,
				source: this.#chooseSource(proxy, holders),
			});
		}
	}

	/** Chooses the control peer from which a proxy should fetch the configuration. */
	#chooseSource(
		{peer, dataCentre}: leases.ProxyRecord,
		holders: readonly configurationHolders.Holder[],
	): ids.PeerId {
		return (
			configurationHolders.chooseHolder(peer, dataCentre, holders) ??
			this.environment.self
		);
	}

	/** Returns undefined while the limits are not known. */
	#getAllowances(now: number): allowances.AllowanceTable | undefined {
		if (!this.#allowances && this.#templateLimits.isComplete) {
			this.#allowances = new allowances.AllowanceTable(
				this.environment.term,
				now,
				this.environment.rateLimits?.bound ?? rateBound.strictBound,
			);
			this.#updateCustomers(now);
		}

		return this.#allowances;
	}

	#updateCustomers(now: number): void {
		const customers = this.#readLimits();
		if (customers) {
			this.#allowances?.setCustomers(now, customers);
		}
	}

	/** Reads the limits in force; undefined when the configuration is not valid. */
	#readLimits(): Iterable<customerLimits.CustomerLimit> | undefined {
		const {machine, rateLimits} = this.environment;
		return machine.configuration && rateLimits?.parseCustomers
			? rateLimits.parseCustomers(machine.configuration.text)
			: this.#templateLimits.limits.getLimits().values();
	}

	/** Returns false when the proxy gets no grant at present. */
	#sendGrant(
		now: number,
		peer: ids.PeerId,
		allowanceGrant?: messages.AllowanceGrant,
	): boolean {
		const proxy = this.table.proxies.get(peer);
		if (proxy && !this.table.isReleasingWriteLease(now, peer)) {
			const message = grants.buildGrant(
				now,
				this.table,
				this.environment.machine,
				proxy,
				(group) => this.#serverSets.canGrantWriteLease(now, group),
				(record) => this.#chooseSource(record, this.environment.listHolders()),
			);
			this.environment.send(
				peer,
				allowanceGrant ? {...message, allowances: allowanceGrant} : message,
			);
			return true;
		}

		return false;
	}
}

function formatRecordKey(command: RecordCommand): string {
	return command.type === 'storeAnnouncement'
		? `${command.type} ${command.announcement.server}`
		: `${command.type} ${command.peer}`;
}
