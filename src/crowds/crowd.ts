/**
 * Crowds of misbehaving clients for tests, and the resources that a process uses meanwhile.
 */
import type {Buffer} from 'node:buffer';
import type * as childProcess from 'node:child_process';
import {once} from 'node:events';
import * as fs from 'node:fs';
import * as net from 'node:net';
import * as timers from 'node:timers/promises';

const sampleIntervalMs = 20;
/** Connections that are opened at the same time, below the length of an accept queue. */
const openingBatch = 100;

export type Endpoint = {readonly host: string; readonly port: number};

export type Crowd = {
	readonly endpoint: Endpoint;
	readonly count: number;
	/** What each client does; it may wait forever, and its socket reads nothing unless it asks. */
	readonly behave: (socket: net.Socket, index: number) => Promise<void>;
	/** The crowd is over after this time, or when all clients are done. */
	readonly limitMs: number;
	/** Makes an ordinary request while the connections of the crowd are still open. */
	readonly checkService: () => Promise<void>;
};

export type Usage = {
	readonly isAlive: boolean;
	readonly peakMegabytes: number;
	readonly peakDescriptors: number;
	/** The ordinary request was answered. */
	readonly isServed: boolean;
};

/** Plays a crowd; resolves with what the process used. */
export async function playCrowd(
	crowd: Crowd,
	child: childProcess.ChildProcess,
): Promise<Usage> {
	const abort = new AbortController();
	const watched = watchProcess(child, abort.signal);
	const sockets: net.Socket[] = [];
	const limit = timers.setTimeout(crowd.limitMs, undefined, {ref: false});
	const clients: Array<Promise<unknown>> = [];
	for (let index = 0; index < crowd.count; index++) {
		const socket = net.connect({...crowd.endpoint, noDelay: true});
		socket.on('error', () => undefined);
		sockets.push(socket);
		clients.push(runClient(crowd, socket, index));
		if (index % openingBatch === openingBatch - 1) {
			await timers.setTimeout(sampleIntervalMs);
		}
	}

	await Promise.race([limit, Promise.all(clients)]);
	const isServed = await crowd.checkService().then(
		() => true,
		() => false,
	);
	for (const socket of sockets) {
		socket.destroy();
	}

	abort.abort();
	const usage = await watched;
	return {...usage, isServed};
}

/** Resolves when the client is done or has lost its connection. */
async function runClient(
	crowd: Crowd,
	socket: net.Socket,
	index: number,
): Promise<void> {
	const closed = new Promise<void>((resolve) => {
		socket.once('close', resolve);
	});
	// A client that waits to write fails when its connection ends.
	const behaved = crowd.behave(socket, index).catch(async () => closed);
	await Promise.race([closed, behaved]);
}

/** A client that keeps its connection open. */
export async function waitForever(): Promise<void> {
	return new Promise(() => {
		// Only the end of the connection ends this client.
	});
}

/** Writes everything, as fast as the other side reads; `pieceBytes` is the size of one write. */
export async function writeAll(
	socket: net.Socket,
	data: Buffer,
	pieceBytes = data.length,
): Promise<void> {
	for (let offset = 0; offset < data.length; offset += pieceBytes) {
		const piece = data.subarray(offset, offset + pieceBytes);
		if (!socket.write(piece)) {
			await once(socket, 'drain');
		}

		if (pieceBytes < data.length) {
			// Pieces that are written in the same turn would arrive as one.
			await timers.setImmediate();
		}
	}
}

async function watchProcess(
	child: childProcess.ChildProcess,
	signal: AbortSignal,
): Promise<Omit<Usage, 'isServed'>> {
	let peakMegabytes = 0;
	let peakDescriptors = 0;
	const sample = () => {
		try {
			const status = fs.readFileSync(`/proc/${child.pid}/status`, 'utf8');
			const [, kilobytes = '0'] = /^VmHWM:\s+(\d+) kB/mv.exec(status) ?? [];
			peakMegabytes = Math.max(
				peakMegabytes,
				Math.round(Number(kilobytes) / 1024),
			);
			const descriptors = fs.readdirSync(`/proc/${child.pid}/fd`);
			peakDescriptors = Math.max(peakDescriptors, descriptors.length);
		} catch {
			// The process has ended.
		}
	};

	while (!signal.aborted) {
		sample();
		await timers.setTimeout(sampleIntervalMs);
	}

	sample();
	return {
		isAlive: child.exitCode === null && child.signalCode === null,
		peakMegabytes,
		peakDescriptors,
	};
}
