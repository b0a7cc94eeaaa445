/**
 * Sends a CancelRequest on a connection of its own.
 */
import * as net from 'node:net';
import * as addresses from '../peer/addresses.js';

/**
 * Sends the packet and waits until the server closes the connection, which it does once it has
 * started the cancellation. `isCompleted` is false when `timeoutMs` passed without that; the
 * cancellation may then still follow. It is also true when the connection could not be opened or
 * failed.
 */
export function sendCancelRequest(
	address: string,
	packet: Uint8Array,
	timeoutMs: number,
	handleDone: (isCompleted: boolean) => void,
): void {
	const socket = net.connect(addresses.parseAddress(address));
	let isCompleted = true;
	const timer = setTimeout(() => {
		isCompleted = false;
		socket.destroy();
	}, timeoutMs);
	socket.once('connect', () => {
		socket.write(packet);
	});
	// A close event follows every error event.
	socket.on('error', () => undefined);
	socket.resume();
	socket.once('close', () => {
		clearTimeout(timer);
		handleDone(isCompleted);
	});
}
