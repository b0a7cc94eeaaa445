/**
 * What the HTTP server needs of the daemon behind it.
 */
import type * as ids from '../../common/ids.js';
import type * as metrics from '../../common/metrics/types.js';
import type * as types from '../../common/types.js';

/** The daemon as the HTTP endpoints use it. */
export type DaemonEndpoints = {
	/** Takes the announcement of a server; undefined on control. */
	readonly handleAnnouncement?: (announcement: types.Announcement) => void;
	readonly metrics: {
		formatText(): string;
		getSnapshot(): metrics.MetricsSnapshot;
	};
	/** What the load balancer reads. */
	readHealth(): {readonly ready: boolean; readonly reason: string};
	/** Plain data for operators. */
	readStatus(): unknown;
	/** Begins the drain; further calls change nothing. */
	startDrain(): void;
	listTemplates(): Promise<readonly types.Template[]>;
	/** Resolves with undefined when the member has no template. */
	fetchTemplate(member: ids.MemberId): Promise<types.Template | undefined>;
	/** Versions of a member's template, oldest first. */
	fetchHistory(member: ids.MemberId): Promise<readonly types.Template[]>;
	requestTemplateChange(
		change: types.TemplateChange,
	): Promise<types.TemplateChangeResult>;
};

export type HttpServerOptions = {
	/** Longest time for an operation of the daemon, in ms. */
	readonly operationTimeoutMs?: number;
};

/** An answer before it is written. */
export type Answer = {
	readonly status: number;
	readonly body: unknown;
	/** Set when the body is text instead of JSON. */
	readonly contentType?: string;
	readonly headers?: Readonly<Record<string, string>>;
};
