/**
 * Builds the grants that the control leader sends to proxies. A grant carries only the groups, owners
 * and templates that are newer than those the proxy has, and names the configuration when it is newer.
 */
import type * as ids from '../ids.js';
import type * as types from '../types.js';
import type * as messages from '../messages.js';
import type * as leases from './leases.js';
import type * as ownership from './ownership.js';
import * as machines from './machine.js';
import * as timing from './timing.js';

type Grant = Extract<messages.ControlMessage, {type: 'leaseGranted'}>;

function listNewTemplates(
	machine: machines.ControlMachine,
	renewal: leases.Renewal,
): types.Template[] {
	const versions = new Map(renewal.templateVersions);
	return machine
		.listTemplates()
		.filter(
			({template, changedAt}) =>
				changedAt > renewal.knownIndex &&
				template.version > (versions.get(template.member) ?? 0),
		)
		.map(({template}) => template);
}

function listNewGroups(
	machine: machines.ControlMachine,
	knownIndex: number,
): types.GroupView[] {
	return machine
		.listGroups()
		.filter((group) => group.changedAt > knownIndex)
		.map((group) => machines.buildGroupView(group));
}

/**
 * Builds a grant for a proxy and extends its leases. A grant that answers no renewal carries the
 * sequence of the proxy's last renewal, so that the proxy counts its leases from the time at which it
 * sent that renewal.
 */
export function buildGrant(
	now: number,
	table: ownership.OwnershipTable,
	machine: machines.ControlMachine,
	proxy: leases.ProxyRecord,
	canGrantWriteLease: (group: ids.GroupId) => boolean,
	chooseSource: (proxy: leases.ProxyRecord) => ids.PeerId,
): Grant {
	const {renewal} = proxy;
	const {configuration} = machine;
	const isConfigurationNew =
		configuration !== undefined &&
		renewal.configurationVersion !== undefined &&
		configuration.version > renewal.configurationVersion;
	const isUpToDate = machine.lastChangeIndex <= renewal.knownIndex;
	const owned = table.extendLeases(now, proxy.peer, (server) => {
		const group = machine.findGroupByServer(server);
		return group?.primary === server && canGrantWriteLease(group.group)
			? group
			: undefined;
	});
	return {
		type: 'leaseGranted',
		sequence: renewal.sequence,
		durationMs: timing.leaseMs,
		owned,
		groups: isUpToDate ? [] : listNewGroups(machine, renewal.knownIndex),
		ownersVersion: table.ownersVersion,
		owners: table.listOwners(renewal.knownOwners),
		templates: isUpToDate ? [] : listNewTemplates(machine, renewal),
		...(isConfigurationNew
			? {
					configuration: {
						version: configuration.version,
						source: chooseSource(proxy),
					},
				}
			: {}),
		confirmed: renewal.announcements.map(({server, version}) => [
			server,
			version,
		]),
		appliedIndex: machine.appliedIndex,
	};
}
