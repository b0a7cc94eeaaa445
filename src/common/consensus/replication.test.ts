import tap from 'tap';
import type * as ids from '../ids.js';
import * as log from './log.js';
import * as replication from './replication.js';
import type * as types from './types.js';

const [self, other] = ['k1', 'k2'] as ids.PeerId[];
const textBytes = 270_000;
const tickMs = 25;

/** Creates the replication of an entry of this size to one other peer. */
function createReplication(bytes: number) {
	const sent: types.ConsensusMessage[] = [];
	const entries = new log.Log<string>(
		{
			hardState: {term: 1, votedFor: self},
			snapshot: undefined,
			entries: [
				{
					index: 1,
					term: 1,
					payload: {type: 'command', command: 'x'.repeat(bytes)},
				},
			],
		},
		[self, other],
	);
	const instance = new replication.Replication(
		{
			self,
			term: 1,
			log: entries,
			send(_to, message) {
				sent.push(message);
			},
		},
		0,
	);
	instance.getProgress(other)!.nextIndex = 1;
	return {
		instance,
		/** Returns the numbers of heartbeats and of copies of the entry in this time without replies. */
		run(from: number, until: number) {
			for (let now = from; now < until; now += tickMs) {
				instance.handleTick(now, 0);
				instance.sendPending(now, 0);
			}

			const appends = sent
				.splice(0)
				.flatMap((message) => (message.type === 'append' ? [message] : []));
			const copies = appends.filter((append) => append.entries.length > 0);
			return {
				copies: copies.length,
				heartbeats: appends.length - copies.length,
			};
		},
	};
}

// Guards against copies of a large entry that queue up in a link, with heartbeats behind them.
tap.test('a large entry is not sent again at once', async (t) => {
	const {run} = createReplication(textBytes);
	t.same(run(0, 1000), {copies: 1, heartbeats: 13});
	t.equal(run(1000, 2000).copies, 1);
});

// Guards against an entry that stays away because its reply is awaited on a link that was lost.
tap.test('a large entry is sent again when the link is back', async (t) => {
	const {instance, run} = createReplication(textBytes);
	t.equal(run(0, 100).copies, 1);
	instance.handlePeerConnected(other);
	t.equal(run(100, 200).copies, 1);
});

// Guards against a small entry whose loss is noticed late.
tap.test('a small entry is sent again soon', async (t) => {
	const {run} = createReplication(100);
	t.equal(run(0, 300).copies, 2);
});
