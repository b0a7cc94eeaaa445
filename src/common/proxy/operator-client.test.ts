import tap from 'tap';
import type * as ids from '../ids.js';
import * as random from '../random.js';
import * as context from './context.js';
import * as operatorClient from './operator-client.js';

const leader = 'k1' as ids.PeerId;
const operation = 1;

/** Creates an instance of a proxy that has sent one change to the leader. */
function sendChange(seed: number) {
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
	shared.setLink(leader, true);
	const client = new operatorClient.OperatorClient(shared, {
		getLeader: () => leader,
	});
	client.requestChange(operation, {
		member: 'm1' as ids.MemberId,
		text: '',
		expectedVersion: 0,
		changeId: `change-${seed}` as ids.ChangeId,
	});
	const [effect] = shared.takeEffects();
	const number =
		effect.type === 'sendPeer' && effect.message.type === 'proposeChange'
			? effect.message.operation
			: 0;
	return {shared, client, number};
}

// Guards against a change that is reported as stored because a change of an earlier instance was.
tap.test('a result for an earlier proxy answers no change', async (t) => {
	const [earlier, later] = [sendChange(1), sendChange(2)];
	const receive = (number: number) => {
		later.client.handleResult({
			type: 'changeResult',
			operation: number,
			result: {type: 'accepted', version: 1},
		});
		return later.shared.takeEffects();
	};

	t.same(receive(earlier.number), []);
	t.match(receive(later.number), [{type: 'answerTemplateChange', operation}]);
});
