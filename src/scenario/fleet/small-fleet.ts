/**
 * Proxies, one group of three servers and a scripted control peer, for tests of the proxy reducer.
 */
import type * as ids from '../../common/ids.js';
import * as admission from '../../common/policy/admission.js';
import * as hedgeDelay from '../../common/policy/hedge-delay.js';
import * as retryBudget from '../../common/policy/retry-budget.js';
import * as routing from '../../common/policy/routing.js';
import * as policyTesting from '../../common/policy/testing.js';
import type * as context from '../../common/proxy/context.js';
import * as reducer from '../../common/proxy/reducer.js';
import type * as proxy from '../../common/proxy/types.js';
import type * as templateStore from '../../common/proxy/template-store.js';
import * as random from '../../common/random.js';
import type * as types from '../../common/types.js';
import * as fakeServer from './fake-server.js';
import * as links from './links.js';
import * as proxyProcess from './proxy-process.js';
import * as scriptedControl from './scripted-control.js';
import * as timeline from './timeline.js';

const linkDelayMs = 1;
const announcementIntervalMs = 1000;
const controlPeer = 'c1' as ids.PeerId;

/** Creates the proxy reducer that tests use, with the production policies. */
export function createProxyReducer(options: {
	readonly peer: ids.PeerId;
	readonly dataCentre: ids.DataCentre;
	readonly incarnation: number;
	readonly controlPeers: readonly ids.PeerId[];
	readonly parameters: types.TemplateParameters;
	readonly seed: number;
	readonly timing?: Partial<context.ProxyTiming>;
	/** Without it, every template sets the parameters. */
	readonly parseTemplate?: templateStore.TemplateParser;
	readonly parseConfiguration?: templateStore.ConfigurationParser;
	readonly packing?: types.TextPacking;
	readonly routing?: routing.RoutingOptions;
}): reducer.ProxyReducer {
	const {parameters} = options;
	return new reducer.ProxyReducer(
		{
			peer: options.peer,
			vm: options.peer as string as ids.VmId,
			address: options.peer,
			dataCentre: options.dataCentre,
			incarnation: options.incarnation,
			controlPeers: options.controlPeers.map((peer) => ({
				peer,
				address: peer,
			})),
			drainDeadlineMs: 30_000,
			maxSessions: 10_000,
			...(options.timing ? {timing: options.timing} : {}),
		},
		{
			routing: new routing.LeastWaitRoutingPolicy(options.routing),
			retryBudget: new retryBudget.SuccessRetryBudget(),
			hedging: new hedgeDelay.HedgeDelayEstimator(),
			createScheduler: (slots) =>
				new admission.ServerAdmissionScheduler({
					slots,
					getParameters: () => parameters,
				}),
			parseTemplate: options.parseTemplate ?? (() => parameters),
			...(options.parseConfiguration
				? {parseConfiguration: options.parseConfiguration}
				: {}),
			...(options.packing ? {packing: options.packing} : {}),
		},
		random.createRandom(options.seed),
	);
}

export class SmallFleet {
	readonly timeline = new timeline.Timeline();
	readonly links = new links.Links(this.timeline, () => linkDelayMs);
	readonly servers: ReadonlyMap<string, fakeServer.FakeServer>;
	readonly proxies: proxyProcess.ProxyProcess[] = [];
	readonly control: scriptedControl.ScriptedControl;
	readonly group = 'ledger' as ids.GroupId;

	constructor(
		proxyCount: number,
		parameters: types.TemplateParameters = policyTesting.buildParameters(),
		timing: Partial<context.ProxyTiming> = {},
		parseConfiguration?: templateStore.ConfigurationParser,
	) {
		this.control = new scriptedControl.ScriptedControl(
			controlPeer,
			this.links,
			this.timeline,
		);
		this.links.addProcess(this.control);
		this.control.templates = [
			{
				member: 'm' as ids.MemberId,
				version: 1,
				text: '',
				changeId: 'first' as ids.ChangeId,
			},
		];
		this.servers = fakeServer.createGroup(
			(id, dataCentre) =>
				new fakeServer.FakeServer(id, this.group, dataCentre, this.timeline),
		);
		for (let index = 1; index <= proxyCount; index++) {
			this.addProxy(index, parameters, timing, parseConfiguration);
		}

		this.assignAll();
		this.timeline.scheduleEvery(announcementIntervalMs, () => {
			this.announceAll();
		});
		this.announceAll();
		this.timeline.runUntil(2000);
	}

	getServer(name: string): fakeServer.FakeServer {
		return this.servers.get(name)!;
	}

	/**
	 * Runs a statement and advances virtual time until it is answered. Throws when it is not answered
	 * within 10 s.
	 */
	run(
		proxyIndex: number,
		session: ids.SessionId,
		statement: fakeServer.FakeStatement,
		attributes: proxy.RequestAttributes = {},
	): proxyProcess.CallerAnswer {
		let result: proxyProcess.CallerAnswer | undefined;
		this.proxies[proxyIndex].send(session, statement, attributes, (answer) => {
			result = answer;
		});
		const deadlineAt = this.timeline.now + 10_000;
		while (result === undefined && this.timeline.now < deadlineAt) {
			this.timeline.runUntil(this.timeline.now + 1);
		}

		if (!result) {
			throw new Error('the statement was not answered within 10 s');
		}

		return result;
	}

	openSession(
		proxyIndex: number,
		attributes: Pick<proxy.SessionAttributes, 'key' | 'token'> = {},
	): ids.SessionId {
		return this.proxies[proxyIndex].openSession({
			member: 'm' as ids.MemberId,
			group: this.group,
			...attributes,
		});
	}

	private addProxy(
		index: number,
		parameters: types.TemplateParameters,
		timing: Partial<context.ProxyTiming>,
		parseConfiguration: templateStore.ConfigurationParser | undefined,
	): void {
		const peer = `p${index}` as ids.PeerId;
		const process = new proxyProcess.ProxyProcess(
			peer,
			this.timeline,
			this.links,
			this.servers,
			(incarnation) =>
				createProxyReducer({
					peer,
					dataCentre: `dc${index}` as ids.DataCentre,
					incarnation,
					controlPeers: [controlPeer],
					parameters,
					seed: index + 1000 * incarnation,
					timing,
					...(parseConfiguration ? {parseConfiguration} : {}),
				}),
		);
		this.links.addProcess(process);
		this.proxies.push(process);
	}

	private assignAll(): void {
		const names = ['s1', 's2', 's3'] as ids.UpstreamId[];
		for (const [index, name] of names.entries()) {
			const owner = this.proxies[index % this.proxies.length];
			this.control.assign(name, owner.peer, name === names[0] ? 1 : undefined);
		}

		this.control.setGroup({
			group: this.group,
			term: 1,
			termStart: 0,
			primary: names[0],
			servers: names,
			promoting: false,
		});
	}

	private announceAll(): void {
		for (const [index, server] of [...this.servers.values()].entries()) {
			if (server.isRunning) {
				this.proxies[index % this.proxies.length].announce(server);
			}
		}
	}
}

/** Creates a fleet of three proxies whose member tolerates reads that are this stale, in ms. */
export function createStalenessTolerantFleet(stalenessMs: number): SmallFleet {
	return new SmallFleet(3, {
		...policyTesting.buildParameters(),
		stalenessMs,
	});
}
