/**
 * The baseline of the differential tests: a naive proxy and a naive control process. A proxy uses
 * one connection per server for all its sessions, reads from any replica, acknowledges as soon as
 * the primary answers, retries after a lost connection and reports every timeout as "not run". A
 * control process promotes the first running replica once the primary has been unreachable for
 * 500 ms.
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

const networkDelayMs = 5;
const primaryTimeoutMs = 500;
const defaultDeadlineMs = 1000;

/** State that all processes of the naive version share. */
type SharedState = {
	primary: fakeServer.FakeServer;
	/** Template version by name of the proxy or control process. */
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
		private readonly shared: SharedState,
	) {
		super();
	}

	get isReady(): boolean {
		return this.condition === 'up';
	}

	get templateVersion(): number {
		return this.shared.versions.get(this.peer) ?? 0;
	}

	openSession(): ids.SessionId {
		return this.nextSession++ as ids.SessionId;
	}

	closeSession(): void {
		// The connection is shared, so it keeps the state that the session left.
	}

	drain(): void {
		this.kill();
	}

	override restart(): void {
		super.restart();
		this.shared.versions.set(this.peer, 0);
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
		callback: (answer: proxyProcess.CallerAnswer) => void,
	): void {
		const server =
			statement.type === 'get' ? this.chooseReplica() : this.shared.primary;
		const connection = this.getConnection(server);
		this.timeline.schedule(networkDelayMs + server.serviceMs, () => {
			this.executeOnServer(server, connection, statement, callback);
		});
	}

	private executeOnServer(
		server: fakeServer.FakeServer,
		connection: fakeServer.ServerSession,
		statement: fakeServer.FakeStatement,
		callback: (answer: proxyProcess.CallerAnswer) => void,
	): void {
		if (!server.isReachableFrom(this.peer)) {
			return;
		}

		if (server.isDown) {
			this.timeline.schedule(20, () => {
				this.receive(() => {
					this.execute(statement, callback);
				});
			});
			return;
		}

		if (server.isFrozen) {
			this.timeline.schedule(10, () => {
				this.executeOnServer(server, connection, statement, callback);
			});
			return;
		}

		const result = server.execute(connection, statement);
		this.timeline.schedule(networkDelayMs, () => {
			this.receive(() => {
				if (server.isDown) {
					// The answer was lost, so the statement is sent again.
					this.execute(statement, callback);
				} else if (result !== 'keyUsed') {
					callback({type: 'answered', answer: result, token: undefined});
				}
			});
		});
	}

	private chooseReplica(): fakeServer.FakeServer {
		const replicas = [...this.servers.values()].filter(
			(server) => server.role === 'replica' && !server.isDown,
		);
		this.nextReplica++;
		return replicas[this.nextReplica % replicas.length] ?? this.shared.primary;
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
	private unreachableSince: number | undefined;

	constructor(
		private readonly peer: string,
		private readonly timeline: timeline.Timeline,
		private readonly servers: ReadonlyMap<string, fakeServer.FakeServer>,
		private readonly shared: SharedState,
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
		this.shared.versions.set(this.peer, 0);
	}

	requestChange(
		change: types.TemplateChange,
		callback: (result: types.TemplateChangeResult) => void,
	): void {
		this.receive(() => {
			const current = this.shared.versions.get(this.peer) ?? 0;
			if (change.expectedVersion !== current) {
				callback({type: 'versionConflict', currentVersion: current});
				return;
			}

			const version = current + 1;
			this.shared.versions.set(this.peer, version);
			for (const name of this.shared.versions.keys()) {
				this.pushVersion(name, version);
			}

			callback({type: 'accepted', version});
		});
	}

	private pushVersion(name: string, version: number): void {
		this.timeline.schedule(networkDelayMs, () => {
			if (!this.shared.isCut(this.peer, name)) {
				this.shared.versions.set(name, version);
			}
		});
	}

	private checkPrimary(): void {
		const {primary} = this.shared;
		const isUnreachable =
			!primary.isRunning || !primary.isReachableFrom(this.peer);
		if (!isUnreachable) {
			this.unreachableSince = undefined;
			return;
		}

		this.unreachableSince ??= this.timeline.now;
		if (this.timeline.now - this.unreachableSince >= primaryTimeoutMs) {
			this.promoteFirstRunning(primary);
		}
	}

	private promoteFirstRunning(oldPrimary: fakeServer.FakeServer): void {
		const newPrimary = [...this.servers.values()].find(
			(server) => server !== oldPrimary && server.isRunning,
		);
		if (!newPrimary) {
			return;
		}

		const term = oldPrimary.term + 1;
		newPrimary.setFence(term);
		newPrimary.promote(term);
		this.shared.primary = newPrimary;
		this.handlePromotion(newPrimary);
		for (const server of this.servers.values()) {
			if (server !== newPrimary && server !== oldPrimary) {
				server.follow(term, newPrimary);
			}
		}
	}
}

export class NaiveFleet implements fleetTypes.ScenarioFleet {
	readonly timeline = new timeline.Timeline();
	readonly links = new links.Links(this.timeline, () => networkDelayMs);
	readonly servers: ReadonlyMap<string, fakeServer.FakeServer>;
	readonly proxies = new Map<string, NaiveProxy>();
	readonly controls = new Map<string, NaiveControl>();
	readonly promotions: fleetTypes.PromotionRecord[] = [];
	readonly group = 'ledger' as ids.GroupId;
	readonly member = 'm' as ids.MemberId;
	private readonly shared: SharedState;

	constructor(options: {readonly proxies: number; readonly controls: number}) {
		this.servers = fakeServer.createGroup(
			(id, dataCentre) =>
				new fakeServer.FakeServer(id, this.group, dataCentre, this.timeline),
		);
		this.shared = {
			primary: this.servers.get('s1')!,
			versions: new Map(),
			isCut: (from, to) =>
				this.links.isCut(from as ids.PeerId, to as ids.PeerId),
		};
		for (let index = 1; index <= options.proxies; index++) {
			this.shared.versions.set(`p${index}`, 0);
			this.proxies.set(
				`p${index}`,
				new NaiveProxy(`p${index}`, this.timeline, this.servers, this.shared),
			);
		}

		for (let index = 1; index <= options.controls; index++) {
			this.shared.versions.set(`c${index}`, 0);
			this.controls.set(
				`c${index}`,
				new NaiveControl(
					`c${index}`,
					this.timeline,
					this.servers,
					this.shared,
					(server) => {
						this.promotions.push({
							at: this.timeline.now,
							term: server.term,
							server: server.id,
							values: new Set(server.log.map(({value}) => value)),
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
		return this.shared.primary;
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
