/**
 * The interface of a fleet for the scenario interpreter. The fleet of production reducers and the
 * naive version both implement it, so that the same scenarios run on both.
 */
import type * as ids from '../../common/ids.js';
import type * as proxy from '../../common/proxy/types.js';
import type * as types from '../../common/types.js';
import type * as fakeServer from './fake-server.js';
import type * as links from './links.js';
import type * as proxyProcess from './proxy-process.js';
import type * as timeline from './timeline.js';

/** A process that a scenario can freeze, kill and restart. */
export type FleetProcess = {
	readonly condition: 'up' | 'frozen' | 'dead';
	freeze(): void;
	thaw(): void;
	kill(): void;
	restart(isDiskLost?: boolean): void;
};

export type FleetProxy = FleetProcess & {
	/** Readiness as the load balancer sees it. */
	readonly isReady: boolean;
	/** Version of the template in force; 0 without one. */
	readonly templateVersion: number;
	/** Records of its requests; `servedBy` is the role of the server that answered. */
	readonly records: readonly proxy.RequestRecord[];
	/** `handleClose` is called when the proxy closes the connection. */
	openSession(
		attributes: proxy.SessionAttributes,
		handleClose: () => void,
	): ids.SessionId;
	closeSession(session: ids.SessionId): void;
	send(
		session: ids.SessionId,
		statement: fakeServer.FakeStatement,
		attributes: proxy.RequestAttributes,
		callback: (answer: proxyProcess.CallerAnswer) => void,
		/** Called when the proxy reads the statement. */
		handleRead?: () => void,
	): void;
	drain(): void;
};

export type FleetControl = FleetProcess & {
	requestChange(
		change: types.OperatorChange,
		callback: (result: types.TemplateChangeResult) => void,
	): void;
};

/** A promotion that took effect on the promoted server. */
export type PromotionRecord = {
	readonly at: number;
	readonly term: number;
	readonly server: ids.UpstreamId;
	/** The values in the log of the server at that time. */
	readonly values: ReadonlySet<string>;
};

export type ScenarioFleet = {
	readonly timeline: timeline.Timeline;
	readonly links: links.Links;
	readonly servers: ReadonlyMap<string, fakeServer.FakeServer>;
	readonly proxies: ReadonlyMap<string, FleetProxy>;
	readonly controls: ReadonlyMap<string, FleetControl>;
	readonly promotions: readonly PromotionRecord[];
	readonly group: ids.GroupId;
	readonly member: ids.MemberId;
	startUp(): void;
	findPrimary(): fakeServer.FakeServer | undefined;
	changeTemplate(
		control: string,
		expectedVersion: number,
		changeId: string,
		callback: (result: types.TemplateChangeResult) => void,
	): void;
	restartServer(server: fakeServer.FakeServer): void;
};
