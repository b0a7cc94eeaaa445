import * as serializer from 'pg-protocol/dist/serializer';
import tap from 'tap';
import * as directSetup from '../../bench/direct-setup.js';
import * as rawCaller from '../../bench/raw-caller.js';
import type * as ids from '../../common/ids.js';
import * as keyDigest from '../key-digest.js';

const {serialize} = serializer;

/** Starts adapters whose member `shared` has customers; `keys` collects what its sessions present. */
async function start(t: {teardown(handler: () => Promise<void>): void}) {
	const events: unknown[] = [];
	const keys: Array<ids.KeyDigest | undefined> = [];
	const setup = await directSetup.startSetup({
		needsKey: (member) => member === 'shared',
		customer: 'gaub' as ids.CustomerId,
		observe(event) {
			events.push(event);
			if (event.type === 'sessionOpened') {
				keys.push(event.attributes.key);
			}
		},
	});
	t.teardown(async () => setup.stop());
	return {setup, events, keys};
}

// Guards against a key that is not asked for, is asked for in vain, or leaves the adapter.
tap.test('a password is the key of a customer', async (t) => {
	const {setup, events, keys} = await start(t);
	const client = await setup.connect({user: 'shared', password: 'secret-1'});
	await client.query('SELECT 1');
	await setup.connect({user: 'sanna', password: 'secret-1'});
	t.same(keys, [keyDigest.computeKeyDigest('secret-1'), undefined]);
	t.notMatch(JSON.stringify(events), /secret-1/v);
});

// Guards against a server that cannot tell the customers apart, or is told a key.
tap.test('the server is told the customer', async (t) => {
	const {setup} = await start(t);
	const client = await setup.connect({user: 'shared', password: 'secret-1'});
	const shown = await client.query('SHOW options');
	t.same(shown.rows, [{options: '-c hemlockarch.customer=gaub'}]);
});

// Guards against a session without a key, when a caller sends another message instead.
tap.test('a caller without a password is refused', async (t) => {
	const {setup, keys} = await start(t);
	const caller = new rawCaller.RawCaller(setup.port);
	t.teardown(() => caller.socket.destroy());
	caller.socket.write(serialize.startup({user: 'shared', database: 'ledger'}));
	caller.socket.write(serialize.query('SELECT 1'));
	t.match(await caller.waitReady(1), /^RE$/v);
	t.same(keys, []);
});
