/**
 * The file system of the machine.
 */
import type {Buffer} from 'node:buffer';
import * as fs from 'node:fs/promises';
import type * as types from './types.js';

class SystemFile implements types.OpenFile {
	constructor(private readonly handle: fs.FileHandle) {}

	async append(content: Uint8Array): Promise<void> {
		await this.handle.appendFile(content);
	}

	async sync(): Promise<void> {
		await this.handle.datasync();
	}

	async truncate(size: number): Promise<void> {
		await this.handle.truncate(size);
	}

	async close(): Promise<void> {
		await this.handle.close();
	}
}

export const systemFiles: types.FileSystem = {
	async createFolder(folder) {
		await fs.mkdir(folder, {recursive: true});
	},

	listFolder: async (folder) => fs.readdir(folder),

	async syncFolder(folder) {
		const handle = await fs.open(folder, 'r');
		try {
			await handle.sync();
		} finally {
			await handle.close();
		}
	},

	async createFile(file) {
		await fs.writeFile(file, '', {flag: 'wx'});
	},

	openFile: async (file, mode) =>
		new SystemFile(await fs.open(file, mode === 'append' ? 'a' : 'w')),

	async readFile(file): Promise<Buffer | undefined> {
		try {
			return await fs.readFile(file);
		} catch (error) {
			if ((error as NodeJS.ErrnoException).code === 'ENOENT') {
				return undefined;
			}

			throw error;
		}
	},

	async renameFile(from, to) {
		await fs.rename(from, to);
	},

	async removeFile(file) {
		await fs.rm(file, {force: true});
	},

	async readFreeBytes(folder) {
		try {
			const {bavail, bsize} = await fs.statfs(folder);
			return bavail * bsize;
		} catch {
			return undefined;
		}
	},
};
