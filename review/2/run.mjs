/**
 * A proxy is killed during its first requests and starts again while owners still run the requests that
 * it has forwarded. The clients connect again and read other items.
 */
import * as path from 'node:path';
import {Client, runCase, wait, waitFor} from '../lib/deployment.mjs';

const sessions = 3;
/** How late the answers to the reads are; `TimeoutMs` of the route is 800. */
const lateMs = 600;
/** The clients connect again this long after the restart. */
const reconnectMs = 300;
const database = 'lepu270';

async function openSession(deployment, machine, name) {
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
	return client;
}

async function run(deployment, hasTrouble) {
	const {service, machines} = deployment;
	await deployment.start([
		{Host: database, RouteKind: 'primary', TimeoutMs: 800, Priority: 0},
	]);
	for (const other of machines.slice(0, 3)) {
		await deployment.waitForService(other, database);
	}

	// Each item holds its own name.
	const writer = new Client(deployment, 'writer', machines[0]);
	await writer.open(database);
	for (let index = 1; index <= sessions; index++) {
		for (const item of [`a${index}`, `b${index}`]) {
			await writer.query(`WRITE ${item} data-of-${item}`);
		}
	}

	writer.close();
	await wait(4000);
	const machine = deployment.findMachineWithoutServers(service.servers);
	const client = async (name, machineUsed) =>
		openSession(deployment, machineUsed, name);
	const first = await Promise.all(
		[1, 2, 3].map(async (number) => client(`c${number}`, machine)),
	);
	service.chooseLateness = (server, id, text) =>
		/READ [ab]\d/v.test(text) ? lateMs : 0;
	const reads = first.map(async (each, index) =>
		each.query(`READ a${index + 1}`),
	);
	await wait(50);
	let clients = first;
	if (hasTrouble) {
		machine.proxy.kill('SIGKILL');
		await wait(20);
		deployment.startProcess(machine, 'proxy', false);
		await wait(reconnectMs);
		clients = await Promise.all(
			first.map(async (each) => client(`${each.name}-again`, machine)),
		);
	} else {
		await Promise.all(reads);
	}

	const answers = await Promise.all(
		clients.map(async (each, index) => each.query(`READ b${index + 1}`)),
	);
	await Promise.all(reads);
	const problems = [];
	for (const [index, answer] of answers.entries()) {
		const wanted = `data-of-b${index + 1}`;
		const isForeign =
			answer.signature !== undefined &&
			(answer.rows[0] !== wanted || !answer.signature.endsWith(answer.id));
		if (isForeign) {
			problems.push(
				`MIXED: ${clients[index].name} got the rows ${answer.rows.join(',')} with the signature ${answer.signature} for ${answer.id} ${answer.text}`,
			);
		}
	}

	for (const each of [...first, ...clients]) {
		each.close();
	}

	return problems;
}

await runCase(path.dirname(new URL(import.meta.url).pathname), {}, run);
