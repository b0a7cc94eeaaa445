/**
 * Demonstrates the proxy with real processes: places an order through one proxy, reads it back from a
 * replica through another, then kills the primary and places the next order. Exits with code 1 when a
 * step fails.
 */
import process from 'node:process';
import pg from 'pg';
import * as quickstart from './quickstart/cluster.mjs';

const template = 'samples/kalahari/templates/bloom-member.ini';
const member = 'sanna';

function check(isMet, expectation) {
	if (!isMet) {
		throw new Error(`check failed: ${expectation}`);
	}

	console.log(`ok: ${expectation}`);
}

async function connect(cluster, proxy) {
	const client = new pg.Client({
		host: '127.0.0.1',
		port: cluster.ports.get(proxy).callers,
		user: member,
		database: 'bloom-ledger',
	});
	// A lost connection is reported by the query that fails.
	client.on('error', () => undefined);
	await client.connect();
	return client;
}

/** Places an order; retries after an error, such as a refusal as "not run". */
async function placeOrder(client, id) {
	await client.query("SET hemlockarch.rank = 'urgent'");
	return quickstart.waitFor(
		`order ${id} to be acknowledged`,
		20_000,
		async () => {
			await client.query(
				`INSERT INTO orders (id, shop) VALUES (${id}, 'shop-${id}') /*hemlockarch_key='order-${id}'*/`,
			);
			return true;
		},
	);
}

async function countReplicaReads(cluster) {
	const {http} = cluster.ports.get('proxy-2');
	const response = await fetch(`http://127.0.0.1:${http}/metrics`);
	const text = await response.text();
	const line = text
		.split('\n')
		.find(
			(candidate) =>
				candidate.startsWith('hemlockarch_reads_total') &&
				candidate.includes('served_by="replica"'),
		);
	return Number(line?.split(' ').at(-1) ?? 0);
}

async function run(cluster) {
	await cluster.start();
	await quickstart.waitFor('all daemons to start', 20_000, async () => {
		const names = [...cluster.ports.keys()].filter(
			(name) => !name.startsWith('ledger'),
		);
		const ready = await Promise.all(
			names.map(async (name) => cluster.isReady(name)),
		);
		return ready.every(Boolean);
	});
	const {code, output} = await cluster.runClient([
		'ctl',
		'template',
		'set',
		member,
		template,
		'--expected-version',
		'0',
		'--peer',
		`127.0.0.1:${cluster.ports.get('proxy-1').http}`,
	]);
	check(code === 0, `the template of ${member} is set (${output.trim()})`);

	const first = await quickstart.waitFor(
		'a session to open',
		10_000,
		async () => connect(cluster, 'proxy-1'),
	);
	await first.query('CREATE TABLE orders (id int primary key, shop text)');
	await placeOrder(first, 1);
	check(true, 'order 1 is placed through proxy-1');

	const second = await connect(cluster, 'proxy-2');
	const {rows} = await second.query('SELECT shop FROM orders WHERE id = 1');
	check(rows[0]?.shop === 'shop-1', 'order 1 is read through proxy-2');
	await quickstart.waitFor(
		'a read to be served by a replica',
		10_000,
		async () => {
			const result = await second.query('SELECT shop FROM orders WHERE id = 1');
			return (
				result.rows[0]?.shop === 'shop-1' &&
				(await countReplicaReads(cluster)) > 0
			);
		},
	);
	check(true, 'order 1 is read through proxy-2 from a replica');

	const killedAt = performance.now();
	await cluster.kill('ledger-1');
	await placeOrder(first, 2);
	const gapMs = performance.now() - killedAt;
	console.log(
		`gap in writes after the primary was killed: ${Math.round(gapMs)} ms`,
	);
	const result = await second.query('SELECT id, shop FROM orders ORDER BY id');
	check(
		JSON.stringify(result.rows.map(({id}) => Number(id))) === '[1,2]',
		'both orders are recorded once',
	);
	await first.end();
	await second.end();
}

const cluster = new quickstart.Cluster({controls: 3, proxies: 3});
let exitCode = 0;
try {
	await run(cluster);
} catch (error) {
	console.error(`quickstart: ${error.message}`);
	console.error(`logs: ${cluster.folder}`);
	exitCode = 1;
	if (process.env.KEEP_LOGS) {
		process.exit(1);
	}
}

const codes = await cluster.stop();
for (const [name, code] of codes) {
	if (code !== 0) {
		console.error(`quickstart: ${name} exited with ${code}`);
		exitCode = 1;
	}
}

if (exitCode === 0) {
	console.log('quickstart: all checks passed');
}

process.exit(exitCode);
