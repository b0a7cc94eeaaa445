/**
 * The space that a data folder has: refused writes show that there is none, and the free space of the disk
 * is read at an interval, so that operators learn that it becomes scarce before a write is refused.
 */
import type * as consensus from '../../common/consensus/types.js';
import type * as types from './types.js';

const checkIntervalMs = 5000;

export class SpaceWatch {
	refusals = 0;
	#isRefused = false;
	#isLow = false;
	#space: consensus.StorageSpace = 'sufficient';
	#listener: ((space: consensus.StorageSpace) => void) | undefined;
	#timer: NodeJS.Timeout | undefined;

	/** @param reserveBytes - The space is low when less than this is free. */
	constructor(
		private readonly fileSystem: types.FileSystem,
		private readonly folder: string,
		private readonly reserveBytes: number,
	) {}

	get space(): consensus.StorageSpace {
		return this.#space;
	}

	setListener(listener: (space: consensus.StorageSpace) => void): void {
		this.#listener = listener;
		if (this.#space !== 'sufficient') {
			listener(this.#space);
		}
	}

	start(): void {
		void this.check();
		this.#timer = setInterval(() => {
			void this.check();
		}, checkIntervalMs).unref();
	}

	stop(): void {
		clearInterval(this.#timer);
	}

	/** Reads the free space; a system that does not tell it is not asked again. */
	async check(): Promise<void> {
		const freeBytes = await this.fileSystem.readFreeBytes(this.folder);
		if (freeBytes === undefined) {
			this.stop();
			return;
		}

		this.#isLow = freeBytes < this.reserveBytes;
		this.#update();
	}

	/** Records whether the disk took the last write. */
	recordWrite(isRefused: boolean): void {
		const hasSpaceAgain = this.#isRefused && !isRefused;
		this.refusals += isRefused ? 1 : 0;
		this.#isRefused = isRefused;
		this.#update();
		if (hasSpaceAgain) {
			void this.check();
		}
	}

	#update(): void {
		const space = this.#isRefused
			? 'exhausted'
			: this.#isLow
				? 'low'
				: 'sufficient';
		if (space !== this.#space) {
			this.#space = space;
			this.#listener?.(space);
		}
	}
}
