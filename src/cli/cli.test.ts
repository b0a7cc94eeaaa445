import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as http from 'node:http';
import type * as net from 'node:net';
import * as path from 'node:path';
import process from 'node:process';
import * as readline from 'node:readline';
import * as stream from 'node:stream';
import pg from 'pg';
import tap, {type Test} from 'tap';
import * as run from './run.js';

const templateFile = 'samples/kalahari/templates/bloom-member.ini';

async function runCli(
	args: readonly string[],
	input = '',
): Promise<{code: number; output: string; errors: string}> {
	const result = {code: 0, output: '', errors: ''};
	const makeSink = (name: 'output' | 'errors') =>
		new stream.Writable({
			write(chunk, _encoding, done) {
				result[name] += String(chunk);
				done();
			},
		});
	result.code = await run.runCommandLine(args, {
		stdin: stream.Readable.from([input]),
		stdout: makeSink('output'),
		stderr: makeSink('errors'),
	});
	return result;
}

/** Starts a peer that responds with the result of `handle`; undefined closes the connection. */
async function startPeer(
	t: Test,
	handle: (
		request: {method: string; url: string; body: Record<string, unknown>},
		count: number,
	) => {status: number; body: unknown} | undefined,
): Promise<string> {
	let count = 0;
	const server = http.createServer((request, response) => {
		const chunks: Uint8Array[] = [];
		request.on('data', (chunk: Uint8Array) => {
			chunks.push(chunk);
		});
		request.on('end', () => {
			const text = new TextDecoder().decode(
				Uint8Array.from(chunks.flatMap((chunk) => [...chunk])),
			);
			const answer = handle(
				{
					method: request.method!,
					url: request.url!,
					body: JSON.parse(text || '{}') as Record<string, unknown>,
				},
				++count,
			);
			if (answer) {
				response.writeHead(answer.status);
				response.end(JSON.stringify(answer.body));
			} else {
				request.socket.destroy();
			}
		});
	});
	await new Promise<void>((resolve) => {
		server.listen(0, '127.0.0.1', resolve);
	});
	t.teardown(() => {
		server.close();
		server.closeAllConnections();
	});
	return `127.0.0.1:${(server.address() as net.AddressInfo).port}`;
}

// Guards against usage errors that have the exit code of a failure or span several lines.
tap.test('a usage error is one line with exit code 2', async (t) => {
	const set = ['ctl', 'template', 'set', 'sanna'];
	const cases: ReadonlyArray<readonly [readonly string[], RegExp]> = [
		[['bogus'], /Command not found/v],
		[['ctl', 'status', '--colour'], /--colour/v],
		[['ctl', 'status', '--peer', 'example.org:1'], /--peer.*ip:port/v],
		[['ctl', 'status', '--timeout-ms', '0'], /--timeout-ms: found 0/v],
		[[...set, templateFile], /--expected-version is required/v],
		[[...set, templateFile, '--expected-version', '-'], /--expected-version/v],
		[[...set, 'no.ini', '--expected-version', '1'], /no\.ini/v],
		[
			[...set, 'samples/kalahari/proxy-1.ini', '--expected-version', '1'],
			/unknown section/v,
		],
		[['proxy', '--settings', 'samples/kalahari/control-1.ini'], /role/v],
		[['proxy', '--settings', templateFile], /unknown section/v],
		[['stand-in', '--group', 'g', '--server', 's', '--slots', '0'], /--slots/v],
	];
	for (const [args, pattern] of cases) {
		const result = await runCli(args);
		t.equal(result.code, 2, args.join(' '));
		t.match(result.errors, pattern);
		t.match(result.errors, /^(?:hemlockarch: .+\n)+$/v);
		t.equal(result.output, '');
	}
});

// Guards against a check that misses problems, or whose report scripts cannot parse.
tap.test('check-config reports the problems of each file', async (t) => {
	const folder = t.testdir({'bad.ini': '[limits]\nspeed = 3\n'});
	const bad = path.join(folder, 'bad.ini');
	const good = 'samples/birbhum/proxy-1.ini';
	const fine = await runCli(['check-config', good]);
	t.equal(fine.code, 0);
	const result = await runCli(['check-config', good, bad, '--json']);
	t.equal(result.code, 2);
	const report = JSON.parse(result.output) as {
		ok: boolean;
		files: Array<{problems: Array<{key: string}>}>;
	};
	t.equal(report.ok, false);
	t.same(report.files[0].problems, []);
	t.ok(report.files[1].problems.some(({key}) => key === 'speed'));
	const template = await runCli(['check-config', '--template', templateFile]);
	t.equal(template.code, 0);
});

// Guards against a second change after the response to the first request is lost.
tap.test('template set retries with the same change id', async (t) => {
	const ids: unknown[] = [];
	const peer = await startPeer(t, ({method, url, body}, count) => {
		t.equal(`${method} ${url}`, 'PUT /templates/sanna');
		ids.push(body.changeId);
		return count === 1 ? undefined : {status: 200, body: {version: 4}};
	});
	const result = await runCli(
		[
			'ctl',
			'template',
			'set',
			'sanna',
			'-',
			'--json',
			'--expected-version',
			'3',
			'--peer',
			peer,
		],
		fs.readFileSync(templateFile, 'utf8'),
	);
	t.equal(result.code, 0);
	t.equal(ids.length, 2);
	t.equal(ids[0], ids[1]);
	t.match(JSON.parse(result.output), {
		type: 'accepted',
		version: 4,
		changeId: ids[0],
	});
});

// Guards against an unknown outcome that is reported as a refusal, and a refusal reported as unknown.
tap.test('template set reports each outcome by its exit code', async (t) => {
	const set = async (
		tries: number,
		handle: Parameters<typeof startPeer>[1],
	) => {
		const peer = await startPeer(t, handle);
		return runCli([
			'ctl',
			'template',
			'set',
			'sanna',
			templateFile,
			'--expected-version',
			'3',
			'--change-id',
			'c1',
			'--peer',
			peer,
			'--tries',
			String(tries),
		]);
	};

	const error = (code: string) => ({error: {code, message: 'no'}});
	const unknown = await set(1, () => undefined);
	t.equal(unknown.code, 3);
	t.match(unknown.errors, '--change-id c1');
	const timeout = await set(1, () => ({
		status: 504,
		body: error('outcomeUnknown'),
	}));
	t.equal(timeout.code, 3);
	const conflict = await set(5, (_, count) => {
		t.equal(count, 1);
		return {status: 409, body: error('versionConflict')};
	});
	t.equal(conflict.code, 1);
	const unavailable = await set(1, () => ({
		status: 503,
		body: error('unavailable'),
	}));
	t.equal(unavailable.code, 1);
	const mixed = await set(2, (_, count) =>
		count === 1 ? undefined : {status: 503, body: error('unavailable')},
	);
	t.equal(mixed.code, 3);
	const wrongService = await set(2, (_, count) =>
		count === 1 ? undefined : {status: 404, body: {}},
	);
	t.equal(wrongService.code, 3);
	const lateConflict = await set(2, (_, count) =>
		count === 1 ? undefined : {status: 409, body: error('versionConflict')},
	);
	t.equal(lateConflict.code, 1);
});

// Guards against reads that fail although another peer responds.
tap.test('reads use the first peer that responds', async (t) => {
	const template = {member: 'sanna', version: 2, text: '[member]\n'};
	const peer = await startPeer(t, ({url}) => {
		const bodies: Record<string, unknown> = {
			'/templates/sanna': template,
			'/templates/sanna/history': {
				history: [{version: 1, changeId: 'c1'}],
			},
			'/status': {peer: 'p1'},
			'/metrics.json': {series: []},
		};
		return url in bodies
			? {status: 200, body: bodies[url]}
			: {status: 404, body: {error: {code: 'noTemplate', message: 'none'}}};
	});
	const peers = ['--peer', '127.0.0.1:1', '--peer', peer];
	const get = await runCli(['ctl', 'template', 'get', 'sanna', ...peers]);
	t.same(get, {code: 0, output: '[member]\n', errors: 'version 2\n'});
	const history = await runCli([
		'ctl',
		'template',
		'history',
		'sanna',
		...peers,
	]);
	t.equal(history.output, '1\tc1\n');
	const status = await runCli(['ctl', 'status', '--json', ...peers]);
	t.same(JSON.parse(status.output), {peer: 'p1'});
	const metrics = await runCli(['ctl', 'metrics', '--json', ...peers]);
	t.same(JSON.parse(metrics.output), {series: []});
	const missing = await runCli(['ctl', 'template', 'get', 'x', ...peers]);
	t.equal(missing.code, 1);
	t.match(missing.errors, 'noTemplate');
});

// Guards against a drain that reaches a peer that was not named, or several peers at once.
tap.test('drain is sent to exactly one peer', async (t) => {
	const requests: string[] = [];
	const peer = await startPeer(t, ({method, url}) => {
		requests.push(`${method} ${url}`);
		return {status: 202, body: {draining: true}};
	});
	const result = await runCli(['ctl', 'drain', '--peer', peer]);
	t.equal(result.code, 0);
	t.same(requests, ['POST /drain']);
	const two = await runCli(['ctl', 'drain', '--peer', peer, '--peer', peer]);
	t.equal(two.code, 2);
	t.equal(requests.length, 1);
});

// Guards against a stand-in whose output scripts cannot parse, or that does not end on SIGTERM.
tap.test('stand-in serves SQL and ends on SIGTERM', async (t) => {
	const child = childProcess.spawn(
		process.execPath,
		['dist/cli/main.js', 'stand-in', '--group', 'g', '--server', 's', '--json'],
		{stdio: ['ignore', 'pipe', 'inherit']},
	);
	t.teardown(() => child.kill('SIGKILL'));
	const line = await new Promise<string>((resolve) => {
		readline.createInterface({input: child.stdout}).once('line', resolve);
	});
	const {port} = JSON.parse(line) as {port: number};
	const client = new pg.Client({host: '127.0.0.1', port, user: 'a'});
	await client.connect();
	const status = await client.query('SELECT * FROM hemlockarch.status()');
	t.match(status.rows[0], {server: 's', role: 'primary'});
	await client.end();
	const ended = new Promise((resolve) => {
		child.on('exit', resolve);
	});
	child.kill('SIGTERM');
	t.equal(await ended, 0);
});

// Guards against a trace that cannot read a collected log from standard input, or that reports success
// for an unknown id.
tap.test('trace reads standard input', async (t) => {
	const line = JSON.stringify({
		timestamp: '2026-12-04T10:00:00.000Z',
		part: 'request',
		message: 'Refused',
		id: 'q1',
	});
	const found = await runCli(['trace', 'q1', '-'], `vm-1 ${line}\n`);
	t.equal(found.code, 0);
	t.match(found.output, 'vm-1 request: Refused');
	const missing = await runCli(['trace', 'q2', '-'], `vm-1 ${line}\n`);
	t.equal(missing.code, 1);
	t.match(missing.errors, 'none of 1 log lines names the request q2');
});

// Guards against a report that ends at the first line that a collector has damaged, or hides it.
tap.test('a report names and counts lines that are no log lines', async (t) => {
	const line = JSON.stringify({
		timestamp: '2026-12-04T10:00:00.000Z',
		part: 'request',
		message: 'Refused',
		kind: 'read',
	});
	const input = `vm-1 ${line}\n\nvm-1 {"part\nvm-1 ${line}\n`;
	const result = await runCli(['trace', 'report', '-', '--json'], input);
	t.equal(result.code, 0);
	t.match(result.errors, 'hemlockarch: -:3: invalid JSON\n');
	t.match(JSON.parse(result.output), {lines: 2, invalidLines: 1});
	const empty = await runCli(['trace', 'report', '-'], 'no log\n');
	t.equal(empty.code, 1);
	const missing = await runCli(['trace', 'report', 'no.log']);
	t.equal(missing.code, 2);
	t.match(missing.errors, /cannot read no\.log/v);
	const badTime = await runCli(['trace', 'report', '-', '--from', 'noon']);
	t.equal(badTime.code, 2);
});

// Guards against limits that together exceed the memory of the process without anybody noticing.
tap.test('check-config warns of limits above the memory', async (t) => {
	const text = fs.readFileSync('samples/birbhum/proxy-1.ini', 'utf8');
	const set = (megabytes: number) =>
		text.replace('[limits]', `[limits]\nmemory_mb = ${megabytes}`);
	const folder = t.testdir({'small.ini': set(128), 'large.ini': set(1024)});
	const small = await runCli(['check-config', path.join(folder, 'small.ini')]);
	t.equal(small.code, 0);
	t.match(small.output, /\[limits\] warning: 10000 connections .* 128\n/v);
	const large = await runCli(['check-config', path.join(folder, 'large.ini')]);
	t.notMatch(large.output, /warning/v);
});
