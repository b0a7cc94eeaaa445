/**
 * Hands the configuration to proxies in parts. A proxy asks for a part once it has the one before, so
 * its link never carries more than one, and a lease or a request waits for one part at most. The parts
 * for all proxies are limited per tick, so that heartbeats of this peer do not wait behind them.
 */
import type * as ids from '../ids.js';
import type * as messages from '../messages.js';
import type * as types from '../types.js';

/** Largest part; what is urgent on a slow link waits for one part at most. */
export const partBytes = 16 * 1024;
/** Leaves room for heartbeats and leases on the link of a control peer. */
const bytesPerTick = 160 * 1024;
/** A version that is committed reaches a follower with the next heartbeat of the leader. */
const waitLimitMs = 1000;
/** Transfers of these versions go on while newer ones are committed. */
const retainedVersions = 3;

type Packed = {readonly version: number; readonly bytes: Uint8Array};

type Fetch = {
	readonly version: number;
	readonly offset: number;
	readonly requestedAt: number;
};

export type SourceEnvironment = {
	readonly packing: types.TextPacking;
	/** True while this peer receives the log, so that a version that it lacks may still come. */
	isFollowing(): boolean;
	send(to: ids.PeerId, message: messages.PeerMessage): void;
};

export class ConfigurationSource {
	#configuration: types.Configuration | undefined;
	/** Oldest first. */
	#packed: readonly Packed[] = [];
	/** The request of each proxy that waits, in the order of arrival. */
	readonly #fetches = new Map<ids.PeerId, Fetch>();
	#remainingBytes = bytesPerTick;

	constructor(private readonly environment: SourceEnvironment) {}

	/** Takes over the configuration that the applied log has in force. */
	setConfiguration(configuration: types.Configuration | undefined): void {
		this.#configuration = configuration;
	}

	/** Answers a request of a proxy, or keeps it until the version or the budget is there. */
	handleFetch(
		now: number,
		from: ids.PeerId,
		{
			version,
			offset,
		}: Extract<messages.TemplateMessage, {type: 'configurationFetch'}>,
	): void {
		this.#fetches.delete(from);
		this.#fetches.set(from, {version, offset, requestedAt: now});
		this.#answerFetches(now);
	}

	/** Called every tick. */
	step(now: number): void {
		this.#remainingBytes = bytesPerTick;
		this.#answerFetches(now);
	}

	#answerFetches(now: number): void {
		for (const [peer, fetch] of this.#fetches) {
			if (this.#remainingBytes <= 0) {
				return;
			}

			const packed = this.#findPacked(fetch.version);
			if (packed) {
				this.#fetches.delete(peer);
				this.#sendPart(peer, packed, fetch);
			} else if (
				!this.environment.isFollowing() ||
				now - fetch.requestedAt > waitLimitMs
			) {
				this.#fetches.delete(peer);
				this.environment.send(peer, {
					type: 'configurationMissing',
					version: fetch.version,
				});
			}
		}
	}

	#sendPart(to: ids.PeerId, {version, bytes}: Packed, fetch: Fetch): void {
		const offset = version === fetch.version ? fetch.offset : 0;
		const data = bytes.subarray(offset, offset + partBytes);
		this.#remainingBytes -= data.length;
		this.environment.send(to, {
			type: 'configurationPart',
			version,
			size: bytes.length,
			offset,
			data,
		});
	}

	/** Finds the version, or the newest one when it is above it; packs the newest on its first use. */
	#findPacked(version: number): Packed | undefined {
		const retained = this.#packed.find((packed) => packed.version === version);
		if (retained) {
			return retained;
		}

		const {packing} = this.environment;
		const configuration = this.#configuration;
		if (!configuration || configuration.version < version) {
			return undefined;
		}

		const newest = this.#packed.at(-1);
		if (newest?.version === configuration.version) {
			return newest;
		}

		const packed = {
			version: configuration.version,
			bytes: packing.pack(configuration.text),
		};
		this.#packed = [...this.#packed, packed].slice(-retainedVersions);
		return packed;
	}
}
