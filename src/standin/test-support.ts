/**
 * Helpers shared by the tests of the stand-in.
 */
import pg from 'pg';
import type {Test} from 'tap';
import * as server from './server.js';
import type * as types from './types.js';

const baseOptions = {group: 'ledger', dataCentre: 'khomas-a'};

export async function startServer(
	t: Test,
	options: Partial<types.StandInOptions> = {},
): Promise<server.StandInServer> {
	const started = new server.StandInServer({
		...baseOptions,
		server: 'ledger-1',
		...options,
		faults: {connectTimeMs: 0, ...options.faults},
	});
	await started.start();
	t.teardown(async () => started.stop());
	return started;
}

export async function connect(
	t: Test,
	port: number,
	applicationName = 'test',
): Promise<pg.Client> {
	const client = new pg.Client({
		host: '127.0.0.1',
		port,
		user: 'sanna',
		database: 'ledger',
		application_name: applicationName,
	});
	client.on('error', () => undefined);
	await client.connect();
	t.teardown(async () => client.end().catch(() => undefined));
	return client;
}

export async function waitUntil(isDone: () => boolean | Promise<boolean>) {
	while (!(await isDone())) {
		await new Promise((resolve) => {
			setTimeout(resolve, 2);
		});
	}
}

export async function startGroup(t: Test): Promise<server.StandInServer[]> {
	const primary = await startServer(t, {server: 's1'});
	const source = {server: 's1', address: primary.address};
	const replicas = [
		await startServer(t, {server: 's2', primary: source}),
		await startServer(t, {server: 's3', primary: source}),
	];
	await waitUntil(() => primary.readStatus().replicas.length === 2);
	return [primary, ...replicas];
}

export async function createOrders(client: pg.Client): Promise<void> {
	await client.query(
		'CREATE TABLE orders (id int PRIMARY KEY, item text NOT NULL, amount int DEFAULT 1)',
	);
}
