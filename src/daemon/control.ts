/**
 * Starts the control daemon with its adapters from validated settings.
 */
import type * as consensus from '../common/consensus/types.js';
import * as storageLimits from '../common/control/storage-limits.js';
import type * as control from '../common/control/types.js';
import * as metrics from '../common/metrics/metrics.js';
import type * as rateBound from '../common/policy/rate-bound.js';
import * as template from '../common/template/parse.js';
import * as httpServer from '../node/http/server.js';
import type * as http from '../node/http/types.js';
import * as resourceGuard from '../node/limits/resource-guard.js';
import * as logger from '../node/logging/logger.js';
import * as peerLinks from '../node/peer/peer-links.js';
import type * as settings from '../node/settings/types.js';
import * as logStorage from '../node/storage/log-storage.js';
import * as clock from './clock.js';
import * as controlDaemon from './control-daemon.js';
import type * as controlTypes from './control-types.js';
import * as serverCalls from './server-calls.js';
import type * as daemon from './types.js';

/** User and database of control's connections to servers, which trust the control VMs. */
const upstreamUser = 'hemlockarch';
const storageFailureExitCode = 1;
/** The overage lets a customer whose burst equals its rate use the whole rate. */
const customerBound: rateBound.RateBound = {
	windowMs: 5000,
	overage: 0.12,
	slack: 0,
};

/**
 * Starts a control peer.
 *
 * @throws The error of the storage when the data folder is damaged or in use, or the error of the
 * system when a listener cannot be opened.
 */
export async function startControl(
	settings: settings.Settings,
): Promise<daemon.RunningDaemon> {
	const {process, listen} = settings;
	if (process.dataFolder === undefined) {
		throw new Error('a control peer needs a data folder');
	}

	const runningDaemon = await controlDaemon.startControlDaemon(
		{
			peer: process.id,
			dataCentre: process.dataCentre,
			address: `${listen.address}:${listen.peersPort}`,
			controlPeers: settings.control.peers.map(({id, address}) => ({
				peer: id,
				address,
			})),
			rateLimits: {
				bound: customerBound,
				parseTemplateCustomers: (text) =>
					template
						.parseTemplate(text)
						.map(({customers}) => customers?.values() ?? [])
						.unwrapOr(undefined),
			},
			...(settings.limits.diskBytes === undefined
				? {}
				: {diskBytes: settings.limits.diskBytes}),
			peerListener: {address: listen.address, port: listen.peersPort},
			httpListener: {address: listen.address, port: listen.httpPort},
		},
		await createAdapters(settings, process.dataFolder),
	);
	return {
		finished: waitForExitCode(runningDaemon),
		startDrain() {
			void runningDaemon.drain();
		},
		setControlPeers(controlPeers) {
			runningDaemon.setControlPeers(controlPeers);
		},
	};
}

async function waitForExitCode(
	runningDaemon: controlTypes.ControlDaemon,
): Promise<number> {
	const failure = await runningDaemon.stopped;
	await runningDaemon.dispose();
	return failure === undefined ? 0 : storageFailureExitCode;
}

async function createAdapters(
	settings: settings.Settings,
	dataFolder: string,
): Promise<controlTypes.ControlAdapters> {
	const daemonLogger = logger.createLogger(settings.log);
	const daemonMetrics = new metrics.Metrics();
	const guard = new resourceGuard.ResourceGuard({
		memoryBytes: settings.limits.memoryBytes ?? resourceGuard.readHeapLimit(),
		clock: clock.systemClock,
		logger: daemonLogger,
		countLimit(limit) {
			daemonMetrics.countEvent(`limit${limit}`);
		},
	});
	const {diskBytes} = settings.limits;
	const storage = await logStorage.openLogStorage<
		control.ControlCommand,
		unknown
	>(dataFolder, {
		reserveBytes: storageLimits.computeReserveBytes(diskBytes),
	});
	return {
		clock: clock.systemClock,
		logger: daemonLogger,
		storage,
		serverClient: serverCalls.createServerClient({
			user: upstreamUser,
			database: upstreamUser,
		}),
		createLinks: (listener) =>
			peerLinks.createPeerLinks({
				hello: {
					type: 'hello',
					peer: settings.process.id,
					role: 'control',
					incarnation: clock.systemClock.readWallClock(),
					protocol: peerLinks.protocolVersion,
					dataCentre: settings.process.dataCentre,
					region: settings.process.region,
				},
				traffic: daemonMetrics.traffic,
				listener,
				clock: clock.systemClock,
				logger: daemonLogger,
				random: Math.random,
			}),
		createHttp: (handler) =>
			new httpServer.HttpServer(
				createEndpoints(handler, guard, daemonMetrics, storage),
				daemonLogger,
				{guard},
			),
		random: Math.random,
	};
}

function createEndpoints(
	handler: controlTypes.ControlHandler,
	guard: resourceGuard.ResourceGuard,
	daemonMetrics: metrics.Metrics,
	storage: consensus.LogStorage<control.ControlCommand>,
): http.DaemonEndpoints {
	return {
		get metrics() {
			recordStorage(daemonMetrics, storage.readStatus?.());
			daemonMetrics.setGauge(
				'control_ready',
				handler.readHealth().ready ? 1 : 0,
			);
			return daemonMetrics;
		},
		readHealth: () => handler.readHealth(),
		readStatus: () => ({
			...(handler.readStatus() as object),
			memory: guard.readStatus(),
			storage: storage.readStatus?.(),
		}),
		startDrain() {
			void handler.drain();
		},
		async listTemplates() {
			const result = await handler.runQuery({type: 'templates'});
			return result.type === 'templates' ? result.templates : [];
		},
		async fetchTemplate(member) {
			const result = await handler.runQuery({type: 'template', member});
			return result.type === 'template' ? result.template : undefined;
		},
		async fetchHistory(member) {
			const result = await handler.runQuery({type: 'history', member});
			return result.type === 'history' ? result.history : [];
		},
		requestTemplateChange: async (change) =>
			handler.requestTemplateChange(change),
	};
}

function recordStorage(
	daemonMetrics: metrics.Metrics,
	status: consensus.StorageStatus | undefined,
): void {
	if (status) {
		daemonMetrics.setGauge('storage_log_bytes', status.logBytes);
		daemonMetrics.setGauge('storage_refused_writes', status.refusals);
		daemonMetrics.setGauge('storage_low', status.space === 'low' ? 1 : 0);
		daemonMetrics.setGauge(
			'storage_full',
			status.space === 'exhausted' ? 1 : 0,
		);
	}
}
