/**
 * The replicated state machine of control: templates with their answered changes, the configuration,
 * groups, lease holders and the announcements of servers.
 *
 * It is deterministic: every peer that applies the same entries holds the same state. Conflicts
 * between concurrent operators, and with the proposals of former leaders, are resolved here by the
 * order of the log.
 */
import type * as ids from '../ids.js';
import * as textSize from '../text-size.js';
import type * as types from '../types.js';
import type * as control from './types.js';
import * as retainedChanges from './retained-changes.js';

/** Estimated size of a stored record without its text, in bytes. */
const recordBytes = 256;

/** The state machine. `apply` is called with committed entries only, in their order. */
export class ControlMachine {
	appliedIndex = 0;
	/** The configuration in force; undefined before the first one. */
	configuration: types.Configuration | undefined;
	/** Proxies that may hold leases. */
	readonly leaseHolders = new Set<ids.PeerId>();
	/** The latest stored announcement of each server. */
	readonly announcements = new Map<
		ids.UpstreamId,
		types.VersionedAnnouncement
	>();

	readonly #templates = new Map<ids.MemberId, control.StoredTemplate>();
	readonly #changes = new retainedChanges.RetainedChanges();
	/** Bytes of the templates and the configuration in force. */
	#textBytes = 0;
	readonly #groups = new Map<ids.GroupId, control.GroupState>();
	readonly #groupByServer = new Map<ids.UpstreamId, ids.GroupId>();
	#lastChangeIndex = 0;

	/** Log index of the last change of any template or group. */
	get lastChangeIndex(): number {
		return this.#lastChangeIndex;
	}

	/** Returns the whole state as plain data, which later changes do not affect. */
	buildState(): control.MachineState {
		return {
			appliedIndex: this.appliedIndex,
			templates: [...this.#templates.values()],
			changes: this.#changes.list(),
			groups: [...this.#groups.values()],
			...(this.configuration ? {configuration: this.configuration} : {}),
			leaseHolders: [...this.leaseHolders],
			announcements: [...this.announcements.values()],
		};
	}

	/** Replaces the whole state by that of a snapshot. */
	restore(state: control.MachineState): void {
		this.appliedIndex = state.appliedIndex;
		this.#textBytes = 0;
		this.configuration = undefined;
		if (state.configuration) {
			this.#storeConfiguration(state.configuration);
		}

		this.leaseHolders.clear();
		for (const peer of state.leaseHolders ?? []) {
			this.leaseHolders.add(peer);
		}

		this.announcements.clear();
		for (const announcement of state.announcements ?? []) {
			this.announcements.set(announcement.server, announcement);
		}

		this.#templates.clear();
		this.#groups.clear();
		this.#groupByServer.clear();
		this.#lastChangeIndex = 0;
		for (const stored of state.templates) {
			this.#storeTemplate(stored);
		}

		this.#changes.restore(state.changes);

		for (const group of state.groups) {
			this.#storeGroup(group);
		}
	}

	/**
	 * Applies one committed command.
	 *
	 * @returns The answer to an operator's change; undefined for other commands.
	 */
	apply(
		index: number,
		command: control.ControlCommand,
	): types.TemplateChangeResult | undefined {
		this.appliedIndex = index;
		if (command.type === 'changeTemplate') {
			return this.#applyChange(index, command.change);
		}

		switch (command.type) {
			case 'setConfiguration': {
				return this.#applyConfiguration(command.configuration);
			}

			case 'addLeaseHolder': {
				this.leaseHolders.add(command.peer);
				return undefined;
			}

			case 'removeLeaseHolder': {
				this.leaseHolders.delete(command.peer);
				return undefined;
			}

			case 'storeAnnouncement': {
				this.#storeAnnouncement(command.announcement);
				return undefined;
			}

			case 'registerGroup':
			case 'addServer':
			case 'removeServer':
			case 'beginPromotion':
			case 'completePromotion': {
				this.#applyGroupCommand(index, command);
				return undefined;
			}
		}
	}

	/** Marks an entry without a command as applied. */
	applyEmptyEntry(index: number): void {
		this.appliedIndex = index;
	}

	/** Finds the answer that the change with this id got when it was first applied. */
	findAnswer(
		member: ids.MemberId,
		changeId: ids.ChangeId,
	): types.TemplateChangeResult | undefined {
		return this.#changes.findChange(member, changeId)?.result;
	}

	/**
	 * Finds the answer to a configuration change that can no longer have an effect: the highest version
	 * is in force, and a version at or below it is acknowledged without a change.
	 */
	findConfigurationAnswer(
		configuration: types.Configuration,
	): types.TemplateChangeResult | undefined {
		const version = this.configuration?.version ?? 0;
		return configuration.version <= version
			? {type: 'accepted', version}
			: undefined;
	}

	/** Estimates the bytes of a snapshot after a change; undefined when the change adds none. */
	estimateSizeAfter(change: types.OperatorChange): number | undefined {
		const growth =
			'type' in change
				? this.#computeGrowth(change.configuration.text, this.configuration)
				: this.#computeGrowth(change.text, this.getTemplate(change.member));
		const records =
			this.#templates.size +
			this.#changes.size +
			this.#groups.size +
			this.announcements.size;
		return growth > 0
			? this.#textBytes +
					growth +
					retainedChanges.maxRetainedTextBytes +
					records * recordBytes
			: undefined;
	}

	getTemplate(member: ids.MemberId): types.Template | undefined {
		return this.#templates.get(member)?.template;
	}

	listTemplates(): control.StoredTemplate[] {
		return [...this.#templates.values()];
	}

	/** Lists the versions of a member's template whose text is retained, oldest first. */
	listHistory(member: ids.MemberId): control.HistoryEntry[] {
		const history: control.HistoryEntry[] = [];
		for (const {
			result,
			text,
			changeId,
			index,
			...change
		} of this.#changes.list()) {
			const isRetained =
				change.member === member &&
				result.type === 'accepted' &&
				text !== undefined;
			if (isRetained) {
				history.push({member, version: result.version, text, changeId, index});
			}
		}

		return history;
	}

	getGroup(group: ids.GroupId): control.GroupState | undefined {
		return this.#groups.get(group);
	}

	/** Finds the group whose server set contains the server. */
	findGroupByServer(server: ids.UpstreamId): control.GroupState | undefined {
		const group = this.#groupByServer.get(server);
		return group === undefined ? undefined : this.#groups.get(group);
	}

	listGroups(): control.GroupState[] {
		return [...this.#groups.values()];
	}

	#storeAnnouncement(announcement: types.VersionedAnnouncement): void {
		const {server, version} = announcement;
		if ((this.announcements.get(server)?.version ?? -1) < version) {
			this.announcements.set(server, announcement);
		}
	}

	#applyConfiguration(
		configuration: types.Configuration,
	): types.TemplateChangeResult {
		if (configuration.version > (this.configuration?.version ?? 0)) {
			this.#storeConfiguration(configuration);
		}

		return {type: 'accepted', version: configuration.version};
	}

	#applyChange(
		index: number,
		change: types.TemplateChange,
	): types.TemplateChangeResult {
		const {member, changeId, text} = change;
		const earlierResult = this.findAnswer(member, changeId);
		if (earlierResult) {
			return earlierResult;
		}

		const currentVersion = this.getTemplate(member)?.version ?? 0;
		const isAccepted = change.expectedVersion === currentVersion;
		const result: types.TemplateChangeResult = isAccepted
			? {type: 'accepted', version: currentVersion + 1}
			: {type: 'versionConflict', currentVersion};
		if (isAccepted) {
			const template = {member, version: currentVersion + 1, text, changeId};
			this.#storeTemplate({template, changedAt: index});
		}

		this.#changes.add({
			member,
			changeId,
			index,
			result,
			...(isAccepted ? {text} : {}),
		});
		return result;
	}

	#applyGroupCommand(index: number, command: control.GroupCommand): void {
		const group = this.#groups.get(command.group);
		if (command.type === 'registerGroup') {
			if (!group) {
				this.#storeGroup({
					group: command.group,
					term: command.term,
					termStart: command.termStart,
					primary: command.primary,
					servers: [command.primary],
					promotion: undefined,
					changedAt: index,
					serversChangedAt: index,
				});
			}

			return;
		}

		if (command.type === 'removeServer') {
			this.announcements.delete(command.server);
		}

		const changed = group && applyToGroup(group, index, command);
		if (changed) {
			this.#storeGroup({...changed, changedAt: index});
		}
	}

	#storeConfiguration(configuration: types.Configuration): void {
		this.#textBytes += this.#computeGrowth(
			configuration.text,
			this.configuration,
		);
		this.configuration = configuration;
	}

	#computeGrowth(text: string, current: {readonly text: string} | undefined) {
		return textSize.countBytes(text) - textSize.countBytes(current?.text ?? '');
	}

	#storeTemplate(stored: control.StoredTemplate): void {
		const {member, text} = stored.template;
		this.#textBytes += this.#computeGrowth(text, this.getTemplate(member));
		this.#templates.set(stored.template.member, stored);
		this.#lastChangeIndex = Math.max(this.#lastChangeIndex, stored.changedAt);
	}

	#storeGroup(group: control.GroupState): void {
		for (const server of this.#groups.get(group.group)?.servers ?? []) {
			this.#groupByServer.delete(server);
		}

		for (const server of group.servers) {
			this.#groupByServer.set(server, group.group);
		}

		this.#groups.set(group.group, group);
		this.#lastChangeIndex = Math.max(this.#lastChangeIndex, group.changedAt);
	}
}

/** Returns the changed group, or undefined when the command has no effect. */
function applyToGroup(
	group: control.GroupState,
	index: number,
	command: Exclude<control.GroupCommand, {type: 'registerGroup'}>,
): control.GroupState | undefined {
	switch (command.type) {
		case 'addServer': {
			return group.servers.includes(command.server) || group.promotion
				? undefined
				: {
						...group,
						servers: [...group.servers, command.server],
						serversChangedAt: index,
					};
		}

		case 'removeServer': {
			return canRemoveServer(group, command.server)
				? {
						...group,
						servers: group.servers.filter(
							(server) => server !== command.server,
						),
						serversChangedAt: index,
					}
				: undefined;
		}

		case 'beginPromotion': {
			const current = group.promotion?.term ?? group.term;
			return command.term > current
				? {
						...group,
						promotion: {term: command.term, planned: command.planned},
					}
				: undefined;
		}

		case 'completePromotion': {
			return group.promotion?.term === command.term &&
				group.servers.includes(command.primary)
				? {
						...group,
						term: command.serverTerm ?? command.term,
						termStart: command.termStart,
						primary: command.primary,
						promotion: undefined,
					}
				: undefined;
		}
	}
}

/**
 * A server may leave the set when it is not the primary, no promotion is in progress (it counts a
 * majority of the set), and the remaining servers are a majority of the set.
 */
export function canRemoveServer(
	group: control.GroupState,
	server: ids.UpstreamId,
): boolean {
	return (
		group.servers.includes(server) &&
		group.primary !== server &&
		group.promotion === undefined &&
		group.servers.length - 1 >= computeQuorumSize(group.servers.length)
	);
}

/** Returns the smallest number of servers that is more than half of `size`. */
export function computeQuorumSize(size: number): number {
	return Math.floor(size / 2) + 1;
}

/** Builds the view of a group that proxies receive and that the status shows. */
export function buildGroupView(group: control.GroupState): types.GroupView {
	return {
		group: group.group,
		term: group.term,
		termStart: group.termStart,
		primary: group.primary,
		servers: group.servers,
		promoting: group.promotion !== undefined,
	};
}
