/**
 * Announces a server to the proxies over HTTP (docs/design.md, "Announcements"): at a fixed interval
 * and immediately on a change. Each announcement goes to one proxy, chosen in rotation; if that
 * proxy does not accept it, the next ones are tried.
 */
import {Buffer} from 'node:buffer';
import * as http from 'node:http';
import type * as shared from '../common/types.js';

/** A proxy that has not answered within this time counts as failed. */
const requestTimeoutMs = 400;
const defaultIntervalMs = 1000;

export class Announcer {
	private readonly agent = new http.Agent({keepAlive: true, maxSockets: 2});
	private timer: NodeJS.Timeout | undefined;
	private nextProxyIndex = 0;

	private readonly proxies: readonly string[];
	private readonly intervalMs: number;
	/** Returns undefined while a fault keeps the server from sending. */
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

	/** Sends an announcement immediately; does nothing while the announcer is stopped. */
	send(): void {
		const announcement = this.timer ? this.readAnnouncement() : undefined;
		if (announcement) {
			void this.sendToNextProxy(JSON.stringify(announcement));
		}
	}

	stop(): void {
		clearInterval(this.timer);
		this.timer = undefined;
		this.agent.destroy();
	}

	private async sendToNextProxy(body: string): Promise<void> {
		const {nextProxyIndex, proxies} = this;
		this.nextProxyIndex = (nextProxyIndex + 1) % proxies.length;
		for (const proxy of [
			...proxies.slice(nextProxyIndex),
			...proxies.slice(0, nextProxyIndex),
		]) {
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
