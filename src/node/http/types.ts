/**
 * The interface between the HTTP server and the daemon behind it.
 */
import type * as ids from '../../common/ids.js';
import type * as metrics from '../../common/metrics/types.js';
import type * as types from '../../common/types.js';
import type * as resourceGuard from '../limits/resource-guard.js';

/** The operations of a daemon that the HTTP endpoints call. */
export type DaemonEndpoints = {
	/** Handles the announcement of a server; undefined in the control daemon. */
	readonly handleAnnouncement?: (announcement: types.Announcement) => void;
	readonly metrics: {
		formatText(): string;
		getSnapshot(): metrics.MetricsSnapshot;
	};
	/** Reads whether the load balancer may send work to this process, with the reason. */
	readHealth(): {readonly ready: boolean; readonly reason: string};
	/** Reads the status for operators, as plain data. */
	readStatus(): unknown;
	/** Starts the drain; further calls have no effect. */
	startDrain(): void;
	listTemplates(): Promise<readonly types.Template[]>;
	/** Resolves with undefined when the member has no template. */
	fetchTemplate(member: ids.MemberId): Promise<types.Template | undefined>;
	/** Resolves with all versions of a member's template, oldest first. */
	fetchHistory(member: ids.MemberId): Promise<readonly types.Template[]>;
	requestTemplateChange(
		change: types.TemplateChange,
	): Promise<types.TemplateChangeResult>;
};

export type HttpServerOptions = {
	/** Timeout of a daemon operation, in ms. */
	readonly operationTimeoutMs?: number;
	/** The memory budget of the process; by default one of its own. */
	readonly guard?: resourceGuard.ResourceGuard;
	readonly maxConnections?: number;
};

/** The response of an endpoint, before it is serialized. */
export type EndpointResponse = {
	readonly status: number;
	readonly body: unknown;
	/** Set when the body is text instead of JSON. */
	readonly contentType?: string;
	readonly headers?: Readonly<Record<string, string>>;
};
