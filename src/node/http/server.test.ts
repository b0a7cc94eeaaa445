import process from 'node:process';
import tap, {type Test} from 'tap';
import type * as ids from '../../common/ids.js';
import {Metrics} from '../../common/metrics/metrics.js';
import type * as commonTypes from '../../common/types.js';
import {HttpServer} from './server.js';
import type * as types from './types.js';

const member = 'sanna' as ids.MemberId;
const template: commonTypes.Template = {
	member,
	version: 3,
	text: '[member]\n',
	changeId: 'c3' as ids.ChangeId,
};

async function startServer(
	t: Test,
	overrides: Partial<types.DaemonEndpoints> = {},
	options: types.HttpServerOptions = {},
): Promise<string> {
	const {url} = await startDisposableServer(t, overrides, options);
	return url;
}

async function startDisposableServer(
	t: Test,
	overrides: Partial<types.DaemonEndpoints> = {},
	options: types.HttpServerOptions = {},
): Promise<{url: string; server: HttpServer}> {
	const endpoints: types.DaemonEndpoints = {
		readHealth: () => ({ready: true, reason: 'ready'}),
		metrics: new Metrics(),
		readStatus: () => ({peer: 'p1'}),
		startDrain() {
			// Not observed by most tests.
		},
		listTemplates: async () => [template],
		fetchTemplate: async (name) => (name === member ? template : undefined),
		fetchHistory: async () => [template],
		requestTemplateChange: async () => ({type: 'accepted', version: 4}),
		...overrides,
	};
	const logger = {
		write() {
			// Not observed.
		},
	};
	const server = new HttpServer(endpoints, logger, options);
	const port = await server.listen('127.0.0.1', 0);
	t.teardown(async () => server.dispose());
	return {url: `http://127.0.0.1:${port}`, server};
}

async function fetchJson(
	url: string,
	options: {readonly method?: string; readonly body?: unknown} = {},
): Promise<{status: number; body: unknown}> {
	const response = await fetch(url, {
		method: options.method,
		body:
			options.body === undefined || typeof options.body === 'string'
				? options.body
				: JSON.stringify(options.body),
	});
	return {status: response.status, body: await response.json()};
}

const announcement = {
	group: 'ledger',
	server: 's1',
	address: '127.0.0.1:5432',
	dataCentre: 'khomas-a',
	role: 'primary',
	term: 1,
	position: 10,
	slots: 3,
	connectionLimit: 25,
	departing: false,
	startedAt: 1,
};
const neverSettled = new Promise<never>(() => {
	// Never settles.
});
const change = {text: '[member]\n', expectedVersion: 3, changeId: 'c4'};

// Guards against endpoints that are missing or whose responses differ from docs/design.md.
tap.test('each endpoint responds as documented', async (t) => {
	const url = await startServer(t);
	t.same(await fetchJson(`${url}/health`), {
		status: 200,
		body: {ready: true, reason: 'ready'},
	});
	t.match(await fetchJson(`${url}/status`), {body: {peer: 'p1'}});
	t.match(await fetchJson(`${url}/metrics.json`), {body: {series: []}});
	const text = await fetch(`${url}/metrics`);
	t.match(text.headers.get('content-type'), 'text/plain');
	t.match(await fetchJson(`${url}/templates`), {body: {templates: [template]}});
	t.match(await fetchJson(`${url}/templates/sanna`), {body: {version: 3}});
	t.match(await fetchJson(`${url}/templates/sanna/history`), {
		body: {history: [{version: 3}]},
	});
	t.match(await fetchJson(`${url}/templates/none`), {
		status: 404,
		body: {error: {code: 'noTemplate'}},
	});
});

// Guards against a load balancer that keeps sending work to a draining proxy because the proxy still
// reports ready.
tap.test('health fails after a drain request', async (t) => {
	let drains = 0;
	const url = await startServer(t, {
		readHealth: () => ({ready: drains === 0, reason: 'draining'}),
		startDrain() {
			drains++;
		},
	});
	const answer = await fetchJson(`${url}/drain`, {method: 'POST'});
	t.equal(answer.status, 202);
	t.match(await fetchJson(`${url}/health`), {status: 503});
});

// Guards against a drain request whose response is lost because the daemon closes at once.
tap.test('dispose lets the response in progress finish', async (t) => {
	let disposed: Promise<void> | undefined;
	const {url, server} = await startDisposableServer(t, {
		startDrain() {
			disposed = server.dispose();
		},
	});
	const answer = await fetchJson(`${url}/drain`, {method: 'POST'});
	t.equal(answer.status, 202);
	await disposed;
	await t.rejects(fetchJson(`${url}/health`));
});

function countTimeouts(): number {
	return process
		.getActiveResourcesInfo()
		.filter((resource) => resource === 'Timeout').length;
}

// Guards against a process that waits for a pending change after it has drained.
tap.test('a pending change does not keep a stopped process', async (t) => {
	const before = countTimeouts();
	let begin: (() => void) | undefined;
	const begun = new Promise<void>((resolve) => {
		begin = resolve;
	});
	const {url, server} = await startDisposableServer(t, {
		async requestTemplateChange() {
			begin?.();
			return neverSettled;
		},
	});
	const path = `${url}/templates/${member}`;
	const answer = t.rejects(fetchJson(path, {method: 'PUT', body: change}));
	await begun;
	await server.dispose();
	await answer;
	t.equal(countTimeouts(), before);
});

// Guards against invalid announcements that reach the directory, and against a control daemon that
// accepts announcements.
tap.test('proxies accept valid announcements only', async (t) => {
	const received: commonTypes.Announcement[] = [];
	const url = await startServer(t, {
		handleAnnouncement(value) {
			received.push(value);
		},
	});
	const post = async (body: unknown) =>
		fetchJson(`${url}/announce`, {method: 'POST', body});
	t.match(await post(announcement), {status: 200});
	t.same(received, [announcement]);
	for (const invalidFields of [
		{address: 'example.org:5432'},
		{term: -1},
		{slots: 0},
		{role: 'leader'},
		{departing: 'no'},
	]) {
		t.match(await post({...announcement, ...invalidFields}), {
			status: 400,
			body: {error: {code: 'invalidBody'}},
		});
	}

	t.match(await post('{'), {body: {error: {code: 'invalidJson'}}});
	t.match(await post(JSON.stringify({text: 'x'.repeat(300_000)})), {
		status: 413,
	});
	t.equal(received.length, 1);
	const control = await startServer(t);
	const refused = await fetchJson(`${control}/announce`, {
		method: 'POST',
		body: announcement,
	});
	t.equal(refused.status, 404);
});

// Guards against a refused change, or one whose outcome is unknown, that looks accepted.
tap.test('each outcome of a template change has its own status', async (t) => {
	const results: commonTypes.TemplateChangeResult[] = [
		{type: 'accepted', version: 4},
		{type: 'versionConflict', currentVersion: 9},
		{type: 'invalid', problems: ['[member] x: unknown']},
		{type: 'unavailable', mayHaveRun: false},
		{type: 'unavailable', mayHaveRun: true},
	];
	const received: commonTypes.TemplateChange[] = [];
	const url = await startServer(t, {
		async requestTemplateChange(value) {
			received.push(value);
			return results[received.length - 1];
		},
	});
	const statuses: number[] = [];
	for (const _ of results) {
		const answer = await fetchJson(`${url}/templates/sanna`, {
			method: 'PUT',
			body: change,
		});
		statuses.push(answer.status);
	}

	t.same(statuses, [200, 409, 422, 503, 504]);
	t.same(received[0], {member, ...change});
	const rejected = await fetchJson(`${url}/templates/sanna`, {
		method: 'PUT',
		body: {...change, expectedVersion: -1},
	});
	t.equal(rejected.status, 400);
});

// Guards against requests that hang when the daemon does not respond, and against errors that are
// not reported to the client.
tap.test('timeouts and errors end with an error response', async (t) => {
	const url = await startServer(
		t,
		{
			requestTemplateChange: async () => neverSettled,
			fetchHistory: async () => neverSettled,
			readStatus() {
				throw new Error('broken');
			},
		},
		{operationTimeoutMs: 20},
	);
	t.match(
		await fetchJson(`${url}/templates/sanna`, {method: 'PUT', body: change}),
		{status: 504, body: {error: {code: 'outcomeUnknown'}}},
	);
	t.match(await fetchJson(`${url}/templates/sanna/history`), {
		status: 504,
		body: {error: {code: 'timeout'}},
	});
	t.match(await fetchJson(`${url}/status`), {
		status: 500,
		body: {error: {code: 'internal'}},
	});
	t.match(await fetchJson(`${url}/nothing`), {status: 404});
	t.match(await fetchJson(`${url}/templates/%ff`), {status: 400});
	t.match(await fetchJson(`${url}/drain`), {status: 405});
});
