import tap from 'tap';
import type * as ids from '../ids.js';
import type * as messages from '../messages.js';
import * as random from '../random.js';
import * as context from './context.js';
import * as directory from './directory.js';
import * as positionClient from './position-client.js';

const owner = 'p2' as ids.PeerId;
const group = 'g1' as ids.GroupId;
const primary = 's1' as ids.UpstreamId;

/** Creates the client of one instance of a proxy, which knows the owner of the primary. */
function createInstance(seed: number) {
	const shared = new context.ProxyContext(
		{
			peer: 'p1' as ids.PeerId,
			vm: 'v1' as ids.VmId,
			address: 'p1',
			dataCentre: 'a' as ids.DataCentre,
			incarnation: seed,
			controlPeers: [],
			drainDeadlineMs: 5000,
			maxSessions: 10,
		},
		random.createRandom(seed),
	);
	const known = new directory.Directory(shared);
	known.groups.set(group, {
		group,
		term: 1,
		termStart: 0,
		primary,
		servers: [primary],
		promoting: false,
	});
	known.owners.set(primary, owner);
	shared.setLink(owner, true);
	const client = new positionClient.PositionClient(shared, known);
	const readings: Array<positionClient.PositionReading | undefined> = [];
	client.requestPosition(group, (reading) => {
		readings.push(reading);
	});
	const [request] = shared
		.takeEffects()
		.flatMap((effect): messages.PeerMessage[] =>
			effect.type === 'sendPeer' ? [effect.message] : [],
		);
	return {client, readings, request};
}

// Guards against a position that was read before the request, which lets a read miss a commit.
tap.test('an answer to an earlier instance is no reading', async (t) => {
	const [earlier, later] = [createInstance(1), createInstance(2)];
	const answer = ({request}: typeof later, offset: number) => {
		if (request.type === 'floorRequest') {
			later.client.handleAnswer(request.sequence, {term: 1, offset});
		}
	};

	answer(earlier, 100);
	t.same(later.readings, []);
	answer(later, 200);
	t.same(later.readings, [{sentAt: 0, position: {term: 1, offset: 200}}]);
});
