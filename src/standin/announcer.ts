/**
 * Announces a server to the proxies by HTTP (docs/design.md, "Announcements"): at a fixed interval
 * and at once on a change. Each round goes to one proxy, in turn, and on to the next one when a
 * proxy does not accept it.
 */
import {Buffer} from 'node:buffer';
import * as http from 'node:http';
import type * as shared from '../common/types.js';

/** A proxy that has not answered by then counts as failed. */
const requestTimeoutMs = 400;
const defaultIntervalMs = 1000;

export class Announcer {
	private readonly agent = new http.Agent({keepAlive: true, maxSockets: 2});
	private timer: NodeJS.Timeout | undefined;
	private next = 0;

	private readonly proxies: readonly string[];
	private readonly intervalMs: number;
	/** Returns undefined while nothing may leave the server. */
	private readonly readAnnouncement: () => shared.Announcement | undefined;

	constructor(
		proxies: readonly string[],
		readAnnouncement: () => shared.Announcement | undefined,
		intervalMs = defaultIntervalMs,
	) {
		this.proxies = proxies;
		this.intervalMs = intervalMs;
		this.readAnnouncement = readAnnouncement;
	}

	start(): void {
		if (this.proxies.length === 0 || this.timer) {
			return;
		}

		this.timer = setInterval(() => {
			this.send();
		}, this.intervalMs);
		this.send();
	}

	/** Announces at once. */
	send(): void {
		const announcement = this.timer ? this.readAnnouncement() : undefined;
		if (announcement) {
			void this.trySend(JSON.stringify(announcement));
		}
	}

	stop(): void {
		clearInterval(this.timer);
		this.timer = undefined;
		this.agent.destroy();
	}

	private async trySend(body: string): Promise<void> {
		const {next, proxies} = this;
		this.next = (next + 1) % proxies.length;
		for (const proxy of [...proxies.slice(next), ...proxies.slice(0, next)]) {
			if ((await this.sendTo(proxy, body)) || !this.timer) {
				return;
			}
		}
	}

	/** Returns true when the proxy accepted the announcement. */
	private async sendTo(proxy: string, body: string): Promise<boolean> {
		return new Promise((resolve) => {
			const request = http.request(
				`http://${proxy}/announce`,
				{
					method: 'POST',
					agent: this.agent,
					timeout: requestTimeoutMs,
					headers: {
						'content-type': 'application/json',
						'content-length': Buffer.byteLength(body),
					},
				},
				(response) => {
					response.resume();
					resolve((response.statusCode ?? 500) < 300);
				},
			);
			request.on('timeout', () => {
				request.destroy();
			});
			request.on('error', () => {
				resolve(false);
			});
			request.on('close', () => {
				resolve(false);
			});
			request.end(body);
		});
	}
}
