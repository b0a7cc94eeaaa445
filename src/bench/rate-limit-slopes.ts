/**
 * Measures what the rate limits of 80 customers cost by the number of proxies, in virtual time:
 * messages and bytes a second, and the leader's time for a report. Prints one JSON line per case.
 */
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import * as allowances from '../common/control/allowances.js';
import * as simulations from '../common/control/allowance-simulation.js';
import type * as ids from '../common/ids.js';
import type * as types from '../common/types.js';
import * as frameCodec from '../node/peer/frame-codec.js';

const proxyCounts = [7, 37, 300, 1100];
const warmUpMs = 8000;
const measuredMs = 10_000;
const stepMs = 10;
const usualShare = 1 / 1.6;
const bound = {windowMs: 5000, overage: 0.1, slack: 20};
const customers: types.Customer[] = Array.from({length: 80}, (_, index) => {
	const ratePerS = index < 3 ? 179 : 4;
	return {
		customer: `customer-${index}` as ids.CustomerId,
		keys: new Set(),
		ratePerS,
		burst: ratePerS,
	};
});
/** Any frame, to which the part of a renewal is added. */
const carrier = {type: 'leaderAnnounced', term: 1} as const;

/** Bytes that a report or answer adds: its own frame, or its part of a renewal. */
function countBytes({message, isRenewal}: simulations.SentMessage): number {
	const isReport = 'received' in message;
	if (isRenewal) {
		const extended = {...carrier, allowances: message};
		return (
			frameCodec.encodeFrame(extended).length -
			frameCodec.encodeFrame(carrier).length
		);
	}

	return frameCodec.encodeFrame(
		isReport
			? {type: 'allowanceRequest', incarnation: 1.8e12, report: message}
			: {type: 'allowanceGranted', grant: message},
	).length;
}

function measure(proxies: number, hotFactor: number): object {
	const simulation = new simulations.AllowanceSimulation({
		proxies,
		customers,
		bound,
		seed: 1,
		delayMs: 20,
		loss: 0,
		drift: 0,
	});
	const submit = (): void => {
		for (const [index, {customer, ratePerS}] of customers.entries()) {
			const factor = index === 0 ? hotFactor : 1;
			const mean = (ratePerS * usualShare * factor * stepMs) / 1000;
			const count = Math.floor(mean + simulation.random.readFloat());
			for (let request = 0; request < count; request++) {
				simulation.submit(
					simulation.random.readInteger(0, proxies - 1),
					customer,
				);
			}
		}
	};

	simulation.run(warmUpMs, submit);
	const before = {
		sent: simulation.sent.length,
		uses: simulation.uses.length,
		waited: simulation.waited,
		refused: simulation.refused,
	};
	simulation.run(warmUpMs + measuredMs, submit);
	const sent = simulation.sent.slice(before.sent);
	const own = sent.filter(({isRenewal}) => !isRenewal);
	const perS = (count: number): number =>
		Math.round((count * 1000) / measuredMs);
	const used = simulation.uses.length - before.uses;
	return {
		proxies,
		hotFactor,
		ownMessagesPerS: perS(own.length),
		bytesPerS: perS(
			sent.reduce((total, message) => total + countBytes(message), 0),
		),
		usedPerS: perS(used),
		waitedShare: (simulation.waited - before.waited) / used,
		refusedPerS: perS(simulation.refused - before.refused),
		leaderUs: measureReport(sent),
	};
}

/** Replays the reports at a leader; returns the mean time for one in µs. */
function measureReport(sent: readonly simulations.SentMessage[]): number {
	const table = new allowances.AllowanceTable(1, 0, bound);
	table.setCustomers(0, customers);
	const reports = sent.flatMap(({message}) =>
		'received' in message ? [message] : [],
	);
	const start = performance.now();
	for (const [index, report] of reports.entries()) {
		table.handleReport(index, `p${index % 300}` as ids.PeerId, 1, report);
	}

	return ((performance.now() - start) * 1000) / Math.max(1, reports.length);
}

for (const proxies of proxyCounts) {
	for (const hotFactor of [1, 7]) {
		process.stdout.write(`${JSON.stringify(measure(proxies, hotFactor))}\n`);
	}
}
