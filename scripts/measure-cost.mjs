/**
 * Measures the latency that one proxy process adds to a simple read, compared with the same read sent
 * directly to a stand-in in the same run, and the throughput of concurrent connections through the
 * proxy. Prints one JSON line.
 * Usage: node scripts/measure-cost.mjs [reads]
 */
import process from 'node:process';
import pg from 'pg';
import * as quickstart from './quickstart/cluster.mjs';

const reads = Number(process.argv[2] ?? 5000);
const warmUpReads = 500;
const concurrency = 48;
const member = 'sanna';

async function connect(port, user) {
	const client = new pg.Client({
		host: '127.0.0.1',
		port,
		user,
		database: 'bloom-ledger',
	});
	await client.connect();
	return client;
}

async function measureMedianMs(client) {
	const times = [];
	for (let index = 0; index < warmUpReads + reads; index++) {
		const startedAt = performance.now();
		await client.query('SELECT 1');
		times.push(performance.now() - startedAt);
	}

	const sorted = times.slice(warmUpReads).sort((left, right) => left - right);
	return sorted[Math.floor(sorted.length / 2)];
}

async function measureThroughput(port, user) {
	const clients = await Promise.all(
		Array.from({length: concurrency}, async () => connect(port, user)),
	);
	const startedAt = performance.now();
	let completed = 0;
	await Promise.all(
		clients.map(async (client) => {
			for (let index = 0; index < reads / 10; index++) {
				await client.query('SELECT 1');
				completed++;
			}
		}),
	);
	const perSecond = (completed * 1000) / (performance.now() - startedAt);
	await Promise.all(clients.map(async (client) => client.end()));
	return perSecond;
}

const cluster = new quickstart.Cluster({controls: 1, proxies: 1, log: 'warn'});
try {
	await cluster.start();
	const proxy = cluster.ports.get('proxy-1');
	await quickstart.waitFor('proxy-1 to start', 20_000, async () =>
		cluster.isReady('proxy-1'),
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
		`127.0.0.1:${proxy.http}`,
	]);
	const proxied = await quickstart.waitFor(
		'a session to open',
		10_000,
		async () => {
			const client = await connect(proxy.callers, member);
			await client.query('SELECT 1');
			return client;
		},
	);
	const direct = await connect(cluster.ports.get('ledger-1').callers, member);
	const directMs = await measureMedianMs(direct);
	const proxiedMs = await measureMedianMs(proxied);
	await proxied.end();
	await direct.end();
	const perSecond = await measureThroughput(proxy.callers, member);
	console.log(
		JSON.stringify({
			case: 'cost of one proxy process',
			directMedianMs: Number(directMs.toFixed(3)),
			throughMedianMs: Number(proxiedMs.toFixed(3)),
			addedMedianMs: Number((proxiedMs - directMs).toFixed(3)),
			targetMs: 0.3,
			isMet: proxiedMs - directMs < 0.3,
			statementsPerSecond: Math.round(perSecond),
			callers: concurrency,
		}),
	);
} finally {
	await cluster.stop();
}
