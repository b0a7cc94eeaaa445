import tap from 'tap';
import type * as ids from '../ids.js';
import type * as control from './types.js';
import * as controlHealth from './control-health.js';

// Guards against a peer that waits for others without telling anybody.
tap.test('a peer that cannot join says what it waits for', async (t) => {
	const effects: control.ControlEffect[] = [];
	const health = new controlHealth.ControlHealth((effect) => {
		effects.push(effect);
	});
	const missingVoters = ['c1', 'c2'] as ids.PeerId[];
	for (let tick = 0; tick < 3; tick++) {
		health.update(false, false, {type: 'firstStart', missingVoters});
	}

	health.update(false, false, {type: 'leader'});
	health.update(false, true, undefined);
	const first =
		'storage is empty; waiting for a control leader, or for reports from control peers c1, c2 that theirs is empty too';
	const second =
		'storage is empty; waiting for a control leader that adds this peer';
	t.same(effects, [
		{type: 'setHealth', ready: false, reason: first},
		{
			type: 'log',
			record: {level: 'warn', part: 'control', message: first},
		},
		{type: 'setHealth', ready: false, reason: second},
		{
			type: 'log',
			record: {level: 'warn', part: 'control', message: second},
		},
		{type: 'setHealth', ready: true, reason: 'ready'},
	]);
});
