import tap from 'tap';
import type * as ids from '../ids.js';
import type * as messages from '../messages.js';
import * as packing from '../packing.js';
import * as configurationHolders from './configuration-holders.js';
import * as configurationSource from './configuration-source.js';

const tickMs = 25;
/** Three parts, the last one short. */
const text = 'x'.repeat(2 * configurationSource.partBytes + 1);

function createSource(isFollowing = true) {
	const sent: Array<{
		readonly to: ids.PeerId;
		readonly message: messages.PeerMessage;
	}> = [];
	const source = new configurationSource.ConfigurationSource({
		packing: packing.plainPacking,
		isFollowing: () => isFollowing,
		send(to, message) {
			sent.push({to, message});
		},
	});
	const fetch = (now: number, peer: string, version: number, offset = 0) => {
		source.handleFetch(now, peer as ids.PeerId, {
			type: 'configurationFetch',
			version,
			offset,
		});
	};

	const takeSent = () =>
		sent.splice(0).map(({message}) => {
			if (message.type === 'configurationPart') {
				return `${message.version} ${message.offset}+${message.data.length}`;
			}

			return message.type === 'configurationMissing'
				? `missing ${message.version}`
				: message.type;
		});
	return {source, fetch, takeSent};
}

// Guards against a link that carries more than one part, behind which leases and requests wait.
tap.test('a fetch is answered with one part', async (t) => {
	const {source, fetch, takeSent} = createSource();
	source.setConfiguration({version: 5, text});
	fetch(0, 'p1', 5);
	t.same(takeSent(), ['5 0+16384']);
	fetch(1, 'p1', 5, 2 * configurationSource.partBytes);
	t.same(takeSent(), ['5 32768+1']);
});

// Guards against a source that fills its own link when all proxies ask at once.
tap.test('parts are limited per tick and none is forgotten', async (t) => {
	const {source, fetch, takeSent} = createSource();
	source.setConfiguration({version: 5, text});
	for (let index = 0; index < 30; index++) {
		fetch(0, `p${index}`, 5);
	}

	const counts = [takeSent().length];
	for (let tick = 1; tick <= 3; tick++) {
		source.step(tick * tickMs);
		counts.push(takeSent().length);
	}

	t.same(counts, [10, 10, 10, 0]);
});

// Guards against a proxy that is turned away by a follower which hears of a commit a moment later.
tap.test('a fetch waits for a version that is on its way', async (t) => {
	const {source, fetch, takeSent} = createSource();
	fetch(0, 'p1', 5);
	source.step(tickMs);
	t.same(takeSent(), []);
	source.setConfiguration({version: 5, text: 'abc'});
	source.step(2 * tickMs);
	t.same(takeSent(), ['5 0+3']);
	fetch(100, 'p1', 6);
	source.step(1200);
	t.same(takeSent(), ['missing 6']);
});

// Guards against a proxy that waits for a control peer which does not receive the log.
tap.test('a peer without the log turns fetches away at once', async (t) => {
	const {fetch, takeSent} = createSource(false);
	fetch(0, 'p1', 5);
	t.same(takeSent(), ['missing 5']);
});

// Guards against transfers that begin again with every change of a quick series.
tap.test('a transfer goes on while newer versions are committed', async (t) => {
	const {source, fetch, takeSent} = createSource();
	source.setConfiguration({version: 5, text});
	fetch(0, 'p1', 5);
	source.setConfiguration({version: 6, text: `${text}y`});
	fetch(1, 'p2', 6);
	fetch(2, 'p1', 5, configurationSource.partBytes);
	t.same(takeSent(), ['5 0+16384', '6 0+16384', '5 16384+16384']);
});

// Guards against a proxy that asks for an old version and gets the middle of another text.
tap.test('a version that is gone is replaced from its start', async (t) => {
	const {source, fetch, takeSent} = createSource();
	for (const version of [5, 6, 7, 8]) {
		source.setConfiguration({version, text});
		fetch(version, 'p2', version);
	}

	takeSent();
	fetch(10, 'p1', 5, configurationSource.partBytes);
	t.same(takeSent(), ['8 0+16384']);
});

// Guards against copies between data centres where a near one exists, and against one holder for all.
tap.test('a proxy fetches from a holder of its data centre', async (t) => {
	const holders = ['a', 'b', 'c'].map((name) => ({
		peer: `c-${name}` as ids.PeerId,
		dataCentre: name as ids.DataCentre,
	}));
	const choose = (proxy: string, dataCentre: string) =>
		configurationHolders.chooseHolder(
			proxy as ids.PeerId,
			dataCentre as ids.DataCentre,
			holders,
		);
	t.equal(choose('p1', 'b'), 'c-b');
	const chosen = new Set(
		Array.from({length: 20}, (_, index) => choose(`p${index}`, 'd')),
	);
	t.equal(chosen.size, 3);
	t.equal(
		configurationHolders.chooseHolder(
			'p1' as ids.PeerId,
			'a' as ids.DataCentre,
			[],
		),
		undefined,
	);
});
