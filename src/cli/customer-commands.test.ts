import * as http from 'node:http';
import type * as net from 'node:net';
import * as stream from 'node:stream';
import tap, {type Test} from 'tap';
import * as template from '../common/template/parse.js';
import type * as ids from '../common/ids.js';
import * as keyDigest from '../node/key-digest.js';
import * as run from './run.js';

type Peer = {
	text: string;
	version: number;
	run(...args: string[]): Promise<{code: number; output: string}>;
	listKeys(customer: string): string[];
};

/** Starts a peer that stores one template, and runs commands against it. */
async function startPeer(t: Test): Promise<Peer> {
	const server = http.createServer((request, response) => {
		let body = '';
		request.on('data', (chunk) => {
			body += String(chunk);
		});
		request.on('end', () => {
			if (request.method === 'PUT') {
				const change = JSON.parse(body) as {
					text: string;
					expectedVersion: number;
				};
				t.equal(change.expectedVersion, peer.version);
				peer.text = change.text;
				peer.version++;
			}

			const {version, text} = peer;
			response.end(JSON.stringify({member: 'm', version, text, changeId: 'c'}));
		});
	});
	await new Promise<void>((resolve) => {
		server.listen(0, '127.0.0.1', resolve);
	});
	t.teardown(() => {
		server.close();
	});
	const {port} = server.address() as net.AddressInfo;
	const peer: Peer = {
		text: '; first\n[member]\nmax_sessions = 9\n',
		version: 1,
		async run(...args) {
			let output = '';
			const stdout = new stream.Writable({
				write(chunk, _encoding, done) {
					output += String(chunk);
					done();
				},
			});
			const code = await run.runCommandLine(
				['ctl', 'customer', ...args, '--peer', `127.0.0.1:${port}`],
				{stdin: stream.Readable.from([]), stdout, stderr: stdout},
			);
			return {code, output};
		},
		listKeys: (customer) => [
			...(template
				.parseTemplate(peer.text)
				._unsafeUnwrap()
				.customers?.get(customer as ids.CustomerId)?.keys ?? []),
		],
	};
	return peer;
}

/** Runs a command that creates a key; the key is the last line that it prints. */
async function createKey(peer: Peer, ...args: string[]): Promise<string> {
	const {output} = await peer.run(...args);
	return output.trim().split('\n').at(-1)!;
}

// Guards against a rotation that cuts callers off, a withdrawal of the wrong key, and a clear key in a
// template.
tap.test('a key is added, rotated and withdrawn', async (t) => {
	const peer = await startPeer(t);
	const first = await createKey(peer, 'add', 'm', 'gaub');
	const second = await createKey(peer, 'rotate', 'm', 'gaub');
	const digests = [first, second].map((key) => keyDigest.computeKeyDigest(key));
	t.same(peer.listKeys('gaub'), digests);
	const listed = await peer.run('list', 'm');
	t.match(listed.output, /^gaub\t-\t-\t[^,\t]{12},[^,\t]{12}\n$/v);
	const prefix = digests[0].slice(0, 12);
	const withdrawal = await peer.run(
		'withdraw',
		'm',
		'gaub',
		'--digest',
		prefix,
	);
	t.equal(withdrawal.code, 0);
	t.same(peer.listKeys('gaub'), digests.slice(1));
	t.ok(peer.text.startsWith('; first\n[member]\nmax_sessions = 9\n'));
	t.notOk(peer.text.includes(second));
});

// Guards against a member that becomes open to all when its last key is withdrawn.
tap.test('a member without keys stays closed', async (t) => {
	const peer = await startPeer(t);
	await peer.run('add', 'm', 'gaub');
	const withdrawal = await peer.run('withdraw', 'm', 'gaub', '--all');
	t.equal(withdrawal.code, 0);
	t.same(peer.listKeys('gaub'), []);
	t.match(peer.text, /\[customer gaub\]/v);
});

// Guards against changes that an operator did not mean.
tap.test('unclear commands change nothing', async (t) => {
	const peer = await startPeer(t);
	await peer.run('add', 'm', 'gaub');
	const before = peer.version;
	for (const [args, code] of [
		[['add', 'm', 'gaub'], 1],
		[['add', 'm', 'a b'], 2],
		[['rotate', 'm', 'nossob'], 1],
		[['withdraw', 'm', 'gaub'], 2],
		[['withdraw', 'm', 'gaub', '--digest', 'zzzz'], 1],
		[['withdraw', 'm', 'gaub', '--digest', ''], 1],
	] as const) {
		const result = await peer.run(...args);
		t.equal(result.code, code, args.join(' '));
	}

	t.equal(peer.version, before);
});
