/**
 * Reserves ports for the processes of a cluster. Ports of outgoing connections are never among them,
 * and the first port of a block stays open while the block is in use, so that clusters that run at the
 * same time never share a port.
 */
import * as net from 'node:net';

/** Linux takes the ports of outgoing connections from 32768 upwards. */
const firstPort = 10_240;
const endPort = 32_768;
const blockSize = 512;
const blockCount = Math.floor((endPort - firstPort) / blockSize);

export class PortBlock {
	constructor(guard, basePort) {
		this.guard = guard;
		this.nextPort = basePort + 1;
		this.endPort = basePort + blockSize;
	}

	/** Takes the next ports of the block. */
	takePorts(count) {
		if (this.nextPort + count > this.endPort) {
			throw new Error(`a cluster can use at most ${blockSize - 1} ports`);
		}

		return Array.from({length: count}, () => this.nextPort++);
	}

	/** Gives the block back. */
	async release() {
		await new Promise((resolve) => {
			this.guard.close(resolve);
		});
	}
}

/** Reserves a block; begins with one that depends on the process, so that runs rarely compete. */
export async function reservePortBlock(seed) {
	for (let offset = 0; offset < blockCount; offset++) {
		const basePort = firstPort + ((seed + offset) % blockCount) * blockSize;
		const guard = await tryListen(basePort);
		if (guard) {
			return new PortBlock(guard, basePort);
		}
	}

	throw new Error('all blocks of ports are in use');
}

async function tryListen(port) {
	return new Promise((resolve) => {
		const server = net.createServer();
		server.once('error', () => {
			resolve(undefined);
		});
		server.listen(port, '127.0.0.1', () => {
			server.unref();
			resolve(server);
		});
	});
}
