/**
 * Runs one soak: starts the fleet, injects the faults of the plan while callers press on it, waits
 * until it has recovered, and compares what is stored with what the callers were told.
 */
import * as timers from 'node:timers/promises';
import * as pg from 'pg';
import * as callers from './callers.js';
import * as checks from './checks.js';
import * as fleets from './fleet.js';
import * as keys from './keys.js';
import * as plan from './plan.js';
import * as senders from './senders.js';
import type * as types from './types.js';

const memoryIntervalMs = 500;
/** Time after the last fault until every request must be served again. */
const recoveryTimeoutMs = 30_000;
const retryIntervalMs = 100;
/** Work that must not cut any request. */
const plannedWork = new Set<types.Fault['type']>([
	'stop',
	'reload',
	'template',
]);

export async function runSoak(
	options: types.SoakOptions,
): Promise<types.SoakReport> {
	const fleet = await fleets.SoakFleet.start(options.proxies);
	const record = new callers.CallerRecord();
	let violations: types.Violation[] = [];
	try {
		await runStatement(fleet, 'CREATE TABLE events (id int, body text)');
		const operator = new keys.KeyOperator(options.seed, fleet);
		await operator.start();
		const faults = await runLoad(options, fleet, record, operator);
		violations = [
			...record.violations,
			...(await checkStoredWrites(fleet, record)),
			...checks.checkPlannedStops(
				fleet.plannedStops,
				faults,
				record.brokenRequests,
			),
			...checks.checkCalm(
				fleet.plannedStops,
				faults,
				record.unansweredRequests,
			),
			...checks.checkKeys(operator.uses, faults),
			...checks.checkProcesses(fleet),
		];
		return {
			seed: options.seed,
			faults: faults.length + fleet.plannedStops.length,
			writes: checks.countOutcomes(record),
			reads: record.reads,
			sent: record.sent,
			keys: operator.keys.length,
			keyedRequests: operator.uses.filter(({outcome}) => outcome === 'answered')
				.length,
			longestStopMs: Math.max(
				0,
				...fleet.plannedStops.map(({at, endAt}) => endAt - at),
			),
			longestStallMs: fleet.readLongestStallMs(),
			peakMemoryMb: fleet.peakMemoryMb,
			violations,
			logs: violations.length > 0 ? fleet.folder : undefined,
		};
	} finally {
		await fleet.dispose(violations.length > 0);
	}
}

/** Resolves with the times of all faults but planned stops, wall clock in ms. */
async function runLoad(
	{
		seed,
		durationMs,
		callers: callerCount,
		senders: senderCount,
		keyedCallers: keyedCallerCount,
	}: types.SoakOptions,
	fleet: fleets.SoakFleet,
	record: callers.CallerRecord,
	operator: keys.KeyOperator,
): Promise<types.TimeSpan[]> {
	const times: types.TimeSpan[] = [];
	const all = [
		operator,
		...Array.from(
			{length: keyedCallerCount},
			(_, index) => new keys.KeyedCaller(seed * 1000 + 700 + index, operator),
		),
		...Array.from(
			{length: callerCount},
			(_, index) => new callers.Caller(seed * 1000 + index, fleet, record),
		),
		...Array.from(
			{length: senderCount},
			(_, index) =>
				new senders.Sender(seed * 1000 + 500 + index, fleet, record),
		),
	];
	const running = all.map(async (caller) => caller.run());
	const memoryTimer = setInterval(() => {
		fleet.recordMemory();
	}, memoryIntervalMs);
	const planned = plan.buildPlan(seed, durationMs, {
		proxy: fleet.proxies,
		control: fleet.controls,
		ledger: fleet.servers,
	});
	await Promise.all(
		planned.map(async ({atMs, fault}) => {
			await timers.setTimeout(atMs);
			const at = Date.now();
			await fleet.applyFault(fault);
			if (!plannedWork.has(fault.type)) {
				times.push({at, endAt: Date.now()});
			}
		}),
	);
	for (const caller of all) {
		caller.stop();
	}

	await Promise.all(running);
	clearInterval(memoryTimer);
	return times;
}

async function checkStoredWrites(
	fleet: fleets.SoakFleet,
	record: callers.CallerRecord,
): Promise<types.Violation[]> {
	try {
		await fleet.waitUntilReady();
		const rows = await runStatement<{id: number}>(
			fleet,
			'SELECT id FROM events',
		);
		return checks.checkWrites(
			record.writes,
			rows.map(({id}) => Number(id)),
		);
	} catch (error) {
		return [{promise: 'notRecovered', detail: String(error)}];
	}
}

/** Runs a statement that reads current data; retries until the fleet serves it. */
async function runStatement<Row extends pg.QueryResultRow>(
	fleet: fleets.SoakFleet,
	sql: string,
): Promise<Row[]> {
	const expiresAt = Date.now() + recoveryTimeoutMs;
	for (;;) {
		const client = new pg.Client({
			host: '127.0.0.1',
			port: fleet.getCallerPort(fleet.proxies[0]),
			user: fleets.member,
			database: fleets.group,
			connectionTimeoutMillis: recoveryTimeoutMs,
			query_timeout: recoveryTimeoutMs,
		});
		client.on('error', () => undefined);
		try {
			await client.connect();
			await client.query("SET hemlockarch.staleness_ms = '0'");
			const {rows} = await client.query<Row>(sql);
			return rows;
		} catch (error) {
			if (Date.now() > expiresAt) {
				throw error;
			}

			await timers.setTimeout(retryIntervalMs);
		} finally {
			void client.end().catch(() => undefined);
		}
	}
}
