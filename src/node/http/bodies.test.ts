import * as net from 'node:net';
import * as fc from 'fast-check';
import tap from 'tap';
import {Metrics} from '../../common/metrics/metrics.js';
import {HttpServer} from './server.js';

const options = {seed: 20_261_206, numRuns: 150};
const refusals = new Set([200, 202, 400, 404, 405, 413]);

async function startServer(): Promise<{server: HttpServer; port: number}> {
	const server = new HttpServer(
		{
			readHealth: () => ({ready: true, reason: 'ready'}),
			metrics: new Metrics(),
			readStatus: () => ({}),
			startDrain: () => undefined,
			listTemplates: async () => [],
			fetchTemplate: async () => undefined,
			fetchHistory: async () => [],
			requestTemplateChange: async () => ({type: 'accepted', version: 1}),
			handleAnnouncement: () => undefined,
		},
		{write: () => undefined},
	);
	return {server, port: await server.listen('127.0.0.1', 0)};
}

const announcement = fc.record(
	{
		group: fc.oneof(fc.string({maxLength: 3}), fc.jsonValue({maxDepth: 1})),
		address: fc.oneof(
			fc.constantFrom('127.0.0.1:5432', ':1', '::1:9', 'a:b', '1.1.1.1:1e3'),
			fc.jsonValue({maxDepth: 1}),
		),
		term: fc.oneof(fc.double(), fc.jsonValue({maxDepth: 1})),
		startedAt: fc.oneof(fc.integer(), fc.jsonValue({maxDepth: 1})),
	},
	{requiredKeys: []},
);
const change = fc.record(
	{
		text: fc.jsonValue({maxDepth: 1}),
		expectedVersion: fc.oneof(fc.constantFrom(0, -1, 1e300), fc.jsonValue()),
		changeId: fc.oneof(fc.string(), fc.jsonValue({maxDepth: 1})),
	},
	{requiredKeys: []},
);
const body = fc.oneof(
	fc.string(),
	fc
		.oneof(announcement, change, fc.jsonValue())
		.map((value) => JSON.stringify(value)),
	fc
		.tuple(
			fc.oneof(announcement, change).map((value) => JSON.stringify(value)),
			fc.nat(40),
		)
		.map(([text, length]) => text.slice(0, length)),
);

// Guards against a body that is answered with an internal error instead of a refusal.
tap.test('any body is accepted or refused', async (t) => {
	const {server, port} = await startServer();
	t.teardown(async () => server.dispose());
	const path = fc.oneof(
		fc.constantFrom('/announce', '/templates/a', '/templates/%ff', '/drain'),
		fc.string({maxLength: 6}).map((text) => `/templates/${encodeURI(text)}`),
	);
	await fc.assert(
		fc.asyncProperty(
			fc.constantFrom('POST', 'PUT', 'DELETE'),
			path,
			body,
			async (method, target, text) => {
				const response = await fetch(`http://127.0.0.1:${port}${target}`, {
					method,
					body: text,
				});
				await response.text();
				return refusals.has(response.status);
			},
		),
		options,
	);
	t.pass('for all bodies');
});

/** Sends bytes to the server and closes the connection; resolves when it is closed. */
async function sendBytes(port: number, bytes: Uint8Array): Promise<void> {
	const socket = net.connect(port, '127.0.0.1');
	socket.on('error', () => undefined).resume();
	socket.end(bytes);
	const timer = setTimeout(() => {
		socket.destroy();
	}, 20);
	await new Promise((resolve) => {
		socket.once('close', resolve);
	});
	clearTimeout(timer);
}

// Guards against requests that are cut or damaged and end the process.
tap.test('damaged requests leave the server alive', async (t) => {
	const {server, port} = await startServer();
	t.teardown(async () => server.dispose());
	const request = fc
		.constantFrom('5', '-1', 'x', '99999999999', '1, 2', '')
		.map(
			(length) =>
				`PUT /templates/a HTTP/1.1\r\nHost: a\r\nContent-Length: ${length}\r\n\r\n{"text":1}`,
		);
	await fc.assert(
		fc.asyncProperty(
			request,
			fc.nat(90),
			fc.uint8Array({maxLength: 20}),
			async (text, length, rest) => {
				const head = new TextEncoder().encode(text.slice(0, length));
				await sendBytes(port, Uint8Array.from([...head, ...rest]));
			},
		),
		{...options, numRuns: 40},
	);
	const response = await fetch(`http://127.0.0.1:${port}/health`);
	t.equal(response.status, 200);
});
