import tap from 'tap';
import * as clock from './clock.js';

function createClock() {
	const time = {steady: 1000, wall: 500_000};
	const subject = new clock.SuspensionClock(
		() => time.steady,
		() => time.wall,
	);
	return {time, subject};
}

// Guards against a lease that survives a suspension of the VM, during which the steady clock rests.
tap.test('a suspension counts as passed time', async (t) => {
	const {time, subject} = createClock();
	time.steady += 10;
	time.wall += 3010;
	t.equal(subject.now(), 4010);
	time.steady += 5;
	time.wall += 5;
	t.equal(subject.now(), 4015);
});

// Guards against a clock that goes back with the time of day.
tap.test('a wall clock that is set back changes nothing', async (t) => {
	const {time, subject} = createClock();
	time.wall -= 2000;
	t.equal(subject.now(), 1000);
	time.steady += 7;
	time.wall += 7;
	t.equal(subject.now(), 1007);
});
