/**
 * Validation of addresses that are passed as options.
 */
import * as net from 'node:net';
import * as exits from './exit-codes.js';

/** Returns a valid `ip:port`; throws `CommandError` with exit code 2 for any other text. */
export function checkAddress(option: string, text: string): string {
	const separator = text.lastIndexOf(':');
	const port = text.slice(separator + 1);
	const isValid =
		net.isIP(text.slice(0, Math.max(separator, 0))) !== 0 &&
		/^\d{1,5}$/v.test(port) &&
		Number(port) > 0 &&
		Number(port) < 65_536;
	if (!isValid) {
		throw new exits.CommandError(
			exits.exitCodes.usage,
			`${option}: found ${text}; allowed is ip:port`,
		);
	}

	return text;
}
