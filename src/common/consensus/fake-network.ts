/**
 * In-memory network and disk for simulations of control peers. All faults are drawn from one
 * seeded generator, so that a run is reproducible. Times are simulated time in ms.
 */
import * as uniformFloat from 'pure-rand/distribution/uniformFloat32';
import * as xoroshiro from 'pure-rand/generator/xoroshiro128plus';
import type * as ids from '../ids.js';
import type * as types from './types.js';

/** Returns numbers in [0, 1). */
export type Random = () => number;

/** Creates a generator that returns the same numbers for the same seed. */
export function makeRandom(seed: number): Random {
	const generator = xoroshiro.xoroshiro128plus(seed);
	// Skips the first numbers, which are similar for adjacent seeds.
	for (let skipped = 0; skipped < 32; skipped++) {
		uniformFloat.uniformFloat32(generator);
	}

	return () => uniformFloat.uniformFloat32(generator);
}

/** Faults of the network. The delay is drawn for each message, so messages are also reordered. */
export type NetworkFaults = {
	/** Share of messages that are lost. */
	lossRate: number;
	/** Share of messages that arrive twice. */
	duplicateRate: number;
	minDelayMs: number;
	maxDelayMs: number;
};

export type Delivery<Message> = {
	readonly from: ids.PeerId;
	readonly to: ids.PeerId;
	readonly message: Message;
	readonly at: number;
};

/** Messages in transit between peers. They are not copied, so they must not be modified. */
export class FakeNetwork<Message> {
	faults: NetworkFaults = {
		lossRate: 0,
		duplicateRate: 0,
		minDelayMs: 1,
		maxDelayMs: 1,
	};

	readonly #random: Random;
	#deliveries: Array<Delivery<Message>> = [];
	#sides: ReadonlyArray<ReadonlySet<ids.PeerId>> = [];
	readonly #cutLinks = new Set<string>();

	constructor(random: Random) {
		this.#random = random;
	}

	/** Blocks messages between peers on different sides; an empty list removes the partition. */
	setPartition(sides: ReadonlyArray<readonly ids.PeerId[]>): void {
		this.#sides = sides.map((side) => new Set(side));
	}

	/** Cuts or restores the link from one peer to another, in this direction only. */
	setLinkCut(from: ids.PeerId, to: ids.PeerId, isCut: boolean): void {
		if (isCut) {
			this.#cutLinks.add(`${from}>${to}`);
		} else {
			this.#cutLinks.delete(`${from}>${to}`);
		}
	}

	send(now: number, from: ids.PeerId, to: ids.PeerId, message: Message): void {
		const {lossRate, duplicateRate, minDelayMs, maxDelayMs} = this.faults;
		if (this.#random() < lossRate) {
			return;
		}

		const copies = this.#random() < duplicateRate ? 2 : 1;
		for (let copy = 0; copy < copies; copy++) {
			const delayMs = minDelayMs + this.#random() * (maxDelayMs - minDelayMs);
			this.#deliveries.push({from, to, message, at: now + delayMs});
		}
	}

	/** Removes and returns the messages that arrive by now, in order of arrival. */
	takeDueDeliveries(now: number): Array<Delivery<Message>> {
		const due = this.#deliveries.filter((delivery) => delivery.at <= now);
		if (due.length > 0) {
			this.#deliveries = this.#deliveries.filter(({at}) => at > now);
		}

		return due
			.filter(({from, to}) => !this.#isCut(from, to))
			.sort((left, right) => left.at - right.at);
	}

	#isCut(from: ids.PeerId, to: ids.PeerId): boolean {
		return (
			this.#cutLinks.has(`${from}>${to}`) ||
			this.#sides.some((side) => side.has(from) !== side.has(to))
		);
	}
}

/** Returns the content of a disk before the first write. */
export function makeEmptyStoredLog<Command>(): types.StoredLog<Command> {
	return {
		hardState: {term: 0, votedFor: undefined},
		snapshot: undefined,
		entries: [],
	};
}

/** Applies one write to the content of a disk. */
export function applyWrite<Command>(
	stored: types.StoredLog<Command>,
	write: types.StorageWrite<Command>,
): types.StoredLog<Command> {
	const {hardState = stored.hardState, truncateFrom, append = []} = write;
	const snapshot = write.snapshot ?? stored.snapshot;
	const kept = stored.entries.filter(
		({index}) =>
			index > (snapshot?.index ?? 0) &&
			index < (truncateFrom ?? Number.POSITIVE_INFINITY),
	);
	return {hardState, snapshot, entries: [...kept, ...append]};
}

/** The disk of one simulated peer. */
export type SimulatedDisk<Command> = {
	/** Longest delay of one write, in ms. */
	maxDelayMs: number;
	/** While true, writes are refused and tried again. */
	isFull: boolean;
	/** False while the content is read after a crash. */
	isReady: boolean;
	write(now: number, write: number, data: types.StorageWrite<Command>): void;
	/** Returns the numbers of the writes that are synced by now. */
	takeSynced(now: number): number[];
	/** Returns the space after a change since the last call. */
	takeSpaceChange(): types.StorageSpace | undefined;
	/** Simulates a crash of the process, which may lose unsynced writes. */
	crash(): void;
	/** Loses everything, as when the disk of a VM is replaced. */
	clear(): void;
	load(): types.StoredLog<Command>;
};

/** A disk that syncs writes in order after a delay; a crash may lose unsynced ones. */
export class FakeDisk<Command> implements SimulatedDisk<Command> {
	maxDelayMs = 2;
	isFull = false;
	isReady = true;
	#reportedSpace: types.StorageSpace = 'sufficient';
	readonly #random: Random;
	#stored = makeEmptyStoredLog<Command>();
	#pending: Array<{
		readonly write: number;
		readonly data: types.StorageWrite<Command>;
		readonly at: number;
	}> = [];

	constructor(random: Random) {
		this.#random = random;
	}

	write(now: number, write: number, data: types.StorageWrite<Command>): void {
		// Writes share syncs, so that a queue of them takes no longer than the slowest.
		const at = now + this.#random() * this.maxDelayMs;
		const previous = this.#pending.at(-1)?.at ?? at;
		this.#pending.push({write, data, at: Math.max(at, previous)});
	}

	takeSynced(now: number): number[] {
		const numbers: number[] = [];
		while (!this.isFull && this.#pending[0] && this.#pending[0].at <= now) {
			const {write, data} = this.#pending.shift()!;
			this.#stored = applyWrite(this.#stored, data);
			numbers.push(write);
		}

		return numbers;
	}

	/** The full disk shows with the first write that it refuses. */
	takeSpaceChange(): types.StorageSpace | undefined {
		const space =
			this.isFull && this.#pending.length > 0 ? 'exhausted' : 'sufficient';
		if (space === this.#reportedSpace) {
			return undefined;
		}

		this.#reportedSpace = space;
		return space;
	}

	/** A random number of the oldest unsynced writes stays on disk. */
	crash(): void {
		const limit = this.isFull ? 0 : this.#pending.length;
		const survivors = Math.floor(this.#random() * (limit + 1));
		for (const {data} of this.#pending.slice(0, survivors)) {
			this.#stored = applyWrite(this.#stored, data);
		}

		this.#pending = [];
		this.#reportedSpace = 'sufficient';
	}

	clear(): void {
		this.#stored = makeEmptyStoredLog();
		this.#pending = [];
	}

	load(): types.StoredLog<Command> {
		return this.#stored;
	}
}
