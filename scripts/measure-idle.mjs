/**
 * Measures what idle processes cost as the fleet grows: starts fleets of proxies with three control
 * peers and one group of stand-ins on loopback, opens one session at each proxy, and reads what Linux
 * counts for each process. Prints one JSON line per fleet with the median and highest process of each
 * role.
 * Usage: node scripts/measure-idle.mjs [proxies...]
 */
import * as fs from 'node:fs';
import process from 'node:process';
import pg from 'pg';
import * as quickstart from './quickstart/cluster.mjs';

const sizes =
	process.argv.length > 2 ? process.argv.slice(2).map(Number) : [7, 32, 84];
const settleMs = 20_000;
const sampleMs = 15_000;
/** Linux reports processor time in ticks of 10 ms. */
const tickMs = 10;
const member = 'sanna';

async function sleep(ms) {
	return new Promise((resolve) => {
		setTimeout(resolve, ms);
	});
}

/** Reads the totals of a process: processor time, system calls and bytes, and open sockets. */
function readTotals(pid) {
	const stat = fs.readFileSync(`/proc/${pid}/stat`, 'utf8');
	const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
	const io = new Map(
		fs
			.readFileSync(`/proc/${pid}/io`, 'utf8')
			.trim()
			.split('\n')
			.map((line) => line.split(': ')),
	);
	const sockets = fs.readdirSync(`/proc/${pid}/fd`).filter((fd) => {
		try {
			return fs.readlinkSync(`/proc/${pid}/fd/${fd}`).startsWith('socket:');
		} catch {
			return false;
		}
	}).length;
	return {
		processorMs: (Number(fields[11]) + Number(fields[12])) * tickMs,
		readCalls: Number(io.get('syscr')),
		writeCalls: Number(io.get('syscw')),
		readBytes: Number(io.get('rchar')),
		writtenBytes: Number(io.get('wchar')),
		sockets,
	};
}

function computeRates(before, after) {
	const perSecond = (name) => ((after[name] - before[name]) * 1000) / sampleMs;
	return {
		processorShare: perSecond('processorMs') / 1000,
		readsPerSecond: perSecond('readCalls'),
		writesPerSecond: perSecond('writeCalls'),
		bytesReadPerSecond: perSecond('readBytes'),
		bytesWrittenPerSecond: perSecond('writtenBytes'),
		sockets: after.sockets,
	};
}

function summarize(rates) {
	const summary = {};
	for (const name of Object.keys(rates[0])) {
		const sorted = rates
			.map((rate) => rate[name])
			.sort((left, right) => left - right);
		const round = (value) => Number(value.toPrecision(3));
		summary[name] = {
			median: round(sorted[Math.floor(sorted.length / 2)]),
			highest: round(sorted.at(-1)),
		};
	}

	return summary;
}

async function openSessions(cluster, proxies) {
	const clients = [];
	for (let index = 1; index <= proxies; index++) {
		const {callers: port} = cluster.ports.get(`proxy-${index}`);
		clients.push(
			await quickstart.waitFor(
				`a session at proxy-${index}`,
				30_000,
				async () => {
					const client = new pg.Client({
						host: '127.0.0.1',
						port,
						user: member,
						database: 'bloom-ledger',
					});
					client.on('error', () => undefined);
					await client.connect();
					return client;
				},
			),
		);
	}

	return clients;
}

async function measureFleet(proxies) {
	const cluster = new quickstart.Cluster({controls: 3, proxies, log: 'warn'});
	try {
		await cluster.start();
		await quickstart.waitFor('the proxies to start', 120_000, async () =>
			cluster.isReady(`proxy-${proxies}`),
		);
		await cluster.runClient([
			'ctl',
			'template',
			'set',
			member,
			'samples/kalahari/templates/bloom-member.ini',
			'--expected-version',
			'0',
			'--peer',
			`127.0.0.1:${cluster.ports.get('proxy-1').http}`,
		]);
		const clients = await openSessions(cluster, proxies);
		await sleep(settleMs);
		const pids = [...cluster.children].map(([name, {pid}]) => ({name, pid}));
		const before = new Map(pids.map(({pid}) => [pid, readTotals(pid)]));
		await sleep(sampleMs);
		const summarizeRole = (role) =>
			summarize(
				pids
					.filter(({name}) => name.startsWith(role))
					.map(({pid}) => computeRates(before.get(pid), readTotals(pid))),
			);
		console.log(
			JSON.stringify({
				case: 'cost of idle processes',
				proxies,
				proxy: summarizeRole('proxy'),
				control: summarizeRole('control'),
			}),
		);
		await Promise.all(clients.map(async (client) => client.end()));
	} finally {
		await cluster.stop();
	}
}

for (const size of sizes) {
	await measureFleet(size);
}
