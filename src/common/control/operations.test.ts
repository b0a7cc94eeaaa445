import tap from 'tap';
import type * as ids from '../ids.js';
import type * as messages from '../messages.js';
import type * as types from '../types.js';
import * as configurationReads from './configuration-reads.js';
import * as operations from './operations.js';

const [peer, leader] = ['k1', 'k2'] as ids.PeerId[];
const operation = 1;

function buildConfiguration(version: number): types.Configuration {
	return {version, text: ''};
}

/** Creates an instance of a follower that has forwarded one change to the leader. */
function forwardChange(messageNumberStart: number) {
	const instance = new operations.Operations({
		messageNumberStart,
		createProposalNumber: () => 1,
		findAnswer: () => undefined,
	});
	instance.add(
		0,
		{type: 'local', operation},
		{type: 'configuration', configuration: buildConfiguration(7)},
	);
	const [action] = instance.step(0, false, leader);
	const message = action.type === 'send' ? action.message : undefined;
	return {instance, number: message!.operation};
}

/** Creates an instance of a follower that has forwarded one read to the leader. */
function forwardRead(messageNumberStart: number) {
	const sent: messages.PeerMessage[] = [];
	const answers: Array<{operation: number; version: number | undefined}> = [];
	const instance = new configurationReads.ConfigurationReads({
		peer,
		messageNumberStart,
		getLeader: () => leader,
		isActiveLeader: () => false,
		getConfiguration: () => undefined,
		send(_to, message) {
			sent.push(message);
		},
		emit(effect) {
			if (effect.type === 'answerConfigurationRead') {
				const {result} = effect;
				answers.push({
					operation: effect.operation,
					version:
						result.type === 'read' ? result.configuration?.version : undefined,
				});
			}
		},
	});
	instance.handleRead({type: 'local', operation});
	const [message] = sent;
	return {
		answers,
		number: message.type === 'readConfiguration' ? message.operation : 0,
		receive(number: number, version: number) {
			instance.handleResult({
				type: 'configurationRead',
				operation: number,
				result: {type: 'read', configuration: buildConfiguration(version)},
			});
		},
	};
}

// Guards against a change that is reported as stored because a change of an earlier instance was.
tap.test('a result for an earlier instance decides no change', async (t) => {
	const [earlier, later] = [forwardChange(1000), forwardChange(2000)];
	const receive = (number: number) =>
		later.instance.handleResult({
			type: 'changeResult',
			operation: number,
			result: {type: 'accepted', version: 7},
		});
	t.same(receive(earlier.number), []);
	t.match(receive(later.number), [{type: 'answer', origin: {operation}}]);
});

// Guards against a read that is answered with the configuration at the time of an earlier read.
tap.test('a reading for an earlier instance answers no read', async (t) => {
	const [earlier, later] = [forwardRead(1000), forwardRead(2000)];
	later.receive(earlier.number, 6);
	t.notOk(later.answers.some((answer) => answer.operation === operation));
	later.receive(later.number, 7);
	t.match(later.answers.at(-1), {operation, version: 7});
});

// Guards against copies of a large change that queue up in the link to the leader.
tap.test('a large change is not sent again at once', async (t) => {
	const instance = new operations.Operations({
		messageNumberStart: 0,
		createProposalNumber: () => 1,
		findAnswer: () => undefined,
	});
	const text = 'x'.repeat(270_000);
	instance.add(
		0,
		{type: 'local', operation},
		{type: 'configuration', configuration: {version: 7, text}},
	);
	const counts = [0, 600, 1200, 1600].map(
		(now) => instance.step(now, false, leader).length,
	);
	t.same(counts, [1, 0, 0, 1]);
});

// Guards against an operator who is told that a change was not taken while an earlier copy of it is in the
// log, and against copies that fill the log.
tap.test('a change that is sent again is proposed once', async (t) => {
	let proposal = 0;
	const instance = new operations.Operations({
		messageNumberStart: 0,
		createProposalNumber: () => ++proposal,
		findAnswer: () => undefined,
	});
	const change = {
		type: 'configuration',
		configuration: buildConfiguration(7),
	} as const;
	instance.add(0, {type: 'local', operation: 1}, change);
	t.match(instance.step(0, true, undefined), [{type: 'propose', proposal: 1}]);
	t.match(instance.step(5000, true, undefined), [
		{type: 'answer', result: {type: 'unavailable', mayHaveRun: true}},
	]);
	t.ok(instance.isProposed(change));
	instance.add(5000, {type: 'local', operation: 2}, change);
	t.same(instance.step(5000, true, undefined), []);
	instance.handleProposalLost(1, true);
	t.notOk(instance.isProposed(change));
	t.match(instance.step(5025, true, undefined), [
		{type: 'propose', proposal: 2},
	]);
	const result = {type: 'accepted', version: 7} as const;
	t.match(instance.handleApplied(change, result), [
		{type: 'answer', origin: {operation: 2}, result},
	]);
	t.notOk(instance.isProposed(change));
});

// Guards against an operator who waits for an answer that is known, or is told a wrong one.
tap.test('a change that full disks refuse is answered at once', async (t) => {
	const {instance, number} = forwardChange(1000);
	const refuse = () =>
		instance.handleResult({
			type: 'changeResult',
			operation: number,
			result: {
				type: 'unavailable',
				mayHaveRun: false,
				reason: 'storageExhausted',
			},
		});
	t.match(refuse(), [
		{
			type: 'answer',
			result: {mayHaveRun: false, reason: 'storageExhausted'},
		},
	]);
	const twice = forwardChange(1000);
	twice.instance.step(600, false, leader);
	t.same(
		twice.instance.handleResult({
			type: 'changeResult',
			operation: twice.number,
			result: {
				type: 'unavailable',
				mayHaveRun: false,
				reason: 'storageExhausted',
			},
		}),
		[],
		'the other copy may have been taken',
	);
});
