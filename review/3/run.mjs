/**
 * The machine of an entry freezes for less than a second while the first statements of its transactions
 * run at the owner of the primary. The same sessions go on after it has woken.
 */
import * as path from 'node:path';
import {Client, runCase, wait} from '../lib/deployment.mjs';

const sessions = 3;
/** `TimeoutMs` of the route, as in the example of PROTOCOL.md. */
const timeoutMs = 1000;
/** How late the answers to the first statements are. */
const lateMs = 950;
const freezeMs = 800;
const pauseMs = 400;
const maxTries = 3;
const database = 'lepu270';
/** Codes that promise that nothing of the attempt is kept. */
const promises = new Set(['ABORTED', 'BUSY', 'LAGGING', 'READONLY']);

/** Runs a transaction of two writes; returns its writes and the answer that ended it. */
async function runTransaction(client, number, attempt) {
	const writes = [];
	await client.query('BEGIN');
	for (const item of ['a', 'b']) {
		const write = await client.query(`WRITE ${item}${number} try${attempt}`);
		writes.push(write.id);
		if (write.signature === undefined) {
			return {writes, end: write};
		}

		await wait(pauseMs);
	}

	return {writes, end: await client.query('COMMIT')};
}

/** Runs the transaction again after each promise that nothing of it is kept. */
async function runOperation(client, number) {
	const attempts = [];
	for (let attempt = 1; attempt <= maxTries; attempt++) {
		const result = await runTransaction(client, number, attempt);
		attempts.push(result);
		if (!promises.has(result.end.error)) {
			break;
		}

		if (result.end.ready !== 'I') {
			await client.query('ROLLBACK');
		}
	}

	return attempts;
}

function checkAttempt(committed, {writes, end}) {
	const kept = writes.filter((id) => committed.has(id));
	if (promises.has(end.error) && kept.length > 0) {
		return [
			`REFUSED: ${kept.join(' ')} is committed, though ${end.id} was answered with ${end.error}`,
		];
	}

	return end.signature !== undefined && kept.length < writes.length
		? [
				`LOST: the COMMIT ${end.id} succeeded, but of ${writes.join(' ')} only ${kept.join(' ')} is committed`,
			]
		: [];
}

async function run(deployment, hasTrouble) {
	const {service, machines} = deployment;
	await deployment.start([
		{
			Host: database,
			RouteKind: 'primary',
			TimeoutMs: timeoutMs,
			Priority: 0,
		},
	]);
	for (const machine of machines) {
		await deployment.waitForService(machine, database);
	}

	await wait(1500);
	const {primary} = service;
	const machine = deployment.findMachineWithoutServers([primary]);
	service.chooseLateness = (server, id, text) =>
		/WRITE a\d try1/v.test(text) ? lateMs : 0;
	const clients = [];
	for (let number = 1; number <= sessions; number++) {
		const client = new Client(deployment, `c${number}`, machine);
		await client.open(database);
		clients.push(client);
	}

	const operations = Promise.all(
		clients.map(async (client, index) => runOperation(client, index + 1)),
	);
	if (hasTrouble) {
		await wait(40);
		machine.proxy.kill('SIGSTOP');
		deployment.record(`${machine.name} freezes`);
		await wait(freezeMs);
		machine.proxy.kill('SIGCONT');
		deployment.record(`${machine.name} wakes`);
	}

	const attempts = await operations;
	await wait(500);
	for (const client of clients) {
		client.close();
	}

	const committed = new Set(
		primary.log.flatMap(({queries}) => queries.map(({id}) => id)),
	);
	return attempts.flat().flatMap((attempt) => checkAttempt(committed, attempt));
}

await runCase(path.dirname(new URL(import.meta.url).pathname), {}, run);
