/**
 * Measures in virtual time what one change of the configuration sends, by message type, and how long it
 * takes until the version is in force at all proxies. Prints one JSON line per fleet size and number of
 * routes.
 *
 * Usage: node dist/bench/configuration-cost.js [proxies...]
 */
import process from 'node:process';
import * as textPacking from '../node/text-packing.js';
import * as ratedFleet from '../scenario/fleet/rated-fleet.js';

const defaultSizes = [30, 100, 300];
const routeCounts = [60, 400, 1460, 2860];
/** Bytes per ms of a link of 4.5 Mbit/s. */
const slowRate = 562;
const settleMs = 2000;

const configurationTypes: ReadonlySet<string> = new Set([
	'proposeChange',
	'append',
	'configurationChanged',
	'configurationFetch',
	'configurationPart',
]);

function measureChange(proxies: number, routeCount: number): void {
	const fleet = new ratedFleet.RatedFleet({
		proxies,
		slowRate,
		seed: 1,
		packing: textPacking.zlibPacking,
	});
	fleet.startUp(ratedFleet.buildConfiguration(1, routeCount));
	fleet.runFor(settleMs);
	const changedAt = fleet.now;
	const {textBytes, spreadMs} = fleet.change(
		ratedFleet.buildConfiguration(2, routeCount),
	);
	const bytes: Record<string, number> = {};
	const received = new Map<string, number>();
	for (const message of fleet.links.sent) {
		if (message.at >= changedAt && configurationTypes.has(message.type)) {
			bytes[message.type] = (bytes[message.type] ?? 0) + message.bytes;
			if (message.to.startsWith('p')) {
				received.set(
					message.to,
					(received.get(message.to) ?? 0) + message.bytes,
				);
			}
		}
	}

	console.log(
		JSON.stringify({
			proxies,
			routes: routeCount,
			textBytes,
			spreadMs: Math.round(spreadMs),
			bytesPerProxy: Math.max(...received.values()),
			bytes,
		}),
	);
}

const sizes = process.argv.slice(2).map(Number);
for (const proxies of sizes.length > 0 ? sizes : defaultSizes) {
	for (const routeCount of routeCounts) {
		measureChange(proxies, routeCount);
	}
}
