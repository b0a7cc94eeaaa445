/**
 * Fetches the configuration that control names as the newest. Parts are fetched one at a time from the
 * peer that the leader chose, and from the leader when that peer does not have the version or does not
 * answer. A transfer that has begun is completed when a newer version is named, so that frequent
 * changes do not keep a proxy from any of them.
 */
import type * as ids from '../ids.js';
import type * as messages from '../messages.js';
import type * as types from '../types.js';
import type * as context from './context.js';
import type * as leaseClient from './lease-client.js';
import type * as templateStore from './template-store.js';

const part = 'proxy';
/** Covers the time in which a source serves other proxies first. */
const answerTimeoutMs = 1500;
/** Pause before a source that lacks the version is asked again. */
const retryDelayMs = 100;

/** A version that control has named and that is not in force here. */
type NamedVersion = {readonly version: number; readonly since: number};

type Transfer = {
	readonly version: number;
	readonly source: ids.PeerId;
	/** Size of the packed text; undefined before the first part. */
	readonly size: number | undefined;
	readonly parts: readonly Uint8Array[];
	readonly receivedBytes: number;
	/** When the next part is asked for again, or from another source. */
	readonly retryAt: number;
};

export class ConfigurationClient {
	/** Oldest first. */
	private named: readonly NamedVersion[] = [];
	/** The source of the newest version that was named. */
	private source: ids.PeerId | undefined;
	private transfer: Transfer | undefined;
	/** Attempts without a part; the sources are asked in turn. */
	private failures = 0;
	/** A version whose text this proxy cannot use; control has checked it, so it is not tried again. */
	private unusableVersion = 0;

	constructor(
		private readonly context: context.ProxyContext,
		private readonly templates: Pick<
			templateStore.TemplateStore,
			'configuration' | 'routes' | 'mergeConfiguration'
		>,
		private readonly lease: Pick<leaseClient.LeaseClient, 'getLeader'>,
		private readonly packing: types.TextPacking,
	) {}

	/** Time for which a newer version has been known without being in force, in ms. */
	get delayMs(): number {
		const oldest = this.named[0];
		return oldest ? this.context.now - oldest.since : 0;
	}

	/** Handles the newest version that the control leader knows. */
	handleNotice({version, source}: messages.ConfigurationNotice): void {
		const newest = this.named.at(-1)?.version ?? this.version;
		if (version > newest && version > this.unusableVersion) {
			this.named = [...this.named, {version, since: this.context.now}];
			this.source = source;
		}

		if (!this.transfer) {
			this.failures = 0;
			this.start();
		}
	}

	handlePart(
		from: ids.PeerId,
		message: Extract<messages.TemplateMessage, {type: 'configurationPart'}>,
	): void {
		const {transfer} = this;
		if (transfer?.source !== from) {
			return;
		}

		const {version, size, offset, data} = message;
		const isContinued =
			version === transfer.version &&
			(transfer.size ?? size) === size &&
			offset === transfer.receivedBytes;
		const isRestarted = offset === 0 && version > transfer.version;
		if (data.length === 0 || !(isContinued || isRestarted)) {
			return;
		}

		this.failures = 0;
		this.transfer = {
			version,
			source: from,
			size,
			parts: isContinued ? [...transfer.parts, data] : [data],
			receivedBytes: offset + data.length,
			retryAt: 0,
		};
		if (this.transfer.receivedBytes >= size) {
			this.complete(this.transfer);
		} else {
			this.fetch(this.transfer);
		}
	}

	/** Handles that a source does not have the version. */
	handleMissing(
		from: ids.PeerId,
		{
			version,
		}: Extract<messages.TemplateMessage, {type: 'configurationMissing'}>,
	): void {
		if (this.transfer?.source === from && this.transfer.version === version) {
			this.retry(this.failures === 0 ? 0 : retryDelayMs);
		}
	}

	handleLinkDown(peer: ids.PeerId): void {
		if (this.transfer?.source === peer) {
			this.retry(0);
		}
	}

	handleTick(): void {
		if (this.transfer && this.context.now >= this.transfer.retryAt) {
			this.retry(0);
		}
	}

	/** The version in force; 0 without one. */
	private get version(): number {
		return this.templates.configuration?.version ?? 0;
	}

	private start(): void {
		const newest = this.named.at(-1);
		this.transfer = undefined;
		if (!newest) {
			return;
		}

		const leader = this.lease.getLeader();
		const source =
			this.failures % 2 === 0
				? (this.source ?? leader)
				: (leader ?? this.source);
		if (source !== undefined) {
			this.fetch({
				version: newest.version,
				source,
				size: undefined,
				parts: [],
				receivedBytes: 0,
				retryAt: 0,
			});
		}
	}

	/** Begins again with the next source, after a delay or at once. */
	private retry(delayMs: number): void {
		if (delayMs === 0) {
			this.failures++;
			this.start();
		} else {
			this.transfer &&= {
				...this.transfer,
				retryAt: Math.min(this.transfer.retryAt, this.context.now + delayMs),
			};
		}
	}

	private fetch(transfer: Transfer): void {
		const isSent = this.context.send(transfer.source, {
			type: 'configurationFetch',
			version: transfer.version,
			offset: transfer.receivedBytes,
		});
		this.transfer = {
			...transfer,
			retryAt: this.context.now + (isSent ? answerTimeoutMs : retryDelayMs),
		};
	}

	private complete({version, source, parts}: Transfer): void {
		const text = this.packing.unpack(joinParts(parts));
		if (text === undefined) {
			this.context.log('error', part, 'A configuration arrived damaged', {
				version,
				source,
			});
			this.retry(0);
			return;
		}

		this.apply({version, text});
		this.named = this.named.filter((named) => named.version > version);
		this.start();
	}

	private apply(configuration: types.Configuration): void {
		const {version} = configuration;
		const before = this.version;
		if (version <= before) {
			return;
		}

		if (!this.templates.mergeConfiguration(configuration)) {
			this.unusableVersion = version;
			this.context.log('error', part, 'A configuration cannot be used', {
				version,
			});
			return;
		}

		this.context.count('templateUpdates');
		this.context.log('info', part, 'A configuration is in force', {
			version,
			before,
			members: this.templates.routes?.members.size,
			delayMs: Math.round(this.delayMs),
		});
	}
}

function joinParts(parts: readonly Uint8Array[]): Uint8Array {
	const joined = new Uint8Array(
		parts.reduce((sum, {length}) => sum + length, 0),
	);
	let offset = 0;
	for (const bytes of parts) {
		joined.set(bytes, offset);
		offset += bytes.length;
	}

	return joined;
}
