import tap from 'tap';
import type * as ids from '../ids.js';
import * as packing from '../packing.js';
import * as random from '../random.js';
import type * as types from '../types.js';
import * as configurationClient from './configuration-client.js';
import * as context from './context.js';

const [near, leader] = ['near', 'leader'] as ids.PeerId[];
const invalidText = 'invalid';

function createClient() {
	const shared = new context.ProxyContext(
		{
			peer: 'p1' as ids.PeerId,
			vm: 'v1' as ids.VmId,
			address: 'p1',
			dataCentre: 'a' as ids.DataCentre,
			incarnation: 1,
			controlPeers: [],
			drainDeadlineMs: 5000,
			maxSessions: 10,
		},
		random.createRandom(1),
	);
	shared.setLink(near, true);
	shared.setLink(leader, true);
	const applied: string[] = [];
	const templates = {
		configuration: undefined as types.Configuration | undefined,
		routes: undefined,
		mergeConfiguration(configuration: types.Configuration): boolean {
			if (configuration.text === invalidText) {
				return false;
			}

			templates.configuration = configuration;
			applied.push(`${configuration.version} ${configuration.text}`);
			return true;
		},
	};
	const client = new configurationClient.ConfigurationClient(
		shared,
		templates,
		{getLeader: () => leader},
		packing.plainPacking,
	);
	const takeFetches = () =>
		shared
			.takeEffects()
			.flatMap((effect) =>
				effect.type === 'sendPeer' &&
				effect.message.type === 'configurationFetch'
					? [`${effect.to} ${effect.message.version}@${effect.message.offset}`]
					: [],
			);
	/** Hands over a part of a text. */
	const receive = (
		from: ids.PeerId,
		partVersion: number,
		text: string,
		offset: number,
		length: number,
	) => {
		client.handlePart(from, {
			type: 'configurationPart',
			version: partVersion,
			size: text.length,
			offset,
			data: packing.plainPacking.pack(text.slice(offset, offset + length)),
		});
	};

	return {shared, client, applied, takeFetches, receive};
}

// Guards against copies that queue up on a link because every grant begins another transfer.
tap.test('a version is fetched once however often it is named', async (t) => {
	const {client, applied, takeFetches, receive} = createClient();
	for (let count = 0; count < 3; count++) {
		client.handleNotice({version: 5, source: near});
	}

	t.same(takeFetches(), ['near 5@0']);
	receive(near, 5, 'abcdef', 0, 4);
	client.handleNotice({version: 5, source: near});
	t.same(takeFetches(), ['near 5@4']);
	receive(near, 5, 'abcdef', 4, 4);
	t.same(applied, ['5 abcdef']);
	client.handleNotice({version: 5, source: near});
	t.same(takeFetches(), []);
});

// Guards against a text that is put together from two versions or from a repeated part.
tap.test('parts that do not continue the transfer are left out', async (t) => {
	const {client, applied, receive} = createClient();
	client.handleNotice({version: 5, source: near});
	receive(near, 5, 'abcdef', 0, 4);
	receive(near, 5, 'abcdef', 0, 4);
	receive(leader, 5, 'ABCDEF', 4, 2);
	receive(near, 4, 'uvwxyz', 4, 2);
	receive(near, 6, 'uvwxyz', 4, 2);
	t.same(applied, []);
	receive(near, 5, 'abcdef', 4, 2);
	t.same(applied, ['5 abcdef']);
});

// Guards against a proxy that never gets a version because newer ones follow before the last part.
tap.test('a transfer is completed before a newer version', async (t) => {
	const {client, applied, takeFetches, receive} = createClient();
	client.handleNotice({version: 5, source: near});
	receive(near, 5, 'abcdef', 0, 4);
	client.handleNotice({version: 6, source: near});
	takeFetches();
	receive(near, 5, 'abcdef', 4, 2);
	t.same(applied, ['5 abcdef']);
	t.same(takeFetches(), ['near 6@0']);
});

// Guards against a proxy that stays behind because its source is gone or does not have the version.
tap.test('another source is asked when one fails', async (t) => {
	const {shared, client, applied, takeFetches, receive} = createClient();
	client.handleNotice({version: 5, source: near});
	takeFetches();
	client.handleMissing(near, {type: 'configurationMissing', version: 5});
	t.same(takeFetches(), ['leader 5@0']);
	shared.now += 2000;
	client.handleTick();
	t.same(takeFetches(), ['near 5@0']);
	client.handleLinkDown(near);
	t.same(takeFetches(), ['leader 5@0']);
	receive(leader, 5, 'abc', 0, 3);
	t.same(applied, ['5 abc']);
});

// Guards against sources that are asked without a pause while none of them has the version.
tap.test('sources without the version are asked in turn', async (t) => {
	const {shared, client, takeFetches} = createClient();
	client.handleNotice({version: 5, source: near});
	const asked = takeFetches();
	for (let elapsedMs = 0; elapsedMs < 500; elapsedMs += 50) {
		const last = asked.at(-1)!.split(' ')[0] as ids.PeerId;
		client.handleMissing(last, {type: 'configurationMissing', version: 5});
		shared.now += 50;
		client.handleTick();
		asked.push(...takeFetches());
	}

	t.ok(asked.length <= 7, `${asked.length} requests in 0.5 s`);
	t.ok(asked.includes('leader 5@0'));
	t.ok(asked.filter((line) => line === 'near 5@0').length > 1);
});

// Guards against a text that is fetched without end because this proxy cannot read it.
tap.test('a version that cannot be used is not fetched again', async (t) => {
	const {client, applied, takeFetches, receive} = createClient();
	client.handleNotice({version: 5, source: near});
	receive(near, 5, invalidText, 0, 100);
	takeFetches();
	client.handleNotice({version: 5, source: near});
	t.same(takeFetches(), []);
	client.handleNotice({version: 6, source: near});
	receive(near, 6, 'abc', 0, 3);
	t.same(applied, ['6 abc']);
});

// Guards against a proxy that cannot tell for how long it has been behind.
tap.test('the delay counts from the oldest missing version', async (t) => {
	const {shared, client, receive} = createClient();
	t.equal(client.delayMs, 0);
	client.handleNotice({version: 5, source: near});
	shared.now += 1000;
	client.handleNotice({version: 6, source: near});
	shared.now += 1000;
	t.equal(client.delayMs, 2000);
	receive(near, 5, 'abc', 0, 3);
	t.equal(client.delayMs, 1000);
});
