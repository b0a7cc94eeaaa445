/**
 * Parses `ip:port` addresses. IPv6 addresses are written in brackets.
 */

/** Splits an address; an invalid port becomes 0, to which no connection can be opened. */
export function parseAddress(address: string): {host: string; port: number} {
	const colon = address.lastIndexOf(':');
	const host = address.slice(0, colon).replaceAll(/^\[|\]$/gv, '');
	const port = Number(address.slice(colon + 1));
	return {
		host,
		port: Number.isInteger(port) && port > 0 && port < 65_536 ? port : 0,
	};
}
