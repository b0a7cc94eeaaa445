/**
 * A disk of the safety search that keeps the log with the storage of the product, on a file system in
 * memory. Calls of the file system are refused, shortened, delayed or cut off by a crash in their midst.
 */
import * as timers from 'node:timers/promises';
import * as fakeNetwork from '../../common/consensus/fake-network.js';
import type * as types from '../../common/consensus/types.js';
import * as fakeDisk from '../../node/storage/fake-disk.js';
import * as logStorage from '../../node/storage/log-storage.js';
import type * as storage from '../../node/storage/types.js';

const folder = '/data';
/** Share of the calls that wait, and for how many steps at most. */
const delayRate = 0.02;
const maxDelaySteps = 20;

/** A full disk takes less than this, which may be a part of a record. */
const maxRestBytes = 300;

type Storage<Command> = types.LogStorage<Command>;

/** One process that uses the files; after its crash no call and no write of it completes. */
type StorageProcess<Command> = {
	isCrashed: boolean;
	/** Numbers of the synced writes, until they are reported. */
	readonly synced: number[];
	readonly spaces: types.StorageSpace[];
	readonly opened: Promise<Storage<Command>>;
};

type Life = Omit<StorageProcess<unknown>, 'opened'>;

export class StoredDisk<Command> implements fakeNetwork.SimulatedDisk<Command> {
	maxDelayMs = 2;
	isReady = true;
	#files = new fakeDisk.FakeDisk();
	#process: StorageProcess<Command>;
	#stored = fakeNetwork.makeEmptyStoredLog<Command>();
	readonly #pending = new Map<number, types.StorageWrite<Command>>();
	#waiting: Array<{steps: number; readonly resume: () => void}> = [];
	#isFull = false;

	constructor(private readonly random: fakeNetwork.Random) {
		this.#process = this.#startProcess();
	}

	get isFull(): boolean {
		return this.#isFull;
	}

	set isFull(value: boolean) {
		if (value !== this.#isFull) {
			this.#isFull = value;
			this.#files.capacity = value
				? this.#files.usedBytes + Math.floor(this.random() * maxRestBytes)
				: Number.POSITIVE_INFINITY;
		}
	}

	write(_now: number, write: number, data: types.StorageWrite<Command>): void {
		this.#pending.set(write, data);
		void this.#store(this.#process, write, data);
	}

	takeSynced(): number[] {
		const numbers = this.#process.synced.splice(0);
		for (const number of numbers) {
			this.#stored = fakeNetwork.applyWrite(
				this.#stored,
				this.#pending.get(number)!,
			);
			this.#pending.delete(number);
		}

		this.#resumeCalls();
		return numbers;
	}

	takeSpaceChange(): types.StorageSpace | undefined {
		return this.#process.spaces.shift();
	}

	/** Ends the process; half of the time, the VM loses power too. */
	crash(): void {
		this.#process.isCrashed = true;
		this.#waiting = [];
		this.#pending.clear();
		if (this.random() < 0.5) {
			this.#files.crash(this.random);
		}

		this.#restart();
	}

	clear(): void {
		this.#process.isCrashed = true;
		this.#waiting = [];
		this.#pending.clear();
		this.#files = new fakeDisk.FakeDisk();
		this.#restart();
	}

	/** What is synced, also while the process runs. */
	load(): types.StoredLog<Command> {
		return this.#stored;
	}

	#restart(): void {
		this.isFull = false;
		this.isReady = false;
		this.#process = this.#startProcess();
	}

	#startProcess(): StorageProcess<Command> {
		this.#files.decideCall = () => this.#decideCall();
		const life: Life = {isCrashed: false, synced: [], spaces: []};
		return Object.assign(life, {opened: this.#open(this.#files, life)});
	}

	async #open(files: fakeDisk.FakeDisk, life: Life): Promise<Storage<Command>> {
		const opened = await logStorage.openLogStorage<Command, unknown>(folder, {
			skipsLock: true,
			reserveBytes: 0,
			waitForRetry: async () => timers.setImmediate(),
			fileSystem: cutOff(files, () => life.isCrashed),
		});
		opened.watchSpace?.((space) => {
			life.spaces.push(space);
		});
		const stored = await opened.load();
		if (!life.isCrashed) {
			this.#stored = stored;
			this.isReady = true;
		}

		return opened;
	}

	async #store(
		process: StorageProcess<Command>,
		write: number,
		data: types.StorageWrite<Command>,
	): Promise<void> {
		const opened = await process.opened;
		await opened.write(data);
		process.synced.push(write);
	}

	#decideCall(): fakeDisk.CallOutcome {
		// Time passes for the disk only while its process runs.
		if (!this.isReady || this.random() >= delayRate) {
			return {type: 'done'};
		}

		const steps = Math.ceil(this.random() * maxDelaySteps);
		return {
			type: 'delayed',
			until: new Promise((resume) => {
				this.#waiting.push({steps, resume});
			}),
		};
	}

	#resumeCalls(): void {
		for (const call of this.#waiting) {
			call.steps--;
			if (call.steps <= 0) {
				call.resume();
			}
		}

		this.#waiting = this.#waiting.filter(({steps}) => steps > 0);
	}
}

/** Returns the file system as one process sees it: once the process has ended, no call is carried out. */
function cutOff(
	files: storage.FileSystem,
	isCut: () => boolean,
): storage.FileSystem {
	const guard = async () => {
		if (isCut()) {
			await new Promise(() => {
				// The process has ended.
			});
		}
	};

	return {
		async createFolder(name) {
			await guard();
			await files.createFolder(name);
		},
		async listFolder(name) {
			await guard();
			return files.listFolder(name);
		},
		async syncFolder(name) {
			await guard();
			await files.syncFolder(name);
		},
		async createFile(name) {
			await guard();
			await files.createFile(name);
		},
		async openFile(name, mode) {
			await guard();
			const file = await files.openFile(name, mode);
			return {
				async append(content) {
					await guard();
					await file.append(content);
				},
				async sync() {
					await guard();
					await file.sync();
				},
				async truncate(size) {
					await guard();
					await file.truncate(size);
				},
				async close() {
					await file.close();
				},
			};
		},
		async readFile(name) {
			await guard();
			return files.readFile(name);
		},
		async renameFile(from, to) {
			await guard();
			await files.renameFile(from, to);
		},
		async removeFile(name) {
			await guard();
			await files.removeFile(name);
		},
		async readFreeBytes(name) {
			await guard();
			return files.readFreeBytes(name);
		},
	};
}
