import * as fs from 'node:fs';
import * as path from 'node:path';
import * as fc from 'fast-check';
import tap from 'tap';
import * as template from '../../common/template/parse.js';
import * as settings from './settings.js';

const proxyText = `
[process]
id = p1
role = proxy
vm = vm-1
data_centre = khomas-a
region = khomas

[listen]
address = 127.0.0.1
callers_port = 6432
peers_port = 7432
http_port = 8432

[control]
peers = c1@127.0.0.1:7433, c2@127.0.0.1:7434, c3@127.0.0.1:7435
`;

// Guards against defaults that are not applied and values in the wrong unit.
tap.test('a proxy file gets defaults and converted units', async (t) => {
	const result = settings.parseSettings(proxyText, 'p1.ini');
	t.match(result._unsafeUnwrap(), {
		process: {id: 'p1', role: 'proxy', dataFolder: undefined},
		listen: {callersPort: 6432},
		control: {peers: [{id: 'c1', address: '127.0.0.1:7433'}, {}, {}]},
		limits: {drainDeadlineMs: 30_000, maxConnections: 10_000},
		log: {level: 'info', format: 'text'},
	});
});

// Guards against a validation that stops at the first problem or misses one.
tap.test('all problems are listed', async (t) => {
	const text = `
stray = 1
[process]
id = P 1
id = p1
role = owner
vm = vm-1
region = khomas
colour = red
[listen]
address = example.org
callers_port = 70000
peers_port = 7432
http_port = 7432
= 5
[control]
peers = c1@127.0.0.1:7433, c1@127.0.0.1:7434
[limits]
drain_deadline_s = 20
[extra]
`;
	const problems = settings.parseSettings(text, 'x.ini')._unsafeUnwrapErr();
	t.same(
		problems.map(({section, key}) => `${section}.${key}`),
		[
			'process.id',
			'listen.',
			'.stray',
			'extra.',
			'process.colour',
			'process.role',
			'process.data_centre',
			'listen.address',
			'listen.callers_port',
			'control.peers',
			'limits.drain_deadline_s',
			'listen.http_port',
		],
	);
	t.equal(
		settings.formatProblem(problems.at(-2)!),
		'x.ini [limits] drain_deadline_s: found 20; allowed is a whole number from 21 to 600',
	);
	const missing = settings.loadSettings('no/such/file.ini');
	t.match(missing._unsafeUnwrapErr()[0].found, /ENOENT/v);
});

// Guards against a control peer without a data folder, or with an address that its peers do not know.
tap.test('keys that depend on the role are checked', async (t) => {
	const text = proxyText.replace('role = proxy', 'role = control');
	const problems = settings.parseSettings(text, 'c.ini')._unsafeUnwrapErr();
	t.same(
		problems.map(({key}) => key),
		['data_folder', 'callers_port', 'peers'],
	);
});

// Guards against sample files that the program rejects or that contradict each other.
tap.test('samples are valid and consistent', async (t) => {
	for (const customer of ['kalahari', 'birbhum']) {
		const folder = path.join('samples', customer);
		const files = fs
			.readdirSync(folder)
			.filter((name) => name.endsWith('.ini'));
		const all = files.map((name) => {
			const result = settings.loadSettings(path.join(folder, name));
			t.ok(result.isOk(), name);
			return result._unsafeUnwrap();
		});
		const proxies = all.filter(({process}) => process.role === 'proxy');
		const control = all.filter(({process}) => process.role === 'control');
		t.equal(new Set(proxies.map(({process}) => process.vm)).size, 7);
		t.equal(control.length, 3);
		t.equal(new Set(all.map(({process}) => process.id)).size, 10);
		t.equal(new Set(all.map(({process}) => process.dataCentre)).size, 3);
		t.equal(
			new Set(all.map((item) => JSON.stringify(item.control.peers))).size,
			1,
		);
		const ports = all.flatMap(({listen}) =>
			[listen.callersPort, listen.peersPort, listen.httpPort]
				.filter((port) => port !== undefined)
				.map((port) => `${listen.address}:${port}`),
		);
		t.equal(new Set(ports).size, ports.length);
		const templates = fs.readdirSync(path.join(folder, 'templates'));
		t.ok(templates.length > 0);
		for (const name of templates) {
			const text = fs.readFileSync(
				path.join(folder, 'templates', name),
				'utf8',
			);
			t.ok(template.parseTemplate(text).isOk(), name);
		}
	}
});

// Guards against a settings file that ends the start with an exception instead of a list of problems.
tap.test('any text is parsed or refused', async (t) => {
	const line = fc.oneof(
		fc.constantFrom(
			'[process]',
			'[listen]',
			'[control]',
			'[log]',
			'[a.b]',
			'[',
			'',
			'log = null',
			'process',
			'id[] = 1',
			'__proto__ = 1',
			'role = true',
			'peers = a@1',
			'peers = @,',
			'peers = a@::1:1',
			'memory_mb = 1e9',
			'address = 1.1',
			'peers_port = -1',
			'level = null',
			'= 1',
			'; x',
		),
		fc.string({maxLength: 8}),
	);
	fc.assert(
		fc.property(fc.array(line, {maxLength: 12}), (lines) => {
			const problems = settings
				.parseSettings(lines.join('\n'), 'file')
				._unsafeUnwrapErr();
			return problems.every(
				(problem) => settings.formatProblem(problem).length < 2000,
			);
		}),
		{seed: 20_261_206, numRuns: 1000},
	);
	t.match(settings.parseSettings('log = null', 'file')._unsafeUnwrapErr()[0], {
		key: 'log',
		found: 'a key outside of a section',
	});
});
