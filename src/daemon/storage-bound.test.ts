import tap from 'tap';
import type * as ids from '../common/ids.js';
import * as consensus from '../common/consensus/consensus.js';
import type * as consensusTypes from '../common/consensus/types.js';
import type * as control from '../common/control/types.js';
import * as reducers from '../common/control/reducer.js';
import * as storageLimits from '../common/control/storage-limits.js';
import * as fakeDisk from '../node/storage/fake-disk.js';
import * as logStorage from '../node/storage/log-storage.js';

const peer = 'k1' as ids.PeerId;
const mebibyte = 1024 * 1024;
const diskBytes = 64 * mebibyte;
const folder = '/data';

/** A control peer that is the only voter, with the real storage on a fake disk. */
class StoredPeer {
	static async start(disk: fakeDisk.FakeDisk): Promise<StoredPeer> {
		const storage = await logStorage.openLogStorage<
			control.ControlCommand,
			unknown
		>(folder, {skipsLock: true, fileSystem: disk});
		return new StoredPeer(storage, await storage.load());
	}

	readonly answers: control.ControlEffect[] = [];
	now = 0;
	private readonly reducer: reducers.ControlReducer;
	private readonly storage: consensusTypes.LogStorage<control.ControlCommand>;
	private readonly writes = new Set<Promise<void>>();

	private constructor(
		storage: consensusTypes.LogStorage<control.ControlCommand>,
		stored: consensusTypes.StoredLog<control.ControlCommand>,
	) {
		this.storage = storage;
		this.reducer = new reducers.ControlReducer({
			peer,
			log: new consensus.Consensus<control.ControlCommand>({
				peer,
				initialVoters: [peer],
				stored,
				incarnation: 1,
			}),
			storageLimits: storageLimits.computeStorageLimits(diskBytes),
		});
	}

	get configuration() {
		return this.reducer.machine.configuration;
	}

	/** Steps through a time, and waits for the writes of each step. */
	async run(durationMs: number): Promise<void> {
		const end = this.now + durationMs;
		while (this.now < end) {
			this.now += 25;
			this.step({type: 'tick', now: this.now, random: 0.5});
			await this.settle();
		}
	}

	async change(version: number, text: string): Promise<void> {
		this.step({
			type: 'templateChangeRequested',
			now: this.now,
			operation: version,
			change: {type: 'configuration', configuration: {version, text}},
		});
		await this.settle();
	}

	async close(): Promise<void> {
		await this.storage.close();
	}

	private async settle(): Promise<void> {
		while (this.writes.size > 0) {
			await Promise.all(this.writes);
		}
	}

	private step(event: control.ControlEvent): void {
		for (const effect of this.reducer.step(event)) {
			if (effect.type === 'write') {
				const write = this.write(effect.write, effect.data);
				this.writes.add(write);
				void write.finally(() => {
					this.writes.delete(write);
				});
			} else if (effect.type === 'answerTemplateChange') {
				this.answers.push(effect);
			}
		}
	}

	private async write(
		write: number,
		data: consensusTypes.StorageWrite<control.ControlCommand>,
	): Promise<void> {
		await this.storage.write(data);
		this.step({
			type: 'written',
			now: this.now,
			write,
			...this.storage.readStatus?.(),
		});
	}
}

// Guards against a log that keeps each superseded version of a large configuration until the disk is full.
tap.test('changes of the largest size stay below half of a disk', async (t) => {
	const disk = new fakeDisk.FakeDisk(diskBytes);
	const peers = await StoredPeer.start(disk);
	await peers.run(1000);
	const count = 62;
	for (let version = 1; version <= count; version++) {
		const text = String.fromCodePoint(97 + (version % 26)).repeat(mebibyte);
		await peers.change(version, text);
		if (disk.peakBytes > diskBytes / 2) {
			break;
		}
	}

	t.equal(peers.answers.length, count);
	t.ok(disk.peakBytes <= diskBytes / 2, `${disk.peakBytes} bytes at the peak`);
	t.ok(disk.peakBytes > 2 * mebibyte, 'the changes were stored');
	await peers.close();
	const reopened = await StoredPeer.start(disk);
	await reopened.run(1000);
	t.equal(reopened.configuration?.version, count);
	await reopened.close();
});
