/**
 * The proxy's copies of member templates. A copy is replaced only by a higher version, so a change
 * is never undone, in whatever order versions arrive.
 */
import type * as ids from '../ids.js';
import * as customerLimits from '../policy/customer-limits.js';
import * as customerWeights from '../policy/customer-weights.js';
import type * as types from '../types.js';

/** Parses the text of a template; undefined when the text is not valid. */
export type TemplateParser = (
	text: string,
) => types.TemplateParameters | undefined;

type StoredTemplate = {
	readonly template: types.Template;
	readonly parameters: types.TemplateParameters;
	readonly access: MemberAccess;
};

/** Parses the text of a configuration; undefined when the text is not valid. */
export type ConfigurationParser = (text: string) => types.RouteSet | undefined;

/** Who may send requests on the route of a member. */
export type MemberAccess = {
	/** True when requests need no key of a customer. */
	readonly isOpen: boolean;
	readonly customers: ReadonlyMap<ids.CustomerId, types.Customer>;
	readonly customerByKey: ReadonlyMap<ids.KeyDigest, ids.CustomerId>;
};

const openAccess: MemberAccess = {
	isOpen: true,
	customers: new Map(),
	customerByKey: new Map(),
};

export class TemplateStore {
	/** Routes of the configuration in force; they take precedence over templates. */
	routes: types.RouteSet | undefined;
	configuration: types.Configuration | undefined;
	private weights: ReadonlyMap<ids.CustomerId, number> = new Map();
	private readonly templates = new Map<ids.MemberId, StoredTemplate>();
	private readonly templateLimits = new customerLimits.CustomerLimits();
	/** Groups with an open route; undefined until it is needed after a change. */
	private openGroups: ReadonlySet<ids.GroupId> | undefined;

	constructor(
		private readonly parseTemplate: TemplateParser,
		private readonly parseConfiguration?: ConfigurationParser,
	) {}

	getParameters(member: ids.MemberId): types.TemplateParameters | undefined {
		return (
			this.routes?.members.get(member)?.parameters ??
			this.templates.get(member)?.parameters
		);
	}

	/** The group that the configuration names for a member. */
	getGroup(member: ids.MemberId): ids.GroupId | undefined {
		return this.routes?.members.get(member)?.group;
	}

	getAccess(member: ids.MemberId): MemberAccess {
		const route = this.routes?.members.get(member);
		return this.routes && route
			? {
					isOpen: route.isOpen,
					customers: this.routes.customers,
					customerByKey: this.routes.customerByKey,
				}
			: (this.templates.get(member)?.access ?? openAccess);
	}

	/** True when requests without a customer may reach the servers of a group. */
	isOpenGroup(group: ids.GroupId): boolean {
		if (!this.routes) {
			return this.parseConfiguration === undefined && this.hasOpenTemplate();
		}

		if (this.routes.customers.size === 0) {
			return true;
		}

		this.openGroups ??= new Set(
			[...this.routes.members.values()]
				.filter(({isOpen}) => isOpen)
				.map((route) => route.group),
		);
		return this.openGroups.has(group);
	}

	/** True when some requests need no key. */
	hasOpenRoutes(): boolean {
		if (!this.routes) {
			return this.hasOpenTemplate();
		}

		return (
			this.routes.customers.size === 0 ||
			[...this.routes.members.values()].some(({isOpen}) => isOpen)
		);
	}

	/** The limits of customers, which templates set while there is no configuration. */
	getLimits(): customerLimits.LimitMap {
		return this.routes?.customers ?? this.templateLimits.getLimits();
	}

	/** The weight of a customer in the queues of servers. */
	getCustomerWeight(customer: ids.CustomerId): number {
		return this.weights.get(customer) ?? 1;
	}

	/** Returns true when the configuration was newer than the one in force and replaced it. */
	mergeConfiguration(configuration: types.Configuration): boolean {
		if ((this.configuration?.version ?? 0) >= configuration.version) {
			return false;
		}

		const routes = this.parseConfiguration?.(configuration.text);
		if (routes === undefined) {
			return false;
		}

		this.configuration = configuration;
		this.routes = routes;
		this.openGroups = undefined;
		this.weights = customerWeights.computeCustomerWeights(
			routes.customers.values(),
		);
		return true;
	}

	getVersion(member: ids.MemberId): number {
		return this.templates.get(member)?.template.version ?? 0;
	}

	getTemplate(member: ids.MemberId): types.Template | undefined {
		return this.templates.get(member)?.template;
	}

	/** Returns true when the template was newer than the copy and is in force now. */
	mergeTemplate(template: types.Template): boolean {
		if (this.getVersion(template.member) >= template.version) {
			return false;
		}

		const parameters = this.parseTemplate(template.text);
		if (parameters === undefined) {
			return false;
		}

		this.templates.set(template.member, {
			template,
			parameters,
			access: buildAccess(parameters),
		});
		this.templateLimits.setMember(
			template.member,
			parameters.customers?.values() ?? [],
		);
		return true;
	}

	listVersions(): Array<readonly [ids.MemberId, number]> {
		return [...this.templates.values()].map(
			({template}) => [template.member, template.version] as const,
		);
	}

	listTemplates(): types.Template[] {
		return [...this.templates.values()].map(({template}) => template);
	}

	/** Templates name no group, so an open one may belong to any. */
	private hasOpenTemplate(): boolean {
		if (this.templates.size === 0) {
			return true;
		}

		for (const {access} of this.templates.values()) {
			if (access.isOpen) {
				return true;
			}
		}

		return false;
	}
}

function buildAccess({customers}: types.TemplateParameters): MemberAccess {
	if (!customers || customers.size === 0) {
		return openAccess;
	}

	return {
		isOpen: false,
		customers,
		customerByKey: new Map(
			[...customers.values()].flatMap(({customer, keys}) =>
				[...keys].map((key) => [key, customer] as const),
			),
		),
	};
}
