import tap from 'tap';
import * as rateWait from './rate-wait.js';

const limited: rateWait.RateWaitInput = {
	isEmpty: true,
	silentMs: 0,
	waiting: 0,
	usePerS: 1,
	nextTokenMs: 300,
	remainingMs: 800,
};

// Guards against requests over the limit that wait until their deadline, because a few at each of many
// proxies together wait for longer than that.
tap.test('a request waits only for a token that comes in time', async (t) => {
	t.ok(rateWait.mayWait(limited));
	t.notOk(rateWait.mayWait({...limited, nextTokenMs: 600}));
	t.notOk(rateWait.mayWait({...limited, remainingMs: 400}));
	t.equal(rateWait.computeWaitLimit(true, 800), 480);
	t.ok(rateWait.computeWaitLimit(false, 800) > 800, 'during an election');
});
