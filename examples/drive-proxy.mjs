/**
 * Drives the proxy reducer without a socket: a virtual clock, one control peer whose link is up, and
 * one request. Run `npm run build` first, then `node examples/drive-proxy.mjs`.
 */
import * as hemlockarch from 'hemlockarch';

const services = {
	routing: new hemlockarch.LeastWaitRoutingPolicy(),
	retryBudget: new hemlockarch.SuccessRetryBudget(),
	hedging: new hemlockarch.HedgeDelayEstimator(),
	createScheduler: (slots) =>
		new hemlockarch.ServerAdmissionScheduler({
			slots,
			getParameters: (member) => reducer.templates.getParameters(member),
		}),
	parseTemplate: (text) => hemlockarch.parseTemplate(text).unwrapOr(undefined),
};
const config = {
	peer: 'proxy-1',
	vm: 'vm-1',
	address: '127.0.0.1:7001',
	dataCentre: 'bolpur',
	incarnation: 1,
	controlPeers: [{peer: 'control-1', address: '127.0.0.1:7101'}],
	drainDeadlineMs: 30_000,
	maxSessions: 100,
};
const reducer = new hemlockarch.ProxyReducer(
	config,
	services,
	hemlockarch.createRandom(7),
);

function print(now, effects) {
	for (const effect of effects) {
		console.log(now, JSON.stringify(effect));
	}
}

function feed(event) {
	print(event.now, reducer.step(event));
}

const member = 'ochre-works';
const template = {member, version: 1, text: '[member]\n', changeId: 'c1'};
/** The answer of a control leader to the first lease renewal; it grants no server. */
const message = {
	type: 'leaseGranted',
	sequence: 1,
	durationMs: 1500,
	owned: [],
	groups: [],
	owners: [],
	templates: [template],
	confirmed: [],
	appliedIndex: 1,
};
print(0, reducer.start(0));
feed({type: 'peerLinkChanged', now: 1, peer: 'control-1', up: true});
feed({type: 'tick', now: 10});
feed({type: 'peerMessage', now: 11, from: 'control-1', message});
feed({type: 'tick', now: 20});
const attributes = {member, group: 'ochre-ledger'};
feed({type: 'sessionOpened', now: 21, session: 1, attributes});
feed({
	type: 'requestArrived',
	now: 22,
	session: 1,
	request: 1,
	kind: 'read',
	attributes: {deadlineMs: 50},
	payload: {frames: new Uint8Array()},
});
for (let now = 30; now <= 80; now += 10) {
	feed({type: 'tick', now});
}
