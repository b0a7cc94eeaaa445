/**
 * A proxy is killed and starts again while the first statements of transactions that it has forwarded
 * still run. The sessions connect again and run their transactions once more.
 */
import * as path from 'node:path';
import {Client, runCase, wait, waitFor} from '../lib/deployment.mjs';

const sessions = 3;
/** How late the answers to the first statements are; `TimeoutMs` of the route is 800. */
const lateMs = 600;
/** The clients connect again this long after the restart. */
const reconnectMs = 300;
const database = 'lepu270';

/** Opens a session and starts a transaction; retries until the proxy accepts sessions. */
async function startTransaction(deployment, machine, name) {
	let client;
	await waitFor(`session ${name}`, 5000, async () => {
		client = new Client(deployment, name, machine);
		if (await client.open(database)) {
			return true;
		}

		client.close();
		await wait(20);
		return false;
	});
	await client.query('BEGIN');
	return client;
}

/** A commit must contain what its client sent in the transaction, and nothing else. */
function checkTransaction(primary, {client, commit, wanted}) {
	const entry = primary.log.find(({by}) => by === commit.id);
	const ran = entry?.queries.map(({id}) => id) ?? [];
	const foreign = ran.filter((id) => !wanted.includes(id));
	const missing = wanted.filter((id) => !ran.includes(id));
	return [
		...(foreign.length > 0
			? [
					`PINNED, UNASKED: the COMMIT ${commit.id} of ${client.name} committed ${foreign.join(' ')} of another client, which has not asked for it`,
				]
			: []),
		...(commit.signature !== undefined && missing.length > 0
			? [
					`LOST: the COMMIT ${commit.id} of ${client.name} succeeded, but ${missing.join(' ')} of its transaction is not in the log`,
				]
			: []),
	];
}

async function run(deployment, hasTrouble) {
	const {service} = deployment;
	await deployment.start([
		{Host: database, RouteKind: 'primary', TimeoutMs: 800, Priority: 0},
	]);
	for (const each of deployment.machines) {
		await deployment.waitForService(each, database);
	}

	await wait(1000);
	const {primary} = service;
	const machine = deployment.findMachineWithoutServers([primary]);
	// Session numbers count from the start of the process, so start it once more without any load.
	machine.proxy.kill('SIGKILL');
	await wait(500);
	deployment.startProcess(machine, 'proxy', false);
	await wait(3000);

	const late = new Set();
	service.chooseLateness = (server, id, text) => (late.has(text) ? lateMs : 0);
	const first = [];
	for (let index = 1; index <= sessions; index++) {
		first.push(await startTransaction(deployment, machine, `c${index}`));
	}

	const firstAnswers = first.map(async (client, index) => {
		const text = `WRITE a${index + 1} first`;
		late.add(text);
		return client.query(text);
	});
	await wait(50);
	let clients = first;
	if (hasTrouble) {
		machine.proxy.kill('SIGKILL');
		await wait(20);
		deployment.startProcess(machine, 'proxy', false);
		await wait(reconnectMs);
		clients = await Promise.all(
			first.map(async (client) =>
				startTransaction(deployment, machine, `${client.name}-again`),
			),
		);
	}

	const transactions = await Promise.all(
		clients.map(async (client, index) => {
			const write = hasTrouble
				? await client.query(`WRITE a${index + 1} second`)
				: await firstAnswers[index];
			await wait(lateMs);
			const other = await client.query(`WRITE b${index + 1} second`);
			const commit = await client.query('COMMIT');
			return {client, commit, wanted: [write.id, other.id]};
		}),
	);
	await Promise.all(firstAnswers);
	await wait(300);
	const problems = transactions.flatMap((transaction) =>
		checkTransaction(primary, transaction),
	);
	for (const client of [...first, ...clients]) {
		client.close();
	}

	return problems;
}

await runCase(path.dirname(new URL(import.meta.url).pathname), {}, run);
