/**
 * The proxy's copies of member templates. A copy is replaced only by a higher version, so a change
 * is never undone, in whatever order versions arrive.
 */
import type * as ids from '../ids.js';
import type * as types from '../types.js';

/** Parses the text of a template; undefined when the text is not valid. */
export type TemplateParser = (
	text: string,
) => types.TemplateParameters | undefined;

type StoredTemplate = {
	readonly template: types.Template;
	readonly parameters: types.TemplateParameters;
};

/** Parses the text of a configuration; undefined when the text is not valid. */
export type ConfigurationParser = (text: string) => types.RouteSet | undefined;

export class TemplateStore {
	/** Routes of the configuration in force; they take precedence over templates. */
	routes: types.RouteSet | undefined;
	configuration: types.Configuration | undefined;
	private readonly templates = new Map<ids.MemberId, StoredTemplate>();

	constructor(
		private readonly parseTemplate: TemplateParser,
		private readonly parseConfiguration: ConfigurationParser = () => undefined,
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

	/** The customer that holds a key. */
	findCustomer(key: ids.KeyDigest | undefined): ids.CustomerId | undefined {
		return key === undefined ? undefined : this.routes?.customerByKey.get(key);
	}

	/** Returns true when the configuration was newer than the one in force and replaced it. */
	mergeConfiguration(configuration: types.Configuration): boolean {
		if ((this.configuration?.version ?? 0) >= configuration.version) {
			return false;
		}

		const routes = this.parseConfiguration(configuration.text);
		if (routes === undefined) {
			return false;
		}

		this.configuration = configuration;
		this.routes = routes;
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

		this.templates.set(template.member, {template, parameters});
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
}
