/**
 * Tests with real processes on loopback. All tests use the same cluster of control peers, proxies
 * and stand-ins, one after the other.
 */
import {Buffer} from 'node:buffer';
import * as fs from 'node:fs';
import * as net from 'node:net';
import process from 'node:process';
import * as timers from 'node:timers/promises';
import * as pg from 'pg';
import tap from 'tap';
import * as testing from './testing.js';

const fileTimeoutMs = 120_000;
const waitTimeoutMs = 20_000;
const freezeMs = 4000;
const member = 'sanna';
const proxies = ['proxy-1', 'proxy-2', 'proxy-3', 'proxy-4'];
const quickstart = await testing.loadQuickstart();
const {waitFor} = quickstart;
const cluster = new quickstart.Cluster({controls: 3, proxies: proxies.length});
const text = fs.readFileSync(
	'samples/kalahari/templates/bloom-member.ini',
	'utf8',
);

tap.setTimeout(fileTimeoutMs);
process.once('exit', () => {
	for (const child of cluster.children.values()) {
		child.kill('SIGKILL');
	}
});
tap.teardown(async () => {
	// Kills the processes: proxies that all drain at once keep their servers until the drain deadline.
	await Promise.all(
		[...cluster.children.keys()].map(async (name) => cluster.kill(name)),
	);
	if (process.env.KEEP_LOGS) {
		console.error(`logs: ${cluster.folder}`);
	} else {
		fs.rmSync(cluster.folder, {recursive: true, force: true});
	}
});

function getPort(name: string, kind: string): number {
	return cluster.ports.get(name)![kind];
}

function buildOptions(proxy: string): pg.ClientConfig {
	const port = getPort(proxy, 'callers');
	return {host: '127.0.0.1', port, user: member, database: 'bloom-ledger'};
}

async function openClient(config: pg.ClientConfig): Promise<pg.Client> {
	const client = new pg.Client(config);
	// A lost connection is reported by the query that fails.
	client.on('error', () => undefined);
	await client.connect();
	return client;
}

async function openSession(proxy: string): Promise<pg.Client> {
	const client = await openClient(buildOptions(proxy));
	await client.query("SET hemlockarch.deadline_ms = '20000'");
	return client;
}

async function waitForDaemons(names: readonly string[]): Promise<void> {
	await waitFor('the daemons to start', waitTimeoutMs, async () => {
		const ready = await Promise.all(
			names.map(async (name) => cluster.isReady(name)),
		);
		return ready.every(Boolean);
	});
}

async function sendTemplate(
	proxy: string,
	expectedVersion: number,
	changeId: string,
): Promise<Response> {
	const port = getPort(proxy, 'http');
	return fetch(`http://127.0.0.1:${port}/templates/${member}`, {
		method: 'PUT',
		headers: {'content-type': 'application/json'},
		body: JSON.stringify({text, expectedVersion, changeId}),
	});
}

async function fetchVersion(proxy: string): Promise<number> {
	const port = getPort(proxy, 'http');
	const response = await fetch(`http://127.0.0.1:${port}/templates/${member}`);
	const body = (await response.json()) as {version: number};
	return body.version;
}

async function setFault(
	server: string,
	name: string,
	value: string,
): Promise<void> {
	const port = getPort(server, 'control');
	const client = await openClient({host: '127.0.0.1', port, user: 'test'});
	await client.query(`SELECT standin.set('${name}', '${value}')`);
	await client.end();
}

/** Finds the proxy with the write lease and the primary that it owns. */
async function findPrimary(): Promise<{owner: string; server: string}> {
	return waitFor('a write lease', waitTimeoutMs, async () => {
		for (const owner of proxies) {
			const {owned} = await cluster.readStatus(owner);
			const primary = owned.find(({writeTerm}) => writeTerm !== undefined);
			if (primary) {
				return {owner, server: primary.server};
			}
		}

		throw new Error('no proxy holds a write lease');
	});
}

function getSqlState(error: unknown): string {
	return (error as {code?: string}).code ?? String(error);
}

/** Runs a statement in a new session; resolves with `done` or the SQLSTATE of the error. */
async function runOnce(proxy: string, sql: string): Promise<string> {
	let client: pg.Client | undefined;
	try {
		client = await openSession(proxy);
		await client.query("SET hemlockarch.rank = 'urgent'");
		await client.query(sql);
		return 'done';
	} catch (error) {
		return getSqlState(error);
	} finally {
		await client?.end();
	}
}

/** Returns the number of rows of a table for each id. */
async function countById(table: string): Promise<Map<number, number>> {
	const client = await openSession('proxy-1');
	const {rows} = await waitFor('a read to succeed', waitTimeoutMs, async () =>
		client.query<{id: number}>(`SELECT id FROM ${table}`),
	);
	await client.end();
	const counts = new Map<number, number>();
	for (const {id} of rows) {
		counts.set(Number(id), (counts.get(Number(id)) ?? 0) + 1);
	}

	return counts;
}

async function createTable(definition: string): Promise<void> {
	const client = await openSession('proxy-1');
	await client.query(`CREATE TABLE ${definition}`);
	await client.end();
}

// Guards against a cluster of processes that does not start.
tap.test('a cluster starts and grants a write lease', async (t) => {
	await cluster.start();
	await waitForDaemons([...proxies, 'control-1', 'control-2', 'control-3']);
	const response = await sendTemplate('proxy-1', 0, 'first');
	t.equal(response.status, 200);
	await waitFor('the template on all proxies', waitTimeoutMs, async () => {
		const versions = await Promise.all(
			proxies.map(async (proxy) => fetchVersion(proxy)),
		);
		return versions.every((version) => version === 1);
	});
	await findPrimary();
});

// Guards against answers that an unmodified client cannot read, and against mixed up or truncated
// results.
tap.test('the pg client gets correct and complete answers', async (t) => {
	const client = await openSession('proxy-1');
	await client.query('CREATE TABLE notes (id int primary key, body text)');
	await client.query("INSERT INTO notes (id, body) VALUES (1, 'one')");
	const insert = 'INSERT INTO notes (id, body) VALUES ($1, $2)';
	await client.query(insert, [2, 'two']);
	for (const [id, body] of [
		[1, 'one'],
		[2, 'two'],
	]) {
		const {rows} = await client.query({
			name: 'find-note',
			text: 'SELECT body FROM notes WHERE id = $1',
			values: [id],
		});
		t.same(rows, [{body}]);
	}

	await client.query('BEGIN');
	await client.query(insert, [3, 'three']);
	await client.query('COMMIT');
	await client.query('BEGIN');
	await client.query(insert, [4, 'four']);
	await t.rejects(client.query(insert, [1, 'again']), {code: '23505'});
	await t.rejects(client.query('SELECT id FROM notes'), {code: '25P02'});
	await client.query('ROLLBACK');
	const ids = await client.query('SELECT id FROM notes ORDER BY id');
	t.same(ids.rows, [{id: 1}, {id: 2}, {id: 3}]);

	const large = 'x'.repeat(1_000_000);
	await client.query(insert, [5, large]);
	const result = await client.query<{body: string}>(
		'SELECT body FROM notes WHERE id = 5',
	);
	t.ok(result.rows[0]?.body === large, 'a result of 1 MB is complete');
	await client.end();
});

// Guards against a cancel request that is lost or that makes the session unusable.
tap.test('a cancel request ends the statement only', async (t) => {
	const client = await openSession('proxy-1');
	const keys = client as unknown as {processID: number; secretKey: number};
	const request = Buffer.alloc(16);
	request.writeInt32BE(16, 0);
	request.writeInt32BE(80_877_102, 4);
	request.writeInt32BE(keys.processID, 8);
	request.writeInt32BE(keys.secretKey, 12);
	const answer = client.query('SELECT pg_sleep(15)').then(
		() => 'done',
		(error: unknown) => getSqlState(error),
	);
	await waitFor('a request in flight', waitTimeoutMs, async () => {
		const {inFlight} = await cluster.readStatus('proxy-1');
		return inFlight === 1;
	});
	net.connect(getPort('proxy-1', 'callers'), '127.0.0.1').end(request);
	t.equal(await answer, '57014');
	const {rows} = await client.query('SELECT id FROM notes WHERE id = 1');
	t.same(rows, [{id: 1}]);
	await client.end();
});

// Guards against a proxy that fails or stops answering when a caller requests TLS.
tap.test('TLS is refused and plain connections work', async (t) => {
	await t.rejects(openClient({...buildOptions('proxy-1'), ssl: true}), {
		message: /does not support SSL/v,
	});
	const client = await openSession('proxy-1');
	const {rows} = await client.query('SELECT id FROM notes WHERE id = 1');
	t.same(rows, [{id: 1}]);
	await client.end();
});

// Guards against reads that miss the caller's own write after a move to another proxy.
tap.test('a caller reads its own writes on another proxy', async (t) => {
	const {server} = await findPrimary();
	const replicas = ['ledger-1', 'ledger-2', 'ledger-3'].filter(
		(name) => name !== server,
	);
	for (const replica of replicas) {
		await setFault(replica, 'apply_lag_ms', '2000');
	}

	await createTable('stock (id int, pieces int)');
	const writer = await openSession('proxy-1');
	let token = '';
	const {connection} = writer as unknown as {
		connection: NodeJS.EventEmitter;
	};
	connection.on(
		'parameterStatus',
		(status: {parameterName: string; parameterValue: string}) => {
			if (status.parameterName === 'hemlockarch.token') {
				token = status.parameterValue;
			}
		},
	);
	for (let id = 1; id <= 5; id++) {
		await writer.query(`INSERT INTO stock (id, pieces) VALUES (${id}, ${id})`);
		t.match(token, /^\d+:\d+$/v);
		for (const proxy of ['proxy-2', 'proxy-3']) {
			const sql = `SELECT pieces FROM stock WHERE id = ${id}`;
			const plain = await openSession(proxy);
			const first = await plain.query(sql);
			t.same(first.rows, [{pieces: id}], `plain ${proxy}`);
			await plain.end();
			const moved = await openSession(proxy);
			await moved.query(`SET hemlockarch.token = '${token}'`);
			const second = await moved.query(sql);
			t.same(second.rows, [{pieces: id}], `token ${proxy}`);
			await moved.end();
		}
	}

	await writer.end();
	for (const replica of replicas) {
		await setFault(replica, 'apply_lag_ms', '0');
	}
});

// Guards against orders that are lost, recorded twice or wrongly refused when the primary is killed.
tap.test('orders match their answers when the primary is killed', async (t) => {
	await createTable('orders (id int, shop text)');
	const acknowledged: number[] = [];
	const refused: number[] = [];
	const unexpected: string[] = [];
	let next = 0;
	let end = Number.POSITIVE_INFINITY;
	const placeOrder = async (id: number) => {
		for (let attempt = 0; ; attempt++) {
			const outcome = await runOnce(
				`proxy-${2 + ((id + attempt) % 2)}`,
				`INSERT INTO orders (id, shop) VALUES (${id}, 'shop') /*hemlockarch_key='order-${id}'*/`,
			);
			if (outcome === 'done' || (outcome === 'HK008' && attempt > 0)) {
				acknowledged.push(id);
				return;
			}

			if (!/^(?:HK00[1-7]|08007)$/v.test(outcome)) {
				unexpected.push(`${id}: ${outcome}`);
				return;
			}

			// Half of the orders are not retried when their first attempt is refused.
			if (outcome.startsWith('HK') && attempt === 0 && id % 4 < 2) {
				refused.push(id);
				return;
			}

			await timers.setTimeout(50);
		}
	};

	const writers = Array.from({length: 6}, async () => {
		while (acknowledged.length < end) {
			await placeOrder(next++);
		}
	});
	await waitFor(
		'30 orders',
		waitTimeoutMs,
		async () => acknowledged.length > 30,
	);
	const {server} = await findPrimary();
	await cluster.kill(server);
	end = acknowledged.length + 60;
	await Promise.all(writers);
	t.same(unexpected, []);
	const counts = await countById('orders');
	t.same(
		acknowledged.filter((id) => counts.get(id) !== 1),
		[],
		'acknowledged orders are recorded once',
	);
	t.same(
		refused.filter((id) => counts.has(id)),
		[],
		'refused orders are not recorded',
	);
	const current = await findPrimary();
	await cluster.startStandIn(
		Number(server.split('-')[1]),
		getPort(current.server, 'callers'),
		current.server,
	);
});

// Guards against writes that are lost or recorded twice when the owner of the primary is frozen.
tap.test('writes match their answers when the owner is frozen', async (t) => {
	await createTable('weighments (id int, kilograms int)');
	const {owner} = await findPrimary();
	const entry = proxies.find((proxy) => proxy !== owner)!;
	const acknowledged: number[] = [];
	const refused: number[] = [];
	const unexpected: string[] = [];
	let next = 0;
	let end = Number.POSITIVE_INFINITY;
	const writers = Array.from({length: 4}, async () => {
		while (acknowledged.length < end) {
			const id = next++;
			const outcome = await runOnce(
				entry,
				`INSERT INTO weighments (id, kilograms) VALUES (${id}, 1)`,
			);
			if (outcome === 'done') {
				acknowledged.push(id);
			} else if (/^HK00[1-7]$/v.test(outcome)) {
				refused.push(id);
			} else if (outcome !== '08007') {
				unexpected.push(`${id}: ${outcome}`);
			}
		}
	});
	await waitFor(
		'20 writes',
		waitTimeoutMs,
		async () => acknowledged.length > 20,
	);
	cluster.signal(owner, 'SIGSTOP');
	await timers.setTimeout(freezeMs);
	cluster.signal(owner, 'SIGCONT');
	end = acknowledged.length + 20;
	await Promise.all(writers);
	t.same(unexpected, []);
	const counts = await countById('weighments');
	t.same(
		acknowledged.filter((id) => counts.get(id) !== 1),
		[],
		'acknowledged writes are recorded once',
	);
	t.same(
		refused.filter((id) => counts.has(id)),
		[],
		'refused writes are not recorded',
	);
});

// Guards against a drain that aborts requests in flight or does not end.
tap.test('a drain answers all requests in flight and exits', async (t) => {
	const requests = 50;
	const clients = await Promise.all(
		Array.from({length: requests}, async () => openSession('proxy-4')),
	);
	const outcomes: string[] = [];
	const answers = clients.map(async (client) => {
		try {
			await client.query('SELECT pg_sleep(0.5)');
			outcomes.push('done');
		} catch (error) {
			outcomes.push(getSqlState(error));
		}
	});
	const child = cluster.children.get('proxy-4')!;
	const exited = new Promise<number | null>((resolve) => {
		child.once('exit', resolve);
	});
	// The first answers may arrive before the status includes the last request.
	await waitFor('requests in flight', waitTimeoutMs, async () => {
		const answered = outcomes.length;
		const {inFlight} = await cluster.readStatus('proxy-4');
		return inFlight > 0 && answered + inFlight === requests;
	});
	cluster.signal('proxy-4', 'SIGTERM');
	await Promise.all(answers);
	t.same(
		outcomes,
		Array.from({length: requests}, () => 'done'),
		'every request in flight is answered',
	);
	t.equal(await exited, 0);
	cluster.startDaemon('proxy-4');
	await waitForDaemons(proxies);
});

// Guards against a process that a request to read its settings again ends.
tap.test('SIGHUP keeps a daemon and its sessions', async (t) => {
	const client = await openSession('proxy-1');
	for (const name of ['proxy-1', 'control-1']) {
		cluster.signal(name, 'SIGHUP');
		await waitFor(`the reload of ${name}`, waitTimeoutMs, async () =>
			fs
				.readFileSync(`${cluster.folder}/${name}.log`, 'utf8')
				.includes('The settings have not changed'),
		);
		t.ok(await cluster.isReady(name));
	}

	await client.query('SELECT id FROM notes');
	await client.end();
});

// Guards against a template change that is applied twice when it is sent again.
tap.test('a template change that is sent again is applied once', async (t) => {
	const version = await fetchVersion('proxy-1');
	const lost = await sendTemplate('proxy-1', version, 'resent');
	t.equal(lost.status, 200);
	await lost.body?.cancel();
	const answer = await sendTemplate('proxy-2', version, 'resent');
	t.equal(answer.status, 200);
	t.match(await answer.json(), {version: version + 1});
	await waitFor('the version on all proxies', waitTimeoutMs, async () => {
		const versions = await Promise.all(
			proxies.map(async (proxy) => fetchVersion(proxy)),
		);
		return versions.every((found) => found === version + 1);
	});
});
