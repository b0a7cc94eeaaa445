/**
 * The baseline of the differential tests: proxies that share one connection per server, read from
 * any replica, acknowledge as soon as the primary answers, resend after a lost connection and call
 * every time-out "not run"; and a control process that promotes the first replica as soon as the
 * primary is silent.
 */
import type * as ids from '../../common/ids.js';
import type * as proxy from '../../common/proxy/types.js';
import type * as types from '../../common/types.js';
import * as fakeProcess from './fake-process.js';
import * as fakeServer from './fake-server.js';
import type * as fleetTypes from './fleet-types.js';
import * as links from './links.js';
import type * as proxyProcess from './proxy-process.js';
import * as timeline from './timeline.js';

const networkMs = 5;
const silenceMs = 500;
const defaultDeadlineMs = 1000;

/** Processes of the naive version share what they know through this object. */
type SharedView = {
	primary: fakeServer.FakeServer;
	/** Template version by proxy and by control process. */
	readonly versions: Map<string, number>;
	isCut(from: string, to: string): boolean;
};

class NaiveProxy
	extends fakeProcess.FakeProcess
	implements fleetTypes.FleetProxy
{
	readonly records: proxy.RequestRecord[] = [];
	private nextSession = 1;
	private nextReplica = 0;
	private readonly connections = new Map<
		fakeServer.FakeServer,
		fakeServer.ServerSession
	>();

	constructor(
		private readonly peer: string,
		private readonly timeline: timeline.Timeline,
		private readonly servers: ReadonlyMap<string, fakeServer.FakeServer>,
		private readonly view: SharedView,
	) {
		super();
	}

	get isReady(): boolean {
		return this.condition === 'up';
	}

	get templateVersion(): number {
		return this.view.versions.get(this.peer) ?? 0;
	}

	openSession(): ids.SessionId {
		return this.nextSession++ as ids.SessionId;
	}

	closeSession(): void {
		// The shared connection stays as the session left it.
	}

	drain(): void {
		this.kill();
	}

	override restart(): void {
		super.restart();
		this.view.versions.set(this.peer, 0);
	}

	send(
		_session: ids.SessionId,
		statement: fakeServer.FakeStatement,
		attributes: proxy.RequestAttributes,
		callback: (answer: proxyProcess.CallerAnswer) => void,
	): void {
		let isAnswered = false;
		const answerOnce = (answer: proxyProcess.CallerAnswer) => {
			if (!isAnswered) {
				isAnswered = true;
				callback(answer);
			}
		};

		this.receive(() => {
			this.execute(statement, answerOnce);
		});
		this.timeline.schedule(attributes.deadlineMs ?? defaultDeadlineMs, () => {
			answerOnce(
				this.condition === 'dead'
					? {type: 'closed', sqlState: '08006'}
					: {type: 'refused', sqlState: 'HK002'},
			);
		});
	}

	private execute(
		statement: fakeServer.FakeStatement,
		answer: (answer: proxyProcess.CallerAnswer) => void,
	): void {
		const server =
			statement.type === 'get' ? this.chooseReplica() : this.view.primary;
		const connection = this.getConnection(server);
		this.timeline.schedule(networkMs + server.serviceMs, () => {
			this.arrive(server, connection, statement, answer);
		});
	}

	private arrive(
		server: fakeServer.FakeServer,
		connection: fakeServer.ServerSession,
		statement: fakeServer.FakeStatement,
		answer: (answer: proxyProcess.CallerAnswer) => void,
	): void {
		if (!server.isReachableFrom(this.peer)) {
			return;
		}

		if (server.isDown) {
			this.timeline.schedule(20, () => {
				this.receive(() => {
					this.execute(statement, answer);
				});
			});
			return;
		}

		if (server.isFrozen) {
			this.timeline.schedule(10, () => {
				this.arrive(server, connection, statement, answer);
			});
			return;
		}

		const result = server.execute(connection, statement);
		this.timeline.schedule(networkMs, () => {
			this.receive(() => {
				if (server.isDown) {
					// The answer was lost, so the statement is sent again.
					this.execute(statement, answer);
				} else if (result !== 'keyUsed') {
					answer({type: 'answered', answer: result, token: undefined});
				}
			});
		});
	}

	private chooseReplica(): fakeServer.FakeServer {
		const replicas = [...this.servers.values()].filter(
			(server) => server.role === 'replica' && !server.isDown,
		);
		this.nextReplica++;
		return replicas[this.nextReplica % replicas.length] ?? this.view.primary;
	}

	private getConnection(
		server: fakeServer.FakeServer,
	): fakeServer.ServerSession {
		let connection = this.connections.get(server);
		if (!connection) {
			connection = {pendingWrites: undefined, isOpen: true};
			server.sessions.add(connection);
			this.connections.set(server, connection);
		}

		return connection;
	}
}

class NaiveControl
	extends fakeProcess.FakeProcess
	implements fleetTypes.FleetControl
{
	private silentSince: number | undefined;

	constructor(
		private readonly peer: string,
		private readonly timeline: timeline.Timeline,
		private readonly servers: ReadonlyMap<string, fakeServer.FakeServer>,
		private readonly view: SharedView,
		private readonly handlePromotion: (server: fakeServer.FakeServer) => void,
	) {
		super();
		timeline.scheduleEvery(50, () => {
			if (this.condition === 'up') {
				this.checkPrimary();
			}
		});
	}

	override restart(): void {
		super.restart();
		this.view.versions.set(this.peer, 0);
	}

	requestChange(
		change: types.TemplateChange,
		callback: (result: types.TemplateChangeResult) => void,
	): void {
		this.receive(() => {
			const current = this.view.versions.get(this.peer) ?? 0;
			if (change.expectedVersion !== current) {
				callback({type: 'versionConflict', currentVersion: current});
				return;
			}

			const version = current + 1;
			this.view.versions.set(this.peer, version);
			for (const name of this.view.versions.keys()) {
				this.push(name, version);
			}

			callback({type: 'accepted', version});
		});
	}

	private push(name: string, version: number): void {
		this.timeline.schedule(networkMs, () => {
			if (!this.view.isCut(this.peer, name)) {
				this.view.versions.set(name, version);
			}
		});
	}

	private checkPrimary(): void {
		const {primary} = this.view;
		const isSilent = !primary.isRunning || !primary.isReachableFrom(this.peer);
		if (!isSilent) {
			this.silentSince = undefined;
			return;
		}

		this.silentSince ??= this.timeline.now;
		if (this.timeline.now - this.silentSince >= silenceMs) {
			this.promoteFirst(primary);
		}
	}

	private promoteFirst(old: fakeServer.FakeServer): void {
		const chosen = [...this.servers.values()].find(
			(server) => server !== old && server.isRunning,
		);
		if (!chosen) {
			return;
		}

		const term = old.term + 1;
		chosen.setFence(term);
		chosen.promote(term);
		this.view.primary = chosen;
		this.handlePromotion(chosen);
		for (const server of this.servers.values()) {
			if (server !== chosen && server !== old) {
				server.follow(term, chosen);
			}
		}
	}
}

export class NaiveFleet implements fleetTypes.ScenarioFleet {
	readonly timeline = new timeline.Timeline();
	readonly links = new links.Links(this.timeline, () => networkMs);
	readonly servers: ReadonlyMap<string, fakeServer.FakeServer>;
	readonly proxies = new Map<string, NaiveProxy>();
	readonly controls = new Map<string, NaiveControl>();
	readonly promotions: fleetTypes.PromotionRecord[] = [];
	readonly group = 'ledger' as ids.GroupId;
	readonly member = 'm' as ids.MemberId;
	private readonly view: SharedView;

	constructor(options: {readonly proxies: number; readonly controls: number}) {
		this.servers = fakeServer.createGroup(this.group, this.timeline);
		this.view = {
			primary: this.servers.get('s1')!,
			versions: new Map(),
			isCut: (from, to) =>
				this.links.isCut(from as ids.PeerId, to as ids.PeerId),
		};
		for (let index = 1; index <= options.proxies; index++) {
			this.view.versions.set(`p${index}`, 0);
			this.proxies.set(
				`p${index}`,
				new NaiveProxy(`p${index}`, this.timeline, this.servers, this.view),
			);
		}

		for (let index = 1; index <= options.controls; index++) {
			this.view.versions.set(`c${index}`, 0);
			this.controls.set(
				`c${index}`,
				new NaiveControl(
					`c${index}`,
					this.timeline,
					this.servers,
					this.view,
					(server) => {
						this.promotions.push({
							at: this.timeline.now,
							term: server.term,
							server: server.id,
						});
					},
				),
			);
		}
	}

	startUp(): void {
		this.changeTemplate('c1', 0, 'first', () => undefined);
		this.timeline.runUntil(8000);
	}

	findPrimary(): fakeServer.FakeServer {
		return this.view.primary;
	}

	changeTemplate(
		control: string,
		expectedVersion: number,
		changeId: string,
		callback: (result: types.TemplateChangeResult) => void,
	): void {
		this.controls.get(control)!.requestChange(
			{
				member: this.member,
				text: '',
				expectedVersion,
				changeId: changeId as ids.ChangeId,
			},
			callback,
		);
	}

	restartServer(server: fakeServer.FakeServer): void {
		server.restart();
	}
}
