/**
 * A control peer that is the only voter, with the storage of the product, for tests and measurements. Its
 * time advances by ticks only.
 */
import * as consensus from '../../common/consensus/consensus.js';
import type * as consensusTypes from '../../common/consensus/types.js';
import * as reducers from '../../common/control/reducer.js';
import * as storageLimits from '../../common/control/storage-limits.js';
import type * as control from '../../common/control/types.js';
import type * as ids from '../../common/ids.js';
import type * as types from '../../common/types.js';
import * as logStorage from '../../node/storage/log-storage.js';

const peer = 'c1' as ids.PeerId;
const tickMs = 25;

type Storage = consensusTypes.LogStorage<control.ControlCommand>;

export class StoredVoter {
	/**
	 * Starts with what the folder holds.
	 *
	 * @param diskBytes - Size of the disk, from which the limits of the storage follow.
	 */
	static async start(
		folder: string,
		diskBytes: number,
		options: logStorage.StorageOptions = {},
	): Promise<StoredVoter> {
		const storage = await logStorage.openLogStorage<
			control.ControlCommand,
			unknown
		>(folder, options);
		return new StoredVoter(storage, await storage.load(), diskBytes);
	}

	private now = 0;
	private readonly answers = new Map<number, types.TemplateChangeResult>();
	private readonly reducer: reducers.ControlReducer;
	private readonly writes = new Set<Promise<void>>();

	private constructor(
		private readonly storage: Storage,
		stored: consensusTypes.StoredLog<control.ControlCommand>,
		diskBytes: number,
	) {
		this.reducer = new reducers.ControlReducer({
			peer,
			storageLimits: storageLimits.computeStorageLimits(diskBytes),
			log: new consensus.Consensus<control.ControlCommand>({
				peer,
				initialVoters: [peer],
				stored,
				incarnation: 1,
			}),
		});
	}

	/** Version of the configuration in force; 0 when there is none. */
	get version(): number {
		return this.reducer.machine.configuration?.version ?? 0;
	}

	/** Steps until the peer leads and has applied its log. */
	async startUp(): Promise<void> {
		for (let tick = 0; tick < 60; tick++) {
			this.now += tickMs;
			this.step({type: 'tick', now: this.now, random: 0});
			await this.settle();
		}
	}

	/** Resolves with the answer to a change of the configuration. */
	async change(
		version: number,
		text: string,
	): Promise<types.TemplateChangeResult> {
		this.step({
			type: 'templateChangeRequested',
			now: this.now,
			operation: version,
			change: {type: 'configuration', configuration: {version, text}},
		});
		for (;;) {
			const answer = this.answers.get(version);
			if (answer) {
				this.answers.delete(version);
				return answer;
			}

			await Promise.race(this.writes);
		}
	}

	/** Waits for the writes under way and closes the storage. */
	async close(): Promise<void> {
		await this.settle();
		await this.storage.close();
	}

	private async settle(): Promise<void> {
		while (this.writes.size > 0) {
			await Promise.all(this.writes);
		}
	}

	private step(event: control.ControlEvent): void {
		for (const effect of this.reducer.step(event)) {
			if (effect.type === 'answerTemplateChange') {
				this.answers.set(effect.operation, effect.result);
			} else if (effect.type === 'write') {
				const write = this.write(effect.write, effect.data);
				this.writes.add(write);
				void write.finally(() => {
					this.writes.delete(write);
				});
			}
		}
	}

	private async write(
		write: number,
		data: consensusTypes.StorageWrite<control.ControlCommand>,
	): Promise<void> {
		await this.storage.write(data);
		const status = this.storage.readStatus?.();
		this.step({type: 'written', now: this.now, write, ...status});
	}
}
