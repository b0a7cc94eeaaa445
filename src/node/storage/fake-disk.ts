/**
 * A file system in memory for tests. It has a capacity, counts the bytes that it holds, and can refuse,
 * shorten or delay a write. At a loss of power, what was not synced is kept, lost or torn.
 */
import {Buffer} from 'node:buffer';
import * as path from 'node:path';
import type * as types from './types.js';

/** What happens to one call that needs space or syncs. */
export type CallOutcome =
	| {readonly type: 'done'}
	/** The disk takes no byte. */
	| {readonly type: 'refused'}
	/** The disk takes the first bytes only. */
	| {readonly type: 'shortened'; readonly bytes: number}
	/** The call fails after it may have had an effect. */
	| {readonly type: 'failed'}
	| {readonly type: 'delayed'; readonly until: Promise<void>};

export type DiskCall = {
	readonly type: 'append' | 'sync' | 'create' | 'rename' | 'syncFolder';
	readonly file: string;
	readonly bytes: number;
};

type Content = {current: Buffer; synced: Buffer};

export class FakeDisk implements types.FileSystem {
	peakBytes = 0;
	writtenBytes = 0;

	#names = new Map<string, Content>();
	/** The names after a loss of power, as of the last sync of their folder. */
	#syncedNames = new Map<string, Content>();

	constructor(public capacity: number = Number.POSITIVE_INFINITY) {}

	/** Decides about each call; all succeed by default, as far as there is space. */
	decideCall: (call: DiskCall) => CallOutcome = () => ({type: 'done'});
	/** Called after each change with the bytes of all files. */
	onChange: (usedBytes: number) => void = () => undefined;

	get usedBytes(): number {
		let bytes = 0;
		for (const {current} of this.#names.values()) {
			bytes += current.length;
		}

		return bytes;
	}

	/**
	 * Loses power.
	 *
	 * @param random - Returns numbers in [0, 1); decides what survives of each file and name.
	 */
	crash(random: () => number): void {
		const survivors = new Map<string, Content>();
		const names = new Set([...this.#names.keys(), ...this.#syncedNames.keys()]);
		for (const name of names) {
			const candidates = [this.#names.get(name), this.#syncedNames.get(name)];
			const content = random() < 0.5 ? candidates[0] : candidates[1];
			if (content) {
				survivors.set(name, tearContent(content, random));
			}
		}

		this.#names = survivors;
		this.#syncedNames = new Map(survivors);
	}

	/** Replaces the content of a file, which is durable then. */
	storeFile(file: string, content: Uint8Array): void {
		const stored = {
			current: Buffer.from(content),
			synced: Buffer.from(content),
		};
		this.#names.set(file, stored);
		this.#syncedNames.set(file, stored);
	}

	async createFolder(): Promise<void> {
		// Folders need no space.
	}

	async listFolder(folder: string): Promise<string[]> {
		return [...this.#names.keys()]
			.filter((name) => path.dirname(name) === folder)
			.map((name) => path.basename(name));
	}

	async syncFolder(folder: string): Promise<void> {
		await this.#call({type: 'syncFolder', file: folder, bytes: 0});
		for (const name of [...this.#syncedNames.keys(), ...this.#names.keys()]) {
			const content = this.#names.get(name);
			if (path.dirname(name) === folder) {
				if (content) {
					this.#syncedNames.set(name, content);
				} else {
					this.#syncedNames.delete(name);
				}
			}
		}
	}

	async createFile(file: string): Promise<void> {
		if (this.#names.has(file)) {
			throw makeError('EEXIST', file);
		}

		await this.#call({type: 'create', file, bytes: 0});
		this.#names.set(file, makeContent());
	}

	async openFile(
		file: string,
		mode: 'append' | 'replace',
	): Promise<types.OpenFile> {
		if (!this.#names.has(file)) {
			await this.createFile(file);
		}

		const content = this.#names.get(file)!;
		if (mode === 'replace') {
			content.current = Buffer.alloc(0);
			this.#recordChange();
		}

		return {
			append: async (added) => {
				await this.#append(file, content, added);
			},
			sync: async () => {
				await this.#call({type: 'sync', file, bytes: 0});
				content.synced = content.current;
				if (!this.#syncedNames.has(file)) {
					this.#syncedNames.set(file, content);
				}
			},
			truncate: async (size) => {
				content.current = content.current.subarray(0, size);
				this.#recordChange();
			},
			async close() {
				// Closing has no effect on the content.
			},
		};
	}

	async readFile(file: string): Promise<Buffer | undefined> {
		const content = this.#names.get(file);
		return content && Buffer.from(content.current);
	}

	async renameFile(from: string, to: string): Promise<void> {
		await this.#call({type: 'rename', file: from, bytes: 0});
		const content = this.#names.get(from);
		if (!content) {
			throw makeError('ENOENT', from);
		}

		this.#names.delete(from);
		this.#names.set(to, content);
		this.#recordChange();
	}

	async removeFile(file: string): Promise<void> {
		this.#names.delete(file);
		this.#recordChange();
	}

	async readFreeBytes(): Promise<number> {
		return this.capacity - this.usedBytes;
	}

	async #append(
		file: string,
		content: Content,
		added: Uint8Array,
	): Promise<void> {
		const outcome = this.decideCall({
			type: 'append',
			file,
			bytes: added.length,
		});
		if (outcome.type === 'delayed') {
			await outcome.until;
		}

		const limit =
			outcome.type === 'refused' || outcome.type === 'failed'
				? 0
				: outcome.type === 'shortened'
					? outcome.bytes
					: added.length;
		const taken = Math.min(limit, this.capacity - this.usedBytes, added.length);
		const part = added.subarray(0, Math.max(0, taken));
		content.current = Buffer.concat([content.current, part]);
		this.writtenBytes += part.length;
		this.#recordChange();
		if (outcome.type === 'failed') {
			throw makeError('EIO', file);
		}

		if (part.length < added.length) {
			throw makeError('ENOSPC', file);
		}
	}

	async #call(call: DiskCall): Promise<void> {
		const outcome = this.decideCall(call);
		switch (outcome.type) {
			case 'done': {
				return;
			}

			case 'delayed': {
				await outcome.until;
				return;
			}

			case 'refused':
			case 'shortened': {
				throw makeError('ENOSPC', call.file);
			}

			case 'failed': {
				throw makeError('EIO', call.file);
			}
		}
	}

	#recordChange(): void {
		const {usedBytes} = this;
		this.peakBytes = Math.max(this.peakBytes, usedBytes);
		this.onChange(usedBytes);
	}
}

function makeContent(): Content {
	return {current: Buffer.alloc(0), synced: Buffer.alloc(0)};
}

/** Keeps, loses or tears what was appended or cut off since the last sync. */
function tearContent(
	{current, synced}: Content,
	random: () => number,
): Content {
	const survivor = chooseSurvivor(current, synced, random);
	return {current: survivor, synced: survivor};
}

function chooseSurvivor(
	current: Buffer,
	synced: Buffer,
	random: () => number,
): Buffer {
	const draw = random();
	if (draw < 0.3) {
		return synced;
	}

	if (draw < 0.6) {
		return current;
	}

	const size = Math.floor(random() * (current.length + 1));
	return current.length > synced.length
		? current.subarray(0, Math.max(size, synced.length))
		: synced;
}

function makeError(code: string, file: string): NodeJS.ErrnoException {
	return Object.assign(new Error(`${code}: ${file}`), {code});
}
