/**
 * Sends a CancelRequest on a connection of its own.
 */
import * as net from 'node:net';
import * as addresses from '../peer/addresses.js';

/**
 * Sends the packet and waits until the server has closed the connection, which it does once the
 * cancellation is under way. `isAnswered` is false after `timeoutMs` without that.
 */
export function sendCancel(
	address: string,
	packet: Uint8Array,
	timeoutMs: number,
	handleEnd: (isAnswered: boolean) => void,
): void {
	const socket = net.connect(addresses.parseAddress(address));
	let isAnswered = true;
	const timer = setTimeout(() => {
		isAnswered = false;
		socket.destroy();
	}, timeoutMs);
	socket.once('connect', () => {
		socket.write(packet);
	});
	// The close event follows every error.
	socket.on('error', () => undefined);
	socket.resume();
	socket.once('close', () => {
		clearTimeout(timer);
		handleEnd(isAnswered);
	});
}
