import tap from 'tap';
import * as metrics from './metrics.js';
import * as traffic from './traffic.js';

tap.test('classifies the distance of a peer', async (t) => {
	// Bytes counted for the wrong distance would hide what crosses regions.
	const own = {dataCentre: 'a', region: 'north'};
	const classify = (peer: traffic.Location) =>
		traffic.classifyDistance(own, peer);
	t.equal(classify({dataCentre: 'a', region: 'north'}), 'dataCentre');
	t.equal(classify({dataCentre: 'b', region: 'north'}), 'region');
	t.equal(classify({dataCentre: 'c', region: 'south'}), 'otherRegion');
	t.equal(classify({dataCentre: 'c'}), 'otherDataCentre');
	t.equal(classify({dataCentre: 'c', region: ''}), 'otherDataCentre');
	t.equal(classify({}), 'unknown');
});

tap.test('reports messages and bytes by type', async (t) => {
	// An operator could not tell which messages cause the traffic.
	const collected = new metrics.Metrics();
	collected.traffic.record('sent', 'otherRegion', 'ping', 20);
	collected.traffic.record('sent', 'otherRegion', 'ping', 30);
	const labels = '{direction="sent",distance="otherRegion",type="ping"}';
	const text = collected.formatText();
	t.match(text, `hemlockarch_peer_messages_total${labels} 2`);
	t.match(text, `hemlockarch_peer_bytes_total${labels} 50`);
	t.match(collected.getSnapshot().traffic, [{messages: 2, bytes: 50}]);
});
