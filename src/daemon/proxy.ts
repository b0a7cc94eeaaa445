/**
 * Starts the proxy daemon that speaks PostgreSQL with callers and servers, from validated settings.
 */
import * as callerAdapter from '../node/caller/caller-adapter.js';
import * as httpServer from '../node/http/server.js';
import * as logger from '../node/logging/logger.js';
import type * as settings from '../node/settings/types.js';
import * as upstreamAdapter from '../node/upstream/upstream-adapter.js';
import * as clock from './clock.js';
import * as proxyDaemon from './proxy-daemon.js';
import type * as daemon from './types.js';

/** User and database of pooled connections to servers, which trust the proxy VMs. */
const upstreamUser = 'hemlockarch';

/** Limits on the connections of the HTTP listener, whose clients are servers and operators. */
const minHttpConnections = 32;
const maxHttpConnections = 1024;
/** Share of the callers' connections that the HTTP listener may have. */
const httpShare = 0.25;

function chooseHttpConnections(maxCallerConnections: number): number {
	return Math.max(
		minHttpConnections,
		Math.min(maxHttpConnections, Math.floor(maxCallerConnections * httpShare)),
	);
}

/**
 * Starts a proxy.
 *
 * @throws The error of the system when a listener cannot be opened.
 */
export async function startProxy(
	settings: settings.Settings,
): Promise<daemon.RunningDaemon> {
	const daemonLogger = logger.createLogger(settings.log);
	const proxy = new proxyDaemon.ProxyDaemon(
		settings,
		daemonLogger,
		clock.systemClock.readWallClock(),
		{
			createCallers: (
				{dispatch, reducer, logger, instanceId, guard, countEvent},
				handleDrain,
			) =>
				callerAdapter.createCallerAdapter({
					dispatch,
					clock: clock.systemClock,
					logger,
					instanceId,
					needsKey: (member) => !reducer.templates.getAccess(member).isOpen,
					handleDrain,
					guard,
					maxConnections: settings.limits.maxConnections,
					countEvent,
				}),
			createUpstreams: ({dispatch, logger}, relay) =>
				upstreamAdapter.createUpstreamAdapter({
					dispatch,
					clock: clock.systemClock,
					logger,
					relayToSession: relay.toSession,
					relayToPeer: relay.toPeer,
					user: upstreamUser,
					database: upstreamUser,
				}),
			createHttp: (endpoints, guard) =>
				new httpServer.HttpServer(endpoints, daemonLogger, {
					guard,
					maxConnections: chooseHttpConnections(settings.limits.maxConnections),
				}),
		},
	);
	return proxyDaemon.runProxy(proxy);
}
