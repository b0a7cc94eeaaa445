/**
 * A proxy, a control peer and stand-ins with little memory, for tests with crowds. Each crowd meets a
 * new process.
 */
import * as fs from 'node:fs';
import process from 'node:process';
import * as pg from 'pg';
import tap from 'tap';
import * as testing from '../daemon/testing.js';
import * as callerMessages from './caller-messages.js';
import * as crowds from './crowd.js';

const fileTimeoutMs = 120_000;
const waitTimeoutMs = 20_000;
/** Bounds of every crowd. */
const maxMegabytes = 256;
const maxDescriptors = 200;
export const mebibyte = 1024 * 1024;
const host = '127.0.0.1';
const quickstart = await testing.loadQuickstart();
const cluster = new quickstart.Cluster({
	group: callerMessages.group,
	controls: 1,
	proxies: 1,
	nodeOptions: ['--max-old-space-size=128'],
	maxConnections: 150,
});

tap.setTimeout(fileTimeoutMs);
process.once('exit', () => {
	for (const child of cluster.children.values()) {
		child.kill('SIGKILL');
	}
});
tap.teardown(async () => {
	await Promise.all(
		[...cluster.children.keys()].map(async (name) => cluster.kill(name)),
	);
	fs.rmSync(cluster.folder, {recursive: true, force: true});
});

function getEndpoint(name: string, kind: string): crowds.Endpoint {
	return {host, port: cluster.ports.get(name)![kind]};
}

/** Runs one ordinary statement in a session of its own. */
export async function runStatement(sql: string): Promise<unknown[]> {
	const client = new pg.Client({
		...getEndpoint('proxy-1', 'callers'),
		user: 'sanna',
		database: callerMessages.group,
		connectionTimeoutMillis: 2000,
		query_timeout: 5000,
	});
	client.on('error', () => undefined);
	try {
		await client.connect();
		const {rows} = await client.query<Record<string, unknown>>(sql);
		return rows;
	} finally {
		await client.end().catch(() => undefined);
	}
}

async function sendTemplate(): Promise<boolean> {
	const {port} = getEndpoint('proxy-1', 'http');
	const response = await fetch(`http://${host}:${port}/templates/sanna`, {
		method: 'PUT',
		headers: {'content-type': 'application/json'},
		body: JSON.stringify({
			text: '[member]\n',
			expectedVersion: 0,
			changeId: 'first',
		}),
	});
	return response.status === 200;
}

async function waitForService(): Promise<void> {
	await quickstart.waitFor('service', waitTimeoutMs, async () =>
		runStatement('SELECT id FROM notes WHERE id = 1'),
	);
}

async function restart(name: string): Promise<void> {
	if (cluster.children.has(name)) {
		await cluster.kill(name);
	}

	cluster.startDaemon(name);
	await waitForService();
}

export type Case = Omit<crowds.Crowd, 'endpoint' | 'checkService'> & {
	readonly target?: readonly [name: string, kind: string];
};

export function addCrowd(title: string, {target, ...crowd}: Case): void {
	// KNOWN-RED.txt names tests by their titles, so the titles of both codecs differ.
	const fullTitle = `product: ${title}`;
	void tap.test(fullTitle, async (t) => {
		const [name, kind] = target ?? ['proxy-1', 'callers'];
		await restart(name);
		const usage = await crowds.playCrowd(
			{
				...crowd,
				endpoint: getEndpoint(name, kind),
				checkService: waitForService,
			},
			cluster.children.get(name)!,
		);
		t.comment(`usage ${JSON.stringify(usage)}`);
		t.ok(usage.isAlive, `${fullTitle}: the process lives`);
		t.ok(
			usage.peakMegabytes <= maxMegabytes,
			`${fullTitle}: memory stays in its bound`,
		);
		t.ok(
			usage.peakDescriptors <= maxDescriptors,
			`${fullTitle}: descriptors stay in their bound`,
		);
		t.ok(usage.isServed, `${fullTitle}: an ordinary request is answered`);
	});
}

/** Starts the processes and a table with a large row. */
export async function startCluster(): Promise<void> {
	await cluster.start();
	await quickstart.waitFor('a template', waitTimeoutMs, async () =>
		sendTemplate(),
	);
	await quickstart.waitFor('a table', waitTimeoutMs, async () => {
		await runStatement('CREATE TABLE notes (id int, body text)');
		return true;
	});
	await runStatement("INSERT INTO notes (id, body) VALUES (1, 'a')");
	const body = 'x'.repeat(mebibyte - 1000);
	await runStatement(`INSERT INTO notes (id, body) VALUES (2, '${body}')`);
}
