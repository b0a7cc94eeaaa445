/**
 * The file system as the storage of a control peer uses it, so that tests can fill, stall or tear it.
 * Failures are errors with the `code` of the system call, for example `ENOSPC`.
 */
import type {Buffer} from 'node:buffer';

/** An open file to which content is appended. */
export type OpenFile = {
	append(content: Uint8Array): Promise<void>;
	/** Makes the content and the size durable. */
	sync(): Promise<void>;
	truncate(size: number): Promise<void>;
	close(): Promise<void>;
};

export type FileSystem = {
	createFolder(folder: string): Promise<void>;
	/** Names of the files in a folder. */
	listFolder(folder: string): Promise<string[]>;
	/** Makes created, renamed and removed names durable. */
	syncFolder(folder: string): Promise<void>;
	/** Creates an empty file; fails with `EEXIST` when it exists. */
	createFile(file: string): Promise<void>;
	/** Opens a file, creates it when it does not exist, and clears it in mode `replace`. */
	openFile(file: string, mode: 'append' | 'replace'): Promise<OpenFile>;
	/** Resolves with undefined when the file does not exist. */
	readFile(file: string): Promise<Buffer | undefined>;
	renameFile(from: string, to: string): Promise<void>;
	/** Does nothing when the file does not exist. */
	removeFile(file: string): Promise<void>;
	/** Free space of the disk of a folder, in bytes; undefined when the system does not tell. */
	readFreeBytes(folder: string): Promise<number | undefined>;
};
