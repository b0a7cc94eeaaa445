/**
 * Schedules as text that a person can read and that replays exactly, one interference a part, e.g.
 * `freeze 3600 at c1 callServer:promote 1; kill 1000 lost at c2 write 2`.
 */
import {assertNever} from '../../common/assert-never.js';
import type * as ids from '../../common/ids.js';
import type * as order from './types.js';

export function formatSchedule(schedule: order.Schedule): string {
	return schedule
		.map(
			({act, point: {process, step, occurrence}}) =>
				`${formatAct(act)} at ${process} ${step} ${occurrence}`,
		)
		.join('; ');
}

/** @throws An error that names the part that is not valid. */
export function parseSchedule(text: string): order.Schedule {
	return text
		.split(';')
		.map((part) => part.trim())
		.filter((part) => part !== '')
		.map((part) => parseInterference(part));
}

function formatAct(act: order.Act): string {
	switch (act.type) {
		case 'freeze':
		case 'hold':
		case 'fill':
		case 'slow': {
			return `${act.type} ${act.forMs}`;
		}

		case 'kill': {
			return `kill ${act.forMs}${act.losesDisk ? ' lost' : ''}`;
		}

		case 'deafen': {
			return `deafen ${act.forMs} ${act.server}`;
		}

		default: {
			return assertNever(act);
		}
	}
}

function parseInterference(part: string): order.Interference {
	const [left = '', right = ''] = part.split(' at ');
	const [type, duration, detail] = left.split(' ');
	const [process, step, occurrence] = right.split(' ');
	const forMs = Number(duration);
	const point = {
		process: process as ids.PeerId,
		step: step ?? '',
		occurrence: Number(occurrence),
	};
	if (!(forMs >= 0) || !(point.occurrence >= 1)) {
		throw new Error(`not a part of a schedule: ${part}`);
	}

	switch (type) {
		case 'freeze':
		case 'hold':
		case 'fill':
		case 'slow': {
			return {act: {type, forMs}, point};
		}

		case 'kill': {
			return {act: {type, forMs, losesDisk: detail === 'lost'}, point};
		}

		case 'deafen': {
			const server = (detail ?? '') as ids.UpstreamId;
			return {act: {type, forMs, server}, point};
		}

		default: {
			throw new Error(`unknown act in a schedule: ${part}`);
		}
	}
}
