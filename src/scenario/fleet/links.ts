/**
 * In-memory links between processes. Messages arrive after a delay, are lost while a link is cut,
 * and wait while the receiver is frozen. Like the real links, they are closed after an idle timeout
 * of one second.
 */
import type * as ids from '../../common/ids.js';
import type * as messages from '../../common/messages.js';
import type * as timeline from './timeline.js';

const idleTimeoutMs = 1000;
const reconnectIntervalMs = 100;

/** A process as the links see it. */
export type LinkedProcess = {
	readonly peer: ids.PeerId;
	readonly condition: 'up' | 'frozen' | 'dead';
	handleMessage(from: ids.PeerId, message: messages.PeerMessage): void;
	handleLinkChange(peer: ids.PeerId, up: boolean): void;
};

export type Link = {
	isWanted: boolean;
	isUp: boolean;
	idleSince: number | undefined;
};

export class Links {
	private readonly processes = new Map<ids.PeerId, LinkedProcess>();
	private readonly links = new Map<string, Link>();
	private readonly cuts = new Set<string>();

	/** @param computeDelay - One-way delay between two processes in ms. */
	constructor(
		private readonly timeline: timeline.Timeline,
		private readonly computeDelay: (from: ids.PeerId, to: ids.PeerId) => number,
	) {
		timeline.scheduleEvery(reconnectIntervalMs, () => {
			this.checkLinks();
		});
	}

	addProcess(process: LinkedProcess): void {
		this.processes.set(process.peer, process);
	}

	/** Drops all messages between two processes, in both directions. */
	cut(left: ids.PeerId, right: ids.PeerId): void {
		this.cuts.add(`${left}>${right}`);
		this.cuts.add(`${right}>${left}`);
	}

	/** Drops all messages in one direction. */
	cutOneWay(from: ids.PeerId, to: ids.PeerId): void {
		this.cuts.add(`${from}>${to}`);
	}

	isCut(from: ids.PeerId, to: ids.PeerId): boolean {
		return this.cuts.has(`${from}>${to}`);
	}

	heal(): void {
		this.cuts.clear();
	}

	connect(from: ids.PeerId, to: ids.PeerId): void {
		const key = `${from}>${to}`;
		const link = this.links.get(key);
		if (link) {
			link.isWanted = true;
		} else {
			this.links.set(key, {
				isWanted: true,
				isUp: false,
				idleSince: undefined,
			});
		}

		this.timeline.schedule(2, () => {
			this.tryConnect(from, to);
		});
	}

	disconnect(from: ids.PeerId, to: ids.PeerId): void {
		const link = this.links.get(`${from}>${to}`);
		if (link) {
			link.isWanted = false;
			this.setDown(from, to, link);
		}
	}

	/** Removes the links of a process that exited; its peers see closed connections. */
	handleProcessExit(peer: ids.PeerId): void {
		for (const [key, link] of this.links) {
			const [from, to] = key.split('>') as [ids.PeerId, ids.PeerId];
			if (from === peer) {
				this.links.delete(key);
			} else if (to === peer && link.isUp) {
				this.timeline.schedule(1, () => {
					this.setDown(from, to, link);
				});
			}
		}
	}

	send(from: ids.PeerId, to: ids.PeerId, message: messages.PeerMessage): void {
		if (this.isUp(from, to)) {
			this.timeline.schedule(this.computeDelay(from, to), () => {
				this.deliver(from, to, message);
			});
		}
	}

	protected isUp(from: ids.PeerId, to: ids.PeerId): boolean {
		return this.links.get(`${from}>${to}`)?.isUp ?? false;
	}

	protected deliver(
		from: ids.PeerId,
		to: ids.PeerId,
		message: messages.PeerMessage,
	): void {
		const process = this.processes.get(to);
		if (process && !this.isCut(from, to)) {
			process.handleMessage(from, message);
		}
	}

	/** Closes a link for both ends; a frozen process is told at its thaw. */
	protected close(from: ids.PeerId, to: ids.PeerId): void {
		for (const [near, far] of [
			[from, to],
			[to, from],
		]) {
			const link = this.links.get(`${near}>${far}`);
			if (link) {
				this.setDown(near, far, link);
			}
		}
	}

	protected setDown(from: ids.PeerId, to: ids.PeerId, link: Link): void {
		if (link.isUp) {
			link.isUp = false;
			this.processes.get(from)?.handleLinkChange(to, false);
		}
	}

	private checkLinks(): void {
		const {now} = this.timeline;
		for (const [key, link] of this.links) {
			const [from, to] = key.split('>') as [ids.PeerId, ids.PeerId];
			if (!link.isUp) {
				this.tryConnect(from, to);
				continue;
			}

			const isIdle =
				this.cuts.has(key) ||
				this.cuts.has(`${to}>${from}`) ||
				this.processes.get(to)?.condition !== 'up';
			link.idleSince = isIdle ? (link.idleSince ?? now) : undefined;
			if (isIdle && now - link.idleSince! >= idleTimeoutMs) {
				this.close(from, to);
			}
		}
	}

	private tryConnect(from: ids.PeerId, to: ids.PeerId): void {
		const key = `${from}>${to}`;
		const link = this.links.get(key);
		const canConnect =
			this.processes.get(from)?.condition === 'up' &&
			this.processes.get(to)?.condition === 'up' &&
			!this.cuts.has(key) &&
			!this.cuts.has(`${to}>${from}`);
		if (link?.isWanted && !link.isUp && canConnect) {
			this.setUp(from, to);
			// The other side sends on the connection that it has accepted.
			this.setUp(to, from);
		}
	}

	private setUp(from: ids.PeerId, to: ids.PeerId): void {
		const key = `${from}>${to}`;
		const link = this.links.get(key) ?? {
			isWanted: false,
			isUp: false,
			idleSince: undefined,
		};
		this.links.set(key, link);
		if (!link.isUp) {
			link.isUp = true;
			link.idleSince = undefined;
			this.processes.get(from)!.handleLinkChange(to, true);
		}
	}
}
