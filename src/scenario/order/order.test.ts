import tap from 'tap';
import * as explorer from './explorer.js';
import * as histories from './histories.js';
import * as scheduleText from './schedule-text.js';

const seed = 47;

function findHistory(name: string): histories.History {
	return histories.histories.find((history) => history.name === name)!;
}

for (const history of histories.histories) {
	const options = {history, maxOccurrence: 2, seed};

	// Guards against a decision that is wrong when it takes effect, because something came in between.
	tap.test(`orders of ${history.name}, one interference`, async (t) => {
		const {finding} = explorer.searchSingles({...options, maxSchedules: 12});
		t.equal(finding, undefined);
	});

	// Guards against the same where two things come in between.
	tap.test(`orders of ${history.name}, two interferences`, async (t) => {
		const {finding} = explorer.searchPairs({...options, maxSchedules: 8});
		t.equal(finding, undefined);
	});
}

// The shortest schedules that the search finds when a fix is switched off.
const knownFaults = [
	{
		fix: 'leadershipCheck',
		history: 'crash',
		schedule: 'freeze 3600 at c3 callServer:promote 1',
		problem: /after a request of a higher term/v,
	},
	{
		fix: 'majorityStart',
		history: 'first start',
		schedule: 'kill 1000 at c3 send:ping 1',
		problem: /no control peer leads/v,
	},
	{
		fix: 'holderCount',
		history: 'synchronous crash',
		schedule: 'deafen 3600 s3 at p1 send:forwardDone 1',
		problem: /lost writes/v,
	},
	{
		fix: 'fullDiskRetry',
		history: 'first start',
		schedule: 'fill 900 at c1 write 1',
		problem: /ended by itself/v,
	},
] as const;

for (const {fix, history, schedule, problem} of knownFaults) {
	// Guards against a search whose checks hold for every implementation, and against the fault itself.
	tap.test(`the search sees that ${fix} is missing`, async (t) => {
		const parsed = scheduleText.parseSchedule(schedule);
		const {problems} = histories.runHistory(findHistory(history), parsed, fix);
		t.match(problems.join('; '), problem);
		t.same(histories.runHistory(findHistory(history), parsed).problems, []);
	});
}

// Guards against a printed schedule that does not replay.
tap.test('a schedule is read as it is printed', async (t) => {
	const text =
		'freeze 900 at c1 send:append 2; kill 1000 lost at c2 write 1; kill 20 at p1 finishRequest 3; hold 5 at p2 execute:write 1; deafen 3600 s3 at p1 send:forwardDone 1; fill 9 at c1 write 1; slow 9 at c1 write 2';
	const schedule = scheduleText.parseSchedule(text);
	t.equal(schedule.length, 7);
	t.equal(scheduleText.formatSchedule(schedule), text);
	for (const wrong of [
		'freeze',
		'melt 3 at c1 write 1',
		'kill x at c1 write 1',
	]) {
		t.throws(() => scheduleText.parseSchedule(wrong), {message: /schedule/v});
	}
});
