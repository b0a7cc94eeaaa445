/**
 * The configuration at one control peer, apart from its changes: reads of operators, and the parts that
 * proxies fetch.
 */
import type * as ids from '../ids.js';
import type * as messages from '../messages.js';
import * as packing from '../packing.js';
import type * as types from '../types.js';
import * as configurationReads from './configuration-reads.js';
import * as configurationSource from './configuration-source.js';

export type ServiceEnvironment = Omit<
	configurationReads.ReadEnvironment,
	'getConfiguration'
> & {
	/** Without it, texts are sent as they are. */
	readonly packing: types.TextPacking | undefined;
	/** True while this peer receives the log. */
	isFollowing(): boolean;
};

export class ConfigurationService {
	readonly #reads: configurationReads.ConfigurationReads;
	readonly #source: configurationSource.ConfigurationSource;
	#configuration: types.Configuration | undefined;

	constructor(environment: ServiceEnvironment) {
		this.#reads = new configurationReads.ConfigurationReads({
			...environment,
			getConfiguration: () => this.#configuration,
		});
		this.#source = new configurationSource.ConfigurationSource({
			...environment,
			packing: environment.packing ?? packing.plainPacking,
		});
	}

	/** Takes over the configuration that the applied log has in force. */
	setConfiguration(configuration: types.Configuration | undefined): void {
		this.#configuration = configuration;
		this.#source.setConfiguration(configuration);
	}

	/** Answers an operator's read, or forwards it to the leader. */
	handleRead(operation: number): void {
		this.#reads.handleRead({type: 'local', operation});
	}

	handleMessage(
		now: number,
		from: ids.PeerId,
		message: messages.PeerMessage,
	): void {
		if (message.type === 'configurationFetch') {
			this.#source.handleFetch(now, from, message);
		}

		if (message.type === 'readConfiguration') {
			const {operation} = message;
			this.#reads.handleRead({type: 'peer', peer: from, operation});
		}

		if (message.type === 'configurationRead') {
			this.#reads.handleResult(message);
		}
	}

	/** Called every tick. */
	step(now: number): void {
		this.#source.step(now);
	}
}
