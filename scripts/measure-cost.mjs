/**
 * Measures what one proxy process adds to a simple read, against the same read on a stand-in
 * directly, in one run. Prints one JSON line. Usage: node scripts/measure-cost.mjs [reads]
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

async function measureMedian(client) {
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
	let done = 0;
	await Promise.all(
		clients.map(async (client) => {
			for (let index = 0; index < reads / 10; index++) {
				await client.query('SELECT 1');
				done++;
			}
		}),
	);
	const perSecond = (done * 1000) / (performance.now() - startedAt);
	await Promise.all(clients.map(async (client) => client.end()));
	return perSecond;
}

const cluster = new quickstart.Cluster({controls: 1, proxies: 1, log: 'warn'});
try {
	await cluster.start();
	const proxy = cluster.ports.get('proxy-1');
	await quickstart.waitFor('the start', 20_000, async () =>
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
	const through = await quickstart.waitFor('a session', 10_000, async () => {
		const client = await connect(proxy.callers, member);
		await client.query('SELECT 1');
		return client;
	});
	const direct = await connect(cluster.ports.get('ledger-1').callers, member);
	const directMs = await measureMedian(direct);
	const throughMs = await measureMedian(through);
	await through.end();
	await direct.end();
	const perSecond = await measureThroughput(proxy.callers, member);
	console.log(
		JSON.stringify({
			case: 'cost of one proxy process',
			directMedianMs: Number(directMs.toFixed(3)),
			throughMedianMs: Number(throughMs.toFixed(3)),
			addedMedianMs: Number((throughMs - directMs).toFixed(3)),
			targetMs: 0.3,
			isMet: throughMs - directMs < 0.3,
			statementsPerSecond: Math.round(perSecond),
			callers: concurrency,
		}),
	);
} finally {
	await cluster.stop();
}
