import tap from 'tap';
import type * as types from '../../common/types.js';
import * as rateLimitedLogger from './rate-limited-logger.js';

// Guards against a log volume that grows with an overload, and against lines that are dropped without
// a report of their number.
tap.test('lines of one part are limited per second', async (t) => {
	const written: types.LogRecord[] = [];
	let now = 0;
	const logger = new rateLimitedLogger.RateLimitedLogger(
		{
			write(record) {
				written.push(record);
			},
		},
		{now: () => now, readWallClock: () => now},
	);
	for (let index = 0; index < 80; index++) {
		logger.write({level: 'info', part: 'request', message: 'Refused'});
	}

	t.equal(written.length, 50);
	logger.write({level: 'info', part: 'peer', message: 'Lost a link'});
	logger.write({level: 'error', part: 'request', message: 'Failed'});
	t.equal(written.length, 52);
	now = 1000;
	logger.write({level: 'info', part: 'request', message: 'Refused'});
	t.match(written.at(-2), {fields: {dropped: 30}});
});
