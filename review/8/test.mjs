/**
 * A service with one synchronous replica: one replica receives nothing for some seconds while the primary
 * leaves. Fails when the server that is promoted lacks a commit that was acknowledged to a client.
 */
import process from 'node:process';
import * as database from '../lib-2/database.mjs';
import * as harness from '../lib-2/harness.mjs';

const {sleep} = harness;
const hasTrouble = process.env.TROUBLE !== '0';
/** The largest dose of `replica_lag` in the site file is 6.5 s. */
const deafMs = 6000;
/** The primary leaves this long after its replica stopped receiving. */
const leaveAfterMs = 2500;
/** They keep the slots of two of three servers in use. */
const readersPerService = 20;
const services = [1, 2, 3, 4, 5, 6].map((number) => `ledger-${number}`);
const zones = ['zone-a', 'zone-b', 'zone-c'];
const world = new harness.World(import.meta.dirname, {
	zones,
	machines: zones.map((zone, index) => ({
		name: `front-${index + 1}`,
		zone,
		hasDisk: true,
	})),
});
const {recorder} = world;
let exitCode = 2;
let isRunning = true;
let nextId = 1;
/** The service that is read at present. */
let readService;
let servedReads = 0;
let lost = 0;
/** Acknowledged writes: `{service, id, position}`. */
const acknowledged = [];

async function runWriter(service, machine) {
	let client;
	while (isRunning) {
		client ??= await harness.Client.connect(machine.host, `primary-${service}`);
		const id = `w${nextId++}`;
		const answer =
			client &&
			(await client.query(id, `WRITE item-${nextId % 20} data-${id}`));
		if (answer?.signature === undefined) {
			recorder.write(
				`client: ${id} of ${service}: ${answer?.error ?? 'no answer'}`,
			);
		} else {
			acknowledged.push({service, id, position: answer.position});
			recorder.write(
				`client: ${id} of ${service} acknowledged at ${answer.position}`,
			);
		}

		if (!answer || answer.closed) {
			client = undefined;
		}

		await sleep(40);
	}
}

async function runReader(service, machine) {
	let client;
	while (isRunning && readService === service) {
		client ??= await harness.Client.connect(machine.host, `bounded-${service}`);
		const id = `r${nextId++}`;
		const answer =
			client && (await client.query(id, `READ item-${nextId % 20}`));
		servedReads += answer?.signature === undefined ? 0 : 1;
		if (!answer || answer.closed) {
			client = undefined;
			await sleep(100);
		}
	}
}

function startReaders(service, machine) {
	return Array.from({length: readersPerService}, async () =>
		runReader(service, machine),
	);
}

/** Judges the log of a server at the time of its promotion. */
function judgePromotion(group, server) {
	const held = new Set(server.log.map(({id}) => id));
	const missing = acknowledged.filter(
		({service, id}) => service === group.service && !held.has(id),
	);
	recorder.write(
		`slots in use: ${group.servers.map((each) => `${each.id} ${each.usedSlots} + ${each.waiting.length}`).join(', ')}`,
	);
	recorder.say(
		`${server.id} of ${group.service} is promoted at ${server.position}; it lacks ${missing.length} acknowledged commits`,
	);
	for (const {id, position} of missing) {
		recorder.write(
			`LOST: ${id}, acknowledged at ${position}, is not in the log of ${server.id}`,
		);
	}

	lost += missing.length;
}

try {
	const platform = new database.Platform(world, {
		handlePromotion: judgePromotion,
	});
	await platform.start();
	for (const machine of world.machines) {
		machine.start('control', {bootstrap: true});
		machine.start('proxy', {bootstrap: true});
	}

	for (const [groupIndex, service] of services.entries()) {
		const group = new database.Group(world, service, {
			lagMs: 8,
			synchronousReplicas: 1,
			// As between the regions of the small site file.
			computeLatencyMs: (left, right) => (left === right ? 0 : 20),
			// As `work_ms` of the small site files: 40 ms in the mean, 300 ms at most.
			computeWorkMs: () => Math.min(300, 15 - 25 * Math.log(1 - Math.random())),
		});
		for (const index of zones.keys()) {
			const server = group.addServer({
				id: `i-${groupIndex + 1}${index + 1}`,
				zone: zones[(index + groupIndex) % 3],
				host: `${world.prefix}.${101 + 10 * groupIndex + index}`,
				port: 18_080,
				role: index === 0 ? 'primary' : 'replica',
			});
			await server.start();
		}
	}

	const isConfigured = await harness.putConfiguration(
		world,
		harness.buildConfiguration(
			1,
			services.flatMap((service) => [
				{host: `primary-${service}`, kind: 'primary', service},
				{
					host: `bounded-${service}`,
					kind: 'bounded',
					service,
					staleness: 1500,
					timeoutMs: 2000,
				},
			]),
			services,
			1,
		),
		20_000,
	);
	await sleep(3000);
	const work = services.map((service, index) =>
		runWriter(service, world.machines[index % 3]),
	);
	for (const [index, group] of world.groups.entries()) {
		const [primary, near, replica] = group.servers;
		const machine = world.machines.find(({zone}) => zone === near.zone);
		readService = group.service;
		work.push(...startReaders(readService, machine));

		await sleep(index === 0 ? 3000 : 1500);
		if (hasTrouble) {
			replica.isDeaf = true;
			recorder.write(
				`${replica.id} of ${group.service} receives nothing from now on, it is at ${replica.position}`,
			);
			setTimeout(() => {
				replica.isDeaf = false;
				recorder.write(`${replica.id} of ${group.service} receives again`);
			}, deafMs);
			await sleep(leaveAfterMs);
			primary.state = 'draining';
			recorder.write(
				`primary ${primary.id} of ${group.service} reports that it is draining`,
			);
			primary.sendHeartbeats(primary.born);
		}

		await sleep(deafMs - leaveAfterMs + 1000);
	}

	isRunning = false;
	await Promise.race([Promise.all(work), sleep(3000)]);
	recorder.say(
		`${acknowledged.length} commits acknowledged, ${servedReads} reads served, ${platform.calls.length} promotion calls, ${lost} acknowledged commits missing at promotions`,
	);
	if (
		isConfigured &&
		acknowledged.length > 100 &&
		(!hasTrouble || platform.calls.length > 0)
	) {
		exitCode = lost > 0 ? 1 : 0;
	}
} finally {
	await world.dispose();
}

process.exit(exitCode);
