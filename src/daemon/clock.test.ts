import tap from 'tap';
import * as clock from './clock.js';

function createClock() {
	const time = {monotonic: 1000, wall: 500_000};
	const subject = new clock.SuspensionClock(
		() => time.monotonic,
		() => time.wall,
	);
	return {time, subject};
}

// Guards against a lease that is still valid after a suspension of the VM, during which the
// monotonic clock does not advance.
tap.test('the time of a suspension counts as elapsed', async (t) => {
	const {time, subject} = createClock();
	time.monotonic += 10;
	time.wall += 3010;
	t.equal(subject.now(), 4010);
	time.monotonic += 5;
	time.wall += 5;
	t.equal(subject.now(), 4015);
});

// Guards against a clock that goes backwards when the wall clock is set back.
tap.test('a wall clock that is set back has no effect', async (t) => {
	const {time, subject} = createClock();
	time.wall -= 2000;
	t.equal(subject.now(), 1000);
	time.monotonic += 7;
	time.wall += 7;
	t.equal(subject.now(), 1007);
});
